//! Keeping suspect tasks apart, so that the next crash of a worker has one suspect.
//!
//! This is for cells in which a few tasks crash every worker that starts them, among many that only
//! happen to run beside them. A suspect starts on a worker on which no run has only just begun, and
//! until it has outlived its start too, nothing else starts there.

use super::{Demand, Pass, Reclaimable, WorkerCapacity};
use jobs::LifeId;
use std::cmp::Reverse;
use types::{JobId, Timestamp};

/// At most one in this many of the workers that may run a suspect is kept free of new runs for it.
const WORKERS_PER_RESERVED: usize = 8;

/// The jobs with runs on a worker that have only just begun.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Recent {
    #[default]
    None,
    OfJob(JobId),
    OfSeveral,
}

/// Runs on a worker that have only just begun, and what may start beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Isolation {
    recent: Recent,
    /// When all of these runs have outlived their starts.
    settled_at: Timestamp,
    /// Job with a suspect run among them, beside which no other job may start.
    observed: Option<JobId>,
}

impl Isolation {
    /// Adds a run of `job` that is recent until `settled_at`.
    ///
    /// ```
    /// use placement::steps::Isolation;
    /// use std::time::Duration;
    /// let mut isolation = Isolation::default();
    /// isolation.add(7, Duration::from_secs(1), true);
    /// assert!(isolation.admits(7, true) && !isolation.admits(8, false));
    /// ```
    pub fn add(&mut self, job: JobId, settled_at: Timestamp, suspect: bool) {
        self.recent = match self.recent {
            Recent::None => Recent::OfJob(job),
            Recent::OfJob(other) if other == job => Recent::OfJob(job),
            _ => Recent::OfSeveral,
        };
        self.settled_at = self.settled_at.max(settled_at);
        if suspect {
            self.observed = Some(job);
        }
    }

    /// Whether the worker takes runs of one job only.
    ///
    /// ```
    /// use placement::steps::Isolation;
    /// use std::time::Duration;
    /// let mut isolation = Isolation::default();
    /// isolation.add(7, Duration::from_secs(1), false);
    /// assert!(!isolation.is_closed());
    /// isolation.add(7, Duration::from_secs(1), true);
    /// assert!(isolation.is_closed());
    /// ```
    pub fn is_closed(&self) -> bool {
        self.observed.is_some()
    }

    /// Whether a run of `job` may start beside what is there.
    pub fn admits(&self, job: JobId, suspect: bool) -> bool {
        let only_own = self.recent == Recent::None || self.recent == Recent::OfJob(job);
        self.observed.is_none_or(|other| other == job) && (!suspect || only_own)
    }
}

impl Demand {
    /// Whether the tasks may start on the worker as far as suspects are concerned. A gang does not
    /// wait until all its workers are free of recent runs at once.
    pub(super) fn is_admitted(&self, worker: &WorkerCapacity<'_>) -> bool {
        worker.isolation.admits(self.step.job, self.suspect && !self.gang)
    }
}

impl WorkerCapacity<'_> {
    /// Takes what a task of the step needs.
    pub(super) fn take(&mut self, demand: &Demand, now: Timestamp) {
        self.free = self.free.minus(&demand.need);
        self.isolation.add(demand.step.job, now, demand.suspect);
    }
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Keeps up to `count` workers free of new runs, until a suspect can start there. The choice
    /// stays the same in each pass: the workers whose runs settle first.
    pub(super) fn reserve_for_suspects(&mut self, demand: &Demand, count: usize) {
        let eligible = self.workers.iter().filter(|w| super::reclaim::may_ever_run(demand, w));
        let limit = eligible.clone().count().div_ceil(WORKERS_PER_RESERVED);
        let reserved = eligible.filter(|worker| self.reserved.contains(&worker.life)).count();
        let mut usable: Vec<&mut WorkerCapacity<'_>> = self
            .workers
            .iter_mut()
            .filter(|worker| demand.need.fits_in(&worker.free))
            .filter(|worker| worker.isolation.observed.is_none())
            .filter(|worker| super::reclaim::may_ever_run(demand, worker))
            .filter(|worker| demand.max_tasks_on(worker.life) > 0)
            .collect();
        usable.sort_unstable_by_key(|w| (w.isolation.settled_at, Reverse(w.free.cpu), w.life));
        for worker in usable.into_iter().take(count.min(limit.saturating_sub(reserved))) {
            worker.isolation.observed = Some(demand.step.job);
            self.reserved.push(worker.life);
        }
    }
}
