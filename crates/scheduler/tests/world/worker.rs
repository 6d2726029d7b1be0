//! A simulated worker that checks fences and leases, runs tasks and lists their ends.

use dispatch::{ListedRun, Order, OrderAnswer, RefusalReason, RunListing};
use jobs::{End, EndKind, ResourceVector, RunNumber, TaskRef};
use std::collections::BTreeMap;

/// A run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) need: ResourceVector,
    /// When the run's work began, in simulated time; `None` while its gang is incomplete.
    pub(crate) began: Option<u64>,
    pub(crate) duration: u64,
    pub(crate) fails: bool,
}

/// A worker. Times are simulated time in milliseconds; the worker's own clock may run slow.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) born: u64,
    pub(crate) capacity: ResourceVector,
    /// Rate of the worker's clock in thousandths of simulated time.
    pub(crate) clock_rate: u64,
    pub(crate) up: bool,
    pub(crate) fence: u64,
    pub(crate) lease_until: u64,
    pub(crate) runs: BTreeMap<(TaskRef, RunNumber), Running>,
    /// Highest run of each task that was stopped or ended on this worker. Starts of this run and
    /// of earlier ones are refused.
    pub(crate) highest_ended: BTreeMap<TaskRef, RunNumber>,
    pub(crate) ended: Vec<End>,
    pub(crate) last_number: u64,
    /// Successful ends that no leader has acknowledged: number, task, time, and the number of lease
    /// lapses until then.
    pub(crate) unacknowledged_done: Vec<(u64, TaskRef, u64, u64)>,
    /// How often the worker's lease has lapsed.
    pub(crate) lapses: u64,
    lapsed: bool,
    /// Earlier capacities, and until when they were in force.
    before: Vec<(ResourceVector, u64)>,
}

/// A capacity that has shrunk counts after the time in which it is made known: 3 s and a heartbeat.
const SHRINK_NOTICE: u64 = 4_500;

/// A worker lists this many ends at a time. Platforms list some hundreds.
pub(crate) const ENDS_PER_LISTING: usize = 3;

/// Longest lease, in milliseconds on the worker's clock. A longer one is shortened to this.
const MAX_LEASE: u64 = 6_000;

impl Worker {
    pub(crate) fn new(name: &str, born: u64, clock_rate: u64) -> Worker {
        Worker {
            name: name.to_string(),
            born,
            capacity: ResourceVector { cpu: 8_000, memory: 8_192, gpu: 0 },
            clock_rate,
            up: true,
            fence: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            unacknowledged_done: Vec::new(),
            lapses: 0,
            lapsed: true,
            before: Vec::new(),
        }
    }

    pub(crate) fn set_capacity(&mut self, capacity: ResourceVector, now: u64) {
        self.before.push((self.capacity, now));
        self.capacity = capacity;
    }

    /// Whether these resources are more than the worker may have in use after a start. A start that
    /// is carried out late may have been sent while there was more.
    pub(crate) fn is_over(&self, used: &ResourceVector, now: u64, late: bool) -> bool {
        let mut before = self.before.iter().filter(|(_, at)| late || now <= at + SHRINK_NOTICE);
        !used.fits_in(&self.capacity) && !before.any(|(before, _)| used.fits_in(before))
    }

    pub(crate) fn clock(&self, now: u64) -> u64 {
        (now - self.born) * self.clock_rate / 1_000 + 1
    }

    pub(crate) fn used(&self) -> ResourceVector {
        self.runs.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.need))
    }

    /// Ends a run and lists its end.
    pub(crate) fn end(&mut self, task: TaskRef, run: RunNumber, kind: EndKind) {
        if self.runs.remove(&(task, run)).is_none() {
            return;
        }
        self.record_ended(task, run);
        self.last_number += 1;
        self.ended.push(End { number: self.last_number, task, run, kind, saved: None });
    }

    /// Removes and returns the successful ends up to `last_seen`, which a leader has acknowledged.
    pub(crate) fn take_acknowledged(&mut self, last_seen: u64) -> Vec<(TaskRef, u64, u64)> {
        let acknowledged =
            self.unacknowledged_done.iter().filter(|(number, ..)| *number <= last_seen);
        let acknowledged =
            acknowledged.map(|(_, task, at, lapses)| (*task, *at, *lapses)).collect();
        self.unacknowledged_done.retain(|(number, ..)| *number > last_seen);
        acknowledged
    }

    fn record_ended(&mut self, task: TaskRef, run: RunNumber) {
        let highest_ended = self.highest_ended.entry(task).or_default();
        *highest_ended = (*highest_ended).max(run);
    }

    fn renew(&mut self, until: u64, now: u64) {
        let until = until.min(self.clock(now) + MAX_LEASE);
        self.lease_until = self.lease_until.max(until);
        self.lapsed = false;
    }

    /// Kills all runs if the lease has lapsed.
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

    /// Carries out an order. `start` is called for each new run and returns its properties.
    pub(crate) fn handle_order<F>(
        &mut self,
        order: &Order,
        fence: u64,
        now: u64,
        start: F,
    ) -> OrderAnswer
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
                if self.highest_ended.get(&task).is_some_and(|highest_ended| run <= *highest_ended)
                {
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
                self.record_ended(task, run);
                self.end(task, run, EndKind::Stopped);
                done
            }
            Order::Hold { lease_until, last_seen, .. } => {
                if let Some(until) = lease_until {
                    self.renew(until, now);
                }
                self.ended.retain(|end| end.number > last_seen);
                OrderAnswer::Done { clock, listing: Some(self.list_runs()) }
            }
        }
    }

    fn list_runs(&self) -> RunListing {
        let listed =
            |(task, run): &(TaskRef, RunNumber)| ListedRun { task: *task, run: *run, percent: 50 };
        let ended: Vec<End> = self.ended.iter().take(ENDS_PER_LISTING).cloned().collect();
        let complete = ended.len() < ENDS_PER_LISTING;
        RunListing { running: self.runs.keys().map(listed).collect(), ended, complete }
    }
}
