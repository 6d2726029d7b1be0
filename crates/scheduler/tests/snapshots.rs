//! Snapshots that earlier releases have written.

use consensus::{Config, HardState, Member, Restored, Role, Snapshot};
use jobs::{Command, Configuration, State};
use scheduler::{Node, NodeConfigBuilder, StartState};
use std::sync::Arc;

/// Length of the rates of accounts, the last part of the state, if it is empty.
const RATES: usize = 1;
/// Length of the crash records, the part before it, if it is empty.
const CRASH_RECORDS: usize = 2;

#[test]
fn a_snapshot_without_crash_records_is_read() {
    check_shortened_snapshot(RATES + CRASH_RECORDS);
}

#[test]
fn a_snapshot_without_rates_is_read() {
    check_shortened_snapshot(RATES);
}

fn check_shortened_snapshot(missing: usize) {
    let mut state = State::default();
    let configuration = Box::new(Configuration { version: 7, ..Configuration::default() });
    state.apply(Command::Configure { configuration });
    let mut data = postcard::to_stdvec(&state).unwrap();
    data.truncate(data.len() - missing);
    let member = Member { id: 1, host: "10.0.0.1".into(), role: Role::Voter };
    let config = Config::new(vec![member]);
    let snapshot = Snapshot { index: 1, term: 1, config, data: Arc::new(data) };
    let hard_state = HardState { term: 1, vote: None, commit: 1 };
    let group = Some(Restored { hard_state, snapshot, entries: Vec::new() });
    let cfg = NodeConfigBuilder::new("10.0.0.1").disk(true).build();
    let node = Node::new(cfg, StartState { member: 1, process: 2, group, ..StartState::default() });
    assert_eq!(node.state(), Some(&state));
}
