//! One run, as a session knows it.

use crate::order::OrderId;
use jobs::{QueueId, ResourceVector, RunNumber, TaskRef};
use std::time::Duration;
use types::Timestamp;

/// How far a run has got, as the session knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its start is to be sent, or was sent and got no answer.
    Starting,
    /// Its start was acknowledged, or it was listed.
    Running,
    /// It is to be stopped.
    Stopping,
    /// Its stop was acknowledged: it will not start any more.
    Stopped,
}

#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    pub(super) task: TaskRef,
    pub(super) run: RunNumber,
    pub(super) stage: Stage,
    /// The order that is under way.
    pub(super) pending: Option<OrderId>,
    /// Since when the stage holds for certain.
    pub(super) since: Timestamp,
    pub(super) retry_at: Timestamp,
    /// It was given up in the log, which has not taken effect yet.
    pub(super) reported: bool,
    /// The worker has listed it, and has said which life it is.
    pub(super) listed: bool,
    /// When it was first known to be at work.
    pub(super) working_since: Option<Timestamp>,
    /// Percent done, and when its worker said so.
    pub(super) percent: u32,
    pub(super) percent_at: Timestamp,
    pub(super) traits: Option<RunTraits>,
}

/// What its leader knows of a run from the job that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTraits {
    /// The queue, whose estimates may all be off by the same factor.
    pub queue: QueueId,
    /// Priority of the queue, 0 first.
    pub priority: u32,
    /// What the run takes of its worker's room.
    pub need: ResourceVector,
    /// The caller's estimate of a whole run.
    pub estimate: Duration,
    /// It does all of the task's work by itself, so that its duration tells how fast the worker is.
    pub from_scratch: bool,
    /// It can be stopped and go on later from where it was.
    pub pausable: bool,
    /// It runs until it is stopped.
    pub endless: bool,
}

/// How a run stands, as its worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// When it was first known to be at work.
    pub working_since: Option<Timestamp>,
    /// Percent done when its worker last said so.
    pub percent: u32,
    /// When its worker last said so.
    pub percent_at: Timestamp,
    /// It is being stopped, or will never start.
    pub stopping: bool,
    /// What is known of it; `None` where its job is over.
    pub traits: Option<RunTraits>,
}

impl RunEntry {
    /// It must stop, if it may be at work.
    pub(super) fn stop(&mut self, now: Timestamp) {
        if matches!(self.stage, Stage::Starting | Stage::Running) {
            self.stop_again(now);
        }
    }

    /// It must stop, also if it was told so before.
    pub(super) fn stop_again(&mut self, now: Timestamp) {
        self.stage = Stage::Stopping;
        self.since = now;
        self.pending = None;
        self.retry_at = now;
    }
}
