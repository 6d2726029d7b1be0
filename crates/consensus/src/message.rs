//! What members say to each other, and what a driver must do.

use crate::Config;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::MemberId;

/// Place of an entry in the log; the first is 1.
pub type Index = u64;
/// Number of an election; a later one is larger.
pub type Term = u64;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A command of the replicated state, encoded by its owner.
    Command(Vec<u8>),
    /// The members. The first entry of each term repeats the present ones.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log.
    pub index: Index,
    /// Term of the leader that made it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

/// What a member must remember besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Who got this member's vote in that term.
    pub vote: Option<MemberId>,
    /// A lower bound of what is committed.
    pub commit: Index,
}

/// The state after all entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the state contains.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub config: Config,
    /// The state, encoded by its owner.
    pub data: Arc<Vec<u8>>,
}

/// What one member tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me? Asked before raising the term.
    PreVote {
        /// Last entry of the asker.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// Last entry of the asker.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// The old leader asked for this election.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or none to show that the leader lives.
    Append {
        /// The entry before the first of `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// What the leader knows to be committed.
        commit: Index,
        /// Number of the leader's confirmation round.
        round: u64,
    },
    /// Answer to `Append`.
    AppendReply {
        /// Whether the entry before was there.
        accepted: bool,
        /// When accepted, the last entry known to match; else where to try next.
        index: Index,
        /// The round of the `Append`.
        round: u64,
    },
    /// A part of a snapshot.
    Install {
        /// Last entry of the snapshot.
        index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Members of the snapshot.
        config: Config,
        /// Where `data` starts.
        offset: u64,
        /// Size of the whole.
        total: u64,
        /// This part.
        data: Vec<u8>,
        /// Number of the leader's confirmation round.
        round: u64,
    },
    /// Answer to `Install` while parts are missing.
    InstallReply {
        /// Last entry of the snapshot.
        index: Index,
        /// Where the next part starts.
        offset: u64,
        /// The round of the `Install`.
        round: u64,
    },
    /// Campaign now; the leader hands over.
    TimeoutNow,
}

/// A message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
    /// Term of the sender; in `PreVote`, the term that it would open.
    pub term: Term,
    /// What is said.
    pub message: Message,
}

/// What the driver must do, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Write this snapshot; it replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// The snapshot came from the leader: the state starts again from it.
    pub restore: bool,
    /// Write these entries; they replace whatever stands at their indexes and after.
    pub entries: Vec<Entry>,
    /// Write this.
    pub hard_state: Option<HardState>,
    /// Send these, once everything above is on disk.
    pub messages: Vec<Envelope>,
    /// Apply these, in order.
    pub committed: Vec<Entry>,
}
