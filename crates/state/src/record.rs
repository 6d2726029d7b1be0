//! Idempotency records: what became of requests that must run at most once.

use serde::{Deserialize, Serialize};
use types::{ExchangeId, HostId, MemberId, Timestamp};

/// The one exchange that may send a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The entry host.
    pub host: HostId,
    /// Random number of the entry host's process.
    pub process: MemberId,
    /// The exchange in that process.
    pub exchange: ExchangeId,
}

/// An upstream's answer, kept for whoever sends the request again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The answer's content type.
    pub content_type: String,
    /// The answer's body.
    pub body: Vec<u8>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOutcome {
    /// It ran, with this answer.
    Answered(StoredAnswer),
    /// It ran; its answer was too large to keep.
    Ran,
    /// It may have run; nobody will ever know.
    Unknown,
}

/// How far a request got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// Its owner may have sent it.
    Begun,
    /// It will not be sent again.
    Finished(StoredOutcome),
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request.
    pub digest: String,
    /// Who may send it.
    pub owner: Owner,
    /// How far it got.
    pub phase: RecordPhase,
    /// When it was begun.
    pub at: Timestamp,
}

/// What a host that wants to send a request hears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordAnswer {
    /// Send it.
    Acquired,
    /// Somebody else may have sent it and has not finished; since when.
    InProgress(Owner, Timestamp),
    /// Answer with this.
    Finished(StoredOutcome),
}
