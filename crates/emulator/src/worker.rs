//! An emulated worker: it runs what it is told to, takes its time to stop, and lists ends.

use dispatch::{ListedRun, RunListing};
use jobs::{End, EndKind, ResourceVector, RunNumber, TaskRef};
use std::time::Duration;
use types::{SortedMap, Timestamp};

/// A run at work, or one that waits for the other members of its gang.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) need: ResourceVector,
    /// What is left of its work, on this worker.
    pub(crate) left: Duration,
    /// What it had when it started, and whether it saves its progress.
    pub(crate) whole: Duration,
    pub(crate) saves: bool,
    /// When it began to work.
    pub(crate) began: Option<Timestamp>,
    pub(crate) stopping: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    pub(crate) runs: SortedMap<(TaskRef, RunNumber), Running>,
    pub(crate) barred: SortedMap<TaskRef, RunNumber>,
    pub(crate) ended: Vec<End>,
    pub(crate) last_number: u64,
    pub(crate) slowness: f64,
}

impl Worker {
    pub(crate) fn used(&self) -> ResourceVector {
        self.runs.values().fold(ResourceVector::default(), |sum, run| sum.plus(&run.need))
    }

    pub(crate) fn is_barred(&self, task: TaskRef, run: RunNumber) -> bool {
        self.barred.get(&task).is_some_and(|barred| run <= *barred)
    }

    pub(crate) fn bar(&mut self, task: TaskRef, run: RunNumber) {
        let barred = self.barred.get_or_insert_with(task, || run);
        *barred = (*barred).max(run);
    }

    /// Ends a run and lists it. Returns the run.
    pub(crate) fn end(
        &mut self,
        task: TaskRef,
        run: RunNumber,
        kind: EndKind,
        now: Timestamp,
    ) -> Option<Running> {
        let running = self.runs.remove(&(task, run))?;
        self.bar(task, run);
        self.last_number += 1;
        let number = self.last_number;
        let done = running.done_by(now);
        let saved = (running.saves && kind != EndKind::Done).then(|| done.as_micros().to_string());
        self.ended.push(End { number, task, run, kind, saved });
        Some(running)
    }

    pub(crate) fn look(&self, now: Timestamp) -> RunListing {
        let listed = |((task, run), running): (&(TaskRef, RunNumber), &Running)| ListedRun {
            task: *task,
            run: *run,
            percent: (running.done_by(now).as_secs_f64() * 100.0
                / running.whole.as_secs_f64().max(1e-6)) as u32,
        };
        RunListing { running: self.runs.iter().map(listed).collect(), ended: self.ended.clone() }
    }
}

impl Running {
    /// How much of its work is done, in its nominal duration on this worker.
    pub(crate) fn done_by(&self, now: Timestamp) -> Duration {
        let worked = self.began.map_or(Duration::ZERO, |began| now.saturating_sub(began));
        (self.whole - self.left) + worked.min(self.left)
    }
}
