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
pub(crate) enum Machine {
    Cell(Box<CellState>),
    Zone(Box<ZoneState>),
}

impl Machine {
    pub(crate) fn new(id: &GroupId, data: &[u8], weakening: state::InjectedBug) -> Machine {
        match id {
            GroupId::Cell => Machine::Cell(Box::new(decode_or_default(data))),
            GroupId::Zone(_) => {
                let mut zone: ZoneState = decode_or_default(data);
                zone.inject_bug(weakening);
                Machine::Zone(Box::new(zone))
            }
        }
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        match self {
            Machine::Cell(cell) => encode(cell),
            Machine::Zone(zone) => encode(zone),
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
pub(crate) enum Then {
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
pub(crate) struct Waiter {
    pub(crate) term: Term,
    pub(crate) since: Timestamp,
    pub(crate) then: Then,
}

/// Someone who waits until it is confirmed that this host leads.
#[derive(Debug)]
pub(crate) struct Reader {
    pub(crate) round: u64,
    pub(crate) since: Timestamp,
    pub(crate) then: Read,
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
    pub(crate) machine: Machine,
    pub(crate) waiters: SortedMap<Index, Waiter>,
    pub(crate) readers: Vec<Reader>,
    /// Readers that came since the last round began.
    pub(crate) new_readers: Vec<(Timestamp, Read)>,
    /// Present while this host leads a zone's group and its state is settled.
    pub(crate) leader: Option<Box<ZoneLeader>>,
    /// Who wrote for members that the config does not name yet.
    pub(crate) correspondents: SortedMap<MemberId, HostId>,
    /// The term in which this host was last seen to lead.
    pub(crate) led: Option<Term>,
}

impl Group {
    pub(crate) fn new(id: GroupId, raft: Raft, weakening: state::InjectedBug) -> Group {
        let machine = Machine::new(&id, &raft.snapshot().data, weakening);
        Group {
            id,
            raft,
            machine,
            waiters: SortedMap::default(),
            readers: Vec::new(),
            new_readers: Vec::new(),
            leader: None,
            correspondents: SortedMap::default(),
            led: None,
        }
    }

    pub(crate) fn zone(&self) -> Option<&ZoneState> {
        match &self.machine {
            Machine::Zone(zone) => Some(zone),
            Machine::Cell(_) => None,
        }
    }

    /// Proposes a zone's command.
    pub(crate) fn propose_zone(
        &mut self,
        now: Timestamp,
        command: &ZoneCommand,
        then: Then,
    ) -> Result<Index, Then> {
        self.propose(now, encode(command), then)
    }

    /// Proposes a command of the cell.
    pub(crate) fn propose_cell(
        &mut self,
        now: Timestamp,
        command: &CellCommand,
        then: Then,
    ) -> Result<Index, Then> {
        self.propose(now, encode(command), then)
    }

    fn propose(&mut self, now: Timestamp, data: Vec<u8>, then: Then) -> Result<Index, Then> {
        match self.raft.propose(now, data) {
            Ok(index) => {
                let waiter = Waiter { term: self.raft.term(), since: now, then };
                self.waiters.insert(index, waiter);
                Ok(index)
            }
            Err(_) => Err(then),
        }
    }
}

/// The refusal of a command that may or may not take effect yet.
pub(crate) fn unknown() -> Refusal {
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
