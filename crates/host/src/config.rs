//! What an entry host is built from.

use crate::message::GroupId;
use consensus::{InitialMember, Restored, Tuning};
use placement::Policy;
use std::time::Duration;
use types::{HostId, MemberId, Release, SortedMap, Timestamp, ZoneName};

/// One mechanism switched off. Only tests set anything but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// All mechanisms work.
    #[default]
    None,
    /// A silent worker's tasks are placed again before its lease can have ended.
    LoseWorkersEarly,
    /// A new leader takes workers that it has not heard for lost at once.
    SkipTakeoverGrace,
    /// A lease is granted without asking whether this host still leads.
    SkipConfirmation,
    /// A request with an idempotency key is sent without a record.
    SkipRecords,
    /// An older release replaces a newer one.
    ReleaseMayRevert,
    /// A late renewal undoes that an upstream leaves.
    LateRenewalsWin,
    /// A leader grants shares without waiting for those of an earlier one.
    GrantSlotsAtOnce,
    /// A wiped folder votes as the member that it was.
    KeepIdentity,
    /// Weakens the replicated log.
    Log(consensus::InjectedBug),
    /// Weakens the replicated state.
    State(state::InjectedBug),
    /// Weakens routing.
    Routing(routing::InjectedBug),
}

/// A peer entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneName,
}

/// Settings of an entry host, checked.
#[derive(Clone, Debug)]
pub struct HostConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneName,
    pub(crate) peers: Vec<Peer>,
    pub(crate) groups: SortedMap<GroupId, Vec<InitialMember>>,
    pub(crate) policy: Policy,
    pub(crate) worker_lease: Duration,
    pub(crate) slot_lease: Duration,
    pub(crate) upstream_silence: Duration,
    pub(crate) max_waiting: usize,
    pub(crate) max_timeout: Duration,
    pub(crate) keep_ended: Duration,
    pub(crate) keep_records: Duration,
    pub(crate) entries_per_snapshot: u64,
    pub(crate) tuning: Tuning,
    pub(crate) injected_bug: InjectedBug,
}

impl HostConfig {
    /// All zones of the cell, sorted.
    pub fn zones(&self) -> Vec<ZoneName> {
        let others = self.peers.iter().map(|p| p.zone.clone());
        let mut zones: Vec<ZoneName> = others.chain([self.zone.clone()]).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// How many entry hosts a zone has.
    pub(crate) fn hosts_in(&self, zone: &str) -> u32 {
        let others = self.peers.iter().filter(|p| p.zone == zone).count() as u32;
        others + u32::from(self.zone == zone)
    }

    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == bug
    }
}

/// What an entry host starts from.
#[derive(Clone, Debug, Default)]
pub struct StartState {
    /// Identity of the data folder; any random number when there is none.
    pub member: MemberId,
    /// Random number of this process.
    pub process: MemberId,
    /// What the folder has of each group.
    pub groups: SortedMap<GroupId, Restored>,
    /// The release that was in force here.
    pub release: Release,
    /// The time.
    pub now: Timestamp,
    /// Decides random choices.
    pub seed: u64,
}

/// Makes a [`HostConfig`].
#[derive(Clone, Debug)]
pub struct HostConfigBuilder {
    config: HostConfig,
}

impl HostConfigBuilder {
    /// For an entry host in a zone, alone in its cell and member of no group.
    pub fn new(host: &str, zone: &str) -> HostConfigBuilder {
        HostConfigBuilder {
            config: HostConfig {
                host: host.to_string(),
                zone: zone.to_string(),
                peers: Vec::new(),
                groups: SortedMap::default(),
                policy: Policy::default(),
                worker_lease: Duration::from_secs(10),
                slot_lease: Duration::from_secs(4),
                upstream_silence: Duration::from_secs(6),
                max_waiting: 2_000,
                max_timeout: Duration::from_secs(60),
                keep_ended: Duration::from_secs(7 * 24 * 3_600),
                keep_records: Duration::from_secs(24 * 3_600),
                entries_per_snapshot: 5_000,
                tuning: Tuning {
                    heartbeat: Duration::from_millis(200),
                    election_timeout: Duration::from_millis(1_000),
                    ..Tuning::default()
                },
                injected_bug: InjectedBug::None,
            },
        }
    }

    /// Adds another entry host.
    pub fn peer(mut self, host: &str, zone: &str) -> Self {
        self.config.peers.push(Peer { host: host.to_string(), zone: zone.to_string() });
        self
    }

    /// Adds a group with the members that form it. This host need not be one.
    pub fn group(mut self, group: GroupId, members: Vec<InitialMember>) -> Self {
        self.config.groups.insert(group, members);
        self
    }

    /// Weights of placement.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.config.policy = policy;
        self
    }

    /// How long a worker may run tasks without hearing from the system.
    pub fn worker_lease(mut self, lease: Duration) -> Self {
        self.config.worker_lease = lease;
        self
    }

    /// Silence after which an upstream is gone.
    pub fn upstream_silence(mut self, silence: Duration) -> Self {
        self.config.upstream_silence = silence;
        self
    }

    /// Requests of one service and class that wait at most.
    pub fn max_waiting(mut self, count: usize) -> Self {
        self.config.max_waiting = count;
        self
    }

    /// Longest that a request may take.
    pub fn max_timeout(mut self, timeout: Duration) -> Self {
        self.config.max_timeout = timeout;
        self
    }

    /// How long idempotency records are kept: a key sent again later counts as new.
    pub fn keep_records(mut self, time: Duration) -> Self {
        self.config.keep_records = time;
        self
    }

    /// How long ended jobs and lost workers are remembered.
    pub fn keep_ended(mut self, time: Duration) -> Self {
        self.config.keep_ended = time;
        self
    }

    /// Log entries after which a group takes a snapshot.
    pub fn entries_per_snapshot(mut self, entries: u64) -> Self {
        self.config.entries_per_snapshot = entries;
        self
    }

    /// Entries that a group keeps behind its snapshot.
    pub fn kept_entries(mut self, entries: u64) -> Self {
        self.config.tuning.kept_entries = entries;
        self
    }

    /// Switches a mechanism off; for tests.
    pub fn inject_bug(mut self, bug: InjectedBug) -> Self {
        self.config.injected_bug = bug;
        if let InjectedBug::Log(log) = bug {
            self.config.tuning.injected_bug = log;
        }
        self
    }

    /// The settings.
    pub fn build(self) -> HostConfig {
        self.config
    }
}
