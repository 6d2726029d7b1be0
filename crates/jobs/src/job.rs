//! Jobs and the progress of their steps and tasks.

use crate::footprint::Footprint;
use crate::model::{JobRequest, LifeId, QueueId, RunNumber, StepRef};
use crate::sizes;
use crate::tasks::Tasks;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{AccountName, JobId, SortedMap, Timestamp};

/// Lifecycle phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepted; no task has been assigned to a worker yet.
    Queued,
    /// At least one task has been assigned to a worker.
    Running,
    /// All tasks of all occurrences are done.
    Complete,
    /// A task or a gang failed as often as the queue allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl Phase {
    /// Whether the phase is final: no task of the job will run any more.
    pub fn is_over(self) -> bool {
        !matches!(self, Phase::Queued | Phase::Running)
    }
}

/// Progress of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// The task waits to be assigned to a worker.
    #[default]
    Waiting,
    /// A run of the task is assigned to this life and may be running there.
    Placed(LifeId),
    /// The task is done.
    Done,
}

/// State of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Whether the task waits, is assigned to a life or is done.
    pub progress: Progress,
    /// Number of the latest run; 0 before the first.
    pub run: RunNumber,
    /// Number of runs that failed.
    pub failures: u32,
    /// Checkpoint of an earlier run.
    pub saved: Option<String>,
}

/// State of one step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The tasks.
    pub tasks: Tasks,
    /// Number of failed runs of the gang as a whole.
    pub gang_failures: u32,
    /// Run number of the gang's last failed run; 0 before the first failure.
    pub failed_run: RunNumber,
}

impl StepState {
    /// Whether all tasks of the step are done.
    pub fn is_done(&self) -> bool {
        self.tasks.done() == self.tasks.count()
    }

    /// Whether no task is assigned to a worker.
    pub fn is_idle(&self) -> bool {
        self.tasks.placed() == 0
    }
}

/// State of one execution of all steps of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// The steps, by index.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    pub(crate) fn new(request: &JobRequest) -> Occurrence {
        let step = |count| StepState { tasks: Tasks::new(count), ..StepState::default() };
        Occurrence { steps: request.steps.iter().map(|spec| step(spec.count)).collect() }
    }

    /// Size in bytes of an occurrence that has just been opened.
    pub(crate) fn new_bytes(request: &JobRequest) -> usize {
        sizes::OCCURRENCE + request.steps.len() * sizes::STEP
    }

    pub(crate) fn footprint(&self) -> Footprint {
        let mut total = Footprint::of_bytes(sizes::OCCURRENCE + self.steps.len() * sizes::STEP);
        total += self.steps.iter().map(|step| step.tasks.footprint()).sum();
        total
    }

    /// Whether all steps of the occurrence are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Account of the caller that submitted the job; `None` if there are no accounts.
    pub account: Option<AccountName>,
    /// When the job was accepted, by the clock of the leader at that time.
    pub submitted: Timestamp,
    /// Lifecycle phase; final once the job is over.
    pub phase: Phase,
    /// When the job ended; `None` until then.
    pub ended: Option<Timestamp>,
    /// The request; dropped once the job is over.
    pub request: Option<Arc<JobRequest>>,
    /// Occurrences that are open, by index: due and not done.
    pub occurrences: SortedMap<u32, Occurrence>,
    /// Number of occurrences opened so far.
    pub opened: u32,
    /// Number of occurrences that are done.
    pub finished: u32,
    /// Whether the account had sent more jobs than its weight allows when this one was accepted.
    pub over_rate: bool,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        queue: QueueId,
        account: Option<AccountName>,
        request: JobRequest,
        at: Timestamp,
    ) -> Job {
        Job {
            id,
            queue,
            account,
            submitted: at,
            phase: Phase::Queued,
            ended: None,
            request: Some(Arc::new(request)),
            occurrences: SortedMap::default(),
            opened: 0,
            finished: 0,
            over_rate: false,
        }
    }

    /// Total number of occurrences, due or not; 1 for a job without a schedule or one that is over.
    pub fn times(&self) -> u32 {
        let schedule = self.request.as_ref().and_then(|request| request.schedule);
        schedule.map_or(1, |schedule| schedule.times)
    }

    /// Steps whose dependencies are done and which have waiting tasks. A gang becomes ready only
    /// once none of its members is assigned any more.
    pub fn steps_ready(&self) -> impl Iterator<Item = StepRef> + '_ {
        self.occurrences.keys().flat_map(move |occurrence| self.steps_ready_of(*occurrence))
    }

    /// The same of one occurrence.
    pub(crate) fn steps_ready_of(&self, occurrence: u32) -> impl Iterator<Item = StepRef> + '_ {
        let steps = self.occurrences.get(&occurrence).map_or(0, |found| found.steps.len() as u16);
        let refs = (0..steps).map(move |step| StepRef { job: self.id, occurrence, step });
        refs.filter(|step| self.is_ready(*step))
    }

    /// Size in bytes of a job that has just been accepted, with its first occurrence.
    pub(crate) fn new_bytes(account: Option<&AccountName>, request: &JobRequest) -> usize {
        let account = account.map_or(0, String::len);
        sizes::JOB + account + request.bytes() + Occurrence::new_bytes(request)
    }

    pub(crate) fn footprint(&self) -> Footprint {
        let account = self.account.as_ref().map_or(0, String::len);
        let request = self.request.as_ref().map_or(0, |request| request.bytes());
        let mut total = Footprint::of_bytes(sizes::JOB + account + request);
        total += self.occurrences.values().map(Occurrence::footprint).sum();
        total
    }

    /// Whether tasks of the step can be assigned to workers now.
    pub fn is_ready(&self, step: StepRef) -> bool {
        let Some(request) = self.request.as_ref().filter(|_| !self.phase.is_over()) else {
            return false;
        };
        let Some(occurrence) = self.occurrences.get(&step.occurrence) else { return false };
        let i = usize::from(step.step);
        let (Some(spec), Some(state)) = (request.steps.get(i), occurrence.steps.get(i)) else {
            return false;
        };
        let earlier_done = spec.after.iter().all(|i| occurrence.steps[usize::from(*i)].is_done());
        earlier_done && state.tasks.waiting_count() > 0 && (!spec.gang || state.is_idle())
    }

    /// The state of a step; `None` if its occurrence is not open.
    pub fn step(&self, step: StepRef) -> Option<&StepState> {
        self.occurrences.get(&step.occurrence)?.steps.get(usize::from(step.step))
    }

    pub(crate) fn step_mut(&mut self, step: StepRef) -> Option<&mut StepState> {
        self.occurrences.get_mut(&step.occurrence)?.steps.get_mut(usize::from(step.step))
    }
}
