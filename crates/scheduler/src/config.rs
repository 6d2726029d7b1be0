//! Configuration and initial state of a [`Node`](crate::Node).

use consensus::{Restored, Tuning};
use dispatch::SessionConfig;
use std::time::Duration;
use types::{HostId, MemberId, Timestamp, ZoneName};

/// Settings of a node, made by [`NodeConfigBuilder`].
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneName,
    pub(crate) seeds: Vec<HostId>,
    pub(crate) disk: bool,
    pub(crate) bootstrap: bool,
    pub(crate) max_voters: usize,
    pub(crate) keep_ended: Duration,
    pub(crate) entries_per_snapshot: u64,
    pub(crate) log_room: usize,
    pub(crate) stop_time: Duration,
    pub(crate) revocation_bound: Option<Duration>,
    pub(crate) session: SessionConfig,
    pub(crate) tuning: Tuning,
    pub(crate) learn: bool,
    pub(crate) state_room: usize,
}

/// Builds a [`NodeConfig`].
#[derive(Clone, Debug)]
pub struct NodeConfigBuilder(NodeConfig);

impl NodeConfigBuilder {
    /// Starts from the defaults for the host at this IP address, by which other hosts know it.
    pub fn new<H>(host: H) -> NodeConfigBuilder
    where
        H: Into<HostId>,
    {
        NodeConfigBuilder(NodeConfig {
            host: host.into(),
            zone: ZoneName::new(),
            seeds: Vec::new(),
            disk: false,
            bootstrap: false,
            max_voters: 5,
            keep_ended: Duration::from_secs(300),
            entries_per_snapshot: 4_096,
            log_room: 16 << 20,
            stop_time: Duration::from_millis(500),
            revocation_bound: None,
            session: SessionConfig::default(),
            tuning: Tuning::default(),
            learn: true,
            state_room: 64 << 20,
        })
    }

    /// Sets the host's availability zone. Default: the empty name.
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.to_string();
        self
    }

    /// Sets the hosts through which the members of the group are found. Default: none.
    pub fn seeds(mut self, seeds: Vec<HostId>) -> Self {
        self.0.seeds = seeds;
        self
    }

    /// Sets whether the host has a disk and thus can be a member of the group. Default: no.
    pub fn disk(mut self, disk: bool) -> Self {
        self.0.disk = disk;
        self
    }

    /// Sets whether the cell starts for the first time, in which case the seeds form the group.
    /// Default: no.
    pub fn bootstrap(mut self, bootstrap: bool) -> Self {
        self.0.bootstrap = bootstrap;
        self
    }

    /// Sets the maximum number of voters; further members are learners. Default: 5.
    pub fn max_voters(mut self, max: usize) -> Self {
        self.0.max_voters = max;
        self
    }

    /// Sets how long finished jobs stay in the state. Default: 300 s.
    pub fn keep_ended(mut self, keep: Duration) -> Self {
        self.0.keep_ended = keep;
        self
    }

    /// Sets the number of log entries after which the log is compacted into a snapshot.
    /// Default: 4096.
    pub fn entries_per_snapshot(mut self, entries: u64) -> Self {
        self.0.entries_per_snapshot = entries;
        self
    }

    /// Sets the size in bytes of the commands after which the log is compacted, however many they are.
    /// Default: 16 MiB.
    pub fn log_room(mut self, bytes: usize) -> Self {
        self.0.log_room = bytes;
        self
    }

    /// Sets how long a worker may take to stop a run. Default: 500 ms.
    pub fn stop_time(mut self, time: Duration) -> Self {
        self.0.stop_time = time;
        self
    }

    /// Sets how long a key may work at most after the configuration that revokes it was acknowledged;
    /// `None` for no limit. Default: none.
    pub fn revocation_bound(mut self, bound: Option<Duration>) -> Self {
        self.0.revocation_bound = bound;
        self
    }

    /// Sets leases, intervals and timeouts of the sessions with workers.
    pub fn session(mut self, session: SessionConfig) -> Self {
        self.0.session = session;
        self
    }

    /// Sets heartbeat and election timing of the replicated log.
    pub fn tuning(mut self, tuning: Tuning) -> Self {
        self.0.tuning = tuning;
        self
    }

    /// Sets whether run times and speeds of workers are learned from finished runs. Default: yes.
    pub fn learn(mut self, learn: bool) -> Self {
        self.0.learn = learn;
        self
    }

    /// Sets the size in bytes that all jobs together may have for another one to be accepted. The
    /// records of their touched tasks may take half as much again. Default: 64 MiB.
    pub fn state_room(mut self, bytes: usize) -> Self {
        self.0.state_room = bytes;
        self
    }

    /// Finishes the configuration.
    pub fn build(self) -> NodeConfig {
        self.0
    }
}

/// Initial state of a process: its identity and the contents of its data directory.
#[derive(Clone, Debug, Default)]
pub struct StartState {
    /// Identity of the data directory; a random number on hosts without one.
    pub member: MemberId,
    /// Random number that identifies the process.
    pub process: MemberId,
    /// Current time on the node's monotonic clock.
    pub now: Timestamp,
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Log and snapshot of the group from the data directory; `None` if the directory is empty.
    pub group: Option<Restored>,
}
