//! What crashes of workers leave behind for the work of others.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{EndKind, ResourceVector, StepSpec};
use std::time::Duration;
use types::JobId;
use world::worker::Worker;
use world::{World, WORKERS};

/// A worker that has crashed is back after this time, in milliseconds.
const AWAY: u64 = 1_000;
/// Work for which there is room starts within this time, whatever has crashed before.
const MAX_HELD: u64 = 3_000;
/// Longer than any test.
const FOR_EVER: u64 = 10_000_000;
const SERVICE: JobId = 7;
const SECOND: JobId = 8;

fn step(count: u32) -> StepSpec {
    let need = ResourceVector { cpu: 500, memory: 250, gpu: 0 };
    let estimate = Duration::from_millis(300);
    StepSpec { count, need, estimate, ..StepSpec::default() }
}

/// A step with a task on each worker that lasts.
fn on_each_worker() -> StepSpec {
    StepSpec { long_running: true, max_per_worker: 1, ..step(WORKERS as u32) }
}

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, InjectedBug::None);
    (world.crashes.renames, world.crashes.away) = (true, AWAY);
    // Whether a crash was sure is not known.
    world.crashes.dark = true;
    world.min_duration = FOR_EVER;
    world.configure(1);
    world.run_until(6_000);
    world
}

/// Number of workers that run a task of the job.
fn workers_of(world: &World, id: JobId) -> usize {
    let runs =
        |worker: &&Worker| worker.up && worker.runs.keys().any(|(task, _)| task.step.job == id);
    world.workers.iter().filter(runs).count()
}

/// Fails unless `count` workers run tasks of the job within `limit`.
fn wait_until_on(world: &mut World, id: JobId, count: usize, limit: u64) {
    let begin = world.now;
    while workers_of(world, id) < count {
        let waited = world.now - begin;
        assert!(waited < limit, "job {id:x} on {} workers, {waited} ms", workers_of(world, id));
        world.run_until(world.now + 10);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Submits the job and waits until each worker runs one of its tasks.
fn start_on_each_worker(world: &mut World, id: JobId, step: StepSpec) {
    world.submit_steps(id, false, vec![step]);
    wait_until_on(world, id, WORKERS, 5_000);
}

/// Lets a worker crash after it has run on for a while, and waits until it is back.
fn crash(world: &mut World, w: usize) {
    world.run_until(world.now + 600);
    world.crash_worker(w);
    world.run_until(world.now + AWAY);
    world.restart_worker(w);
}

/// Crashes one worker after the other, each once the job has its tasks back.
fn crash_each_worker(world: &mut World, id: JobId) {
    for w in 0..WORKERS {
        crash(world, w);
        wait_until_on(world, id, WORKERS, 20_000);
    }
}

/// Submits ten jobs of one task. Fails if one of them has not started within [`MAX_HELD`].
fn assert_others_start(world: &mut World, first: JobId) {
    let begin = world.now;
    let ids: Vec<JobId> = (first..first + 10).collect();
    ids.iter().for_each(|id| world.submit_steps(*id, false, vec![step(1)]));
    for id in ids {
        let left = (begin + MAX_HELD).saturating_sub(world.now);
        wait_until_on(world, id, 1, left);
    }
}

/// Guards against tasks whose workers crashed twice, for whatever cause, and that close these
/// workers to all other jobs for as long as they last.
#[test]
fn others_start_beside_a_service_whose_workers_have_crashed_twice() {
    let mut world = started_world(71);
    start_on_each_worker(&mut world, SERVICE, on_each_worker());
    (0..2).for_each(|_| crash_each_worker(&mut world, SERVICE));
    assert_others_start(&mut world, 100);
}

/// The same where workers keep their names.
#[test]
fn others_start_beside_a_service_on_workers_that_keep_their_names() {
    let mut world = started_world(72);
    world.crashes.renames = false;
    start_on_each_worker(&mut world, SERVICE, on_each_worker());
    (0..2).for_each(|_| crash_each_worker(&mut world, SERVICE));
    assert_others_start(&mut world, 100);
}

/// Guards against suspicion that begins anew with each leader.
#[test]
fn others_start_under_a_new_leader_too() {
    let mut world = started_world(73);
    start_on_each_worker(&mut world, SERVICE, on_each_worker());
    (0..2).for_each(|_| crash_each_worker(&mut world, SERVICE));
    world.run_until(world.now + MAX_HELD);
    for first in [100, 200] {
        let old = world.leader().expect("a leader");
        world.kill(old);
        world.run_until(world.now + 2_000);
        world.start(old, false);
        assert!(world.leader().is_some_and(|leader| leader != old), "no new leader");
        world.run_until(world.now + 500);
        assert_others_start(&mut world, first);
    }
}

/// Guards against a gang whose members close their workers.
#[test]
fn others_start_beside_a_gang_whose_workers_have_crashed_twice() {
    let mut world = started_world(74);
    let gang = StepSpec { gang: true, max_per_worker: 1, ..step(WORKERS as u32) };
    start_on_each_worker(&mut world, SERVICE, gang);
    // Each member restarts on any worker, and a third crash would give the gang up.
    for index in (0..WORKERS as u32).flat_map(|index| [index; 2]) {
        let runs = |w: &Worker| w.runs.keys().any(|(t, _)| t.index == index);
        let w = world.workers.iter().position(runs).expect("a worker that runs the member");
        crash(&mut world, w);
        wait_until_on(&mut world, SERVICE, WORKERS, 20_000);
    }
    assert_others_start(&mut world, 100);
}

/// Two services on each worker: one under which each worker crashed twice, and one under which each
/// crashed once.
fn start_two_services(world: &mut World) {
    start_on_each_worker(world, SERVICE, on_each_worker());
    crash_each_worker(world, SERVICE);
    start_on_each_worker(world, SECOND, on_each_worker());
    for w in 0..WORKERS {
        crash(world, w);
        for id in [SERVICE, SECOND] {
            wait_until_on(world, id, WORKERS, AWAY + 2 * MAX_HELD);
        }
    }
}

/// Lets all tasks of a job fail.
fn fail_tasks(world: &mut World, id: JobId) {
    for worker in &mut world.workers {
        let failing: Vec<_> =
            worker.runs.keys().filter(|(t, _)| t.step.job == id).copied().collect();
        failing.into_iter().for_each(|(task, run)| worker.end(task, run, EndKind::Failed));
    }
}

/// Guards against suspects that hold back the suspects of other jobs for as long as they last.
#[test]
fn suspects_of_another_job_start_beside_a_service_whose_workers_have_crashed_twice() {
    let mut world = started_world(75);
    start_two_services(&mut world);
    assert_others_start(&mut world, 100);
}

/// Guards against suspects that are kept apart again from each start on: tasks that fail again and
/// again would hold others back for ever.
#[test]
fn others_start_beside_suspects_that_fail_and_start_again() {
    let mut world = started_world(76);
    start_two_services(&mut world);
    world.run_until(world.now + 1_000);
    fail_tasks(&mut world, SECOND);
    let begin = world.now;
    while workers_of(&world, SECOND) < WORKERS {
        assert!(world.now < begin + MAX_HELD, "{} have started", workers_of(&world, SECOND));
        fail_tasks(&mut world, SERVICE);
        world.run_until(world.now + 10);
    }
    assert_others_start(&mut world, 100);
}

/// Guards against a task that is cleared for good: it has to be kept apart again after a crash, also
/// if it was cleared while a worker of it was only silent.
#[test]
fn a_cleared_task_is_kept_apart_again_after_the_next_crash() {
    let mut world = started_world(77);
    world.submit_steps(SERVICE, false, vec![StepSpec { long_running: true, ..step(1) }]);
    wait_until_on(&mut world, SERVICE, 1, 1_000);
    let cut = worker_of(&world, SERVICE);
    world.cut_workers.insert(cut);
    world.run_until(world.now + 9_000);
    assert_ne!(worker_of(&world, SERVICE), cut, "started elsewhere");
    world.run_until(world.now + 1_000);
    fail_tasks(&mut world, SERVICE);
    world.run_until(world.now + 1_000);
    assert_eq!(closed_workers(&world), 0, "cleared");
    world.cut_workers.clear();
    world.run_until(world.now + 3_000);
    let w = worker_of(&world, SERVICE);
    crash(&mut world, w);
    wait_until_on(&mut world, SERVICE, 1, MAX_HELD);
    world.run_until(world.now + 20);
    assert_eq!(closed_workers(&world), 1);
    world.run_until(world.now + 1_000);
    assert_eq!(closed_workers(&world), 0);
}

/// Index of the worker that runs the first task of the job.
fn worker_of(world: &World, id: JobId) -> usize {
    let runs = |w: &Worker| w.up && w.runs.keys().any(|(task, _)| task.step.job == id);
    world.workers.iter().position(runs).expect("a worker that runs the job")
}

/// What the leader says of workers that take one job only.
fn closed_workers(world: &World) -> usize {
    world.stats(world.leader().expect("a leader")).closed_workers
}
