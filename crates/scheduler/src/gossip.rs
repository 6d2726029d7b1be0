//! How hosts find the group and its leader, and learn of configurations.

use crate::io::Output;
use crate::message::{HostHeartbeat, PeerMessage};
use crate::node::Node;
use consensus::{Config, Term, ANNOUNCE_INTERVAL};
use jobs::Configuration;
use std::sync::Arc;
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp, Version, ZoneName};

/// How often a host says that it is there.
const BEAT_EVERY: Duration = Duration::from_millis(250);
/// How often while no leader is known.
const BEAT_IN_A_HURRY: Duration = Duration::from_millis(120);
/// A leader not heard for this long is looked for anew.
const LEADER_SILENCE: Duration = Duration::from_millis(700);
/// A host heard this recently can make calls for the leader.
const PRESENT: Duration = Duration::from_millis(1_300);
/// Hosts remembered; a cell has fewer that belong to the group.
const MAX_KNOWN: usize = 64;

/// A host whose heartbeats come here.
#[derive(Clone, Debug)]
struct Present {
    heard: Timestamp,
    version: Version,
    draining: bool,
    zone: ZoneName,
}

/// What a host knows of the group and of others.
#[derive(Debug)]
pub(crate) struct Known {
    /// Hosts that belong, or may belong, to the group.
    members: Vec<HostId>,
    seeds: Vec<HostId>,
    leader: Option<(Term, HostId)>,
    leader_heard: Option<Timestamp>,
    /// Since when no leader is known.
    lost_at: Option<Timestamp>,
    present: SortedMap<HostId, Present>,
    pub(crate) next_beat: Timestamp,
}

impl Known {
    pub(crate) fn new(seeds: &[HostId]) -> Known {
        Known {
            members: Vec::new(),
            seeds: seeds.to_vec(),
            leader: None,
            leader_heard: None,
            lost_at: None,
            present: SortedMap::default(),
            next_beat: Timestamp::ZERO,
        }
    }

    pub(crate) fn set_seeds(&mut self, seeds: &[HostId]) {
        self.seeds = seeds.to_vec();
    }

    /// Hosts that belong to the group, as far as is known.
    pub(crate) fn members(&self) -> &[HostId] {
        &self.members
    }

    /// Hosts to try, members before seeds.
    pub(crate) fn candidates(&self) -> Vec<HostId> {
        let seeds = self.seeds.iter().filter(|seed| !self.members.contains(seed));
        self.members.iter().chain(seeds).cloned().collect()
    }

    fn set_members(&mut self, members: Vec<HostId>) {
        if !members.is_empty() {
            self.members = members;
            self.members.truncate(MAX_KNOWN);
        }
    }

    fn note_leader(&mut self, term: Term, host: HostId) -> bool {
        let newer = self.leader.as_ref().is_none_or(|(known, _)| term > *known);
        if newer {
            self.leader = Some((term, host));
            self.leader_heard = None;
        }
        newer
    }

    pub(crate) fn forget_leader(&mut self) {
        self.leader_heard = None;
    }

    pub(crate) fn leader_heard_within(&self, now: Timestamp, span: Duration) -> bool {
        self.leader_heard.is_some_and(|at| now < at + span)
    }

    /// Notes whether a leader is known. True when the last one was just lost.
    fn note_silence(&mut self, now: Timestamp, known: bool) -> bool {
        if known {
            self.lost_at = None;
            return false;
        }
        let lost = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        lost
    }

    /// For how long no leader has been known.
    pub(crate) fn without_leader(&self, now: Timestamp) -> Duration {
        self.lost_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// The leader, where it was heard lately.
    pub(crate) fn live_leader(&self, now: Timestamp) -> Option<HostId> {
        let (_, host) = self.leader.as_ref()?;
        self.leader_heard_within(now, LEADER_SILENCE).then(|| host.clone())
    }

    /// Hosts heard within this time that go on running, with their zones.
    pub(crate) fn heard_within(&self, now: Timestamp, span: Duration) -> Vec<(&HostId, &ZoneName)> {
        let here = self.present.iter().filter(|(_, p)| now < p.heard + span && !p.draining);
        here.map(|(host, present)| (host, &present.zone)).collect()
    }

    /// Hosts heard lately and go on running.
    pub(crate) fn present(&self, now: Timestamp) -> Vec<HostId> {
        let here = self.present.iter().filter(|(_, p)| now < p.heard + PRESENT && !p.draining);
        here.map(|(host, _)| host.clone()).collect()
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
            M::Heartbeat(beat) => self.on_host_beat(&from, beat),
            M::HeartbeatResponse { leader, members, leads, version } => {
                self.on_group(&from, leader, members, leads, version)
            }
            M::Configuration(configuration) => self.take_configuration(configuration),
            M::EmptyStore { member, bootstrap } => self.on_empty_store(&from, member, bootstrap),
            M::SeekLeader(member) => self.on_seek(&from, member),
            M::FormGroup(config) => self.on_form(config),
            M::JoinGroup => {
                if self.group.is_none() && self.cfg.disk {
                    self.form(Config::default());
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
            M::Advised { number, tickets } => self.on_advised(number, tickets),
        }
    }

    fn on_raft(&mut self, from: &HostId, envelope: consensus::Envelope) {
        let now = self.now;
        if let Some(group) = &mut self.group {
            group.note_sender(envelope.from, from);
            group.raft.step(now, envelope);
        }
    }

    /// Says that it is there, looks for the leader, and says that its folder is blank.
    pub(crate) fn gossip(&mut self) {
        let now = self.now;
        self.announce_folder();
        if now < self.known.next_beat {
            return;
        }
        let beat = PeerMessage::Heartbeat(HostHeartbeat {
            process: self.process,
            version: self.configuration.version,
            draining: self.draining,
            zone: self.cfg.zone.clone(),
        });
        let leads = self.leads();
        if let Some(leader) = self.group.as_ref().and_then(|group| group.raft.leader_host()) {
            let term = self.group.as_ref().map_or(0, |group| group.raft.term());
            let leader = leader.clone();
            self.known.note_leader(term, leader);
        }
        if leads {
            self.known.leader_heard = Some(now);
            self.known.note_silence(now, true);
            self.known.next_beat = now + BEAT_EVERY;
            return;
        }
        let known = self.known.live_leader(now).is_some();
        if self.known.note_silence(now, known) {
            log::warn!(version = self.configuration.version; "the leader is lost");
        }
        match self.known.live_leader(now) {
            Some(leader) => {
                self.known.next_beat = now + BEAT_EVERY;
                self.send(&leader, beat);
            }
            None => {
                self.known.next_beat = now + BEAT_IN_A_HURRY;
                let me = self.cfg.host.clone();
                for host in self.known.candidates().into_iter().filter(|host| *host != me) {
                    self.send(&host, beat.clone());
                }
            }
        }
    }

    fn on_host_beat(&mut self, from: &HostId, beat: HostHeartbeat) {
        let HostHeartbeat { version, draining, zone, .. } = beat;
        let present = Present { heard: self.now, version, draining, zone };
        self.known.present.insert(from.clone(), present);
        let Some(group) = &self.group else { return };
        let leader = group.raft.leader_host().map(|host| (group.raft.term(), host.clone()));
        let members = group.raft.config().members().iter().map(|m| m.host.clone()).collect();
        let leads = group.leads();
        let in_force = group.state.configuration().version;
        let configuration = group.state.configuration().clone();
        self.send(
            from,
            PeerMessage::HeartbeatResponse { leader, members, leads, version: in_force },
        );
        if leads && version < in_force {
            self.send(from, PeerMessage::Configuration(configuration));
        }
    }

    fn on_group(
        &mut self,
        from: &HostId,
        leader: Option<(Term, HostId)>,
        members: Vec<HostId>,
        leads: bool,
        version: Version,
    ) {
        self.known.set_members(members);
        if let Some((term, host)) = leader {
            let found = self.known.note_leader(term, host);
            if found && !leads {
                // Ask the new leader itself soon.
                self.known.next_beat = self.now;
            }
        }
        let is_leader = self.known.leader.as_ref().is_some_and(|(_, host)| host == from);
        if leads && is_leader {
            if !self.known.leader_heard_within(self.now, LEADER_SILENCE) {
                log::info!(leader = from.as_str(), version = version; "leader found");
                self.retry_calls_now();
            }
            self.known.leader_heard = Some(self.now);
            self.known.note_silence(self.now, true);
        }
    }

    /// Puts a configuration in force here; an older one never replaces a newer one.
    pub(crate) fn take_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.version <= self.configuration.version {
            return;
        }
        log::info!(version = configuration.version, queues = configuration.queues.len();
            "configuration in force");
        self.configuration = configuration;
        self.out.push(Output::Configured(self.configuration.clone()));
    }

    /// Tells hosts whose heartbeats come here of a new configuration.
    pub(crate) fn spread_configuration(&mut self) {
        let configuration = self.configuration.clone();
        let behind = self.known.present.iter().filter(|(_, p)| p.version < configuration.version);
        let behind: Vec<HostId> = behind.map(|(host, _)| host.clone()).collect();
        for host in behind {
            self.send(&host, PeerMessage::Configuration(configuration.clone()));
        }
    }

    fn announce_folder(&mut self) {
        let now = self.now;
        if !self.cfg.disk || now < self.next_announcement {
            return;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let me = self.cfg.host.clone();
        if let Some(group) = &self.group {
            // A member hears the leader's heartbeats and is not heard of here.
            if group.raft.leader().is_none() {
                let seek = PeerMessage::SeekLeader(self.member);
                for host in self.known.candidates().into_iter().filter(|host| *host != me) {
                    self.send(&host, seek.clone());
                }
            }
            return;
        }
        if let Some(forming) = &self.forming {
            if let Some(config) = forming.initial_config(&me, self.member, now) {
                let others = forming.other_hosts(&me);
                log::info!(members = config.members().len(); "the group is formed");
                self.form(config.clone());
                for host in others {
                    self.send(&host, PeerMessage::FormGroup(config.clone()));
                }
                return;
            }
        }
        let bootstrap = self.forming.is_some();
        let announcement = PeerMessage::EmptyStore { member: self.member, bootstrap };
        for host in self.known.candidates().into_iter().filter(|host| *host != me) {
            self.send(&host, announcement.clone());
        }
    }

    /// Another host's folder knows nothing of the group.
    fn on_empty_store(&mut self, from: &HostId, member: MemberId, bootstrap: bool) {
        let now = self.now;
        if let Some(forming) = &mut self.forming {
            if bootstrap {
                forming.record_empty_store(from, member, now);
                // The first host need not wait for its own next announcement.
                self.next_announcement = self.next_announcement.min(now);
            }
            return;
        }
        let Some(group) = &self.group else { return };
        let config = group.raft.config();
        if config.get(member).is_some() {
            let fresh = bootstrap && group.raft.snapshot_index() == 0;
            let answer =
                if fresh { PeerMessage::FormGroup(config.clone()) } else { PeerMessage::JoinGroup };
            self.send(from, answer);
        } else {
            self.newcomers.record(from, member, now);
            self.pass_on_newcomer(from, member);
        }
    }

    fn on_seek(&mut self, from: &HostId, member: MemberId) {
        let now = self.now;
        let unknown = self.group.as_ref().is_some_and(|g| g.raft.config().get(member).is_none());
        if unknown {
            self.newcomers.record(from, member, now);
        }
    }

    /// A newcomer may know only this host, so the leader hears of it from here.
    fn pass_on_newcomer(&mut self, _from: &HostId, _member: MemberId) {}

    fn on_form(&mut self, config: Config) {
        if self.forming.is_some() && config.get(self.member).is_some() {
            log::info!(members = config.members().len(); "the group is formed");
            self.form(config);
        }
    }
}
