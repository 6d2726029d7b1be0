//! Checks of [`next_vote_change`] on random groups: no step costs a loss that the group could bear,
//! and the votes end where they should be.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use scheduler::{next_vote_change, MemberView, VoteChange};
use types::MemberId;

const LEADER: MemberId = 1;
const SEED: u64 = 126;
const MAX_VOTERS: usize = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A group whose leader, the first member, has the answers of a majority.
#[derive(Clone, Debug)]
struct TestGroup(Vec<MemberView>);

impl Arbitrary for TestGroup {
    fn arbitrary(g: &mut Gen) -> TestGroup {
        loop {
            let count = usize::arbitrary(g) % 8 + 1;
            let members = (0..count).map(|i| arbitrary_member(g, LEADER + i as u64)).collect();
            let mut group = TestGroup(members);
            let leader = &mut group.0[0];
            (leader.votes, leader.caught_up) = (true, true);
            (leader.answers, leader.leaving) = (true, false);
            if group.has_majority() {
                return group;
            }
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = TestGroup>> {
        let all = self.clone();
        let without = move |i: usize| {
            let mut members = all.0.clone();
            members.remove(i);
            TestGroup(members)
        };
        let smaller = (1..self.0.len()).map(without).filter(TestGroup::has_majority);
        Box::new(smaller.collect::<Vec<_>>().into_iter())
    }
}

fn arbitrary_member(g: &mut Gen, id: MemberId) -> MemberView {
    let zone = Some(g.choose(&ZONES).expect("zones").to_string());
    let votes = bool::arbitrary(g);
    // Members stop, are gone, or have been silent for a moment.
    let (answers, leaving) = match u8::arbitrary(g) % 8 {
        0 => (true, true),
        1 => (false, true),
        2 => (false, false),
        _ => (true, false),
    };
    MemberView { id, zone, votes, answers, leaving, caught_up: votes || bool::arbitrary(g) }
}

fn is_live(member: &MemberView) -> bool {
    member.answers && member.caught_up && !member.leaving
}

impl TestGroup {
    fn voters(&self) -> impl Iterator<Item = &MemberView> {
        self.0.iter().filter(|m| m.votes)
    }

    fn spare(&self) -> usize {
        self.0.iter().filter(|m| !m.votes && is_live(m)).count()
    }

    fn has_majority(&self) -> bool {
        self.voters().filter(|m| m.answers).count() > self.voters().count() / 2
    }

    /// Number of voters that stay and may be lost before the majority is.
    fn further_losses(&self) -> i64 {
        let live = self.voters().filter(|m| is_live(m)).count() as i64;
        live - (self.voters().count() as i64 / 2 + 1)
    }

    fn all_live(mut self) -> TestGroup {
        for member in &mut self.0 {
            (member.answers, member.leaving, member.caught_up) = (true, false, true);
        }
        self
    }

    fn next(&self) -> Option<TestGroup> {
        let change = next_vote_change(&self.0, LEADER, MAX_VOTERS)?;
        let (id, votes) = match change {
            VoteChange::Grant(id) => (id, true),
            VoteChange::Revoke(id) => (id, false),
        };
        let mut next = self.clone();
        let member = next.0.iter_mut().find(|m| m.id == id).expect("a member of the group");
        assert_ne!(member.votes, votes, "{change:?} changes nothing: {self:?}");
        assert!(!votes || is_live(member), "{change:?}: the member is not live: {self:?}");
        member.votes = votes;
        Some(next)
    }

    /// The group after all changes.
    fn settle(&self) -> TestGroup {
        let mut group = self.clone();
        for _ in 0..4 * self.0.len() {
            let Some(next) = group.next() else { return group };
            group = next;
        }
        panic!("the votes never settle: {self:?}");
    }
}

fn check(f: fn(TestGroup) -> bool) {
    let gen = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(gen).tests(20_000).max_tests(20_000).quickcheck(f);
}

#[test]
fn no_change_of_a_vote_costs_a_loss_that_the_group_could_bear() {
    check(|group| group.next().is_none_or(|next| next.further_losses() >= group.further_losses()));
}

/// Guards against a vote that is taken from a stopping member while the majority needs it.
#[test]
fn no_change_of_a_vote_leaves_the_leader_without_a_majority() {
    check(|group| group.next().is_none_or(|next| next.has_majority()));
}

/// Guards against a group that depends on the new voter while the dead one that it replaces counts.
#[test]
fn a_vote_is_not_granted_while_the_vote_that_it_replaces_counts() {
    check(|group| {
        let grows = group.next().is_some_and(|next| next.voters().count() > group.voters().count());
        !grows || group.voters().all(|m| m.answers || !m.leaving)
    });
}

/// Guards against a group that needs a voter which is gone, but not missed yet, because one that stops
/// has lost its vote.
#[test]
fn a_voter_that_stops_keeps_its_vote_while_one_more_may_be_gone() {
    check(|group| {
        let Some(VoteChange::Revoke(id)) = next_vote_change(&group.0, LEADER, MAX_VOTERS) else {
            return true;
        };
        let answers = group.0.iter().any(|m| m.id == id && m.answers);
        !answers || (group.voters().count() % 2 == 0 && group.voters().count() >= 4)
    });
}

#[test]
fn votes_settle_and_no_leaving_voter_keeps_one_that_a_spare_member_could_have() {
    check(|group| {
        let end = group.settle();
        let leaving = end.voters().any(|m| m.leaving);
        !leaving || end.spare() == 0
    });
}

/// Guards against an even number of voters, which bears no more losses than one voter less.
#[test]
fn a_group_of_live_members_has_an_odd_number_of_voters() {
    check(|group| {
        let end = group.all_live().settle();
        let voters = end.voters().count();
        voters % 2 == 1 || (voters == 2 && end.spare() == 0)
    });
}

/// Guards against a zone whose loss takes the majority although members of other zones are spare.
#[test]
fn no_zone_has_a_majority_of_the_votes_if_spare_members_can_prevent_it() {
    check(|group| {
        let end = group.all_live().settle();
        let votes = |zone: &str| end.voters().filter(|m| m.zone.as_deref() == Some(zone)).count();
        let members = |zone: &str| end.0.iter().filter(|m| m.zone.as_deref() == Some(zone)).count();
        let count = end.voters().count();
        ZONES.iter().all(|zone| {
            let others_could = ZONES.iter().any(|other| {
                other != zone && votes(other) < members(other) && votes(other) + 1 < votes(zone)
            });
            2 * votes(zone) < count || !others_could || count < 3
        })
    });
}
