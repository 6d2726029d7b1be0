//! Claims of gangs that can't start yet: pausing of runs, ticket renewal, and expiry of claims.

use jobs::{LifeId, ResourceVector, StepRef, TaskRef, WorkerInfo};
use placement::steps::{
    plan, Claim, Demand, EligibleWorkers, Isolation, PausableRun, Reclaimable, Rooms,
    WorkerCapacity,
};
use std::time::Duration;
use types::Timestamp;

const MS: Duration = Duration::from_millis(1);
const NOW: Timestamp = Duration::from_secs(100);
const STOP: Duration = Duration::from_millis(200);
const RENEWAL: Duration = Duration::from_millis(500);

fn info() -> WorkerInfo {
    WorkerInfo { service: "crunch".into(), capacity: cores(8), ..WorkerInfo::default() }
}

fn cores(count: u64) -> ResourceVector {
    ResourceVector { cpu: count * 1_000, memory: count, gpu: 0 }
}

fn capacities<'a>(infos: &'a [WorkerInfo], free: &[u64]) -> Vec<WorkerCapacity<'a>> {
    let capacity = |(i, (info, free)): (usize, (&'a WorkerInfo, &u64))| WorkerCapacity {
        life: i as LifeId + 1,
        info,
        free: cores(*free),
        claimed_beyond_free: ResourceVector::default(),
        slowness: 100,
        isolation: Isolation::default(),
    };
    infos.iter().zip(free).enumerate().map(capacity).collect()
}

fn gang(job: u64, tasks: u32, each: u64) -> Demand {
    Demand {
        step: StepRef { job, occurrence: 0, step: 0 },
        account: None,
        tasks: (0..tasks).collect(),
        need: cores(each),
        gang: true,
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
        renewal: RENEWAL,
        suspect: false,
        yields: false,
        by_speed: false,
    }
}

fn pausable(life: LifeId, count: u32, each: u64) -> Reclaimable {
    let run = |index| PausableRun {
        task: TaskRef { step: StepRef { job: 900 + life, occurrence: 0, step: 0 }, index },
        run: 1,
        need: cores(each),
        priority: 2,
    };
    Reclaimable { pausable: (0..count).map(run).collect(), ..Reclaimable::default() }
}

#[test]
fn runs_are_paused_only_for_a_gang_that_fits_whole_then() {
    let infos = vec![info(); 2];
    let paused = |tasks| {
        let demands = [gang(1, tasks, 4)];
        let decided =
            plan(&mut capacities(&infos, &[0, 0]), &[], &demands, Rooms::default(), NOW, |l| {
                pausable(l, 4, 2)
            });
        (decided.pauses.len(), decided.claims.len())
    };
    assert_eq!(paused(4), (8, 1), "all eight runs are paused");
    assert_eq!(paused(3), (6, 1), "only as many runs as needed are paused");
    assert_eq!(paused(5), (0, 0), "no run is paused if the gang would not fit completely");
}

#[test]
fn claimed_room_is_given_to_nobody_else_and_to_the_gang_once_it_is_whole() {
    let infos = vec![info(); 2];
    let wide = gang(1, 4, 4);
    let first = plan(
        &mut capacities(&infos, &[8, 2]),
        &[],
        std::slice::from_ref(&wide),
        Rooms::default(),
        NOW,
        |l| pausable(l, if l == 2 { 3 } else { 0 }, 2),
    );
    let [claim] = &first.claims[..] else { panic!("{:?}", first.claims) };
    let urgent = Demand { priority: 0, gang: false, ..gang(2, 1, 2) };
    let held = [(claim.clone(), wide)];
    let at = NOW + 100 * MS;
    let none = |_| Reclaimable::default();
    let second = plan(
        &mut capacities(&infos, &[8, 2]),
        &held,
        std::slice::from_ref(&urgent),
        Rooms::default(),
        at,
        none,
    );
    assert!(second.placements.is_empty(), "{:?}", second.placements);
    let third =
        plan(&mut capacities(&infos, &[8, 8]), &held, &[urgent], Rooms::default(), at + STOP, none);
    assert_eq!(third.placements.len(), 1, "{:?}", third.placements);
    assert_eq!(third.placements[0].tasks.len(), 4);
}

#[test]
fn a_claim_whose_room_does_not_come_is_given_up() {
    let infos = vec![info(); 1];
    let wide = gang(1, 2, 4);
    let claim = Claim { step: wide.step, workers: vec![(1, 2)], ready_at: NOW };
    let advance = |after, free| {
        let held = [(claim.clone(), wide.clone())];
        let none = |_| Reclaimable::default();
        plan(&mut capacities(&infos, &[free]), &held, &[], Rooms::default(), NOW + after, none)
            .dropped_claims
            .len()
    };
    assert_eq!(advance(100 * MS, 4), 0);
    assert_eq!(advance(Duration::from_secs(2), 4), 1, "its capacity was never freed");
    let gone = Claim { workers: vec![(7, 2)], ..claim.clone() };
    let held = [(gone, wide.clone())];
    let decided = plan(&mut capacities(&infos, &[8]), &held, &[], Rooms::default(), NOW, |_| {
        Reclaimable::default()
    });
    assert_eq!(decided.dropped_claims.len(), 1, "its worker is gone");
}

#[test]
fn tickets_of_a_claim_are_renewed_together() {
    let infos = vec![info(); 2];
    let almost = NOW + 300 * MS;
    let wide =
        Demand { eligible: EligibleWorkers::Only(vec![(1, NOW), (2, almost)]), ..gang(1, 4, 4) };
    let decided =
        plan(&mut capacities(&infos, &[8, 8]), &[], &[wide], Rooms::default(), NOW, |_| {
            Reclaimable::default()
        });
    assert!(decided.placements.is_empty());
    assert_eq!(decided.claims.len(), 1, "the capacity is held meanwhile");
    let renewed: Vec<&[LifeId]> = decided.renew.iter().map(|(_, lives)| &lives[..]).collect();
    assert_eq!(renewed, [[1, 2]], "the second ticket would expire before the renewal is answered");
}

#[test]
fn a_run_that_is_overdue_does_not_count_as_room() {
    let infos = vec![info(); 1];
    let overdue =
        |_| Reclaimable { ending: vec![(Duration::ZERO, cores(8))], ..Reclaimable::default() };
    let decided =
        plan(&mut capacities(&infos, &[0]), &[], &[gang(1, 2, 4)], Rooms::default(), NOW, overdue);
    assert!(decided.claims.is_empty(), "{:?}", decided.claims);
    assert_eq!(decided.waiting.len(), 1, "it waits for the run to end");
}

/// Guards against work that nobody is owed and that holds room of work that is.
#[test]
fn a_gang_that_gets_what_is_left_over_claims_nothing_while_others_wait() {
    let infos = vec![info(); 2];
    let leftover = Demand { yields: true, ..gang(1, 4, 4) };
    let decided = plan(
        &mut capacities(&infos, &[8, 2]),
        &[],
        std::slice::from_ref(&leftover),
        Rooms::default(),
        NOW,
        |life| pausable(life, 3, 2),
    );
    assert!(decided.claims.is_empty() && decided.waiting.is_empty() && decided.pauses.is_empty());
    let stale = EligibleWorkers::Only(vec![(1, NOW), (2, NOW)]);
    let leftover = Demand { eligible: stale, ..leftover };
    let none = |_| Reclaimable::default();
    let too_wide = Demand { gang: false, ..gang(2, 1, 9) };
    let small = Demand { gang: false, ..gang(3, 4, 4) };
    let demands = [too_wide, leftover.clone(), small];
    let beside = plan(&mut capacities(&infos, &[8, 8]), &[], &demands, Rooms::default(), NOW, none);
    assert!(beside.claims.is_empty(), "another step waits");
    assert_eq!(beside.placements.len(), 1, "what it does not hold is free for the next one");
    assert_eq!(beside.placements[0].tasks.len(), 4);
    let alone =
        plan(&mut capacities(&infos, &[8, 8]), &[], &[leftover], Rooms::default(), NOW, none);
    assert_eq!(alone.claims.len(), 1, "it is served once nobody else waits");
}
