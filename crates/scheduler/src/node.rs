//! One host without I/O.

use crate::calls::OpenCall;
use crate::config::{NodeConfig, StartState};
use crate::copies::Copies;
use crate::gossip::Known;
use crate::group::Group;
use crate::io::{Input, Output};
use consensus::{Config, GroupFormation, InitialMember, JoinRequests, Raft, Restored, Role, Term};
use jobs::Configuration;
use std::sync::Arc;
use std::time::Duration;
use types::{ExchangeId, HostId, MemberId, SortedMap, Timestamp};

/// Rounds of commands that follow from commands in one step; the rest waits for the next.
const MAX_ROUNDS: usize = 16;
/// A host that was not stepped for this long was paused.
const PAUSE: Duration = Duration::from_millis(600);

/// After this time without a leader, callers are better off elsewhere.
const OUT_OF_TOUCH: Duration = Duration::from_millis(500);

/// Counts and gauges for metrics.
#[derive(Clone, Debug, Default)]
pub struct NodeStats {
    /// Whether this host leads.
    pub leads: bool,
    /// Term of the group's log.
    pub term: Term,
    /// Version of the configuration.
    pub version: u64,
    /// Calls that wait for an answer.
    pub open_calls: usize,
    /// Jobs that are not over.
    pub open_jobs: usize,
    /// Steps that wait for a place.
    pub ready_steps: usize,
    /// Workers that take new work.
    pub usable_workers: usize,
    /// Workers known.
    pub workers: usize,
    /// Tasks started since the start of the process.
    pub starts: u64,
    /// Ends taken note of, by kind: done, failed, stopped, lapsed, broken, alone.
    pub ends: [u64; 6],
    /// Calls to the advice service.
    pub advice_calls: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Runs given up without an end.
    pub lost_runs: u64,
}

/// One host: everything that it knows and decides. See the crate page.
#[derive(Debug)]
pub struct Node {
    pub(crate) cfg: NodeConfig,
    pub(crate) member: MemberId,
    pub(crate) process: MemberId,
    pub(crate) now: Timestamp,
    pub(crate) wall: Duration,
    pub(crate) rng: fastrand::Rng,
    pub(crate) group: Option<Group>,
    pub(crate) forming: Option<GroupFormation>,
    pub(crate) newcomers: JoinRequests,
    pub(crate) next_announcement: Timestamp,
    pub(crate) known: Known,
    pub(crate) copies: Copies,
    pub(crate) calls: SortedMap<u64, OpenCall>,
    pub(crate) by_exchange: SortedMap<ExchangeId, u64>,
    pub(crate) last_call: u64,
    pub(crate) advice_for: SortedMap<u64, (HostId, u64)>,
    pub(crate) last_advice: u64,
    /// Orders that this host sends for the leader, by its own number.
    pub(crate) carried: SortedMap<u64, (HostId, u64)>,
    pub(crate) last_carried: u64,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) draining: bool,
    pub(crate) out: Vec<Output>,
    pub(crate) stats: NodeStats,
}

impl Node {
    /// A node with what its data folder has.
    pub fn new(cfg: NodeConfig, start: StartState) -> Node {
        let mut rng = fastrand::Rng::with_seed(start.seed);
        let known = Known::new(&cfg.seeds);
        let mut node = Node {
            member: start.member,
            process: start.process,
            now: start.now,
            wall: Duration::ZERO,
            group: None,
            forming: None,
            newcomers: JoinRequests::default(),
            next_announcement: start.now,
            known,
            copies: Copies::default(),
            calls: SortedMap::default(),
            by_exchange: SortedMap::default(),
            // Numbers of an earlier process must not come again.
            last_call: rng.u64(..) >> 16,
            advice_for: SortedMap::default(),
            last_advice: 0,
            carried: SortedMap::default(),
            last_carried: 0,
            configuration: Arc::default(),
            draining: false,
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

    pub(crate) fn open_group(&mut self, restored: Restored) {
        let (seed, tuning) = (self.rng.u64(..), self.cfg.tuning.clone());
        let raft = Raft::new(self.member, tuning, restored, self.now, seed);
        let group = Group::new(raft);
        self.forming = None;
        self.configuration = group.state.configuration().clone();
        if self.configuration.version > 0 {
            self.out.push(Output::Configured(self.configuration.clone()));
        }
        self.group = Some(group);
    }

    /// Forms the group, or joins it with nothing known yet.
    pub(crate) fn form(&mut self, config: Config) {
        self.out.push(Output::FormGroup(config.clone()));
        self.open_group(Restored::new_group(config));
    }

    /// Sets the time of day, by which scheduled jobs are due.
    pub fn set_wall_clock(&mut self, wall: Duration) {
        self.wall = wall;
    }

    /// Hears one thing and says what is to be done.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.handle(now, input);
        self.finish(now)
    }

    /// Hears one thing. What is to be done is said by the next [`Node::finish`], so that many
    /// inputs share one write to the disk.
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        self.advance(now);
        match input {
            Input::Tick => {}
            Input::Call(exchange, call, deadline) => self.on_call(exchange, call, deadline),
            Input::Abandoned(exchange) => self.on_abandoned(exchange),
            Input::Peer(from, message) => self.on_peer(from, message),
            Input::OrderAnswered(number, answer) => self.on_ordered(number, answer),
            Input::Advised(number, good) => self.on_own_advice(number, good),
            Input::Seeds(seeds) => self.known.set_seeds(&seeds),
            Input::Drain => self.draining = true,
        }
    }

    /// Does what is due and says what is to be done, durable things first.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Output> {
        self.advance(now);
        self.tick_group();
        self.gossip();
        self.tick_calls();
        for _ in 0..MAX_ROUNDS {
            self.do_duties();
            if !self.drive_group() {
                break;
            }
        }
        let mut out = std::mem::take(&mut self.out);
        out.sort_by_key(|output| !output.is_durable());
        out
    }

    fn advance(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap >= PAUSE {
            log::warn!(gap_ms = gap.as_millis() as u64; "this host was paused");
            self.known.forget_leader();
        }
        if let Some(group) = &mut self.group {
            // Steps down after a pause in which another may have taken over.
            if gap >= PAUSE {
                group.raft.tick(now);
            }
        }
    }

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

    /// When [`Node::step`] is due at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        let mut next = self.known.next_beat.min(self.now + Duration::from_millis(500));
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

    /// Whether this host leads the group and may answer for it.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Why callers should not be sent here, or `None` when they should.
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.draining {
            Some("this host is being stopped")
        } else if self.configuration.version == 0 {
            Some("no configuration is in force here yet")
        } else if !self.leads() && self.known.without_leader(self.now) >= OUT_OF_TOUCH {
            Some("this host has lost touch with the leader")
        } else {
            None
        }
    }

    /// Whether a planned stop may end here: nothing is open, and leadership is handed over where
    /// there is somebody to take it.
    pub fn is_drained(&self) -> bool {
        let leads = self
            .group
            .as_ref()
            .is_some_and(|group| group.raft.is_leader() && group.raft.transfer_target().is_some());
        self.draining && self.calls.is_empty() && !leads
    }

    /// Whether what it knows of the configuration is recent.
    pub fn has_recent_configuration(&self) -> bool {
        self.leads() || self.known.leader_heard_within(self.now, Duration::from_secs(2))
    }

    /// Counts and gauges.
    pub fn stats(&self) -> NodeStats {
        let mut stats = self.stats.clone();
        stats.leads = self.leads();
        stats.version = self.configuration.version;
        stats.open_calls = self.calls.len();
        if let Some(group) = &self.group {
            stats.term = group.raft.term();
            stats.open_jobs = group.state.jobs().filter(|job| !job.phase.is_over()).count();
            stats.workers = group.state.lives().count();
            if let Some(leader) = &group.leader {
                stats.ready_steps = leader.ready.len();
                stats.usable_workers = leader.usable(self.now);
            }
        }
        stats
    }

    /// The group's members with their roles, as this host knows them.
    pub fn members(&self) -> Vec<(HostId, Role)> {
        let Some(group) = &self.group else { return Vec::new() };
        group.raft.config().members().iter().map(|m| (m.host.clone(), m.role)).collect()
    }

    /// How this host stands, in a line for people.
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

    /// The replicated state, where this host is a member of the group.
    pub fn state(&self) -> Option<&jobs::State> {
        self.group.as_ref().map(|group| &group.state)
    }
}
