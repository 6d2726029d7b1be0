//! Inputs and outputs of [`Host`](crate::Host).

use crate::call::{Answer, Call};
use crate::message::{GroupId, PeerMessage};
use consensus::Ready;
use routing::{AttemptResult, Class, Outcome};
use state::StoredAnswer;
use std::time::Duration;
use types::{ExchangeId, HostId, Refusal, Release, ServiceName, Timestamp, UpstreamId};

/// The parts of a caller's request that routing needs. The driver keeps the body.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRequest {
    /// Name of the requested service.
    pub service: ServiceName,
    /// Interactive if someone waits for the answer, else batch.
    pub class: Class,
    /// How long the caller waits. The service's timeout applies if this is absent or longer.
    pub timeout: Option<Duration>,
    /// Whether the HTTP method is safe, so that the request may be retried.
    pub is_safe: bool,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Digest of the request. Used only with a key, to detect a key reused for another request.
    pub digest: String,
}

/// An event that the driver passes to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A call arrived.
    Call(ExchangeId, Call),
    /// A request for a service arrived.
    Request(ExchangeId, ServiceRequest),
    /// An attempt to send a request to an upstream has ended.
    AttemptEnded {
        /// Id of the request.
        exchange: ExchangeId,
        /// Number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        result: AttemptResult,
        /// The upstream's answer, if `Forward::keep_answer` was set and it is not too large to
        /// store.
        answer: Option<StoredAnswer>,
    },
    /// The caller closed its connection.
    Abandoned(ExchangeId),
    /// A message from another entry host.
    Peer(HostId, PeerMessage),
    /// The operator began a planned stop of this process.
    Drain,
}

/// An effect that the driver carries out for a host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a group's store and sync it before any other output of this step.
    Persist(GroupId, Ready),
    /// Create a group's store with this first configuration, which is empty when the host joins an
    /// existing group. Sync it before any other output of this step.
    FormGroup(GroupId, consensus::Config),
    /// Store this release once the outputs before it are synced, and sync it before any later output
    /// of this step. The log must have the release by then: a host that keeps a release which its
    /// group has lost would serve what nobody has accepted.
    SaveRelease(Box<Release>),
    /// Send a message to another entry host. It may get lost.
    Send(HostId, PeerMessage),
    /// Answer a call.
    Answer(ExchangeId, Result<Answer, Refusal>),
    /// Send a request to an upstream.
    Forward {
        /// Id of the request.
        exchange: ExchangeId,
        /// Number of the attempt.
        attempt: u32,
        /// The upstream to send the request to.
        upstream: UpstreamId,
        /// Deadline of the attempt.
        until: Timestamp,
        /// Whether `AttemptEnded` must carry the answer, to be recorded under the request's key.
        keep_answer: bool,
        /// How many idle connections to the upstream this host may keep open.
        idle_connections: u32,
    },
    /// Send the caller the answer of the last attempt that ended.
    Deliver(ExchangeId),
    /// Send the caller an answer that was recorded earlier under its idempotency key.
    Replay(ExchangeId, StoredAnswer),
    /// Tell the caller that the request was given up.
    GiveUp {
        /// Id of the request.
        exchange: ExchangeId,
        /// Whether the request ran, as far as is known.
        outcome: Outcome,
        /// The reason, and when to retry.
        refusal: Refusal,
    },
}

impl Output {
    /// Whether the output must be carried out and synced before any other output of the same step.
    pub fn is_durable(&self) -> bool {
        matches!(self, Output::Persist(..) | Output::FormGroup(..) | Output::SaveRelease(_))
    }
}
