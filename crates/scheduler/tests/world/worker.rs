//! A fake worker: it obeys orders by fence and lease, runs tasks and lists their ends.

use dispatch::{ListedRun, Order, OrderAnswer, RefusalReason, RunListing};
use jobs::{End, EndKind, ResourceVector, RunNumber, TaskRef};
use std::collections::BTreeMap;

/// A run at work.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) need: ResourceVector,
    /// When its own work began, on the world's clock; `None` while a gang is not whole.
    pub(crate) began: Option<u64>,
    pub(crate) takes: u64,
    pub(crate) fails: bool,
}

/// One worker. Times are the world's, in milliseconds; its own clock may run slow.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) born: u64,
    pub(crate) capacity: ResourceVector,
    /// Its clock in thousandths of the world's.
    pub(crate) pace: u64,
    pub(crate) up: bool,
    pub(crate) fence: u64,
    pub(crate) lease_until: u64,
    pub(crate) runs: BTreeMap<(TaskRef, RunNumber), Running>,
    /// Highest run of a task that was stopped or ended here.
    pub(crate) barred: BTreeMap<TaskRef, RunNumber>,
    pub(crate) ended: Vec<End>,
    pub(crate) last_number: u64,
    /// Ends as done that nobody has taken note of: number, task, when, and leases lapsed until then.
    pub(crate) done: Vec<(u64, TaskRef, u64, u64)>,
    /// How often its lease was over.
    pub(crate) lapses: u64,
    lapsed: bool,
}

const LONGEST_LEASE: u64 = 6_000;

impl Worker {
    pub(crate) fn new(name: &str, born: u64, pace: u64) -> Worker {
        Worker {
            name: name.to_string(),
            born,
            capacity: ResourceVector { cpu: 8_000, memory: 8_192, gpu: 0 },
            pace,
            up: true,
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            done: Vec::new(),
            lapses: 0,
            lapsed: true,
        }
    }

    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.born) * self.pace / 1_000 + 1
    }

    pub(crate) fn used(&self) -> ResourceVector {
        self.runs.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.need))
    }

    /// Ends a run.
    pub(crate) fn end(&mut self, task: TaskRef, run: RunNumber, kind: EndKind) {
        if self.runs.remove(&(task, run)).is_none() {
            return;
        }
        self.bar(task, run);
        self.last_number += 1;
        self.ended.push(End { number: self.last_number, task, run, kind, saved: None });
    }

    /// Ends as done up to `last_seen`, which are taken note of now.
    pub(crate) fn take_noted(&mut self, last_seen: u64) -> Vec<(TaskRef, u64, u64)> {
        let noted = self.done.iter().filter(|(number, ..)| *number <= last_seen);
        let noted = noted.map(|(_, task, at, lapses)| (*task, *at, *lapses)).collect();
        self.done.retain(|(number, ..)| *number > last_seen);
        noted
    }

    fn bar(&mut self, task: TaskRef, run: RunNumber) {
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
    }

    fn renew(&mut self, until: u64, now: u64) {
        let until = until.min(self.clock(now) + LONGEST_LEASE);
        self.lease_until = self.lease_until.max(until);
        self.lapsed = false;
    }

    /// Kills what runs when the lease is over.
    pub(crate) fn check_lease(&mut self, now: u64) {
        if self.clock(now) < self.lease_until {
            return;
        }
        if !self.lapsed {
            self.lapsed = true;
            self.lapses += 1;
        }
        let runs: Vec<_> = self.runs.keys().copied().collect();
        for (task, run) in runs {
            self.end(task, run, EndKind::Lapsed);
        }
    }

    /// Carries out an order. `start` says what a new run is like, and is told of it.
    pub(crate) fn obey<F>(&mut self, order: &Order, fence: u64, now: u64, start: F) -> OrderAnswer
    where
        F: FnOnce(TaskRef, RunNumber) -> Running,
    {
        self.check_lease(now);
        let clock = Some(self.clock(now));
        let refused = |why| OrderAnswer::Refused { why, clock };
        if fence < self.fence {
            return refused(RefusalReason::Fence);
        }
        self.fence = fence;
        let done = OrderAnswer::Done { clock, listing: None };
        match *order {
            Order::Start { task, run, lease_until } => {
                if self.runs.contains_key(&(task, run)) {
                    return done;
                }
                if self.barred.get(&task).is_some_and(|barred| run <= *barred) {
                    self.renew(lease_until, now);
                    return refused(RefusalReason::StaleRun);
                }
                if lease_until <= self.clock(now) {
                    return refused(RefusalReason::LeaseExpired);
                }
                self.renew(lease_until, now);
                self.runs.insert((task, run), start(task, run));
                done
            }
            Order::Stop { task, run } => {
                self.bar(task, run);
                self.end(task, run, EndKind::Stopped);
                done
            }
            Order::Hold { lease_until, last_seen, .. } => {
                if let Some(until) = lease_until {
                    self.renew(until, now);
                }
                self.ended.retain(|end| end.number > last_seen);
                OrderAnswer::Done { clock, listing: Some(self.look()) }
            }
        }
    }

    fn look(&self) -> RunListing {
        let listed =
            |(task, run): &(TaskRef, RunNumber)| ListedRun { task: *task, run: *run, percent: 50 };
        RunListing { running: self.runs.keys().map(listed).collect(), ended: self.ended.clone() }
    }
}
