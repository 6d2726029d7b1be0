//! What callers ask for, and the names of its parts.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{JobId, Timestamp, WorkerId};

/// A queue's place in the state's table of queues.
pub type QueueId = u32;
/// One life of a worker: from its start to its crash or end.
pub type LifeId = u64;
/// Counts the starts of a task, from 1.
pub type RunNumber = u32;

/// Most tasks that one step may have.
pub const MAX_TASKS_PER_STEP: u32 = 10_000;
/// Most steps that one job may have.
pub const MAX_STEPS: usize = 256;

/// An amount of each resource of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Mebibytes.
    pub memory: u64,
    /// Devices.
    pub gpu: u64,
}

impl ResourceVector {
    /// Whether this much fits into `free`.
    ///
    /// ```
    /// let ask = jobs::ResourceVector { cpu: 500, ..jobs::ResourceVector::default() };
    /// assert!(ask.fits_in(&jobs::ResourceVector { cpu: 500, memory: 1, gpu: 0 }));
    /// ```
    pub fn fits_in(&self, free: &ResourceVector) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.gpu <= free.gpu
    }

    /// Both together.
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            gpu: self.gpu + other.gpu,
        }
    }

    /// What is left after `other` is taken away; nothing goes below zero.
    pub fn minus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// How many tasks of this size fit into `free`.
    pub fn count_in(&self, free: &ResourceVector) -> u32 {
        let each = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = each(self.cpu, free.cpu)
            .min(each(self.memory, free.memory))
            .min(each(self.gpu, free.gpu));
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each task needs.
    pub need: ResourceVector,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Tasks save their progress.
    pub checkpoint: bool,
    /// Tasks work only together, all with the same run number.
    pub gang: bool,
    /// Tasks work at full speed only on one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack on which the step's data lies.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for any number.
    pub max_per_worker: u32,
    /// Copies of a task may run side by side.
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted however they end.
    pub long_running: bool,
    /// Tasks use what others leave, and their processors are not counted.
    pub fills: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Tail latency that tasks serving users must keep.
    pub target: Option<Duration>,
    /// Tasks that the scheduler may take away at one time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// What a task takes of its worker's room: one that fills takes no processors.
    pub fn charge(&self) -> ResourceVector {
        ResourceVector { cpu: if self.fills { 0 } else { self.need.cpu }, ..self.need }
    }
}

/// When the steps of a scheduled job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many times.
    pub times: u32,
    /// When the first is due, since the Unix epoch.
    pub first: Duration,
    /// From one to the next.
    pub interval: Duration,
}

/// A job as its caller hands it in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Text that each task gets.
    pub spec: String,
    /// The steps, in an order in which each comes after those that it waits for.
    pub steps: Vec<StepSpec>,
    /// Set for a job that runs at set times.
    pub schedule: Option<Schedule>,
}

impl JobRequest {
    /// Checks what no state is needed for. The error names field and cause.
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

    /// The longest chain of estimated work through the steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|i| ends.get(usize::from(*i)).copied());
            ends.push(before.max().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}

impl StepSpec {
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

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepRef {
    /// The job.
    pub job: JobId,
    /// Which occurrence, 0 for a job without a schedule.
    pub occurrence: u32,
    /// Place of the step in the job.
    pub step: u16,
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The step.
    pub step: StepRef,
    /// Place of the task in the step.
    pub index: u32,
}

/// A task that a worker may still start by an order to a life of it that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtStart {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskRef,
    /// When the life was over.
    pub at: Timestamp,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, through its own fault or its worker's.
    Failed,
    /// It was stopped on an order.
    Stopped,
    /// Its worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// The end of a run, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Place in the worker's list of ends; counts up from 1 in each life.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress from which a later run can go on.
    pub saved: Option<String>,
}

/// Runs of one step that are to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The step.
    pub step: StepRef,
    /// Index of each task and the life that runs it.
    pub tasks: Vec<(u32, LifeId)>,
}
