//! What entry hosts say to each other. `wire` carries these and nothing else.

use crate::call::{Answer, GroupCall};
use consensus::{Config, Envelope, Term};
use membership::{Record, Renewal};
use serde::{Deserialize, Serialize};
use std::fmt;
use types::{MemberId, Refusal, Release, ReleaseNote, Version, ZoneName};

/// Version of the inner protocol, exchanged when a connection opens.
pub const PROTOCOL_VERSION: u32 = 1;

/// A replicated group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupId {
    /// The group that owns the release.
    Cell,
    /// The group that owns a zone's workers, jobs and records.
    Zone(ZoneName),
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GroupId::Cell => f.write_str("cell"),
            GroupId::Zone(zone) => write!(f, "zone-{zone}"),
        }
    }
}

/// What an entry host says of itself, regularly and when it changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Random number of the process.
    pub process: MemberId,
    /// The release in force.
    pub release: Version,
    /// Groups that it leads.
    pub leads: Vec<(GroupId, Term)>,
    /// It is being stopped.
    pub draining: bool,
    /// Digest of its upstreams.
    pub upstreams: u64,
}

/// A message between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// For a group's log.
    Raft(GroupId, Envelope),
    /// How the sender stands.
    Heartbeat(HostHeartbeat),
    /// Upstreams that changed.
    Upstreams(Vec<Record>),
    /// Upstreams of the zone that renewed.
    Renewals(Vec<Renewal>),
    /// Send me all your upstreams; the number comes back with them.
    PullUpstreams(u64),
    /// All upstreams that the sender knows, and the number of the request.
    AllUpstreams(u64, Vec<Record>),
    /// Send me what came after this release.
    PullRelease(Version),
    /// Accepted notes with their digests, in order.
    Notes(Vec<(Version, ReleaseNote, String)>),
    /// The whole release.
    Release(Box<Release>),
    /// The sender's folder, with this identity, knows nothing of the group.
    EmptyStore(GroupId, MemberId),
    /// The sender's folder has the group's log under this identity, and no leader writes to it.
    SeekLeader(GroupId, MemberId),
    /// The group is formed by these members.
    FormGroup(GroupId, Config),
    /// The receiver's folder is a member of the group: start empty and be told.
    JoinGroup(GroupId),
    /// A call for a group's leader.
    Call {
        /// The sender's number for it.
        id: u64,
        /// How often it may be handed on.
        hops: u8,
        /// The call.
        call: Box<GroupCall>,
    },
    /// The answer to a call.
    CallAnswer {
        /// The number of the call.
        id: u64,
        /// The answer.
        answer: Box<Result<Answer, Refusal>>,
    },
}
