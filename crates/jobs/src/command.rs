//! Commands that change the state, and the effects they report.

use crate::configuration::{Configuration, QueueAddress};
use crate::crashes::{CrashedRun, TaskCrashes};
use crate::life::WorkerInfo;
use crate::model::{End, EndKind, JobRequest, LifeId, Placement, RunNumber, StepRef, TaskRef};
use accounts::KeyDigest;
use runtimes::Evidence;
use serde::{Deserialize, Serialize};
use types::{AccountName, JobId, Timestamp, Version, WorkerId};

/// A change of the state, as written to the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Installs a configuration if its version is higher than the current one.
    Configure {
        /// The configuration, already validated.
        configuration: Box<Configuration>,
    },
    /// Accepts a job.
    Submit {
        /// Chosen by the caller; submitting the same id again has no effect.
        id: JobId,
        /// Address of the job's queue.
        queue: QueueAddress,
        /// The request, already validated.
        request: Box<JobRequest>,
        /// When the request arrived.
        at: Timestamp,
        /// The caller's key. The account is looked up when the command is applied, so that a key
        /// that was revoked meanwhile does not count.
        key: Option<KeyDigest>,
        /// Size in bytes that all jobs together may have, by the memory of the proposing leader's
        /// host. `None` for no limit, as in log entries of earlier releases.
        room: Option<u64>,
    },
    /// Cancels a job. If there is none, a submission that arrives later starts nothing.
    Cancel {
        /// Id of the job to cancel.
        id: JobId,
        /// The caller's key.
        key: Option<KeyDigest>,
        /// When the command was proposed.
        at: Timestamp,
        /// Address of the job's queue. `None` in log entries of earlier releases, which cancel the
        /// job whatever its queue is, and have no effect if there is no job.
        queue: Option<QueueAddress>,
    },
    /// Opens occurrences of a scheduled job that are due.
    OpenOccurrences {
        /// Id of the job.
        id: JobId,
        /// Total number of occurrences that are to be open or done.
        upto: u32,
    },
    /// Assigns tasks to workers.
    Place {
        /// The assignments, by step.
        placements: Vec<Placement>,
    },
    /// Records run ends that a life has reported.
    Ended {
        /// Life that reported the ends.
        life: LifeId,
        /// The ends, ordered by number.
        ends: Vec<End>,
        /// When the command was proposed.
        at: Timestamp,
    },
    /// Releases runs that are known not to be running and never to start, though no end was
    /// reported.
    Lost {
        /// The life that they were assigned to.
        life: LifeId,
        /// Task and number of each run.
        runs: Vec<(TaskRef, RunNumber)>,
    },
    /// Registers a new life of a worker, or updates what a known life reports about itself.
    UpdateWorker {
        /// What the worker reports.
        info: WorkerInfo,
    },
    /// Ends a life: nothing assigned to it runs any more.
    LifeOver {
        /// Life that ends.
        life: LifeId,
    },
    /// Records that the worker's next life may still start these tasks, because of orders sent to
    /// the life that ended. The tasks are not assigned again until the doubt is resolved.
    StartsInDoubt {
        /// Name of the worker.
        worker: WorkerId,
        /// Tasks that the next life may still start.
        tasks: Vec<TaskRef>,
        /// When the command was proposed.
        at: Timestamp,
    },
    /// Records that the worker carries out no more orders sent to lives that had ended by `upto`.
    StartsResolved {
        /// Name of the worker.
        worker: WorkerId,
        /// Resolves all lives that ended at this time or before.
        upto: Timestamp,
    },
    /// Removes jobs that ended long ago.
    TrimJobs {
        /// Jobs that ended before this time are removed.
        before: Timestamp,
    },
    /// Ends a life whose worker crashed, and counts the crash for the tasks that ran there.
    WorkerCrashed {
        /// Life that ends.
        life: LifeId,
        /// Runs that the worker had started or may have started.
        runs: Vec<CrashedRun>,
        /// When the command was proposed.
        at: Timestamp,
    },
    /// Records which tasks ran on a life when its leases expired: the worker is cut off, or has
    /// crashed.
    WorkerSilent {
        /// The life that does not answer.
        life: LifeId,
        /// Tasks that the worker had started or may have started, with the numbers of their runs.
        tasks: Vec<(TaskRef, RunNumber)>,
    },
    /// Records that a silent life has answered: its worker did not crash.
    WorkerAnswered {
        /// The life that has answered.
        life: LifeId,
    },
    /// Records what finished runs tell about run times and the speeds of workers.
    Learned {
        /// What the leader has measured since its last such command.
        evidence: Box<Evidence>,
    },
    /// Ends a life if no runs are assigned to it when the command is applied.
    IdleLifeOver {
        /// Life that ends.
        life: LifeId,
    },
}

/// Reply to the proposer of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command took effect, or an earlier copy of it did.
    Done,
    /// The queue or job does not exist, or the job belongs to another account.
    NotFound,
    /// The caller has no key of an account, and the queue needs one.
    UnknownKey,
    /// Another account or another queue has a job with this id.
    IdTaken,
    /// There is no room for another job now.
    NoRoom {
        /// Size of what has to be removed first, in bytes.
        missing: usize,
    },
    /// There is never room for the job.
    TooLarge {
        /// Size of the job in bytes.
        bytes: usize,
        /// Size in bytes that all jobs together may have.
        room: usize,
    },
    /// The job was cancelled before this submission arrived.
    Withdrawn,
    /// There is no such job, and no room to keep its id as cancelled.
    WithdrawnFull {
        /// When the oldest of the ids that take the room was cancelled.
        oldest: Timestamp,
    },
    /// A task or gang of the job needs more at the same time than the account's quota allows: the
    /// index of its step.
    BeyondQuota(u16),
    /// Version of the current configuration, which may be higher than the proposed one.
    InForce(Version),
}

/// A consequence of a command, reported to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A new configuration was installed.
    Configured,
    /// A job was accepted.
    Accepted(JobId),
    /// Tasks of the step can be assigned to workers now.
    Ready(StepRef),
    /// A job was refused: a step of it can't run within the account's quota.
    BeyondQuota {
        /// Id of the job.
        job: JobId,
        /// Index of the step.
        step: u16,
        /// Account of the caller.
        account: AccountName,
    },
    /// A task was assigned to a worker.
    Placed {
        /// Life that runs the task.
        life: LifeId,
        /// Task that the run executes.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// A run ended, and its resources are free again.
    Freed {
        /// Life that had the run.
        life: LifeId,
        /// Task that the run executed.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
        /// Outcome of the run; `None` if the worker did not report one.
        kind: Option<EndKind>,
    },
    /// Run ends of the life are recorded up to this number.
    EndsRecorded {
        /// Life whose ends are recorded.
        life: LifeId,
        /// Number of the last recorded end.
        upto: u64,
    },
    /// A member of a gang ended before the gang was done: the other members must stop.
    GangBroken(StepRef),
    /// Another run has completed the task: this run must stop.
    Superseded {
        /// Life that runs it.
        life: LifeId,
        /// Task that the run executes.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// The job is over: its remaining runs must stop.
    JobOver(JobId),
    /// The id of a job that does not exist was cancelled.
    Withdrawn(JobId),
    /// A job was refused because there is no room for it.
    NoRoom(JobId),
    /// A submission was refused because its job had been cancelled before.
    RefusedAsWithdrawn(JobId),
    /// A job was given up because workers crash under one of its tasks.
    GivenUp {
        /// The task.
        task: TaskRef,
        /// The crashes of its workers.
        crashes: TaskCrashes,
    },
    /// A life was registered or updated.
    LifeChanged(LifeId),
    /// A life ended.
    LifeOver(LifeId),
}
