//! A session's record of one run.

use crate::order::OrderId;
use jobs::{QueueId, ResourceVector, RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

/// Stage of a run, as far as the session knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The start order is to be sent, or was sent and not answered.
    Starting,
    /// The start was acknowledged, or the worker has listed the run.
    Running,
    /// The stop order is to be sent, or was sent and not answered.
    Stopping,
    /// The stop was acknowledged: the run will not start any more.
    Stopped,
}

/// Why a start order may have reached the worker's next life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Doubt {
    /// It got no answer, and its connection may lead to that life.
    Unanswered,
    /// Its answer does not show which life has sent it.
    Unnamed,
}

#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    pub(super) task: TaskRef,
    pub(super) run: RunNumber,
    pub(super) stage: Stage,
    /// The order that waits for an answer.
    pub(super) pending: Option<OrderId>,
    /// When the run is known to have entered the stage.
    pub(super) since: Timestamp,
    /// When the first start order was sent; `None` if this leader has sent none.
    pub(super) sent_at: Option<Timestamp>,
    /// The worker may have received a start order.
    pub(super) received: bool,
    pub(super) retry_at: Timestamp,
    /// The run was reported as lost, which has not been recorded yet.
    pub(super) reported: bool,
    /// The life has acknowledged the start or listed the run.
    pub(super) started: bool,
    /// Why the worker's next life may be running it; `None` if no start order can have reached that
    /// life.
    pub(super) in_doubt: Option<Doubt>,
    /// When the run was first known to be running.
    pub(super) working_since: Option<Timestamp>,
    /// Progress in percent, and when the worker reported it.
    pub(super) percent: u32,
    pub(super) percent_at: Timestamp,
    pub(super) traits: Option<RunTraits>,
}

/// What the leader knows about a run from its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTraits {
    /// Queue of the job. All estimates of a queue may be off by the same factor.
    pub queue: QueueId,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Resources reserved for the run.
    pub need: ResourceVector,
    /// The caller's estimate of the duration of a complete run.
    pub estimate: Duration,
    /// Whether the run does all of the task's work by itself, so that its duration shows the speed
    /// of the worker.
    pub from_scratch: bool,
    /// Whether the run can be stopped and resumed later from where it stopped.
    pub pausable: bool,
    /// Whether the run goes on until it is stopped.
    pub endless: bool,
}

/// Status of a run, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// Task that the run executes.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// When the first start order was sent; `None` if this leader has sent none.
    pub sent_at: Option<Timestamp>,
    /// When the run was first known to be running.
    pub working_since: Option<Timestamp>,
    /// Progress in percent, as last reported by the worker.
    pub percent: u32,
    /// When the worker last reported the progress.
    pub percent_at: Timestamp,
    /// Whether the run is being stopped, has been stopped or will never start.
    pub stopping: bool,
    /// Traits of the run; `None` if its job is over.
    pub traits: Option<RunTraits>,
}

impl RunEntry {
    /// Begins to stop the run, unless that has begun already.
    pub(super) fn stop(&mut self, now: Timestamp) {
        if matches!(self.stage, Stage::Starting | Stage::Running) {
            self.stop_again(now);
        }
    }

    /// Schedules a stop order, even if an earlier one was acknowledged.
    pub(super) fn stop_again(&mut self, now: Timestamp) {
        self.stage = Stage::Stopping;
        self.since = now;
        self.pending = None;
        self.retry_at = now;
    }
}
