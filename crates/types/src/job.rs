//! Jobs as their owners describe them.

use crate::{quantity, Resources, TeamName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Most tasks one job may have.
const MAX_TASKS: u32 = 100_000;
/// Longest name of a team, job or service, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// How a job's tasks relate to each other and to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobClass {
    /// Runs until withdrawn; a task that ends is started again.
    Service,
    /// Each task runs once to its end, by itself.
    Batch,
    /// All tasks start together or none does.
    AllAtOnce,
}

/// A job's name within its team; written `team/name`.
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

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team that owns the job.
    pub team: TeamName,
    /// The job's name, unique in its team.
    pub name: String,
    /// How the tasks run.
    pub class: JobClass,
    /// How many tasks there are.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What each task asks for.
    pub resources: Resources,
    /// What each worker runs; its meaning is the worker's.
    #[serde(default)]
    pub command: Vec<String>,
    /// How long a task runs, as its owner expects.
    #[serde(default, with = "quantity::optional_duration")]
    pub run_time: Option<Duration>,
    /// When the last task must have ended, counted from submission.
    #[serde(default, with = "quantity::optional_duration")]
    pub deadline: Option<Duration>,
    /// Starts before anything that is not urgent, stopping batch work where it must.
    #[serde(default)]
    pub urgent: bool,
    /// A task that may have started is never started again.
    #[serde(default)]
    pub unrepeatable: bool,
    /// The availability zone it must run in; any zone when absent.
    #[serde(default)]
    pub zone: Option<ZoneName>,
}

fn one() -> u32 {
    1
}

impl JobSpec {
    /// The job's name with its team.
    pub fn key(&self) -> JobKey {
        JobKey { team: self.team.clone(), name: self.name.clone() }
    }

    /// Checks what can be checked without knowing the cell; the error names field and cause.
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

/// Checks a name of a team, job, service, worker or zone.
pub(crate) fn check_name(field: &str, name: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return Err(format!(
            "{field}: `{name}` must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-` and `.`"
        ));
    }
    Ok(())
}

/// How a task ended, as the worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Succeeded,
    /// It ran and failed, or could not be started.
    Failed,
    /// It was stopped on request, having saved its progress.
    Stopped,
}
