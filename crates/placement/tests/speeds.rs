//! Placement on workers of several speeds, for a cell whose gangs would wait for slow members.

use jobs::{LifeId, ResourceVector, StepRef, WorkerInfo};
use placement::steps::{
    plan, Demand, EligibleWorkers, Isolation, Reclaimable, Rooms, WorkerCapacity,
};
use std::time::Duration;

/// Slowness of each worker, in percent.
const SLOWNESS: [u32; 6] = [100, 60, 160, 60, 100, 160];

fn cores(count: u64) -> ResourceVector {
    ResourceVector { cpu: count * 1_000, memory: count, gpu: 0 }
}

fn demand(tasks: u32, gang: bool, tight: bool) -> Demand {
    Demand {
        step: StepRef { job: 1, occurrence: 0, step: 0 },
        tasks: (0..tasks).collect(),
        need: cores(4),
        gang,
        same_rack: false,
        required_label: None,
        data_rack: None,
        max_per_worker: 0,
        service: "crunch".into(),
        eligible: EligibleWorkers::Any,
        placed: Vec::new(),
        tight,
        priority: 1,
        can_wait_for_stop: false,
        stop_time: Duration::from_millis(200),
        renewal: Duration::from_millis(500),
        suspect: false,
        account: None,
        yields: false,
        by_speed: true,
    }
}

/// Slowness of the worker of each placed task, sorted. Each worker has room for two.
fn placed_on(demand: Demand) -> Vec<u32> {
    let info = WorkerInfo { service: "crunch".into(), capacity: cores(8), ..WorkerInfo::default() };
    let capacity = |(i, slowness): (usize, &u32)| WorkerCapacity {
        life: i as LifeId + 1,
        info: &info,
        free: cores(8),
        claimed_beyond_free: ResourceVector::default(),
        slowness: *slowness,
        isolation: Isolation::default(),
    };
    let mut workers: Vec<WorkerCapacity<'_>> = SLOWNESS.iter().enumerate().map(capacity).collect();
    let now = Duration::from_secs(9);
    let decided =
        plan(&mut workers, &[], &[demand], Rooms::default(), now, |_| Reclaimable::default());
    let lives = decided.placements.iter().flat_map(|p| &p.tasks).map(|(_, life)| *life);
    let mut slowness: Vec<u32> = lives.map(|life| SLOWNESS[life as usize - 1]).collect();
    slowness.sort_unstable();
    slowness
}

#[test]
fn a_gang_runs_on_like_workers() {
    assert_eq!(placed_on(demand(4, true, true)), [60; 4], "a tight one on the fastest");
    assert_eq!(placed_on(demand(4, true, false)), [160; 4], "another one on the slowest");
}

#[test]
fn a_gang_that_no_speed_has_room_for_takes_the_narrowest_range() {
    assert_eq!(placed_on(demand(5, true, false)), [60, 100, 100, 100, 100]);
    assert_eq!(placed_on(demand(5, true, true)), [60, 60, 60, 60, 100]);
    assert_eq!(placed_on(demand(12, true, true)).len(), 12, "no worker stays empty");
}

#[test]
fn tight_tasks_go_to_fast_workers_and_loose_ones_leave_those_free() {
    assert_eq!(placed_on(demand(2, false, true)), [60, 60]);
    assert_eq!(placed_on(demand(2, false, false)), [160, 160]);
    assert_eq!(placed_on(demand(12, false, false)).len(), 12, "no worker stays empty");
}
