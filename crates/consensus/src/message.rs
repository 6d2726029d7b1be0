//! Log entries, the messages between members, and the work that a driver must do.

use crate::Config;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::MemberId;

/// Position of an entry in the log, from 1.
pub type Index = u64;
/// Raft term, incremented by each election.
pub type Term = u64;

/// Contents of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A command for the replicated state, encoded by the driver.
    Command(Vec<u8>),
    /// A membership configuration. The first entry of each term repeats the current one.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Contents of the entry.
    pub payload: Payload,
}

/// The persistent state of a member besides the log and the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// The candidate that got this member's vote in that term.
    pub vote: Option<MemberId>,
    /// Highest index known to be committed. The group may have committed more.
    pub commit: Index,
}

/// A snapshot of the replicated state after applying all entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership configuration as of that entry.
    pub config: Config,
    /// The replicated state, encoded by the driver.
    pub data: Arc<Vec<u8>>,
}

/// A message between members of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender, before the sender raises its term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader started this election to transfer its leadership.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the receiver voted for the candidate.
        granted: bool,
    },
    /// Appends entries; without entries, a heartbeat.
    Append {
        /// Index of the entry before the first of `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in log order.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// Number of the leader's latest confirmation round.
        round: u64,
    },
    /// Answer to `Append`.
    AppendReply {
        /// Whether the follower has the entry before the new ones.
        accepted: bool,
        /// If accepted, the last entry known to match; otherwise the `prev_index` to try next.
        index: Index,
        /// The round of the `Append`.
        round: u64,
    },
    /// Transfers one part of a snapshot.
    Install {
        /// Index of the last entry that the snapshot covers.
        index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Membership configuration of the snapshot.
        config: Config,
        /// Offset of `data` within the snapshot's data, in bytes.
        offset: u64,
        /// Size of the snapshot's data, in bytes.
        total: u64,
        /// The bytes of this part.
        data: Vec<u8>,
        /// Number of the leader's latest confirmation round.
        round: u64,
    },
    /// Answer to `Install` while parts are missing; the last part is answered by `AppendReply`.
    InstallReply {
        /// Index of the last entry that the snapshot covers.
        index: Index,
        /// Offset of the next part, in bytes.
        offset: u64,
        /// The round of the `Install`.
        round: u64,
    },
    /// Asks the receiver to start an election at once, because the leader transfers leadership.
    TimeoutNow,
}

/// A message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sender.
    pub from: MemberId,
    /// Id of the receiver.
    pub to: MemberId,
    /// Term of the sender. In `PreVote` and a granted `PreVoteReply`, the term of the election
    /// that would follow.
    pub term: Term,
    /// Payload of the envelope.
    pub message: Message,
}

/// The work that the driver must do, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Snapshot to write; it replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// Whether `snapshot` came from the leader, so that the replicated state must be loaded from
    /// it.
    pub restore: bool,
    /// Entries to write; they replace any entries at their indexes and after.
    pub entries: Vec<Entry>,
    /// Hard state to write.
    pub hard_state: Option<HardState>,
    /// Messages to send once everything above is on disk.
    pub messages: Vec<Envelope>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
}
