//! The data directory: its lock, its identity, the saved release and the groups.

use crate::frame::{self, Frame};
use crate::{Error, Files, GroupStore, OpenFile, Opened};
use serde::{Deserialize, Serialize};
use std::fs::{File, TryLockError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use types::{HostId, MemberId, Release, ZoneName};

const IDENTITY_FILE: &str = "identity.json";
const RELEASE_FILE: &str = "release";
const LOCK_FILE: &str = "lock";
/// Ending of a file that is written and not yet renamed into place.
const TEMPORARY: &str = "tmp";
const FORMAT: u32 = 1;

/// The identity of a data directory and the host that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Version of the directory's layout.
    pub format: u32,
    /// Random number that identifies this data directory.
    pub member: MemberId,
    /// The entry host that created the directory.
    pub host: HostId,
    /// Availability zone of that host.
    pub zone: ZoneName,
}

/// An open data directory. No other process can open it until this value is dropped.
#[derive(Debug)]
pub struct DataDir {
    files: Arc<Files>,
    path: PathBuf,
    identity: Identity,
    /// `None` if the caller has the directory to itself.
    _lock: Option<File>,
}

impl DataDir {
    /// Opens the data directory at `path`. Creates it, with an identity derived from `seed`, if it
    /// does not exist. Fails if another process has it open or it belongs to another host or zone.
    pub fn open(path: &Path, host: &str, zone: &str, seed: u64) -> Result<DataDir, Error> {
        let files = Files::of_system();
        create_dir(&files, path)?;
        let lock = lock(&path.join(LOCK_FILE))?;
        let dir = DataDir::open_unlocked(files, path, host, zone, seed)?;
        Ok(DataDir { _lock: Some(lock), ..dir })
    }

    /// Opens the data directory at `path` of `files`, like [`DataDir::open`], but without a lock:
    /// no other process must have it open.
    ///
    /// ```
    /// # let tmp = tempfile::tempdir().unwrap();
    /// let files = storage::Files::of_system();
    /// let path = tmp.path().join("data");
    /// let dir = storage::DataDir::open_unlocked(files, &path, "a-1", "zone-a", 42).unwrap();
    /// assert_eq!(dir.identity().host, "a-1");
    /// ```
    ///
    /// # Errors
    ///
    /// Those of [`DataDir::open`], except [`Error::Locked`].
    pub fn open_unlocked(
        files: Files,
        path: &Path,
        host: &str,
        zone: &str,
        seed: u64,
    ) -> Result<DataDir, Error> {
        create_dir(&files, path)?;
        let identity = match read_identity(&files, &path.join(IDENTITY_FILE))? {
            Some(identity) => identity,
            None => {
                sync_dirs_above(&files, path);
                create_identity(&files, path, host, zone, seed)?
            }
        };
        // A killed process may have left names unsynced: of the identity, the release and groups.
        sync_dir(&files, path)?;
        if identity.host != host || identity.zone != zone {
            let has = format!("{} in {}", identity.host, identity.zone);
            return Err(Error::WrongOwner(path.to_path_buf(), has, format!("{host} in {zone}")));
        }
        Ok(DataDir { files: Arc::new(files), path: path.to_path_buf(), identity, _lock: None })
    }

    /// The identity of this data directory.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The release saved last, or `None` if none was saved yet.
    pub fn read_release(&self) -> Result<Option<Release>, Error> {
        let path = self.path.join(RELEASE_FILE);
        let buf = (self.files.read)(&path).map_err(Error::io(&path, "reading the release"))?;
        let Some(buf) = buf else { return Ok(None) };
        match frame::decode(&buf) {
            Frame::Complete(release, _) => Ok(Some(release)),
            _ => Err(Error::Corrupt(path, 0, "the release is incomplete or corrupt".to_string())),
        }
    }

    /// Saves a release. It is durable when this function returns.
    pub fn save_release(&self, release: &Release) -> Result<(), Error> {
        replace_file(&self.files, &self.path.join(RELEASE_FILE), [frame::encode(release)]).map(drop)
    }

    /// Whether the directory has a store of the group `name`.
    ///
    /// ```
    /// # let tmp = tempfile::tempdir().unwrap();
    /// let dir = storage::DataDir::open(tmp.path(), "a-1", "zone-a", 42).unwrap();
    /// assert!(!dir.has_group("cell"));
    /// dir.open_group("cell").unwrap();
    /// assert!(dir.has_group("cell"));
    /// ```
    pub fn has_group(&self, name: &str) -> bool {
        self.path.join(name).exists()
    }

    /// Opens or creates the store of the group `name`.
    pub fn open_group(&self, name: &str) -> Result<Opened, Error> {
        GroupStore::open(self.files.clone(), &self.path.join(name))
    }
}

fn lock(path: &Path) -> Result<File, Error> {
    let file = File::create(path).map_err(Error::io(path, "opening the lock file"))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => {
            Err(Error::Locked(path.parent().unwrap_or(path).to_path_buf()))
        }
        Err(TryLockError::Error(e)) => Err(Error::io(path, "locking")(e)),
    }
}

/// Creates a directory and those that are missing above it, durably.
pub(crate) fn create_dir(files: &Files, path: &Path) -> Result<(), Error> {
    let mut created = (files.create_dir)(path);
    if created.as_ref().is_err_and(|e| e.kind() == ErrorKind::NotFound) {
        create_dir(files, parent(path))?;
        created = (files.create_dir)(path);
    }
    match created {
        Ok(()) => sync_dir(files, parent(path)),
        Err(e) if e.kind() == ErrorKind::AlreadyExists => Ok(()),
        Err(e) => Err(Error::io(path, "creating the directory")(e)),
    }
}

/// Syncs the directories above `path`, where a killed process may have created one. Stops at the first
/// that can't be synced: it belongs to somebody else.
fn sync_dirs_above(files: &Files, path: &Path) {
    let _ = path.ancestors().try_for_each(|below| sync_dir(files, parent(below)));
}

fn read_identity(files: &Files, path: &Path) -> Result<Option<Identity>, Error> {
    let buf = (files.read)(path).map_err(Error::io(path, "reading the identity"))?;
    let Some(buf) = buf else { return Ok(None) };
    let corrupt = |cause: String| Error::Corrupt(path.to_path_buf(), 0, cause);
    let identity: Identity = serde_json::from_slice(&buf).map_err(|e| corrupt(e.to_string()))?;
    if identity.format != FORMAT {
        return Err(corrupt(format!("format {} is unknown, expected {FORMAT}", identity.format)));
    }
    Ok(Some(identity))
}

fn create_identity(
    files: &Files,
    dir: &Path,
    host: &str,
    zone: &str,
    seed: u64,
) -> Result<Identity, Error> {
    let member = fastrand::Rng::with_seed(seed).u64(1..);
    let identity =
        Identity { format: FORMAT, member, host: host.to_string(), zone: zone.to_string() };
    let text = serde_json::to_string_pretty(&identity).expect("an identity is plain data");
    replace_file(files, &dir.join(IDENTITY_FILE), [text.into_bytes()])?;
    Ok(identity)
}

/// Replaces a file atomically: after a crash it has either the old or the new contents. The new ones are
/// durable when this function returns. Returns the file, to which more can be appended.
pub(crate) fn replace_file<I>(files: &Files, path: &Path, parts: I) -> Result<OpenFile, Error>
where
    I: IntoIterator<Item = Vec<u8>>,
{
    let tmp = path.with_extension(TEMPORARY);
    let mut file = (files.create)(&tmp).map_err(Error::io(&tmp, "creating the file"))?;
    for part in parts {
        (file.append)(&part).map_err(Error::io(&tmp, "writing"))?;
    }
    (file.sync)().map_err(Error::io(&tmp, "syncing"))?;
    (files.rename)(&tmp, path).map_err(Error::io(path, "renaming"))?;
    sync_dir(files, parent(path))?;
    Ok(file)
}

/// Removes files that were not renamed into place, and hold room that the disk may not have.
pub(crate) fn remove_temporary(files: &Files, dir: &Path) -> Result<(), Error> {
    let names = (files.list)(dir).map_err(Error::io(dir, "listing"))?;
    let paths = names.iter().map(|name| dir.join(name));
    for path in paths.filter(|path| path.extension().is_some_and(|ending| ending == TEMPORARY)) {
        (files.remove)(&path).map_err(Error::io(&path, "deleting the temporary file"))?;
    }
    Ok(())
}

/// Syncs a directory, which makes created, renamed and deleted entries durable.
pub(crate) fn sync_dir(files: &Files, path: &Path) -> Result<(), Error> {
    (files.sync_dir)(path).map_err(Error::io(path, "syncing the directory"))
}

/// The directory that a path is in.
pub(crate) fn parent(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if parent.as_os_str().is_empty() => Path::new("."),
        Some(parent) => parent,
        None => path,
    }
}
