//! Safety rules that random histories rarely exercise, each tested in a scripted scenario. Where
//! an injected bug can disable the rule, the scenario also runs with that bug and must then fail.

use consensus::{
    Config, Entry, Envelope, HardState, InjectedBug, Member, Message, Payload, Raft, Restored,
    Role, Tuning,
};
use std::time::Duration;

const ME: u64 = 0;
const PEER: u64 = 1;

fn member(injected_bug: InjectedBug, entries: Vec<Entry>) -> Raft {
    let members = (0..3).map(|id| Member { id, host: format!("h{id}"), role: Role::Voter });
    let mut restored = Restored::new_group(Config::new(members.collect()));
    restored.hard_state = HardState { term: 2, vote: None, commit: 0 };
    restored.entries = entries;
    Raft::new(ME, Tuning { injected_bug, ..Tuning::default() }, restored, Duration::ZERO, 1)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![]) }
}

fn receive(raft: &mut Raft, millis: u64, term: u64, message: Message) {
    raft.step(Duration::from_millis(millis), Envelope { from: PEER, to: ME, term, message });
}

fn elect(raft: &mut Raft) {
    raft.tick(Duration::from_millis(1_100));
    receive(raft, 1_101, 3, Message::PreVoteReply { granted: true });
    receive(raft, 1_102, 3, Message::VoteReply { granted: true });
    assert!(raft.is_leader());
}

/// Runs a case that must pass without an injected bug and fail with it.
fn check_rule<F>(injected_bug: InjectedBug, case: F)
where
    F: Fn(InjectedBug) -> bool,
{
    assert!(case(InjectedBug::None), "the rule is violated");
    assert!(!case(injected_bug), "the case does not detect {injected_bug:?}");
}

#[test]
fn follower_refuses_entries_after_one_it_does_not_have() {
    check_rule(InjectedBug::SkipPreviousEntryCheck, |injected_bug| {
        let mut raft = member(injected_bug, vec![entry(1, 1), entry(2, 1)]);
        let entries = vec![entry(3, 3)];
        let message = Message::Append { prev_index: 2, prev_term: 2, entries, commit: 3, round: 1 };
        receive(&mut raft, 1, 3, message);
        raft.commit_index() == 0
    });
}

/// Guards against entries of a deposed leader behind a snapshot whose hard state was lost in a crash.
#[test]
fn a_member_with_a_snapshot_of_a_later_term_refuses_earlier_leaders() {
    let members = (0..3).map(|id| Member { id, host: format!("h{id}"), role: Role::Voter });
    let mut restored = Restored::new_group(Config::new(members.collect()));
    restored.hard_state = HardState { term: 2, vote: Some(PEER), commit: 0 };
    (restored.snapshot.index, restored.snapshot.term) = (5, 3);
    let mut raft = Raft::new(ME, Tuning::default(), restored, Duration::ZERO, 1);
    let entries = (4..=7).map(|index| entry(index, 2)).collect();
    let message = Message::Append { prev_index: 3, prev_term: 2, entries, commit: 3, round: 1 };
    receive(&mut raft, 1, 2, message);
    assert_eq!((raft.term(), raft.last_index()), (3, 5));
}

#[test]
fn leader_counts_only_entries_of_its_own_term() {
    check_rule(InjectedBug::CommitEarlierTerm, |injected_bug| {
        let mut raft = member(injected_bug, vec![entry(1, 1)]);
        elect(&mut raft);
        receive(&mut raft, 1_103, 3, Message::AppendReply { accepted: true, index: 1, round: 1 });
        raft.commit_index() == 0
    });
}

#[test]
fn leader_without_a_quorum_steps_down() {
    check_rule(InjectedBug::SkipCheckQuorum, |injected_bug| {
        let mut raft = member(injected_bug, vec![]);
        elect(&mut raft);
        for millis in (1_150..2_000).step_by(50) {
            raft.tick(Duration::from_millis(millis));
        }
        !raft.is_leader()
    });
}

#[test]
fn paused_leader_steps_down_before_it_acts() {
    check_rule(InjectedBug::SkipCheckQuorum, |injected_bug| {
        let mut raft = member(injected_bug, vec![]);
        elect(&mut raft);
        raft.propose(Duration::from_secs(60), vec![1]).is_err()
    });
}

#[test]
fn leadership_is_confirmed_only_by_answers_to_a_later_round() {
    let mut raft = member(InjectedBug::None, vec![]);
    elect(&mut raft);
    receive(&mut raft, 1_103, 3, Message::AppendReply { accepted: true, index: 1, round: 0 });
    let round = raft.begin_round().unwrap();
    assert!(raft.confirmed_round() < Some(round));
    receive(&mut raft, 1_104, 3, Message::AppendReply { accepted: true, index: 1, round });
    assert_eq!(raft.confirmed_round(), Some(round));
}

#[test]
fn leadership_is_confirmed_as_of_the_start_of_a_round_and_not_of_its_answers() {
    let ms = Duration::from_millis;
    let reply = |round| Message::AppendReply { accepted: true, index: 1, round };
    let mut raft = member(InjectedBug::None, vec![]);
    elect(&mut raft);
    assert_eq!(raft.confirmed_at(), None, "nothing is committed in this term yet");
    receive(&mut raft, 1_150, 3, reply(0));
    assert_eq!(raft.confirmed_at(), Some(ms(1_102)), "as of the election");
    raft.tick(ms(1_210));
    let round = raft.begin_round().unwrap();
    receive(&mut raft, 1_400, 3, reply(round));
    assert_eq!(raft.confirmed_at(), Some(ms(1_210)), "as of the round, not of the answer");
    for millis in (1_450..1_800).step_by(50) {
        raft.tick(ms(millis));
    }
    assert_eq!(raft.confirmed_at(), Some(ms(1_210)), "rounds without answers confirm nothing");
}

#[test]
fn members_change_by_one_vote_at_a_time() {
    let mut raft = member(InjectedBug::None, vec![]);
    elect(&mut raft);
    receive(&mut raft, 1_103, 3, Message::AppendReply { accepted: true, index: 1, round: 0 });
    let now = Duration::from_millis(1_104);
    let two_fewer = raft.config().without(1).without(2);
    assert!(raft.propose_config(now, two_fewer).is_err());
    let one_fewer = raft.config().without(2);
    assert!(raft.propose_config(now, one_fewer.clone()).is_ok());
    // A second change must be refused until the first is committed.
    assert!(raft.propose_config(now, one_fewer.without(1)).is_err());
}
