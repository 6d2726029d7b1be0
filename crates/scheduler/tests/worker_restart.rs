//! Workers that restart under their old name, among orders to their earlier lives.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::ops::Range;
use std::time::Duration;
use world::{World, HOSTS, WORKERS};

/// Workers that crash; the others take over their work.
const CRASHED: Range<usize> = 0..3;
/// A crashed worker is back after this time, in milliseconds.
const AWAY: u64 = 1_200;
/// A lease lasts at most this long, in milliseconds.
const LEASE: u64 = 6_000;

fn step(count: u32) -> StepSpec {
    let need = ResourceVector { cpu: 1_000, memory: 100, gpu: 0 };
    StepSpec { count, need, estimate: Duration::from_secs(9), ..StepSpec::default() }
}

/// Creates a world in which the next life of a worker may get the starts for the life before, since
/// the hosts are of an earlier version.
fn started_world(seed: u64) -> World {
    started_world_of(seed, 0..HOSTS)
}

fn started_world_of(seed: u64, earlier_hosts: Range<usize>) -> World {
    let mut world = World::new(seed, InjectedBug::None);
    world.connections.earlier_hosts.extend(earlier_hosts);
    world.min_duration = 9_000;
    world.configure(1);
    world.run_until(6_000 + seed % 7 * 200);
    world
}

/// Crashes workers, submits a job that is placed on them, and starts them again. Each is cut off as
/// soon as its next life has accepted a start. Returns the workers that are cut off.
fn cut_off_next_lives(world: &mut World) -> Vec<usize> {
    CRASHED.for_each(|w| world.crash_worker(w));
    world.submit_steps(1, false, vec![step(24)]);
    world.run_until(world.now + AWAY);
    CRASHED.for_each(|w| world.restart_worker(w));
    for _ in 0..1_000 {
        world.run_until(world.now + 1);
        for w in CRASHED {
            if !world.workers[w].runs.is_empty() {
                world.cut_workers.insert(w);
            }
        }
    }
    world.cut_workers.iter().copied().collect()
}

/// Guards against a start that the next life of its worker carries out, however the restart falls.
#[test]
fn no_next_life_accepts_a_start_for_the_life_before() {
    for seed in 1..=20 {
        let mut world = started_world_of(seed, 0..0);
        assert_eq!(cut_off_next_lives(&mut world), [], "seed {seed}");
        world.run_until(world.now + 30_000);
        world.ask_all();
        world.run_until(world.now + 500);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.jobs[&1].shown, Some(Phase::Complete), "seed {seed}");
    }
}

/// Guards against a task that runs on two workers: the next life of a worker accepts a start that
/// was sent to the life before, and is cut off before the leader knows of it.
#[test]
fn a_start_that_a_next_life_has_accepted_is_waited_out() {
    let mut accepted = 0;
    for seed in 1..=20 {
        let mut world = started_world(seed);
        accepted += cut_off_next_lives(&mut world).len();
        world.run_until(world.now + 2 * LEASE);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        world.cut_workers.clear();
        world.run_until(world.now + 30_000);
        world.ask_all();
        world.run_until(world.now + 500);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.jobs[&1].shown, Some(Phase::Complete), "seed {seed}");
    }
    assert!(accepted >= WORKERS, "only {accepted} next lives have accepted a start");
}

fn run_until_held(world: &mut World, limit: u64) {
    while world.held_by().is_empty() && world.now < limit {
        world.run_until(world.now + 1);
    }
}

/// Guards against tasks that are released while the next life may still be running them: an order
/// without an answer is carried out after 12 s at last, and the run holds a lease then.
#[test]
fn held_tasks_are_kept_for_a_lease_after_the_last_delayed_order() {
    const LAST_ORDER: u64 = 12_000;
    let mut world = started_world(3);
    // The workers restart while starts are on their way, register, and are cut off.
    for id in 1.. {
        assert!(id < 100, "no task is ever held back");
        world.submit_steps(id, false, vec![step(3)]);
        world.run_until(world.now + 25);
        CRASHED.for_each(|w| {
            world.crash_worker(w);
            world.restart_worker(w);
        });
        let limit = world.now + 2_000;
        run_until_held(&mut world, limit);
        if !world.held_by().is_empty() {
            break;
        }
    }
    world.cut_workers.extend(CRASHED);
    let since = world.now;
    world.run_until(since + LAST_ORDER + LEASE);
    assert!(!world.held_by().is_empty(), "released {} ms after the restart", world.now - since);
    world.run_until(since + LAST_ORDER + LEASE + 2_000);
    assert!(world.held_by().is_empty(), "still held {} ms after the restart", world.now - since);
}

/// Guards against tasks that are held back for a worker that is gone: orders name their worker, and
/// another one has its address.
#[test]
fn held_tasks_are_released_when_another_worker_has_the_address() {
    let mut world = started_world(2);
    let cut = cut_off_next_lives(&mut world);
    let limit = world.now + 2 * LEASE;
    run_until_held(&mut world, limit);
    assert!(!world.held_by().is_empty(), "nothing is held back for {cut:?}");
    world.crashes.renames = true;
    world.cut_workers.clear();
    CRASHED.for_each(|w| {
        world.crash_worker(w);
        world.restart_worker(w);
    });
    world.run_until(world.now + 500);
    assert!(world.held_by().is_empty(), "held for {:?}", world.held_by());
}
