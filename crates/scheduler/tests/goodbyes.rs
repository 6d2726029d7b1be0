//! Workers that say goodbye, and goodbyes that are read late.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{ResourceVector, StepSpec};
use std::time::Duration;
use world::{World, DISKS};

const JOB: u64 = 0xe2;
/// A run takes this long at least, in milliseconds.
const RUN_TIME: u64 = 9_000;
/// The next leader gives up the runs of a worker that it never reaches within this time, in
/// milliseconds: an election, the time in which the leader before may have renewed leases, and a lease.
const TAKE_OVER: u64 = 1_500 + 1_500 + 6_500;

/// A world in which one worker runs a task and drains. Returns the worker too.
fn draining_world(seed: u64) -> (World, usize) {
    let mut world = World::new(seed, InjectedBug::None);
    world.min_duration = RUN_TIME;
    world.configure(1);
    world.run_until(6_000);
    let need = ResourceVector { cpu: 1_000, memory: 100, gpu: 0 };
    let estimate = Duration::from_secs(9);
    let step = StepSpec { count: 1, need, estimate, ..StepSpec::default() };
    world.submit_steps(JOB, false, vec![step]);
    world.run_until(world.now + 500);
    let w = world.workers.iter().position(|worker| !worker.runs.is_empty()).expect("it runs");
    world.drain_worker(w);
    world.run_until(world.now + 300);
    (world, w)
}

/// Guards against a task that runs on two workers: a goodbye of a worker's earlier life is read when
/// its next life drains, which is up (review/13).
#[test]
fn a_goodbye_that_is_read_late_ends_no_life_that_is_up() {
    for seed in 1..=20 {
        let (mut world, w) = draining_world(seed);
        let starts = world.starts;
        world.say_goodbye(w, (seed % 3) as usize, 0);
        // The same goodbye, repeated to another host.
        world.say_goodbye(w, ((seed + 1) % 3) as usize, seed * 50);
        world.run_until(world.now + RUN_TIME / 2);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.starts, starts, "seed {seed}: the task was started again");
        assert!(!world.workers[w].runs.is_empty(), "seed {seed}: its lease was not renewed");
        world.run_until(world.now + RUN_TIME + 3_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Guards against tasks that wait for a lease although their worker has left as announced.
#[test]
fn a_task_starts_elsewhere_as_soon_as_its_worker_has_left() {
    for seed in 1..=20 {
        let (mut world, w) = draining_world(seed);
        let starts = world.starts;
        let host = world.leader().expect("there is a leader");
        world.say_goodbye(w, host, 0);
        world.run_until(world.now + 5);
        world.end_worker(w);
        world.run_until(world.now + 60);
        assert_eq!(world.starts, starts + 1, "seed {seed}: not started elsewhere after 60 ms");
        world.run_until(world.now + RUN_TIME * 2);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Guards against tasks that are lost, or run twice, where a goodbye crosses a change of leader, with
/// the worker gone or still there.
#[test]
fn a_goodbye_around_a_change_of_leader_loses_nothing() {
    for seed in 1..=20 {
        let (mut world, w) = draining_world(seed);
        let starts = world.starts;
        let first = world.leader().expect("there is a leader");
        let leaves = seed % 2 == 0;
        world.say_goodbye(w, (first + 1) % DISKS, seed % 5);
        world.run_until(world.now + 6);
        world.freeze(first, 4_000);
        if leaves {
            world.end_worker(w);
        }
        world.run_until(world.now + TAKE_OVER + 1_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.starts, starts + u64::from(leaves), "seed {seed}: leaves: {leaves}");
        world.run_until(world.now + RUN_TIME * 2);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// A worker that runs nothing and says goodbye is not kept.
#[test]
fn a_life_without_runs_ends_with_its_goodbye() {
    let (mut world, busy) = draining_world(1);
    let idle = (0..world.workers.len()).find(|w| *w != busy).unwrap();
    world.drain_worker(idle);
    world.run_until(world.now + 300);
    let leader = world.leader().expect("there is a leader");
    let known = |world: &World| {
        world.known_workers(leader).iter().any(|(name, _)| *name == world.workers[idle].name)
    };
    assert!(known(&world));
    world.end_worker(idle);
    world.say_goodbye(idle, leader, 0);
    world.run_until(world.now + 30);
    assert!(!known(&world));
}
