//! [`Host`]: dispatches inputs, runs timers and collects outputs.

use crate::call::{
    Answer, GroupStatus, HostStats, HostStatus, MemberStatus, PeerStatus, UpstreamStatus,
};
use crate::calls::{ForwardedCall, Gather, Retry};
use crate::config::{HostConfig, InjectedBug, StartState};
use crate::group::Group;
use crate::io::{Input, Output};
use crate::message::{GroupId, PeerMessage};
use crate::origin::Origin;
use crate::peers::Peers;
use crate::proxy::{KeyedRequest, PendingOutcome};
use crate::release::ReleaseStore;
use consensus::{Config, GroupFormation, JoinRequests, Raft, Restored};
use membership::Table;
use routing::{Router, RouterBuilder};
use std::time::Duration;
use types::{ExchangeId, HostId, MemberId, Refusal, SortedMap, Timestamp, ZoneName};

/// A gap this long between two steps means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Interval of heartbeats to peers and of periodic work that has no deadline of its own.
const PERIODIC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum rounds over all groups in one step, for commands that lead to further commands. The
/// rest waits for the next step.
const MAX_COMMAND_ROUNDS: usize = 64;

/// One entry host: its complete state and logic. See the crate documentation.
#[derive(Debug)]
pub struct Host {
    pub(crate) cfg: HostConfig,
    pub(crate) member: MemberId,
    pub(crate) process: MemberId,
    pub(crate) now: Timestamp,
    pub(crate) rng: fastrand::Rng,
    pub(crate) zones: Vec<ZoneName>,
    pub(crate) groups: SortedMap<GroupId, Group>,
    pub(crate) forming: SortedMap<GroupId, GroupFormation>,
    pub(crate) join_requests: SortedMap<GroupId, JoinRequests>,
    pub(crate) peers: Peers,
    pub(crate) table: Table,
    pub(crate) router: Router,
    pub(crate) release: ReleaseStore,
    pub(crate) forwarded_calls: SortedMap<u64, ForwardedCall>,
    pub(crate) last_call: u64,
    pub(crate) retries: Vec<Retry>,
    pub(crate) gathers: SortedMap<ExchangeId, Gather>,
    pub(crate) keyed_requests: SortedMap<ExchangeId, KeyedRequest>,
    pub(crate) pending_outcomes: SortedMap<ExchangeId, PendingOutcome>,
    pub(crate) slot_request_numbers: SortedMap<ZoneName, u64>,
    pub(crate) next_slot_request: Timestamp,
    pub(crate) next_periodic: Timestamp,
    pub(crate) next_pull: Timestamp,
    /// Number of the `PullUpstreams` request sent after a pause, or 0 when none is outstanding.
    pub(crate) resync_id: u64,
    pub(crate) heartbeat_due: bool,
    pub(crate) draining: bool,
    pub(crate) out: Vec<Output>,
    pub(crate) stats: HostStats,
}

impl Host {
    /// Creates a host from what its data directory holds.
    pub fn new(cfg: HostConfig, start: StartState) -> Host {
        let routing_bug = match cfg.injected_bug {
            InjectedBug::Routing(bug) => bug,
            _ => Default::default(),
        };
        let mut rng = fastrand::Rng::with_seed(start.seed);
        let router = RouterBuilder::new(&cfg.zone, rng.u64(..))
            .max_waiting(cfg.max_waiting)
            .inject_bug(routing_bug)
            .build();
        let mut table = Table::new(&cfg.zone, cfg.upstream_silence);
        if cfg.has_bug(InjectedBug::LateRenewalsWin) {
            table.accept_late_renewals();
        }
        let may_revert = cfg.has_bug(InjectedBug::ReleaseMayRevert);
        let mut host = Host {
            member: start.member,
            process: start.process,
            now: start.now,
            rng,
            zones: cfg.zones(),
            groups: SortedMap::default(),
            forming: SortedMap::default(),
            join_requests: SortedMap::default(),
            peers: Peers::new(&cfg.peers),
            table,
            router,
            release: ReleaseStore::new(start.release, may_revert),
            forwarded_calls: SortedMap::default(),
            // Starts from the process number, so that call numbers of an earlier process are not
            // reused.
            last_call: start.process >> 16,
            retries: Vec::new(),
            gathers: SortedMap::default(),
            keyed_requests: SortedMap::default(),
            pending_outcomes: SortedMap::default(),
            slot_request_numbers: SortedMap::default(),
            next_slot_request: start.now,
            next_periodic: start.now,
            next_pull: start.now,
            resync_id: 0,
            heartbeat_due: true,
            draining: false,
            out: Vec::new(),
            stats: HostStats::default(),
            cfg,
        };
        host.open_groups(start.groups);
        host
    }

    fn open_groups(&mut self, mut found: SortedMap<GroupId, Restored>) {
        let ids: Vec<GroupId> = self.cfg.groups.keys().cloned().collect();
        for id in ids {
            let members = self.cfg.groups.get(&id).expect("id comes from the same map");
            if let Some(restored) = found.remove(&id) {
                self.open_group(&id, restored);
            } else if members.iter().any(|m| m.host == self.cfg.host) {
                self.forming.insert(id, GroupFormation::new(members.clone(), self.now));
            }
        }
    }

    pub(crate) fn open_group(&mut self, id: &GroupId, restored: Restored) {
        let seed = self.rng.u64(..);
        let tuning = self.cfg.tuning.clone();
        let raft = Raft::new(self.member, tuning, restored, self.now, seed);
        let bug = match self.cfg.injected_bug {
            InjectedBug::State(bug) => bug,
            _ => Default::default(),
        };
        self.groups.insert(id.clone(), Group::new(id.clone(), raft, bug));
        self.join_requests.insert(id.clone(), JoinRequests::default());
        self.forming.remove(id);
    }

    /// Opens a group with an empty log. `config` lists its members when the group is formed, and
    /// is empty when this host joins an existing group.
    pub(crate) fn form_group(&mut self, id: &GroupId, config: Config) {
        self.out.push(Output::FormGroup(id.clone(), config.clone()));
        self.open_group(id, Restored::new_group(config));
    }

    /// Handles one input and returns the outputs it leads to.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.handle(now, input);
        self.finish(now)
    }

    /// Handles one input. The next [`Host::finish`] returns the outputs, so that many inputs can
    /// share one disk write.
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        self.advance(now);
        match input {
            Input::Tick => {}
            Input::Call(exchange, call) => self.on_call(exchange, call),
            Input::Request(exchange, request) => self.on_request(exchange, request),
            Input::AttemptEnded { exchange, attempt, result, answer } => {
                self.on_attempt_ended(exchange, attempt, result, answer)
            }
            Input::Abandoned(exchange) => self.on_abandoned(exchange),
            Input::Peer(from, message) => self.on_peer(from, message),
            Input::Drain => {
                self.draining = true;
                self.heartbeat_due = true;
            }
        }
    }

    /// Runs due timers and returns all pending outputs, durable ones first.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Output> {
        self.advance(now);
        self.run_timers();
        for _ in 0..MAX_COMMAND_ROUNDS {
            if !self.drive_groups() {
                break;
            }
        }
        self.send_heartbeat_if_due();
        let mut out = std::mem::take(&mut self.out);
        out.sort_by_key(|output| !output.is_durable());
        out
    }

    /// Advances the clock. After a pause of this process, silence proves nothing about others, so
    /// all silence timers restart.
    fn advance(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.table.restart_silence_timers(self.now);
        self.resync_upstreams();
        for group in self.groups.values_mut() {
            // A paused leader steps down here, as another may have been elected.
            group.raft.tick(now);
            if let Some(leader) = &mut group.leader {
                leader.restart_silence_timers(now);
            }
        }
    }

    fn run_timers(&mut self) {
        let now = self.now;
        for group in self.groups.values_mut() {
            if now >= group.raft.next_wakeup() {
                group.raft.tick(now);
            }
        }
        self.announce_empty_stores();
        self.expire_calls();
        self.retry_calls();
        self.poll_records();
        self.retry_pending_outcomes();
        let actions = self.router.tick(now);
        self.perform_actions(actions);
        if now >= self.next_periodic {
            self.next_periodic = now + PERIODIC_INTERVAL;
            self.heartbeat_due = true;
            self.table.tick(now);
            self.send_renewals_in_zone();
            self.pull_release_if_behind();
            self.seek_leaders();
        }
        self.broadcast_upstream_changes();
        self.request_slots_if_due();
        self.transfer_leadership_if_draining();
    }

    /// The latest time at which [`Host::step`] must be called again.
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.next_periodic.min(self.next_slot_request);
        for group in self.groups.values() {
            next = next.min(group.raft.next_wakeup());
            if !group.raft.is_idle() {
                return self.now;
            }
            if let Some(leader) = &group.leader {
                next = next.min(leader.next_check);
                let parked = leader.parked.values().map(|parked| parked.until);
                next = parked.fold(next, Timestamp::min);
            }
        }
        let retries = self.retries.iter().map(|retry| retry.at);
        let forming = self.forming.values().map(|forming| forming.next_announcement);
        let polls = self.keyed_requests.values().filter_map(|keyed| keyed.next_poll());
        let all = retries.chain(forming).chain(polls).chain(self.router.next_wakeup());
        all.fold(next, Timestamp::min)
    }

    fn transfer_leadership_if_draining(&mut self) {
        if !self.draining {
            return;
        }
        for group in self.groups.values_mut() {
            if let Some(successor) = group.raft.transfer_target() {
                group.raft.transfer_leadership(self.now, successor);
            }
        }
    }

    /// Whether a planned stop may end: no request is open, and no group that this host leads has a
    /// member to transfer leadership to.
    pub fn is_drained(&self) -> bool {
        let leads =
            |group: &Group| group.raft.is_leader() && group.raft.transfer_target().is_some();
        let open =
            self.router.open_requests() + self.keyed_requests.len() + self.pending_outcomes.len();
        self.draining && open == 0 && !self.groups.values().any(leads)
    }

    /// Why the load balancer should not send requests here, or `None` when it should.
    pub fn unready_reason(&self) -> Option<String> {
        if self.draining {
            return Some("this host is being stopped".to_string());
        }
        if self.release.current().version == 0 {
            return Some("no release is in force here yet".to_string());
        }
        None
    }

    pub(crate) fn answer(&mut self, origin: Origin, answer: Result<Answer, Refusal>) {
        match origin {
            Origin::Exchange(exchange) => self.out.push(Output::Answer(exchange, answer)),
            Origin::Peer(host, id) => {
                let message = PeerMessage::CallAnswer { id, answer: Box::new(answer) };
                self.out.push(Output::Send(host, message));
            }
            Origin::Gather(exchange, zone) => self.gather(exchange, zone, answer),
            Origin::RecordBegin(exchange) => self.on_record_begun(exchange, answer),
            Origin::RecordFinish(exchange) => self.on_record_finished(exchange, answer),
            Origin::SlotRequest(zone, number, sent) => {
                self.on_slot_grants(&zone, number, sent, answer)
            }
        }
    }

    pub(crate) fn send(&mut self, to: &HostId, message: PeerMessage) {
        self.out.push(Output::Send(to.clone(), message));
    }

    pub(crate) fn send_all(&mut self, message: &PeerMessage) {
        for host in self.peers.names() {
            self.send(&host, message.clone());
        }
    }

    /// The replicated state of a zone, or `None` if this host is not a member of its group.
    pub fn zone_state(&self, zone: &str) -> Option<&state::ZoneState> {
        self.groups.get(&GroupId::Zone(zone.to_string()))?.zone()
    }

    /// The release in force at this host.
    pub fn release(&self) -> &types::Release {
        self.release.current()
    }

    /// Upstreams to which this host routes requests.
    pub fn serving_upstreams(&self) -> Vec<types::UpstreamId> {
        self.router.upstreams().map(|(id, _)| id.clone()).collect()
    }

    /// Whether this host leads the group and has applied enough of the log to answer for it.
    pub fn leads(&self, group: &GroupId) -> bool {
        // Entries committed by an input are applied when the groups are next driven, which also
        // sets `led_term`. Until then the state is behind the log.
        let applied = |g: &Group| g.led_term == Some(g.raft.term());
        self.groups.get(group).is_some_and(|g| g.raft.has_committed_in_term() && applied(g))
    }

    /// Status of this host, its groups, peers and upstreams.
    pub fn status(&self) -> HostStatus {
        let unready_reason = self.unready_reason();
        let peers = self.peers.iter().map(|(host, state)| PeerStatus {
            host: host.clone(),
            zone: state.zone.clone(),
            silent_for: state.last_contact.map(|at| self.now.saturating_sub(at)),
            release: state.release,
            draining: state.draining,
        });
        HostStatus {
            host: self.cfg.host.clone(),
            zone: self.cfg.zone.clone(),
            ready: unready_reason.is_none(),
            not_ready_because: unready_reason.unwrap_or_default(),
            release: self.release.current().version,
            release_digest: self.release.current().digest.clone(),
            groups: self.groups.values().map(group_status).collect(),
            forming: self.forming.keys().map(|id| id.to_string()).collect(),
            peers: peers.collect(),
            upstreams: self.upstream_statuses(),
            open_requests: self.router.open_requests(),
        }
    }

    fn upstream_statuses(&self) -> Vec<UpstreamStatus> {
        self.router.upstream_stats(self.now).into_iter().map(UpstreamStatus::from).collect()
    }

    /// Counters since the start and current gauges. Waiting times are those since the last call.
    pub fn take_stats(&mut self) -> HostStats {
        let own = GroupId::Zone(self.cfg.zone.clone());
        let leader = self.groups.get(&own).and_then(|group| group.leader.as_ref());
        let mut stats = self.stats.clone();
        self.stats.waits.clear();
        stats.waiting_jobs = leader.map_or(0, |leader| leader.planner.waiting_jobs());
        stats.services = self.router.service_stats();
        stats.release = self.release.current().version;
        stats.open_requests = self.router.open_requests();
        stats.zone_term = self.groups.get(&own).map_or(0, |group| group.raft.term());
        stats.leads_zone = self.leads(&own);
        stats.leads_cell = self.leads(&GroupId::Cell);
        let services = self.release.current().services.values();
        stats.objectives = services
            .filter_map(|s| Some((s.name.clone(), s.objective.as_ref()?.answer_within)))
            .collect();
        stats.drained = self.is_drained();
        stats.at = self.now;
        stats
    }
}

fn group_status(group: &Group) -> GroupStatus {
    let raft = &group.raft;
    let members = raft.config().members().iter().map(|member| MemberStatus {
        id: member.id,
        host: member.host.clone(),
        role: format!("{:?}", member.role),
        matched: if member.id == raft.id() {
            Some(raft.last_index())
        } else {
            raft.matched(member.id)
        },
    });
    GroupStatus {
        group: group.id.to_string(),
        term: raft.term(),
        leader: raft.leader_host().cloned(),
        members: members.collect(),
        commit: raft.commit_index(),
        snapshot: raft.snapshot_index(),
    }
}
