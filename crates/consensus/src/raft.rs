//! The Raft state machine: elections, proposals and leadership. Replication is in
//! [`crate::replication`].

use crate::log::Log;
use crate::message::{Entry, Envelope, HardState, Index, Message, Payload, Ready, Snapshot, Term};
use crate::progress::Progress;
use crate::{Config, InjectedBug, Restored, Role, Tuning};
use std::fmt;
use std::time::Duration;
use types::{HostId, MemberId, SortedMap, Timestamp};

/// Factor on a witness's election timeout, so that a voter usually campaigns first.
const WITNESS_TIMEOUT_FACTOR: u32 = 3;

/// Why a proposal was rejected. Nothing was appended to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This member is not the leader.
    NotLeader,
    /// A leadership transfer or membership change is in progress, or a membership change was
    /// proposed before this term had a committed entry. The proposal may be retried.
    Busy,
    /// The configuration has no voter, or changes more than one vote, so that a majority of the
    /// old members and one of the new members could be disjoint.
    UnsafeConfig,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ProposeError::NotLeader => "not the leader of the group",
            ProposeError::Busy => "a leadership transfer or membership change is in progress",
            ProposeError::UnsafeConfig => "a membership change may affect at most one vote",
        })
    }
}

impl std::error::Error for ProposeError {}

/// The state of a member in the current term.
#[derive(Debug)]
pub(crate) enum State {
    Follower { leader: Option<MemberId> },
    PreCandidate { granted: Vec<MemberId> },
    Candidate { granted: Vec<MemberId> },
    Leader(Leader),
}

/// The volatile state of a leader.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) progress: SortedMap<MemberId, Progress>,
    /// Number of the latest confirmation round.
    pub(crate) round: u64,
    /// When the rounds that a majority has not answered yet were begun, and the latest that it has.
    round_starts: Vec<(u64, Timestamp)>,
    /// Index of the first entry of this term. Reads wait until it is committed.
    pub(crate) term_start: Index,
    /// Target and deadline of a leadership transfer.
    pub(crate) transfer: Option<(MemberId, Timestamp)>,
    pub(crate) next_heartbeat: Timestamp,
}

impl Leader {
    /// Begins a confirmation round and returns its number.
    pub(crate) fn start_round(&mut self, now: Timestamp) -> u64 {
        self.round += 1;
        self.round_starts.push((self.round, now));
        self.round
    }

    /// When the latest round up to `round` was begun.
    fn round_start(&self, round: u64) -> Option<Timestamp> {
        let after = self.round_starts.partition_point(|(begun, _)| *begun <= round);
        self.round_starts[..after].last().map(|(_, at)| *at)
    }

    /// Forgets when rounds before the latest up to `round` were begun.
    fn forget_rounds_before(&mut self, round: u64) {
        let after = self.round_starts.partition_point(|(begun, _)| *begun <= round);
        self.round_starts.drain(..after.saturating_sub(1));
    }
}

/// A snapshot of which some parts have been received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) index: Index,
    pub(crate) term: Term,
    pub(crate) data: Vec<u8>,
}

/// A member of a Raft group. The crate documentation states what its driver must guarantee.
#[derive(Debug)]
pub struct Raft {
    pub(crate) id: MemberId,
    pub(crate) tuning: Tuning,
    pub(crate) log: Log,
    pub(crate) hard: HardState,
    pub(crate) applied: Index,
    pub(crate) state: State,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) ready: Ready,
    /// Whether entries were appended or a round was begun since the last `take_ready`.
    broadcast_due: bool,
    rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    /// When the last message from a leader arrived; `None` before the first and after a campaign of
    /// this member.
    pub(crate) last_leader_contact: Option<Timestamp>,
    election_deadline: Timestamp,
}

impl Raft {
    /// Creates a member from its persistent state. `seed` determines its random timeouts.
    pub fn new(
        id: MemberId,
        tuning: Tuning,
        restored: Restored,
        now: Timestamp,
        seed: u64,
    ) -> Raft {
        let Restored { hard_state: mut hard, snapshot, entries } = restored;
        hard.commit = hard.commit.max(snapshot.index);
        // A snapshot may be on disk without the hard state that came with it.
        if hard.term < snapshot.term {
            (hard.term, hard.vote) = (snapshot.term, None);
        }
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
            last_leader_contact: None,
            election_deadline: now,
        };
        raft.reset_election_deadline();
        raft.collect_committed();
        raft
    }

    /// The id of this member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The latest term seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether this member considers itself the leader. A later term may already have another.
    pub fn is_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            State::Follower { leader } => *leader,
            State::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// The entry host of the leader, if known.
    pub fn leader_host(&self) -> Option<&HostId> {
        Some(&self.log.config().get(self.leader()?)?.host)
    }

    /// The membership configuration as of the last entry, which may be uncommitted.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.hard.commit
    }

    /// Index of the last entry that the latest snapshot covers.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().index
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        self.log.snapshot()
    }

    /// Whether this member leads and has committed an entry of its term. Its committed entries
    /// then include everything that earlier leaders committed.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.state, State::Leader(l) if self.hard.commit >= l.term_start)
    }

    /// Index of the last entry that another member is known to have. `None` unless leader.
    pub fn matched(&self, id: MemberId) -> Option<Index> {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).map(|p| p.matched),
            _ => None,
        }
    }

    /// When another member last answered this leader. `None` unless leader.
    pub fn last_response(&self, id: MemberId) -> Option<Timestamp> {
        match &self.state {
            State::Leader(l) => l.progress.get(&id).map(|p| p.last_response),
            _ => None,
        }
    }

    /// Latest time at which the driver must call [`Raft::tick`] again.
    pub fn next_wakeup(&self) -> Timestamp {
        match &self.state {
            State::Leader(l) => l.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Advances the clock to `now` and does what is due: heartbeats or an election.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance(now);
        match &self.state {
            State::Leader(l) if now >= l.next_heartbeat => self.tick_leader(),
            State::Leader(_) => {}
            _ if now >= self.election_deadline => self.start_pre_vote(),
            _ => {}
        }
    }

    /// Handles a message. Drops messages for another member id, which arrive if the host's data
    /// directory was wiped.
    pub fn step(&mut self, now: Timestamp, envelope: Envelope) {
        self.advance(now);
        if envelope.to != self.id {
            return;
        }
        let Envelope { from, term, message, .. } = envelope;
        if !self.check_term(from, term, &message) {
            return;
        }
        match message {
            Message::PreVote { last_index, last_term } => {
                let granted = term > self.hard.term
                    && !self.leader_is_alive()
                    && self.is_up_to_date(last_index, last_term);
                let reply_term = if granted { term } else { self.hard.term };
                self.send_with_term(from, reply_term, Message::PreVoteReply { granted });
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

    /// Appends a command to the log and returns its index. The command has taken effect only when
    /// an entry with this index and the current term appears in [`Ready::committed`].
    pub fn propose(&mut self, now: Timestamp, data: Vec<u8>) -> Result<Index, ProposeError> {
        self.propose_payload(now, Payload::Command(data))
    }

    /// Appends a configuration that changes at most one vote, and returns its index. Fails with
    /// [`ProposeError::Busy`] while an earlier change is uncommitted.
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
        Ok(self.append_entry(payload))
    }

    /// Starts to transfer leadership to `to`, which campaigns once it has the whole log. Meanwhile
    /// proposals fail. The transfer is abandoned after two election timeouts. Does nothing if
    /// this member does not lead or already transfers leadership, or if `to` has no vote.
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

    /// The best target for a leadership transfer: the voter, not a witness, with the longest
    /// matching log among those that answered within an election timeout.
    pub fn transfer_target(&self) -> Option<MemberId> {
        let State::Leader(l) = &self.state else { return None };
        let alive = |id| {
            l.progress
                .get(&id)
                .is_some_and(|p| self.now < p.last_response + self.tuning.election_timeout)
        };
        let members = self.log.config().members().iter();
        let candidates =
            members.filter(|m| m.role == Role::Voter && m.id != self.id && alive(m.id));
        candidates.max_by_key(|m| self.matched(m.id)).map(|m| m.id)
    }

    /// Starts a round of messages that confirms leadership, and returns its number; `None` unless
    /// leader. See [`Raft::confirmed_round`].
    pub fn begin_round(&mut self) -> Option<u64> {
        let State::Leader(l) = &mut self.state else { return None };
        let round = l.start_round(self.now);
        self.broadcast_due = true;
        Some(round)
    }

    /// The latest round that a majority has answered, which shows that this member still led after
    /// that round began. `None` unless [`Raft::has_committed_in_term`].
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

    /// The latest time at which this member certainly led: no other leader had committed anything by
    /// then. `None` unless [`Raft::has_committed_in_term`].
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        let round = self.confirmed_round()?;
        match &self.state {
            State::Leader(l) => l.round_start(round),
            _ => None,
        }
    }

    /// Replaces the log up to `index` by a snapshot, where `data` is the encoded state after that
    /// entry. Ignored if `index` is not applied yet or not after the latest snapshot.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index <= self.log.snapshot().index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let config = self.log.config_at(index);
        let snapshot = Snapshot { index, term, config, data: std::sync::Arc::new(data) };
        let Tuning { kept_entries, kept_bytes, .. } = self.tuning;
        self.log.compact(snapshot.clone(), kept_entries, kept_bytes);
        self.ready.snapshot = Some(snapshot);
    }

    /// Takes the pending work. Proposals since the last call are sent in one message per member.
    pub fn take_ready(&mut self) -> Ready {
        if std::mem::take(&mut self.broadcast_due) {
            self.broadcast();
        }
        std::mem::take(&mut self.ready)
    }

    /// Whether [`Raft::take_ready`] would return no work.
    pub fn is_idle(&self) -> bool {
        !self.broadcast_due && self.ready == Ready::default()
    }

    /// Gives up leadership or a campaign, for example after the process was paused.
    pub fn step_down(&mut self) {
        if !matches!(self.state, State::Follower { .. }) {
            self.become_follower(None);
        }
    }

    /// Advances the clock. A leader that was paused for an election timeout steps down, because
    /// another leader may have been elected.
    fn advance(&mut self, now: Timestamp) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        let paused = gap >= self.tuning.election_timeout && self.log.config().voters().count() > 1;
        if paused && self.is_leader() && self.tuning.injected_bug != InjectedBug::SkipCheckQuorum {
            self.become_follower(None);
        }
    }

    /// Compares the term of a message with the current one and adopts a later term. Returns false
    /// if the message must be ignored.
    fn check_term(&mut self, from: MemberId, term: Term, message: &Message) -> bool {
        if term < self.hard.term {
            self.reply_to_stale(from, message);
            return false;
        }
        if term == self.hard.term {
            return true;
        }
        match message {
            Message::PreVote { .. } | Message::PreVoteReply { granted: true } => true,
            // While the leader is alive, a candidate that lost contact must not depose it.
            Message::Vote { transfer: false, .. } if self.leader_is_alive() => false,
            _ => {
                self.hard.term = term;
                self.hard.vote = None;
                self.save_hard_state();
                self.become_follower(None);
                true
            }
        }
    }

    /// Replies to a sender with an old term, so that it learns the current one.
    fn reply_to_stale(&mut self, from: MemberId, message: &Message) {
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
            || self
                .last_leader_contact
                .is_some_and(|at| self.now < at + self.tuning.election_timeout)
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
            self.reset_election_deadline();
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

    /// Starts a pre-vote if this member has a vote.
    fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
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
            self.send_with_term(id, term, Message::PreVote { last_index, last_term });
        }
    }

    /// Starts an election in a new term. `transfer` is true if the leader asked for it.
    fn campaign(&mut self, transfer: bool) {
        if !self.log.config().votes(self.id) {
            return;
        }
        self.hard.term += 1;
        self.hard.vote = Some(self.id);
        self.save_hard_state();
        self.reset_election_deadline();
        self.last_leader_contact = None;
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
            round_starts: vec![(0, self.now)],
            term_start: next,
            transfer: None,
            next_heartbeat: self.now + self.tuning.heartbeat,
        });
        // A member that starts with an empty log learns the configuration from this entry.
        self.append_entry(Payload::Config(self.log.config().clone()));
    }

    /// Does a leader's periodic work: abandons an overdue transfer, checks the quorum and sends
    /// heartbeats. A leading witness also starts a leadership transfer.
    fn tick_leader(&mut self) {
        let (now, timeout) = (self.now, self.tuning.election_timeout);
        let id = self.id;
        let confirmed = self.confirmed_round().unwrap_or(0);
        let State::Leader(l) = &mut self.state else { return };
        l.forget_rounds_before(confirmed);
        l.next_heartbeat = now + self.tuning.heartbeat;
        if l.transfer.is_some_and(|(_, until)| now >= until) {
            l.transfer = None;
        }
        let responded =
            |m| m == id || l.progress.get(&m).is_some_and(|p| now < p.last_response + timeout);
        let has_quorum = self.log.config().has_majority(responded);
        if !has_quorum && self.tuning.injected_bug != InjectedBug::SkipCheckQuorum {
            self.become_follower(None);
            return;
        }
        l.start_round(now);
        self.broadcast();
        if self.log.config().get(self.id).is_some_and(|m| m.role == Role::Witness) {
            if let Some(to) = self.transfer_target() {
                self.transfer_leadership(now, to);
            }
        }
    }

    pub(crate) fn become_follower(&mut self, leader: Option<MemberId>) {
        self.state = State::Follower { leader };
        self.reset_election_deadline();
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        let base = self.tuning.election_timeout;
        let spread = self.rng.u64(0..=base.as_micros() as u64);
        let mut wait = base + Duration::from_micros(spread);
        if self.log.config().get(self.id).is_some_and(|m| m.role == Role::Witness) {
            wait *= WITNESS_TIMEOUT_FACTOR;
        }
        self.election_deadline = self.now + wait;
    }

    fn append_entry(&mut self, payload: Payload) -> Index {
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
        self.send_with_term(to, self.hard.term, message);
    }

    fn send_with_term(&mut self, to: MemberId, term: Term, message: Message) {
        self.ready.messages.push(Envelope { from: self.id, to, term, message });
    }
}
