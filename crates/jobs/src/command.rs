//! What changes the state, and what a change brings about.

use crate::configuration::{Configuration, QueueAddress};
use crate::life::WorkerInfo;
use crate::model::{End, EndKind, JobRequest, LifeId, Placement, RunNumber, StepRef, TaskRef};
use serde::{Deserialize, Serialize};
use types::{JobId, Timestamp, Version, WorkerId};

/// A change of the state, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher.
    Configure {
        /// The configuration, checked.
        configuration: Box<Configuration>,
    },
    /// Accepts a job.
    Submit {
        /// Chosen by the caller; the same id again is the same job.
        id: JobId,
        /// Its queue.
        queue: QueueAddress,
        /// What is asked for, checked.
        request: Box<JobRequest>,
        /// When it came.
        at: Timestamp,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        id: JobId,
        /// When.
        at: Timestamp,
    },
    /// Opens occurrences of a scheduled job that are due.
    OpenOccurrences {
        /// The job.
        id: JobId,
        /// How many are to be open or done.
        upto: u32,
    },
    /// Gives tasks a place.
    Place {
        /// The tasks, by step.
        placements: Vec<Placement>,
    },
    /// Takes note of ends that a life lists.
    Ended {
        /// The life.
        life: LifeId,
        /// The ends, in order.
        ends: Vec<End>,
        /// When.
        at: Timestamp,
    },
    /// Runs that are certainly not at work and never will be, without an end being listed.
    Lost {
        /// The life that had them.
        life: LifeId,
        /// Task and run.
        runs: Vec<(TaskRef, RunNumber)>,
    },
    /// A worker's life that is new, or has something new to say of itself.
    UpdateWorker {
        /// What it says.
        info: WorkerInfo,
    },
    /// A life is over: what ran there is gone.
    LifeOver {
        /// The life.
        life: LifeId,
    },
    /// A worker whose life is over may still start these tasks in its next life, by orders to the
    /// last one. They get no place until it is sure that it does not.
    StartsInDoubt {
        /// The worker.
        worker: WorkerId,
        /// The tasks.
        tasks: Vec<TaskRef>,
        /// When.
        at: Timestamp,
    },
    /// The worker carries out no order any more to lives of it that were over by then.
    StartsResolved {
        /// The worker.
        worker: WorkerId,
        /// Until when they were over.
        upto: Timestamp,
    },
    /// Forgets jobs that have been over for long.
    TrimJobs {
        /// Those over before this time go.
        before: Timestamp,
    },
}

/// The answer to whoever proposed a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It took effect, or had done so before.
    Done,
    /// There is no such queue or job.
    NotFound,
    /// The version now in force, which may be higher than the one proposed.
    InForce(Version),
}

/// What followed from a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A configuration came into force.
    Configured,
    /// A job was accepted.
    Accepted(JobId),
    /// Tasks of the step may be placed now.
    Ready(StepRef),
    /// A task got a place.
    Placed {
        /// Where.
        life: LifeId,
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// A run is over and its room is free.
    Freed {
        /// Where it was.
        life: LifeId,
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
        /// How it ended, where its worker said so.
        kind: Option<EndKind>,
    },
    /// Ends of the life up to this number were taken note of.
    EndsRecorded {
        /// The life.
        life: LifeId,
        /// The last end.
        upto: u64,
    },
    /// A run of a gang ended without the whole being done: the other members must stop.
    GangBroken(StepRef),
    /// A task was done elsewhere: this run must stop.
    Superseded {
        /// Where it runs.
        life: LifeId,
        /// The task.
        task: TaskRef,
        /// Number of the run.
        run: RunNumber,
    },
    /// Nothing of the job will run any more; what runs must stop.
    JobOver(JobId),
    /// A life is new or has changed.
    LifeChanged(LifeId),
    /// A life is over.
    LifeOver(LifeId),
}
