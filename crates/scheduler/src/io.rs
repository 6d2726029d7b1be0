//! Inputs of a [`Node`](crate::Node) and the outputs that its driver carries out.

use crate::call::{Answer, Call};
use crate::message::PeerMessage;
use consensus::{Config, Ready};
use dispatch::{Order, OrderAnswer};
use jobs::{Configuration, StepRef};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use types::{ExchangeId, Fence, HostId, Refusal, Timestamp, WorkerId};

/// An event that a node handles.
#[derive(Debug)]
pub enum Input {
    /// No event; lets timers expire.
    Tick,
    /// A call from a client of this host, with the time by which it must be answered.
    Call(ExchangeId, Call, Timestamp),
    /// The client of the call has gone; no answer is needed.
    Abandoned(ExchangeId),
    /// A message from another host.
    Peer(HostId, PeerMessage),
    /// Answer to [`Output::Order`] with the same number.
    OrderAnswered(u64, OrderAnswer),
    /// Answer to [`Output::Advise`] with the same number: workers that may run the step, with
    /// their tickets. `None` if the call failed.
    Advised(u64, Option<Vec<(WorkerId, String)>>),
    /// Replaces the hosts through which the group is found.
    Seeds(Vec<HostId>),
    /// The process is about to stop: transfer leadership and finish open calls.
    Drain,
}

/// An order to a worker with everything needed to send it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderEnvelope {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Address on which the worker takes orders.
    pub addr: String,
    /// Start time of the worker's life that the order is for, as the worker reported it.
    pub born: u64,
    /// What the worker is to do.
    pub order: Order,
    /// Fence of the leader for this life; the worker refuses orders with a lower one.
    pub fence: Fence,
    /// Payload of the job, passed to its tasks; only for a start.
    pub spec: Option<String>,
    /// Checkpoint to continue from; only for a start.
    pub saved: Option<String>,
    /// Ticket of the advice service; only for a start.
    pub ticket: Option<String>,
    /// Longest wait for the worker's answer.
    pub timeout: Duration,
}

/// An action that a node's driver must carry out.
#[derive(Debug)]
pub enum Output {
    /// Write these log entries, snapshot and hard state to disk, and sync them.
    Persist(Ready),
    /// Create the group's log on disk with these members, and sync it.
    FormGroup(Config),
    /// Send a message to another host.
    Send(HostId, PeerMessage),
    /// Answer a client's call.
    Answer(ExchangeId, Result<Answer, Refusal>),
    /// Send an order to a worker; its answer comes back as [`Input::OrderAnswered`] with this
    /// number.
    Order(u64, Box<OrderEnvelope>),
    /// Call the advice service; its answer comes back as [`Input::Advised`] with this number.
    Advise {
        /// Number that the answer must carry.
        number: u64,
        /// Step that needs workers.
        step: StepRef,
        /// Workers that the service is asked about.
        workers: Vec<WorkerId>,
        /// Longest wait for the answer.
        timeout: Duration,
    },
    /// This configuration is in force on this host from now on.
    Configured(Arc<Configuration>),
}

impl Output {
    /// Whether the output must be on disk before any other output of the same step is carried out.
    pub fn is_durable(&self) -> bool {
        matches!(self, Output::Persist(_) | Output::FormGroup(_))
    }
}
