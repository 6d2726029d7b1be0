//! One job and how far it has got.

use crate::model::{JobRequest, LifeId, QueueId, RunNumber, StepRef};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{JobId, SortedMap, Timestamp};

/// How far a job has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepted; no task has been placed.
    Queued,
    /// A task has been placed.
    Running,
    /// All tasks are done.
    Complete,
    /// A task, or a gang, failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Whether nothing of the job will run any more.
    pub fn is_over(self) -> bool {
        !matches!(self, Phase::Queued | Phase::Running)
    }
}

/// How far a task has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It waits for a place.
    #[default]
    Waiting,
    /// A run of it has a place and may be at work there.
    Placed(LifeId),
    /// It is done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// How far it has got.
    pub progress: Progress,
    /// Number of its latest run, 0 before the first.
    pub run: RunNumber,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Saved progress of an earlier run.
    pub saved: Option<String>,
}

/// One step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are done.
    pub done: u32,
    /// Runs of the whole gang that failed.
    pub gang_failures: u32,
    /// Number of the last run of the gang that failed.
    pub failed_run: RunNumber,
}

impl StepState {
    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Indexes of tasks that wait for a place.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let waits = |(_, task): &(usize, &Task)| task.progress == Progress::Waiting;
        self.tasks.iter().enumerate().filter(waits).map(|(i, _)| i as u32)
    }

    /// Whether no task has a place.
    pub fn is_idle(&self) -> bool {
        !self.tasks.iter().any(|task| matches!(task.progress, Progress::Placed(_)))
    }
}

/// One time that a job's steps run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    pub(crate) fn new(request: &JobRequest) -> Occurrence {
        let step = |count: u32| StepState {
            tasks: vec![Task::default(); count as usize],
            ..StepState::default()
        };
        Occurrence { steps: request.steps.iter().map(|spec| step(spec.count)).collect() }
    }

    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueId,
    /// When it was accepted, by the clock of the leader then.
    pub submitted: Timestamp,
    /// How far it has got.
    pub phase: Phase,
    /// When it was over.
    pub ended: Option<Timestamp>,
    /// What was asked for; dropped once the job is over.
    pub request: Option<Arc<JobRequest>>,
    /// Occurrences that are due and not done.
    pub occurrences: SortedMap<u32, Occurrence>,
    /// Occurrences opened so far.
    pub opened: u32,
    /// Occurrences that are done.
    pub finished: u32,
}

impl Job {
    pub(crate) fn new(id: JobId, queue: QueueId, request: JobRequest, at: Timestamp) -> Job {
        Job {
            id,
            queue,
            submitted: at,
            phase: Phase::Queued,
            ended: None,
            request: Some(Arc::new(request)),
            occurrences: SortedMap::default(),
            opened: 0,
            finished: 0,
        }
    }

    /// How many occurrences it has in all.
    pub fn times(&self) -> u32 {
        let schedule = self.request.as_ref().and_then(|request| request.schedule);
        schedule.map_or(1, |schedule| schedule.times)
    }

    /// Steps with waiting tasks whose earlier steps are done. A gang waits until none of its
    /// members has a place.
    pub fn steps_ready(&self) -> impl Iterator<Item = StepRef> + '_ {
        self.occurrences.iter().flat_map(move |(occurrence, o)| {
            let steps = 0..o.steps.len() as u16;
            let refs =
                steps.map(move |step| StepRef { job: self.id, occurrence: *occurrence, step });
            refs.filter(|step| self.is_ready(*step))
        })
    }

    /// Whether tasks of the step may be placed now.
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
        earlier_done && state.waiting().next().is_some() && (!spec.gang || state.is_idle())
    }

    /// The state of a step that is open.
    pub fn step(&self, step: StepRef) -> Option<&StepState> {
        self.occurrences.get(&step.occurrence)?.steps.get(usize::from(step.step))
    }

    pub(crate) fn step_mut(&mut self, step: StepRef) -> Option<&mut StepState> {
        self.occurrences.get_mut(&step.occurrence)?.steps.get_mut(usize::from(step.step))
    }
}
