//! Work that the leader does on its own: sending orders to workers, opening due occurrences of
//! scheduled jobs, and ending the lives of workers that are gone.

use crate::group::OnApplied;
use crate::io::{OrderEnvelope, Output};
use crate::leader::{Leader, OpenOrder};
use crate::message::PeerMessage;
use crate::node::Node;
use crate::zones::OVERDUE_AFTER;
use dispatch::{Order, OrderAnswer, SessionEvent, StartCounts};
use jobs::{Command, LifeId, StepRef};
use std::time::Duration;
use types::{HostId, WorkerId, ZoneName};

/// Interval of the checks for conditions that no message reports, such as expired orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which finished jobs are removed from the state.
const TRIM_INTERVAL: Duration = Duration::from_secs(60);
/// A worker without runs that sent nothing for this long is removed.
const IDLE_WORKER_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for the answer to an order, in addition to the time that the order itself may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Additional wait for the answer to an order that another host may have forwarded.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Only hosts heard within this time forward orders: two heartbeat intervals and a margin.
const FORWARDER_TIMEOUT: Duration = Duration::from_millis(650);
/// With at most this many workers the leader sends all orders itself.
const MAX_DIRECT_WORKERS: usize = 96;

impl Node {
    /// Runs all duties of the leader that are due. Does nothing on other hosts.
    pub(crate) fn run_leader_duties(&mut self) {
        if !self.leads() {
            return;
        }
        self.reconfigure_group();
        self.run_periodic_checks();
        self.propose_session_events();
        self.hold_in_doubt_of_ended();
        self.release_resolved_starts();
        self.send_orders();
        self.plan_if_due();
        self.report_advice();
    }

    /// Expires orders, opens due occurrences of scheduled jobs, removes workers that are gone, and
    /// trims finished jobs.
    fn run_periodic_checks(&mut self) {
        let (now, wall) = (self.now, self.wall_clock);
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        if now < leader.next_check {
            return;
        }
        leader.next_check = now + CHECK_INTERVAL;
        let overdue =
            leader.orders.values().filter(|open| now > open.answer_expected + OVERDUE_AFTER);
        let overdue = overdue.filter_map(|open| group.state.life(open.life));
        leader.zones.update(overdue.map(|life| &life.info.zone), now);
        self.expire_orders();
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.trim_cleared(&group.state);
        let mut commands = leader.answered_lives(&group.state);
        for id in &leader.scheduled {
            let Some(job) = group.state.job(*id) else { continue };
            let schedule = job.request.as_ref().and_then(|request| request.schedule);
            let Some(schedule) = schedule.filter(|s| wall >= s.first) else { continue };
            let since = (wall - schedule.first).as_millis();
            let due = since / schedule.interval.as_millis().max(1) + 1;
            let due = u32::try_from(due).unwrap_or(u32::MAX).min(schedule.times);
            let upto = group.state.openable(job, due, self.cfg.state_room);
            if upto > job.opened {
                commands.push(Command::OpenOccurrences { id: *id, upto });
            }
        }
        for life in group.state.lives().filter(|life| life.runs.is_empty()) {
            let heard = leader.last_heartbeat.get(&life.id).copied().unwrap_or(now);
            let usable = leader.sessions.get(&life.id).is_some_and(|s| s.is_usable(now));
            let timeout = Leader::idle_timeout(&group.state, life.id, IDLE_WORKER_TIMEOUT);
            if now >= heard + timeout && !usable {
                log::warn!(worker = life.info.worker.as_str(), life = life.id;
                    "worker removed: it sent no heartbeat and answered no order");
                commands.push(Command::IdleLifeOver { life: life.id });
            }
        }
        if now >= leader.next_trim {
            leader.next_trim = now + TRIM_INTERVAL;
            commands.push(Command::TrimJobs { before: now.saturating_sub(self.cfg.keep_ended) });
        }
        for command in commands {
            self.propose(&command, OnApplied::Nothing);
        }
        self.write_learned();
    }

    /// Proposes the events that sessions have learned from their workers.
    fn propose_session_events(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let mut events: Vec<(LifeId, SessionEvent)> = Vec::new();
        for session in leader.sessions.values_mut() {
            let life = session.life();
            events.extend(session.take_events().into_iter().map(|event| (life, event)));
        }
        for (life, event) in events {
            let command = match event {
                SessionEvent::Ended(ends) => Command::Ended { life, ends, at: now },
                SessionEvent::Lost(runs) => {
                    self.hold_outlasting_starts(life, &runs);
                    self.record_if_silent(life, &runs);
                    Command::Lost { life, runs }
                }
                SessionEvent::LifeOver | SessionEvent::WorkerReplaced => {
                    log::warn!(life = life; "life replaced by another one");
                    self.end_replaced_life(life);
                    continue;
                }
                SessionEvent::Left => {
                    log::info!(life = life; "worker has left: it was draining, and its port refuses");
                    Command::LifeOver { life }
                }
                SessionEvent::TicketRefused(task) => {
                    log::info!(life = life, job = task.step.job; "worker refused a ticket");
                    if let Some(leader) = self.leader_mut() {
                        leader.advice.forget_ticket(task.step, life);
                    }
                    continue;
                }
                SessionEvent::Deposed => {
                    log::warn!(life = life; "order refused: a later leader is active");
                    continue;
                }
            };
            if !self.propose(&command, OnApplied::Nothing) {
                let session = self.leader_mut().and_then(|l| l.sessions.get_mut(&life));
                if let Some(session) = session {
                    session.resend_reports(now);
                }
            }
        }
    }

    /// Sends the orders of all sessions that are due, itself or through other hosts.
    fn send_orders(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let mut orders: Vec<(LifeId, dispatch::OrderId, Order)> = Vec::new();
        for session in leader.sessions.values_mut() {
            if session.next_wakeup().is_some_and(|at| now >= at) {
                let life = session.life();
                let due = session.poll(now).into_iter();
                orders.extend(due.map(|(id, order)| (life, id, order)));
            }
        }
        if orders.is_empty() {
            return;
        }
        let forwarders = self.forwarders();
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        for (life, id, order) in orders {
            let envelope = order_envelope(&group.state, leader, life, order);
            let Some(envelope) = envelope.map(Box::new) else {
                if let Some(session) = leader.sessions.get_mut(&life) {
                    session.withdraw(id, now);
                }
                continue;
            };
            leader.last_order += 1;
            let number = leader.last_order;
            let answer_expected = now + envelope.timeout.saturating_sub(ORDER_TIMEOUT);
            // As much again may pass before a start is sent, until a connection to its life is found.
            let preparation = match envelope.order {
                Order::Start { .. } => envelope.timeout,
                Order::Stop { .. } | Order::Hold { .. } => Duration::ZERO,
            };
            let expires = now + preparation + envelope.timeout + FORWARD_TIMEOUT;
            let open = OpenOrder { life, order: id, sent: now, answer_expected, expires };
            leader.orders.insert(number, open);
            let zone = group.state.life(life).map(|life| &life.info.zone);
            match choose_forwarder(&forwarders, zone, life) {
                None => {
                    let own_number = self.last_forwarded_order + 1;
                    self.last_forwarded_order = own_number;
                    self.forwarded_orders.insert(own_number, (self.cfg.host.clone(), number));
                    self.out.push(Output::Order(own_number, envelope));
                }
                Some(host) => {
                    let message = PeerMessage::Order { number, envelope };
                    self.out.push(Output::Send(host.clone(), message));
                }
            }
        }
    }

    /// Live members, with their zones, through which the leader sends orders. Empty if the workers
    /// are few enough for the leader alone.
    fn forwarders(&self) -> Vec<(HostId, ZoneName)> {
        let Some(group) = &self.group else { return Vec::new() };
        if group.state.lives().count() <= MAX_DIRECT_WORKERS {
            return Vec::new();
        }
        let members = group.raft.config().members();
        let live = self.peers.heard_within(self.now, FORWARDER_TIMEOUT).into_iter();
        let live = live.filter(|(host, _)| members.iter().any(|m| m.host == **host));
        live.map(|(host, zone)| (host.clone(), zone.clone())).collect()
    }

    /// Sends an order to a worker at the request of the leader.
    pub(crate) fn on_order(&mut self, from: HostId, number: u64, envelope: Box<OrderEnvelope>) {
        let own_number = self.last_forwarded_order + 1;
        self.last_forwarded_order = own_number;
        self.forwarded_orders.insert(own_number, (from, number));
        self.out.push(Output::Order(own_number, envelope));
    }

    /// Returns a worker's answer to the leader that requested the order.
    pub(crate) fn on_forwarded_order_answered(&mut self, own_number: u64, answer: OrderAnswer) {
        let Some((host, number)) = self.forwarded_orders.remove(&own_number) else { return };
        if host == self.cfg.host {
            self.on_order_answered(number, answer);
        } else {
            self.send(&host, PeerMessage::OrderAnswered { number, answer });
        }
    }

    /// Treats orders that were not answered in time as silence of the worker. This covers
    /// forwarding hosts that fail.
    fn expire_orders(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let expired = leader.orders.iter().filter(|(_, open)| now >= open.expires);
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        for number in expired {
            self.on_order_answered(number, OrderAnswer::Silence);
        }
    }

    /// Hands a worker's answer to its session.
    pub(crate) fn on_order_answered(&mut self, number: u64, answer: OrderAnswer) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let Some(open) = leader.orders.remove(&number) else { return };
        let OpenOrder { life, order, sent, .. } = open;
        if answer.is_answered() {
            if let Some(life) = group.state.life(life) {
                leader.zones.record_answer(&life.info.zone, now);
            }
        }
        if let Some(session) = leader.sessions.get_mut(&life) {
            let before = (session.is_usable(now), session.has_listed());
            let counts = session.start_counts();
            session.answered(order, sent, answer, now);
            let after = (session.is_usable(now), session.has_listed());
            let StartCounts { unanswered, in_doubt } = session.start_counts();
            self.stats.starts_unanswered += unanswered - counts.unanswered;
            self.stats.starts_in_doubt += in_doubt - counts.in_doubt;
            leader.plan_due |= !before.0 && after.0;
            if !before.1 && after.1 {
                leader.take_back_starts(&group.state, life, now);
            }
        }
    }

    /// Calls the advice service at the request of the leader, which may be this host.
    pub(crate) fn on_advise(
        &mut self,
        from: HostId,
        number: u64,
        step: StepRef,
        workers: Vec<WorkerId>,
        timeout: Duration,
    ) {
        self.last_advice += 1;
        let own_number = self.last_advice;
        self.forwarded_advice.insert(own_number, (from, number));
        self.out.push(Output::Advise { number: own_number, step, workers, timeout });
    }

    /// Returns the answer of the advice service to the leader that requested the call.
    pub(crate) fn on_forwarded_advice_answered(
        &mut self,
        own_number: u64,
        tickets: Option<Vec<(WorkerId, String)>>,
    ) {
        let Some((host, number)) = self.forwarded_advice.remove(&own_number) else { return };
        if host == self.cfg.host {
            self.on_advice_answered(number, tickets);
        } else {
            self.send(&host, PeerMessage::Advised { number, tickets });
        }
    }

    /// Records the answer of the advice service. Workers whose lives have ended since are left out.
    pub(crate) fn on_advice_answered(
        &mut self,
        number: u64,
        tickets: Option<Vec<(WorkerId, String)>>,
    ) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let Some(lives) = leader.advice_lives.remove(&number) else { return };
        let state = &group.state;
        let named = lives.iter().filter_map(|id| Some((&state.life(*id)?.info.worker, *id)));
        let mut named: Vec<(&WorkerId, LifeId)> = named.collect();
        named.sort_unstable();
        let tickets = tickets.map(|rows| {
            let found = rows.into_iter().filter_map(|(worker, ticket)| {
                let i = named.binary_search_by(|(name, _)| (*name).cmp(&worker)).ok()?;
                Some((named[i].1, ticket))
            });
            found.collect()
        });
        if let Some(step) = leader.advice.answered(number, tickets, now) {
            leader.retry_at.remove(&step);
        }
        leader.plan_due = true;
    }

    /// Starts a call to the advice service on the host that was chosen as its caller.
    pub(crate) fn send_advice_call(&mut self, call: dispatch::AdviceCall) {
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let name = |id: &LifeId| group.state.life(*id).map(|life| life.info.worker.clone());
        let workers: Vec<WorkerId> = call.lives.iter().filter_map(name).collect();
        leader.advice_lives.insert(call.number, call.lives);
        self.stats.advice_calls += 1;
        let (number, step, timeout) = (call.number, call.step, call.timeout);
        if call.caller == self.cfg.host {
            self.on_advise(call.caller, number, step, workers, timeout);
        } else {
            let message = PeerMessage::Advise { number, step, workers, timeout };
            self.send(&call.caller, message);
        }
    }
}

/// Chooses the host that forwards an order. Hosts in the worker's zone are preferred: a zone that
/// is cut off then loses no orders to workers in other zones.
fn choose_forwarder<'a>(
    forwarders: &'a [(HostId, ZoneName)],
    zone: Option<&ZoneName>,
    life: LifeId,
) -> Option<&'a HostId> {
    let in_zone = |(_, host_zone): &&(HostId, ZoneName)| Some(host_zone) == zone;
    let count = forwarders.iter().filter(in_zone).count();
    let turn = life as usize;
    let host = match count {
        0 => forwarders.get(turn % forwarders.len().max(1)),
        count => forwarders.iter().filter(in_zone).nth(turn % count),
    };
    host.map(|(host, _)| host)
}

/// Adds to an order what is needed to send it. `None` if the life or its job is gone.
fn order_envelope(
    state: &jobs::State,
    leader: &mut crate::leader::Leader,
    life: LifeId,
    order: Order,
) -> Option<OrderEnvelope> {
    let info = &state.life(life)?.info;
    let mut timeout = ORDER_TIMEOUT;
    let (mut spec, mut saved, mut ticket) = (None, None, None);
    match &order {
        Order::Hold { wait, .. } => timeout += *wait,
        Order::Stop { .. } => {}
        Order::Start { task, .. } => {
            let job = state.job(task.step.job)?;
            spec = job.request.as_ref().map(|request| request.spec.clone());
            let found = job.step(task.step)?.tasks.touched(task.index)?;
            saved = found.saved.clone();
            ticket = leader.advice.use_ticket(task.step, job.queue, life).map(str::to_string);
        }
    }
    Some(OrderEnvelope {
        worker: info.worker.clone(),
        addr: info.addr.clone(),
        born: info.born,
        order,
        fence: leader.fence(life),
        spec,
        saved,
        ticket,
        timeout,
    })
}
