//! A replicated group at this host: its log, its state machine, and its pending commands and reads.

use crate::call::{Answer, Heartbeat};
use crate::leader::ZoneLeader;
use crate::message::GroupId;
use crate::origin::Origin;
use consensus::{Index, Raft, Term};
use serde::{de::DeserializeOwned, Serialize};
use state::{CellCommand, CellState, Reply, ZoneCommand, ZoneState};
use types::{HostId, MemberId, Refusal, RefusalKind, SortedMap, Timestamp};

/// The replicated state of a group, to which committed commands are applied.
#[derive(Debug)]
pub(crate) enum StateMachine {
    Cell(Box<CellState>),
    Zone(Box<ZoneState>),
}

impl StateMachine {
    pub(crate) fn new(id: &GroupId, data: &[u8], bug: state::InjectedBug) -> StateMachine {
        match id {
            GroupId::Cell => StateMachine::Cell(Box::new(decode_or_default(data))),
            GroupId::Zone(_) => {
                let mut zone: ZoneState = decode_or_default(data);
                zone.inject_bug(bug);
                StateMachine::Zone(Box::new(zone))
            }
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            StateMachine::Cell(cell) => encode(cell),
            StateMachine::Zone(zone) => encode(zone),
        }
    }
}

/// Encoding of the last part of a zone's state if no losses of workers are known.
const NO_LOSSES: [u8; 2] = [0, 0];

fn decode_or_default<T>(data: &[u8]) -> T
where
    T: DeserializeOwned + Default,
{
    if data.is_empty() {
        return T::default();
    }
    let decoded = postcard::from_bytes(data);
    // Snapshots of earlier releases lack the last part of a zone's state, which was empty.
    let extended = || postcard::from_bytes(&[data, NO_LOSSES.as_slice()].concat());
    decoded.or_else(|_| extended()).expect("snapshots are written by this program")
}

pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_stdvec(value).expect("plain data encodes without error")
}

/// What to do once a command has been applied.
#[derive(Debug)]
pub(crate) enum Completion {
    /// Answer the caller.
    Answer(Origin),
    /// Finish a worker's heartbeat.
    Heartbeat(Box<Heartbeat>, Origin),
    /// Answer a worker's registration.
    Registered(types::WorkerId, Origin),
    /// Record that the plan in flight has been applied.
    Planned,
    /// Record that the adoption of a release has been applied.
    Adopted,
    /// Nothing: no caller waits.
    Nothing,
}

/// A proposed command that has not been applied yet.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    pub(crate) term: Term,
    pub(crate) since: Timestamp,
    pub(crate) completion: Completion,
}

/// A read that waits for a round of messages to confirm that this host still leads.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) round: u64,
    pub(crate) since: Timestamp,
    pub(crate) read: Read,
}

/// What to do once a round has confirmed that this host still leads.
#[derive(Debug)]
pub(crate) enum Read {
    /// Answer the call from the state at that time.
    Answer(Origin, crate::call::GroupCall),
    /// Renew a worker's lease.
    Heartbeat(Box<Heartbeat>, Origin),
}

/// A group of which this host is a member.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) raft: Raft,
    pub(crate) machine: StateMachine,
    pub(crate) pending_commands: SortedMap<Index, PendingCommand>,
    pub(crate) pending_reads: Vec<PendingRead>,
    /// Reads that arrived since the last round began, with their arrival times.
    pub(crate) new_reads: Vec<(Timestamp, Read)>,
    /// State kept only while this host leads a zone's group and has committed an entry in its term.
    pub(crate) leader: Option<Box<ZoneLeader>>,
    /// Hosts of members that sent messages but are not in the configuration yet.
    pub(crate) sender_hosts: SortedMap<MemberId, HostId>,
    /// The term for which `leader` was last updated, or `None` if this host did not lead then.
    pub(crate) led_term: Option<Term>,
}

impl Group {
    pub(crate) fn new(id: GroupId, raft: Raft, bug: state::InjectedBug) -> Group {
        let machine = StateMachine::new(&id, &raft.snapshot().data, bug);
        Group {
            id,
            raft,
            machine,
            pending_commands: SortedMap::default(),
            pending_reads: Vec::new(),
            new_reads: Vec::new(),
            leader: None,
            sender_hosts: SortedMap::default(),
            led_term: None,
        }
    }

    pub(crate) fn zone(&self) -> Option<&ZoneState> {
        match &self.machine {
            StateMachine::Zone(zone) => Some(zone),
            StateMachine::Cell(_) => None,
        }
    }

    /// Proposes a command of a zone. Returns the completion if the log refuses the command.
    pub(crate) fn propose_zone(
        &mut self,
        now: Timestamp,
        command: &ZoneCommand,
        completion: Completion,
    ) -> Result<Index, Completion> {
        self.propose(now, encode(command), completion)
    }

    /// Proposes a command of the cell. Returns the completion if the log refuses the command.
    pub(crate) fn propose_cell(
        &mut self,
        now: Timestamp,
        command: &CellCommand,
        completion: Completion,
    ) -> Result<Index, Completion> {
        self.propose(now, encode(command), completion)
    }

    fn propose(
        &mut self,
        now: Timestamp,
        data: Vec<u8>,
        completion: Completion,
    ) -> Result<Index, Completion> {
        match self.raft.propose(now, data) {
            Ok(index) => {
                let pending = PendingCommand { term: self.raft.term(), since: now, completion };
                self.pending_commands.insert(index, pending);
                Ok(index)
            }
            Err(_) => Err(completion),
        }
    }
}

/// The refusal of a command that may still take effect.
pub(crate) fn outcome_unknown() -> Refusal {
    let message = "the leader changed before the answer; send the same request again to find out";
    Refusal::new(RefusalKind::Unknown, message).retry_after(std::time::Duration::from_secs(1))
}

/// The refusal of a call that was certainly not carried out, because no leader accepted it. A later
/// retry may succeed.
pub(crate) fn unavailable(group: &GroupId) -> Refusal {
    let message = format!("group {group} has no leader that can be reached; nothing was done");
    Refusal::new(RefusalKind::Unavailable, message).retry_after(std::time::Duration::from_secs(1))
}

/// Converts a reply of the state machine to the answer to the call.
pub(crate) fn answer_of(reply: Reply) -> Result<Answer, Refusal> {
    match reply {
        Reply::Done | Reply::Job(_) | Reply::Placed(_) => Ok(Answer::Done),
        Reply::Record(answer) => Ok(Answer::Record(answer)),
        Reply::Refused(refusal) => Err(refusal),
    }
}
