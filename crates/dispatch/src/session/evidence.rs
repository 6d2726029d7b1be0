//! What a session knows of its runs when the worker is gone.

use super::run::{RunEntry, Stage};
use super::Session;
use jobs::{RunNumber, TaskRef};
use std::time::Duration;

/// A worker whose host refuses connections within this time after the worker's last answer has
/// crashed, and its runs had no time to end without a report.
const SURE_CRASH_GAP: Duration = Duration::from_millis(500);
/// A poll that is sent within this time after the worker's last answer leaves no run time to end
/// unnoticed.
pub(super) const MAX_UNWATCHED: Duration = Duration::from_millis(20);

/// What is known of a run when its worker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunEvidence {
    /// Task that the run executes.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Whether the worker is known to have started the run. Otherwise it may have.
    pub started: bool,
    /// Whether another life of the worker has or may have answered for the run: it acknowledged the
    /// start, or a stop whose end was not listed.
    pub by_other_life: bool,
    /// How long the run had been running at the worker's last sign of life.
    pub outlived: Duration,
}

impl Session {
    /// What is known of each run that the worker may have started and that has not ended, in case
    /// the worker is gone. Runs that it lists without being assigned them are among these.
    pub fn evidence(&self) -> Vec<RunEvidence> {
        let may_run = |entry: &&RunEntry| {
            let received = entry.received || self.awaits_start(entry.task, entry.run);
            let may_start = received || !self.leader_accepted;
            entry.started || (may_start && entry.stage != Stage::Stopped)
        };
        let last_answer = self.last_answer.unwrap_or_default();
        let evidence = |entry: &RunEntry| RunEvidence {
            task: entry.task,
            run: entry.run,
            started: entry.started && entry.stage != Stage::Stopped,
            by_other_life: entry.stage == Stage::Stopped
                || (!entry.started && entry.working_since.is_some()),
            outlived: match entry.working_since {
                Some(since) if entry.started => last_answer.saturating_sub(since),
                _ => Duration::ZERO,
            },
        };
        let assigned = self.runs.iter().filter(may_run).map(evidence);
        let unknown = self.unknown_runs.iter().map(|(task, run, _)| RunEvidence {
            task: *task,
            run: *run,
            started: true,
            by_other_life: false,
            outlived: Duration::ZERO,
        });
        assigned.chain(unknown).collect()
    }

    /// Whether the worker's process is known to have ended, so soon after its last answer that its
    /// runs had no time to end without a report.
    pub fn is_sure_crash(&self) -> bool {
        let (Some(absent), Some(last)) = (self.absent_since, self.last_answer) else {
            return false;
        };
        self.watched && absent.saturating_sub(last) < SURE_CRASH_GAP
    }
}
