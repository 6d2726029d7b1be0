//! Job requests and the identifiers of jobs, steps, tasks and runs.

use crate::sizes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{JobId, ResourceVector, Timestamp, WorkerId};

/// Index of a queue in the state's queue table. Queues are never removed from the table.
pub type QueueId = u32;
/// Identifies one life (incarnation) of a worker, from its start to its exit or crash.
pub type LifeId = u64;
/// Number of a run of a task, counted from 1.
pub type RunNumber = u32;

/// Maximum number of tasks in one step.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;
/// Maximum number of steps in one job.
pub const MAX_STEPS: usize = 256;

/// Specification of one step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// The caller's estimate of a task's duration.
    pub estimate: Duration,
    /// Indexes of earlier steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints from which a later run can resume.
    pub checkpoint: bool,
    /// Whether the tasks must all run at the same time, with the same run number.
    pub gang: bool,
    /// Whether tasks reach full speed only when they share a rack.
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks; `None` for any worker.
    pub required_label: Option<String>,
    /// Rack that holds the step's data; tasks run faster there.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled and are restarted whenever they end.
    pub long_running: bool,
    /// Whether tasks use only idle CPU time, so that no CPU is reserved for them.
    pub fills: bool,
    /// Name of the program that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Tail latency objective of tasks that serve users; `None` for other tasks.
    pub target: Option<Duration>,
    /// Number of tasks that the scheduler may take down at the same time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Resources reserved on the worker for each task. No CPU is reserved if `fills` is set.
    pub fn charge(&self) -> ResourceVector {
        ResourceVector { cpu: if self.fills { 0 } else { self.need.cpu }, ..self.need }
    }
}

/// When the occurrences of a scheduled job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub times: u32,
    /// When the first occurrence is due, since the Unix epoch.
    pub first: Duration,
    /// Time between occurrences.
    pub interval: Duration,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Opaque text that is passed to each task.
    pub spec: String,
    /// The steps in topological order: each step comes after the steps that it depends on.
    pub steps: Vec<StepSpec>,
    /// When the job runs; `None` for a job that runs once, as soon as it can.
    pub schedule: Option<Schedule>,
}

impl JobRequest {
    /// Validates everything that does not depend on the state. The error names the field and the
    /// cause.
    ///
    /// ```
    /// let request = jobs::JobRequest::default();
    /// assert_eq!(request.check().unwrap_err(), "steps: a job needs at least one");
    /// ```
    pub fn check(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("steps: a job needs at least one".to_string());
        }
        if self.steps.len() > MAX_STEPS {
            return Err(format!("steps: {} are more than {MAX_STEPS}", self.steps.len()));
        }
        for (i, step) in self.steps.iter().enumerate() {
            step.check(i).map_err(|cause| format!("steps[{i}].{cause}"))?;
        }
        match &self.schedule {
            Some(schedule) if schedule.times == 0 => Err("times: must not be 0".to_string()),
            _ => Ok(()),
        }
    }

    /// Estimate of the memory that the request takes, in bytes.
    ///
    /// ```
    /// let request = jobs::JobRequest { spec: "x".repeat(100), ..Default::default() };
    /// assert!(request.memory() >= 100);
    /// ```
    pub fn memory(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::memory);
        size_of::<JobRequest>() + self.spec.capacity() + steps.sum::<usize>()
    }

    /// Size in bytes by which the state counts it.
    pub(crate) fn bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(StepSpec::bytes).sum();
        sizes::REQUEST + self.spec.len() + steps
    }

    /// Estimated duration of the critical path: the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_by(|step| step.estimate)
    }

    /// The same with another estimate of each step's duration.
    pub fn critical_path_by<F>(&self, estimate: F) -> Duration
    where
        F: Fn(&StepSpec) -> Duration,
    {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|i| ends.get(usize::from(*i)).copied());
            ends.push(before.max().unwrap_or_default() + estimate(step));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

impl StepSpec {
    fn memory(&self) -> usize {
        let labels = [&self.required_label, &self.data_rack];
        let labels = labels.into_iter().flatten().map(String::capacity);
        size_of::<StepSpec>()
            + self.after.capacity() * size_of::<u16>()
            + self.image.capacity()
            + labels.sum::<usize>()
    }

    fn bytes(&self) -> usize {
        let labels = [&self.required_label, &self.data_rack];
        let labels: usize = labels.into_iter().flatten().map(String::len).sum();
        sizes::STEP_SPEC + self.after.len() * sizes::DEPENDENCY + self.image.len() + labels
    }

    fn check(&self, position: usize) -> Result<(), String> {
        if self.count == 0 {
            return Err("count: must not be 0".to_string());
        }
        if self.count > MAX_TASKS_PER_STEP {
            return Err(format!("count: {} is more than {MAX_TASKS_PER_STEP}", self.count));
        }
        match self.after.iter().find(|i| usize::from(**i) >= position) {
            Some(i) => Err(format!("after: {i} is not an earlier step")),
            None => Ok(()),
        }
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepRef {
    /// Id of the job.
    pub job: JobId,
    /// Index of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
}

/// Identifies one task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// Step that the task belongs to.
    pub step: StepRef,
    /// Index of the task in the step.
    pub index: u32,
}

/// A start order to an ended life that the worker's next life may still carry out, so that it is
/// unknown whether the task runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtStart {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Task that the start order names.
    pub task: TaskRef,
    /// When the life ended.
    pub at: Timestamp,
    /// Resources that the task would use.
    pub need: ResourceVector,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The run completed its work.
    Done,
    /// The run failed, whether through the task or its worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker stopped the run because its lease expired.
    Lapsed,
    /// The run ended because another member of its gang ended.
    Broken,
    /// The run gave up waiting for the other members of its gang.
    Alone,
}

/// The end of a run, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number of the end, counted from 1 in each life of the worker.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Outcome of the run.
    pub kind: EndKind,
    /// Checkpoint from which a later run can resume.
    pub saved: Option<String>,
}

/// Tasks of one step that are to start, with the lives that run them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Step that the tasks belong to.
    pub step: StepRef,
    /// Index of each task, and the life that is to run it.
    pub tasks: Vec<(u32, LifeId)>,
}
