//! Workers whose capacity shrinks and grows again while they run.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::time::Duration;
use world::{World, WORKERS};

const FULL: ResourceVector = ResourceVector { cpu: 8_000, memory: 8_192, gpu: 0 };
const HALF: ResourceVector = ResourceVector { cpu: 4_000, memory: 8_192, gpu: 0 };

fn step(count: u32, cpu: u64) -> StepSpec {
    let need = ResourceVector { cpu, memory: 100, gpu: 0 };
    StepSpec { count, need, estimate: Duration::from_millis(800), ..StepSpec::default() }
}

fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, InjectedBug::None);
    world.configure(1);
    world.run_until(6_000);
    world
}

/// Guards against a start that was sent before the capacity shrank and is repeated long after.
#[test]
fn a_start_that_got_no_answer_is_not_repeated_on_a_worker_that_shrank() {
    for seed in 51..71 {
        let mut world = started_world(seed);
        // Orders get no answer while the heartbeats go on.
        world.late_orders = 60;
        for id in 1..=30 {
            world.submit_steps(id, false, vec![step(2, 1_900)]);
            if id == 10 {
                let now = world.now;
                world.workers.iter_mut().for_each(|worker| worker.set_capacity(HALF, now));
            }
            world.run_until(world.now + 200);
            assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        }
        world.late_orders = 0;
        world.run_until(world.now + 15_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Guards against a heartbeat on its way that undoes a later one.
#[test]
fn a_delayed_heartbeat_does_not_give_capacity_back() {
    let mut world = started_world(72);
    let old: Vec<_> = (0..WORKERS).map(|w| world.heartbeat_of(w)).collect();
    world.run_until(world.now + 100);
    let now = world.now;
    world.workers.iter_mut().for_each(|worker| worker.set_capacity(HALF, now));
    world.run_until(world.now + 6_000);
    for heartbeat in old {
        let host = world.any_of_group();
        world.call(host, scheduler::Call::Heartbeat(Box::new(heartbeat)));
    }
    for id in 1..=12 {
        world.submit_steps(id, false, vec![step(4, 1_900)]);
    }
    world.run_until(world.now + 300);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against work that waits although the capacity has grown again.
#[test]
fn what_did_not_fit_runs_once_the_capacity_has_grown_again() {
    let mut world = started_world(73);
    let now = world.now;
    world.workers.iter_mut().for_each(|worker| worker.set_capacity(HALF, now));
    world.run_until(world.now + 3_000);
    world.submit_steps(1, false, vec![step(2, 6_000)]);
    world.run_until(world.now + 2_000);
    world.ask_all();
    world.run_until(world.now + 200);
    assert_eq!(world.jobs[&1].shown, Some(Phase::Queued));
    let now = world.now;
    world.workers.iter_mut().for_each(|worker| worker.set_capacity(FULL, now));
    world.run_until(world.now + 6_000);
    world.ask_all();
    world.run_until(world.now + 200);
    assert_eq!(world.jobs[&1].shown, Some(Phase::Complete));
}
