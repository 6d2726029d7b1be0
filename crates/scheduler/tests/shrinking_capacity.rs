//! Workers whose capacity shrinks and grows again while they run.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::time::Duration;
use world::{World, DISKS, WORKERS};

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

/// Guards against starts that the next leader sends although a worker has shrunk since they were
/// placed.
#[test]
fn a_new_leader_does_not_send_starts_that_a_worker_has_no_capacity_for_any_more() {
    for seed in 87..97 {
        let mut world = started_world(seed);
        // Orders don't reach the workers; of their heartbeats one does.
        world.cut_workers.extend(0..WORKERS);
        for id in 1..=12 {
            world.submit_steps(id, false, vec![step(2, 1_900)]);
        }
        world.run_until(world.now + 300);
        let now = world.now;
        world.workers.iter_mut().for_each(|worker| worker.set_capacity(HALF, now));
        let leader = world.leader().unwrap();
        for w in 0..WORKERS {
            let heartbeat = world.heartbeat_of(w);
            world.call(leader, scheduler::Call::Heartbeat(Box::new(heartbeat)));
        }
        world.run_until(world.now + 200);
        world.kill(leader);
        world.run_until(world.now + 4_500);
        world.cut_workers.clear();
        world.run_until(world.now + 4_000);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.starts > 0, "seed {seed}: nothing was started, so nothing was tested");
    }
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

/// Guards against workers that are left idle because a member answers their heartbeats.
#[test]
fn work_starts_while_another_member_answers_the_heartbeats() {
    let mut world = started_world(74);
    let leader = world.leader().unwrap();
    world.heartbeat_host = Some((leader + 1) % DISKS);
    world.run_until(world.now + 10_000);
    for id in 1..=WORKERS as u64 {
        world.submit_steps(id, false, vec![step(2, 4_000)]);
        world.run_until(world.now + 100);
    }
    world.run_until(world.now + 100);
    // A run that fails is started again.
    assert!(world.starts >= 2 * WORKERS as u64, "{} starts", world.starts);
}

/// Guards against a new leader that waits until all workers have reported to it.
#[test]
fn a_new_leader_uses_the_reports_that_other_members_have_got() {
    for seed in 75..85 {
        let mut world = started_world(seed);
        let leader = world.leader().unwrap();
        world.heartbeat_host = Some((leader + 1) % DISKS);
        world.run_until(world.now + 3_000);
        // From now on the workers' heartbeats are lost, as their host is down.
        world.heartbeat_host = Some(leader);
        world.kill(leader);
        while world.leader().is_none() {
            world.run_until(world.now + 10);
        }
        world.submit_steps(1, false, vec![step(2, 4_000)]);
        world.run_until(world.now + 800);
        assert!(world.starts >= 2, "seed {seed}: {} starts", world.starts);
    }
}

/// Guards against a worker that gets nothing before the second heartbeat of its life.
#[test]
fn a_worker_that_comes_back_gets_work_at_once() {
    let mut world = started_world(86);
    world.crashes.renames = true;
    (0..WORKERS).for_each(|w| world.crash_worker(w));
    world.run_until(world.now + 3_000);
    world.submit_steps(1, false, vec![step(2, 4_000)]);
    world.run_until(world.now + 500);
    assert_eq!(world.starts, 0);
    (0..WORKERS).for_each(|w| world.restart_worker(w));
    world.run_until(world.now + 300);
    assert!(world.starts >= 2, "{} starts", world.starts);
}
