//! The commands of a zone and their results.

use crate::record::{Owner, RecordAnswer, StoredOutcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{
    Fence, Incarnation, JobId, JobKey, JobSpec, Refusal, Resources, TaskOutcome, TeamQuota,
    Timestamp, Version, WorkerId,
};

/// What a worker reports when it registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The worker's name.
    pub worker: WorkerId,
    /// The rack that holds the worker.
    pub rack: String,
    /// Total resources for runs.
    pub capacity: Resources,
    /// Incarnation number, larger than that of any earlier process of this worker.
    pub incarnation: Incarnation,
}

/// A request to start one task of a job on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The job. Which of its waiting tasks starts is decided when the command is applied.
    pub job: JobId,
    /// The worker to start the task on.
    pub worker: WorkerId,
    /// The worker's incarnation that the placement was computed for.
    pub incarnation: Incarnation,
}

/// The end of a run, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunEnd {
    /// Fencing token of the run.
    pub fence: Fence,
    /// How the run ended.
    pub outcome: TaskOutcome,
}

/// One zone's share of a job declared by a release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneJob {
    /// The job, with this zone's number of tasks.
    pub spec: JobSpec,
    /// The release that added the job.
    pub added: Version,
}

/// A command that changes a zone's state. `at` is the proposer's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneCommand {
    /// Registers a worker, or a new incarnation of one.
    Register {
        /// What the worker reports.
        spec: WorkerSpec,
        /// Time of the registration.
        at: Timestamp,
    },
    /// Declares a worker lost that was silent for longer than its lease can last.
    WorkerLost {
        /// The worker's name.
        worker: WorkerId,
        /// The incarnation that is lost; ignored if the worker has another one by now.
        incarnation: Incarnation,
        /// Time of the loss.
        at: Timestamp,
    },
    /// Starts or ends the draining of a worker.
    Drain {
        /// The worker's name.
        worker: WorkerId,
        /// True if the worker must get no new runs.
        draining: bool,
    },
    /// Adds a job that a caller submits directly.
    Submit {
        /// Specification of the job.
        spec: JobSpec,
        /// Time of the submission.
        at: Timestamp,
    },
    /// Cancels a job that was submitted directly.
    Cancel {
        /// Team and name of the job.
        job: JobKey,
        /// Time of the cancellation.
        at: Timestamp,
    },
    /// Applies this zone's part of a release.
    Adopt {
        /// The release adopted before; the lists below are changes to it.
        base: Version,
        /// The release to adopt.
        version: Version,
        /// Declared jobs that are new or changed.
        jobs: Vec<ZoneJob>,
        /// Declared jobs that the release no longer contains.
        withdrawn: Vec<JobId>,
        /// All quotas, or `None` if none changed.
        quotas: Option<Vec<TeamQuota>>,
        /// Time of the adoption.
        at: Timestamp,
    },
    /// Starts tasks on workers.
    Place {
        /// The tasks and their workers; the placements of one all-at-once job are adjacent.
        placements: Vec<Placement>,
        /// Time of the placement.
        at: Timestamp,
    },
    /// Asks runs to save their progress and stop.
    Stop {
        /// Fencing tokens of the runs.
        fences: Vec<Fence>,
    },
    /// Removes runs that have ended.
    End {
        /// The worker that reports the ends.
        worker: WorkerId,
        /// The runs and their outcomes.
        ends: Vec<RunEnd>,
        /// Time of the report.
        at: Timestamp,
    },
    /// Marks a job that can no longer meet its deadline.
    MarkLate {
        /// Id of the job.
        job: JobId,
    },
    /// Creates the record of a request with an idempotency key, before the request is sent.
    RecordBegin {
        /// The service and the caller's idempotency key, separated by a slash.
        key: String,
        /// Digest of the request.
        digest: String,
        /// The exchange that wants to send the request.
        owner: Owner,
        /// Creation time of the record.
        at: Timestamp,
    },
    /// Stores the outcome of a request with an idempotency key.
    RecordFinish {
        /// The service and the caller's idempotency key, separated by a slash.
        key: String,
        /// The exchange that sent the request.
        owner: Owner,
        /// The outcome, or `None` if the request certainly did not run.
        outcome: Option<StoredOutcome>,
        /// Time of the outcome.
        at: Timestamp,
    },
    /// Removes old jobs, workers and records.
    Trim {
        /// Jobs that ended and workers that were lost before this time are removed.
        before: Timestamp,
        /// Idempotency records from before this time are removed.
        records_before: Timestamp,
    },
    /// Registers a new incarnation of a worker whose process has registered before, unless it was the
    /// registration that did not arrive. Runs of the last incarnation have ended with its lease.
    RegisterAgain {
        /// What the worker reports.
        spec: WorkerSpec,
        /// First incarnation of the worker's process.
        first: Incarnation,
        /// Time of the registration.
        at: Timestamp,
    },
}

/// The result of a command, returned to its proposer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The command was applied.
    Done,
    /// The id of the submitted or cancelled job.
    Job(JobId),
    /// The state of the idempotency record.
    Record(RecordAnswer),
    /// The number of placements that were applied.
    Placed(usize),
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// What a command changed, for indexes that are derived from the state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Jobs that may have changed.
    pub jobs: Vec<JobId>,
    /// Workers that may have changed.
    pub workers: Vec<WorkerId>,
    /// Runs that were created.
    pub placed: Vec<Fence>,
    /// Runs that were asked to stop.
    pub stopped: Vec<Fence>,
    /// Runs that were removed.
    pub ended: Vec<EndedRun>,
}

/// A run that was removed from the state.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Fencing token of the run.
    pub fence: Fence,
    /// The job that the run belonged to.
    pub job: JobId,
    /// Time from placement to end; `None` unless the run succeeded.
    pub took: Option<Duration>,
}

/// A bug to inject: disables one check, so that tests can show that they detect its absence.
/// Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All checks are enabled.
    #[default]
    None,
    /// A placement is not checked against the worker's capacity.
    SkipCapacityCheck,
    /// A placement is not checked against the worker's incarnation.
    SkipIncarnationCheck,
    /// An unrepeatable task that may have run is queued again.
    RepeatUnrepeatable,
    /// A record in progress may be begun again by another owner.
    RestartRecords,
}
