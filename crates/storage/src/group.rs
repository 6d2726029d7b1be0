//! The store of one group: a snapshot file and a log in numbered segment files.

use crate::data_dir::{create_dir, remove_temporary, replace_file, sync_dir};
use crate::replay::{append_batch, segment_path, Batch, Found, Replay};
use crate::{frame, snapshot, Error, Files, OpenFile};
use consensus::{Config, Entry, HardState, Index, Ready, Restored};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const SNAPSHOT_FILE: &str = "snapshot";

/// An opened store and the state that it holds; `None` if the group was never formed here.
pub type Opened = (GroupStore, Option<Restored>);

/// A function that syncs a file to disk. Tests replace it by one that fails.
pub type SyncFn = Box<dyn FnMut(&mut OpenFile) -> io::Result<()> + Send>;

/// A segment that is no longer written to.
struct ClosedSegment {
    number: u64,
    /// Highest index of an entry in the segment, or 0 without entries.
    last_index: Index,
}

/// The durable log and snapshot of one group.
pub struct GroupStore {
    files: Arc<Files>,
    path: PathBuf,
    /// The open segment, which frames are appended to.
    file: OpenFile,
    /// Number of the open segment.
    number: u64,
    /// Highest index of an entry in the open segment, or 0 without entries.
    last_index: Index,
    /// Earlier segments in ascending order.
    closed: Vec<ClosedSegment>,
    hard_state: HardState,
    found: Found,
    /// What was appended since the last frame was written.
    pending: Batch,
    /// Whether something was appended that the next `sync` must wait for.
    unsynced: bool,
    /// Whether a write or sync has failed, after which nothing more is written.
    failed: bool,
    sync: SyncFn,
}

impl std::fmt::Debug for GroupStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupStore").field("path", &self.path).finish_non_exhaustive()
    }
}

impl GroupStore {
    /// Opens the store at `path`, or creates it. All that is returned is durable: a process that ended
    /// may have left it unsynced, or a sync of it may have failed, which later ones don't make up for.
    pub(crate) fn open(files: Arc<Files>, path: &Path) -> Result<Opened, Error> {
        create_dir(&files, path)?;
        // The entries that a snapshot covers are only dropped once its name is durable.
        sync_dir(&files, path)?;
        remove_temporary(&files, path)?;
        let snapshot = snapshot::read(&files, &path.join(SNAPSHOT_FILE))?;
        let mut replay = Replay::read(&files, path)?;
        match &snapshot {
            Some(snapshot) => replay.drop_covered(path, snapshot)?,
            None if replay.found.frames > 0 => {
                let cause = "a log exists, but no snapshot".to_string();
                return Err(Error::Corrupt(path.to_path_buf(), 0, cause));
            }
            None => {}
        }
        let number = replay.segments.pop().unwrap_or(1);
        let mut rewritten_bytes = 0;
        let frames = replay.to_frames().inspect(|frame| rewritten_bytes += frame.len() as u64);
        let frames = frames.filter(|_| snapshot.is_some());
        let file = replace_file(&files, &segment_path(path, number), frames)?;
        remove_segments(&files, path, &replay.segments, replay.dropped_replaced)?;
        let hard_state = replay.hard_state;
        let store = GroupStore {
            files,
            path: path.to_path_buf(),
            file,
            number,
            last_index: replay.last_index(),
            closed: Vec::new(),
            hard_state,
            found: Found { rewritten_bytes, ..replay.found },
            pending: Batch::default(),
            unsynced: false,
            failed: false,
            sync: Box::new(|file| (file.sync)()),
        };
        let entries = replay.entries;
        Ok((store, snapshot.map(|snapshot| Restored { hard_state, snapshot, entries })))
    }

    /// What the open found of the log.
    ///
    /// ```
    /// # let tmp = tempfile::tempdir().unwrap();
    /// let dir = storage::DataDir::open(tmp.path(), "a-1", "zone-a", 42).unwrap();
    /// let (store, _) = dir.open_group("cell").unwrap();
    /// assert_eq!(store.found().segments, 0);
    /// ```
    pub fn found(&self) -> &Found {
        &self.found
    }

    /// Records that the group was formed with the members of `config`, as a snapshot at index 0.
    pub fn form_group(&mut self, config: &Config) -> Result<(), Error> {
        let formed = Restored::new_group(config.clone());
        snapshot::write(&self.files, &self.path.join(SNAPSHOT_FILE), &formed.snapshot)
    }

    /// Replaces the function that syncs the log, so that tests can make it fail.
    pub fn set_sync_fn(&mut self, sync: SyncFn) {
        self.sync = sync;
    }

    /// Takes the snapshot, entries and hard state of `ready`. They are durable only once
    /// [`GroupStore::sync`] has returned. All entries until then are written as one frame: were
    /// several frames written before a sync, a power loss could keep a later one and lose an
    /// earlier one, which can't be told from damage.
    pub fn append(&mut self, ready: &Ready) -> Result<(), Error> {
        if let Some(snapshot) = &ready.snapshot {
            snapshot::write(&self.files, &self.path.join(SNAPSHOT_FILE), snapshot)?;
            self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
            self.rotate(snapshot.index, ready.restore, &ready.entries)?;
            return Ok(());
        }
        if ready.entries.is_empty() && ready.hard_state.is_none() {
            return Ok(());
        }
        let before = self.hard_state;
        self.hard_state = ready.hard_state.unwrap_or(before);
        // A lost commit index is learned again from the leader, so a change of it alone needs no
        // sync.
        let voted = (before.term, before.vote) != (self.hard_state.term, self.hard_state.vote);
        self.unsynced |= voted || !ready.entries.is_empty();
        self.pending.hard_state = Some(self.hard_state);
        append_batch(&mut self.pending.entries, ready.entries.clone());
        Ok(())
    }

    /// Forces the next [`GroupStore::sync`] to wait for the disk even if only the commit index
    /// changed.
    pub fn require_sync(&mut self) {
        self.unsynced = true;
    }

    /// Makes all appended data durable. Returns whether it had to wait for the disk.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if writing or syncing fails, and from then on in every call.
    pub fn sync(&mut self) -> Result<bool, Error> {
        if self.failed {
            let cause = io::Error::other("an earlier write or sync failed");
            return Err(Error::io(&self.path, "syncing the log")(cause));
        }
        if !self.unsynced {
            return Ok(false);
        }
        self.failed = true;
        let pending = std::mem::take(&mut self.pending);
        if pending.hard_state.is_some() {
            self.write_batch(&pending)?;
        }
        (self.sync)(&mut self.file).map_err(Error::io(&self.path, "syncing the log"))?;
        (self.failed, self.unsynced) = (false, false);
        Ok(true)
    }

    /// Starts a new segment with `entries` and deletes segments that are no longer needed: those
    /// up to index `covered`, or all earlier ones if the snapshot was `restored` from the leader.
    fn rotate(&mut self, covered: Index, restored: bool, entries: &[Entry]) -> Result<(), Error> {
        // On replay a torn frame is accepted only in the last segment.
        self.sync()?;
        // A commit index that is still pending is part of the hard state written below.
        self.pending = Batch::default();
        self.closed.push(ClosedSegment { number: self.number, last_index: self.last_index });
        self.number += 1;
        self.file = create_segment(&self.files, &self.path, self.number)?;
        self.last_index = 0;
        self.pending = Batch { hard_state: Some(self.hard_state), entries: entries.to_vec() };
        self.unsynced = true;
        self.sync()?;
        let needed = |c: &ClosedSegment| !restored && c.last_index > covered;
        // Replay reads the segments in order, so only a prefix of them may be deleted.
        let keep_from = self.closed.iter().position(needed).unwrap_or(self.closed.len());
        let old: Vec<u64> = self.closed.drain(..keep_from).map(|c| c.number).collect();
        remove_segments(&self.files, &self.path, &old, restored)?;
        sync_dir(&self.files, &self.path)
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<(), Error> {
        let last_index = batch.entries.last().map_or(0, |e| e.index);
        self.last_index = self.last_index.max(last_index);
        let buf = frame::encode(batch);
        (self.file.append)(&buf).map_err(Error::io(&self.path, "writing the log"))
    }
}

/// Removes segments, given in ascending order. If they hold entries that nothing repeats, the newest is
/// removed first, and durably before the next: those that a crash leaves must not have a gap.
fn remove_segments(
    files: &Files,
    dir: &Path,
    numbers: &[u64],
    without_gap: bool,
) -> Result<(), Error> {
    for number in numbers.iter().rev() {
        let path = segment_path(dir, *number);
        (files.remove)(&path).map_err(Error::io(&path, "deleting the old segment"))?;
        if without_gap {
            sync_dir(files, dir)?;
        }
    }
    Ok(())
}

fn create_segment(files: &Files, dir: &Path, number: u64) -> Result<OpenFile, Error> {
    let path = segment_path(dir, number);
    let file = (files.create)(&path).map_err(Error::io(&path, "creating the segment"))?;
    sync_dir(files, dir)?;
    Ok(file)
}
