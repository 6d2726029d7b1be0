//! Messages between hosts.

use crate::call::{Answer, Call};
use crate::capacity_reports::CapacityReport;
use crate::config_changes::ConfigurationPart;
use crate::io::OrderEnvelope;
use consensus::{Config, Entry, Envelope, Message, Payload, Term};
use dispatch::OrderAnswer;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{HostId, MemberId, Refusal, Timestamp, Version, WorkerId, ZoneName};

/// Version of the protocol between hosts, exchanged when a connection opens.
pub const PROTOCOL_VERSION: u32 = 9;

/// Heartbeat that a host sends to the leader, or to all known members and seeds while it knows no
/// leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Random number that identifies the sender's process.
    pub process: MemberId,
    /// Version of the configuration in force on the sender.
    pub version: Version,
    /// When the sender sent this heartbeat, by its own clock.
    pub sent_at: Timestamp,
    /// Whether the sender is about to stop.
    pub draining: bool,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Reports of workers that the sender has got since its last heartbeat to the leader.
    pub capacities: Vec<CapacityReport>,
}

/// Tells a host since when its leader certainly had no newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Process that sent the heartbeat, as in [`HostHeartbeat::process`].
    pub process: MemberId,
    /// When it sent the heartbeat, as in [`HostHeartbeat::sent_at`].
    pub asked_at: Timestamp,
    /// Time since which the leader can't rule out that it was deposed.
    pub leader_age: Duration,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the group's consensus protocol.
    Raft(Envelope),
    /// Heartbeat of a host.
    Heartbeat(HostHeartbeat),
    /// Answer to a heartbeat: the leader and the members as the sender knows them.
    HeartbeatResponse {
        /// Term and host of the leader.
        leader: Option<(Term, HostId)>,
        /// Hosts of the group's members.
        members: Vec<HostId>,
        /// Members that answer the sender, if it leads; the others get no reads.
        responsive: Vec<HostId>,
        /// Whether the sender leads and has applied everything that earlier leaders committed.
        leads: bool,
        /// Version of the configuration in the sender's replicated state.
        version: Version,
        /// Confirms that version, if the sender leads.
        confirmation: Option<Box<Confirmation>>,
    },
    /// A part of what the receiver lacks of the configuration in force.
    Configuration(Box<ConfigurationPart>),
    /// The sender's data directory holds nothing of the group.
    EmptyStore {
        /// Identity of the data directory.
        member: MemberId,
        /// Whether the sender takes part in the first start of the cell.
        bootstrap: bool,
    },
    /// The sender, with this identity, has the group's log but hears no leader.
    SeekLeader(MemberId),
    /// The group was formed with these members.
    FormGroup(Config),
    /// The receiver is already a member: it starts with an empty log and gets the rest from the
    /// leader.
    JoinGroup,
    /// A call that the sender forwards to the leader or, for reads, to a follower.
    Call {
        /// The sender's number of the call.
        id: u64,
        /// The call to serve.
        call: Box<Call>,
    },
    /// Answer to a forwarded call.
    Answer {
        /// Number of the call, as in [`PeerMessage::Call`].
        id: u64,
        /// Answer or refusal of the host that served the call.
        answer: Box<Result<Answer, Refusal>>,
    },
    /// The sender of this message got a call but is not the leader.
    NotLeader {
        /// Number of the call, as in [`PeerMessage::Call`].
        id: u64,
        /// Host of the leader, if known.
        leader: Option<HostId>,
    },
    /// The leader asks the receiver to send an order to a worker.
    Order {
        /// The leader's number of the order.
        number: u64,
        /// The order with the worker's address.
        envelope: Box<OrderEnvelope>,
    },
    /// Answer to [`PeerMessage::Order`].
    OrderAnswered {
        /// Number of the order.
        number: u64,
        /// Answer of the worker, or its silence.
        answer: OrderAnswer,
    },
    /// The leader asks the receiver to call the advice service.
    Advise {
        /// The leader's number of the call.
        number: u64,
        /// Step that needs workers; the service knows the step by this reference.
        step: jobs::StepRef,
        /// Workers that the service is asked about.
        workers: Vec<WorkerId>,
        /// Longest wait for the answer of the service.
        timeout: Duration,
    },
    /// Answer to [`PeerMessage::Advise`].
    Advised {
        /// Number of the call.
        number: u64,
        /// Workers that may run the step, with their tickets; `None` if the call failed.
        tickets: Option<Vec<(WorkerId, String)>>,
    },
}

impl PeerMessage {
    /// Whether the message yields to others on the link.
    pub fn is_bulk(&self) -> bool {
        matches!(self, PeerMessage::Configuration(_))
    }

    /// Name of the kind of message in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Raft(_) => "log",
            PeerMessage::Heartbeat(_) | PeerMessage::HeartbeatResponse { .. } => "heartbeat",
            PeerMessage::Configuration(_) => "configuration",
            PeerMessage::EmptyStore { .. }
            | PeerMessage::SeekLeader(_)
            | PeerMessage::FormGroup(_)
            | PeerMessage::JoinGroup => "membership",
            PeerMessage::Call { .. }
            | PeerMessage::Answer { .. }
            | PeerMessage::NotLeader { .. } => "call",
            PeerMessage::Order { .. } | PeerMessage::OrderAnswered { .. } => "order",
            PeerMessage::Advise { .. } | PeerMessage::Advised { .. } => "advice",
        }
    }

    /// Approximate memory in bytes that the message takes while it is queued for sending.
    pub fn approx_size(&self) -> usize {
        const BASE: usize = 256;
        BASE + match self {
            PeerMessage::Raft(envelope) => match &envelope.message {
                Message::Append { entries, .. } => entries.iter().map(approx_entry_size).sum(),
                Message::Install { data, .. } => data.len(),
                _ => 0,
            },
            PeerMessage::Configuration(part) => part.approx_size(),
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

fn approx_entry_size(entry: &Entry) -> usize {
    const BASE: usize = 64;
    BASE + if let Payload::Command(data) = &entry.payload { data.len() } else { 0 }
}
