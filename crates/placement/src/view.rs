//! What the planner is told of the replicated state.

use std::time::Duration;
use types::{Fence, Incarnation, JobClass, JobId, Resources, TeamName, Timestamp, WorkerId};

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The rack it stands in.
    pub rack: String,
    /// What it can hold.
    pub capacity: Resources,
    /// What is free for new work; nothing while it gets none.
    pub room: Resources,
    /// It takes one run at a time.
    pub single: bool,
}

/// A job with waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its team.
    pub team: TeamName,
    /// Its name.
    pub name: String,
    /// Its class.
    pub class: JobClass,
    /// Whether it goes before everything else.
    pub urgent: bool,
    /// Whether its tasks may be stopped and started again.
    pub unrepeatable: bool,
    /// Tasks that wait.
    pub waiting: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// How long a task runs, as its owner says.
    pub run_time: Option<Duration>,
    /// When it came in.
    pub submitted: Timestamp,
    /// When its last task must have ended.
    pub deadline: Option<Timestamp>,
    /// Nothing starts before this time.
    pub held_until: Timestamp,
    /// It is known that it can't meet its deadline.
    pub late: bool,
}

impl JobView {
    /// A job with one waiting task and nothing special.
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
        }
    }
}

/// A live run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunView {
    /// The run.
    pub fence: Fence,
    /// Its job.
    pub job: JobId,
    /// The job's team.
    pub team: TeamName,
    /// Where it runs.
    pub worker: WorkerId,
    /// What it holds.
    pub resources: Resources,
    /// When it was placed.
    pub placed: Timestamp,
    /// How long it runs, as the planner predicts; `None` when it has no end.
    pub expected: Option<Duration>,
    /// It may be stopped for urgent work.
    pub preemptible: bool,
    /// It was asked to stop.
    pub stopping: bool,
}
