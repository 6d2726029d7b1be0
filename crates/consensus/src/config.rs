//! Who belongs to a group, and what a majority of it is.

use serde::{Deserialize, Serialize};
use types::{HostId, MemberId};

/// What a member does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Votes and may lead.
    Voter,
    /// Votes and stores the log; leads only to hand over what no other member has.
    Witness,
    /// Receives the log and does not vote.
    Learner,
}

/// One data folder of one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the data folder.
    pub id: MemberId,
    /// The entry host that has the folder.
    pub host: HostId,
    /// What the member does.
    pub role: Role,
}

/// The members of a group, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    members: Vec<Member>,
}

impl Config {
    /// A config of these members.
    pub fn new(mut members: Vec<Member>) -> Config {
        members.sort_by_key(|m| m.id);
        Config { members }
    }

    /// All members, sorted by id.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this id.
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        let i = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[i])
    }

    /// Whether this member's vote counts.
    pub fn votes(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.role != Role::Learner)
    }

    /// Ids whose votes count.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|m| m.role != Role::Learner).map(|m| m.id)
    }

    /// How many votes make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for whom `f` holds are a majority.
    pub fn has_majority<F>(&self, f: F) -> bool
    where
        F: Fn(MemberId) -> bool,
    {
        self.voters().filter(|id| f(*id)).count() >= self.majority()
    }

    /// The largest value that a majority of the voters has reached.
    pub fn reached_by_majority<F>(&self, f: F) -> u64
    where
        F: Fn(MemberId) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(f).collect();
        values.sort_unstable();
        let below_majority = values.len().saturating_sub(self.majority());
        values.get(below_majority).copied().unwrap_or(0)
    }

    /// The same config with `member` added, or changed when its id is there.
    pub fn with(&self, member: Member) -> Config {
        let mut next = self.without(member.id);
        next.members.push(member);
        Config::new(next.members)
    }

    /// The same config without `id`.
    pub fn without(&self, id: MemberId) -> Config {
        Config { members: self.members.iter().filter(|m| m.id != id).cloned().collect() }
    }

    /// Whether the two differ in the vote of at most one member, so that any majority of one
    /// shares a member with any majority of the other.
    pub fn differs_by_at_most_one_vote(&self, other: &Config) -> bool {
        let gained = self.voters().filter(|id| !other.votes(*id)).count();
        let lost = other.voters().filter(|id| !self.votes(*id)).count();
        gained + lost <= 1
    }
}
