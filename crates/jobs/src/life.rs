//! Workers' lives and what runs in them.

use crate::model::{LifeId, ResourceVector, RunNumber, TaskRef};
use serde::{Deserialize, Serialize};
use types::{ServiceName, WorkerId, ZoneName};

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Its name, which a later life may have again.
    pub worker: WorkerId,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it takes orders, `ip:port`.
    pub addr: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it can hold.
    pub capacity: ResourceVector,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// It is about to leave and takes no new work.
    pub draining: bool,
}

impl WorkerInfo {
    /// Its rack, the last of its labels.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// A run that has a place in a life and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// What it takes of the room.
    pub need: ResourceVector,
}

/// One life of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// Its number.
    pub id: LifeId,
    /// What it says of itself.
    pub info: WorkerInfo,
    /// Number of the last end that was taken note of.
    pub last_seen: u64,
    /// What has a place there, in order of placement.
    pub runs: Vec<Run>,
    /// What the runs take together.
    pub(crate) used: ResourceVector,
}

impl Life {
    /// Room that no run takes.
    pub fn free(&self) -> ResourceVector {
        self.info.capacity.minus(&self.used)
    }

    pub(crate) fn add(&mut self, run: Run) {
        self.used = self.used.plus(&run.need);
        self.runs.push(run);
    }

    pub(crate) fn remove(&mut self, task: TaskRef, run: RunNumber) -> bool {
        let found = self.runs.iter().position(|r| (r.task, r.run) == (task, run));
        let Some(i) = found else { return false };
        let removed = self.runs.remove(i);
        self.used = self.used.minus(&removed.need);
        true
    }
}
