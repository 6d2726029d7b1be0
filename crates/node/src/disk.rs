//! Persistent state of the node in its data directory.

use consensus::{Config, Ready, Restored};
use std::path::{Path, PathBuf};
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

impl Disk {
    /// Opens the data directory. Returns also the directory's member id and the restored state of
    /// the group, which is `None` if the directory holds none.
    pub(crate) fn open(
        location: &DataLocation,
        seed: u64,
    ) -> Result<(Disk, MemberId, Option<Restored>), Error> {
        let path: &Path = &location.path;
        let dir = DataDir::open(path, &location.host, &location.zone, seed)?;
        let member = dir.identity().member;
        let (store, restored) = dir.open_group(GROUP)?;
        if let Some(restored) = &restored {
            log::info!(term = restored.hard_state.term, snapshot = restored.snapshot.index,
                entries = restored.entries.len(); "restored the group from disk");
        }
        Ok((Disk { _dir: dir, store }, member, restored))
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
