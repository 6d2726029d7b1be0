//! Calls that the leader of the group serves, and their answers.

use accounts::KeyDigest;
use jobs::{Configuration, JobRequest, Phase, QueueAddress, WorkerInfo};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{JobId, Version, WorkerId};

/// A worker's heartbeat: its description and the reading of its clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name, address, capacity and state that the worker reports.
    pub info: WorkerInfo,
    /// Reading of the worker's clock in milliseconds; `None` if the worker did not send one.
    pub clock: Option<u64>,
}

impl WorkerHeartbeat {
    /// Validates what can't be true of any worker: the heartbeat may come from another writer. The
    /// error names the field and the cause.
    ///
    /// ```
    /// let info = jobs::WorkerInfo {
    ///     worker: "w1".into(),
    ///     addr: "10.1.0.9:80".into(),
    ///     ..jobs::WorkerInfo::default()
    /// };
    /// let heartbeat = scheduler::WorkerHeartbeat { info, clock: Some(u64::MAX) };
    /// assert!(heartbeat.check().unwrap_err().starts_with("clock: "));
    /// ```
    pub fn check(&self) -> Result<(), String> {
        self.info.check()?;
        self.clock.map_or(Ok(()), |clock| jobs::check_reported_millis("clock", clock))
    }
}

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Submits a job. Submitting an id again changes nothing.
    Submit {
        /// Id chosen by the caller.
        id: JobId,
        /// Queue that the job is submitted to.
        queue: QueueAddress,
        /// Steps, payload and schedule of the job.
        request: Box<JobRequest>,
        /// The caller's key.
        key: Option<KeyDigest>,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        id: JobId,
        /// Queue that the caller expects the job in; not checked.
        queue: QueueAddress,
        /// The caller's key.
        key: Option<KeyDigest>,
    },
    /// Reads the phase of a job.
    JobPhase {
        /// Id of the job.
        id: JobId,
        /// Queue that the caller expects the job in; a job of another queue is not found.
        queue: QueueAddress,
        /// The caller's key; a job of another account is not found.
        key: Option<KeyDigest>,
    },
    /// Counts the jobs of a queue of which no task has started.
    CountWaiting {
        /// Queue whose jobs are counted.
        queue: QueueAddress,
        /// The caller's key.
        key: Option<KeyDigest>,
    },
    /// Puts a configuration into force if its version is higher than the current one.
    Configure(Box<Configuration>),
    /// Reads the newest committed configuration.
    ReadConfiguration,
    /// Registers a worker or refreshes what is known of it.
    Heartbeat(Box<WorkerHeartbeat>),
    /// The goodbye of a worker that announced before that it is draining. It names no life, so it
    /// only makes the leader look whether the worker has gone.
    Leave {
        /// Name of the worker.
        worker: WorkerId,
    },
}

impl Call {
    /// Whether the call changes state, so that its outcome is unknown if no answer arrives.
    pub fn is_change(&self) -> bool {
        !matches!(self, Call::JobPhase { .. } | Call::CountWaiting { .. } | Call::ReadConfiguration)
    }

    /// Queue and key of a caller's call; `None` for calls of workers and operators.
    pub(crate) fn credentials(&self) -> Option<(&QueueAddress, Option<&KeyDigest>)> {
        match self {
            Call::Submit { queue, key, .. }
            | Call::Cancel { queue, key, .. }
            | Call::JobPhase { queue, key, .. }
            | Call::CountWaiting { queue, key } => Some((queue, key.as_ref())),
            _ => None,
        }
    }

    /// Name of the call in logs.
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
    /// The call was carried out, or had been before.
    Done,
    /// Current phase of the job.
    Phase(Phase),
    /// Number of jobs of which no task has started.
    Waiting(u64),
    /// Version of the configuration in force after the call.
    InForce(Version),
    /// The newest committed configuration.
    Configuration(Arc<Configuration>),
}
