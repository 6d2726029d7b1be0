//! The log and snapshot of one group.

use crate::data_dir::sync_folder;
use crate::frame::{self, Frame};
use crate::{snapshot, Error};
use consensus::{Config, Entry, HardState, Index, Ready, Restored, Snapshot};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";

/// A store and what it held, `None` when the group was never formed here.
pub type Opened = (GroupStore, Option<Restored>);

/// A function that makes a file last; tests put one that fails in its place.
pub type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// What one call of `append` adds.
#[derive(Serialize, Deserialize)]
struct Batch {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
}

/// A segment that gets no more frames.
struct Closed {
    number: u64,
    last_index: Index,
}

/// The files of one group.
pub struct GroupStore {
    path: PathBuf,
    file: File,
    number: u64,
    /// Last entry written to the open segment, or a lower one.
    last_index: Index,
    closed: Vec<Closed>,
    hard_state: HardState,
    unsynced: bool,
    sync: SyncFn,
}

impl std::fmt::Debug for GroupStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GroupStore").field("path", &self.path).finish_non_exhaustive()
    }
}

impl GroupStore {
    pub(crate) fn open(path: &Path) -> Result<Opened, Error> {
        fs::create_dir_all(path).map_err(Error::io(path, "making the folder"))?;
        let snapshot = snapshot::read(&path.join(SNAPSHOT_FILE))?;
        let numbers = segment_numbers(path)?;
        let mut hard_state = HardState::default();
        let mut entries = Vec::new();
        let mut closed = Vec::new();
        for (i, number) in numbers.iter().enumerate() {
            let is_last = i + 1 == numbers.len();
            let batches = read_segment(&segment_path(path, *number), is_last)?;
            let mut last_index = 0;
            for batch in batches {
                hard_state = batch.hard_state.unwrap_or(hard_state);
                last_index = last_index.max(batch.entries.last().map_or(0, |e| e.index));
                put_entries(&mut entries, batch.entries);
            }
            closed.push(Closed { number: *number, last_index });
        }
        let number = numbers.last().map_or(1, |n| n + 1);
        let file = new_segment(path, number)?;
        let mut store = GroupStore {
            path: path.to_path_buf(),
            file,
            number,
            last_index: 0,
            closed,
            hard_state,
            unsynced: false,
            sync: Box::new(File::sync_data),
        };
        let Some(snapshot) = snapshot else { return Ok((store, None)) };
        store.write_batch(&Batch { hard_state: Some(hard_state), entries: Vec::new() })?;
        store.sync()?;
        entries.retain(|e| e.index > snapshot.index);
        check_gaps(path, &snapshot, &entries)?;
        Ok((store, Some(Restored { hard_state, snapshot, entries })))
    }

    /// Records that the group was formed by the members of `config`.
    pub fn form_group(&mut self, config: &Config) -> Result<(), Error> {
        let formed = Restored::new_group(config.clone());
        snapshot::write(&self.path.join(SNAPSHOT_FILE), &formed.snapshot)
    }

    /// Makes syncing call `sync`; for tests of what happens when it fails.
    pub fn set_sync_fn(&mut self, sync: SyncFn) {
        self.sync = sync;
    }

    /// Writes what `ready` holds. It lasts only once [`GroupStore::sync`] has returned.
    pub fn append(&mut self, ready: &Ready) -> Result<(), Error> {
        if let Some(snapshot) = &ready.snapshot {
            snapshot::write(&self.path.join(SNAPSHOT_FILE), snapshot)?;
            self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
            self.rotate(snapshot.index, ready.restore, &ready.entries)?;
            return Ok(());
        }
        if ready.entries.is_empty() && ready.hard_state.is_none() {
            return Ok(());
        }
        let before = self.hard_state;
        self.hard_state = ready.hard_state.unwrap_or(before);
        // A commit that is lost is learned again from the leader, so it alone needs no sync.
        let voted = (before.term, before.vote) != (self.hard_state.term, self.hard_state.vote);
        self.unsynced |= voted || !ready.entries.is_empty();
        self.write_batch(&Batch { hard_state: ready.hard_state, entries: ready.entries.clone() })
    }

    /// Makes the next [`GroupStore::sync`] write to the disk even if only a commit changed.
    pub fn require_sync(&mut self) {
        self.unsynced = true;
    }

    /// Makes what was appended last. True when the disk had to be waited for.
    pub fn sync(&mut self) -> Result<bool, Error> {
        if !std::mem::take(&mut self.unsynced) {
            return Ok(false);
        }
        (self.sync)(&self.file).map_err(Error::io(&self.path, "syncing the log"))?;
        Ok(true)
    }

    /// Starts a new segment and deletes those that the snapshot covers.
    fn rotate(&mut self, covered: Index, restored: bool, entries: &[Entry]) -> Result<(), Error> {
        // Replay expects every segment but the last to be whole.
        self.sync()?;
        self.closed.push(Closed { number: self.number, last_index: self.last_index });
        self.number += 1;
        self.file = new_segment(&self.path, self.number)?;
        self.last_index = 0;
        self.write_batch(&Batch { hard_state: Some(self.hard_state), entries: entries.to_vec() })?;
        self.unsynced = true;
        self.sync()?;
        let needed = |c: &Closed| !restored && c.last_index > covered;
        // Replay goes in order, so only a prefix of the segments may go.
        let keep_from = self.closed.iter().position(needed).unwrap_or(self.closed.len());
        for old in self.closed.drain(..keep_from) {
            let path = segment_path(&self.path, old.number);
            fs::remove_file(&path).map_err(Error::io(&path, "deleting an old segment"))?;
        }
        sync_folder(&self.path)
    }

    fn write_batch(&mut self, batch: &Batch) -> Result<(), Error> {
        let last_index = batch.entries.last().map_or(0, |e| e.index);
        self.last_index = self.last_index.max(last_index);
        let buf = frame::encode(batch);
        self.file.write_all(&buf).map_err(Error::io(&self.path, "writing the log"))
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:012}"))
}

fn segment_numbers(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for item in fs::read_dir(folder).map_err(Error::io(folder, "listing"))? {
        let name = item.map_err(Error::io(folder, "listing"))?.file_name();
        let digits = name.to_str().and_then(|n| n.strip_prefix(SEGMENT_PREFIX));
        numbers.extend(digits.and_then(|d| d.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn new_segment(folder: &Path, number: u64) -> Result<File, Error> {
    let path = segment_path(folder, number);
    let file = OpenOptions::new().create_new(true).append(true).open(&path);
    let file = file.map_err(Error::io(&path, "making a segment"))?;
    sync_folder(folder)?;
    Ok(file)
}

/// Reads a segment; a torn last frame of the last segment is cut off.
fn read_segment(path: &Path, is_last: bool) -> Result<Vec<Batch>, Error> {
    let buf = fs::read(path).map_err(Error::io(path, "reading a segment"))?;
    let mut batches = Vec::new();
    let mut offset = 0;
    loop {
        match frame::decode(&buf[offset..]) {
            Frame::Whole(batch, length) => {
                batches.push(batch);
                offset += length;
            }
            Frame::End => return Ok(batches),
            Frame::Torn if is_last => {
                cut_off(path, offset as u64)?;
                return Ok(batches);
            }
            Frame::Torn => {
                let cause = "a frame ends early, and later segments exist".to_string();
                return Err(Error::Corrupt(path.to_path_buf(), offset as u64, cause));
            }
            Frame::Damaged(cause) => {
                return Err(Error::Corrupt(path.to_path_buf(), offset as u64, cause));
            }
        }
    }
}

fn cut_off(path: &Path, length: u64) -> Result<(), Error> {
    let file = OpenOptions::new().write(true).open(path);
    let file = file.map_err(Error::io(path, "opening a torn segment"))?;
    file.set_len(length).map_err(Error::io(path, "cutting off a torn frame"))?;
    file.sync_all().map_err(Error::io(path, "syncing"))
}

/// Each entry replaces what stood at its index and after.
fn put_entries(entries: &mut Vec<Entry>, new: Vec<Entry>) {
    let Some(first) = new.first() else { return };
    let keep = entries.partition_point(|e| e.index < first.index);
    entries.truncate(keep);
    entries.extend(new);
}

fn check_gaps(path: &Path, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
    let expected = snapshot.index + 1..;
    match expected.zip(entries).find(|(index, entry)| *index != entry.index) {
        Some((index, _)) => {
            Err(Error::Corrupt(path.to_path_buf(), 0, format!("entry {index} is missing")))
        }
        None => Ok(()),
    }
}
