//! Tasks that crash each worker that starts them, among jobs that have nothing to do with them.

#[allow(dead_code)]
mod world;

use consensus::Tuning;
use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepRef, StepSpec, TaskRef};
use std::time::Duration;
use types::JobId;
use world::{World, DISKS, HOSTS};

/// A worker that a task has crashed is back after this time, in milliseconds.
const AWAY: u64 = 3_300;
/// Longer than a lease, so that the leader gives up the runs before the worker is back.
const AWAY_PAST_LEASE: u64 = 9_000;
/// How long after its start a deadly task crashes its worker, in milliseconds.
const AT_ONCE: u64 = 6;
/// An innocent job is over within this time after it was submitted: two crashes beside others, and
/// the longest work twice.
const MAX_INNOCENT_TIME: u64 = 2 * (AWAY + 1_500) + 2_000;
/// A job whose task crashes its workers is shown as failed within this time.
const MAX_DEADLY_TIME: u64 = 3 * (AWAY + 1_500);
/// A task may crash this many workers: three, and two more by starts that are still allowed.
const MAX_CRASHES: u32 = 5;

fn step(count: u32) -> StepSpec {
    let need = ResourceVector { cpu: 1_000, memory: 500, gpu: 0 };
    let estimate = Duration::from_millis(800);
    StepSpec { count, need, estimate, ..StepSpec::default() }
}

fn task(job: JobId, index: u32) -> TaskRef {
    TaskRef { step: StepRef { job, occurrence: 0, step: 0 }, index }
}

fn started_world(seed: u64) -> World {
    // A host with an empty disk gets a snapshot.
    let tuning = Tuning { kept_entries: 20, ..Tuning::default() };
    let mut world = World::with_tuning(seed, InjectedBug::None, [0; HOSTS], tuning);
    (world.crashes.renames, world.crashes.away) = (true, AWAY);
    world.configure(1);
    world.run_until(6_000);
    world
}

/// Submits a job with one task that crashes its workers after `delay`.
fn submit_deadly(world: &mut World, id: JobId, count: u32, delay: u64) {
    world.crashes.deadly.insert(task(id, count - 1), delay);
    world.submit_steps(id, id.is_multiple_of(2), vec![step(count)]);
}

fn is_over(world: &World, id: JobId) -> bool {
    world.jobs[&id].shown.is_some_and(Phase::is_over)
}

/// Asks for the jobs until all are over. Fails if one is not over by `limit`.
fn wait_until_over(world: &mut World, ids: &[JobId], limit: u64) {
    while !ids.iter().all(|id| is_over(world, *id)) {
        let open: Vec<_> = ids.iter().filter(|id| !is_over(world, **id)).collect();
        assert!(world.now < limit, "{open:x?} are not over after {limit} ms");
        world.run_until(world.now + 100);
        world.ask_all();
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

fn crashes_under(world: &World, id: JobId) -> u32 {
    let of_job = world.crashes.under.iter().filter(|(task, _)| task.step.job == id);
    of_job.map(|(_, count)| *count).max().unwrap_or(0)
}

/// Crashes under the first task of a job that the leader knows of.
fn known_crashes(world: &World, id: JobId) -> u32 {
    let known = world.leader().and_then(|leader| world.known_crashes(leader, task(id, 0)));
    known.map_or(0, |known| known.total())
}

fn assert_failed_after(world: &World, id: JobId, crashes: std::ops::RangeInclusive<u32>) {
    assert_eq!(world.jobs[&id].shown, Some(Phase::Failed), "job {id}");
    let count = crashes_under(world, id);
    assert!(crashes.contains(&count), "job {id} crashed {count} workers, not {crashes:?}");
}

/// Three deadly jobs in a stream of innocent ones. `disturb` is called after each crash of a worker.
fn play_stream<F>(world: &mut World, max_crashes: u32, mut disturb: F)
where
    F: FnMut(&mut World),
{
    let mut innocent = Vec::new();
    let begin = world.now;
    let mut crashes = 0;
    for i in 0..80 {
        if i % 20 == 5 {
            submit_deadly(world, 1_000 + i, 1 + (i as u32 / 20) % 2, AT_ONCE);
        }
        let id = i + 1;
        world.submit_steps(id, id.is_multiple_of(2), vec![step(1 + (i as u32) % 2)]);
        innocent.push((id, world.now));
        world.run_until(world.now + 100);
        let now: u32 = world.crashes.under.values().sum();
        if now > crashes {
            crashes = now;
            disturb(world);
        }
    }
    assert!(crashes >= 4, "only {crashes} crashes: the test is meaningless");
    let deadly: Vec<JobId> = world.crashes.deadly_jobs().into_iter().collect();
    wait_until_over(world, &deadly, begin + 8_000 + MAX_DEADLY_TIME * u64::from(max_crashes) / 3);
    for id in &deadly {
        assert_failed_after(world, *id, 2..=max_crashes);
    }
    for (id, submitted) in innocent {
        wait_until_over(world, &[id], submitted.max(begin + 8_000) + MAX_INNOCENT_TIME);
        assert_eq!(world.jobs[&id].shown, Some(Phase::Complete), "innocent job {id}");
    }
}

/// Guards against a task that crashes one worker after the other.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_those_beside_it_are_not() {
    play_stream(&mut started_world(41), 3, |_| {});
}

#[test]
fn a_deadly_task_is_given_up_by_workers_that_keep_their_names() {
    let mut world = started_world(42);
    world.crashes.renames = false;
    play_stream(&mut world, 3, |_| {});
}

/// Guards against crashes that only the leader of that time knows of.
#[test]
fn crashes_are_counted_through_changes_of_the_leader() {
    play_stream(&mut started_world(43), MAX_CRASHES, |world| {
        if let Some(leader) = world.leader() {
            world.kill(leader);
            world.start(leader, false);
        }
    });
}

/// Guards against crashes that are forgotten when all hosts lose power.
#[test]
fn crashes_are_counted_through_a_loss_of_all_power() {
    let mut world = started_world(44);
    submit_deadly(&mut world, 7, 1, AT_ONCE);
    while known_crashes(&world, 7) == 0 {
        world.run_until(world.now + 1);
    }
    (0..DISKS).for_each(|i| world.kill(i));
    (0..DISKS).for_each(|i| world.start(i, false));
    let limit = world.now + MAX_DEADLY_TIME;
    wait_until_over(&mut world, &[7], limit);
    assert_failed_after(&world, 7, 2..=2);
}

/// Guards against crashes that a snapshot leaves out: the only host that leads in the end has got
/// all that it knows from one.
#[test]
fn crashes_are_counted_through_a_snapshot() {
    let mut world = started_world(45);
    submit_deadly(&mut world, 7, 1, AT_ONCE);
    while known_crashes(&world, 7) == 0 {
        world.run_until(world.now + 1);
    }
    // The next run goes on until the end of the test.
    world.crashes.deadly.insert(task(7, 0), 60_000);
    let over: Vec<JobId> = (1..=120).map(|i| 100 + i).collect();
    for id in &over {
        world.submit_steps(*id, false, vec![step(2)]);
        world.run_until(world.now + 40);
    }
    let wiped = (0..DISKS).find(|i| Some(*i) != world.leader()).expect("two followers");
    world.wipe(wiped);
    world.start(wiped, false);
    world.run_until(world.now + 8_000);
    let known = world.known_crashes(wiped, task(7, 0)).map(|known| known.certain);
    assert_eq!(known, Some(1));
}

/// Guards against a task that crashes workers late in its work, beside others that have just begun.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up_in_the_end() {
    let mut world = started_world(46);
    submit_deadly(&mut world, 7, 1, 90);
    submit_deadly(&mut world, 8, 2, 400);
    let mut innocent = Vec::new();
    for id in 100..250 {
        world.submit_steps(id, id.is_multiple_of(2), vec![step(1)]);
        innocent.push(id);
        world.run_until(world.now + 100);
    }
    let limit = world.now + 2 * MAX_DEADLY_TIME;
    wait_until_over(&mut world, &[7, 8], limit);
    for id in [7, 8] {
        assert_failed_after(&world, id, 2..=5);
    }
    let limit = world.now + MAX_INNOCENT_TIME;
    wait_until_over(&mut world, &innocent, limit);
    let failed = innocent.iter().filter(|id| world.jobs[id].shown == Some(Phase::Failed)).count();
    assert_eq!(failed, 0, "innocent jobs that were given up");
}

/// Guards against crashes that are taken for silence: the leases have expired before the worker is
/// back.
#[test]
fn a_deadly_task_is_given_up_although_its_workers_stay_away_past_their_leases() {
    let mut world = started_world(47);
    world.crashes.away = AWAY_PAST_LEASE;
    submit_deadly(&mut world, 7, 1, AT_ONCE);
    let limit = world.now + 5 * (AWAY_PAST_LEASE + 2_000);
    wait_until_over(&mut world, &[7], limit);
    assert_failed_after(&world, 7, 2..=5);
}

/// Guards against tasks that are given up because their workers were only out of reach.
#[test]
fn a_task_whose_workers_are_cut_off_again_and_again_is_not_given_up() {
    let mut world = started_world(48);
    world.submit_steps(7, false, vec![StepSpec { count: 2, ..step(2) }]);
    for _ in 0..4 {
        let mut busy: Vec<usize> = Vec::new();
        while busy.is_empty() && !is_over(&world, 7) {
            world.run_until(world.now + 5);
            world.ask(7);
            let runs = |w: &usize| world.workers[*w].runs.keys().any(|(t, _)| t.step.job == 7);
            busy = (0..world.workers.len()).filter(runs).collect();
        }
        world.cut_workers.extend(busy);
        world.run_until(world.now + 9_000);
        world.cut_workers.clear();
    }
    let limit = world.now + 20_000;
    wait_until_over(&mut world, &[7], limit);
    assert_eq!(world.jobs[&7].shown, Some(Phase::Complete));
}
