//! Jobs and their runs.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{Fence, JobId, JobSpec, Timestamp, Version, WorkerId};

/// A job is held back after failures on this many different workers.
const FAILED_WORKERS_TO_HOLD: usize = 3;
/// A job is held back after this many consecutive failures, on any workers.
const FAILURES_TO_HOLD: u32 = 6;
/// Duration of the first hold; each further hold is twice as long as the one before.
const FIRST_HOLD: Duration = Duration::from_secs(10);
/// A job that is not a service fails permanently at this many holds without a success between.
const MAX_HOLDS: u32 = 4;
/// Upper limit on the duration of a hold. Only a service reaches it; other jobs fail before.
const LONGEST_HOLD: Duration = Duration::from_secs(600);

/// The status of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobStatus {
    /// Tasks are waiting or running.
    Active,
    /// Every task succeeded.
    Succeeded,
    /// Tasks failed permanently, or may have run and must not run again.
    Failed,
    /// The job was cancelled or withdrawn from its release.
    Cancelled,
}

/// A job of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the job runs, as submitted or declared.
    pub spec: JobSpec,
    /// The release that added the job; `None` if it was submitted directly or withdrawn.
    pub added: Option<Version>,
    /// When the job was added.
    pub submitted: Timestamp,
    /// When the job had no waiting tasks for the first time; `None` until then.
    pub started: Option<Timestamp>,
    /// When the job ended; `None` while it is active.
    pub ended: Option<Timestamp>,
    /// The status of the job.
    pub status: JobStatus,
    /// Why the job failed or is held back, for display; empty if neither happened.
    pub reason: String,
    /// No task starts before this time.
    pub held_until: Timestamp,
    /// Whether the job can no longer meet its deadline.
    pub late: bool,
    /// An earlier job of the same name. No task starts while that job still has runs.
    pub predecessor: Option<JobId>,
    /// Incremented by every spec change that requires running tasks to be replaced.
    pub generation: u32,
    /// Live runs, oldest first.
    pub runs: Vec<Fence>,
    /// Number of tasks that succeeded.
    pub succeeded: u32,
    /// Number of tasks that failed permanently.
    pub failed: u32,
    /// Number of unrepeatable tasks that may have run.
    pub unknown: u32,
    /// Tasks from this index on have never started.
    next_index: u32,
    /// Tasks below `next_index` that are neither in a run nor finished, sorted. Indexes beyond
    /// `spec.tasks` are kept in case the number of tasks grows again.
    requeued: Vec<u32>,
    /// Distinct workers on which runs failed since the last success, hold or spec change, sorted.
    failed_on: Vec<WorkerId>,
    /// Failures since the last success, hold or spec change.
    failures: u32,
    /// Holds since the last success or spec change.
    holds: u32,
}

/// One run of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub index: u32,
    /// The worker that executes the run.
    pub worker: WorkerId,
    /// When the task was placed.
    pub placed: Timestamp,
    /// Whether the run was asked to stop.
    pub stopping: bool,
    /// The job's generation when the task was placed.
    pub generation: u32,
    /// Resources that the run reserves on the worker.
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
            next_index: 0,
            requeued: Vec::new(),
            failed_on: Vec::new(),
            failures: 0,
            holds: 0,
        }
    }

    /// Number of waiting tasks; 0 once the job has ended.
    pub fn waiting(&self) -> u32 {
        if self.status != JobStatus::Active {
            return 0;
        }
        self.spec.tasks.saturating_sub(self.next_index) + self.requeued_in_range() as u32
    }

    /// Time by which the last task must have ended, if the job has a deadline.
    pub fn deadline(&self) -> Option<Timestamp> {
        self.spec.deadline.map(|d| self.submitted + d)
    }

    /// Whether the job has ended; it may still have runs that are stopping.
    pub fn is_over(&self) -> bool {
        self.status != JobStatus::Active
    }

    /// Removes a task from the waiting ones and returns its index. Tasks that ran before come
    /// first.
    pub(crate) fn take_waiting(&mut self) -> Option<u32> {
        if self.waiting() == 0 {
            return None;
        }
        let in_range = self.requeued_in_range();
        if in_range > 0 {
            return Some(self.requeued.remove(in_range - 1));
        }
        self.next_index += 1;
        Some(self.next_index - 1)
    }

    /// Queues a task again. An index beyond the number of tasks is kept in case that grows.
    pub(crate) fn requeue(&mut self, index: u32) {
        if self.is_over() {
            return;
        }
        if let Err(i) = self.requeued.binary_search(&index) {
            self.requeued.insert(i, index);
        }
    }

    /// Number of `requeued` indexes below the current number of tasks.
    fn requeued_in_range(&self) -> usize {
        self.requeued.partition_point(|index| *index < self.spec.tasks)
    }

    /// Sets a new spec. Any change other than to the number of tasks starts a new generation.
    pub(crate) fn set_spec(&mut self, spec: JobSpec) {
        let only_tasks_differ = JobSpec { tasks: spec.tasks, ..self.spec.clone() } == spec;
        if !only_tasks_differ {
            self.generation += 1;
        }
        self.spec = spec;
        (self.failures, self.holds, self.held_until) = (0, 0, Timestamp::ZERO);
        self.failed_on.clear();
    }

    /// Records a successful run, which resets the failure counts.
    pub(crate) fn record_success(&mut self) {
        (self.failures, self.holds) = (0, 0);
        self.failed_on.clear();
    }

    /// Records a failed run. Repeated failures hold the job back, each time for longer.
    pub(crate) fn record_failure(&mut self, worker: &WorkerId, at: Timestamp, is_service: bool) {
        self.failures += 1;
        if let Err(i) = self.failed_on.binary_search(worker) {
            self.failed_on.insert(i, worker.clone());
        }
        let many_workers = self.failed_on.len() >= FAILED_WORKERS_TO_HOLD;
        if !many_workers && self.failures < FAILURES_TO_HOLD {
            return;
        }
        let (failures, workers) = (self.failures, self.failed_on.len());
        let hold = self.hold_back(at);
        self.reason = format!(
            "failed {failures} times in a row on {workers} workers; held back for {hold:?}"
        );
        if !is_service && self.holds >= MAX_HOLDS {
            self.end(JobStatus::Failed, at);
            self.reason = format!("failed again after {MAX_HOLDS} holds; not tried any more");
        }
    }

    /// Holds the job back, each time for longer. Returns for how long.
    pub(crate) fn hold_back(&mut self, at: Timestamp) -> Duration {
        let hold = (FIRST_HOLD * 2u32.saturating_pow(self.holds)).min(LONGEST_HOLD);
        self.held_until = at + hold;
        self.holds += 1;
        self.failures = 0;
        self.failed_on.clear();
        hold
    }

    /// Stops counting a failure on `worker` against the job, as that worker was quarantined.
    pub(crate) fn discount_failure_on(&mut self, worker: &WorkerId) {
        if let Ok(i) = self.failed_on.binary_search(worker) {
            self.failed_on.remove(i);
            self.failures = self.failures.saturating_sub(1);
        }
    }

    /// Ends the job; no further task starts.
    pub(crate) fn end(&mut self, status: JobStatus, at: Timestamp) {
        self.status = status;
        self.ended = Some(at);
        self.requeued = Vec::new();
        self.next_index = u32::MAX;
    }

    /// Ends the job if it is not a service and no task is waiting or running.
    pub(crate) fn end_if_finished(&mut self, at: Timestamp) {
        let unfinished = self.waiting() > 0 || !self.runs.is_empty();
        if self.is_over() || unfinished || self.spec.class == types::JobClass::Service {
            return;
        }
        let all_succeeded = self.failed == 0 && self.unknown == 0;
        if self.unknown > 0 {
            self.reason = format!("{} unrepeatable tasks may have run", self.unknown);
        }
        self.end(if all_succeeded { JobStatus::Succeeded } else { JobStatus::Failed }, at);
    }
}
