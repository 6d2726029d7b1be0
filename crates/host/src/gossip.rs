//! Messages between entry hosts: heartbeats, upstream records, releases, slot requests and group
//! formation.

use crate::call::{Answer, GroupCall};
use crate::host::Host;
use crate::message::{GroupId, HostHeartbeat, PeerMessage};
use crate::origin::Origin;
use consensus::{Config, ANNOUNCE_INTERVAL};
use membership::{Announcement, Record, Status};
use routing::{base_share, UpstreamInfo};
use std::time::Duration;
use types::{HostId, MemberId, Refusal, Timestamp};

/// Interval at which slots of upstreams are requested from the zones' leaders.
const SLOT_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay of the next slot request while requests are queued or upstreams have changed.
const URGENT_SLOT_REQUEST_DELAY: Duration = Duration::from_millis(50);
/// After a pause, requests wait at most this long for a peer's upstream table.
const RESYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two pulls of a peer's upstream table.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

impl Host {
    pub(crate) fn on_peer(&mut self, from: HostId, message: PeerMessage) {
        if !self.peers.is_known(&from) {
            return;
        }
        self.peers.record_contact(&from, self.now);
        use PeerMessage as M;
        match message {
            M::Raft(id, envelope) => self.on_raft(&from, &id, envelope),
            M::Heartbeat(heartbeat) => self.on_host_heartbeat(&from, heartbeat),
            M::Call { id, hops, call } => self.on_peer_call(from, id, hops, *call),
            M::CallAnswer { id, answer } => self.on_call_answer(id, *answer),
            M::Upstreams(_) | M::AllUpstreams(..) | M::PullUpstreams(_) | M::Renewals(_) => {
                self.on_upstream_message(&from, message)
            }
            M::PullRelease(_) | M::Notes(_) | M::Release(_) => {
                self.on_release_message(&from, message)
            }
            M::EmptyStore(..) | M::SeekLeader(..) | M::FormGroup(..) | M::JoinGroup(_) => {
                self.on_membership_message(&from, message)
            }
        }
    }

    fn on_raft(&mut self, from: &HostId, id: &GroupId, envelope: consensus::Envelope) {
        let now = self.now;
        if let Some(group) = self.groups.get_mut(id) {
            group.record_sender(envelope.from, from);
            group.raft.step(now, envelope);
        }
    }

    fn on_upstream_message(&mut self, from: &HostId, message: PeerMessage) {
        match message {
            PeerMessage::Upstreams(records) => {
                let changed = self.table.merge(self.now, records);
                self.apply_upstream_records(&changed);
            }
            PeerMessage::AllUpstreams(number, records) => self.on_all_upstreams(number, records),
            PeerMessage::PullUpstreams(number) => {
                let records = PeerMessage::AllUpstreams(number, self.table.records());
                self.send(from, records);
            }
            PeerMessage::Renewals(renewals) => self.table.merge_renewals(self.now, &renewals),
            _ => {}
        }
    }

    fn on_release_message(&mut self, from: &HostId, message: PeerMessage) {
        let changed = match message {
            PeerMessage::PullRelease(have) => {
                if let Some(update) = self.release.update_for(have) {
                    self.send(from, update);
                }
                false
            }
            PeerMessage::Notes(notes) => self.release.apply_notes(notes),
            PeerMessage::Release(release) => self.release.set(&release),
            _ => false,
        };
        if changed {
            self.release_changed();
        }
    }

    fn on_membership_message(&mut self, from: &HostId, message: PeerMessage) {
        match message {
            PeerMessage::EmptyStore(id, member) => self.on_empty_store(from, &id, member),
            // Unlike with `EmptyStore`, a data directory that holds a log never counts towards
            // forming the group anew.
            PeerMessage::SeekLeader(id, member)
                if self.groups.get(&id).is_some_and(|group| !group.knows_member(member)) =>
            {
                self.record_join_request(from, &id, member)
            }
            PeerMessage::FormGroup(id, config)
                if self.forming.contains_key(&id) && config.get(self.member).is_some() =>
            {
                self.form_group(&id, config)
            }
            PeerMessage::JoinGroup(id) if self.forming.contains_key(&id) => {
                self.form_group(&id, Config::default())
            }
            _ => {}
        }
    }

    fn on_all_upstreams(&mut self, number: u64, records: Vec<Record>) {
        let changed = self.table.merge(self.now, records);
        self.apply_upstream_records(&changed);
        if number == self.resync_id {
            self.resync_id = 0;
            self.router.pause_until(Timestamp::ZERO);
            let actions = self.router.tick(self.now);
            self.perform_actions(actions);
        }
    }

    /// After a pause, pulls the peers' upstream tables. An upstream may have left in the meantime,
    /// so requests wait until a peer has answered, or until [`RESYNC_TIMEOUT`].
    pub(crate) fn resync_upstreams(&mut self) {
        self.last_call += 1;
        self.resync_id = self.last_call;
        self.router.pause_until(self.now + RESYNC_TIMEOUT);
        self.send_all(&PeerMessage::PullUpstreams(self.resync_id));
    }

    fn on_host_heartbeat(&mut self, from: &HostId, heartbeat: HostHeartbeat) {
        self.peers.record_heartbeat(from, &heartbeat);
        if heartbeat.upstreams != self.table.digest() && self.now >= self.next_pull {
            self.next_pull = self.now + PULL_INTERVAL;
            self.send(from, PeerMessage::PullUpstreams(0));
        }
        if heartbeat.release > self.release.current().version {
            self.pull_release_if_behind();
        }
    }

    pub(crate) fn pull_release_if_behind(&mut self) {
        let ours = self.release.current().version;
        if let Some(host) = self.peers.with_newer_release(ours, self.now) {
            self.send(&host, PeerMessage::PullRelease(ours));
        }
    }

    pub(crate) fn send_heartbeat_if_due(&mut self) {
        if !std::mem::take(&mut self.heartbeat_due) {
            return;
        }
        let led = self.groups.iter().filter(|(_, group)| group.raft.has_committed_in_term());
        let leads = led.map(|(id, group)| (id.clone(), group.raft.term())).collect();
        let heartbeat = HostHeartbeat {
            process: self.process,
            release: self.release.current().version,
            leads,
            draining: self.draining,
            upstreams: self.table.digest(),
        };
        self.send_all(&PeerMessage::Heartbeat(heartbeat));
    }

    /// Applies local upstream changes to the router and sends them to all peers.
    pub(crate) fn broadcast_upstream_changes(&mut self) {
        let changes = self.table.take_changes();
        if changes.is_empty() {
            return;
        }
        self.apply_upstream_records(&changes);
        self.send_all(&PeerMessage::Upstreams(changes));
    }

    pub(crate) fn send_renewals_in_zone(&mut self) {
        let renewals = self.table.take_renewals();
        if renewals.is_empty() {
            return;
        }
        let zone = self.cfg.zone.clone();
        let own: Vec<HostId> = self
            .peers
            .iter()
            .filter(|(_, known)| known.zone == zone)
            .map(|(host, _)| host.clone())
            .collect();
        for host in own {
            self.send(&host, PeerMessage::Renewals(renewals.clone()));
        }
    }

    fn apply_upstream_records(&mut self, records: &[Record]) {
        for record in records {
            if record.status == Status::Serving {
                let info = self.upstream_info(&record.announcement);
                let actions = self.router.set_upstream(self.now, info);
                self.perform_actions(actions);
            } else {
                self.router.remove_upstream(&record.announcement.upstream);
            }
        }
        self.request_slots_soon();
    }

    fn upstream_info(&self, announcement: &Announcement) -> UpstreamInfo {
        let own = announcement.zone == self.cfg.zone;
        let hosts = self.cfg.hosts_in(&announcement.zone);
        UpstreamInfo {
            id: announcement.upstream.clone(),
            service: announcement.service.clone(),
            zone: announcement.zone.clone(),
            slots: announcement.slots,
            incarnation: announcement.incarnation,
            base_share: if own { base_share(announcement.slots, hosts) } else { 0 },
        }
    }

    pub(crate) fn request_slots_soon(&mut self) {
        self.next_slot_request = self.next_slot_request.min(self.now + URGENT_SLOT_REQUEST_DELAY);
    }

    /// Requests slots of each zone's upstreams from the zone's leader.
    pub(crate) fn request_slots_if_due(&mut self) {
        let now = self.now;
        if now < self.next_slot_request {
            return;
        }
        self.next_slot_request = now + SLOT_REQUEST_INTERVAL;
        for zone in self.zones.clone() {
            let hosts = self.cfg.hosts_in(&zone);
            let pool = |info: &UpstreamInfo| {
                info.slots.saturating_sub(base_share(info.slots, hosts) * hosts)
            };
            let mut requests = self.router.slot_requests(now, &zone, pool);
            if zone != self.cfg.zone {
                // Other zones' upstreams are used only when those of this zone do not suffice.
                requests.retain(|request| request.want > 0 || request.held > 0);
            }
            if requests.is_empty() {
                continue;
            }
            let (host, from) = (self.cfg.host.clone(), self.cfg.zone.clone());
            let number = self.slot_request_numbers.get(&zone).map_or(1, |n| n + 1);
            self.slot_request_numbers.insert(zone.clone(), number);
            let origin = Origin::SlotRequest(zone.clone(), number, now);
            self.call_group(GroupCall::RequestSlots { zone, host, from, requests }, origin, 2, now);
        }
    }

    /// Applies granted slots. Only the answer to the latest request counts, because the slots that
    /// request reported as held are all that this host may have used since.
    pub(crate) fn on_slot_grants(
        &mut self,
        zone: &str,
        number: u64,
        sent: Timestamp,
        answer: Result<Answer, Refusal>,
    ) {
        let latest = self.slot_request_numbers.get(zone) == Some(&number);
        if let (true, Ok(Answer::Grants(grants))) = (latest, answer) {
            let until = sent + self.cfg.slot_lease;
            let actions = self.router.apply_grants(self.now, &grants, until);
            self.perform_actions(actions);
        }
    }

    /// Announces groups of which this data directory holds nothing, and forms a group once all its
    /// members have announced the same.
    pub(crate) fn announce_empty_stores(&mut self) {
        let now = self.now;
        let ids: Vec<GroupId> = self.forming.keys().cloned().collect();
        for id in ids {
            let forming = self.forming.get_mut(&id).expect("id comes from the same map");
            if let Some(config) = forming.initial_config(&self.cfg.host, self.member, now) {
                let others = forming.other_hosts(&self.cfg.host);
                self.form_group(&id, config.clone());
                for host in others {
                    self.send(&host, PeerMessage::FormGroup(id.clone(), config.clone()));
                }
                continue;
            }
            if now < forming.next_announcement {
                continue;
            }
            forming.next_announcement = now + ANNOUNCE_INTERVAL;
            // The leader may be a host that the settings no longer list as a member.
            self.send_all(&PeerMessage::EmptyStore(id, self.member));
        }
    }

    /// Handles a peer's announcement that its data directory holds nothing of a group.
    fn on_empty_store(&mut self, from: &HostId, id: &GroupId, member: MemberId) {
        let now = self.now;
        if let Some(forming) = self.forming.get_mut(id) {
            forming.record_empty_store(from, member, now);
            return;
        }
        let Some(group) = self.groups.get(id) else { return };
        if group.knows_member(member) {
            self.send(from, PeerMessage::JoinGroup(id.clone()));
        } else {
            self.record_join_request(from, id, member);
        }
    }

    fn record_join_request(&mut self, from: &HostId, id: &GroupId, member: MemberId) {
        let now = self.now;
        if let Some(requests) = self.join_requests.get_mut(id) {
            requests.record(from, member, now);
        }
    }

    /// Announces this host to all peers for each group without a known leader. The leader that added
    /// it may have been partitioned off and replaced, and its membership change undone.
    pub(crate) fn seek_leaders(&mut self) {
        let leaderless = self.groups.values().filter(|group| group.raft.leader().is_none());
        let ids: Vec<GroupId> = leaderless.map(|group| group.id.clone()).collect();
        for id in ids {
            self.send_all(&PeerMessage::SeekLeader(id, self.member));
        }
    }
}
