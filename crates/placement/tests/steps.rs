//! Placement passes over waiting steps: single rules, and a simulated burst of urgent jobs.

use accounts::Standing;
use jobs::{LifeId, Placement, ResourceVector, StepRef, TaskRef, WorkerInfo};
use placement::steps::{
    plan, rank, Demand, EligibleWorkers, Isolation, PausableRun, Reclaimable, Rooms, StepPlan,
    Urgency, WorkerCapacity,
};
use std::time::Duration;

/// CPU capacity of each worker, in thousandths of a core.
const CORES: u64 = 8_000;
/// Expiry of a ticket that is no longer valid at `NOW`.
const STALE: Duration = Duration::from_secs(99);
const NOW: Duration = Duration::from_secs(100);

fn info(rack: &str) -> WorkerInfo {
    WorkerInfo {
        service: "crunch".into(),
        capacity: ResourceVector { cpu: CORES, memory: 1_000, gpu: 0 },
        labels: vec!["a".into(), rack.into()],
        ..WorkerInfo::default()
    }
}

fn capacities<'a>(infos: &'a [WorkerInfo], free: &[u64]) -> Vec<WorkerCapacity<'a>> {
    let capacity = |(i, (info, cpu)): (usize, (&'a WorkerInfo, &u64))| WorkerCapacity {
        life: i as LifeId + 1,
        info,
        free: ResourceVector { cpu: *cpu, memory: 1_000, gpu: 0 },
        claimed_beyond_free: ResourceVector::default(),
        slowness: 100,
        isolation: Isolation::default(),
    };
    infos.iter().zip(free).enumerate().map(capacity).collect()
}

fn step(job: u64) -> StepRef {
    StepRef { job, occurrence: 0, step: 0 }
}

fn demand(job: u64, tasks: u32, cpu: u64) -> Demand {
    Demand {
        step: step(job),
        account: None,
        tasks: (0..tasks).collect(),
        need: ResourceVector { cpu, memory: 10, gpu: 0 },
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
        can_wait_for_stop: false,
        stop_time: Duration::from_millis(200),
        renewal: Duration::from_millis(500),
        suspect: false,
        yields: false,
        by_speed: false,
    }
}

fn run(workers: &mut [WorkerCapacity<'_>], demands: &[Demand]) -> StepPlan {
    plan(workers, &[], demands, Rooms::default(), NOW, |_| Reclaimable::default())
}

fn placed(plan: &StepPlan, job: u64) -> usize {
    let of_job = |p: &&Placement| p.step == step(job);
    plan.placements.iter().filter(of_job).map(|p| p.tasks.len()).sum()
}

#[test]
fn no_worker_gets_more_than_it_has() {
    let infos = vec![info("r1"); 3];
    let plan = run(&mut capacities(&infos, &[8_000, 5_000, 1_000]), &[demand(1, 9, 2_000)]);
    assert_eq!(placed(&plan, 1), 6, "4 + 2 + 0");
    assert_eq!(plan.unplaced, [step(1)]);
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let infos = vec![info("r1"); 2];
    let gang = |tasks| Demand { gang: true, ..demand(1, tasks, 3_000) };
    assert_eq!(placed(&run(&mut capacities(&infos, &[8_000, 8_000]), &[gang(4)]), 1), 4);
    assert_eq!(placed(&run(&mut capacities(&infos, &[8_000, 8_000]), &[gang(5)]), 1), 0);
}

#[test]
fn room_for_a_gang_that_comes_next_is_not_given_to_work_behind_it() {
    let infos = vec![info("r1"); 2];
    let gang = Demand { gang: true, ..demand(1, 3, 4_000) };
    let plan = run(&mut capacities(&infos, &[4_000, 4_000]), &[gang, demand(2, 4, 4_000)]);
    assert_eq!((placed(&plan, 1), placed(&plan, 2)), (0, 0));
}

#[test]
fn a_gang_that_slows_down_across_racks_stays_on_one() {
    let infos = [info("r1"), info("r2"), info("r2")];
    let gang = Demand { gang: true, same_rack: true, ..demand(1, 4, 2_000) };
    let plan = run(&mut capacities(&infos, &[8_000, 4_000, 4_000]), &[gang]);
    let mut lives: Vec<LifeId> = plan.placements[0].tasks.iter().map(|(_, life)| *life).collect();
    lives.sort_unstable();
    lives.dedup();
    assert!(lives == [1] || lives == [2, 3], "{lives:?}");
}

#[test]
fn limits_labels_and_data_are_kept() {
    let infos = [info("r1"), info("r2"), info("r2")];
    let spread = Demand { max_per_worker: 1, ..demand(1, 5, 1_000) };
    assert_eq!(placed(&run(&mut capacities(&infos, &[8_000; 3]), &[spread]), 1), 3);
    let labelled = Demand { required_label: Some("r2".into()), ..demand(1, 1, 1_000) };
    let plan = run(&mut capacities(&infos, &[8_000; 3]), &[labelled]);
    assert_ne!(plan.placements[0].tasks[0].1, 1);
    let near = Demand { data_rack: Some("r1".into()), ..demand(1, 1, 1_000) };
    let plan = run(&mut capacities(&infos, &[8_000; 3]), &[near]);
    assert_eq!(plan.placements[0].tasks[0].1, 1);
}

#[test]
fn a_stale_ticket_is_renewed_and_its_room_kept_meanwhile() {
    let infos = vec![info("r1"); 1];
    let stale = Demand { eligible: EligibleWorkers::Only(vec![(1, STALE)]), ..demand(1, 2, 4_000) };
    let plan = run(&mut capacities(&infos, &[8_000]), &[stale, demand(2, 1, 4_000)]);
    assert_eq!(plan.renew, [(step(1), vec![1])]);
    assert!(plan.placements.is_empty(), "{:?}", plan.placements);
}

#[test]
fn tight_work_gets_fast_workers_and_the_rest_leaves_them_to_it() {
    let infos = vec![info("r1"); 2];
    for (tight, life) in [(true, 1), (false, 2)] {
        let mut workers = capacities(&infos, &[8_000, 8_000]);
        workers[1].slowness = 130;
        let plan = run(&mut workers, &[Demand { tight, ..demand(1, 1, 1_000) }]);
        assert_eq!(plan.placements[0].tasks[0].1, life, "tight: {tight}");
    }
}

#[test]
fn only_tight_work_of_a_higher_priority_pauses_runs_and_no_more_than_it_needs() {
    let infos = vec![info("r1"); 1];
    let task = |index| TaskRef { step: step(9), index };
    let pausable = |index| PausableRun {
        task: task(index),
        run: 1,
        need: ResourceVector { cpu: 2_000, memory: 10, gpu: 0 },
        priority: 2,
    };
    let reclaimable =
        |_| Reclaimable { pausable: (0..4).map(pausable).collect(), ..Reclaimable::default() };
    let tight = |priority, can_wait_for_stop| Demand {
        tight: true,
        priority,
        can_wait_for_stop,
        ..demand(1, 1, 3_000)
    };
    let pauses = |demand| {
        plan(&mut capacities(&infos, &[0]), &[], &[demand], Rooms::default(), NOW, reclaimable)
            .pauses
    };
    assert_eq!(pauses(tight(0, true)), [(1, task(0), 1), (1, task(1), 1)]);
    assert_eq!(pauses(tight(2, true)), [], "runs of the same priority are not paused");
    assert_eq!(pauses(tight(0, false)), [], "the step would be late anyway");
}

#[test]
fn what_can_be_on_time_goes_before_what_is_late_and_urgent_work_first() {
    let s = Duration::from_secs;
    let urgency = |priority, submitted, objective, left| Urgency {
        priority,
        submitted: s(submitted),
        objective: s(objective),
        left: s(left),
    };
    let mut all = [
        ("late batch", urgency(2, 80, 10, 5)),
        ("hopeless", urgency(0, 10, 10, 1)),
        ("batch", urgency(2, 99, 20, 5)),
        ("urgent", urgency(0, 100, 2, 1)),
        ("late urgent", urgency(0, 97, 3, 1)),
    ];
    all.sort_by_key(|(_, urgency)| rank(urgency, &Standing::default(), s(100)));
    let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, ["urgent", "batch", "late urgent", "late batch", "hopeless"]);
}

const BURST: u32 = 200;

/// Guards against urgent jobs being late in a burst. A full cell gets 200 small urgent jobs; with
/// ranking and pauses 90 % must be on time, and more than twice as many as in order of arrival.
#[test]
fn in_a_burst_urgent_work_is_on_time_where_order_of_arrival_makes_it_late() {
    let (ranked, paused) = simulate_burst(true);
    let (arrival, _) = simulate_burst(false);
    println!("urgent on time: {ranked} of {BURST} ranked, {arrival} in order of arrival");
    assert!(paused > 0, "no run was paused: the burst is too small to test pauses");
    assert!(ranked * 10 >= BURST * 9, "{ranked} of {BURST} on time");
    assert!(arrival * 2 < ranked, "order of arrival is as good: {arrival} on time");
}

/// Simulates the burst in ticks of 10 ms. Batch tasks take 4 s, urgent ones 0.6 s. Returns the
/// number of urgent jobs on time and of paused runs.
fn simulate_burst(ranked: bool) -> (u32, usize) {
    const WORKERS: usize = 24;
    // An urgent job is on time within this many ticks.
    const ON_TIME_TICKS: u64 = 120;
    let infos = vec![info("r1"); WORKERS];
    let mut running: Vec<(usize, u64, u64, u64, bool)> = Vec::new();
    let mut queue: Vec<(u64, u64, bool)> = (0..400).map(|i| (i, 0, false)).collect();
    let (mut next, mut on_time, mut paused) = (1_000, 0, 0);
    for tick in 0..1_000u64 {
        if (400..600).contains(&tick) {
            queue.push((next, tick, true));
            next += 1;
        }
        running.retain(|(_, _, end, _, _)| *end > tick);
        let mut free = [CORES; WORKERS];
        for (w, _, _, cpu, _) in &running {
            free[*w] -= cpu;
        }
        if ranked {
            queue.sort_by_key(|(job, at, urgent)| (!urgent, *at, *job));
        }
        let to_demand = |(job, at, urgent): &(u64, u64, bool)| Demand {
            tight: *urgent && ranked,
            priority: if *urgent { 0 } else { 2 },
            can_wait_for_stop: tick < at + 40,
            ..demand(*job, 1, if *urgent { 3_000 } else { 2_000 })
        };
        let demands: Vec<Demand> = queue.iter().take(40).map(to_demand).collect();
        let reclaimable = |life: LifeId| {
            let batch_runs =
                running.iter().filter(|(w, .., urgent)| *w + 1 == life as usize && !urgent);
            let pausable = batch_runs.map(|(_, job, _, cpu, _)| PausableRun {
                task: TaskRef { step: step(*job), index: 0 },
                run: 1,
                need: ResourceVector { cpu: *cpu, memory: 10, gpu: 0 },
                priority: 2,
            });
            Reclaimable { pausable: pausable.collect(), ..Reclaimable::default() }
        };
        let decided =
            plan(&mut capacities(&infos, &free), &[], &demands, Rooms::default(), NOW, reclaimable);
        for (_, task, _) in &decided.pauses {
            let i = running.iter().position(|run| run.1 == task.step.job).expect("it runs");
            let (_, job, ..) = running.remove(i);
            queue.push((job, 0, false));
            paused += 1;
        }
        for placement in &decided.placements {
            let i = queue.iter().position(|(job, ..)| *job == placement.step.job).expect("waits");
            let (job, at, urgent) = queue.remove(i);
            let (duration, cpu) = if urgent { (60, 3_000) } else { (400, 2_000) };
            running.push((placement.tasks[0].1 as usize - 1, job, tick + duration, cpu, urgent));
            if urgent && tick + duration <= at + ON_TIME_TICKS {
                on_time += 1;
            }
        }
    }
    (on_time, paused)
}

/// Guards against workers that are kept free for ever, for a suspect that can start on none of them:
/// each runs as many tasks of its step as are allowed.
#[test]
fn no_worker_is_kept_free_for_a_suspect_that_may_not_run_there() {
    let infos = vec![info("r1"); 2];
    let surplus = Demand {
        tasks: vec![2],
        max_per_worker: 1,
        placed: vec![(1, 1), (2, 1)],
        suspect: true,
        ..demand(1, 1, 1_000)
    };
    let other = demand(2, 16, 1_000);
    let plan = run(&mut capacities(&infos, &[8_000, 8_000]), &[surplus, other]);
    assert_eq!((placed(&plan, 1), placed(&plan, 2)), (0, 16));
}

/// Guards against a service whose few workers are all kept free for one suspect, since they are few
/// among the workers of the cell.
#[test]
fn one_in_eight_workers_of_a_service_is_kept_free_for_suspects() {
    let mut infos = vec![info("r1"); 32];
    infos[..28].iter_mut().for_each(|info| info.service = "other".into());
    let mut workers = capacities(&infos, &[8_000; 32]);
    let begun = NOW + Duration::from_millis(200);
    workers[28..].iter_mut().for_each(|worker| worker.isolation.add(9, begun, false));
    let suspects = Demand { suspect: true, ..demand(1, 4, 1_000) };
    let plan = run(&mut workers, &[suspects, demand(2, 32, 1_000)]);
    assert_eq!((placed(&plan, 1), placed(&plan, 2)), (0, 24), "three of four workers are open");
}
