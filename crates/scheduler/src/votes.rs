//! Decides which members of the group vote.
//!
//! A vote that nobody gives costs the group one of the losses that it tolerates, and an even number of
//! voters tolerates no more losses than one voter less. So the votes are kept at members that are
//! there, their number odd, and no zone has half of them if that can be helped. Members without a
//! vote are spare: they have the log, and one of them gets the vote of a voter that leaves.
//!
//! A voter that is gone loses its vote before a spare member gets one. The other way round the group
//! would depend on the new voter while the old one still counts, and lose its majority with the new
//! one. A voter that stops still gives its vote, so a spare member gets one before.

use types::{MemberId, SortedMap, ZoneName};

/// Voters that must remain when a vote is given up without a spare member to get it.
const MIN_REMAINING_VOTERS: usize = 3;

/// What the leader knows of a member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member's id.
    pub id: MemberId,
    /// Availability zone of its host; `None` if the leader has not heard it yet.
    pub zone: Option<ZoneName>,
    /// Whether its vote counts.
    pub votes: bool,
    /// Whether it answers, so that its vote can make up a majority.
    pub answers: bool,
    /// Whether it is about to stop, or has not answered for so long that it counts as gone.
    pub leaving: bool,
    /// Whether it has the log, as all voters do.
    pub caught_up: bool,
}

impl MemberView {
    /// Whether the member has a vote to give, or may get one, and stays.
    fn is_live(&self) -> bool {
        self.answers && self.caught_up && !self.leaving
    }
}

/// A change of the vote of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteChange {
    /// The member gets a vote.
    Grant(MemberId),
    /// The member loses its vote.
    Revoke(MemberId),
}

/// The next change towards the votes that the group should have; `None` if there is none. `leader` has
/// the answers of a majority. It keeps them with each change, and no change lowers the number of voters
/// that stay and may be lost before it hasn't.
///
/// ```
/// use scheduler::{next_vote_change, MemberView, VoteChange};
/// let member = |id: u64, votes: bool, answers: bool| {
///     MemberView { id, zone: None, votes, answers, leaving: !answers, caught_up: true }
/// };
/// let mut members = vec![member(1, true, true), member(2, true, true), member(3, true, false)];
/// assert_eq!(next_vote_change(&members, 1, 5), None);
/// members.push(member(4, false, true));
/// assert_eq!(next_vote_change(&members, 1, 5), Some(VoteChange::Revoke(3)));
/// members[2].votes = false;
/// assert_eq!(next_vote_change(&members, 1, 5), Some(VoteChange::Grant(4)));
/// ```
pub fn next_vote_change(
    members: &[MemberView],
    leader: MemberId,
    max_voters: usize,
) -> Option<VoteChange> {
    let votes = Votes::new(members, leader);
    votes
        .gone_voter()
        .or_else(|| votes.stopping_voter())
        .or_else(|| votes.grant(max_voters))
        .or_else(|| votes.surplus_voter())
}

/// The voters and spare members of a group.
struct Votes<'a> {
    leader: MemberId,
    voters: Vec<&'a MemberView>,
    /// Live members without a vote.
    spare: Vec<&'a MemberView>,
    /// Number of voters by zone; empty unless the zones of all voters are known.
    by_zone: SortedMap<&'a ZoneName, usize>,
}

impl<'a> Votes<'a> {
    fn new(members: &'a [MemberView], leader: MemberId) -> Votes<'a> {
        let (voters, others): (Vec<_>, Vec<_>) = members.iter().partition(|m| m.votes);
        let spare = others.into_iter().filter(|m| m.is_live()).collect();
        let mut by_zone = SortedMap::default();
        if let Some(zones) = voters.iter().map(|m| m.zone.as_ref()).collect::<Option<Vec<_>>>() {
            zones.into_iter().for_each(|zone| *by_zone.get_or_insert_with(zone, || 0) += 1);
        }
        Votes { leader, voters, spare, by_zone }
    }

    fn is_even(&self) -> bool {
        self.voters.len().is_multiple_of(2)
    }

    fn live_voters(&self) -> usize {
        self.voters.iter().filter(|m| m.is_live()).count()
    }

    /// Number of voters in a member's zone.
    fn in_zone_of(&self, member: &MemberView) -> usize {
        member.zone.as_ref().and_then(|zone| self.by_zone.get(&zone)).copied().unwrap_or(0)
    }

    /// Revokes the vote of a member that is gone, if a spare member can have it or the group bears more
    /// losses without it: its number of voters becomes odd, by this change or the next.
    fn gone_voter(&self) -> Option<VoteChange> {
        let mut gone = self.voters.iter().filter(|m| m.leaving && !m.answers);
        let revoked = gone.next()?;
        let several = self.is_even() || gone.next().is_some();
        let answering = self.voters.iter().filter(|m| m.answers).count();
        let gains = !self.spare.is_empty() || (several && answering >= MIN_REMAINING_VOTERS);
        gains.then_some(VoteChange::Revoke(revoked.id))
    }

    /// Revokes the vote of a member that stops while their number is even. An odd number of voters
    /// may need it: another one may be gone that the leader does not miss yet.
    fn stopping_voter(&self) -> Option<VoteChange> {
        let stopping = self.voters.iter().find(|m| m.leaving && m.answers)?;
        let remain = self.live_voters() >= MIN_REMAINING_VOTERS;
        (self.is_even() && remain).then_some(VoteChange::Revoke(stopping.id))
    }

    /// Grants a vote to a spare member, one in the zone with the fewest voters: to make the number of
    /// voters odd, or as the first of two, or in place of a voter of a zone that has too many, or
    /// in place of a voter that stops and then loses its own.
    fn grant(&self, max_voters: usize) -> Option<VoteChange> {
        let chosen = self.spare.iter().min_by_key(|m| (self.in_zone_of(m), m.id))?;
        let all_answer = self.voters.iter().all(|m| m.answers);
        let grows = self.spare.len() >= 2 && self.voters.len() + 2 <= max_voters && all_answer;
        let balances = self.fullest_zone().is_some_and(|(voter, count)| {
            2 * count > self.voters.len()
                && self.in_zone_of(chosen) + 1 < count
                && chosen.zone.is_some()
                && voter.is_live()
        });
        let replaces = self.voters.iter().any(|m| m.leaving && m.answers);
        (self.is_even() || grows || balances || replaces).then_some(VoteChange::Grant(chosen.id))
    }

    /// Revokes a vote of the zone with the most voters if their number is even. Called when no
    /// spare member can make it odd.
    fn surplus_voter(&self) -> Option<VoteChange> {
        let surplus = self.is_even() && self.live_voters() > MIN_REMAINING_VOTERS;
        let (voter, _) = self.fullest_zone().filter(|_| surplus)?;
        Some(VoteChange::Revoke(voter.id))
    }

    /// A voter, not the leader, of the zone with the most voters, and their number.
    fn fullest_zone(&self) -> Option<(&'a MemberView, usize)> {
        let others = self.voters.iter().filter(|m| m.id != self.leader);
        let voter = others.max_by_key(|m| (self.in_zone_of(m), m.id))?;
        Some((voter, self.in_zone_of(voter)))
    }
}
