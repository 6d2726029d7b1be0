//! How much a leader sends to a member that lags behind.

use consensus::{
    Config, Entry, Envelope, HardState, Member, Message, Payload, Raft, Restored, Role, Tuning,
};
use std::time::Duration;

const ME: u64 = 0;
const PEER: u64 = 1;
const LAGGING: u64 = 2;
const ENTRIES: u64 = 400;
const ENTRY_BYTES: usize = 500;
/// Appends on their way to the lagging member when it can be reached again.
const IN_FLIGHT: u64 = 40;

fn reply(raft: &mut Raft, from: u64, accepted: bool, index: u64) {
    let message = Message::AppendReply { accepted, index, round: 0 };
    let envelope = Envelope { from, to: ME, term: 3, message };
    raft.step(Duration::from_millis(1_200), envelope);
}

/// A leader whose log has entries that the lagging member lacks.
fn leader() -> Raft {
    let members = (0..3).map(|id| Member { id, host: format!("h{id}"), role: Role::Voter });
    let mut restored = Restored::new_group(Config::new(members.collect()));
    restored.hard_state = HardState { term: 2, vote: None, commit: 0 };
    let mut raft = Raft::new(ME, Tuning::default(), restored, Duration::ZERO, 1);
    raft.tick(Duration::from_millis(1_100));
    for message in [Message::PreVoteReply { granted: true }, Message::VoteReply { granted: true }] {
        let envelope = Envelope { from: PEER, to: ME, term: 3, message };
        raft.step(Duration::from_millis(1_101), envelope);
    }
    assert!(raft.is_leader());
    let last = raft.last_index();
    reply(&mut raft, LAGGING, true, last);
    for _ in 0..ENTRIES {
        raft.propose(Duration::from_millis(1_200), vec![0; ENTRY_BYTES]).expect("it leads");
        raft.take_ready();
        let last = raft.last_index();
        reply(&mut raft, PEER, true, last);
    }
    raft.take_ready();
    raft
}

/// Guards against a storm of repeated entries: each append that was on its way when the member was cut
/// off is rejected, and the entries that it lacks must not be sent once for each.
#[test]
fn rejections_of_older_appends_do_not_repeat_what_was_sent_since() {
    let mut raft = leader();
    let matched = raft.matched(LAGGING).expect("a member");
    let mut sent = 0;
    for _ in 0..IN_FLIGHT {
        reply(&mut raft, LAGGING, false, matched);
        for envelope in raft.take_ready().messages {
            if let (LAGGING, Message::Append { entries, .. }) = (envelope.to, envelope.message) {
                sent += entries.len() as u64;
            }
        }
    }
    assert!(sent >= ENTRIES, "only {sent} of {ENTRIES} entries were sent again");
    assert!(sent <= 2 * ENTRIES, "{sent} entries were sent for {ENTRIES} that the member lacks");
}

/// Guards against a member that catches up by one entry a round trip, and never on a link that reorders.
#[test]
fn entries_of_a_deposed_leader_are_rejected_at_once() {
    let members = (0..3).map(|id| Member { id, host: format!("h{id}"), role: Role::Voter });
    let mut restored = Restored::new_group(Config::new(members.collect()));
    restored.hard_state = HardState { term: 2, vote: None, commit: 0 };
    let entry = |index: u64| Entry {
        index,
        term: if index <= 20 { 1 } else { 2 },
        payload: Payload::Command(vec![]),
    };
    restored.entries = (1..=120).map(entry).collect();
    let mut raft = Raft::new(ME, Tuning::default(), restored, Duration::ZERO, 1);
    let entries = Vec::new();
    let message = Message::Append { prev_index: 120, prev_term: 3, entries, commit: 0, round: 1 };
    raft.step(Duration::from_millis(1), Envelope { from: PEER, to: ME, term: 3, message });
    let replies: Vec<Message> = raft.take_ready().messages.into_iter().map(|e| e.message).collect();
    assert_eq!(replies, [Message::AppendReply { accepted: false, index: 20, round: 1 }]);
}
