//! What a node hears and what it wants done.

use crate::call::{Answer, Call};
use crate::message::PeerMessage;
use consensus::{Config, Ready};
use dispatch::{Order, OrderAnswer};
use jobs::{Configuration, StepRef};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use types::{ExchangeId, Fence, HostId, Refusal, Timestamp, WorkerId};

/// Something that a node hears.
#[derive(Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// A call from outside, to be answered by the deadline.
    Call(ExchangeId, Call, Timestamp),
    /// Nobody waits for the answer any more.
    Abandoned(ExchangeId),
    /// A message from another host.
    Peer(HostId, PeerMessage),
    /// The answer to an order.
    OrderAnswered(u64, OrderAnswer),
    /// The answer of the advice service, `None` when the call failed.
    Advised(u64, Option<Vec<(WorkerId, String)>>),
    /// Other hosts through which to find the group.
    Seeds(Vec<HostId>),
    /// The process is being stopped.
    Drain,
}

/// All that a carrier needs to send an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderEnvelope {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub addr: String,
    /// When the life began that is meant.
    pub born: u64,
    /// The order.
    pub order: Order,
    /// Fence of the leader for this life.
    pub fence: Fence,
    /// For a start, the text that the job's tasks get.
    pub spec: Option<String>,
    /// For a start, saved progress to go on from.
    pub saved: Option<String>,
    /// For a start, the ticket.
    pub ticket: Option<String>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}

/// Something that a node wants done.
#[derive(Debug)]
pub enum Output {
    /// Write and sync what the group's log needs.
    Persist(Ready),
    /// Record that the group was formed.
    FormGroup(Config),
    /// Send to another host.
    Send(HostId, PeerMessage),
    /// Answer a call from outside.
    Answer(ExchangeId, Result<Answer, Refusal>),
    /// Send an order to a worker; the answer comes back under this number.
    Order(u64, Box<OrderEnvelope>),
    /// Ask the advice service; the answer comes back under this number.
    Advise {
        /// Number of the call.
        number: u64,
        /// The step.
        step: StepRef,
        /// Workers to name.
        workers: Vec<WorkerId>,
        /// How long to wait.
        timeout: Duration,
    },
    /// This configuration is in force here.
    Configured(Arc<Configuration>),
}

impl Output {
    /// Whether it must be on disk before any other output of its step is done.
    pub fn is_durable(&self) -> bool {
        matches!(self, Output::Persist(_) | Output::FormGroup(_))
    }
}
