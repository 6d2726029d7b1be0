//! Views of the replicated state that are input to the planner.

use std::time::Duration;
use types::{Fence, Incarnation, JobClass, JobId, Resources, TeamName, Timestamp, WorkerId};

/// View of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// Name of the worker.
    pub id: WorkerId,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Rack of the worker.
    pub rack: String,
    /// Total resources.
    pub capacity: Resources,
    /// Resources free for new work; zero while the worker accepts none.
    pub free: Resources,
    /// Whether the worker executes only one run at a time.
    pub single: bool,
}

/// View of a job with waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// Id of the job.
    pub id: JobId,
    /// Team that owns the job.
    pub team: TeamName,
    /// Name of the job within its team.
    pub name: String,
    /// Class of the job, which determines how it is placed.
    pub class: JobClass,
    /// Whether the job goes before all others and may preempt batch work.
    pub urgent: bool,
    /// Whether a task of the job must not be run a second time. Whether a run can be preempted
    /// follows from [`RunView::preemptible`].
    pub unrepeatable: bool,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Resources of each task.
    pub resources: Resources,
    /// Run time of a task as declared by the owner.
    pub run_time: Option<Duration>,
    /// When the job was submitted.
    pub submitted: Timestamp,
    /// When the last task must have ended; `None` without a deadline.
    pub deadline: Option<Timestamp>,
    /// No task starts before this time.
    pub held_until: Timestamp,
    /// Whether the job was already reported as missing its deadline.
    pub late: bool,
    /// Whether the job shares no worker with other jobs.
    pub apart: bool,
}

impl JobView {
    /// Creates a job with one waiting task and default values for all other fields.
    pub fn new(
        id: JobId,
        team: &str,
        name: &str,
        class: JobClass,
        resources: Resources,
    ) -> JobView {
        JobView {
            id,
            team: team.to_string(),
            name: name.to_string(),
            class,
            urgent: false,
            unrepeatable: false,
            waiting: 1,
            resources,
            run_time: None,
            submitted: Timestamp::ZERO,
            deadline: None,
            held_until: Timestamp::ZERO,
            late: false,
            apart: false,
        }
    }
}

/// View of a run that has not ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// Fencing token of the run.
    pub fence: Fence,
    /// Job of the run.
    pub job: JobId,
    /// Team that owns the job.
    pub team: TeamName,
    /// Worker that executes the run.
    pub worker: WorkerId,
    /// Resources that the run uses.
    pub resources: Resources,
    /// When the run was placed.
    pub placed: Timestamp,
    /// Predicted run time; `None` if the run has no end.
    pub expected: Option<Duration>,
    /// Whether the run may be stopped for urgent work.
    pub preemptible: bool,
    /// Whether the run was asked to stop.
    pub stopping: bool,
}
