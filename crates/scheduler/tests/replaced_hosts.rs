//! Hosts of the group that are replaced, each case in the shortest order of events that the random
//! histories found or left open.

#[allow(dead_code)]
mod world;

use consensus::Role;
use dispatch::InjectedBug;
use world::losses::TOUCH_TIME;
use world::replacements::SUCCESSOR_DELAY;
use world::{ip, World};

/// A new host counts as lost for this long, in milliseconds.
const CATCH_UP_TIME: u64 = 4_000;
/// A process that is stopped checks at this interval whether it is drained, in milliseconds.
const DRAIN_POLL_INTERVAL: u64 = 50;
/// A process that is stopped ends after this time at the latest, in milliseconds.
const MAX_DRAIN_TIME: u64 = 6_000;
/// A voter that is silent for this long has given up its vote, in milliseconds.
const SILENT_VOTER_TIME: u64 = 2_500;
/// Voters that a group has at most.
const MAX_VOTERS: usize = 5;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, InjectedBug::None);
    world.configure(1);
    world.run_until(6_000);
    world
}

fn leader(world: &World) -> usize {
    world.leader_of(&world.group).unwrap_or_else(|| panic!("no leader: {}", world.describe()))
}

fn follower(world: &World) -> usize {
    let leader = leader(world);
    *world.group.iter().find(|i| **i != leader).expect("a follower")
}

/// Whether a host has a vote, as the leader knows it.
fn votes(world: &World, i: usize) -> bool {
    world.group_members(leader(world)).contains(&(ip(i), Role::Voter))
}

fn add_host(world: &mut World) -> usize {
    let new = world.add_host(0);
    world.run_until(world.now + CATCH_UP_TIME);
    new
}

/// Loses a host for good, and waits until its successor has caught up.
fn replace(world: &mut World, lost: usize) -> usize {
    world.remove_host(lost);
    world.run_until(world.now + SUCCESSOR_DELAY);
    add_host(world)
}

/// Drains a host and ends it for good as soon as it says that it is drained.
fn stop(world: &mut World, i: usize) {
    let until = world.now + MAX_DRAIN_TIME;
    world.drain(i);
    world.run_until(world.now + DRAIN_POLL_INTERVAL);
    while world.now < until && !world.is_drained(i) {
        world.run_until(world.now + DRAIN_POLL_INTERVAL);
    }
    world.remove_host(i);
}

/// Loses a host for good; `spare` must get its vote.
fn assert_takes_over(world: &mut World, spare: usize) {
    let leader_now = leader(world);
    let lost = *world.group.iter().find(|i| ![spare, leader_now].contains(i)).expect("a host");
    world.remove_host(lost);
    world.run_until(world.now + SILENT_VOTER_TIME);
    assert!(votes(world, spare), "{:?}", world.group_members(leader(world)));
}

/// Loses a host for good; the others must elect a leader.
fn assert_bears_the_loss_of(world: &mut World, lost: usize) {
    world.remove_host(lost);
    world.run_until(world.now + TOUCH_TIME);
    leader(world);
}

/// Guards against a new host that never joins because its only seed is a follower.
#[test]
fn a_new_host_joins_through_a_follower() {
    let mut world = world(34);
    let seed = follower(&world);
    world.seeds = vec![seed];
    let new = add_host(&mut world);
    assert_takes_over(&mut world, new);
}

/// Guards against a new host that never joins because its first seeds are all gone.
#[test]
fn a_new_host_joins_once_its_seeds_are_reloaded() {
    let mut world = world(35);
    let gone = follower(&world);
    world.seeds = vec![gone];
    world.remove_host(gone);
    world.run_until(world.now + SUCCESSOR_DELAY);
    let new = add_host(&mut world);
    assert!(!votes(&world, new), "the host has joined without seeds: the test is meaningless");
    let seed = follower(&world);
    world.reload_seeds(&[seed, new]);
    world.run_until(world.now + TOUCH_TIME);
    assert!(votes(&world, new), "{:?}", world.group_members(leader(&world)));
}

/// Guards against a host that never votes again because it was removed while it was down.
#[test]
fn a_removed_host_that_comes_back_with_its_disk_votes_again() {
    let mut world = world(36);
    add_host(&mut world);
    let down = follower(&world);
    world.kill(down);
    world.run_until(world.now + 2 * CATCH_UP_TIME);
    assert!(!votes(&world, down), "the host was not removed: the test is meaningless");
    world.start(down, false);
    world.run_until(world.now + CATCH_UP_TIME);
    assert_takes_over(&mut world, down);
}

/// Guards against a learner of a lost disk that keeps its host's next one out.
#[test]
fn a_host_that_loses_its_disk_twice_in_a_row_votes() {
    let mut world = world(37);
    let wiped = follower(&world);
    for _ in 0..2 {
        world.wipe(wiped);
        world.start(wiped, false);
        world.run_until(world.now + 300);
    }
    world.run_until(world.now + CATCH_UP_TIME);
    let members = world.group_members(leader(&world));
    assert!(votes(&world, wiped) && members.len() == 3, "{members:?}");
}

/// Guards against a leader that is drained while it still has a vote that nobody can take over.
#[test]
fn the_next_host_may_be_lost_as_soon_as_a_stopped_leader_is_gone() {
    let mut world = world(31);
    add_host(&mut world);
    let stopped = leader(&world);
    stop(&mut world, stopped);
    let lost = follower(&world);
    assert_bears_the_loss_of(&mut world, lost);
}

/// Guards against two votes of hosts that are gone which an odd number of voters keeps.
#[test]
fn two_hosts_that_are_gone_both_lose_their_votes() {
    let mut world = world(32);
    let stopped = follower(&world);
    add_host(&mut world);
    let lost = *world.group.iter().find(|i| **i != stopped && **i != leader(&world)).expect("one");
    replace(&mut world, lost);
    stop(&mut world, stopped);
    world.run_until(world.now + SILENT_VOTER_TIME);
    let next = leader(&world);
    assert_bears_the_loss_of(&mut world, next);
}

/// Guards against learners that stay members for ever after their hosts are gone.
#[test]
fn a_learner_that_is_gone_does_not_stay_a_member() {
    let mut world = world(33);
    while world.group.len() < MAX_VOTERS {
        add_host(&mut world);
    }
    let mut learner = add_host(&mut world);
    for _ in 0..3 {
        learner = replace(&mut world, learner);
    }
    world.run_until(world.now + 20_000);
    let members = world.group_members(leader(&world));
    let learners = members.iter().filter(|(_, role)| *role == Role::Learner);
    assert_eq!((members.len(), learners.count()), (6, 1), "{members:?}");
}

/// Guards against a second dead vote beside one of five that could not be removed: the leader that
/// stops has to see to it.
#[test]
fn a_leader_that_stops_leaves_no_second_dead_vote() {
    let mut world = world(38);
    add_host(&mut world);
    let lost = leader(&world);
    replace(&mut world, lost);
    let stopped = leader(&world);
    stop(&mut world, stopped);
    let next = leader(&world);
    assert_bears_the_loss_of(&mut world, next);
}
