//! What a leader knows of one other member.

use crate::Index;
use types::Timestamp;

/// What a leader knows of one other member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Next entry to send.
    pub(crate) next: Index,
    /// Last entry known to match.
    pub(crate) matched: Index,
    /// Next byte of the snapshot being sent, when one is.
    pub(crate) snapshot: Option<SnapshotProgress>,
    /// When the member last answered.
    pub(crate) heard: Timestamp,
    /// Last confirmation round it answered.
    pub(crate) round: u64,
}

/// How far a snapshot has been sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotProgress {
    pub(crate) index: Index,
    pub(crate) offset: u64,
    /// When the part at `offset` was sent, once it was.
    pub(crate) sent: Option<Timestamp>,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Timestamp) -> Progress {
        Progress { next, matched: 0, snapshot: None, heard: now, round: 0 }
    }
}
