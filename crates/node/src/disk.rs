//! The node's data folder.

use consensus::{Config, Ready, Restored};
use std::path::{Path, PathBuf};
use storage::{DataDir, Error, GroupStore};
use types::{HostId, MemberId, ZoneName};

/// Name of the group's folder.
const GROUP: &str = "cell";

/// Where the folder is, and whose.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) path: PathBuf,
    pub(crate) host: HostId,
    pub(crate) zone: ZoneName,
}

/// An open data folder.
pub(crate) struct Disk {
    _folder: DataDir,
    store: GroupStore,
}

impl Disk {
    /// Opens the folder: its identity, and the group as it has it.
    pub(crate) fn open(
        place: &Place,
        seed: u64,
    ) -> Result<(Disk, MemberId, Option<Restored>), Error> {
        let path: &Path = &place.path;
        let folder = DataDir::open(path, &place.host, &place.zone, seed)?;
        let member = folder.identity().member;
        let (store, restored) = folder.open_group(GROUP)?;
        if let Some(restored) = &restored {
            log::info!(term = restored.hard_state.term, snapshot = restored.snapshot.index,
                entries = restored.entries.len(); "the group is restored from the disk");
        }
        Ok((Disk { _folder: folder, store }, member, restored))
    }

    pub(crate) fn append(&mut self, ready: &Ready) -> Result<(), Error> {
        self.store.append(ready)
    }

    pub(crate) fn form(&mut self, config: &Config) -> Result<(), Error> {
        self.store.form_group(config)
    }

    pub(crate) fn sync(&mut self) -> Result<bool, Error> {
        self.store.sync()
    }
}
