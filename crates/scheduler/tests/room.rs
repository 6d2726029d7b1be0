//! Jobs for which there is no room in the replicated state.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::time::Duration;
use world::{World, DISKS, HOSTS};

const JOBS: u64 = 150;
/// Room for all jobs once they are over, and for some of them before.
const ROOM: usize = 64 << 10;

fn restart_with(world: &mut World, room: usize, bootstrap: bool) {
    world.state_room = room;
    (0..HOSTS).for_each(|host| world.kill(host));
    (0..HOSTS).for_each(|host| world.start(host, bootstrap));
}

fn submit_all(world: &mut World) {
    let need = ResourceVector { cpu: 1_000, memory: 100, gpu: 0 };
    let estimate = Duration::from_millis(200);
    let step = StepSpec { count: 4, need, estimate, ..StepSpec::default() };
    for id in 1..=JOBS {
        world.submit_steps(id, false, vec![step.clone(); 3]);
        world.run_until(world.now + 10);
    }
}

fn ask_all(world: &mut World) {
    world.ask_all();
    world.run_until(world.now + 500);
}

fn assert_all_over(world: &World, seed: u64) {
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    // Runs fail by chance, so that some jobs end as failed.
    let over = |id: &u64| world.jobs[id].shown.is_some_and(Phase::is_over);
    let open: Vec<u64> = (1..=JOBS).filter(|id| !over(id)).collect();
    assert!(open.is_empty(), "seed {seed}: not over: {open:?}");
}

/// Guards against jobs that fill the memory of all members, and against jobs that are lost because
/// others fill the room: what was refused comes again and runs, through changes of leader.
#[test]
fn jobs_without_room_are_refused_and_run_once_there_is_some() {
    for seed in 1..=5 {
        let mut world = World::new(seed, InjectedBug::None);
        restart_with(&mut world, ROOM, true);
        world.configure(1);
        world.run_until(5_000);
        submit_all(&mut world);
        for _ in 0..60 {
            let leader = world.leader();
            if let Some(leader) = leader.filter(|_| world.rng.u8(..8) == 0) {
                world.freeze(leader, 2_500);
            }
            world.run_until(world.now + 1_000);
            let most = (0..DISKS).map(|host| world.stats(host).stored_bytes).max();
            assert!(most <= Some(ROOM * 3 / 2), "seed {seed}: {most:?} bytes");
        }
        world.run_until(world.now + 10_000);
        ask_all(&mut world);
        assert!(!world.refused.is_empty(), "seed {seed}: there was room for all");
        let seconds = |wait: &Option<Duration>| wait.map_or(0, |wait| wait.as_secs());
        assert!(world.refused.iter().all(|wait| (1..=60).contains(&seconds(wait))));
        assert_all_over(&world, seed);
    }
}

/// Guards against accepted jobs that never start, since the leader that has them now has less room than
/// the one that accepted them.
#[test]
fn a_leader_with_less_room_goes_on_with_what_was_accepted() {
    for seed in 1..=5 {
        let mut world = World::new(seed, InjectedBug::None);
        world.configure(1);
        world.run_until(5_000);
        submit_all(&mut world);
        assert!(world.refused.is_empty(), "seed {seed}: refused with room for all");
        restart_with(&mut world, ROOM / 16, false);
        world.run_until(world.now + 60_000);
        ask_all(&mut world);
        assert_all_over(&world, seed);
    }
}
