//! Reading back the log of a group from its segments.

use crate::frame::{self, Frame};
use crate::{Error, Files};
use consensus::{Entry, HardState, Index, Snapshot};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

const SEGMENT_PREFIX: &str = "log-";
/// Most entries of a frame that an open writes.
const REWRITTEN_FRAME_ENTRIES: usize = 1_024;

/// The contents of one log frame, which is written at once.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) hard_state: Option<HardState>,
    pub(crate) entries: Vec<Entry>,
}

/// A [`Batch`] of borrowed entries, which encodes to the same bytes.
#[derive(Serialize)]
struct BatchRef<'a> {
    hard_state: Option<HardState>,
    entries: &'a [Entry],
}

/// What an open found of a group's log, and what it did with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Number of segments.
    pub segments: usize,
    /// Number of complete frames in them.
    pub frames: usize,
    /// Index of the last entry, or 0 without entries.
    pub last_index: Index,
    /// Bytes of complete frames in the last segment. The process that wrote them may have ended before
    /// it synced them.
    pub tail_bytes: u64,
    /// Bytes of interrupted writes, which were left out.
    pub torn_bytes: u64,
    /// Bytes that the open wrote anew and synced, in place of all segments.
    pub rewritten_bytes: u64,
}

/// The log as its segments hold it.
#[derive(Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    /// Numbers of the segments, in ascending order.
    pub(crate) segments: Vec<u64>,
    pub(crate) found: Found,
    /// The frames that have entries.
    places: Vec<Place>,
    torn: Vec<TornFrame>,
    /// Whether there were entries that a snapshot from the leader has replaced.
    pub(crate) dropped_replaced: bool,
}

/// A frame at the end of a segment that can't be read.
struct TornFrame {
    path: PathBuf,
    offset: u64,
    /// Whether complete frames stand in later segments.
    has_successor: bool,
    /// First index of the next frame with entries.
    resumed_at: Option<Index>,
}

/// The place of a frame, and its first entry.
struct Place {
    first: Index,
    segment: u64,
    offset: u64,
}

impl Replay {
    /// Reads all segments in `dir`.
    pub(crate) fn read(files: &Files, dir: &Path) -> Result<Replay, Error> {
        let mut replay = Replay { segments: segment_numbers(files, dir)?, ..Replay::default() };
        for number in replay.segments.clone() {
            replay.read_segment(files, dir, number)?;
        }
        replay.found.segments = replay.segments.len();
        replay.found.last_index = replay.last_index();
        Ok(replay)
    }

    fn read_segment(&mut self, files: &Files, dir: &Path, number: u64) -> Result<(), Error> {
        let path = segment_path(dir, number);
        let buf = (files.read)(&path).map_err(Error::io(&path, "reading the segment"))?;
        let buf = buf.unwrap_or_default();
        let mut offset = 0;
        loop {
            match frame::decode(&buf[offset..]) {
                Frame::Complete(batch, length) => {
                    self.add(batch, number, offset as u64);
                    offset += length;
                }
                Frame::End => break,
                Frame::Torn => {
                    self.found.torn_bytes += (buf.len() - offset) as u64;
                    let offset = offset as u64;
                    let torn = TornFrame { path, offset, has_successor: false, resumed_at: None };
                    self.torn.push(torn);
                    break;
                }
                Frame::Corrupt(cause) => return Err(Error::Corrupt(path, offset as u64, cause)),
            }
        }
        self.found.tail_bytes = offset as u64;
        Ok(())
    }

    fn add(&mut self, batch: Batch, segment: u64, offset: u64) {
        self.found.frames += 1;
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        let first = batch.entries.first().map(|e| e.index);
        for torn in &mut self.torn {
            torn.has_successor = true;
            torn.resumed_at = torn.resumed_at.or(first);
        }
        if let Some(first) = first {
            let keep = self.places.partition_point(|place| place.first < first);
            self.places.truncate(keep);
            self.places.push(Place { first, segment, offset });
        }
        append_batch(&mut self.entries, batch.entries);
    }

    /// Keeps only the entries behind `snapshot`.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] if the log lacks something that may have been acknowledged.
    pub(crate) fn drop_covered(&mut self, dir: &Path, snapshot: &Snapshot) -> Result<(), Error> {
        if let Some(torn) = self.torn.iter().find(|torn| !torn.is_harmless(snapshot)) {
            let cause = "a frame is torn, but later segments exist".to_string();
            return Err(Error::Corrupt(torn.path.clone(), torn.offset, cause));
        }
        self.entries.retain(|e| e.index > snapshot.index);
        self.dropped_replaced = drop_replaced(&mut self.entries, snapshot);
        let expected = snapshot.index + 1..;
        let gap = expected.zip(&self.entries).find(|(index, entry)| *index != entry.index);
        if let Some((missing, entry)) = gap {
            return Err(self.gap(dir, snapshot, missing, entry.index));
        }
        let (last, commit) = (snapshot.index.max(self.last_index()), self.hard_state.commit);
        if commit > last {
            let cause = format!("the log ends with entry {last}, but {commit} was committed");
            return Err(Error::Corrupt(dir.to_path_buf(), 0, cause));
        }
        Ok(())
    }

    /// Encodes the log as it is to be written anew. The last frame repeats the one before it, so that
    /// damage to any that is needed has a frame behind it and does not pass for an interrupted write.
    pub(crate) fn to_frames(&self) -> impl Iterator<Item = Vec<u8>> + '_ {
        let end: [&[Entry]; 2] = [&[], &[]];
        let hard_state = Some(self.hard_state);
        let chunks = self.entries.chunks(REWRITTEN_FRAME_ENTRIES).chain(end);
        chunks.map(move |entries| frame::encode(&BatchRef { hard_state, entries }))
    }

    /// Index of the last entry, or 0 without entries.
    pub(crate) fn last_index(&self) -> Index {
        self.entries.last().map_or(0, |e| e.index)
    }

    fn gap(&self, dir: &Path, snapshot: &Snapshot, missing: Index, next: Index) -> Error {
        let place_of = |index| {
            let behind = self.places.partition_point(|place| place.first <= index);
            behind.checked_sub(1).map(|i| &self.places[i])
        };
        let before = place_of(missing - 1).filter(|_| missing > snapshot.index + 1);
        let before = before.map_or("the snapshot".to_string(), |place| {
            format!("{SEGMENT_PREFIX}{:012} at byte {}", place.segment, place.offset)
        });
        let cause = format!(
            "entry {missing} is missing: entry {next} comes here, after entry {} in {before}; the snapshot is at {}",
            missing - 1,
            snapshot.index
        );
        let (segment, offset) =
            place_of(next).map_or((0, 0), |place| (place.segment, place.offset));
        Error::Corrupt(segment_path(dir, segment), offset, cause)
    }
}

impl TornFrame {
    /// Whether the frame held nothing that was acted on, or nothing that `snapshot` does not cover:
    /// an open of the process after the write has synced a frame before it acts.
    fn is_harmless(&self, snapshot: &Snapshot) -> bool {
        !self.has_successor || self.resumed_at.is_some_and(|first| first <= snapshot.index + 1)
    }
}

/// Path of the segment `number` in the group's directory.
pub(crate) fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{SEGMENT_PREFIX}{number:012}"))
}

fn segment_numbers(files: &Files, dir: &Path) -> Result<Vec<u64>, Error> {
    let names = (files.list)(dir).map_err(Error::io(dir, "listing"))?;
    let digits = names.iter().filter_map(|name| name.strip_prefix(SEGMENT_PREFIX));
    let mut numbers: Vec<u64> = digits.filter_map(|d| d.parse().ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Adds the entries of a batch, after dropping existing entries from its first index on.
pub(crate) fn append_batch(entries: &mut Vec<Entry>, new: Vec<Entry>) {
    let Some(first) = new.first() else { return };
    let keep = entries.partition_point(|e| e.index < first.index);
    entries.truncate(keep);
    entries.extend(new);
}

/// Drops entries that a snapshot from the leader has replaced: terms never decrease along a log. They
/// are there if the process ended between the write of the snapshot and the removal of the old log.
/// Entries of a later term may stay: no majority has them. Returns whether any were dropped.
fn drop_replaced(entries: &mut Vec<Entry>, snapshot: &Snapshot) -> bool {
    let is_replaced = entries.first().is_some_and(|first| first.term < snapshot.term);
    if is_replaced {
        entries.clear();
    }
    is_replaced
}
