//! Workers, and the quarantine of workers on which every job fails.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{Fence, Incarnation, JobId, Resources, Timestamp};

/// A worker is quarantined after failures of this many different jobs without a success.
const FAILED_JOBS_TO_QUARANTINE: usize = 3;
/// Duration of the first quarantine; each further one is twice as long as the one before.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Upper limit on the duration of a quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Whether a worker gets new runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerStatus {
    /// The worker gets new runs.
    Active,
    /// The worker finishes its runs and gets no new ones.
    Draining,
    /// The worker's lease has expired.
    Lost,
}

/// A worker of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The rack that holds the worker.
    pub rack: String,
    /// Total resources for runs.
    pub capacity: Resources,
    /// Resources reserved by live runs.
    pub used: Resources,
    /// Current incarnation number.
    pub incarnation: Incarnation,
    /// Whether an operator is draining the worker.
    pub draining: bool,
    /// Live runs, oldest first.
    pub runs: Vec<Fence>,
    /// The worker gets no new run before this time.
    pub quarantined_until: Timestamp,
    /// Set by a quarantine until the next success; the worker then gets one run at a time.
    pub on_probation: bool,
    /// When the worker was declared lost; `None` unless its current incarnation is lost.
    pub lost_at: Option<Timestamp>,
    /// Quarantines since the last success.
    quarantines: u32,
    /// Distinct jobs that failed here since the last success or quarantine, sorted.
    failed_jobs: Vec<JobId>,
}

impl Worker {
    pub(crate) fn new(rack: String, capacity: Resources, incarnation: Incarnation) -> Worker {
        Worker {
            rack,
            capacity,
            used: Resources::default(),
            incarnation,
            draining: false,
            runs: Vec::new(),
            quarantined_until: Timestamp::ZERO,
            on_probation: false,
            lost_at: None,
            quarantines: 0,
            failed_jobs: Vec::new(),
        }
    }

    /// Starts a new incarnation. Failure counts and quarantine are kept, because a restart does
    /// not repair a faulty worker.
    pub(crate) fn start_incarnation(
        &mut self,
        rack: String,
        capacity: Resources,
        incarnation: Incarnation,
    ) {
        self.rack = rack;
        self.capacity = capacity;
        self.incarnation = incarnation;
        self.lost_at = None;
    }

    /// Whether the worker gets new runs; quarantine is not considered.
    pub fn status(&self) -> WorkerStatus {
        match (self.lost_at, self.draining) {
            (Some(_), _) => WorkerStatus::Lost,
            (None, true) => WorkerStatus::Draining,
            (None, false) => WorkerStatus::Active,
        }
    }

    /// Resources available to new runs at `now`; zero if the worker must not get one.
    pub fn free_resources(&self, now: Timestamp) -> Resources {
        let closed = self.status() != WorkerStatus::Active
            || now < self.quarantined_until
            || (self.on_probation && !self.runs.is_empty());
        if closed {
            return Resources::default();
        }
        self.capacity.saturating_sub(&self.used)
    }

    /// Records a successful run, which ends probation and resets the failure counts.
    pub(crate) fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.on_probation = false;
        self.quarantines = 0;
    }

    /// Records a failed run of `job`. If that quarantines the worker, returns the jobs whose
    /// failures here should no longer count against them; otherwise returns an empty list.
    pub(crate) fn record_failure(&mut self, job: JobId, at: Timestamp) -> Vec<JobId> {
        if let Err(i) = self.failed_jobs.binary_search(&job) {
            self.failed_jobs.insert(i, job);
        }
        let limit = if self.on_probation { 1 } else { FAILED_JOBS_TO_QUARANTINE };
        if self.failed_jobs.len() < limit {
            return Vec::new();
        }
        let length = (FIRST_QUARANTINE * 2u32.saturating_pow(self.quarantines.min(16)))
            .min(LONGEST_QUARANTINE);
        self.quarantined_until = at + length;
        self.on_probation = true;
        self.quarantines += 1;
        std::mem::take(&mut self.failed_jobs)
    }
}
