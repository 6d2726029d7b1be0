//! What this host knows about the other entry hosts: liveness, release and group leaders.

use crate::config::Peer;
use crate::message::{GroupId, HostHeartbeat};
use consensus::Term;
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp, Version, ZoneName};

/// Calls are not forwarded to a host that has been silent for this long.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// What is known about one other entry host. Any message sets `last_contact`; heartbeats set
/// `release` and `draining`.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(crate) zone: ZoneName,
    pub(crate) last_contact: Option<Timestamp>,
    pub(crate) release: Version,
    pub(crate) draining: bool,
}

/// The other entry hosts, and the last known leader of each group.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    hosts: SortedMap<HostId, PeerState>,
    leaders: SortedMap<GroupId, (Term, HostId)>,
    next_candidate: usize,
}

impl Peers {
    pub(crate) fn new(peers: &[Peer]) -> Peers {
        let state = |peer: &Peer| {
            let zone = peer.zone.clone();
            (peer.host.clone(), PeerState { zone, last_contact: None, release: 0, draining: false })
        };
        Peers { hosts: peers.iter().map(state).collect(), ..Peers::default() }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HostId, &PeerState)> {
        self.hosts.iter()
    }

    pub(crate) fn names(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    pub(crate) fn is_known(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host)
    }

    pub(crate) fn record_contact(&mut self, host: &HostId, now: Timestamp) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.last_contact = Some(now);
        }
    }

    pub(crate) fn record_heartbeat(&mut self, host: &HostId, heartbeat: &HostHeartbeat) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.release = heartbeat.release;
            state.draining = heartbeat.draining;
        }
        for (group, term) in &heartbeat.leads {
            self.record_leader(group, *term, host);
        }
    }

    pub(crate) fn record_leader(&mut self, group: &GroupId, term: Term, host: &HostId) {
        let latest = self.leaders.get(group).map_or(0, |(term, _)| *term);
        if term >= latest {
            self.leaders.insert(group.clone(), (term, host.clone()));
        }
    }

    fn is_alive(&self, host: &HostId, now: Timestamp) -> bool {
        let last_contact = self.hosts.get(host).and_then(|state| state.last_contact);
        last_contact.is_some_and(|at| now < at + PEER_TIMEOUT)
    }

    /// The host to forward a call for `group` to: its leader if alive, else the live members in
    /// turn, which may know the leader.
    pub(crate) fn next_hop(
        &mut self,
        group: &GroupId,
        members: &[HostId],
        now: Timestamp,
    ) -> Option<HostId> {
        let leader = self.leaders.get(group).map(|(_, host)| host.clone());
        if let Some(host) = leader.filter(|host| self.is_alive(host, now)) {
            return Some(host);
        }
        let candidates: Vec<&HostId> =
            members.iter().filter(|host| self.is_alive(host, now)).collect();
        self.next_candidate = self.next_candidate.wrapping_add(1);
        let chosen = candidates.get(self.next_candidate % candidates.len().max(1))?;
        Some(chosen.to_string())
    }

    /// The live host with the newest release, if that is newer than `ours`.
    pub(crate) fn with_newer_release(&self, ours: Version, now: Timestamp) -> Option<HostId> {
        let newer = self.hosts.iter().filter(|(h, k)| k.release > ours && self.is_alive(h, now));
        newer.max_by_key(|(_, state)| state.release).map(|(host, _)| host.clone())
    }
}
