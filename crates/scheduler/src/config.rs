//! What a node is built from.

use consensus::{Restored, Tuning};
use dispatch::SessionConfig;
use std::time::Duration;
use types::{HostId, MemberId, Timestamp, ZoneName};

/// How a node is set up. Made by [`NodeConfigBuilder`].
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneName,
    pub(crate) seeds: Vec<HostId>,
    pub(crate) disk: bool,
    pub(crate) bootstrap: bool,
    pub(crate) voters: usize,
    pub(crate) keep_ended: Duration,
    pub(crate) entries_per_snapshot: u64,
    pub(crate) stop_time: Duration,
    pub(crate) session: SessionConfig,
    pub(crate) tuning: Tuning,
}

/// Builds a [`NodeConfig`].
#[derive(Clone, Debug)]
pub struct NodeConfigBuilder(NodeConfig);

impl NodeConfigBuilder {
    /// A host at this IP address, by which others know it.
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
            voters: 5,
            keep_ended: Duration::from_secs(300),
            entries_per_snapshot: 4_096,
            stop_time: Duration::from_millis(500),
            session: SessionConfig::default(),
            tuning: Tuning::default(),
        })
    }

    /// Its availability zone.
    pub fn zone(mut self, zone: &str) -> Self {
        self.0.zone = zone.to_string();
        self
    }

    /// Hosts through which the others are found.
    pub fn seeds(mut self, seeds: Vec<HostId>) -> Self {
        self.0.seeds = seeds;
        self
    }

    /// Whether it has a disk, and so belongs to the group.
    pub fn disk(mut self, disk: bool) -> Self {
        self.0.disk = disk;
        self
    }

    /// Whether the whole cell starts for the first time, so that the seeds form the group.
    pub fn bootstrap(mut self, bootstrap: bool) -> Self {
        self.0.bootstrap = bootstrap;
        self
    }

    /// Most hosts that vote; others with a disk only learn.
    pub fn max_voters(mut self, voters: usize) -> Self {
        self.0.voters = voters;
        self
    }

    /// How long jobs that are over are remembered.
    pub fn keep_ended(mut self, keep: Duration) -> Self {
        self.0.keep_ended = keep;
        self
    }

    /// Entries in the log after which it is replaced by a snapshot.
    pub fn entries_per_snapshot(mut self, entries: u64) -> Self {
        self.0.entries_per_snapshot = entries;
        self
    }

    /// How long a worker may take to stop a run.
    pub fn stop_time(mut self, time: Duration) -> Self {
        self.0.stop_time = time;
        self
    }

    /// Times of sessions with workers.
    pub fn session(mut self, session: SessionConfig) -> Self {
        self.0.session = session;
        self
    }

    /// Times of the replicated log.
    pub fn tuning(mut self, tuning: Tuning) -> Self {
        self.0.tuning = tuning;
        self
    }

    /// The config.
    pub fn build(self) -> NodeConfig {
        self.0
    }
}

/// What a process starts with: its identity, and what its data folder holds.
#[derive(Clone, Debug, Default)]
pub struct StartState {
    /// Identity of the data folder; any random number where there is none.
    pub member: MemberId,
    /// Random number of the process.
    pub process: MemberId,
    /// The time.
    pub now: Timestamp,
    /// Seed of all random choices.
    pub seed: u64,
    /// The group as the folder has it.
    pub group: Option<Restored>,
}
