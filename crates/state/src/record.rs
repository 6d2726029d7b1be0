//! Idempotency records, which let a request with an idempotency key run at most once.

use serde::{Deserialize, Serialize};
use types::{ExchangeId, HostId, MemberId, Timestamp};

/// The only exchange that may send a given request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The entry host that handles the exchange.
    pub host: HostId,
    /// Random number that identifies the entry host's process.
    pub process: MemberId,
    /// Id of the exchange within that process.
    pub exchange: ExchangeId,
}

/// An upstream's answer, stored so that it can be replayed to a resent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOutcome {
    /// The request ran and got this answer.
    Answered(StoredAnswer),
    /// The request ran; its answer was too large to store.
    Ran,
    /// The request may have run; its outcome was lost for good.
    Unknown,
}

/// The progress of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordPhase {
    /// The owner may have sent the request.
    Begun,
    /// The outcome is final and the request is not sent again.
    Finished(StoredOutcome),
}

/// The record of one request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request.
    pub digest: String,
    /// The exchange that may send the request.
    pub owner: Owner,
    /// The progress of the request.
    pub phase: RecordPhase,
    /// When the record was created or, once finished, when the outcome was stored.
    pub at: Timestamp,
}

/// The answer to a host that wants to send a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordAnswer {
    /// The caller owns the record and may send the request.
    Acquired,
    /// This other owner began the request at this time and has not finished.
    InProgress(Owner, Timestamp),
    /// The request is finished with this outcome; do not send it.
    Finished(StoredOutcome),
}
