//! All that an entry host hears, and all that it wants done.

use crate::call::{Answer, Call};
use crate::message::{GroupId, PeerMessage};
use consensus::Ready;
use routing::{AttemptResult, Class, Outcome};
use state::StoredAnswer;
use std::time::Duration;
use types::{ExchangeId, HostId, Refusal, Release, ServiceName, Timestamp, UpstreamId};

/// A caller's request for a service, as far as decisions need it; the body stays outside.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// The service.
    pub service: ServiceName,
    /// Whether somebody waits.
    pub class: Class,
    /// How long the caller waits; the service's timeout when absent or longer.
    pub timeout: Option<Duration>,
    /// The method promises to change nothing.
    pub is_safe: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Digest of the request; needed with a key.
    pub digest: String,
}

/// Something that an entry host hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A call.
    Call(ExchangeId, Call),
    /// A request for a service.
    Request(ExchangeId, ServiceRequest),
    /// An attempt has ended. The answer comes along where the request has a key.
    AttemptEnded {
        /// The request.
        exchange: ExchangeId,
        /// Which attempt.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
        /// The upstream's answer; `None` when it is too large to keep.
        answer: Option<StoredAnswer>,
    },
    /// Whoever asked is gone.
    Abandoned(ExchangeId),
    /// A message from another entry host.
    Peer(HostId, PeerMessage),
    /// The operator stops this process.
    Drain,
}

/// Something that an entry host wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a group's store, and make it last before anything else of this step is done.
    Persist(GroupId, Ready),
    /// Record that a group was formed, before anything else of this step is done.
    FormGroup(GroupId, consensus::Config),
    /// Keep this release, before anything else of this step is done.
    SaveRelease(Box<Release>),
    /// Send to another entry host. It may get lost.
    Send(HostId, PeerMessage),
    /// Answer a call.
    Answer(ExchangeId, Result<Answer, Refusal>),
    /// Send a request to an upstream.
    Forward {
        /// The request.
        exchange: ExchangeId,
        /// Which attempt.
        attempt: u32,
        /// The upstream.
        upstream: UpstreamId,
        /// When to give the attempt up.
        until: Timestamp,
        /// Whether the answer must come along with `AttemptEnded`.
        keep_answer: bool,
        /// Idle connections to the upstream that this host may keep.
        idle_connections: u32,
    },
    /// Give the caller the answer of the attempt that ended last.
    Deliver(ExchangeId),
    /// Give the caller an answer that was recorded before.
    Replay(ExchangeId, StoredAnswer),
    /// Tell the caller that there will be no answer.
    GiveUp {
        /// The request.
        exchange: ExchangeId,
        /// What is true of it.
        outcome: Outcome,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

impl Output {
    /// Whether it must be done, and last, before anything else of the same step.
    pub fn is_durable(&self) -> bool {
        matches!(self, Output::Persist(..) | Output::FormGroup(..) | Output::SaveRelease(_))
    }
}
