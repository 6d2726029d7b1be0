//! The other entry hosts, as this one hears them.

use crate::config::Peer;
use crate::message::{GroupId, HostHeartbeat};
use consensus::Term;
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp, Version, ZoneName};

/// A host not heard for this long is passed over when a call is handed on.
const SILENT_AFTER: Duration = Duration::from_secs(4);

/// What is known of one other entry host.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) zone: ZoneName,
    pub(crate) heard: Option<Timestamp>,
    pub(crate) release: Version,
    pub(crate) draining: bool,
}

/// The other entry hosts, and who leads what.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    hosts: SortedMap<HostId, Known>,
    leaders: SortedMap<GroupId, (Term, HostId)>,
    turn: usize,
}

impl Peers {
    pub(crate) fn new(peers: &[Peer]) -> Peers {
        let known = |peer: &Peer| {
            let zone = peer.zone.clone();
            (peer.host.clone(), Known { zone, heard: None, release: 0, draining: false })
        };
        Peers { hosts: peers.iter().map(known).collect(), ..Peers::default() }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HostId, &Known)> {
        self.hosts.iter()
    }

    pub(crate) fn names(&self) -> Vec<HostId> {
        self.hosts.keys().cloned().collect()
    }

    pub(crate) fn is_known(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host)
    }

    pub(crate) fn hear(&mut self, host: &HostId, now: Timestamp) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.heard = Some(now);
        }
    }

    pub(crate) fn hear_beat(&mut self, host: &HostId, beat: &HostHeartbeat) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.release = beat.release;
            known.draining = beat.draining;
        }
        for (group, term) in &beat.leads {
            self.note_leader(group, *term, host);
        }
    }

    pub(crate) fn note_leader(&mut self, group: &GroupId, term: Term, host: &HostId) {
        let known = self.leaders.get(group).map_or(0, |(term, _)| *term);
        if term >= known {
            self.leaders.insert(group.clone(), (term, host.clone()));
        }
    }

    fn is_alive(&self, host: &HostId, now: Timestamp) -> bool {
        let heard = self.hosts.get(host).and_then(|known| known.heard);
        heard.is_some_and(|at| now < at + SILENT_AFTER)
    }

    /// Whom to hand a call for `group` to: its leader, or a host that may know it.
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
        self.turn = self.turn.wrapping_add(1);
        let chosen = candidates.get(self.turn % candidates.len().max(1))?;
        Some(chosen.to_string())
    }

    /// The host with the newest release, where that is newer than `ours`.
    pub(crate) fn with_newer_release(&self, ours: Version, now: Timestamp) -> Option<HostId> {
        let newer = self.hosts.iter().filter(|(h, k)| k.release > ours && self.is_alive(h, now));
        newer.max_by_key(|(_, known)| known.release).map(|(host, _)| host.clone())
    }
}
