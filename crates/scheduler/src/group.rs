//! The replicated group at a host with a disk: its log, its state, and who waits for what.

use crate::call::Answer;
use crate::io::Output;
use crate::leader::Leader;
use crate::message::PeerMessage;
use crate::node::Node;
use consensus::{Entry, Index, Payload, Raft, Ready, Term};
use jobs::{Command, Effect, Reply, State};
use types::{HostId, MemberId, Refusal, RefusalKind, SortedMap};

/// Who asked for something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A call that this host keeps under this number.
    Own(u64),
    /// Another host, with its number.
    Peer(HostId, u64),
}

/// What to do once a command has taken effect.
#[derive(Debug)]
pub(crate) enum Then {
    /// Answer whoever asked.
    Answer(Origin),
    /// The leader's own placements.
    Placed,
    /// Tasks that were kept back may have a place again.
    Settled,
    /// Nobody waits.
    Nothing,
}

#[derive(Debug)]
struct Waiter {
    term: Term,
    then: Then,
}

/// The group at this host.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) raft: Raft,
    pub(crate) state: State,
    pub(crate) leader: Option<Box<Leader>>,
    waiters: SortedMap<Index, Waiter>,
    /// Reads of the configuration and the round that must be confirmed first.
    reads: Vec<(u64, Origin)>,
    /// Hosts that wrote to this member before it knew the members.
    correspondents: SortedMap<MemberId, HostId>,
}

impl Group {
    pub(crate) fn new(raft: Raft) -> Group {
        let state = decode_state(&raft.snapshot().data);
        Group {
            raft,
            state,
            leader: None,
            waiters: SortedMap::default(),
            reads: Vec::new(),
            correspondents: SortedMap::default(),
        }
    }

    /// Whether this member leads and has applied all that earlier leaders committed.
    pub(crate) fn leads(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.term == self.raft.term())
            && self.raft.has_committed_in_term()
    }

    pub(crate) fn note_sender(&mut self, member: MemberId, host: &HostId) {
        if self.raft.config().get(member).is_none() {
            self.correspondents.insert(member, host.clone());
        }
    }

    fn host_of(&self, member: MemberId) -> Option<HostId> {
        match self.raft.config().get(member) {
            Some(member) => Some(member.host.clone()),
            // Before this host knows the members it answers whoever wrote to it.
            None => self.correspondents.get(&member).cloned(),
        }
    }
}

fn decode_state(data: &[u8]) -> State {
    if data.is_empty() {
        return State::default();
    }
    postcard::from_bytes(data).expect("a snapshot holds what this program wrote")
}

impl Node {
    /// Puts a command into the log. False when this host does not lead.
    pub(crate) fn propose(&mut self, command: &Command, then: Then) -> bool {
        let now = self.now;
        let Some(group) = &mut self.group else { return false };
        let data = postcard::to_stdvec(command).expect("plain data always encodes");
        let term = group.raft.term();
        match group.raft.propose(now, data) {
            Ok(index) => {
                group.waiters.insert(index, Waiter { term, then });
                true
            }
            Err(e) => {
                log::debug!(cause:display = e; "not proposed");
                false
            }
        }
    }

    /// Answers a read of the configuration once a majority has confirmed that this host leads.
    pub(crate) fn read_configuration(&mut self, origin: Origin) {
        let Some(group) = &mut self.group else { return };
        match group.raft.begin_round() {
            Some(round) => group.reads.push((round, origin)),
            None => self.refer(origin),
        }
    }

    /// Takes what the log wants done. True when there was something.
    pub(crate) fn drive_group(&mut self) -> bool {
        let Some(group) = &mut self.group else { return false };
        if group.raft.is_idle() {
            self.follow_leadership();
            self.answer_reads();
            return false;
        }
        let ready = group.raft.take_ready();
        self.apply_ready(ready);
        self.follow_leadership();
        self.answer_reads();
        true
    }

    /// Notices that leadership came or went.
    fn follow_leadership(&mut self) {
        let Some(group) = &mut self.group else { return };
        let term = group.raft.term();
        let settled = group.raft.has_committed_in_term();
        let led = group.leader.as_ref().map(|leader| leader.term);
        if settled && led != Some(term) {
            let leader = Leader::new(term, &group.state, &self.cfg, self.now);
            log::info!(term = term, workers = leader.sessions.len(), steps = leader.ready.len();
                "this host leads");
            group.leader = Some(Box::new(leader));
        } else if led.is_some() && (!group.raft.is_leader() || led != Some(term)) {
            log::warn!(term = term; "this host leads no more");
            group.leader = None;
            let waiters = std::mem::take(&mut group.waiters);
            let reads = std::mem::take(&mut group.reads);
            for waiter in into_values(waiters) {
                self.drop_waiter(waiter.then);
            }
            for (_, origin) in reads {
                self.refer(origin);
            }
        }
    }

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

    fn drop_waiter(&mut self, then: Then) {
        if let Then::Answer(origin) = then {
            self.refer(origin);
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

    /// The state starts again from a snapshot that the leader sent.
    fn restore(&mut self, ready: &Ready) {
        let snapshot = ready.snapshot.as_ref().expect("a restore comes with its snapshot");
        let Some(group) = &mut self.group else { return };
        group.state = decode_state(&snapshot.data);
        let configuration = group.state.configuration().clone();
        let waiters = std::mem::take(&mut group.waiters);
        for waiter in into_values(waiters) {
            self.drop_waiter(waiter.then);
        }
        self.take_configuration(configuration);
    }

    fn apply_entry(&mut self, entry: Entry) {
        let Some(group) = &mut self.group else { return };
        let waiter = group.waiters.remove(&entry.index);
        let Payload::Command(data) = entry.payload else {
            return;
        };
        let command: Command =
            postcard::from_bytes(&data).expect("the log holds what this program wrote");
        let (reply, effects) = group.state.apply(command);
        self.follow_effects(&effects);
        let Some(waiter) = waiter else { return };
        if waiter.term != entry.term {
            self.drop_waiter(waiter.then);
            return;
        }
        match waiter.then {
            Then::Answer(origin) => self.answer(origin, answer_of(reply)),
            Then::Placed => {
                if let Some(leader) = self.leader_mut() {
                    leader.placing = false;
                    leader.plan_due = true;
                }
            }
            Then::Settled => {
                if let Some(leader) = self.leader_mut() {
                    leader.settling_unsure = false;
                    leader.plan_due = true;
                }
            }
            Then::Nothing => {}
        }
    }

    fn follow_effects(&mut self, effects: &[Effect]) {
        if effects.contains(&Effect::Configured) {
            let configuration =
                self.group.as_ref().map(|group| group.state.configuration().clone());
            if let Some(configuration) = configuration {
                self.take_configuration(configuration);
                if self.leads() {
                    self.spread_configuration();
                }
            }
        }
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        if let Some(leader) = &mut group.leader {
            leader.follow(&group.state, effects, &self.cfg, &mut self.stats, now);
        }
    }

    pub(crate) fn leader_mut(&mut self) -> Option<&mut Leader> {
        self.group.as_mut()?.leader.as_deref_mut()
    }

    fn compact_if_due(&mut self) {
        let every = self.cfg.entries_per_snapshot;
        let Some(group) = &mut self.group else { return };
        let applied = group.raft.commit_index();
        if applied < group.raft.snapshot_index() + every {
            return;
        }
        let data = postcard::to_stdvec(&group.state).expect("plain data always encodes");
        log::info!(index = applied, bytes = data.len(); "snapshot of the state");
        group.raft.compact(applied, data);
    }
}

fn answer_of(reply: Reply) -> Result<Answer, Refusal> {
    match reply {
        Reply::Done => Ok(Answer::Done),
        Reply::InForce(version) => Ok(Answer::InForce(version)),
        Reply::NotFound => {
            Err(Refusal::new(RefusalKind::NotFound, "there is no such queue or job"))
        }
    }
}

fn into_values<K, V>(mut map: SortedMap<K, V>) -> Vec<V>
where
    K: Ord + Clone,
{
    let keys: Vec<K> = map.keys().cloned().collect();
    keys.iter().filter_map(|key| map.remove(key)).collect()
}
