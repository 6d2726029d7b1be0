//! Calls to the leader of the group, and their answers.

use jobs::{Configuration, JobRequest, Phase, QueueAddress, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{JobId, Version, WorkerId};

/// What a worker says of itself, and what its clock shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// What it says of itself.
    pub info: WorkerInfo,
    /// Its clock in milliseconds, where it said so.
    pub clock: Option<u64>,
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Hand in a job.
    Submit {
        /// Chosen by the caller.
        id: JobId,
        /// Its queue.
        queue: QueueAddress,
        /// What is asked for.
        request: Box<JobRequest>,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        id: JobId,
        /// Queue in which the caller looks for it.
        queue: QueueAddress,
    },
    /// Ask how far a job has got.
    JobPhase {
        /// The job.
        id: JobId,
        /// Queue in which the caller looks for it.
        queue: QueueAddress,
    },
    /// Ask how many jobs of a queue have not begun.
    CountWaiting {
        /// The queue.
        queue: QueueAddress,
    },
    /// Put a configuration in force.
    Configure(Box<Configuration>),
    /// Read the newest configuration.
    ReadConfiguration,
    /// A worker's heartbeat.
    Heartbeat(Box<WorkerHeartbeat>),
    /// A worker ends.
    Leave {
        /// Its name.
        worker: WorkerId,
    },
}

impl Call {
    /// Whether it changes something, so that its outcome is unknown when no answer comes.
    pub fn is_change(&self) -> bool {
        !matches!(self, Call::JobPhase { .. } | Call::CountWaiting { .. } | Call::ReadConfiguration)
    }

    /// A word for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Call::Submit { .. } => "submit",
            Call::Cancel { .. } => "cancel",
            Call::JobPhase { .. } => "job",
            Call::CountWaiting { .. } => "waiting",
            Call::Configure(_) => "configure",
            Call::ReadConfiguration => "read-configuration",
            Call::Heartbeat(_) => "beat",
            Call::Leave { .. } => "leave",
        }
    }
}

/// The answer to a call that was not refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Done.
    Done,
    /// How far the job has got.
    Phase(Phase),
    /// How many jobs have not begun.
    Waiting(u64),
    /// The version in force after the change.
    InForce(Version),
    /// The newest configuration.
    Configuration(Arc<Configuration>),
}
