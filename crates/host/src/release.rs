//! The release in force at this host, and its distribution to hosts outside the cell group.

use crate::message::PeerMessage;
use std::collections::VecDeque;
use types::{Release, ReleaseNote, Version};

/// Recent notes kept for hosts that are a few versions behind. Hosts further behind get the whole
/// release.
const MAX_KEPT_NOTES: usize = 256;

/// The release in force. Its version only increases, unless `may_revert` is set by a test.
#[derive(Debug)]
pub(crate) struct ReleaseStore {
    current: Release,
    notes: VecDeque<(Version, ReleaseNote, String)>,
    may_revert: bool,
}

impl ReleaseStore {
    pub(crate) fn new(current: Release, may_revert: bool) -> ReleaseStore {
        ReleaseStore { current, notes: VecDeque::new(), may_revert }
    }

    pub(crate) fn current(&self) -> &Release {
        &self.current
    }

    /// Puts a release in force if it is newer. Returns whether it did.
    pub(crate) fn set(&mut self, release: &Release) -> bool {
        let newer = release.version > self.current.version;
        let replace = newer || (self.may_revert && release.version != self.current.version);
        if replace {
            self.current = release.clone();
        }
        replace
    }

    /// Stores an accepted note for other hosts.
    pub(crate) fn keep_note(&mut self, version: Version, note: ReleaseNote, digest: String) {
        if self.notes.back().is_some_and(|(last, ..)| *last >= version) {
            return;
        }
        self.notes.push_back((version, note, digest));
        if self.notes.len() > MAX_KEPT_NOTES {
            self.notes.pop_front();
        }
    }

    /// The message that brings a host from version `have` up to date, or `None` if it is current:
    /// the notes since then if all are still stored, else the whole release.
    pub(crate) fn update_for(&self, have: Version) -> Option<PeerMessage> {
        if have >= self.current.version {
            return None;
        }
        let missing: Vec<_> = self.notes.iter().filter(|(v, ..)| *v > have).cloned().collect();
        let complete = missing.first().is_some_and(|(v, ..)| *v == have + 1)
            && missing.last().is_some_and(|(v, ..)| *v == self.current.version);
        Some(if complete {
            PeerMessage::Notes(missing)
        } else {
            PeerMessage::Release(Box::new(self.current.clone()))
        })
    }

    /// Applies the notes that follow the release in force. Returns whether it changed.
    pub(crate) fn apply_notes(&mut self, notes: Vec<(Version, ReleaseNote, String)>) -> bool {
        let mut changed = false;
        for (version, note, digest) in notes {
            if version != self.current.version + 1 {
                continue;
            }
            // The note was accepted on top of this same release, so it applies here too.
            let Ok(next) = self.current.apply(&note, &digest) else { return changed };
            changed |= self.set(&next);
            self.keep_note(version, note, digest);
        }
        changed
    }
}
