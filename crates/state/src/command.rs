//! Commands of a zone, and what applying one says back.

use crate::record::{Owner, RecordAnswer, StoredOutcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{
    Fence, Incarnation, JobId, JobKey, JobSpec, Refusal, Resources, TaskOutcome, TeamQuota,
    Timestamp, Version, WorkerId,
};

/// A worker as it registers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The worker's name.
    pub worker: WorkerId,
    /// The rack it stands in.
    pub rack: String,
    /// What it can hold.
    pub capacity: Resources,
    /// Which of its lives this is; larger than any before.
    pub incarnation: Incarnation,
}

/// One task of `job` on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The job; which of its waiting tasks is taken is decided when the command takes effect.
    pub job: JobId,
    /// The worker.
    pub worker: WorkerId,
    /// The life of the worker that was looked at.
    pub incarnation: Incarnation,
}

/// The end of a run, as its worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunEnd {
    /// The run.
    pub fence: Fence,
    /// How it ended.
    pub outcome: TaskOutcome,
}

/// A declared job as one zone takes it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneJob {
    /// The job, with this zone's number of tasks.
    pub spec: JobSpec,
    /// The release that added it.
    pub added: Version,
}

/// A change of a zone's state. `at` is the proposer's clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ZoneCommand {
    /// A worker starts a life.
    Register {
        /// The worker.
        spec: WorkerSpec,
        /// When.
        at: Timestamp,
    },
    /// A worker was silent for longer than its lease can last.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
        /// The life that ended.
        incarnation: Incarnation,
        /// When.
        at: Timestamp,
    },
    /// Whether a worker gets new work.
    Drain {
        /// The worker.
        worker: WorkerId,
        /// True when it gets none.
        draining: bool,
    },
    /// A job comes in.
    Submit {
        /// The job.
        spec: JobSpec,
        /// When it came in.
        at: Timestamp,
    },
    /// A job goes.
    Cancel {
        /// The job.
        job: JobKey,
        /// When.
        at: Timestamp,
    },
    /// The part of a release that is this zone's.
    Adopt {
        /// The release adopted before; the lists below are changes to it.
        base: Version,
        /// The release.
        version: Version,
        /// Declared jobs that are new or changed.
        jobs: Vec<ZoneJob>,
        /// Declared jobs that go.
        withdrawn: Vec<JobId>,
        /// All quotas, where any changed.
        quotas: Option<Vec<TeamQuota>>,
        /// When.
        at: Timestamp,
    },
    /// Tasks start.
    Place {
        /// Which, and where.
        placements: Vec<Placement>,
        /// When.
        at: Timestamp,
    },
    /// Runs are to stop, saving their progress.
    Stop {
        /// Which.
        fences: Vec<Fence>,
    },
    /// Runs ended.
    End {
        /// The worker that says so.
        worker: WorkerId,
        /// Which, and how.
        ends: Vec<RunEnd>,
        /// When.
        at: Timestamp,
    },
    /// A job can't meet its deadline any more.
    MarkLate {
        /// The job.
        job: JobId,
    },
    /// A request with an idempotency key is about to be sent.
    RecordBegin {
        /// The key, with its caller's team.
        key: String,
        /// Digest of the request.
        digest: String,
        /// Who sends it.
        owner: Owner,
        /// When.
        at: Timestamp,
    },
    /// A request with an idempotency key has its outcome.
    RecordFinish {
        /// The key.
        key: String,
        /// Who sent it.
        owner: Owner,
        /// The outcome, or `None` when it certainly did not run.
        outcome: Option<StoredOutcome>,
        /// When.
        at: Timestamp,
    },
    /// What is old is forgotten.
    Trim {
        /// For ended jobs and lost workers.
        before: Timestamp,
        /// For idempotency records.
        records_before: Timestamp,
    },
}

/// What applying a command says to whoever proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It took effect.
    Done,
    /// The job is there.
    Job(JobId),
    /// The record is there.
    Record(RecordAnswer),
    /// How many of the placements took effect.
    Placed(usize),
    /// It did not take effect.
    Refused(Refusal),
}

/// What a command changed, for whoever keeps an index of the state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Jobs that changed.
    pub jobs: Vec<JobId>,
    /// Workers that changed.
    pub workers: Vec<WorkerId>,
    /// Runs that began.
    pub placed: Vec<Fence>,
    /// Runs that are to stop.
    pub stopped: Vec<Fence>,
    /// Runs that are over.
    pub ended: Vec<EndedRun>,
}

/// A run that is over.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// The run.
    pub fence: Fence,
    /// Its job.
    pub job: JobId,
    /// How long it ran, when it succeeded.
    pub took: Option<Duration>,
}

/// One check switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All checks work.
    #[default]
    None,
    /// A placement is not checked against the worker's capacity.
    SkipCapacityCheck,
    /// A placement is not checked against the worker's life.
    SkipIncarnationCheck,
    /// An unrepeatable task that may have run waits again.
    RepeatUnrepeatable,
    /// A record that was begun may be begun again.
    RestartRecords,
}
