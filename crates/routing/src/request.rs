//! Requests, attempts and outcomes.

use std::time::Duration;
use types::{ExchangeId, ServiceName, Timestamp, UpstreamId};

/// Priority class of a request. Interactive requests are sent before batch requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A user waits for the answer.
    Interactive,
    /// No user waits; the request may be delayed behind interactive ones.
    Batch,
}

/// The properties of a caller's request that routing depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request and its answer within this process.
    pub exchange: ExchangeId,
    /// Name of the requested service.
    pub service: ServiceName,
    /// Decides the queue that the request waits in.
    pub class: Class,
    /// Whether the request may be retried although an upstream may have run it.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// Result of one attempt to have an upstream run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete answer has arrived.
    Answered {
        /// False for a server error (5xx), which counts as a failure of the upstream.
        good: bool,
    },
    /// The upstream replied that it did not start the request.
    Refused,
    /// No byte of the request left this host.
    NotSent,
    /// The upstream may have received part of the request, and no complete answer came back.
    Lost,
}

/// What is known, at the end of a request, about whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream ran it.
    Ran,
    /// No upstream ran it.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

impl Outcome {
    /// The outcome as written in the `ebonywalk-outcome` response header.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A step that the owner of the router must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Send {
        /// Id of the request.
        exchange: ExchangeId,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Address of the upstream, `ip:port`.
        upstream: UpstreamId,
        /// Time at which to abort the attempt.
        until: Timestamp,
    },
    /// Pass the answer of the attempt that just ended to the caller.
    Deliver {
        /// Id of the request.
        exchange: ExchangeId,
    },
    /// Fail the request: the caller gets an error instead of an answer.
    GiveUp {
        /// Id of the request.
        exchange: ExchangeId,
        /// Either [`Outcome::NotRun`] or [`Outcome::Unknown`].
        outcome: Outcome,
        /// The cause, as text for the caller.
        reason: String,
        /// How long the caller should wait before it sends the request again.
        retry_after: Duration,
    },
}
