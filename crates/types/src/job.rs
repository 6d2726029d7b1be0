//! Job specifications, as submitted by their owners.

use crate::{quantity, Resources, TeamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Largest number of tasks of one job.
const MAX_TASKS: u32 = 100_000;
/// Largest length, in bytes, of a name of a team, job, service, worker or zone.
const MAX_NAME_BYTES: usize = 63;

/// Decides how a job's tasks start and when they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobClass {
    /// Tasks run until the job is withdrawn; a task that ends is restarted.
    Service,
    /// Each task runs to completion, independently of the others.
    Batch,
    /// Gang scheduling: either all tasks start together or none does.
    AllAtOnce,
}

/// Full name of a job, written `team/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The team that owns the job.
    pub team: TeamName,
    /// The job's name, unique in its team.
    pub name: String,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl std::str::FromStr for JobKey {
    type Err = String;

    fn from_str(text: &str) -> Result<JobKey, String> {
        match text.split_once('/') {
            Some((team, name)) if !name.contains('/') => {
                Ok(JobKey { team: team.to_string(), name: name.to_string() })
            }
            _ => Err(format!("`{text}` is not a job; write team/name")),
        }
    }
}

/// Specification of a job, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that owns the job.
    pub team: TeamName,
    /// The job's name, unique in its team.
    pub name: String,
    /// How the tasks run.
    pub class: JobClass,
    /// Number of tasks, 1 if absent.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Command of each task, interpreted by the worker alone.
    #[serde(default)]
    pub command: Vec<String>,
    /// Expected run time of a task, if the owner gives one.
    #[serde(default, with = "quantity::optional_duration")]
    pub run_time: Option<Duration>,
    /// Time from submission by which the last task must have ended, if there is a limit.
    #[serde(default, with = "quantity::optional_duration")]
    pub deadline: Option<Duration>,
    /// Starts before jobs that are not urgent and may preempt batch tasks.
    #[serde(default)]
    pub urgent: bool,
    /// A task that may have started is never restarted.
    #[serde(default)]
    pub unrepeatable: bool,
    /// Availability zone that the job must run in; any zone if absent.
    #[serde(default)]
    pub zone: Option<ZoneName>,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// The job's full name.
    pub fn key(&self) -> JobKey {
        JobKey { team: self.team.clone(), name: self.name.clone() }
    }

    /// Validates the spec by itself, without the state of the cell. The error has the form
    /// `field: cause`.
    ///
    /// ```
    /// # use types::*;
    /// let mut spec = JobSpec {
    ///     team: "planning".into(), name: "sync".into(), class: JobClass::Batch, tasks: 1,
    ///     resources: Resources { cpu: 500, memory: 1 << 20, accelerators: 0 },
    ///     command: vec![], run_time: None, deadline: None, urgent: false,
    ///     unrepeatable: false, zone: None,
    /// };
    /// assert!(spec.check().is_ok());
    /// spec.tasks = 0;
    /// assert_eq!(spec.check().unwrap_err(), "tasks: must be between 1 and 100000, is 0");
    /// ```
    pub fn check(&self) -> Result<(), String> {
        check_name("team", &self.team)?;
        check_name("name", &self.name)?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("tasks: must be between 1 and {MAX_TASKS}, is {}", self.tasks));
        }
        if self.resources.cpu == 0 {
            return Err("resources.cpu: must be more than 0".to_string());
        }
        if self.resources.memory == 0 {
            return Err("resources.memory: must be more than 0".to_string());
        }
        if self.class == JobClass::Service && self.deadline.is_some() {
            return Err("deadline: a service has no end and so no deadline".to_string());
        }
        if self.class == JobClass::Service && self.unrepeatable {
            return Err("unrepeatable: a service is started again when it ends".to_string());
        }
        match (self.run_time, self.deadline) {
            (Some(run_time), Some(deadline)) if run_time > deadline => {
                Err(format!("deadline: {deadline:?} is shorter than run_time {run_time:?}"))
            }
            _ => Ok(()),
        }
    }
}

/// Validates the name of a team, job, service, worker or zone; the error starts with `field`.
pub(crate) fn check_name(field: &str, name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(format!(
            "{field}: `{name}` must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-` and `.`"
        ));
    }
    Ok(())
}

/// How a task ended, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task ran to completion.
    Succeeded,
    /// The task failed or could not be started.
    Failed,
    /// The task was stopped on request and saved its progress.
    Stopped,
}
