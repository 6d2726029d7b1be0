//! Hosts with a disk that are replaced by others with an empty disk at another address.

use super::{ip, Host, World, DISKS, HOSTS};
use scheduler::Input;

/// Time between the loss of a host and the start of its successor, in milliseconds.
pub(crate) const SUCCESSOR_DELAY: u64 = 1_000;
/// Hosts that the settings name as seeds.
const SEEDS: usize = 3;
/// The settings name a new host at the latest this long after it starts, in milliseconds.
const MAX_SEEDS_DELAY: u64 = 5_000;
/// A host that is stopped is gone after this time at the latest, in milliseconds: `graceS` of the
/// deployment.
const MAX_DRAIN_TIME: u64 = 6_000;
/// A host that is stopped checks at this interval whether it is drained, in milliseconds, as the
/// processes do.
const DRAIN_POLL_INTERVAL: u64 = 50;
/// The clock of a new host is ahead by less than this, in milliseconds.
const MAX_CLOCK_AHEAD: u64 = 20_000;

impl World {
    pub(crate) fn any_of_group(&mut self) -> usize {
        self.group[self.rng.usize(..self.group.len())]
    }

    /// A host that is not gone for good.
    pub(crate) fn any_host(&mut self) -> usize {
        let entry_hosts = HOSTS - DISKS;
        let picked = self.rng.usize(..entry_hosts + self.group.len());
        self.group.get(picked).copied().unwrap_or_else(|| DISKS + picked - self.group.len())
    }

    pub(crate) fn is_gone(&self, i: usize) -> bool {
        !self.group.contains(&i) && !(DISKS..HOSTS).contains(&i)
    }

    /// Starts a new host with an empty disk at a new address.
    pub(crate) fn add_host(&mut self, clock_ahead: u64) -> usize {
        let i = self.hosts.len();
        eprintln!("{} add h{i}", self.now);
        self.hosts.push(Host::new(clock_ahead));
        self.extra_disks.insert(i);
        self.group.push(i);
        self.start(i, false);
        i
    }

    /// Ends a host for good.
    pub(crate) fn remove_host(&mut self, i: usize) {
        eprintln!("{} h{i} is gone for good", self.now);
        self.kill(i);
        self.group.retain(|host| *host != i);
    }

    /// Changes the seeds in the settings and reloads them on all hosts.
    pub(crate) fn reload_seeds(&mut self, seeds: &[usize]) {
        eprintln!("{} seeds {seeds:?}", self.now);
        self.seeds = seeds.to_vec();
        let seeds: Vec<_> = seeds.iter().copied().map(ip).collect();
        for i in 0..self.hosts.len() {
            self.input(i, Input::Seeds(seeds.clone()));
        }
    }
}

/// Replacements of hosts that are in progress.
#[derive(Default)]
pub(crate) struct Replacements {
    /// When successors of lost hosts start.
    successors: Vec<u64>,
    /// When the settings name the new hosts.
    seeds: Option<u64>,
    /// Hosts with a successor that are to be stopped, with the earliest time.
    planned: Vec<(u64, usize)>,
    stopping: Vec<Stop>,
}

/// A host that is being stopped.
struct Stop {
    host: usize,
    next_poll: u64,
    /// When it is gone at the latest.
    until: u64,
}

impl Replacements {
    /// Loses a host for good; another one replaces it.
    pub(crate) fn replace(&mut self, world: &mut World, i: usize) {
        world.remove_host(i);
        self.planned.retain(|(_, host)| *host != i);
        self.successors.push(world.now + SUCCESSOR_DELAY);
    }

    /// Starts the successor of a host that is to be stopped `after` that.
    pub(crate) fn replace_planned(&mut self, world: &mut World, i: usize, after: u64) {
        self.planned.push((world.now + after, i));
        self.start_successor(world);
    }

    /// Whether a planned replacement is in progress.
    pub(crate) fn has_planned(&self) -> bool {
        !self.planned.is_empty() || !self.stopping.is_empty()
    }

    /// Lost hosts whose successor has not started.
    pub(crate) fn missing(&self) -> usize {
        self.successors.len()
    }

    pub(crate) fn is_stopping(&self, i: usize) -> bool {
        self.stopping.iter().any(|stop| stop.host == i)
    }

    pub(crate) fn next_due(&self) -> Option<u64> {
        let planned = self.planned.iter().map(|(at, _)| *at);
        let polls = self.stopping.iter().map(|stop| stop.next_poll);
        self.successors.iter().copied().chain(self.seeds).chain(planned).chain(polls).min()
    }

    /// Carries out what is due, or all of it. A host is stopped only if one `may_be_lost`; one that
    /// is not being stopped yet at the end stays.
    pub(crate) fn advance(&mut self, world: &mut World, may_be_lost: bool, all: bool) {
        let now = world.now;
        let (due, later): (Vec<u64>, Vec<u64>) =
            self.successors.iter().partition(|at| all || now >= **at);
        self.successors = later;
        due.iter().for_each(|_| self.start_successor(world));
        // Nobody can find the group by seeds that are all gone.
        let none_left = world.seeds.iter().all(|seed| !world.group.contains(seed));
        if none_left || self.seeds.is_some_and(|at| all || now >= at) {
            self.seeds = None;
            self.reload_seeds(world);
        }
        if all {
            self.planned.clear();
        }
        if may_be_lost {
            self.stop_next(world);
        }
        for stop in std::mem::take(&mut self.stopping) {
            let polled = now >= stop.next_poll;
            if all || now >= stop.until || (polled && world.is_drained(stop.host)) {
                world.remove_host(stop.host);
            } else {
                let next_poll = if polled { now + DRAIN_POLL_INTERVAL } else { stop.next_poll };
                self.stopping.push(Stop { next_poll, ..stop });
            }
        }
    }

    fn start_successor(&mut self, world: &mut World) {
        let clock_ahead = world.rng.u64(..MAX_CLOCK_AHEAD);
        world.add_host(clock_ahead);
        let delay = world.rng.u64(..MAX_SEEDS_DELAY);
        if delay < SUCCESSOR_DELAY {
            self.reload_seeds(world);
        } else {
            self.seeds = Some(world.now + delay);
        }
    }

    /// The last hosts of the group become the seeds: new ones come last.
    fn reload_seeds(&self, world: &mut World) {
        let first = world.group.len().saturating_sub(SEEDS);
        let seeds = world.group[first..].to_vec();
        world.reload_seeds(&seeds);
    }

    fn stop_next(&mut self, world: &mut World) {
        let due = self.planned.iter().position(|(at, i)| world.now >= *at && world.is_up(*i));
        if let Some(found) = due {
            let (_, host) = self.planned.remove(found);
            world.drain(host);
            let (next_poll, until) = (world.now + DRAIN_POLL_INTERVAL, world.now + MAX_DRAIN_TIME);
            self.stopping.push(Stop { host, next_poll, until });
        }
    }
}
