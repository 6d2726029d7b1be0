//! A member's part of the replicated group: its log, its state, and the requests that wait for
//! commands to be applied.

use crate::call::Answer;
use crate::io::Output;
use crate::leader::Leader;
use crate::message::PeerMessage;
use crate::node::Node;
use consensus::{Config, Entry, Index, Payload, Raft, Ready, Role, Term};
use jobs::{Command, Effect, Reply, State};
use std::time::Duration;
use types::{HostId, MemberId, Refusal, RefusalKind, SortedMap};

/// Shortest time after which a caller may find room that others take now.
const MIN_ROOM_WAIT: Duration = Duration::from_secs(1);

/// Origin of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A client of this host; the number is the key in `Node::calls`.
    Own(u64),
    /// Another host, with that host's number of the call.
    Peer(HostId, u64),
}

/// What to do once a proposed command is applied.
#[derive(Debug)]
pub(crate) enum OnApplied {
    /// Answer the call.
    Answer(Origin),
    /// The leader's placements are applied; the next pass may run.
    Placed,
    /// Tasks that were held back may be placed again.
    StartsResolved,
    /// Nothing waits for the command.
    Nothing,
}

/// An action that waits for an entry of the log to be applied.
#[derive(Debug)]
struct Waiter {
    /// Term in which the entry was proposed. If the applied entry has another term, the proposed
    /// one was overwritten.
    term: Term,
    on_applied: OnApplied,
}

/// The replicated group on a member.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) raft: Raft,
    pub(crate) state: State,
    pub(crate) leader: Option<Box<Leader>>,
    waiters: SortedMap<Index, Waiter>,
    /// Size in bytes of the commands applied since the last snapshot.
    applied_bytes: usize,
    /// Reads of the configuration, each with the round of heartbeats that a majority must confirm
    /// before it is answered.
    reads: Vec<(u64, Origin)>,
    /// Hosts of senders that are not in the member list, so that a new member can answer them
    /// before it has the list.
    sender_hosts: SortedMap<MemberId, HostId>,
}

impl Group {
    pub(crate) fn new(raft: Raft) -> Group {
        let state = decode_state(&raft.snapshot().data);
        Group {
            raft,
            state,
            leader: None,
            waiters: SortedMap::default(),
            applied_bytes: 0,
            reads: Vec::new(),
            sender_hosts: SortedMap::default(),
        }
    }

    /// Whether this member leads and has applied everything that earlier leaders committed.
    pub(crate) fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.term == self.raft.term())
            && self.raft.has_committed_in_term()
    }

    /// Remembers the host of a sender that is not in the member list.
    pub(crate) fn record_sender(&mut self, member: MemberId, host: &HostId) {
        if self.raft.config().get(member).is_none() {
            self.sender_hosts.insert(member, host.clone());
        }
    }

    fn host_of(&self, member: MemberId) -> Option<HostId> {
        match self.raft.config().get(member) {
            Some(member) => Some(member.host.clone()),
            // A new member answers the leader before it has the member list.
            None => self.sender_hosts.get(&member).cloned(),
        }
    }
}

fn decode_state(data: &[u8]) -> State {
    State::decode(data).expect("a member reads snapshots of its own release and of earlier ones")
}

impl Node {
    /// Proposes a command. Returns false if this host is not the leader.
    pub(crate) fn propose(&mut self, command: &Command, on_applied: OnApplied) -> bool {
        let now = self.now;
        let Some(group) = &mut self.group else { return false };
        let data = command.encode();
        let term = group.raft.term();
        match group.raft.propose(now, data) {
            Ok(index) => {
                group.waiters.insert(index, Waiter { term, on_applied });
                true
            }
            Err(e) => {
                log::debug!(cause:display = e; "command not proposed");
                false
            }
        }
    }

    /// Answers a read of the configuration once a majority has confirmed that this host leads.
    pub(crate) fn read_configuration(&mut self, origin: Origin) {
        let Some(group) = &mut self.group else { return };
        match group.raft.begin_round() {
            Some(round) => group.reads.push((round, origin)),
            None => self.redirect(origin),
        }
    }

    /// Processes what the log has ready. Returns whether there was anything.
    pub(crate) fn process_ready(&mut self) -> bool {
        let Some(group) = &mut self.group else { return false };
        if group.raft.is_idle() {
            self.update_leadership();
            self.answer_reads();
            return false;
        }
        let ready = group.raft.take_ready();
        self.apply_ready(ready);
        self.update_leadership();
        self.answer_reads();
        true
    }

    /// Creates or drops the leader's state when this host gains or loses leadership.
    fn update_leadership(&mut self) {
        let Some(group) = &mut self.group else { return };
        let term = group.raft.term();
        let has_committed = group.raft.has_committed_in_term();
        let led = group.leader.as_ref().map(|leader| leader.term);
        if has_committed && led != Some(term) {
            let leader = Leader::new(term, &group.state, &self.cfg, self.now);
            log::info!(term = term, workers = leader.sessions.len(), steps = leader.ready.len();
                "this host became leader");
            group.leader = Some(Box::new(leader));
            self.use_capacity_reports(self.capacity_reports.newest());
        } else if led.is_some() && (!group.raft.is_leader() || led != Some(term)) {
            log::warn!(term = term; "this host lost leadership");
            group.leader = None;
            let waiters = std::mem::take(&mut group.waiters);
            let reads = std::mem::take(&mut group.reads);
            for waiter in into_values(waiters) {
                self.cancel_waiter(waiter.on_applied);
            }
            for (_, origin) in reads {
                self.redirect(origin);
            }
        }
    }

    /// Answers reads whose round a majority has confirmed.
    fn answer_reads(&mut self) {
        let Some(group) = &mut self.group else { return };
        if group.reads.is_empty() || !group.leads() {
            return;
        }
        let Some(confirmed) = group.raft.confirmed_round() else { return };
        let reads = std::mem::take(&mut group.reads);
        let (done, open): (Vec<_>, Vec<_>) =
            reads.into_iter().partition(|(round, _)| *round <= confirmed);
        group.reads = open;
        let configuration = group.state.configuration().clone();
        for (_, origin) in done {
            self.answer(origin, Ok(Answer::Configuration(configuration.clone())));
        }
    }

    /// Redirects a call whose command may not have been committed.
    fn cancel_waiter(&mut self, on_applied: OnApplied) {
        if let OnApplied::Answer(origin) = on_applied {
            self.redirect(origin);
        }
    }

    fn apply_ready(&mut self, mut ready: Ready) {
        let messages = std::mem::take(&mut ready.messages);
        let committed = std::mem::take(&mut ready.committed);
        if ready.restore {
            self.restore(&ready);
        }
        let durable =
            ready.snapshot.is_some() || !ready.entries.is_empty() || ready.hard_state.is_some();
        if durable {
            self.out.push(Output::Persist(ready));
        }
        for envelope in messages {
            let host = self.group.as_ref().and_then(|group| group.host_of(envelope.to));
            if let Some(host) = host {
                self.send(&host, PeerMessage::Raft(envelope));
            }
        }
        for entry in committed {
            self.apply_entry(entry);
        }
        self.compact_if_due();
    }

    /// Replaces the state by a snapshot that the leader sent.
    fn restore(&mut self, ready: &Ready) {
        let snapshot = ready.snapshot.as_ref().expect("a restore includes its snapshot");
        let Some(group) = &mut self.group else { return };
        group.state = decode_state(&snapshot.data);
        group.applied_bytes = 0;
        let configuration = group.state.configuration().clone();
        let waiters = std::mem::take(&mut group.waiters);
        for waiter in into_values(waiters) {
            self.cancel_waiter(waiter.on_applied);
        }
        self.config_changes.reset(configuration.version);
        self.apply_configuration(configuration);
    }

    fn apply_entry(&mut self, entry: Entry) {
        let Some(group) = &mut self.group else { return };
        let waiter = group.waiters.remove(&entry.index);
        let data = match entry.payload {
            Payload::Command(data) => data,
            Payload::Config(config) => return log_membership(&config, entry.index),
        };
        group.applied_bytes += data.len();
        let command = Command::decode(&data)
            .expect("a member reads log entries of its own release and of earlier ones");
        let before = group.state.configuration().clone();
        let submitted = match &command {
            Command::Submit { id, .. } => Some(*id),
            _ => None,
        };
        let stored = group.state.stored_bytes();
        let (reply, effects) = group.state.apply(command);
        let freed = stored.saturating_sub(group.state.stored_bytes());
        if let Some(leader) = &mut group.leader {
            leader.room_forecast.record_freed(freed, self.now);
            submitted.into_iter().for_each(|id| leader.submissions.record_applied(id));
        }
        if effects.contains(&Effect::Configured) {
            self.config_changes.record(&before, group.state.configuration());
        }
        self.apply_effects(&effects);
        let Some(waiter) = waiter else { return };
        if waiter.term != entry.term {
            self.cancel_waiter(waiter.on_applied);
            return;
        }
        match waiter.on_applied {
            OnApplied::Answer(origin) => {
                let answer = self.answer_from_reply(reply);
                self.answer(origin, answer);
            }
            OnApplied::Placed => {
                if let Some(leader) = self.leader_mut() {
                    leader.placement_in_flight = false;
                    leader.plan_due = true;
                }
            }
            OnApplied::StartsResolved => {
                if let Some(leader) = self.leader_mut() {
                    leader.resolution_in_flight = false;
                    leader.plan_due = true;
                }
            }
            OnApplied::Nothing => {}
        }
    }

    fn apply_effects(&mut self, effects: &[Effect]) {
        if effects.contains(&Effect::Configured) {
            let configuration =
                self.group.as_ref().map(|group| group.state.configuration().clone());
            if let Some(configuration) = configuration {
                self.apply_configuration(configuration);
                self.offer_configuration_to_all();
            }
        }
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        if let Some(leader) = &mut group.leader {
            leader.apply_effects(&group.state, effects, &self.cfg, &mut self.stats, now);
        }
    }

    /// The answer to the caller of an applied command.
    pub(crate) fn answer_from_reply(&mut self, reply: Reply) -> Result<Answer, Refusal> {
        match reply {
            Reply::Done => Ok(Answer::Done),
            Reply::InForce(version) => Ok(Answer::InForce(version)),
            Reply::NotFound => {
                Err(Refusal::new(RefusalKind::NotFound, "there is no such queue or job"))
            }
            Reply::UnknownKey => Err(Refusal::new(
                RefusalKind::Forbidden,
                "authorization: no account holds this key",
            )),
            Reply::IdTaken => {
                Err(Refusal::new(RefusalKind::Conflict, "id: another job has it already"))
            }
            Reply::NoRoom { missing } => {
                let now = self.now;
                let wait = self.leader_mut().map(|leader| leader.room_forecast.wait(missing, now));
                let cause = "there is no room for another job now; the job has not run";
                let refusal = Refusal::new(RefusalKind::Unavailable, cause);
                Err(refusal.retry_after(wait.unwrap_or(MIN_ROOM_WAIT)))
            }
            Reply::TooLarge { bytes, room } => {
                let cause =
                    format!("steps: the job takes {bytes} bytes, and all jobs {room} at most");
                Err(Refusal::new(RefusalKind::TooLarge, cause))
            }
            Reply::Withdrawn => {
                let cause = "id: the job was cancelled before this submission arrived";
                Err(Refusal::new(RefusalKind::Conflict, cause))
            }
            Reply::WithdrawnFull { oldest } => {
                let cause = "there is no such job, and too many cancelled ids are kept already";
                let room_at = oldest + self.cfg.keep_ended;
                let wait = room_at.saturating_sub(self.now).max(MIN_ROOM_WAIT);
                Err(Refusal::new(RefusalKind::Unavailable, cause).retry_after(wait))
            }
            Reply::BeyondQuota(step) => Err(Refusal::new(
                RefusalKind::BadInput,
                format!("steps[{step}]: needs more at once than the account's quota allows"),
            )),
        }
    }

    pub(crate) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.group.as_mut()?.leader.as_deref_mut()
    }

    fn compact_if_due(&mut self) {
        let (every, log_room) = (self.cfg.entries_per_snapshot, self.cfg.log_room);
        let Some(group) = &mut self.group else { return };
        let applied = group.raft.commit_index();
        if applied < group.raft.snapshot_index() + every && group.applied_bytes < log_room {
            return;
        }
        group.applied_bytes = 0;
        let data = group.state.encode();
        log::info!(index = applied, bytes = data.len(); "state snapshot taken");
        group.raft.compact(applied, data);
    }
}

/// Logs a membership that is committed. The first entry of each term repeats the current one.
fn log_membership(config: &Config, index: Index) {
    log::info!(index = index, voters = host_list(config, |role| role != Role::Learner).as_str(),
        learners = host_list(config, |role| role == Role::Learner).as_str();
        "membership in force");
}

/// Hosts of the members whose role `f` selects, separated by spaces.
pub(crate) fn host_list<F>(config: &Config, f: F) -> String
where
    F: Fn(Role) -> bool,
{
    let members = config.members().iter().filter(|member| f(member.role));
    members.map(|member| member.host.as_str()).collect::<Vec<_>>().join(" ")
}

fn into_values<K, V>(mut map: SortedMap<K, V>) -> Vec<V>
where
    K: Ord + Clone,
{
    let keys: Vec<K> = map.keys().cloned().collect();
    keys.iter().filter_map(|key| map.remove(key)).collect()
}
