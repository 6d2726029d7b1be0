//! Lives (incarnations) of workers and the runs assigned to them.

use crate::model::{LifeId, RunNumber, TaskRef};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{ResourceVector, ServiceName, WorkerId, ZoneName};

/// Upper bound of the times that workers report, in milliseconds: the year 10,000, for a time of day.
pub const MAX_REPORTED_MILLIS: u64 = 253_402_300_800_000;
/// Upper bound of each amount in a worker's capacity.
const MAX_CAPACITY: u64 = 1 << 40;

/// What a worker reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Name of the worker; a later life may have the same name.
    pub worker: WorkerId,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Service that the worker belongs to.
    pub service: ServiceName,
    /// Address at which the worker accepts orders, `ip:port`.
    pub addr: String,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
    /// Labels of the worker: its kind, followed by its rack.
    pub labels: Vec<String>,
    /// Whether the worker is draining: it accepts no new work and will leave.
    pub draining: bool,
}

impl WorkerInfo {
    /// Validates what can't be true of any worker. The error names the field and the cause.
    ///
    /// ```
    /// let info = jobs::WorkerInfo {
    ///     worker: "w1".into(),
    ///     addr: "10.1.0.9:0".into(),
    ///     ..jobs::WorkerInfo::default()
    /// };
    /// assert_eq!(info.check().unwrap_err(), r#"addr: "10.1.0.9:0" is no address with a port"#);
    /// ```
    pub fn check(&self) -> Result<(), String> {
        if self.worker.is_empty() {
            return Err("worker: must not be empty".to_string());
        }
        if !self.addr.parse::<SocketAddr>().is_ok_and(|addr| addr.port() != 0) {
            return Err(format!("addr: {:?} is no address with a port", self.addr));
        }
        check_reported_millis("born", self.born)?;
        let ResourceVector { cpu, memory, gpu } = self.capacity;
        for (name, amount) in [("cpu", cpu), ("memory", memory), ("gpu", gpu)] {
            if amount > MAX_CAPACITY {
                return Err(format!("capacity.{name}: {amount} is more than {MAX_CAPACITY}"));
            }
        }
        Ok(())
    }

    /// The worker's rack, which is its last label; empty if it has none.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// Validates a time that a worker reports, in milliseconds. The error names the field and the cause.
///
/// ```
/// assert!(jobs::check_reported_millis("clock", 86_400_000).is_ok());
/// assert!(jobs::check_reported_millis("clock", u64::MAX).unwrap_err().starts_with("clock: "));
/// ```
pub fn check_reported_millis(field: &str, millis: u64) -> Result<(), String> {
    match millis > MAX_REPORTED_MILLIS {
        true => Err(format!("{field}: {millis} ms is more than {MAX_REPORTED_MILLIS} ms")),
        false => Ok(()),
    }
}

/// A run that is assigned to a life and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Task that the run executes.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Resources reserved for the run.
    pub need: ResourceVector,
}

/// State of one life of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// Number of the life, unique among all workers.
    pub id: LifeId,
    /// What the worker last reported about itself.
    pub info: WorkerInfo,
    /// Number of the last recorded run end.
    pub last_seen: u64,
    /// Runs assigned to the life, in order of assignment.
    pub runs: Vec<Run>,
    /// Sum of the resources reserved for `runs`.
    pub(crate) used: ResourceVector,
}

impl Life {
    /// Resources that are not reserved for any run.
    pub fn free(&self) -> ResourceVector {
        self.info.capacity.minus(&self.used)
    }

    /// Resources reserved beyond the capacity, which may have shrunk.
    pub fn excess(&self) -> ResourceVector {
        self.used.minus(&self.info.capacity)
    }

    pub(crate) fn add(&mut self, run: Run) {
        self.used = self.used.plus(&run.need);
        self.runs.push(run);
    }

    pub(crate) fn remove(&mut self, task: TaskRef, run: RunNumber) -> Option<Run> {
        let i = self.runs.iter().position(|r| (r.task, r.run) == (task, run))?;
        let removed = self.runs.remove(i);
        self.used = self.used.minus(&removed.need);
        Some(removed)
    }
}
