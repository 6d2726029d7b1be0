//! State of an emulated worker: its runs, and the ends that the leader has not acknowledged.

use dispatch::{ListedRun, RunListing};
use jobs::{End, EndKind, ResourceVector, RunNumber, TaskRef};
use std::time::Duration;
use types::{SortedMap, Timestamp};

/// A run that is working or waits for the other members of its gang.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) need: ResourceVector,
    /// Work that was left at the start of the run, as time on this worker.
    pub(crate) remaining: Duration,
    /// Work of the whole task, as time on this worker.
    pub(crate) total: Duration,
    /// Whether a later run can resume from where this one ends.
    pub(crate) checkpoints: bool,
    /// When the run began to work; `None` while it waits for its gang.
    pub(crate) working_since: Option<Timestamp>,
    pub(crate) stopping: bool,
}

/// An emulated worker.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) runs: SortedMap<(TaskRef, RunNumber), ActiveRun>,
    /// Latest run of each task that ended here or was stopped; it and earlier runs may not start.
    pub(crate) stale_runs: SortedMap<TaskRef, RunNumber>,
    pub(crate) unacknowledged_ends: Vec<End>,
    pub(crate) last_end_number: u64,
    /// Factor by which work takes longer than its nominal duration.
    pub(crate) slowdown: f64,
}

impl Worker {
    /// Resources of all runs.
    pub(crate) fn used(&self) -> ResourceVector {
        self.runs.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.need))
    }

    /// Whether this run, or a later run of the task, has ended or was stopped.
    pub(crate) fn is_stale_run(&self, task: TaskRef, run: RunNumber) -> bool {
        self.stale_runs.get(&task).is_some_and(|last_stale| run <= *last_stale)
    }

    /// Prevents this run and earlier runs of the task from starting.
    pub(crate) fn mark_stale(&mut self, task: TaskRef, run: RunNumber) {
        let last_stale = self.stale_runs.get_or_insert_with(task, || run);
        *last_stale = (*last_stale).max(run);
    }

    /// Removes a run and records its end. Returns the run, or `None` if the worker does not have
    /// it.
    pub(crate) fn end_run(
        &mut self,
        task: TaskRef,
        run: RunNumber,
        kind: EndKind,
        now: Timestamp,
    ) -> Option<ActiveRun> {
        let running = self.runs.remove(&(task, run))?;
        self.mark_stale(task, run);
        self.last_end_number += 1;
        let number = self.last_end_number;
        let done = running.work_done(now);
        let saved =
            (running.checkpoints && kind != EndKind::Done).then(|| done.as_micros().to_string());
        self.unacknowledged_ends.push(End { number, task, run, kind, saved });
        Some(running)
    }

    /// The answer to a hold order.
    pub(crate) fn listing(&self, now: Timestamp) -> RunListing {
        let listed = |((task, run), running): (&(TaskRef, RunNumber), &ActiveRun)| ListedRun {
            task: *task,
            run: *run,
            percent: (running.work_done(now).as_secs_f64() * 100.0
                / running.total.as_secs_f64().max(1e-6)) as u32,
        };
        RunListing {
            running: self.runs.iter().map(listed).collect(),
            ended: self.unacknowledged_ends.clone(),
            complete: true,
        }
    }
}

impl ActiveRun {
    /// Work that is done, as time on this worker, including what earlier runs saved.
    pub(crate) fn work_done(&self, now: Timestamp) -> Duration {
        let worked = self.working_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        (self.total - self.remaining) + worked.min(self.remaining)
    }
}
