//! The store of one group: a snapshot file and a log in numbered segment files.

use crate::data_dir::{create_dir, parent, sync_dir};
use crate::frame::{self, Frame};
use crate::{snapshot, Error, Files, OpenFile};
use consensus::{Config, Entry, HardState, Index, Ready, Restored, Snapshot};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";

/// An opened store and the state that it holds; `None` if the group was never formed here.
pub type Opened = (GroupStore, Option<Restored>);

/// A function that syncs a file to disk. Tests replace it by one that fails.
pub type SyncFn = Box<dyn FnMut(&mut OpenFile) -> io::Result<()> + Send>;

/// The contents of one log frame, which is written at once.
#[derive(Default, Serialize, Deserialize)]
struct Batch {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
}

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
    /// What was appended since the last frame was written.
    pending: Batch,
    /// Whether something was appended that the next `sync` must wait for.
    unsynced: bool,
    sync: SyncFn,
}

impl std::fmt::Debug for GroupStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupStore").field("path", &self.path).finish_non_exhaustive()
    }
}

impl GroupStore {
    /// Opens the store at `path`, or creates it. Replays the existing segments and starts a new
    /// one, so that no frame is appended to a segment that an earlier process wrote.
    pub(crate) fn open(files: Arc<Files>, path: &Path) -> Result<Opened, Error> {
        if create_dir(&files, path)? {
            sync_dir(&files, parent(path))?;
        }
        let snapshot = snapshot::read(&files, &path.join(SNAPSHOT_FILE))?;
        let numbers = segment_numbers(&files, path)?;
        let mut hard_state = HardState::default();
        let mut entries = Vec::new();
        let mut closed = Vec::new();
        for (i, number) in numbers.iter().enumerate() {
            let is_last = i + 1 == numbers.len();
            let batches = read_segment(&files, &segment_path(path, *number), is_last)?;
            let mut last_index = 0;
            for batch in batches {
                hard_state = batch.hard_state.unwrap_or(hard_state);
                last_index = last_index.max(batch.entries.last().map_or(0, |e| e.index));
                append_batch(&mut entries, batch.entries);
            }
            closed.push(ClosedSegment { number: *number, last_index });
        }
        let number = numbers.last().map_or(1, |n| n + 1);
        let file = create_segment(&files, path, number)?;
        let mut store = GroupStore {
            files,
            path: path.to_path_buf(),
            file,
            number,
            last_index: 0,
            closed,
            hard_state,
            pending: Batch::default(),
            unsynced: false,
            sync: Box::new(|file| (file.sync)()),
        };
        let Some(snapshot) = snapshot else { return Ok((store, None)) };
        store.pending.hard_state = Some(hard_state);
        store.require_sync();
        store.sync()?;
        entries.retain(|e| e.index > snapshot.index);
        drop_replaced(&mut entries, &snapshot);
        check_contiguous(path, &snapshot, &entries)?;
        Ok((store, Some(Restored { hard_state, snapshot, entries })))
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
    pub fn sync(&mut self) -> Result<bool, Error> {
        if !std::mem::take(&mut self.unsynced) {
            return Ok(false);
        }
        let pending = std::mem::take(&mut self.pending);
        if pending.hard_state.is_some() {
            self.write_batch(&pending)?;
        }
        (self.sync)(&mut self.file).map_err(Error::io(&self.path, "syncing the log"))?;
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
        for old in self.closed.drain(..keep_from) {
            let path = segment_path(&self.path, old.number);
            let deleted = (self.files.remove)(&path);
            deleted.map_err(Error::io(&path, "deleting the old segment"))?;
        }
        sync_dir(&self.files, &self.path)
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<(), Error> {
        let last_index = batch.entries.last().map_or(0, |e| e.index);
        self.last_index = self.last_index.max(last_index);
        let buf = frame::encode(batch);
        (self.file.append)(&buf).map_err(Error::io(&self.path, "writing the log"))
    }
}

fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{SEGMENT_PREFIX}{number:012}"))
}

fn segment_numbers(files: &Files, dir: &Path) -> Result<Vec<u64>, Error> {
    let names = (files.list)(dir).map_err(Error::io(dir, "listing"))?;
    let digits = names.iter().filter_map(|name| name.strip_prefix(SEGMENT_PREFIX));
    let mut numbers: Vec<u64> = digits.filter_map(|d| d.parse().ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn create_segment(files: &Files, dir: &Path, number: u64) -> Result<OpenFile, Error> {
    let path = segment_path(dir, number);
    let file = (files.create)(&path).map_err(Error::io(&path, "creating the segment"))?;
    sync_dir(files, dir)?;
    Ok(file)
}

/// Reads the batches of a segment. Truncates a torn frame at the end of the last segment.
fn read_segment(files: &Files, path: &Path, is_last: bool) -> Result<Vec<Batch>, Error> {
    let buf = (files.read)(path).map_err(Error::io(path, "reading the segment"))?;
    let buf = buf.unwrap_or_default();
    let mut batches = Vec::new();
    let mut offset = 0;
    loop {
        match frame::decode(&buf[offset..]) {
            Frame::Complete(batch, length) => {
                batches.push(batch);
                offset += length;
            }
            Frame::End => return Ok(batches),
            Frame::Torn if is_last => {
                let cut = (files.truncate)(path, offset as u64);
                cut.map_err(Error::io(path, "truncating the torn frame"))?;
                return Ok(batches);
            }
            Frame::Torn => {
                let cause = "a frame is torn, but later segments exist".to_string();
                return Err(Error::Corrupt(path.to_path_buf(), offset as u64, cause));
            }
            Frame::Corrupt(cause) => {
                return Err(Error::Corrupt(path.to_path_buf(), offset as u64, cause));
            }
        }
    }
}

/// Adds the entries of a batch, after dropping existing entries from its first index on.
fn append_batch(entries: &mut Vec<Entry>, new: Vec<Entry>) {
    let Some(first) = new.first() else { return };
    let keep = entries.partition_point(|e| e.index < first.index);
    entries.truncate(keep);
    entries.extend(new);
}

/// Drops entries that a snapshot from the leader has replaced: terms never decrease along a log. They
/// are there if the process ended between the write of the snapshot and that of the new segment.
fn drop_replaced(entries: &mut Vec<Entry>, snapshot: &Snapshot) {
    if entries.first().is_some_and(|first| first.term < snapshot.term) {
        entries.clear();
    }
}

/// Checks that `entries` follow the snapshot without gaps.
fn check_contiguous(path: &Path, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
    let expected = snapshot.index + 1..;
    match expected.zip(entries).find(|(index, entry)| *index != entry.index) {
        Some((index, _)) => {
            Err(Error::Corrupt(path.to_path_buf(), 0, format!("entry {index} is missing")))
        }
        None => Ok(()),
    }
}
