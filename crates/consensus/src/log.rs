//! The in-memory log: the latest snapshot and the entries around and after it.

use crate::{Config, Entry, HardState, Index, Payload, Snapshot, Term};
use std::sync::Arc;

/// The persistent state that a member reads from disk at start.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, possibly preceded by entries that it covers.
    pub entries: Vec<Entry>,
}

impl Restored {
    /// The state of a new group with the members of `config` and an empty log.
    pub fn new_group(config: Config) -> Restored {
        Restored {
            hard_state: HardState::default(),
            snapshot: Snapshot { index: 0, term: 0, config, data: Arc::new(Vec::new()) },
            entries: Vec::new(),
        }
    }
}

/// The latest snapshot, the retained entries, and the configuration as of the last entry.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    /// Entries `first_index()..=last_index()`, without gaps.
    entries: Vec<Entry>,
    /// Index and term of the entry before the first retained one.
    prev: (Index, Term),
    config: Config,
    config_index: Index,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, mut entries: Vec<Entry>) -> Log {
        entries.retain(|e| e.index > snapshot.index);
        let prev = (snapshot.index, snapshot.term);
        let mut log = Log { snapshot, entries, prev, config: Config::default(), config_index: 0 };
        log.update_config();
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    /// Index of the entry that set the current configuration.
    pub(crate) fn config_index(&self) -> Index {
        self.config_index
    }

    pub(crate) fn last_index(&self) -> Index {
        self.entries.last().map_or(self.prev.0, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.prev.1, |e| e.term)
    }

    /// Index of the first entry that can still be read.
    pub(crate) fn first_index(&self) -> Index {
        self.prev.0 + 1
    }

    /// Term of the entry at `index`, or `None` if that entry was compacted or does not exist yet.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.prev.0 {
            return Some(self.prev.1);
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

    /// Entries from index `from` on, up to about `max_bytes`, but at least one if any exists.
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

    /// Stores `entry` at its index and drops existing entries from that index on.
    pub(crate) fn put(&mut self, entry: Entry) {
        let keep = (entry.index - self.first_index()) as usize;
        debug_assert!(keep <= self.entries.len(), "the log has no gaps");
        let dropped_config = self.config_index >= entry.index;
        self.entries.truncate(keep);
        let is_config = matches!(entry.payload, Payload::Config(_));
        self.entries.push(entry);
        if dropped_config || is_config {
            self.update_config();
        }
    }

    /// Installs a snapshot from the leader. Keeps the entries after it if the log has the
    /// snapshot's last entry, and drops all entries otherwise.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let entries = match self.term_at(snapshot.index) {
            Some(term) if term == snapshot.term => std::mem::take(&mut self.entries),
            _ => Vec::new(),
        };
        *self = Log::new(snapshot, entries);
    }

    /// Stores a snapshot of the member's own state and drops all but the last entries that it covers:
    /// at most `kept`, of `kept_bytes` together.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, kept: u64, kept_bytes: usize) {
        let mut drop_to = snapshot.index;
        let mut bytes = 0;
        while drop_to > snapshot.index.saturating_sub(kept) {
            bytes += self.get(drop_to).map_or(0, entry_bytes);
            if bytes > kept_bytes {
                break;
            }
            drop_to -= 1;
        }
        if let Some(term) = self.term_at(drop_to) {
            let first = self.first_index();
            if drop_to >= first {
                self.entries.drain(..(drop_to - first + 1) as usize);
                self.prev = (drop_to, term);
            }
        }
        self.snapshot = snapshot;
    }

    /// The configuration as of `index`, which must not be before the snapshot.
    pub(crate) fn config_at(&self, index: Index) -> Config {
        let newest = self.entries.iter().rev().filter(|e| e.index <= index).find_map(config_of);
        newest.map_or_else(|| self.snapshot.config.clone(), |(_, config)| config.clone())
    }

    fn update_config(&mut self) {
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
    /// Counted for each entry in addition to the bytes of its command.
    const OVERHEAD_BYTES: usize = 24;
    OVERHEAD_BYTES + if let Payload::Command(data) = &entry.payload { data.len() } else { 0 }
}
