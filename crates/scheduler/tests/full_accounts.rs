//! A cell in which one account has used up its quota and hands in far more, while another one has
//! little to do.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use jobs::{Phase, ResourceVector, StepSpec};
use std::time::Duration;
use types::JobId;
use world::quotas::Quotas;
use world::World;

/// More steps than one placement pass takes.
const FLOOD: u64 = 300;
/// A job of an account with room has begun within this time, in milliseconds. The flood is late, and
/// ranks behind others, after twice this time only.
const WITHOUT_DELAY: u64 = 900;
/// When the flood is handed in, in milliseconds.
const FLOOD_AT: u64 = 6_000;
const QUOTA: ResourceVector = ResourceVector { cpu: 4_000, memory: 0, gpu: 0 };

fn tasks(count: u32) -> Vec<StepSpec> {
    let need = ResourceVector { cpu: 1_500, memory: 100, gpu: 0 };
    let estimate = Duration::from_millis(800);
    vec![StepSpec { count, need, estimate, ..StepSpec::default() }]
}

/// A world in which the account of jobs 3, 6, ... has handed in [`FLOOD`] jobs.
fn flooded_world() -> World {
    let mut world = World::new(41, InjectedBug::None);
    let none = ResourceVector::default();
    world.quotas = Some(Quotas::fixed([QUOTA, none, none]));
    world.configure(1);
    world.run_until(FLOOD_AT);
    (1..=FLOOD).for_each(|i| world.submit_steps(3 * i, false, tasks(2)));
    world
}

fn phase(world: &World, job: JobId) -> Option<Phase> {
    world.jobs[&job].shown
}

#[test]
fn a_full_account_delays_no_other() {
    let mut world = flooded_world();
    world.run_until(FLOOD_AT + 100);
    for job in [1, 2, 4, 5] {
        world.submit_steps(job, job % 2 == 0, tasks(2));
    }
    world.run_until(FLOOD_AT + WITHOUT_DELAY);
    world.ask_all();
    world.run_until(FLOOD_AT + WITHOUT_DELAY + 20);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    for job in [1, 2, 4, 5] {
        let shown = phase(&world, job);
        assert!(matches!(shown, Some(Phase::Running | Phase::Complete)), "{job}: {shown:?}");
    }
}

#[test]
fn what_waits_for_a_quota_is_seen_in_the_gauges_of_its_account() {
    let mut world = flooded_world();
    world.run_until(9_000);
    let stats = world.stats(world.leader().unwrap());
    let [account] = stats.accounts.as_slice() else { panic!("{:?}", stats.accounts) };
    assert_eq!(account.account, "a");
    assert!(account.running_cpu > 0 && account.running_cpu <= QUOTA.cpu, "{account:?}");
    let waiting = account.waiting_steps as u64;
    assert!(waiting > FLOOD / 2 && account.quota_waits > 0, "{account:?}");
}

#[test]
fn the_flood_is_done_in_the_end() {
    let mut world = flooded_world();
    world.configure_quotas(2, false);
    world.run_until(90_000);
    world.ask_all();
    world.run_until(91_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let complete = |i: &u64| phase(&world, 3 * i) == Some(Phase::Complete);
    let done = (1..=FLOOD).filter(complete).count() as u64;
    assert!(done * 100 >= FLOOD * 95, "{done} of {FLOOD}: some tasks fail in this world");
}
