//! How recent the configuration of this host certainly is.
//!
//! A host's configuration is confirmed by the leader's answer to a heartbeat, as of the time at which
//! the host asked, less the time since which the leader can't rule out that it was deposed. What is
//! on its way, or waits while a host is frozen, thus never makes a configuration look newer. All times
//! are of the clock of this host, which runs on while the machine is suspended.

use crate::message::Confirmation;
use crate::node::Node;
use accounts::{Admittance, Freshness, KeyDigest};
use jobs::{Configuration, QueueAddress};
use std::time::Duration;
use types::{Timestamp, Version};

/// Limit on the remembered confirmations of configurations that this host does not have yet.
const MAX_PENDING: usize = 16;

/// Times at which the group had no newer configuration than some version, in ascending order of both.
#[derive(Clone, Debug, Default)]
pub(crate) struct Confirmations(Vec<(Version, Timestamp)>);

impl Confirmations {
    /// Records that the group had no newer configuration than `version` at the time `at`. `held` is the
    /// version that this host has.
    pub(crate) fn record(&mut self, version: Version, at: Timestamp, held: Version) {
        let older = self.0.last().is_some_and(|(known, since)| version < *known || at <= *since);
        if older {
            return;
        }
        if self.0.last().is_some_and(|(known, _)| *known == version) {
            self.0.pop();
        }
        if self.0.len() < MAX_PENDING {
            self.0.push((version, at));
        }
        let usable = self.0.partition_point(|(version, _)| *version <= held);
        self.0.drain(..usable.saturating_sub(1));
    }

    /// The latest time at which the group certainly had no newer configuration than `held`.
    pub(crate) fn latest(&self, held: Version) -> Option<Timestamp> {
        let usable = self.0.partition_point(|(version, _)| *version <= held);
        self.0[..usable].last().map(|(_, at)| *at)
    }
}

impl Node {
    /// Handles the part of the leader's answer to a heartbeat that confirms a configuration.
    pub(crate) fn on_confirmation(&mut self, confirmation: Confirmation, version: Version) {
        let Confirmation { process, asked_at, leader_age } = confirmation;
        // An earlier process of this host had another clock.
        if process == self.process && asked_at <= self.now {
            let at = asked_at.saturating_sub(leader_age);
            self.confirmations.record(version, at, self.configuration.version);
        }
    }

    /// The latest time at which the group certainly had no newer configuration than this host; `None`
    /// if there is none.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at_version(self.configuration.version)
    }

    /// Whether the configuration of this host is recent: it leads, or has heard the leader in the
    /// last 2 s and knows of no newer one.
    pub fn has_recent_configuration(&self) -> bool {
        let heard = self.peers.leader_heard_within(self.now, Duration::from_secs(2));
        self.leads() || (heard && !self.peers.is_behind(self.configuration.version))
    }

    /// Whether the group is known to have a newer configuration than this host.
    pub fn is_outdated(&self) -> bool {
        !self.leads() && self.peers.is_behind(self.configuration.version)
    }

    fn confirmed_at_version(&self, held: Version) -> Option<Timestamp> {
        match self.group.as_ref().filter(|group| group.leads()) {
            Some(group) => group.raft.confirmed_at(),
            None => self.confirmations.latest(held),
        }
    }

    /// Whether this member's state is recent enough to decide what a caller with this key may do.
    pub(crate) fn may_serve(&self, queue: &QueueAddress, key: Option<&KeyDigest>) -> bool {
        let Some(group) = &self.group else { return false };
        let configuration = group.state.configuration();
        if configuration.accounts.is_empty() {
            return true;
        }
        let age = self.confirmed_at_version(configuration.version);
        let freshness = Freshness {
            age: age.map(|at| self.now.saturating_sub(at)),
            outdated: false,
            revocation_bound: self.cfg.revocation_bound,
        };
        let open = is_open(configuration, queue);
        let claim = configuration.accounts.claim(open, key);
        Admittance::decide(claim, &freshness) != Admittance::Uncertain
    }
}

fn is_open(configuration: &Configuration, queue: &QueueAddress) -> bool {
    configuration.queues.iter().any(|(address, policy)| address == queue && policy.open)
}
