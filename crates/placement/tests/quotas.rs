//! Placement passes in a cell with accounts whose quotas leave less room than the workers do.

use jobs::{LifeId, ResourceVector, StepRef, TaskRef, WorkerInfo};
use placement::steps::{
    plan, Claim, Demand, EligibleWorkers, Isolation, PausableRun, Reclaimable, Rooms, StepPlan,
    WorkerCapacity,
};
use quickcheck::QuickCheck;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const STOP: Duration = Duration::from_millis(200);
/// Cores of each worker.
const CORES: u64 = 8;

fn cores(count: u64) -> ResourceVector {
    ResourceVector { cpu: count * 1_000, memory: count, gpu: 0 }
}

fn step(job: u64) -> StepRef {
    StepRef { job, occurrence: 0, step: 0 }
}

/// A step of an account whose tasks need two cores each.
fn demand(job: u64, account: &str, tasks: u32) -> Demand {
    Demand {
        step: step(job),
        account: Some(account.into()),
        tasks: (0..tasks).collect(),
        need: cores(2),
        gang: false,
        same_rack: false,
        required_label: None,
        data_rack: None,
        max_per_worker: 0,
        service: "crunch".into(),
        eligible: EligibleWorkers::Any,
        placed: Vec::new(),
        tight: false,
        priority: 1,
        can_wait_for_stop: true,
        stop_time: STOP,
        renewal: Duration::from_millis(500),
        suspect: false,
        yields: false,
        by_speed: false,
    }
}

fn gang(job: u64, account: &str, tasks: u32) -> Demand {
    Demand { gang: true, ..demand(job, account, tasks) }
}

fn rooms(of: &[(&str, u64)]) -> Rooms {
    let mut rooms = Rooms::default();
    of.iter().for_each(|(account, count)| rooms.insert((*account).into(), cores(*count)));
    rooms
}

/// Runs a pass on workers with this many free cores.
fn run<F>(
    free: &[u64],
    claimed: &[(Claim, Demand)],
    demands: &[Demand],
    rooms: Rooms,
    reclaimable: F,
) -> StepPlan
where
    F: Fn(LifeId) -> Reclaimable,
{
    let info = WorkerInfo {
        service: "crunch".into(),
        capacity: cores(CORES),
        labels: vec!["a".into(), "r1".into()],
        ..WorkerInfo::default()
    };
    let capacity = |(i, free): (usize, &u64)| WorkerCapacity {
        life: i as LifeId + 1,
        info: &info,
        free: cores(*free),
        claimed_beyond_free: ResourceVector::default(),
        slowness: 100,
        isolation: Isolation::default(),
    };
    let mut workers: Vec<_> = free.iter().enumerate().map(capacity).collect();
    plan(&mut workers, claimed, demands, rooms, NOW, reclaimable)
}

fn nothing(_: LifeId) -> Reclaimable {
    Reclaimable::default()
}

fn placed(plan: &StepPlan, job: u64) -> usize {
    let of_job = plan.placements.iter().filter(|placement| placement.step == step(job));
    of_job.map(|placement| placement.tasks.len()).sum()
}

#[test]
fn a_step_wider_than_the_room_goes_in_waves() {
    let demands = [demand(1, "a", 6), demand(2, "b", 6)];
    let decided = run(&[8, 8], &[], &demands, rooms(&[("a", 5)]), nothing);
    assert_eq!((placed(&decided, 1), placed(&decided, 2)), (2, 6));
    assert_eq!(decided.beyond_quota, [step(1)]);
    assert!(decided.unplaced.is_empty(), "capacity is not what the rest waits for");
}

#[test]
fn steps_of_one_account_share_its_room() {
    let demands = [demand(1, "a", 2), demand(2, "a", 2), demand(3, "a", 2)];
    let decided = run(&[8, 8], &[], &demands, rooms(&[("a", 6)]), nothing);
    assert_eq!([1, 2, 3].map(|job| placed(&decided, job)), [2, 1, 0]);
    assert_eq!(decided.beyond_quota, [step(2), step(3)]);
}

#[test]
fn a_gang_beyond_its_room_holds_no_capacity() {
    let demands = [gang(1, "a", 4), demand(2, "b", 8)];
    let decided = run(&[8, 8], &[], &demands, rooms(&[("a", 6)]), nothing);
    assert_eq!((placed(&decided, 1), placed(&decided, 2)), (0, 8));
    assert!(decided.claims.is_empty() && decided.waiting.is_empty());
    assert!(decided.unplaced.is_empty());
    assert_eq!(decided.beyond_quota, [step(1)]);
}

#[test]
fn a_tight_gang_gets_the_room_of_its_account_before_steps_behind_it() {
    let behind = |tight| {
        let demands = [Demand { tight, ..gang(1, "a", 4) }, demand(2, "a", 1), demand(3, "b", 1)];
        let decided = run(&[8, 8], &[], &demands, rooms(&[("a", 6)]), nothing);
        (placed(&decided, 2), placed(&decided, 3))
    };
    assert_eq!((behind(false), behind(true)), ((1, 1), (0, 1)));
}

#[test]
fn a_claim_counts_against_the_room_of_its_account() {
    let held = Claim { step: step(1), workers: vec![(1, 4)], ready_at: NOW + STOP };
    let held = [(held, gang(1, "a", 4))];
    let demands = [demand(2, "a", 4), demand(3, "b", 2)];
    let decided = run(&[2, 8], &held, &demands, rooms(&[("a", 10)]), nothing);
    assert_eq!((placed(&decided, 2), placed(&decided, 3)), (1, 2));
    assert!(decided.dropped_claims.is_empty());
}

#[test]
fn a_claim_is_given_up_when_a_quota_has_fallen_below_it() {
    let held = Claim { step: step(1), workers: vec![(1, 4)], ready_at: NOW + STOP };
    let held = [(held, gang(1, "a", 4))];
    let decided = run(&[8], &held, &[demand(2, "b", 4)], rooms(&[("a", 7)]), nothing);
    assert_eq!(decided.dropped_claims, [step(1)]);
    assert_eq!((placed(&decided, 1), placed(&decided, 2)), (0, 4));
}

#[test]
fn no_run_is_paused_for_a_step_without_room() {
    let pausable = |life: LifeId| {
        let task = TaskRef { step: step(900 + life), index: 0 };
        let run = PausableRun { task, run: 1, need: cores(2), priority: 2 };
        Reclaimable { pausable: vec![run], ..Reclaimable::default() }
    };
    let pauses = |room| {
        let tight = Demand { tight: true, ..demand(1, "a", 2) };
        run(&[0, 0], &[], &[tight], rooms(&[("a", room)]), pausable).pauses.len()
    };
    assert_eq!([0, 1, 2, 3, 4].map(pauses), [0, 0, 1, 1, 2]);
}

#[test]
fn what_is_paused_for_a_step_leaves_no_room_for_steps_behind_it() {
    let pausable = |life: LifeId| {
        let task = TaskRef { step: step(900 + life), index: 0 };
        let run = PausableRun { task, run: 1, need: cores(8), priority: 2 };
        let pausable = if life == 1 { vec![run] } else { Vec::new() };
        Reclaimable { pausable, ..Reclaimable::default() }
    };
    let wide = Demand { tight: true, need: cores(8), ..demand(1, "a", 1) };
    let decided = run(&[0, 4], &[], &[wide, demand(2, "a", 1)], rooms(&[("a", 9)]), pausable);
    assert_eq!((decided.pauses.len(), placed(&decided, 2)), (1, 0));
}

/// Whatever steps wait, no account gets more than its room, and an account without a quota gets
/// what it would get alone if all others are full.
#[test]
fn no_pass_gives_an_account_more_than_its_room() {
    fn holds(room: u8, steps: Vec<(bool, bool, u8)>) -> bool {
        let room = u64::from(room % 40);
        let named = |(i, (full, gang, tasks)): (usize, &(bool, bool, u8))| {
            let account = if *full { "a" } else { "b" };
            let tasks = u32::from(tasks % 7) + 1;
            Demand { gang: *gang, ..demand(i as u64 + 1, account, tasks) }
        };
        let demands: Vec<Demand> = steps.iter().enumerate().map(named).collect();
        let decided = run(&[8, 8, 8], &[], &demands, rooms(&[("a", room)]), nothing);
        let count = |decided: &StepPlan, account: &str| -> u64 {
            let of_account = demands.iter().filter(|d| d.account.as_deref() == Some(account));
            of_account.map(|d| 2 * placed(decided, d.step.job) as u64).sum()
        };
        let others: Vec<Demand> =
            demands.iter().filter(|d| d.account.as_deref() == Some("b")).cloned().collect();
        let full = run(&[8, 8, 8], &[], &demands, rooms(&[("a", 0)]), nothing);
        let alone = run(&[8, 8, 8], &[], &others, Rooms::default(), nothing);
        count(&decided, "a") <= room && count(&full, "b") == count(&alone, "b")
    }
    QuickCheck::new().tests(2_000).quickcheck(holds as fn(u8, Vec<(bool, bool, u8)>) -> bool);
}
