//! A leader's view of the replication to one member.

use crate::Index;
use types::Timestamp;

/// Replication progress of one other member, as known to the leader.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next: Index,
    /// Index of the last entry known to match; 0 before the first answer.
    pub(crate) matched: Index,
    /// Progress of the snapshot transfer, if one is under way.
    pub(crate) snapshot: Option<SnapshotProgress>,
    /// When the member last answered, initially when it was first tracked.
    pub(crate) last_response: Timestamp,
    /// Latest confirmation round that the member answered.
    pub(crate) round: u64,
    /// Round in which entries were last sent again. Rejections of earlier rounds answer appends that
    /// were sent before.
    pub(crate) resent_round: u64,
}

/// Progress of a snapshot transfer to one member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotProgress {
    /// Index of the last entry that the snapshot covers.
    pub(crate) index: Index,
    /// Offset of the next part, in bytes.
    pub(crate) offset: u64,
    /// When the part at `offset` was sent; `None` if it was not sent yet.
    pub(crate) sent: Option<Timestamp>,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Timestamp) -> Progress {
        Progress { next, matched: 0, snapshot: None, last_response: now, round: 0, resent_round: 0 }
    }
}
