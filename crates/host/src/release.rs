//! The release in force at this host, and how hosts that don't vote learn of it.

use crate::message::PeerMessage;
use std::collections::VecDeque;
use types::{Release, ReleaseNote, Version};

/// Notes kept for hosts that are a little behind.
const MAX_KEPT_NOTES: usize = 256;

/// The release in force, which only ever gets newer.
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

    /// Puts a release in force. True when it is newer than the one before.
    pub(crate) fn set(&mut self, release: &Release) -> bool {
        let newer = release.version > self.current.version;
        let replace = newer || (self.may_revert && release.version != self.current.version);
        if replace {
            self.current = release.clone();
        }
        replace
    }

    /// Keeps an accepted note for others.
    pub(crate) fn keep_note(&mut self, version: Version, note: ReleaseNote, digest: String) {
        if self.notes.back().is_some_and(|(last, ..)| *last >= version) {
            return;
        }
        self.notes.push_back((version, note, digest));
        if self.notes.len() > MAX_KEPT_NOTES {
            self.notes.pop_front();
        }
    }

    /// What a host that has version `have` needs.
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

    /// Applies notes that follow the release in force. True when it changed.
    pub(crate) fn apply_notes(&mut self, notes: Vec<(Version, ReleaseNote, String)>) -> bool {
        let mut changed = false;
        for (version, note, digest) in notes {
            if version != self.current.version + 1 {
                continue;
            }
            // The note was accepted on this same release, so it applies.
            let Ok(next) = self.current.apply(&note, &digest) else { return changed };
            changed |= self.set(&next);
            self.keep_note(version, note, digest);
        }
        changed
    }
}
