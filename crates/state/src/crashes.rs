//! Tasks that ran on workers when these crashed: counting, keeping them apart, and giving up those
//! that crash one worker after the other.

use crate::command::Effects;
use crate::job::{Job, JobStatus};
use crate::zone::ZoneState;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{JobClass, JobId, SortedMap, Timestamp, WorkerId};

/// A task is given up after this many crashes. One of them may be counted by mistake: a task that has
/// ended counts as running while its worker could not report the end.
const CRASHES_TO_GIVE_UP: u32 = 3;
/// A task that may have crashed this many workers, some of which have been silent since, does not
/// start again before they show whether they have crashed.
const LOSSES_TO_WAIT: u32 = 4;
/// A job waits no longer than this for silent workers.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(300);
/// After a crash a job shares no worker with others for this long. It must not wait for ever for a
/// worker that runs nothing.
const TIME_APART: Duration = Duration::from_secs(60);

/// How often workers were gone while they ran a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TaskLosses {
    /// The worker has crashed: its process has started anew.
    crashes: u32,
    /// The worker fell silent, and its next registration will show whether it has crashed.
    silent: u32,
}

/// Losses of workers that ran tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct JobLosses {
    last_crash: Option<Timestamp>,
    last_silence: Option<Timestamp>,
    /// Losses by task index, sorted.
    tasks: Vec<(u32, TaskLosses)>,
}

/// Losses of workers, by what ran there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Losses {
    jobs: SortedMap<JobId, JobLosses>,
    /// Tasks that ran on a worker when it fell silent, until it registers again.
    silent: SortedMap<WorkerId, Vec<(JobId, u32)>>,
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

    /// Until when the job waits for silent workers.
    fn waits_until(&self) -> Timestamp {
        let waits = |losses: &TaskLosses| {
            losses.silent > 0 && losses.crashes + losses.silent >= LOSSES_TO_WAIT
        };
        let last = self.last_silence.filter(|_| self.tasks.iter().any(|(_, losses)| waits(losses)));
        last.map_or(Timestamp::ZERO, |at| at + SILENCE_TIMEOUT)
    }
}

impl ZoneState {
    /// Whether a worker lately crashed while it ran the job. Until the next crash shows whether the
    /// job causes it, the job shares no worker with others. A service is never kept apart: it is not
    /// given up, and has to serve meanwhile.
    pub fn is_kept_apart(&self, job: JobId, now: Timestamp) -> bool {
        let serves = self.jobs.get(&job).is_some_and(|job| job.spec.class == JobClass::Service);
        let crash = self.losses.jobs.get(&job).and_then(|losses| losses.last_crash);
        !serves && crash.is_some_and(|at| now < at + TIME_APART)
    }

    /// Jobs that are or were kept apart.
    pub fn suspect_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.losses.jobs.keys().copied()
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

    /// When the job may start: not while it is held back, or has to wait for silent workers.
    pub fn held_until(&self, id: JobId, job: &Job) -> Timestamp {
        let waits = self.losses.jobs.get(&id).map_or(Timestamp::ZERO, JobLosses::waits_until);
        job.held_until.max(waits)
    }

    /// Counts the crash of a worker for the tasks that it ran, now and when it last fell silent, and
    /// gives up jobs that cause crashes.
    pub(crate) fn record_crash(
        &mut self,
        worker: &WorkerId,
        running: Vec<(JobId, u32)>,
        at: Timestamp,
        effects: &mut Effects,
    ) {
        let mut running = running;
        running.extend(self.forget_silence(worker));
        running.sort_unstable();
        running.dedup();
        self.forget_losses_of_ended();
        for (job, index) in running {
            if self.jobs.get(&job).is_none_or(|job| job.is_over()) {
                continue;
            }
            let losses = self.losses.jobs.get_or_insert_with(job, JobLosses::default);
            losses.last_crash = Some(at);
            let task = losses.of_task(index);
            task.crashes += 1;
            let count = task.crashes;
            if count >= CRASHES_TO_GIVE_UP {
                self.give_up(job, index, count, at, effects);
            }
        }
    }

    /// Notes which tasks ran on a worker when it fell silent.
    pub(crate) fn record_silence(
        &mut self,
        worker: &WorkerId,
        running: Vec<(JobId, u32)>,
        at: Timestamp,
    ) {
        for (job, index) in &running {
            let losses = self.losses.jobs.get_or_insert_with(*job, JobLosses::default);
            losses.last_silence = Some(at);
            losses.of_task(*index).silent += 1;
        }
        if !running.is_empty() {
            self.losses.silent.get_or_insert_with(worker.clone(), Vec::new).extend(running);
        }
    }

    /// Forgets that a worker was silent, and returns what ran there then.
    pub(crate) fn forget_silence(&mut self, worker: &WorkerId) -> Vec<(JobId, u32)> {
        let ran = self.losses.silent.remove(worker).unwrap_or_default();
        for (job, index) in &ran {
            if let Some(losses) = self.losses.jobs.get_mut(job) {
                let task = losses.of_task(*index);
                task.silent = task.silent.saturating_sub(1);
            }
        }
        ran
    }

    /// Forgets the losses of a task that has succeeded.
    pub(crate) fn forget_losses(&mut self, job: JobId, index: u32) {
        if let Some(losses) = self.losses.jobs.get_mut(&job) {
            losses.tasks.retain(|(other, _)| *other != index);
            if losses.tasks.is_empty() {
                self.losses.jobs.remove(&job);
            }
        }
        for ran in self.losses.silent.values_mut() {
            ran.retain(|task| *task != (job, index));
        }
    }

    pub(crate) fn forget_losses_of_ended(&mut self) {
        let jobs = &self.jobs;
        let is_open = |id: &JobId| jobs.get(id).is_some_and(|job| !job.is_over());
        self.losses.jobs.retain(|id, _| is_open(id));
        for ran in self.losses.silent.values_mut() {
            ran.retain(|(job, _)| is_open(job));
        }
        self.losses.silent.retain(|_, ran| !ran.is_empty());
    }

    /// Ends a job whose task crashes workers. A service is held back instead, each time for longer.
    fn give_up(&mut self, id: JobId, index: u32, count: u32, at: Timestamp, effects: &mut Effects) {
        self.losses.jobs.remove(&id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.class == JobClass::Service {
            let hold = job.hold_back(at);
            job.reason =
                format!("{count} workers crashed under task {index}; held back for {hold:?}");
        } else {
            job.end(JobStatus::Failed, at);
            job.reason = format!("{count} workers crashed under task {index}; not tried any more");
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
