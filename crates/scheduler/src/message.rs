//! What hosts say to each other.

use crate::call::{Answer, Call};
use crate::io::OrderEnvelope;
use consensus::{Config, Entry, Envelope, Message, Payload, Term};
use dispatch::OrderAnswer;
use jobs::Configuration;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use types::{HostId, MemberId, Refusal, Version, WorkerId, ZoneName};

/// Version of the protocol between hosts, exchanged when a connection opens.
pub const PROTOCOL_VERSION: u32 = 2;

/// How a host says that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Random number of the process.
    pub process: MemberId,
    /// Version of the configuration that it has.
    pub version: Version,
    /// It is being stopped.
    pub draining: bool,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For the group's log.
    Raft(Envelope),
    /// The sender is there.
    Heartbeat(HostHeartbeat),
    /// Answer to a heartbeat: who leads and who belongs to the group, as the sender knows.
    HeartbeatResponse {
        /// Term and host of the leader.
        leader: Option<(Term, HostId)>,
        /// Hosts of the members.
        members: Vec<HostId>,
        /// The sender leads and has confirmed it lately.
        leads: bool,
        /// Version of the configuration in force.
        version: Version,
    },
    /// A configuration in force.
    Configuration(Arc<Configuration>),
    /// The sender's folder, with this identity, knows nothing of the group. `bootstrap` is set when the whole
    /// cell starts for the first time.
    EmptyStore {
        /// Identity of the folder.
        member: MemberId,
        /// The cell starts for the first time.
        bootstrap: bool,
    },
    /// The sender's folder has the group's log, and no leader writes to it.
    SeekLeader(MemberId),
    /// The group is formed by these members.
    FormGroup(Config),
    /// The receiver's folder is a member of the group: start empty and be told.
    JoinGroup,
    /// A call for the leader.
    Call {
        /// The sender's number for it.
        id: u64,
        /// The call.
        call: Box<Call>,
    },
    /// The answer to a call.
    Answer {
        /// The number of the call.
        id: u64,
        /// The answer.
        answer: Box<Result<Answer, Refusal>>,
    },
    /// The receiver of the call does not lead.
    NotLeader {
        /// The number of the call.
        id: u64,
        /// Who does, where known.
        leader: Option<HostId>,
    },
    /// Send this order to its worker, please.
    Order {
        /// The sender's number for it.
        number: u64,
        /// The order.
        envelope: Box<OrderEnvelope>,
    },
    /// The answer to an order.
    OrderAnswered {
        /// The number of the order.
        number: u64,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Ask the advice service, please.
    Advise {
        /// The sender's number for it.
        number: u64,
        /// The step, by the name that the service knows.
        step: jobs::StepRef,
        /// Workers to name.
        workers: Vec<WorkerId>,
        /// How long it may take.
        timeout: Duration,
    },
    /// What the advice service said.
    Advised {
        /// The number of the call.
        number: u64,
        /// Workers that may run the step, with their tickets; `None` when the call failed.
        tickets: Option<Vec<(WorkerId, String)>>,
    },
}

impl PeerMessage {
    /// About how much memory it takes while it waits to be sent, in bytes.
    pub fn approx_size(&self) -> usize {
        const BASE: usize = 256;
        BASE + match self {
            PeerMessage::Raft(envelope) => match &envelope.message {
                Message::Append { entries, .. } => entries.iter().map(entry_weight).sum(),
                Message::Install { data, .. } => data.len(),
                _ => 0,
            },
            PeerMessage::Configuration(configuration) => configuration.document.len() * 2,
            PeerMessage::Order { envelope, .. } => envelope.spec.as_ref().map_or(0, String::len),
            PeerMessage::Call { call, .. } => match &**call {
                Call::Submit { request, .. } => request.spec.len(),
                Call::Configure(configuration) => configuration.document.len() * 2,
                _ => 0,
            },
            _ => 0,
        }
    }
}

fn entry_weight(entry: &Entry) -> usize {
    const BASE: usize = 64;
    BASE + if let Payload::Command(data) = &entry.payload { data.len() } else { 0 }
}
