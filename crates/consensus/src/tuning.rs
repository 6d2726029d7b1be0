//! Times and sizes of a group.

use std::time::Duration;

/// Times and sizes of a group; all members have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// How often a leader shows that it lives.
    pub heartbeat: Duration,
    /// Shortest silence after which a member campaigns; the longest is twice that.
    pub election_timeout: Duration,
    /// Most bytes of commands in one message.
    pub max_message_bytes: usize,
    /// Entries kept behind a snapshot for members that are only a little late.
    pub kept_entries: u64,
    /// Mechanisms switched off, to show that a check notices.
    pub injected_bug: InjectedBug,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            max_message_bytes: 1 << 20,
            kept_entries: 1_000,
            injected_bug: InjectedBug::None,
        }
    }
}

/// One mechanism of the log switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms work.
    #[default]
    None,
    /// A vote goes to a candidate whose log is older.
    VoteForOlderLog,
    /// A member votes twice in one term.
    VoteTwice,
    /// A leader commits entries of an earlier term by counting.
    CommitEarlierTerm,
    /// A follower takes entries without comparing what comes before.
    SkipPreviousEntryCheck,
    /// A leader that hears from nobody goes on leading.
    SkipCheckQuorum,
}
