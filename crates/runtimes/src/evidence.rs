//! What measured runs say, as it is written to the replicated log.

use crate::QueueIndex;
use serde::{Deserialize, Serialize};
use types::WorkerId;

/// Number of runs of a queue that were declared alike and took alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTime {
    /// The queue.
    pub queue: QueueIndex,
    /// Bucket of the declared time.
    pub declared: u8,
    /// Bucket of the run time on a worker of speed 1.
    pub took: u8,
    /// Whether the runs were ended by others, so that they would have taken longer.
    pub censored: bool,
    /// Number of runs.
    pub runs: u8,
}

/// A worker's speed, as computed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedChange {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Duration of work there, in percent of its duration on a worker of speed 1.
    pub slowness: u16,
    /// Number of runs behind it, up to a limit.
    pub runs: u8,
}

/// What the leader has learned since it last wrote to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Measured run times.
    pub times: Vec<RunTime>,
    /// Changed speeds, by name of the worker.
    pub speeds: Vec<SpeedChange>,
}

impl Evidence {
    /// Whether there is nothing to learn.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty() && self.speeds.is_empty()
    }
}
