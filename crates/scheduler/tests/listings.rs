//! Workers with more ends to report than they list at a time.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::time::Duration;
use world::worker::ENDS_PER_LISTING;
use world::{World, WORKERS};

fn step(count: u32) -> StepSpec {
    let need = ResourceVector { cpu: 100, memory: 50, gpu: 0 };
    StepSpec { count, need, estimate: Duration::from_millis(800), ..StepSpec::default() }
}

/// Guards against runs that are taken for lost, and started again, because their ends are beyond
/// those that a worker lists at a time.
#[test]
fn ends_beyond_those_of_a_listing_are_not_taken_for_lost_runs() {
    for seed in 1..=20 {
        let mut world = World::new(seed, InjectedBug::None);
        world.configure(1);
        world.run_until(6_000);
        world.submit_steps(1, false, vec![step(200)]);
        world.run_until(world.now + 60);
        world.cut_workers.extend(0..WORKERS);
        world.run_until(world.now + 4_500);
        let most = world.workers.iter().map(|worker| worker.ended.len()).max().unwrap_or(0);
        assert!(most > 2 * ENDS_PER_LISTING, "seed {seed}: only {most} ends");
        world.cut_workers.clear();
        world.run_until(world.now + 20_000);
        world.ask_all();
        world.run_until(world.now + 500);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert_eq!(world.jobs[&1].shown, Some(Phase::Complete), "seed {seed}");
    }
}
