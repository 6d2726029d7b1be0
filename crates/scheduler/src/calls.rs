//! Calls from outside, and how they reach the leader.

use crate::call::{Answer, Call, WorkerHeartbeat};
use crate::group::{Origin, Then};
use crate::io::Output;
use crate::message::PeerMessage;
use crate::node::Node;
use jobs::{Command, Configuration, Job, Phase, QueueId};
use std::time::Duration;
use types::{ExchangeId, HostId, JobId, Refusal, RefusalKind, Timestamp, WorkerId};

/// A call that got no answer is made again after this time, perhaps elsewhere.
const CALL_AGAIN: Duration = Duration::from_millis(700);
/// The same while no leader is known.
const LOOK_AGAIN: Duration = Duration::from_millis(60);
/// An election is over within this time; a caller waits for it rather than come back.
const ELECTION: Duration = Duration::from_millis(1_300);
/// When a caller should come back after a call that could not be made.
const COME_BACK: Duration = Duration::from_secs(1);

/// A call from outside that waits for its answer.
#[derive(Debug)]
pub(crate) struct OpenCall {
    exchange: ExchangeId,
    call: Call,
    deadline: Timestamp,
    retry_at: Timestamp,
    /// It left this host, so it may have been carried out.
    sent: bool,
    /// Member that was asked to read for it.
    reader: Option<HostId>,
}

impl OpenCall {
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        self.deadline.min(self.retry_at)
    }
}

impl Node {
    pub(crate) fn on_call(&mut self, exchange: ExchangeId, call: Call, deadline: Timestamp) {
        self.last_call += 1;
        let id = self.last_call;
        let open =
            OpenCall { exchange, call, deadline, retry_at: self.now, sent: false, reader: None };
        self.calls.insert(id, open);
        self.by_exchange.insert(exchange, id);
        self.make_call(id);
    }

    pub(crate) fn on_abandoned(&mut self, exchange: ExchangeId) {
        if let Some(id) = self.by_exchange.remove(&exchange) {
            self.calls.remove(&id);
        }
    }

    fn make_call(&mut self, id: u64) {
        let now = self.now;
        let leads = self.leads();
        let hop = if leads { None } else { self.known.live_leader(now) };
        let Some(open) = self.calls.get(&id) else { return };
        let (call, first) = (open.call.clone(), !open.sent);
        if !leads {
            if let Some(answer) = self.answer_from_copy(&call) {
                return self.answer(Origin::Own(id), Ok(answer));
            }
        }
        let reader = hop.as_ref().filter(|_| first);
        let reader = reader.and_then(|leader| self.reader_for(&call, leader));
        let hop = reader.clone().or(hop);
        let Some(open) = self.calls.get_mut(&id) else { return };
        if let Some(silent) = std::mem::replace(&mut open.reader, reader) {
            self.copies.rest(silent, now);
        }
        if leads {
            open.retry_at = open.deadline;
            open.sent = true;
            self.serve(Origin::Own(id), call);
            return;
        }
        let me = &self.cfg.host;
        match hop.filter(|host| host != me) {
            Some(host) => {
                open.retry_at = now + CALL_AGAIN;
                open.sent = true;
                self.send(&host, PeerMessage::Call { id, call: Box::new(call) });
            }
            None => {
                open.retry_at = now + LOOK_AGAIN;
                // Nothing has left this host, so the caller can be told at once.
                if !open.sent && self.known.without_leader(now) >= ELECTION {
                    let cause = "no leader is known; nothing was done";
                    let refusal = Refusal::new(RefusalKind::Unavailable, cause);
                    log::info!(call = open.call.name(), exchange = open.exchange;
                        "refused: no leader is known");
                    self.answer(Origin::Own(id), Err(refusal.retry_after(COME_BACK)));
                }
            }
        }
    }

    /// A leader was found: what waits goes there at once.
    pub(crate) fn retry_calls_now(&mut self) {
        let now = self.now;
        for open in self.calls.values_mut() {
            open.retry_at = open.retry_at.min(now);
        }
    }

    pub(crate) fn tick_calls(&mut self) {
        let now = self.now;
        let due = self.calls.iter().filter(|(_, open)| now >= open.next_wakeup());
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            if self.calls.get(&id).is_some_and(|open| now < open.deadline) {
                self.make_call(id);
                continue;
            }
            let Some(open) = self.calls.get(&id) else { continue };
            let refusal = if open.sent && open.call.is_change() {
                Refusal::new(RefusalKind::Unknown, "no answer from the leader in time")
            } else {
                let cause = "no leader was reached in time";
                Refusal::new(RefusalKind::Unavailable, cause).retry_after(COME_BACK)
            };
            log::warn!(call = open.call.name(), exchange = open.exchange, sent = open.sent;
                "a call got no answer in time");
            self.answer(Origin::Own(id), Err(refusal));
        }
    }

    pub(crate) fn answer(&mut self, origin: Origin, answer: Result<Answer, Refusal>) {
        match origin {
            Origin::Own(id) => {
                if let Some(open) = self.calls.remove(&id) {
                    self.by_exchange.remove(&open.exchange);
                    self.out.push(Output::Answer(open.exchange, answer));
                }
            }
            Origin::Peer(host, id) => {
                self.send(&host, PeerMessage::Answer { id, answer: Box::new(answer) })
            }
        }
    }

    /// This host does not lead: the call goes on to whoever does.
    pub(crate) fn refer(&mut self, origin: Origin) {
        let now = self.now;
        match origin {
            Origin::Own(id) => {
                if let Some(open) = self.calls.get_mut(&id) {
                    open.retry_at = now + LOOK_AGAIN;
                }
            }
            Origin::Peer(host, id) => {
                let leader = self.group.as_ref().and_then(|group| group.raft.leader_host());
                let leader = leader.filter(|leader| **leader != self.cfg.host).cloned();
                self.send(&host, PeerMessage::NotLeader { id, leader });
            }
        }
    }

    pub(crate) fn on_peer_call(&mut self, from: HostId, id: u64, call: Call) {
        let origin = Origin::Peer(from, id);
        if self.leads() {
            self.serve(origin, call);
        } else if let Some(answer) = self.answer_from_copy(&call) {
            self.answer(origin, Ok(answer));
        } else {
            self.refer(origin);
        }
    }

    pub(crate) fn on_answer(&mut self, id: u64, answer: Result<Answer, Refusal>) {
        self.answer(Origin::Own(id), answer);
    }

    pub(crate) fn on_not_leader(&mut self, from: &HostId, id: u64, leader: Option<HostId>) {
        let now = self.now;
        if self.known.live_leader(now).as_ref() == Some(from) {
            self.known.forget_leader();
            self.known.next_beat = now;
        }
        if let Some(open) = self.calls.get_mut(&id) {
            open.reader = None;
            open.retry_at = now + LOOK_AGAIN;
            if let Some(host) = leader.filter(|host| host != from) {
                open.retry_at = now + CALL_AGAIN;
                let call = Box::new(open.call.clone());
                self.send(&host, PeerMessage::Call { id, call });
            }
        }
    }

    /// Serves a call as the leader.
    fn serve(&mut self, origin: Origin, call: Call) {
        let Some(group) = &self.group else { return self.refer(origin) };
        let state = &group.state;
        match call {
            Call::Submit { id, queue, request } => {
                if state.job(id).is_some() {
                    return self.answer(origin, Ok(Answer::Done));
                }
                if state.open_queue(&queue).is_none() {
                    return self.answer(origin, Err(not_found("there is no such queue")));
                }
                let at = self.now;
                self.change(origin, Command::Submit { id, queue, request, at });
            }
            Call::Cancel { id, .. } => {
                let at = self.now;
                self.change(origin, Command::Cancel { id, at });
            }
            Call::JobPhase { id, queue } => {
                let job = state.job(id).filter(|job| *state.address(job.queue) == queue);
                let answer = match job {
                    Some(job) => Ok(Answer::Phase(job.phase)),
                    None => Err(not_found("there is no such job")),
                };
                self.answer(origin, answer);
            }
            Call::CountWaiting { queue } => {
                let answer = match state.open_queue(&queue) {
                    Some(queue) => Ok(Answer::Waiting(self.count_waiting(queue))),
                    None => Err(not_found("there is no such queue")),
                };
                self.answer(origin, answer);
            }
            Call::Configure(configuration) => self.configure(origin, configuration),
            Call::ReadConfiguration => self.read_configuration(origin),
            Call::Heartbeat(beat) => self.on_beat(origin, *beat),
            Call::Leave { worker } => self.on_leave(origin, &worker),
        }
    }

    /// Jobs of the queue of which nothing is known to have started. A job whose tasks have places
    /// counts while no worker has said that it runs one: the worker may be out of reach.
    fn count_waiting(&self, queue: QueueId) -> u64 {
        let Some(group) = &self.group else { return 0 };
        let Some(leader) = &group.leader else { return 0 };
        let of_queue = |job: &&Job| job.queue == queue && !job.phase.is_over();
        let waits = |job: &&Job| job.phase == Phase::Queued || !leader.has_begun(job);
        group.state.jobs().filter(of_queue).filter(waits).count() as u64
    }

    /// A version that is not higher changes nothing and is acknowledged all the same.
    fn configure(&mut self, origin: Origin, configuration: Box<Configuration>) {
        let in_force = self.state().map_or(0, |state| state.configuration().version);
        if configuration.version <= in_force {
            self.answer(origin, Ok(Answer::InForce(in_force)));
        } else {
            self.change(origin, Command::Configure { configuration });
        }
    }

    fn change(&mut self, origin: Origin, command: Command) {
        if !self.propose(&command, Then::Answer(origin.clone())) {
            self.refer(origin);
        }
    }

    fn on_beat(&mut self, origin: Origin, beat: WorkerHeartbeat) {
        let WorkerHeartbeat { info, clock } = beat;
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let known = group.state.find_life(&info.worker, info.born);
        let draining = known.is_some_and(|life| life.info.draining);
        let same = known.is_some_and(|life| {
            let said = jobs::WorkerInfo { draining: info.draining || draining, ..info.clone() };
            life.info == said
        });
        if let (Some(life), Some(leader)) = (known.map(|life| life.id), &mut group.leader) {
            leader.hear_beat(life, clock, now);
        }
        if same {
            self.answer(origin, Ok(Answer::Done));
            return;
        }
        log::info!(worker = info.worker.as_str(), born = info.born, addr = info.addr.as_str(),
            draining = info.draining, known = known.is_some(); "a worker has news");
        self.keep_back_for(&info);
        self.change(origin, Command::UpdateWorker { info });
    }

    /// A worker ends. A late message can't end a life that did not say that it leaves.
    fn on_leave(&mut self, origin: Origin, worker: &WorkerId) {
        let Some(group) = &self.group else { return };
        let leaving =
            group.state.lives().find(|life| life.info.worker == *worker && life.info.draining);
        match leaving.map(|life| life.id) {
            Some(life) => {
                log::info!(worker = worker.as_str(), life = life; "a worker has left");
                self.change(origin, Command::LifeOver { life });
            }
            None => self.answer(origin, Ok(Answer::Done)),
        }
    }

    /// Jobs in the state; for tests and metrics.
    pub fn has_job(&self, id: JobId) -> bool {
        self.state().is_some_and(|state| state.job(id).is_some())
    }
}

fn not_found(cause: &str) -> Refusal {
    Refusal::new(RefusalKind::NotFound, cause)
}
