//! Jobs and their runs.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{Fence, JobId, JobSpec, Timestamp, Version, WorkerId};

/// A job is held back after failing on this many different workers.
const FAILED_WORKERS_TO_HOLD: usize = 3;
/// A job is held back after this many failures in a row, wherever they were.
const FAILURES_TO_HOLD: u32 = 6;
/// Length of the first hold; each further one is twice as long.
const FIRST_HOLD: Duration = Duration::from_secs(10);
/// A job that is not a service fails for good at this hold.
const MAX_HOLDS: u32 = 4;
/// Longest hold of a service.
const LONGEST_HOLD: Duration = Duration::from_secs(600);

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// Tasks wait or run.
    Active,
    /// Every task succeeded.
    Succeeded,
    /// Tasks failed for good, or may have run and must not run again.
    Failed,
    /// Its owner withdrew it.
    Cancelled,
}

/// A job of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What its owner asked for.
    pub spec: JobSpec,
    /// The release that added it; `None` when submitted by itself.
    pub added: Option<Version>,
    /// When it came in.
    pub submitted: Timestamp,
    /// When all tasks started for the first time, or when the last one did.
    pub started: Option<Timestamp>,
    /// When it ended.
    pub ended: Option<Timestamp>,
    /// Where it stands.
    pub status: JobStatus,
    /// Why it failed or waits, in words.
    pub reason: String,
    /// No task starts before this time.
    pub held_until: Timestamp,
    /// It can't meet its deadline any more.
    pub late: bool,
    /// An earlier job of the same name; nothing starts while it still has runs.
    pub predecessor: Option<JobId>,
    /// Grows when what runs must be replaced.
    pub generation: u32,
    /// Live runs, oldest first.
    pub runs: Vec<Fence>,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// Tasks that failed for good.
    pub failed: u32,
    /// Unrepeatable tasks that may have run.
    pub unknown: u32,
    /// Tasks from this index on have never started.
    next: u32,
    /// Tasks below `next` that are neither in a run nor finished, sorted. An index that a smaller
    /// number of tasks cut off stays here for when the number grows again.
    again: Vec<u32>,
    /// Different workers on which it failed since the last success or hold.
    failed_on: Vec<WorkerId>,
    failures: u32,
    holds: u32,
}

/// One run of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job.
    pub job: JobId,
    /// Which of the job's tasks.
    pub index: u32,
    /// Where it runs.
    pub worker: WorkerId,
    /// When it was placed.
    pub placed: Timestamp,
    /// It was asked to stop.
    pub stopping: bool,
    /// The job's generation when it was placed.
    pub generation: u32,
    /// What it holds of the worker.
    pub resources: types::Resources,
}

impl Job {
    pub(crate) fn new(spec: JobSpec, added: Option<Version>, at: Timestamp) -> Job {
        Job {
            spec,
            added,
            submitted: at,
            started: None,
            ended: None,
            status: JobStatus::Active,
            reason: String::new(),
            held_until: Timestamp::ZERO,
            late: false,
            predecessor: None,
            generation: 0,
            runs: Vec::new(),
            succeeded: 0,
            failed: 0,
            unknown: 0,
            next: 0,
            again: Vec::new(),
            failed_on: Vec::new(),
            failures: 0,
            holds: 0,
        }
    }

    /// How many tasks wait.
    pub fn waiting(&self) -> u32 {
        if self.status != JobStatus::Active {
            return 0;
        }
        self.spec.tasks.saturating_sub(self.next) + self.wanted_again() as u32
    }

    /// When the last task must have ended.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.spec.deadline.map(|d| self.submitted + d)
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        self.status != JobStatus::Active
    }

    /// Takes the index of a waiting task.
    pub(crate) fn take_waiting(&mut self) -> Option<u32> {
        if self.waiting() == 0 {
            return None;
        }
        let wanted = self.wanted_again();
        if wanted > 0 {
            return Some(self.again.remove(wanted - 1));
        }
        self.next += 1;
        Some(self.next - 1)
    }

    /// A task waits again, or would if the job had more tasks.
    pub(crate) fn wait_again(&mut self, index: u32) {
        if self.is_over() {
            return;
        }
        if let Err(i) = self.again.binary_search(&index) {
            self.again.insert(i, index);
        }
    }

    /// How many of `again` are within the present number of tasks.
    fn wanted_again(&self) -> usize {
        self.again.partition_point(|index| *index < self.spec.tasks)
    }

    /// Sets a new spec. A change other than of the number of tasks replaces what runs.
    pub(crate) fn change(&mut self, spec: JobSpec) {
        let same_work = JobSpec { tasks: spec.tasks, ..self.spec.clone() } == spec;
        if !same_work {
            self.generation += 1;
        }
        self.spec = spec;
        (self.failures, self.holds, self.held_until) = (0, 0, Timestamp::ZERO);
        self.failed_on.clear();
    }

    pub(crate) fn note_success(&mut self) {
        (self.failures, self.holds) = (0, 0);
        self.failed_on.clear();
    }

    /// A run failed. After several, the job is held back, longer each time.
    pub(crate) fn note_failure(&mut self, worker: &WorkerId, at: Timestamp, is_service: bool) {
        self.failures += 1;
        if let Err(i) = self.failed_on.binary_search(worker) {
            self.failed_on.insert(i, worker.clone());
        }
        let many_workers = self.failed_on.len() >= FAILED_WORKERS_TO_HOLD;
        if !many_workers && self.failures < FAILURES_TO_HOLD {
            return;
        }
        let hold = (FIRST_HOLD * 2u32.saturating_pow(self.holds)).min(LONGEST_HOLD);
        self.reason = format!(
            "failed {} times in a row on {} workers; held back for {hold:?}",
            self.failures,
            self.failed_on.len()
        );
        self.held_until = at + hold;
        self.holds += 1;
        self.failures = 0;
        self.failed_on.clear();
        if !is_service && self.holds >= MAX_HOLDS {
            self.end(JobStatus::Failed, at);
            self.reason = format!("failed again after {MAX_HOLDS} holds; not tried any more");
        }
    }

    /// Forgets failures on a worker that turned out to be bad itself.
    pub(crate) fn forgive(&mut self, worker: &WorkerId) {
        if let Ok(i) = self.failed_on.binary_search(worker) {
            self.failed_on.remove(i);
            self.failures = self.failures.saturating_sub(1);
        }
    }

    pub(crate) fn end(&mut self, status: JobStatus, at: Timestamp) {
        self.status = status;
        self.ended = Some(at);
        self.again = Vec::new();
        self.next = u32::MAX;
    }

    /// Ends the job when no task waits or runs.
    pub(crate) fn end_if_finished(&mut self, at: Timestamp) {
        let open = self.waiting() > 0 || !self.runs.is_empty();
        if self.is_over() || open || self.spec.class == types::JobClass::Service {
            return;
        }
        let whole = self.failed == 0 && self.unknown == 0;
        if self.unknown > 0 {
            self.reason = format!("{} unrepeatable tasks may have run", self.unknown);
        }
        self.end(if whole { JobStatus::Succeeded } else { JobStatus::Failed }, at);
    }
}
