//! Tasks that ran on workers when these crashed: counting, keeping them apart, and giving up those
//! that crash one worker after the other.

use crate::command::Effects;
use crate::job::JobStatus;
use crate::zone::ZoneState;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{JobClass, JobId, Timestamp, WorkerId};

/// A task is given up after this many crashes if its job was alone on the worker at the last.
const CRASHES_TO_GIVE_UP: u32 = 2;
/// A task is given up after this many crashes although other jobs may be to blame for them.
const CRASHES_TO_GIVE_UP_AMONG_OTHERS: u32 = 3;
/// A task is given up after this many losses of its workers, whether these crashed or were cut off.
const LOSSES_TO_GIVE_UP: u32 = 4;
/// After a crash a job shares no worker with others for this long. It must not wait for ever for a
/// worker that runs nothing.
const TIME_APART: Duration = Duration::from_secs(60);

/// How often workers were gone while they ran a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TaskLosses {
    /// The worker has crashed: its next incarnation registered before its lease had ended.
    crashes: u32,
    /// The worker fell silent: it crashed or was cut off.
    silent: u32,
}

impl TaskLosses {
    fn is_enough(&self, alone: bool) -> bool {
        let needed = if alone { CRASHES_TO_GIVE_UP } else { CRASHES_TO_GIVE_UP_AMONG_OTHERS };
        self.crashes >= needed || self.crashes + self.silent >= LOSSES_TO_GIVE_UP
    }
}

/// Losses of workers that ran tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobLosses {
    last_crash: Option<Timestamp>,
    /// Losses by task index, sorted.
    tasks: Vec<(u32, TaskLosses)>,
}

impl JobLosses {
    fn of_task(&mut self, index: u32) -> &mut TaskLosses {
        let found = self.tasks.binary_search_by_key(&index, |(index, _)| *index);
        let i = found.unwrap_or_else(|i| {
            self.tasks.insert(i, (index, TaskLosses::default()));
            i
        });
        &mut self.tasks[i].1
    }
}

impl ZoneState {
    /// Whether a worker lately crashed while it ran the job. Until the next crash shows whether the
    /// job causes it, the job shares no worker with others. A service is never kept apart: it is not
    /// given up, and has to serve meanwhile.
    pub fn is_kept_apart(&self, job: JobId, now: Timestamp) -> bool {
        let serves = self.jobs.get(&job).is_some_and(|job| job.spec.class == JobClass::Service);
        let crash = self.losses.get(&job).and_then(|losses| losses.last_crash);
        !serves && crash.is_some_and(|at| now < at + TIME_APART)
    }

    /// Jobs that are or were kept apart.
    pub fn suspect_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.losses.keys().copied()
    }

    /// Whether the worker runs a job that is kept apart, so that no other job may start there.
    pub fn is_closed(&self, worker: &WorkerId, now: Timestamp) -> bool {
        self.jobs_on(worker).iter().any(|job| self.is_kept_apart(*job, now))
    }

    /// Whether a task of the job may start on the worker beside what runs there.
    pub(crate) fn may_share(&self, worker: &WorkerId, job: JobId, now: Timestamp) -> bool {
        let apart = self.is_kept_apart(job, now);
        let mut others = self.jobs_on(worker).into_iter().filter(|other| *other != job);
        others.all(|other| !apart && !self.is_kept_apart(other, now))
    }

    /// Counts the loss of a worker for the tasks that it ran, and gives up jobs that cause it.
    pub(crate) fn record_loss(
        &mut self,
        runs: &[(JobId, u32)],
        crashed: bool,
        at: Timestamp,
        effects: &mut Effects,
    ) {
        self.forget_losses_of_ended();
        let mut jobs: Vec<JobId> = runs.iter().map(|(job, _)| *job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let alone = jobs.len() == 1;
        for (job, index) in runs {
            if self.jobs.get(job).is_none_or(|job| job.is_over()) {
                continue;
            }
            let losses = self.losses.get_or_insert_with(*job, JobLosses::default);
            if crashed {
                losses.last_crash = Some(at);
            }
            let task = losses.of_task(*index);
            *(if crashed { &mut task.crashes } else { &mut task.silent }) += 1;
            if task.is_enough(alone) {
                let count = task.crashes + task.silent;
                self.give_up(*job, *index, count, at, effects);
            }
        }
    }

    /// Forgets the losses of a task that has succeeded.
    pub(crate) fn forget_losses(&mut self, job: JobId, index: u32) {
        if let Some(losses) = self.losses.get_mut(&job) {
            losses.tasks.retain(|(other, _)| *other != index);
            if losses.tasks.is_empty() {
                self.losses.remove(&job);
            }
        }
    }

    pub(crate) fn forget_losses_of_ended(&mut self) {
        let jobs = &self.jobs;
        self.losses.retain(|id, _| jobs.get(id).is_some_and(|job| !job.is_over()));
    }

    /// Ends a job whose task crashes workers. A service is held back instead, each time for longer.
    fn give_up(&mut self, id: JobId, index: u32, count: u32, at: Timestamp, effects: &mut Effects) {
        self.losses.remove(&id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.class == JobClass::Service {
            let hold = job.hold_back(at);
            job.reason =
                format!("{count} workers were lost with task {index}; held back for {hold:?}");
        } else {
            job.end(JobStatus::Failed, at);
            job.reason = format!("{count} workers were lost with task {index}; not tried any more");
            for fence in job.runs.clone() {
                self.stop(fence, effects);
            }
        }
        effects.jobs.push(id);
    }

    fn jobs_on(&self, worker: &WorkerId) -> Vec<JobId> {
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        worker.runs.iter().filter_map(|fence| self.runs.get(fence)).map(|run| run.job).collect()
    }

    /// Job and task index of each run on a worker.
    pub(crate) fn tasks_on(&self, worker: &WorkerId) -> Vec<(JobId, u32)> {
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let runs = worker.runs.iter().filter_map(|fence| self.runs.get(fence));
        runs.map(|run| (run.job, run.index)).collect()
    }
}
