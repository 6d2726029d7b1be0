//! The data folder as a whole: its owner, its identity, its groups.

use crate::frame::{self, Frame};
use crate::{Error, GroupStore, Opened};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use types::{HostId, MemberId, Release, ZoneName};

const IDENTITY_FILE: &str = "identity.json";
const RELEASE_FILE: &str = "release";
const LOCK_FILE: &str = "lock";
const FORMAT: u32 = 1;

/// Who a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Version of the folder's layout.
    pub format: u32,
    /// Random number that no other folder has.
    pub member: MemberId,
    /// The entry host that made the folder.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// An open data folder. No other process can open it until this value is dropped.
#[derive(Debug)]
pub struct DataDir {
    path: PathBuf,
    identity: Identity,
    _lock: File,
}

impl DataDir {
    /// Opens the folder at `path`, or makes it with an identity drawn from `seed`.
    pub fn open(path: &Path, host: &str, zone: &str, seed: u64) -> Result<DataDir, Error> {
        fs::create_dir_all(path).map_err(Error::io(path, "making the folder"))?;
        let lock = lock(&path.join(LOCK_FILE))?;
        let identity = match read_identity(&path.join(IDENTITY_FILE))? {
            Some(identity) => identity,
            None => make_identity(path, host, zone, seed)?,
        };
        if identity.host != host || identity.zone != zone {
            let has = format!("{} in {}", identity.host, identity.zone);
            return Err(Error::WrongOwner(path.to_path_buf(), has, format!("{host} in {zone}")));
        }
        Ok(DataDir { path: path.to_path_buf(), identity, _lock: lock })
    }

    /// Who the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The release that was in force here last.
    pub fn read_release(&self) -> Result<Option<Release>, Error> {
        let path = self.path.join(RELEASE_FILE);
        if !path.exists() {
            return Ok(None);
        }
        let buf = fs::read(&path).map_err(Error::io(&path, "reading the release"))?;
        match frame::decode(&buf) {
            Frame::Whole(release, _) => Ok(Some(release)),
            _ => Err(Error::Corrupt(path, 0, "the release is not whole".to_string())),
        }
    }

    /// Keeps a release; it lasts when this returns.
    pub fn save_release(&self, release: &Release) -> Result<(), Error> {
        replace_file(&self.path.join(RELEASE_FILE), &frame::encode(release))
    }

    /// Opens the store of one group, with what it holds.
    pub fn open_group(&self, name: &str) -> Result<Opened, Error> {
        GroupStore::open(&self.path.join(name))
    }
}

fn lock(path: &Path) -> Result<File, Error> {
    let file = File::create(path).map_err(Error::io(path, "opening the lock"))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            Err(Error::Locked(path.parent().unwrap_or(path).to_path_buf()))
        }
        Err(TryLockError::Error(e)) => Err(Error::io(path, "locking")(e)),
    }
}

fn read_identity(path: &Path) -> Result<Option<Identity>, Error> {
    if !path.exists() {
        return Ok(None);
    }
    let text = fs::read_to_string(path).map_err(Error::io(path, "reading the identity"))?;
    let corrupt = |cause: String| Error::Corrupt(path.to_path_buf(), 0, cause);
    let identity: Identity = serde_json::from_str(&text).map_err(|e| corrupt(e.to_string()))?;
    if identity.format != FORMAT {
        return Err(corrupt(format!("format {} is not known, only {FORMAT}", identity.format)));
    }
    Ok(Some(identity))
}

fn make_identity(folder: &Path, host: &str, zone: &str, seed: u64) -> Result<Identity, Error> {
    let member = fastrand::Rng::with_seed(seed).u64(1..);
    let identity =
        Identity { format: FORMAT, member, host: host.to_string(), zone: zone.to_string() };
    let text = serde_json::to_string_pretty(&identity).expect("an identity is plain data");
    replace_file(&folder.join(IDENTITY_FILE), text.as_bytes())?;
    Ok(identity)
}

/// Writes a file so that after a crash either the old or the new contents stand, never a part.
pub(crate) fn replace_file(path: &Path, contents: &[u8]) -> Result<(), Error> {
    let tmp = path.with_extension("tmp");
    let mut file = File::create(&tmp).map_err(Error::io(&tmp, "making the file"))?;
    file.write_all(contents).map_err(Error::io(&tmp, "writing"))?;
    file.sync_all().map_err(Error::io(&tmp, "syncing"))?;
    fs::rename(&tmp, path).map_err(Error::io(path, "renaming"))?;
    sync_folder(path.parent().expect("a file has a folder"))
}

/// Makes new, renamed and deleted names in a folder last.
pub(crate) fn sync_folder(path: &Path) -> Result<(), Error> {
    let folder = File::open(path).map_err(Error::io(path, "opening the folder"))?;
    folder.sync_all().map_err(Error::io(path, "syncing the folder"))
}
