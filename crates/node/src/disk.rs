//! Persistent state of the node in its data directory.

use consensus::{Config, Ready, Restored};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use storage::{DataDir, Error, GroupStore};
use types::{HostId, MemberId, ZoneName};

/// Name of the group's subdirectory.
const GROUP: &str = "cell";

/// Path of the data directory and the host that it must belong to.
#[derive(Clone, Debug)]
pub(crate) struct DataLocation {
    pub(crate) path: PathBuf,
    pub(crate) host: HostId,
    pub(crate) zone: ZoneName,
}

/// An open data directory.
pub(crate) struct Disk {
    /// Keeps the data directory locked.
    _dir: DataDir,
    store: GroupStore,
}

/// What the data directory held when it was opened.
pub(crate) struct Opened {
    pub(crate) disk: Disk,
    /// The member that the directory belongs to.
    pub(crate) member: MemberId,
    /// State of the group; `None` if the directory holds none.
    pub(crate) group: Option<Restored>,
    took: Duration,
}

impl Opened {
    /// Logs the state of the group and what the open found of its log.
    pub(crate) fn log_found(&self) {
        let found = self.disk.store.found();
        let took_ms = self.took.as_millis() as u64;
        if let Some(group) = &self.group {
            log::info!(term = group.hard_state.term, snapshot = group.snapshot.index,
                entries = group.entries.len(), first = group.entries.first().map_or(0, |e| e.index),
                last = found.last_index, segments = found.segments, frames = found.frames,
                tail_bytes = found.tail_bytes, torn_bytes = found.torn_bytes,
                rewritten_bytes = found.rewritten_bytes, took_ms = took_ms;
                "restored the group from disk");
        } else if found.segments > 0 {
            log::info!(last = found.last_index, segments = found.segments, frames = found.frames,
                tail_bytes = found.tail_bytes, torn_bytes = found.torn_bytes, took_ms = took_ms;
                "found a log on disk, but no group was formed");
        }
        if found.torn_bytes > 0 {
            log::warn!(torn_bytes = found.torn_bytes, last = found.last_index;
                "cut off an interrupted write at the end of the log");
        }
    }
}

impl Disk {
    /// Opens the data directory.
    pub(crate) fn open(location: &DataLocation, seed: u64) -> Result<Opened, Error> {
        let began = Instant::now();
        let path: &Path = &location.path;
        let dir = DataDir::open(path, &location.host, &location.zone, seed)?;
        let member = dir.identity().member;
        let (store, group) = dir.open_group(GROUP)?;
        Ok(Opened { disk: Disk { _dir: dir, store }, member, group, took: began.elapsed() })
    }

    pub(crate) fn append(&mut self, ready: &Ready) -> Result<(), Error> {
        self.store.append(ready)
    }

    pub(crate) fn form_group(&mut self, config: &Config) -> Result<(), Error> {
        self.store.form_group(config)
    }

    pub(crate) fn sync(&mut self) -> Result<bool, Error> {
        self.store.sync()
    }
}
