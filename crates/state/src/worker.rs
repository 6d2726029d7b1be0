//! Workers, and how one that fails everything is set aside.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{Fence, Incarnation, JobId, Resources, Timestamp};

/// A worker is set aside after failing this many different jobs with no success between.
const FAILED_JOBS_TO_QUARANTINE: usize = 3;
/// Length of the first quarantine; each further one is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerStatus {
    /// It gets work.
    Active,
    /// It finishes what it has.
    Draining,
    /// Its lease ran out.
    Lost,
}

/// A worker of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The rack it stands in.
    pub rack: String,
    /// What it can hold.
    pub capacity: Resources,
    /// What its runs hold.
    pub used: Resources,
    /// Which life it is in.
    pub incarnation: Incarnation,
    /// An operator wants it to get no work.
    pub draining: bool,
    /// Its runs, oldest first.
    pub runs: Vec<Fence>,
    /// It gets nothing before this time.
    pub quarantined_until: Timestamp,
    /// It came out of quarantine and has not succeeded since: one run at a time.
    pub on_probation: bool,
    /// When its lease ran out, unless it has begun another life since.
    pub lost_at: Option<Timestamp>,
    quarantines: u32,
    /// Different jobs that failed here since the last success.
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

    /// Starts another life. Its record of failures stays: a restart mends nothing.
    pub(crate) fn begin_life(&mut self, rack: String, capacity: Resources, life: Incarnation) {
        self.rack = rack;
        self.capacity = capacity;
        self.incarnation = life;
        self.lost_at = None;
    }

    /// Whether it gets work.
    pub fn status(&self) -> WorkerStatus {
        match (self.lost_at, self.draining) {
            (Some(_), _) => WorkerStatus::Lost,
            (None, true) => WorkerStatus::Draining,
            (None, false) => WorkerStatus::Active,
        }
    }

    /// What is free for new work at `now`.
    pub fn free_resources(&self, now: Timestamp) -> Resources {
        let closed = self.status() != WorkerStatus::Active
            || now < self.quarantined_until
            || (self.on_probation && !self.runs.is_empty());
        if closed {
            return Resources::default();
        }
        self.capacity.saturating_sub(&self.used)
    }

    pub(crate) fn note_success(&mut self) {
        self.failed_jobs.clear();
        self.on_probation = false;
        self.quarantines = 0;
    }

    /// A run failed here. Returns the jobs to forgive when that shows the worker to be bad.
    pub(crate) fn note_failure(&mut self, job: JobId, at: Timestamp) -> Vec<JobId> {
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
