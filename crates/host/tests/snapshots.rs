//! Snapshots that earlier releases have written.

use consensus::{Config, HardState, Member, Restored, Role, Snapshot};
use host::{GroupId, Host, HostConfigBuilder, InitialMember, StartState};
use state::{WorkerSpec, ZoneCommand, ZoneState};
use std::sync::Arc;
use std::time::Duration;
use types::{Resources, SortedMap};

/// Length of the part of a zone's state that earlier releases lack, if it is empty.
const LOSSES: usize = 2;

#[test]
fn a_snapshot_without_losses_of_workers_is_read() {
    let mut zone = ZoneState::default();
    let capacity = Resources { cpu: 4_000, memory: 4 << 30, accelerators: 0 };
    let spec = WorkerSpec { worker: "w".into(), rack: "r".into(), capacity, incarnation: 3 };
    zone.apply(ZoneCommand::Register { spec, at: Duration::from_secs(9) });
    let mut data = postcard::to_stdvec(&zone).unwrap();
    data.truncate(data.len() - LOSSES);
    let member = Member { id: 1, host: "a-1".into(), role: Role::Voter };
    let config = Config::new(vec![member]);
    let snapshot = Snapshot { index: 1, term: 1, config, data: Arc::new(data) };
    let hard_state = HardState { term: 1, vote: None, commit: 1 };
    let mut groups = SortedMap::default();
    let group = GroupId::Zone("a".into());
    groups.insert(group.clone(), Restored { hard_state, snapshot, entries: Vec::new() });
    let initial = InitialMember { host: "a-1".into(), role: Role::Voter };
    let cfg = HostConfigBuilder::new("a-1", "a").group(group, vec![initial]).build();
    let start = StartState { member: 1, process: 1, groups, ..StartState::default() };
    assert_eq!(Host::new(cfg, start).zone_state("a"), Some(&zone));
}
