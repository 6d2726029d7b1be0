//! Clients' calls: forwarding them to the leader, and serving them as the leader.

use crate::call::{Answer, Call, WorkerHeartbeat};
use crate::capacity_reports::CapacityReport;
use crate::group::{OnApplied, Origin};
use crate::io::Output;
use crate::job_log::{log_cancel_refused, log_refused_as_withdrawn};
use crate::message::PeerMessage;
use crate::node::Node;
use accounts::KeyDigest;
use jobs::{
    Command, Configuration, Job, Life, Phase, QueueAddress, QueueId, Reply, State, UnknownKey,
};
use std::time::Duration;
use types::{ExchangeId, HostId, JobId, Refusal, RefusalKind, Timestamp, WorkerId};

/// A forwarded call without an answer is sent again after this time, possibly to another host.
const CALL_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// A read that a follower has not answered is sent to the leader after this time. A follower answers
/// from memory or says at once that it can't.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(150);
/// While no leader is known, a call looks for one again after this time.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// An election ends within this time. A call waits that long for a leader before it is refused.
const MAX_ELECTION_TIME: Duration = Duration::from_millis(1_300);
/// Retry hint for clients whose call could not reach a leader.
const CALLER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A client's call that waits for its answer.
#[derive(Debug)]
pub(crate) struct OpenCall {
    exchange: ExchangeId,
    call: Call,
    deadline: Timestamp,
    /// When the call is sent again if no answer arrives.
    retry_at: Timestamp,
    /// Whether the call has left this host or was served here, so that it may have taken effect.
    sent: bool,
    /// How often the call has left this host for a leader.
    copies: u32,
    /// Follower that the call was sent to instead of the leader.
    follower: Option<HostId>,
}

impl OpenCall {
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        self.deadline.min(self.retry_at)
    }
}

impl Node {
    pub(crate) fn on_call(&mut self, exchange: ExchangeId, call: Call, deadline: Timestamp) {
        if self.now >= deadline {
            log::warn!(call = call.name(), exchange = exchange;
                "call not handed on: it waited on this host until its deadline");
            let cause = "the call waited on this host for too long; nothing was done";
            let refusal = Refusal::new(RefusalKind::Unavailable, cause);
            let refusal = refusal.retry_after(CALLER_RETRY_AFTER);
            self.out.push(Output::Answer(exchange, Err(refusal)));
            return;
        }
        self.last_call += 1;
        let id = self.last_call;
        let open = OpenCall {
            exchange,
            call,
            deadline,
            retry_at: self.now,
            sent: false,
            copies: 0,
            follower: None,
        };
        self.calls.insert(id, open);
        self.call_by_exchange.insert(exchange, id);
        self.route_call(id);
    }

    pub(crate) fn on_abandoned(&mut self, exchange: ExchangeId) {
        if let Some(id) = self.call_by_exchange.remove(&exchange) {
            self.calls.remove(&id);
        }
    }

    /// Serves an open call as the leader, answers it from this member's state, or sends it to a
    /// follower or the leader.
    fn route_call(&mut self, id: u64) {
        let now = self.now;
        let leads = self.leads();
        let target = if leads { None } else { self.peers.live_leader(now) };
        let Some(open) = self.calls.get(&id) else { return };
        let (call, first_attempt) = (open.call.clone(), !open.sent);
        if !leads {
            if let Some(answer) = self.answer_as_follower(&call) {
                return self.answer(Origin::Own(id), Ok(answer));
            }
        }
        let follower = target.as_ref().filter(|_| first_attempt);
        let follower = follower.and_then(|leader| self.follower_for(&call, leader));
        let timeout = if follower.is_some() { FOLLOWER_TIMEOUT } else { CALL_RETRY_INTERVAL };
        let target = follower.clone().or(target);
        let Some(open) = self.calls.get_mut(&id) else { return };
        if let Some(unresponsive) = std::mem::replace(&mut open.follower, follower) {
            self.follower_reads.mark_unresponsive(unresponsive, now);
        }
        if leads {
            open.retry_at = open.deadline;
            open.sent = true;
            self.serve(Origin::Own(id), call);
            return;
        }
        let me = &self.cfg.host;
        match target.filter(|host| host != me) {
            Some(host) => {
                open.retry_at = now + timeout;
                open.sent = true;
                open.copies += 1;
                self.send(&host, PeerMessage::Call { id, call: Box::new(call) });
            }
            None => {
                open.retry_at = now + LEADER_POLL_INTERVAL;
                // The call never left this host, so the refusal can say that nothing was done.
                if !open.sent && self.peers.leaderless_for(now) >= MAX_ELECTION_TIME {
                    let cause = "no leader is known; nothing was done";
                    let refusal = Refusal::new(RefusalKind::Unavailable, cause);
                    log::info!(call = open.call.name(), exchange = open.exchange;
                        "call refused: no leader is known");
                    self.answer(Origin::Own(id), Err(refusal.retry_after(CALLER_RETRY_AFTER)));
                }
            }
        }
    }

    /// Makes all open calls due, because a leader was found.
    pub(crate) fn retry_calls_now(&mut self) {
        let now = self.now;
        for open in self.calls.values_mut() {
            open.retry_at = open.retry_at.min(now);
        }
    }

    /// Retries open calls that are due and refuses those whose deadline has passed.
    pub(crate) fn tick_calls(&mut self) {
        let now = self.now;
        let due = self.calls.iter().filter(|(_, open)| now >= open.next_wakeup());
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
            if self.calls.get(&id).is_some_and(|open| now < open.deadline) {
                self.route_call(id);
                continue;
            }
            let Some(open) = self.calls.get(&id) else { continue };
            let refusal = if open.sent && open.call.is_change() {
                Refusal::new(RefusalKind::Unknown, "no answer from the leader in time")
            } else {
                let cause = "no leader was reached in time";
                Refusal::new(RefusalKind::Unavailable, cause).retry_after(CALLER_RETRY_AFTER)
            };
            log::warn!(call = open.call.name(), exchange = open.exchange, sent = open.sent;
                "call timed out without an answer from a leader");
            self.answer(Origin::Own(id), Err(refusal));
        }
    }

    pub(crate) fn answer(&mut self, origin: Origin, answer: Result<Answer, Refusal>) {
        match origin {
            Origin::Own(id) => {
                if let Some(open) = self.calls.remove(&id) {
                    self.call_by_exchange.remove(&open.exchange);
                    self.out.push(Output::Answer(open.exchange, answer));
                }
            }
            Origin::Peer(host, id) => {
                self.send(&host, PeerMessage::Answer { id, answer: Box::new(answer) })
            }
        }
    }

    /// Handles a call that this host can't serve because it is not the leader: an own call is
    /// retried shortly, another host is told who leads.
    pub(crate) fn redirect(&mut self, origin: Origin) {
        let now = self.now;
        match origin {
            Origin::Own(id) => {
                if let Some(open) = self.calls.get_mut(&id) {
                    open.retry_at = now + LEADER_POLL_INTERVAL;
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
        } else if let Some(answer) = self.answer_as_follower(&call) {
            self.answer(origin, Ok(answer));
        } else {
            self.redirect(origin);
        }
    }

    pub(crate) fn on_answer(&mut self, id: u64, answer: Result<Answer, Refusal>) {
        let Some(open) = self.calls.get(&id) else { return };
        let answer = answer.map_err(|r| Node::weaken_refusal(&open.call, open.copies, r));
        self.answer(Origin::Own(id), answer);
    }

    pub(crate) fn on_not_leader(&mut self, from: &HostId, id: u64, leader: Option<HostId>) {
        let now = self.now;
        if self.peers.live_leader(now).as_ref() == Some(from) {
            self.peers.forget_leader();
            self.peers.next_heartbeat = now;
        }
        if let Some(open) = self.calls.get_mut(&id) {
            open.follower = None;
            open.retry_at = now + LEADER_POLL_INTERVAL;
            if let Some(host) = leader.filter(|host| host != from) {
                open.retry_at = now + CALL_RETRY_INTERVAL;
                open.copies += 1;
                let call = Box::new(open.call.clone());
                self.send(&host, PeerMessage::Call { id, call });
            }
        }
    }

    /// Serves a call as the leader.
    fn serve(&mut self, origin: Origin, call: Call) {
        let Some(group) = &self.group else { return self.redirect(origin) };
        let state = &group.state;
        if call.credentials().is_some_and(|(queue, key)| !self.may_serve(queue, key)) {
            log::warn!(call = call.name(), version = self.configuration.version;
                "call not served: keys may have changed since leadership was last confirmed");
            // Not refused: an earlier copy of the call may take effect.
            return self.redirect(origin);
        }
        match call {
            Call::Submit { id, queue, request, key } => {
                let at = self.now;
                match state.check_submission(id, &queue, key.as_ref()) {
                    Ok((_, account)) => {
                        match self.refusal_of(id, &queue, account.as_ref(), &request, key.as_ref())
                        {
                            Some(refusal) => self.answer(origin, Err(refusal)),
                            None => {
                                let room = u64::try_from(self.cfg.state_room).ok();
                                let command = Command::Submit { id, queue, request, at, key, room };
                                self.propose_submission(origin, id, command);
                            }
                        }
                    }
                    Err(reply) => {
                        if reply == Reply::Withdrawn {
                            self.stats.refused_as_withdrawn += 1;
                            log_refused_as_withdrawn(id);
                        }
                        let answer = self.answer_from_reply(reply);
                        self.answer(origin, answer);
                    }
                }
            }
            Call::Cancel { id, queue, key } => {
                let at = self.now;
                match state.check_cancel(id, &queue, key.as_ref()) {
                    None => {
                        let command = Command::Cancel { id, key, at, queue: Some(queue) };
                        self.propose_for(origin, command);
                    }
                    Some(reply) => {
                        self.stats.cancels_refused += 1;
                        log_cancel_refused(id);
                        let answer = self.answer_from_reply(reply);
                        self.answer(origin, answer);
                    }
                }
            }
            Call::JobPhase { id, queue, key } => {
                let answer = match visible_job(state, id, &queue, key.as_ref()) {
                    Ok(Some(job)) => Ok(Answer::Phase(job.phase)),
                    Ok(None) => Err(not_found("there is no such job")),
                    Err(UnknownKey) => self.answer_from_reply(Reply::UnknownKey),
                };
                self.answer(origin, answer);
            }
            Call::CountWaiting { queue, key } => {
                let answer = match state.open_queue(&queue) {
                    None => Err(not_found("there is no such queue")),
                    Some(queue) => match state.caller(queue, key.as_ref()) {
                        Ok(_) => Ok(Answer::Waiting(self.count_waiting(queue))),
                        Err(UnknownKey) => self.answer_from_reply(Reply::UnknownKey),
                    },
                };
                self.answer(origin, answer);
            }
            Call::Configure(configuration) => self.configure(origin, configuration),
            Call::ReadConfiguration => self.read_configuration(origin),
            Call::Heartbeat(heartbeat) => self.on_worker_heartbeat(origin, *heartbeat),
            Call::Leave { worker } => self.on_worker_leave(origin, &worker),
        }
    }

    /// Counts the jobs of the queue of which no task is known to have started. A job whose tasks
    /// are placed still counts until a worker reports one as running: the worker may be
    /// unreachable.
    fn count_waiting(&self, queue: QueueId) -> u64 {
        let Some(group) = &self.group else { return 0 };
        let Some(leader) = &group.leader else { return 0 };
        let of_queue = |job: &&Job| job.queue == queue && !job.phase.is_over();
        let waits = |job: &&Job| job.phase == Phase::Queued || !leader.has_begun(job);
        group.state.jobs().filter(of_queue).filter(waits).count() as u64
    }

    /// Proposes a configuration. One whose version is not higher than the current one changes
    /// nothing and is acknowledged too.
    fn configure(&mut self, origin: Origin, configuration: Box<Configuration>) {
        let in_force = self.state().map_or(0, |state| state.configuration().version);
        if configuration.version <= in_force {
            self.answer(origin, Ok(Answer::InForce(in_force)));
        } else {
            self.propose_for(origin, Command::Configure { configuration });
        }
    }

    /// Proposes a command and answers the call once it is applied.
    pub(crate) fn propose_for(&mut self, origin: Origin, command: Command) {
        if !self.propose(&command, OnApplied::Answer(origin.clone())) {
            self.redirect(origin);
        }
    }

    fn on_worker_heartbeat(&mut self, origin: Origin, heartbeat: WorkerHeartbeat) {
        if let Err(cause) = heartbeat.check() {
            log::warn!(worker = heartbeat.info.worker.as_str(), cause = cause.as_str();
                "heartbeat refused");
            self.answer(origin, Err(Refusal::new(RefusalKind::BadInput, cause)));
            return;
        }
        let WorkerHeartbeat { info, clock } = heartbeat;
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let known = group.state.find_life(&info.worker, info.born);
        let draining = known.is_some_and(|life| life.info.draining);
        let unchanged = known.is_some_and(|life| {
            let reported = jobs::WorkerInfo { draining: info.draining || draining, ..info.clone() };
            life.info == reported
        });
        let mut delayed = false;
        if let (Some(life), Some(leader)) = (known.map(|life| life.id), &mut group.leader) {
            delayed = !leader.record_heartbeat(life, clock, now);
            if unchanged && !delayed {
                leader.record_report(life, clock, now);
                let capacity = info.capacity;
                let report = clock.map(|clock| CapacityReport { life, clock, capacity });
                report.into_iter().for_each(|report| self.capacity_reports.record(report, now));
            }
        }
        if unchanged || delayed {
            self.answer(origin, Ok(Answer::Done));
            return;
        }
        log::info!(worker = info.worker.as_str(), born = info.born, addr = info.addr.as_str(),
            draining = info.draining, known = known.is_some(); "worker registered or changed");
        if let Some(leader) = self.leader_mut() {
            leader.record_change(&info, clock);
        }
        self.end_replaced_lives(&info);
        self.propose_for(origin, Command::UpdateWorker { info });
    }

    /// Handles the goodbye of a worker. It names no life, and one of an earlier life may be read late,
    /// when the next one drains. So it proves nothing: a life that has runs ends once its worker is
    /// known to be gone, and the goodbye only makes the leader look at once.
    fn on_worker_leave(&mut self, origin: Origin, worker: &WorkerId) {
        let now = self.now;
        let Some(group) = &self.group else { return };
        let is_leaving = |life: &&Life| life.info.worker == *worker && life.info.draining;
        let leaving = group.state.lives().find(is_leaving).map(|life| (life.id, life.runs.len()));
        let Some((life, runs)) = leaving else {
            return self.answer(origin, Ok(Answer::Done));
        };
        log::info!(worker = worker.as_str(), life = life, runs = runs; "worker says goodbye");
        if runs == 0 {
            return self.propose_for(origin, Command::IdleLifeOver { life });
        }
        let session = self.leader_mut().and_then(|leader| leader.sessions.get_mut(&life));
        if let Some(session) = session {
            session.record_goodbye(now);
        }
        self.answer(origin, Ok(Answer::Done));
    }

    /// Whether the replicated state holds this job; for tests and metrics.
    pub fn has_job(&self, id: JobId) -> bool {
        self.state().is_some_and(|state| state.job(id).is_some())
    }
}

/// A job of the queue that a caller with this key may see.
pub(crate) fn visible_job<'a>(
    state: &'a State,
    id: JobId,
    queue: &QueueAddress,
    key: Option<&KeyDigest>,
) -> Result<Option<&'a Job>, UnknownKey> {
    let job = state.job(id).filter(|job| state.address(job.queue) == queue);
    let Some(job) = job else { return Ok(None) };
    let account = state.caller(job.queue, key)?;
    Ok((job.account == account).then_some(job))
}

fn not_found(cause: &str) -> Refusal {
    Refusal::new(RefusalKind::NotFound, cause)
}
