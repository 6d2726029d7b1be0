//! Messages between entry hosts, carried by the `wire` crate.

use crate::call::{Answer, GroupCall};
use consensus::{Config, Envelope, Term};
use membership::{Record, Renewal};
use serde::{Deserialize, Serialize};
use std::fmt;
use types::{MemberId, Refusal, Release, ReleaseNote, Version, ZoneName};

/// Version of the protocol between hosts, exchanged when a connection opens.
pub const PROTOCOL_VERSION: u32 = 2;

/// Identifies a replicated group.
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

/// An entry host's status report, sent to every peer at intervals and on changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHeartbeat {
    /// Random number of the sender's process.
    pub process: MemberId,
    /// The release in force at the sender.
    pub release: Version,
    /// Groups that the sender leads, with their terms.
    pub leads: Vec<(GroupId, Term)>,
    /// Whether the sender is being stopped.
    pub draining: bool,
    /// Digest of the sender's upstream table; a difference makes the receiver pull it.
    pub upstreams: u64,
}

/// A message between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of a group's replicated log.
    Raft(GroupId, Envelope),
    /// The sender's heartbeat.
    Heartbeat(HostHeartbeat),
    /// Records of upstreams that changed.
    Upstreams(Vec<Record>),
    /// Upstreams of the sender's zone that renewed their announcement.
    Renewals(Vec<Renewal>),
    /// Requests the receiver's whole upstream table; the response carries the same number.
    PullUpstreams(u64),
    /// The sender's whole upstream table, with the number of the request.
    AllUpstreams(u64, Vec<Record>),
    /// Requests what is newer than this release.
    PullRelease(Version),
    /// Accepted notes with their versions and digests, in order.
    Notes(Vec<(Version, ReleaseNote, String)>),
    /// The complete release in force at the sender, for a host that is far behind.
    Release(Box<Release>),
    /// The sender's data directory, with this identity, holds nothing of the group.
    EmptyStore(GroupId, MemberId),
    /// The sender's data directory holds the group's log under this identity, but the sender hears
    /// from no leader.
    SeekLeader(GroupId, MemberId),
    /// The group was formed with this first configuration.
    FormGroup(GroupId, Config),
    /// The receiver is a member of the group: it opens an empty log and catches up from the leader.
    JoinGroup(GroupId),
    /// A call forwarded towards a group's leader.
    Call {
        /// The number that the sender gave the call.
        id: u64,
        /// How many more times the call may be forwarded.
        hops: u8,
        /// The forwarded call.
        call: Box<GroupCall>,
    },
    /// The answer to a forwarded call.
    CallAnswer {
        /// The number of the call.
        id: u64,
        /// Answer or refusal of the host that served the call.
        answer: Box<Result<Answer, Refusal>>,
    },
}
