//! Timeouts and size limits of a group.

use std::time::Duration;

/// Timeouts and size limits of a group. All members must use the same values.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval of a leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without contact to a leader after which a member campaigns. The actual time
    /// is random, up to twice this value, and three times as long for a witness.
    pub election_timeout: Duration,
    /// Approximate limit on the entries or the snapshot data in one message, in bytes.
    pub max_message_bytes: usize,
    /// Number of entries kept before a snapshot, so that members that are slightly behind do not
    /// need the snapshot.
    pub kept_entries: u64,
    /// Size of the entries kept before a snapshot, in bytes; fewer are kept if they are larger.
    pub kept_bytes: usize,
    /// Mechanism to disable; only tests set anything but `None`.
    pub injected_bug: InjectedBug,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            max_message_bytes: 1 << 20,
            kept_entries: 1_000,
            kept_bytes: 4 << 20,
            injected_bug: InjectedBug::None,
        }
    }
}

/// A bug to inject: disables one safety mechanism, so that tests can show that they detect its
/// absence. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms are enabled.
    #[default]
    None,
    /// A member votes for a candidate whose log is less up to date than its own.
    VoteForOlderLog,
    /// A member may vote for several candidates in one term.
    VoteTwice,
    /// A leader commits entries of earlier terms by counting replicas.
    CommitEarlierTerm,
    /// A follower accepts entries without checking the term of the entry before them.
    SkipPreviousEntryCheck,
    /// A leader that does not hear from a quorum, or was paused, does not step down.
    SkipCheckQuorum,
}
