//! The state machine of one host, without I/O.

use crate::account_stats::account_stats;
use crate::calls::OpenCall;
use crate::capacity_reports::CapacityReports;
use crate::config::{NodeConfig, StartState};
use crate::config_changes::{ChangeLog, IncomingConfiguration};
use crate::confirmation::Confirmations;
use crate::follower_reads::FollowerReads;
use crate::gossip::PeerTable;
use crate::group::Group;
use crate::io::{Input, Output};
use crate::reconfigure::live_voters;
use crate::stats::NodeStats;
use consensus::{Config, GroupFormation, InitialMember, JoinRequests, Raft, Restored, Role};
use jobs::{Configuration, StepRef};
use std::sync::Arc;
use std::time::Duration;
use types::{ExchangeId, HostId, MemberId, SortedMap, Timestamp};

/// Limit on the rounds of commands that follow from other commands within one step. What is left
/// waits for the next step.
const MAX_COMMAND_ROUNDS: usize = 16;
/// A host that was not stepped for this long is treated as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// A host that has known no leader for this long reports itself unready, so that callers are sent
/// to other hosts.
const LEADERLESS_UNREADY_AFTER: Duration = Duration::from_millis(500);

/// A draining host waits this long for its vote to move: twice the interval of heartbeats, which
/// tell the leader of it, an election and two entries of the log.
const VOTE_MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// State machine of one host. The crate documentation describes how a driver uses it.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    /// Identity of the data directory.
    pub(crate) member: MemberId,
    /// Identity of the process.
    pub(crate) process: MemberId,
    /// Time of the current step.
    pub(crate) now: Timestamp,
    /// Wall-clock time since the Unix epoch.
    pub(crate) wall_clock: Duration,
    pub(crate) rng: fastrand::Rng,
    /// The replicated group; `None` if this host is not a member.
    pub(crate) group: Option<Group>,
    /// First formation of the group, while it is in progress.
    pub(crate) forming: Option<GroupFormation>,
    /// Hosts that ask to be added to the group.
    pub(crate) join_requests: JoinRequests,
    /// When this host may announce its data directory again.
    pub(crate) next_announcement: Timestamp,
    pub(crate) peers: PeerTable,
    pub(crate) follower_reads: FollowerReads,
    pub(crate) capacity_reports: CapacityReports,
    /// Open calls of this host's clients, by number.
    pub(crate) calls: SortedMap<u64, OpenCall>,
    /// Numbers of the open calls, by exchange.
    pub(crate) call_by_exchange: SortedMap<ExchangeId, u64>,
    pub(crate) last_call: u64,
    /// Advice calls that this host makes for the leader: by this host's number, the leader's host
    /// and number.
    pub(crate) forwarded_advice: SortedMap<u64, (HostId, u64)>,
    pub(crate) last_advice: u64,
    /// Orders that this host sends for the leader: by this host's number, the leader's host and
    /// number.
    pub(crate) forwarded_orders: SortedMap<u64, (HostId, u64)>,
    pub(crate) last_forwarded_order: u64,
    /// The configuration in force on this host.
    pub(crate) configuration: Arc<Configuration>,
    /// Changes of the configuration that this member has applied from the log.
    pub(crate) config_changes: ChangeLog,
    /// Parts of a newer configuration that this host has received.
    pub(crate) incoming_configuration: IncomingConfiguration,
    /// A difference did not lead to the leader's configuration, so all of it is needed.
    pub(crate) ask_for_whole_configuration: bool,
    pub(crate) confirmations: Confirmations,
    pub(crate) draining: bool,
    pause_ended: Option<Timestamp>,
    /// When the process was told to stop.
    draining_since: Timestamp,
    /// Outputs that [`Node::finish`] returns next.
    pub(crate) out: Vec<Output>,
    pub(crate) stats: NodeStats,
}

impl Node {
    /// Creates a node from its settings and the contents of its data directory.
    pub fn new(cfg: NodeConfig, start: StartState) -> Node {
        let mut rng = fastrand::Rng::with_seed(start.seed);
        let peers = PeerTable::new(&cfg.seeds);
        // A random base keeps numbers of an earlier process, and of an earlier node in this one, from
        // being used again.
        let base = rng.u64(..) >> 16;
        let mut node = Node {
            member: start.member,
            process: start.process,
            now: start.now,
            wall_clock: Duration::ZERO,
            group: None,
            forming: None,
            join_requests: JoinRequests::default(),
            next_announcement: start.now,
            peers,
            follower_reads: FollowerReads::default(),
            capacity_reports: CapacityReports::default(),
            calls: SortedMap::default(),
            call_by_exchange: SortedMap::default(),
            last_call: base,
            forwarded_advice: SortedMap::default(),
            last_advice: base,
            forwarded_orders: SortedMap::default(),
            last_forwarded_order: base,
            configuration: Arc::default(),
            config_changes: ChangeLog::default(),
            incoming_configuration: IncomingConfiguration::default(),
            ask_for_whole_configuration: false,
            confirmations: Confirmations::default(),
            draining: false,
            pause_ended: None,
            draining_since: start.now,
            out: Vec::new(),
            stats: NodeStats::default(),
            rng,
            cfg,
        };
        match start.group {
            Some(restored) => node.open_group(restored),
            None if node.cfg.disk && node.cfg.bootstrap && node.is_seed() => {
                let member =
                    |host: &HostId| InitialMember { host: host.clone(), role: Role::Voter };
                let members = node.cfg.seeds.iter().map(member).collect();
                node.forming = Some(GroupFormation::new(members, start.now));
            }
            None => {}
        }
        node
    }

    fn is_seed(&self) -> bool {
        self.cfg.seeds.contains(&self.cfg.host)
    }

    /// Becomes a member of the group with this log and snapshot.
    pub(crate) fn open_group(&mut self, restored: Restored) {
        let (seed, tuning) = (self.rng.u64(..), self.cfg.tuning.clone());
        let raft = Raft::new(self.member, tuning, restored, self.now, seed);
        let group = Group::new(raft);
        self.forming = None;
        self.configuration = group.state.configuration().clone();
        self.config_changes.reset(self.configuration.version);
        if self.configuration.version > 0 {
            self.out.push(Output::Configured(self.configuration.clone()));
        }
        self.group = Some(group);
    }

    /// Creates the group's log with this initial member list. The list is empty when this host
    /// joins an existing group.
    pub(crate) fn form_group(&mut self, config: Config) {
        self.out.push(Output::FormGroup(config.clone()));
        self.open_group(Restored::new_group(config));
    }

    /// Sets the wall-clock time since the Unix epoch, by which scheduled jobs become due.
    pub fn set_wall_clock(&mut self, wall_clock: Duration) {
        self.wall_clock = wall_clock;
    }

    /// Handles one input and returns the resulting outputs.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.handle(now, input);
        self.finish(now)
    }

    /// Handles one input. The next [`Node::finish`] returns the resulting outputs, so that several
    /// inputs share one write to the disk.
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        self.advance(now);
        match input {
            Input::Tick => {}
            Input::Call(exchange, call, deadline) => self.on_call(exchange, call, deadline),
            Input::Abandoned(exchange) => self.on_abandoned(exchange),
            Input::Peer(from, message) => self.on_peer(from, message),
            Input::OrderAnswered(number, answer) => {
                self.on_forwarded_order_answered(number, answer)
            }
            Input::Advised(number, tickets) => self.on_forwarded_advice_answered(number, tickets),
            Input::Seeds(seeds) => self.peers.set_seeds(&seeds),
            Input::Drain => {
                self.draining = true;
                self.draining_since = self.now;
                // The leader gives the vote of this host to another one before the process ends.
                self.peers.next_heartbeat = self.now;
            }
        }
    }

    /// Runs expired timers and returns all outputs since the last call, durable ones first.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Output> {
        self.advance(now);
        self.tick_group();
        self.gossip();
        self.tick_calls();
        for _ in 0..MAX_COMMAND_ROUNDS {
            self.run_leader_duties();
            if !self.process_ready() {
                break;
            }
        }
        let mut out = std::mem::take(&mut self.out);
        out.sort_by_key(|output| !output.is_durable());
        out
    }

    /// Advances the clock. A gap of at least [`PAUSE_THRESHOLD`] counts as a pause of this host,
    /// during which another leader may have been elected.
    fn advance(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap >= PAUSE_THRESHOLD {
            log::warn!(gap_ms = gap.as_millis() as u64; "this host was paused");
            self.peers.forget_leader();
            self.pause_ended = Some(self.now);
        }
        if let Some(group) = &mut self.group {
            // Lets a leader step down if another may have been elected during the pause.
            if gap >= PAUSE_THRESHOLD {
                group.raft.tick(now);
            }
        }
    }

    /// When the last pause of this host ended; `None` if there was none.
    pub fn pause_ended(&self) -> Option<Timestamp> {
        self.pause_ended
    }

    /// Runs the log's timers, and transfers leadership while draining.
    fn tick_group(&mut self) {
        let now = self.now;
        if let Some(group) = &mut self.group {
            if now >= group.raft.next_wakeup() {
                group.raft.tick(now);
            }
            if self.draining {
                if let Some(successor) = group.raft.transfer_target() {
                    group.raft.transfer_leadership(now, successor);
                }
            }
        }
    }

    /// Latest time for the next [`Node::step`].
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.peers.next_heartbeat.min(self.now + Duration::from_millis(500));
        if let Some(group) = &self.group {
            if !group.raft.is_idle() {
                return self.now;
            }
            next = next.min(group.raft.next_wakeup());
            if let Some(leader) = &group.leader {
                next = next.min(leader.next_wakeup(self.now));
            }
        } else if self.cfg.disk {
            next = next.min(self.next_announcement);
        }
        self.calls.values().map(OpenCall::next_wakeup).fold(next, Timestamp::min)
    }

    /// Whether this host leads the group and has applied everything that earlier leaders committed.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// The configuration in force on this host.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Why callers should not be sent to this host; `None` if it is ready.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.draining {
            Some("this host is being stopped")
        } else if self.configuration.version == 0 {
            Some("no configuration is in force here yet")
        } else if !self.leads() && self.peers.leaderless_for(self.now) >= LEADERLESS_UNREADY_AFTER {
            Some("this host has lost touch with the leader")
        } else {
            None
        }
    }

    /// Whether the process may exit after [`Input::Drain`]: no call is open, and leadership and vote
    /// have gone to other members unless none can take them.
    pub fn is_drained(&self) -> bool {
        let leads = self
            .group
            .as_ref()
            .is_some_and(|group| group.raft.is_leader() && group.raft.transfer_target().is_some());
        self.draining && self.calls.is_empty() && !leads && !self.vote_may_move()
    }

    /// Whether this draining host still has a vote that a learner can get, or that is one too many. It
    /// keeps it until a leader has heard that this host is about to stop.
    fn vote_may_move(&self) -> bool {
        let Some(group) = &self.group else { return false };
        let config = group.raft.config();
        let spare = config.members().iter().any(|member| member.role == Role::Learner);
        let movable = spare || config.voters().count().is_multiple_of(2);
        let in_time = self.now < self.draining_since + VOTE_MOVE_TIMEOUT;
        in_time && movable && config.votes(group.raft.id())
    }

    /// Current counters and gauges.
    pub fn stats(&self) -> NodeStats {
        let mut stats = self.stats.clone();
        stats.leads = self.leads();
        stats.version = self.configuration.version;
        stats.configuration_age = self.confirmed_at().map(|at| self.now.saturating_sub(at));
        stats.open_calls = self.calls.len();
        if let Some(group) = &self.group {
            stats.term = group.raft.term();
            stats.voters = group.raft.config().voters().count();
            if stats.leads {
                stats.live_voters = live_voters(&group.raft, self.now);
            }
            stats.stored_bytes = group.state.stored_bytes();
            stats.withdrawn_ids = group.state.withdrawn_ids();
            stats.open_jobs = group.state.jobs().filter(|job| !job.phase.is_over()).count();
            stats.workers = group.state.lives().count();
            if let Some(leader) = &group.leader {
                stats.ready_steps = leader.ready.len();
                let waits = |step: &StepRef| leader.quota_waits.contains(step);
                stats.accounts = account_stats(&group.state, leader.ready.keys(), waits);
                stats.usable_workers = leader.usable_workers(self.now);
                stats.advice = leader.advice_usage();
                stats.unreported_workers = leader.unreported_workers(self.now);
                stats.closed_workers = leader.closed_workers(&group.state, self.now);
            }
        }
        stats
    }

    /// The group's members with their roles, as this host knows them; empty on non-members.
    pub fn members(&self) -> Vec<(HostId, Role)> {
        let Some(group) = &self.group else { return Vec::new() };
        group.raft.config().members().iter().map(|m| (m.host.clone(), m.role)).collect()
    }

    /// One-line summary of the log's state for operators and test reports.
    pub fn describe(&self) -> String {
        let Some(group) = &self.group else { return "not in the group".to_string() };
        let raft = &group.raft;
        let voters = raft.config().voters().map(|id| format!("{id:x}")).collect::<Vec<_>>();
        format!(
            "term {}, leads {}, commit {}, last {}, voters {}",
            raft.term(),
            self.leads(),
            raft.commit_index(),
            raft.last_index(),
            voters.join(" ")
        )
    }

    /// The replicated state; `None` if this host is not a member of the group.
    pub fn state(&self) -> Option<&jobs::State> {
        self.group.as_ref().map(|group| &group.state)
    }
}
