//! Discovery of the group and its leader.

use crate::group::host_list;
use crate::io::Output;
use crate::message::{Confirmation, HostHeartbeat, PeerMessage};
use crate::node::Node;
use consensus::{Config, Role, Term};
use std::time::Duration;
use types::{HostId, SortedMap, Timestamp, Version, ZoneName};

/// Interval between heartbeats to the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between heartbeats to all candidates while no leader is known.
const LEADERLESS_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// A leader not heard for this long counts as lost.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// A host heard within this time can call the advice service for the leader.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A member that answered the leader within this time gets reads: three heartbeats of the log.
const RESPONSIVE_WITHIN: Duration = Duration::from_millis(300);
/// A group without a leader is reported after this time: elections take less.
const LEADERLESS_REPORT_AFTER: Duration = Duration::from_secs(2);
/// Interval at which a member reports that the group has no leader.
const LEADERLESS_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Limit on the remembered members of the group; real groups are smaller.
const MAX_MEMBERS: usize = 64;

/// A host that sends heartbeats to this one.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    last_heard: Timestamp,
    pub(crate) version: Version,
    draining: bool,
    pub(crate) zone: ZoneName,
    /// While parts of a configuration are on their way to the host, the time at which they count
    /// as lost.
    pub(crate) sending_until: Option<Timestamp>,
}

/// What this host knows of the group, its leader and other hosts.
#[derive(Debug)]
pub(crate) struct PeerTable {
    /// Hosts of the group's members, as last reported by a member.
    members: Vec<HostId>,
    /// Members that answer the leader, as it last reported.
    responsive: Vec<HostId>,
    /// Configured hosts through which the group is found, besides its members.
    seeds: Vec<HostId>,
    /// Leader of the highest known term.
    leader: Option<(Term, HostId)>,
    /// When the leader last confirmed that it leads; `None` if it must be looked for.
    leader_last_heard: Option<Timestamp>,
    /// Highest version of the configuration that a leader has reported as in force.
    leader_version: Version,
    /// When the last leader was lost; `None` while one is known.
    leaderless_since: Option<Timestamp>,
    /// When a missing leader may be reported again.
    next_leaderless_report: Timestamp,
    /// Hosts that have sent heartbeats to this one.
    pub(crate) by_host: SortedMap<HostId, Peer>,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Timestamp,
}

impl PeerTable {
    pub(crate) fn new(seeds: &[HostId]) -> PeerTable {
        PeerTable {
            members: Vec::new(),
            responsive: Vec::new(),
            seeds: seeds.to_vec(),
            leader: None,
            leader_last_heard: None,
            leader_version: 0,
            leaderless_since: None,
            next_leaderless_report: Timestamp::ZERO,
            by_host: SortedMap::default(),
            next_heartbeat: Timestamp::ZERO,
        }
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[HostId]) {
        self.seeds = seeds.to_vec();
    }

    /// Members that answer the leader.
    pub(crate) fn responsive_members(&self) -> &[HostId] {
        &self.responsive
    }

    /// Hosts through which to look for the leader, members before seeds.
    pub(crate) fn candidates(&self) -> Vec<HostId> {
        let seeds = self.seeds.iter().filter(|seed| !self.members.contains(seed));
        self.members.iter().chain(seeds).cloned().collect()
    }

    /// Replaces the member list; an empty one is ignored.
    fn set_members(&mut self, members: Vec<HostId>) {
        if !members.is_empty() {
            self.members = members;
            self.members.truncate(MAX_MEMBERS);
        }
    }

    /// Term of the last known leader; 0 if none was known.
    pub(crate) fn leader_term(&self) -> Term {
        self.leader.as_ref().map_or(0, |(term, _)| *term)
    }

    /// Records the leader of a term. Returns whether the term is newer than the known one.
    fn record_leader(&mut self, term: Term, host: HostId) -> bool {
        let newer = self.leader.as_ref().is_none_or(|(known, _)| term > *known);
        if newer {
            self.leader = Some((term, host));
            self.leader_last_heard = None;
        }
        newer
    }

    /// Marks the leader as not heard, so that it is looked for again.
    pub(crate) fn forget_leader(&mut self) {
        self.leader_last_heard = None;
    }

    /// Whether a host with this version of the configuration is behind the leader.
    pub(crate) fn is_behind(&self, version: Version) -> bool {
        version < self.leader_version
    }

    pub(crate) fn leader_heard_within(&self, now: Timestamp, span: Duration) -> bool {
        self.leader_last_heard.is_some_and(|at| now < at + span)
    }

    /// Updates since when no leader is known. Returns true if the leader was lost just now.
    fn update_leaderless(&mut self, now: Timestamp, known: bool) -> bool {
        if known {
            self.leaderless_since = None;
            return false;
        }
        let lost = self.leaderless_since.is_none();
        self.leaderless_since.get_or_insert(now);
        lost
    }

    /// How long no leader has been known; zero while one is known.
    pub(crate) fn leaderless_for(&self, now: Timestamp) -> Duration {
        self.leaderless_since.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Host of the leader if it was heard within [`LEADER_TIMEOUT`].
    pub(crate) fn live_leader(&self, now: Timestamp) -> Option<HostId> {
        let (_, host) = self.leader.as_ref()?;
        self.leader_heard_within(now, LEADER_TIMEOUT).then(|| host.clone())
    }

    /// Hosts heard within this time that are not draining, with their zones.
    pub(crate) fn heard_within(&self, now: Timestamp, span: Duration) -> Vec<(&HostId, &ZoneName)> {
        let live = self.by_host.iter().filter(|(_, p)| now < p.last_heard + span && !p.draining);
        live.map(|(host, peer)| (host, &peer.zone)).collect()
    }

    /// Whether this host has said within [`PEER_TIMEOUT`] that it is about to stop.
    pub(crate) fn is_draining(&self, host: &HostId, now: Timestamp) -> bool {
        self.by_host.get(host).is_some_and(|p| p.draining && now < p.last_heard + PEER_TIMEOUT)
    }

    /// Hosts heard within [`PEER_TIMEOUT`] that are not draining.
    pub(crate) fn live_hosts(&self, now: Timestamp) -> Vec<HostId> {
        let live =
            self.by_host.iter().filter(|(_, p)| now < p.last_heard + PEER_TIMEOUT && !p.draining);
        live.map(|(host, _)| host.clone()).collect()
    }
}

impl Node {
    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        self.out.push(Output::Send(to.clone(), message));
    }

    pub(crate) fn on_peer(&mut self, from: HostId, message: PeerMessage) {
        use PeerMessage as M;
        match message {
            M::Raft(envelope) => self.on_raft(&from, envelope),
            M::Heartbeat(heartbeat) => self.on_host_heartbeat(&from, heartbeat),
            M::HeartbeatResponse { leader, members, responsive, leads, version, confirmation } => {
                if leads {
                    self.peers.responsive = responsive;
                }
                if let Some(confirmation) = confirmation {
                    self.on_confirmation(*confirmation, version);
                }
                self.on_heartbeat_response(&from, leader, members, leads, version)
            }
            M::Configuration(part) => self.on_configuration_part(*part),
            M::EmptyStore { member, bootstrap } => self.on_empty_store(&from, member, bootstrap),
            M::SeekLeader(member) => self.on_seek_leader(&from, member),
            M::FormGroup(config) => self.on_form_group(config),
            M::JoinGroup => {
                if self.group.is_none() && self.cfg.disk {
                    self.form_group(Config::default());
                }
            }
            M::Call { id, call } => self.on_peer_call(from, id, *call),
            M::Answer { id, answer } => self.on_answer(id, *answer),
            M::NotLeader { id, leader } => self.on_not_leader(&from, id, leader),
            M::Order { number, envelope } => self.on_order(from, number, envelope),
            M::OrderAnswered { number, answer } => self.on_order_answered(number, answer),
            M::Advise { number, step, workers, timeout } => {
                self.on_advise(from, number, step, workers, timeout)
            }
            M::Advised { number, tickets } => self.on_advice_answered(number, tickets),
        }
    }

    fn on_raft(&mut self, from: &HostId, envelope: consensus::Envelope) {
        let now = self.now;
        if let Some(group) = &mut self.group {
            group.record_sender(envelope.from, from);
            group.raft.step(now, envelope);
        }
    }

    /// Sends heartbeats and announcements that are due, and updates what is known of the leader.
    pub(crate) fn gossip(&mut self) {
        let now = self.now;
        self.announce_store();
        if now < self.peers.next_heartbeat {
            return;
        }
        self.expire_capacity_reports();
        let mut heartbeat = HostHeartbeat {
            process: self.process,
            version: if self.ask_for_whole_configuration { 0 } else { self.configuration.version },
            sent_at: now,
            draining: self.draining,
            zone: self.cfg.zone.clone(),
            capacities: Vec::new(),
        };
        let leads = self.leads();
        if let Some(leader) = self.group.as_ref().and_then(|group| group.raft.leader_host()) {
            let term = self.group.as_ref().map_or(0, |group| group.raft.term());
            let leader = leader.clone();
            self.peers.record_leader(term, leader);
        }
        if leads {
            self.peers.leader_last_heard = Some(now);
            self.peers.update_leaderless(now, true);
            self.peers.next_heartbeat = now + HEARTBEAT_INTERVAL;
            return;
        }
        let known = self.peers.live_leader(now).is_some();
        if self.peers.update_leaderless(now, known) {
            log::warn!(version = self.configuration.version; "no leader is known any more");
        }
        self.report_missing_leader();
        match self.peers.live_leader(now) {
            Some(leader) => {
                self.peers.next_heartbeat = now + HEARTBEAT_INTERVAL;
                heartbeat.capacities = self.unsent_capacity_reports();
                self.send(&leader, PeerMessage::Heartbeat(heartbeat));
            }
            None => {
                self.peers.next_heartbeat = now + LEADERLESS_HEARTBEAT_INTERVAL;
                let me = self.cfg.host.clone();
                for host in self.peers.candidates().into_iter().filter(|host| *host != me) {
                    self.send(&host, PeerMessage::Heartbeat(heartbeat.clone()));
                }
            }
        }
    }

    /// Logs at intervals whose votes an election needs, and which of these hosts this one hears; on a
    /// host with a disk that is no member, whom it asks to join.
    fn report_missing_leader(&mut self) {
        let now = self.now;
        let due = now >= self.peers.next_leaderless_report;
        if !due || self.peers.leaderless_for(now) < LEADERLESS_REPORT_AFTER {
            return;
        }
        self.peers.next_leaderless_report = now + LEADERLESS_REPORT_INTERVAL;
        let heard = self.peers.heard_within(now, PEER_TIMEOUT);
        let heard: Vec<&str> = heard.iter().map(|(host, _)| host.as_str()).collect();
        let heard = heard.join(" ");
        match &self.group {
            Some(group) => {
                let config = group.raft.config();
                log::warn!(term = group.raft.term(), last = group.raft.last_index(),
                    voters = host_list(config, |role| role != Role::Learner).as_str(),
                    learners = host_list(config, |role| role == Role::Learner).as_str(),
                    heard = heard.as_str(); "the group has no leader");
            }
            None if self.cfg.disk => {
                let asked = self.peers.candidates().join(" ");
                log::warn!(member = self.member, asked = asked.as_str(), heard = heard.as_str();
                    "no leader lets this host join the group");
            }
            None => {}
        }
    }

    fn on_host_heartbeat(&mut self, from: &HostId, heartbeat: HostHeartbeat) {
        let HostHeartbeat { process, sent_at, version, draining, zone, capacities } = heartbeat;
        self.use_capacity_reports(capacities);
        let known = self.peers.by_host.get(from);
        let sending_until = known.filter(|p| p.version == version).and_then(|p| p.sending_until);
        let peer = Peer { last_heard: self.now, version, draining, zone, sending_until };
        self.peers.by_host.insert(from.clone(), peer);
        let Some(group) = &self.group else { return };
        let leader = group.raft.leader_host().map(|host| (group.raft.term(), host.clone()));
        let members = group.raft.config().members();
        let answers = |member: &&consensus::Member| {
            let heard = group.raft.last_response(member.id);
            heard.is_some_and(|at| self.now < at + RESPONSIVE_WITHIN)
        };
        let responsive = members.iter().filter(answers).map(|m| m.host.clone()).collect();
        let members = members.iter().map(|m| m.host.clone()).collect();
        let leads = group.leads();
        let in_force = group.state.configuration().version;
        let confirmed_at = group.raft.confirmed_at().filter(|_| leads);
        let confirm = |at| Confirmation {
            process,
            asked_at: sent_at,
            leader_age: self.now.saturating_sub(at),
        };
        let confirmation = confirmed_at.map(|at| Box::new(confirm(at)));
        self.send(
            from,
            PeerMessage::HeartbeatResponse {
                leader,
                members,
                responsive,
                leads,
                version: in_force,
                confirmation,
            },
        );
        self.offer_configuration(from);
    }

    fn on_heartbeat_response(
        &mut self,
        from: &HostId,
        leader: Option<(Term, HostId)>,
        members: Vec<HostId>,
        leads: bool,
        version: Version,
    ) {
        self.peers.set_members(members);
        if let Some((term, host)) = leader {
            let found = self.peers.record_leader(term, host);
            if found && !leads {
                // Send the next heartbeat to the new leader at once.
                self.peers.next_heartbeat = self.now;
            }
        }
        let is_leader = self.peers.leader.as_ref().is_some_and(|(_, host)| host == from);
        if leads && is_leader {
            if !self.peers.leader_heard_within(self.now, LEADER_TIMEOUT) {
                log::info!(leader = from.as_str(), version = version; "leader found");
                self.retry_calls_now();
            }
            self.peers.leader_last_heard = Some(self.now);
            self.peers.leader_version = self.peers.leader_version.max(version);
            self.peers.update_leaderless(self.now, true);
        }
    }
}
