//! Snapshots that earlier releases have written.

use consensus::{Config, HardState, Member, Restored, Role, Snapshot};
use jobs::State;
use scheduler::{Node, NodeConfigBuilder, StartState};
use std::sync::Arc;

/// A snapshot of the release before client accounts, without crash records.
const EARLIER: &str = include_str!("../../jobs/tests/data/0e15dd7/state-without-crashes.hex");
/// Length of the part of the state that still earlier releases lack, if it is empty.
const CRASH_RECORDS: usize = 2;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.trim().as_bytes().chunks(2);
    let byte = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16);
    digits.map(|digits| byte(digits).unwrap()).collect()
}

/// The state of a member that starts with this snapshot.
fn restored(data: Vec<u8>) -> State {
    let member = Member { id: 1, host: "10.0.0.1".into(), role: Role::Voter };
    let config = Config::new(vec![member]);
    let snapshot = Snapshot { index: 1, term: 1, config, data: Arc::new(data) };
    let hard_state = HardState { term: 1, vote: None, commit: 1 };
    let group = Some(Restored { hard_state, snapshot, entries: Vec::new() });
    let cfg = NodeConfigBuilder::new("10.0.0.1").disk(true).build();
    let node = Node::new(cfg, StartState { member: 1, process: 2, group, ..StartState::default() });
    node.state().unwrap().clone()
}

#[test]
fn a_snapshot_without_crash_records_is_read() {
    let complete = bytes(EARLIER);
    let lacking = complete[..complete.len() - CRASH_RECORDS].to_vec();
    let state = restored(lacking);
    assert_eq!(state, State::decode(&complete).unwrap());
    assert_eq!((state.configuration().version, state.jobs().count()), (4, 3));
}

#[test]
fn a_snapshot_of_this_release_is_read() {
    let state = State::decode(&bytes(EARLIER)).unwrap();
    assert_eq!(restored(state.encode()), state);
}
