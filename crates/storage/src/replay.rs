//! Reading back the log of a group from its segments.

use crate::frame::{self, Frame};
use crate::{Error, Files};
use consensus::{Entry, HardState, Index, Snapshot};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

const SEGMENT_PREFIX: &str = "log-";

/// The contents of one log frame, which is written at once.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Batch {
    pub(crate) hard_state: Option<HardState>,
    pub(crate) entries: Vec<Entry>,
}

/// A segment that is no longer written to.
pub(crate) struct ClosedSegment {
    pub(crate) number: u64,
    /// Highest index of an entry in the segment, or 0 without entries.
    pub(crate) last_index: Index,
}

/// What an open found of a group's log.
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
    /// Bytes of an interrupted write at the end of the last segment, which were cut off.
    pub torn_bytes: u64,
}

/// The log as its segments hold it.
#[derive(Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    pub(crate) segments: Vec<ClosedSegment>,
    pub(crate) found: Found,
    /// The frames that have entries.
    places: Vec<Place>,
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
        let mut replay = Replay::default();
        let numbers = segment_numbers(files, dir)?;
        for (i, number) in numbers.iter().enumerate() {
            let is_last = i + 1 == numbers.len();
            replay.read_segment(files, dir, *number, is_last)?;
        }
        replay.found.segments = numbers.len();
        replay.found.last_index = replay.entries.last().map_or(0, |e| e.index);
        Ok(replay)
    }

    /// Reads the frames of a segment. Truncates a torn frame at the end of the last one.
    fn read_segment(
        &mut self,
        files: &Files,
        dir: &Path,
        number: u64,
        is_last: bool,
    ) -> Result<(), Error> {
        let path = segment_path(dir, number);
        let buf = (files.read)(&path).map_err(Error::io(&path, "reading the segment"))?;
        let buf = buf.unwrap_or_default();
        let mut last_index = 0;
        let mut offset = 0;
        loop {
            match frame::decode(&buf[offset..]) {
                Frame::Complete(batch, length) => {
                    last_index = last_index.max(self.add(batch, number, offset as u64));
                    offset += length;
                }
                Frame::End => break,
                Frame::Torn if is_last => {
                    let cut = (files.truncate)(&path, offset as u64);
                    cut.map_err(Error::io(&path, "truncating the torn frame"))?;
                    self.found.torn_bytes = (buf.len() - offset) as u64;
                    break;
                }
                Frame::Torn => {
                    let cause = "a frame is torn, but later segments exist".to_string();
                    return Err(Error::Corrupt(path, offset as u64, cause));
                }
                Frame::Corrupt(cause) => return Err(Error::Corrupt(path, offset as u64, cause)),
            }
        }
        self.found.tail_bytes = offset as u64;
        self.segments.push(ClosedSegment { number, last_index });
        Ok(())
    }

    /// Adds a frame. Returns the index of its last entry, or 0 without entries.
    fn add(&mut self, batch: Batch, segment: u64, offset: u64) -> Index {
        self.found.frames += 1;
        self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        if let Some(first) = batch.entries.first() {
            let keep = self.places.partition_point(|place| place.first < first.index);
            self.places.truncate(keep);
            self.places.push(Place { first: first.index, segment, offset });
        }
        let last_index = batch.entries.last().map_or(0, |e| e.index);
        append_batch(&mut self.entries, batch.entries);
        last_index
    }

    /// Keeps only the entries behind `snapshot`. Fails if they don't follow it without a gap.
    pub(crate) fn drop_covered(&mut self, dir: &Path, snapshot: &Snapshot) -> Result<(), Error> {
        self.entries.retain(|e| e.index > snapshot.index);
        drop_replaced(&mut self.entries, snapshot);
        let expected = snapshot.index + 1..;
        match expected.zip(&self.entries).find(|(index, entry)| *index != entry.index) {
            Some((missing, entry)) => Err(self.gap(dir, snapshot, missing, entry.index)),
            None => Ok(()),
        }
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
/// are there if the process ended between the write of the snapshot and that of the new segment.
fn drop_replaced(entries: &mut Vec<Entry>, snapshot: &Snapshot) {
    if entries.first().is_some_and(|first| first.term < snapshot.term) {
        entries.clear();
    }
}
