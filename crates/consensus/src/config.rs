//! Group membership and majorities.

use serde::{Deserialize, Serialize};
use types::{HostId, MemberId};

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Votes and may lead.
    Voter,
    /// Votes and stores the log. Leads only to pass on entries that no other member has, and
    /// transfers leadership to a voter as soon as it can.
    Witness,
    /// Receives the log and does not vote.
    Learner,
}

/// A member of a group: one data directory of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the data directory.
    pub id: MemberId,
    /// The entry host that owns the data directory.
    pub host: HostId,
    /// The member's role.
    pub role: Role,
}

/// The membership configuration of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Sorted by id.
    members: Vec<Member>,
}

impl Config {
    /// Creates a configuration of `members`, in any order.
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

    /// Whether `id` is a member whose vote counts: a voter or a witness.
    pub fn votes(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|m| m.role != Role::Learner)
    }

    /// Ids of the members whose votes count: voters and witnesses.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|m| m.role != Role::Learner).map(|m| m.id)
    }

    /// Number of votes that make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `f` returns true are a majority.
    pub fn has_majority<F>(&self, f: F) -> bool
    where
        F: Fn(MemberId) -> bool,
    {
        self.voters().filter(|id| f(*id)).count() >= self.majority()
    }

    /// The largest value that a majority of the voters has reached, where `f` returns the value
    /// of a voter; 0 without voters.
    pub fn reached_by_majority<F>(&self, f: F) -> u64
    where
        F: Fn(MemberId) -> u64,
    {
        let mut values: Vec<u64> = self.voters().map(f).collect();
        values.sort_unstable();
        let below_majority = values.len().saturating_sub(self.majority());
        values.get(below_majority).copied().unwrap_or(0)
    }

    /// A copy of this configuration with `member` added, or replaced if its id exists.
    pub fn with(&self, member: Member) -> Config {
        let mut next = self.without(member.id);
        next.members.push(member);
        Config::new(next.members)
    }

    /// A copy of this configuration without the member `id`.
    pub fn without(&self, id: MemberId) -> Config {
        Config { members: self.members.iter().filter(|m| m.id != id).cloned().collect() }
    }

    /// Whether the configurations differ in the vote of at most one member. Any majority of one
    /// then shares a member with any majority of the other.
    pub fn differs_by_at_most_one_vote(&self, other: &Config) -> bool {
        let gained = self.voters().filter(|id| !other.votes(*id)).count();
        let lost = other.voters().filter(|id| !self.votes(*id)).count();
        gained + lost <= 1
    }
}
