//! Submissions that are read after their job was cancelled.

#[allow(dead_code)]
mod world;

use dispatch::InjectedBug;
use world::{World, DISKS, HOSTS};

/// The id of the job.
const JOB: u64 = 0xc1;
/// More entries than a log holds until it is compacted into a snapshot.
const ENTRIES: u64 = 250;

/// Plays a job that is cancelled at one host while its submission waits at another for `held_up` ms,
/// with trouble in between.
fn play<F>(seed: u64, held_up: u64, trouble: F)
where
    F: FnOnce(&mut World),
{
    let mut world = World::new(seed, InjectedBug::None);
    world.configure(1);
    world.run_until(5_000);
    world.submit_held_up(JOB, DISKS, held_up);
    world.cancel_at(DISKS + 1, JOB);
    world.run_until(world.now + 200);
    assert!(world.jobs[&JOB].cancelled_at.is_some(), "seed {seed}: not acknowledged");
    let starts = world.starts;
    trouble(&mut world);
    world.run_until(5_000 + held_up + 8_000);
    world.ask_all();
    world.run_until(world.now + 500);
    assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    assert!(!world.jobs[&JOB].accepted, "seed {seed}: told the caller that it was accepted");
    assert_eq!(world.jobs[&JOB].shown, None, "seed {seed}: the job is shown");
    assert!(world.starts == starts || world.jobs.len() > 1, "seed {seed}: a task started");
}

fn leader(world: &World) -> usize {
    world.leader().expect("there is a leader")
}

/// Guards against a task that starts after the cancelling of its job was acknowledged: the
/// submission waits at a host that is frozen, the caller cancels at another (review/15).
#[test]
fn a_job_that_was_cancelled_first_never_starts() {
    (1..=10).for_each(|seed| play(seed, 4_000, |_| {}));
}

/// The same with another leader when the submission is read.
#[test]
fn a_later_leader_knows_what_was_cancelled() {
    for seed in 1..=10 {
        play(seed, 9_000, |world| {
            let first = leader(world);
            world.freeze(first, 6_000);
            world.run_until(world.now + 6_000);
            assert_ne!(world.leader(), Some(first), "seed {seed}: no change of leader");
        });
    }
}

/// The same after all members were killed and have read their disks.
#[test]
fn restarted_members_know_what_was_cancelled() {
    for seed in 1..=10 {
        play(seed, 9_000, |world| {
            (0..DISKS).for_each(|host| world.kill(host));
            world.run_until(world.now + 500);
            (0..DISKS).for_each(|host| world.start(host, false));
        });
    }
}

/// The same with a leader that has lost its disk and has the state from a snapshot.
#[test]
fn a_member_that_starts_from_a_snapshot_knows_what_was_cancelled() {
    for seed in 1..=3 {
        play(seed, 60_000, |world| {
            for id in 1..=ENTRIES {
                world.submit_held_up(id, HOSTS - 1, 0);
                world.run_until(world.now + 20);
            }
            let wiped = leader(world);
            world.wipe(wiped);
            world.run_until(world.now + 500);
            world.start(wiped, false);
            world.run_until(world.now + 8_000);
            for _ in 0..20 {
                if world.leader() == Some(wiped) {
                    return;
                }
                if let Some(other) = world.leader() {
                    world.freeze(other, 1_500);
                }
                world.run_until(world.now + 3_000);
            }
            panic!("seed {seed}: the member never leads");
        });
    }
}
