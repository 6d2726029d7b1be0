//! One replicated group at this host: its log, its state, and who waits for what.

use crate::call::{Answer, Heartbeat};
use crate::leader::ZoneLeader;
use crate::message::GroupId;
use crate::origin::Origin;
use consensus::{Index, Raft, Term};
use serde::{de::DeserializeOwned, Serialize};
use state::{CellCommand, CellState, Reply, ZoneCommand, ZoneState};
use types::{HostId, MemberId, Refusal, RefusalKind, SortedMap, Timestamp};

/// The replicated state of a group.
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

fn decode_or_default<T>(data: &[u8]) -> T
where
    T: DeserializeOwned + Default,
{
    if data.is_empty() {
        return T::default();
    }
    postcard::from_bytes(data).expect("a snapshot holds what this program wrote")
}

pub(crate) fn encode<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    postcard::to_stdvec(value).expect("plain data always encodes")
}

/// What to do with the reply to a command.
#[derive(Debug)]
pub(crate) enum Completion {
    /// Answer whoever asked.
    Answer(Origin),
    /// Go on with a worker's heartbeat.
    Heartbeat(Box<Heartbeat>, Origin),
    /// A worker's registration.
    Registered(types::WorkerId, Origin),
    /// The planner's own command.
    Planned,
    /// The adoption of a release.
    Adopted,
    /// Nobody waits.
    Nothing,
}

/// Someone who waits for an entry to be committed.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    pub(crate) term: Term,
    pub(crate) since: Timestamp,
    pub(crate) completion: Completion,
}

/// Someone who waits until it is confirmed that this host leads.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) round: u64,
    pub(crate) since: Timestamp,
    pub(crate) read: Read,
}

/// What to do once it is confirmed that this host leads.
#[derive(Debug)]
pub(crate) enum Read {
    /// Answer with this, read from the state at that time.
    Answer(Origin, crate::call::GroupCall),
    /// Grant a worker its lease.
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
    /// Readers that came since the last round began.
    pub(crate) new_reads: Vec<(Timestamp, Read)>,
    /// Present while this host leads a zone's group and its state is settled.
    pub(crate) leader: Option<Box<ZoneLeader>>,
    /// Who wrote for members that the config does not name yet.
    pub(crate) sender_hosts: SortedMap<MemberId, HostId>,
    /// The term in which this host was last seen to lead.
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

    /// Proposes a zone's command.
    pub(crate) fn propose_zone(
        &mut self,
        now: Timestamp,
        command: &ZoneCommand,
        completion: Completion,
    ) -> Result<Index, Completion> {
        self.propose(now, encode(command), completion)
    }

    /// Proposes a command of the cell.
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

/// The refusal of a command that may or may not take effect yet.
pub(crate) fn outcome_unknown() -> Refusal {
    let message = "the leader changed before the answer; send the same request again to find out";
    Refusal::new(RefusalKind::Unknown, message).retry_after(std::time::Duration::from_secs(1))
}

/// The refusal of what certainly was not done, for now.
pub(crate) fn unavailable(group: &GroupId) -> Refusal {
    let message = format!("group {group} has no leader that can be reached; nothing was done");
    Refusal::new(RefusalKind::Unavailable, message).retry_after(std::time::Duration::from_secs(1))
}

/// The answer that a reply of the state makes.
pub(crate) fn answer_of(reply: Reply) -> Result<Answer, Refusal> {
    match reply {
        Reply::Done | Reply::Job(_) | Reply::Placed(_) => Ok(Answer::Done),
        Reply::Record(answer) => Ok(Answer::Record(answer)),
        Reply::Refused(refusal) => Err(refusal),
    }
}
