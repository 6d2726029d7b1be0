//! Elections and the leader's own duties; replication is in its own module.

use crate::log::Log;
use crate::message::{Entry, Envelope, HardState, Index, Message, Payload, Ready, Snapshot, Term};
use crate::progress::Progress;
use crate::{Config, InjectedBug, Restored, Role, Tuning};
use std::fmt;
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// A witness waits this many times longer before it campaigns.
const WITNESS_PATIENCE: u32 = 3;

/// Why a proposal was not taken; nothing was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Another member leads, or none.
    NotLeader,
    /// The leader hands over or changes members; try again soon.
    Busy,
    /// The change would let two majorities miss each other.
    UnsafeConfig,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ProposeError::NotLeader => "not the leader of the group",
            ProposeError::Busy => "a handover or a change of members is under way",
            ProposeError::UnsafeConfig => "members change one at a time",
        })
    }
}

impl std::error::Error for ProposeError {}

/// What a member is doing in the present term.
#[derive(Debug)]
pub(crate) enum State {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: Vec<MemberId> },
    Candidate { granted: Vec<MemberId> },
    Leader(Leader),
}

/// What only a leader knows.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) progress: SortedMap<MemberId, Progress>,
    pub(crate) round: u64,
    /// First entry of this term; reads wait until it is committed.
    pub(crate) opening: Index,
    pub(crate) transfer: Option<(MemberId, Timestamp)>,
    pub(crate) next_heartbeat: Timestamp,
}

/// Parts of a snapshot received so far.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) index: Index,
    pub(crate) term: Term,
    pub(crate) data: Vec<u8>,
}

/// One member of a replicated log. See the crate page for the rule its driver keeps.
#[derive(Debug)]
pub struct Raft {
    pub(crate) id: MemberId,
    pub(crate) tuning: Tuning,
    pub(crate) log: Log,
    pub(crate) hard: HardState,
    pub(crate) applied: Index,
    pub(crate) state: State,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) ready: Ready,
    /// Something was appended, or a round begun, since the last `take_ready`.
    broadcast_due: bool,
    rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    /// When a live leader was last heard.
    pub(crate) leader_heard: Option<Timestamp>,
    election_at: Timestamp,
}

impl Raft {
    /// A member with what its disk had. `seed` decides its random timeouts.
    pub fn new(
        id: MemberId,
        tuning: Tuning,
        restored: Restored,
        now: Timestamp,
        seed: u64,
    ) -> Raft {
        let Restored { hard_state: mut hard, snapshot, entries } = restored;
        hard.commit = hard.commit.max(snapshot.index);
        let applied = snapshot.index;
        let log = Log::new(snapshot, entries);
        hard.commit = hard.commit.min(log.last_index());
        let mut raft = Raft {
            id,
            tuning,
            log,
            hard,
            applied,
            state: State::Follower { leader: None },
            incoming: None,
            ready: Ready::default(),
            broadcast_due: false,
            rng: fastrand::Rng::with_seed(seed),
            now,
            leader_heard: None,
            election_at: now,
        };
        raft.reset_election();
        raft.collect_committed();
        raft
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The latest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether this member leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// The leader of this term, where known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            State::Follower { leader } => *leader,
            State::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// The entry host of the leader, where known.
    pub fn leader_host(&self) -> Option<&HostId> {
        Some(&self.log.config().get(self.leader()?)?.host)
    }

    /// The members as of the last entry.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// The last entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.hard.commit
    }

    /// The last entry of the latest snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().index
    }

    /// State of the latest snapshot, to start from.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Whether the leader has everything that earlier leaders committed.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.state, State::Leader(l) if self.hard.commit >= l.opening)
    }

    /// How far a member's log is known to match; only a leader knows.
    pub fn matched(&self, id: MemberId) -> Option<Index> {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).map(|p| p.matched),
            _ => None,
        }
    }

    /// When a member last answered; only a leader knows.
    pub fn last_response(&self, id: MemberId) -> Option<Timestamp> {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).map(|p| p.heard),
            _ => None,
        }
    }

    /// When the driver must call [`Raft::tick`] at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        match &self.state {
            State::Leader(l) => l.next_heartbeat,
            _ => self.election_at,
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance(now);
        match &self.state {
            State::Leader(l) if now >= l.next_heartbeat => self.lead(),
            State::Leader(_) => {}
            _ if now >= self.election_at => self.campaign_if_allowed(),
            _ => {}
        }
    }

    /// Handles a message. Messages for another member, as after a wiped disk, are dropped.
    pub fn step(&mut self, now: Timestamp, envelope: Envelope) {
        self.advance(now);
        if envelope.to != self.id {
            return;
        }
        let Envelope { from, term, message, .. } = envelope;
        if !self.meet_term(from, term, &message) {
            return;
        }
        match message {
            Message::PreVote { last_index, last_term } => {
                let granted = term > self.hard.term
                    && !self.leader_is_alive()
                    && self.is_up_to_date(last_index, last_term);
                let reply_term = if granted { term } else { self.hard.term };
                self.send_in(from, reply_term, Message::PreVoteReply { granted });
            }
            Message::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            Message::Vote { last_index, last_term, .. } => {
                self.on_vote(from, last_index, last_term)
            }
            Message::VoteReply { granted } => self.on_vote_reply(from, granted),
            Message::TimeoutNow if !self.is_leader() => self.campaign(true),
            other => self.step_replication(from, other),
        }
    }

    /// Adds a command to the log. It counts only once it comes back in [`Ready::committed`] with
    /// this index and the present term.
    pub fn propose(&mut self, now: Timestamp, data: Vec<u8>) -> Result<Index, ProposeError> {
        self.propose_payload(now, Payload::Command(data))
    }

    /// Changes the members by one vote.
    pub fn propose_config(
        &mut self,
        now: Timestamp,
        config: Config,
    ) -> Result<Index, ProposeError> {
        if !config.differs_by_at_most_one_vote(self.log.config())
            || config.voters().next().is_none()
        {
            return Err(ProposeError::UnsafeConfig);
        }
        if self.log.config_index() > self.hard.commit || !self.has_committed_in_term() {
            return Err(ProposeError::Busy);
        }
        self.propose_payload(now, Payload::Config(config))
    }

    fn propose_payload(&mut self, now: Timestamp, payload: Payload) -> Result<Index, ProposeError> {
        self.advance(now);
        match &self.state {
            State::Leader(l) if l.transfer.is_none() => {}
            State::Leader(_) => return Err(ProposeError::Busy),
            _ => return Err(ProposeError::NotLeader),
        }
        Ok(self.append_own(payload))
    }

    /// Asks `to` to take over leadership once it has the whole log.
    pub fn transfer_leadership(&mut self, now: Timestamp, to: MemberId) {
        self.advance(now);
        let until = now + self.tuning.election_timeout * 2;
        let may_lead = self.log.config().votes(to) && to != self.id;
        if let State::Leader(l) = &mut self.state {
            if may_lead && l.transfer.is_none() {
                l.transfer = Some((to, until));
                self.send_append(to);
                self.finish_transfer(to);
            }
        }
    }

    /// The member best able to take over: a voter, not a witness, with the most of the log.
    pub fn transfer_target(&self) -> Option<MemberId> {
        let State::Leader(l) = &self.state else { return None };
        let alive = |id| {
            l.progress.get(&id).is_some_and(|p| self.now < p.heard + self.tuning.election_timeout)
        };
        let members = self.log.config().members().iter();
        let able = members.filter(|m| m.role == Role::Voter && m.id != self.id && alive(m.id));
        able.max_by_key(|m| self.matched(m.id)).map(|m| m.id)
    }

    /// Starts a round that confirms leadership; see [`Raft::confirmed_round`].
    pub fn begin_round(&mut self) -> Option<u64> {
        let State::Leader(l) = &mut self.state else { return None };
        l.round += 1;
        self.broadcast_due = true;
        Some(l.round)
    }

    /// The latest round that a majority has answered: this member still led after that round
    /// began. `None` unless a settled leader.
    pub fn confirmed_round(&self) -> Option<u64> {
        match &self.state {
            State::Leader(l) if self.has_committed_in_term() => {
                Some(self.log.config().reached_by_majority(|id| {
                    if id == self.id {
                        l.round
                    } else {
                        l.progress.get(&id).map_or(0, |p| p.round)
                    }
                }))
            }
            _ => None,
        }
    }

    /// Replaces the log up to `index`, which is applied, by a snapshot of the state.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index <= self.log.snapshot().index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let config = self.log.config_at(index);
        let snapshot = Snapshot { index, term, config, data: std::sync::Arc::new(data) };
        self.log.compact(snapshot.clone(), self.tuning.kept_entries);
        self.ready.snapshot = Some(snapshot);
    }

    /// Takes what must be written, sent and applied. What was proposed since the last call goes
    /// out in one message to each member.
    pub fn take_ready(&mut self) -> Ready {
        if std::mem::take(&mut self.broadcast_due) {
            self.broadcast();
        }
        std::mem::take(&mut self.ready)
    }

    /// Whether [`Raft::take_ready`] would give nothing.
    pub fn is_idle(&self) -> bool {
        !self.broadcast_due && self.ready == Ready::default()
    }

    /// Gives up leadership, as after a pause.
    pub fn step_down(&mut self) {
        if !matches!(self.state, State::Follower { .. }) {
            self.follow(None);
        }
    }

    /// Notes the time. A leader that was paused for an election timeout may have a transfer_target, so
    /// it leads no more.
    fn advance(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        let paused = gap >= self.tuning.election_timeout && self.log.config().voters().count() > 1;
        if paused && self.is_leader() && self.tuning.injected_bug != InjectedBug::SkipCheckQuorum {
            self.follow(None);
        }
    }

    /// Compares terms. False when the message must not be handled further.
    fn meet_term(&mut self, from: MemberId, term: Term, message: &Message) -> bool {
        if term < self.hard.term {
            self.answer_stale(from, message);
            return false;
        }
        if term == self.hard.term {
            return true;
        }
        match message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true } => true,
            // A member that hears its leader is not moved by one that does not.
            Message::Vote { transfer: false, .. } if self.leader_is_alive() => false,
            _ => {
                self.hard.term = term;
                self.hard.vote = None;
                self.save_hard_state();
                self.follow(None);
                true
            }
        }
    }

    /// Tells a sender that is behind of the present term.
    fn answer_stale(&mut self, from: MemberId, message: &Message) {
        match message {
            Message::PreVote { .. } => {
                self.send(from, Message::PreVoteReply { granted: false });
            }
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let index = self.hard.commit;
                self.send(from, Message::AppendReply { accepted: false, index, round: *round });
            }
            _ => {}
        }
    }

    fn leader_is_alive(&self) -> bool {
        self.is_leader()
            || self.leader_heard.is_some_and(|at| self.now < at + self.tuning.election_timeout)
    }

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        self.tuning.injected_bug == InjectedBug::VoteForOlderLog
            || (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn on_vote(&mut self, from: MemberId, last_index: Index, last_term: Term) {
        let free = match self.hard.vote {
            None => true,
            Some(id) => id == from || self.tuning.injected_bug == InjectedBug::VoteTwice,
        };
        let granted = free && !self.is_leader() && self.is_up_to_date(last_index, last_term);
        if granted {
            self.hard.vote = Some(from);
            self.save_hard_state();
            self.reset_election();
        }
        self.send(from, Message::VoteReply { granted });
    }

    fn on_pre_vote_reply(&mut self, from: MemberId, term: Term, granted: bool) {
        let expected = term == self.hard.term + 1;
        let State::PreCandidate { granted: votes } = &mut self.state else { return };
        if granted && expected && !votes.contains(&from) {
            votes.push(from);
        }
        let votes = votes.clone();
        if self.log.config().has_majority(|id| votes.contains(&id)) {
            self.campaign(false);
        }
    }

    fn on_vote_reply(&mut self, from: MemberId, granted: bool) {
        let State::Candidate { granted: votes } = &mut self.state else { return };
        if granted && !votes.contains(&from) {
            votes.push(from);
        }
        let votes = votes.clone();
        if self.log.config().has_majority(|id| votes.contains(&id)) {
            self.become_leader();
        }
    }

    fn campaign_if_allowed(&mut self) {
        self.reset_election();
        if !self.log.config().votes(self.id) {
            self.state = State::Follower { leader: None };
            return;
        }
        self.state = State::PreCandidate { granted: vec![self.id] };
        if self.log.config().has_majority(|id| id == self.id) {
            self.campaign(false);
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard.term + 1;
        for id in self.other_voters() {
            self.send_in(id, term, Message::PreVote { last_index, last_term });
        }
    }

    fn campaign(&mut self, transfer: bool) {
        if !self.log.config().votes(self.id) {
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save_hard_state();
        self.reset_election();
        self.leader_heard = None;
        self.state = State::Candidate { granted: vec![self.id] };
        if self.log.config().has_majority(|id| id == self.id) {
            self.become_leader();
            return;
        }
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for id in self.other_voters() {
            self.send(id, Message::Vote { last_index, last_term, transfer });
        }
    }

    fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let others = self.log.config().members().iter().filter(|m| m.id != self.id);
        let progress = others.map(|m| (m.id, Progress::new(next, self.now))).collect();
        self.state = State::Leader(Leader {
            progress,
            round: 0,
            opening: next,
            transfer: None,
            next_heartbeat: self.now + self.tuning.heartbeat,
        });
        // A member that starts with nothing learns the group from this entry.
        self.append_own(Payload::Config(self.log.config().clone()));
    }

    /// A leader's regular duty: check its quorum, end a late transfer, show that it lives.
    fn lead(&mut self) {
        let (now, timeout) = (self.now, self.tuning.election_timeout);
        let id = self.id;
        let State::Leader(l) = &mut self.state else { return };
        l.next_heartbeat = now + self.tuning.heartbeat;
        if l.transfer.is_some_and(|(_, until)| now >= until) {
            l.transfer = None;
        }
        let heard = |m| m == id || l.progress.get(&m).is_some_and(|p| now < p.heard + timeout);
        let has_quorum = self.log.config().has_majority(heard);
        if !has_quorum && self.tuning.injected_bug != InjectedBug::SkipCheckQuorum {
            self.follow(None);
            return;
        }
        l.round += 1;
        self.broadcast();
        if self.log.config().get(self.id).is_some_and(|m| m.role == Role::Witness) {
            if let Some(to) = self.transfer_target() {
                self.transfer_leadership(now, to);
            }
        }
    }

    pub(crate) fn follow(&mut self, leader: Option<MemberId>) {
        self.state = State::Follower { leader };
        self.reset_election();
    }

    pub(crate) fn reset_election(&mut self) {
        let base = self.tuning.election_timeout;
        let spread = self.rng.u64(0..=base.as_micros() as u64);
        let mut wait = base + Duration::from_micros(spread);
        if self.log.config().get(self.id).is_some_and(|m| m.role == Role::Witness) {
            wait *= WITNESS_PATIENCE;
        }
        self.election_at = self.now + wait;
    }

    fn append_own(&mut self, payload: Payload) -> Index {
        let entry = Entry { index: self.log.last_index() + 1, term: self.hard.term, payload };
        let index = entry.index;
        self.put(entry);
        self.sync_progress_with_config();
        self.advance_commit();
        self.broadcast_due = true;
        index
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.log.config().voters().filter(|id| *id != self.id).collect()
    }

    pub(crate) fn save_hard_state(&mut self) {
        self.ready.hard_state = Some(self.hard);
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        self.send_in(to, self.hard.term, message);
    }

    fn send_in(&mut self, to: MemberId, term: Term, message: Message) {
        self.ready.messages.push(Envelope { from: self.id, to, term, message });
    }
}
