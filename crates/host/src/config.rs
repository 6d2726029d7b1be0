//! Configuration and initial state of an entry host.

use crate::message::GroupId;
use consensus::{InitialMember, Restored, Tuning};
use placement::Policy;
use std::time::Duration;
use types::{HostId, MemberId, Release, SortedMap, Timestamp, ZoneName};

/// Disables one safety mechanism, so that tests can show that it is needed. Only tests set anything
/// but `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedBug {
    /// No mechanism is disabled.
    #[default]
    None,
    /// A silent worker is declared lost, and its tasks placed again, before its lease has ended.
    LoseWorkersEarly,
    /// A new leader declares workers that it has not heard from lost at once.
    SkipTakeoverGrace,
    /// Reads and leases are served without confirming that this host still leads.
    SkipConfirmation,
    /// Requests with an idempotency key are sent without a record.
    SkipRecords,
    /// An older release replaces a newer one.
    ReleaseMayRevert,
    /// A late renewal of an upstream overrides that it has left.
    LateRenewalsWin,
    /// A new leader grants slots without waiting for the leases of an earlier one to end.
    GrantSlotsAtOnce,
    /// A host whose data directory was wiped votes under its old member identity.
    KeepIdentity,
    /// A vote is never taken from a member, not even from one that a new member replaces.
    KeepOldVotes,
    /// A bug in the replicated log.
    Log(consensus::InjectedBug),
    /// A bug in the replicated state.
    State(state::InjectedBug),
    /// A bug in routing.
    Routing(routing::InjectedBug),
}

/// Another entry host of the cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneName,
}

/// Configuration of an entry host. Built by [`HostConfigBuilder`].
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

    /// Number of entry hosts in a zone, this one included.
    pub(crate) fn hosts_in(&self, zone: &str) -> u32 {
        let others = self.peers.iter().filter(|p| p.zone == zone).count() as u32;
        others + u32::from(self.zone == zone)
    }

    pub(crate) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == bug
    }
}

/// The initial state of an entry host, from its data directory and its process.
#[derive(Clone, Debug, Default)]
pub struct StartState {
    /// Identity of the data directory. A random number if the directory is new.
    pub member: MemberId,
    /// Random number that identifies this process.
    pub process: MemberId,
    /// The groups stored in the data directory.
    pub groups: SortedMap<GroupId, Restored>,
    /// The release last stored in the data directory.
    pub release: Release,
    /// Time of the start.
    pub now: Timestamp,
    /// Seed of the host's random number generator.
    pub seed: u64,
}

/// Builder of a [`HostConfig`].
#[derive(Clone, Debug)]
pub struct HostConfigBuilder {
    config: HostConfig,
}

impl HostConfigBuilder {
    /// Starts from an entry host that is alone in its cell and a member of no group.
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

    /// Adds a group with its initial members. This host need not be one of them.
    pub fn group(mut self, group: GroupId, members: Vec<InitialMember>) -> Self {
        self.config.groups.insert(group, members);
        self
    }

    /// Sets the placement policy.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.config.policy = policy;
        self
    }

    /// Sets the length of a worker's lease: how long it may run tasks after it sent the last
    /// heartbeat that was answered.
    pub fn worker_lease(mut self, lease: Duration) -> Self {
        self.config.worker_lease = lease;
        self
    }

    /// Sets the silence after which an upstream counts as gone.
    pub fn upstream_silence(mut self, silence: Duration) -> Self {
        self.config.upstream_silence = silence;
        self
    }

    /// Sets the maximum number of queued requests per service and class.
    pub fn max_waiting(mut self, count: usize) -> Self {
        self.config.max_waiting = count;
        self
    }

    /// Sets the maximum timeout of a request. Longer timeouts are cut to it.
    pub fn max_timeout(mut self, timeout: Duration) -> Self {
        self.config.max_timeout = timeout;
        self
    }

    /// Sets how long idempotency records are kept. A key sent again later counts as new.
    pub fn keep_records(mut self, time: Duration) -> Self {
        self.config.keep_records = time;
        self
    }

    /// Sets how long ended jobs and lost workers are kept.
    pub fn keep_ended(mut self, time: Duration) -> Self {
        self.config.keep_ended = time;
        self
    }

    /// Sets the number of log entries after which a group takes a snapshot.
    pub fn entries_per_snapshot(mut self, entries: u64) -> Self {
        self.config.entries_per_snapshot = entries;
        self
    }

    /// Sets the number of log entries that a group keeps before its snapshot.
    pub fn kept_entries(mut self, entries: u64) -> Self {
        self.config.tuning.kept_entries = entries;
        self
    }

    /// Disables one mechanism. For tests only.
    pub fn inject_bug(mut self, bug: InjectedBug) -> Self {
        self.config.injected_bug = bug;
        if let InjectedBug::Log(log) = bug {
            self.config.tuning.injected_bug = log;
        }
        self
    }

    /// Returns the configuration.
    pub fn build(self) -> HostConfig {
        self.config
    }
}
