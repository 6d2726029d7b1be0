//! The log in memory: a snapshot and the entries around and after it.

use crate::{Config, Entry, HardState, Index, Payload, Snapshot, Term};
use std::sync::Arc;

/// What a member finds on its disk when it starts.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Term, vote and commit.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, and perhaps some before it.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// A group that was just formed by the members of `config`.
    pub fn new_group(config: Config) -> Restored {
        Restored {
            hard_state: HardState::default(),
            snapshot: Snapshot { index: 0, term: 0, config, data: Arc::new(Vec::new()) },
            entries: Vec::new(),
        }
    }
}

/// A snapshot, the entries kept, and the members as of the last entry.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    /// Entries `first..=last`, without gaps.
    entries: Vec<Entry>,
    /// Index and term before the first kept entry.
    before: (Index, Term),
    config: Config,
    config_index: Index,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, mut entries: Vec<Entry>) -> Log {
        entries.retain(|e| e.index > snapshot.index);
        let before = (snapshot.index, snapshot.term);
        let mut log = Log { snapshot, entries, before, config: Config::default(), config_index: 0 };
        log.find_config();
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    /// Index of the entry that made the present config.
    pub(crate) fn config_index(&self) -> Index {
        self.config_index
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries.last().map_or(self.before.0, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.before.1, |e| e.term)
    }

    /// Index of the first entry that can still be read.
    pub(crate) fn first_index(&self) -> Index {
        self.before.0 + 1
    }

    /// Term of the entry at `index`, or `None` where it is not known any more or not yet.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.before.0 {
            return Some(self.before.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let i = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(i).ok()?)
    }

    /// Entries from `from` on, up to about `max_bytes`; at least one where there is one.
    pub(crate) fn read(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut out = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry_bytes(entry);
            if !out.is_empty() && bytes > max_bytes {
                break;
            }
            out.push(entry.clone());
            index += 1;
        }
        out
    }

    /// Puts `entry` at its index, dropping what stood there and after.
    pub(crate) fn put(&mut self, entry: Entry) {
        let keep = (entry.index - self.first_index()) as usize;
        debug_assert!(keep <= self.entries.len(), "the log has no gaps");
        let dropped_config = self.config_index >= entry.index;
        self.entries.truncate(keep);
        let is_config = matches!(entry.payload, Payload::Config(_));
        self.entries.push(entry);
        if dropped_config || is_config {
            self.find_config();
        }
    }

    /// Replaces everything by a snapshot from the leader.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let entries = match self.term_at(snapshot.index) {
            Some(term) if term == snapshot.term => std::mem::take(&mut self.entries),
            _ => Vec::new(),
        };
        *self = Log::new(snapshot, entries);
    }

    /// Takes a snapshot of the own state and drops all but `kept` entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, kept: u64) {
        let drop_to = snapshot.index.saturating_sub(kept);
        if let Some(term) = self.term_at(drop_to) {
            let first = self.first_index();
            if drop_to >= first {
                self.entries.drain(..(drop_to - first + 1) as usize);
                self.before = (drop_to, term);
            }
        }
        self.snapshot = snapshot;
    }

    /// The members as of `index`, which must not lie before the snapshot.
    pub(crate) fn config_at(&self, index: Index) -> Config {
        let newest = self.entries.iter().rev().filter(|e| e.index <= index).find_map(config_of);
        newest.map_or_else(|| self.snapshot.config.clone(), |(_, config)| config.clone())
    }

    fn find_config(&mut self) {
        let newest = self.entries.iter().rev().find_map(config_of);
        let (index, config) = newest.unwrap_or((self.snapshot.index, &self.snapshot.config));
        (self.config_index, self.config) = (index, config.clone());
    }
}

fn config_of(entry: &Entry) -> Option<(Index, &Config)> {
    match &entry.payload {
        Payload::Config(config) => Some((entry.index, config)),
        _ => None,
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    const OVERHEAD_BYTES: usize = 24;
    OVERHEAD_BYTES + if let Payload::Command(data) = &entry.payload { data.len() } else { 0 }
}
