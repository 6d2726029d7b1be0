//! Requests, attempts and outcomes.

use std::time::Duration;
use types::{ExchangeId, ServiceName, Timestamp, UpstreamId};

/// How long a caller is ready to wait behind others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// Nobody does; it may wait its turn.
    Batch,
}

/// A caller's request, as far as routing needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The exchange that it came in.
    pub exchange: ExchangeId,
    /// The service asked for.
    pub service: ServiceName,
    /// Its class.
    pub class: Class,
    /// Whether it may be sent again when it may have run.
    pub idempotent: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// What became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The whole answer is there. False when the upstream says that it failed (5xx).
    Answered {
        /// Whether it counts as the upstream's success.
        good: bool,
    },
    /// The upstream said that it did not start the request.
    Refused,
    /// No byte of the request left this host.
    NotSent,
    /// Some of it may have arrived and no whole answer came back.
    Lost,
}

/// What is true of a request that has ended.
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
    /// The outcome as it stands in the header of an answer.
    pub fn as_str(&self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// What the owner of the router must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Send {
        /// The request.
        exchange: ExchangeId,
        /// Which attempt this is, counted from 1.
        attempt: u32,
        /// The upstream.
        upstream: UpstreamId,
        /// When to give the attempt up.
        until: Timestamp,
    },
    /// Give the caller the answer of the attempt that just ended.
    Deliver {
        /// The request.
        exchange: ExchangeId,
    },
    /// Tell the caller now that there will be no answer.
    GiveUp {
        /// The request.
        exchange: ExchangeId,
        /// What is true of it: not run, or unknown.
        outcome: Outcome,
        /// Why, in words.
        reason: String,
        /// When to come back.
        retry_after: Duration,
    },
}
