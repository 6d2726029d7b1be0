//! What the leader does by itself: orders to workers, due occurrences, lives that are gone.

use crate::group::Then;
use crate::io::{OrderEnvelope, Output};
use crate::leader::OpenOrder;
use crate::message::PeerMessage;
use crate::node::Node;
use crate::zones::OVERDUE_AFTER;
use dispatch::{Order, OrderAnswer, SessionEvent};
use jobs::{Command, LifeId, StepRef};
use std::time::Duration;
use types::{HostId, WorkerId, ZoneName};

/// How often the leader looks at what nobody reports.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// How often old jobs are forgotten.
const TRIM_EVERY: Duration = Duration::from_secs(60);
/// A worker that runs nothing and was silent for this long is taken for gone.
const GONE_AFTER: Duration = Duration::from_secs(15);
/// Longest wait for the answer to an order, beyond the time that the order itself may take.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);
/// Longest wait for a host that sends an order for this one, beyond the time that the order may take.
const CARRIED_WITHIN: Duration = Duration::from_millis(500);
/// A host that sends orders for the leader was heard within this time: two heartbeats and some.
const CARRIER_HEARD: Duration = Duration::from_millis(650);
/// Up to this many workers the leader sends its orders itself.
const DIRECT_WORKERS: usize = 96;

impl Node {
    pub(crate) fn do_duties(&mut self) {
        if !self.leads() {
            return;
        }
        self.repair();
        self.check();
        self.collect_facts();
        self.keep_back_just_placed();
        self.settle_unsure();
        self.give_orders();
        self.plan_if_due();
    }

    fn check(&mut self) {
        let (now, wall) = (self.now, self.wall);
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        if now < leader.next_check {
            return;
        }
        leader.next_check = now + CHECK_EVERY;
        let overdue = leader.orders.values().filter(|open| now > open.expected + OVERDUE_AFTER);
        let overdue = overdue.filter_map(|open| group.state.life(open.life));
        leader.zones.look(overdue.map(|life| &life.info.zone), now);
        self.expire_orders();
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let mut commands = Vec::new();
        for id in &leader.scheduled {
            let Some(job) = group.state.job(*id) else { continue };
            let schedule = job.request.as_ref().and_then(|request| request.schedule);
            let Some(schedule) = schedule.filter(|s| wall >= s.first) else { continue };
            let since = (wall - schedule.first).as_millis();
            let due = since / schedule.interval.as_millis().max(1) + 1;
            let due = u32::try_from(due).unwrap_or(u32::MAX).min(schedule.times);
            if due > job.opened {
                commands.push(Command::OpenOccurrences { id: *id, upto: due });
            }
        }
        for life in group.state.lives().filter(|life| life.runs.is_empty()) {
            let heard = leader.beats.get(&life.id).copied().unwrap_or(now);
            let answers = leader.sessions.get(&life.id).is_some_and(|s| s.is_usable(now));
            if now >= heard + GONE_AFTER && !answers {
                log::warn!(worker = life.info.worker.as_str(), life = life.id;
                    "a worker is gone: no heartbeat and no answer");
                commands.push(Command::LifeOver { life: life.id });
            }
        }
        if now >= leader.next_trim {
            leader.next_trim = now + TRIM_EVERY;
            commands.push(Command::TrimJobs { before: now.saturating_sub(self.cfg.keep_ended) });
        }
        for command in commands {
            self.propose(&command, Then::Nothing);
        }
    }

    /// Writes into the log what sessions found out.
    fn collect_facts(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let mut facts: Vec<(LifeId, SessionEvent)> = Vec::new();
        for session in leader.sessions.values_mut() {
            let life = session.life();
            facts.extend(session.take_events().into_iter().map(|fact| (life, fact)));
        }
        for (life, fact) in facts {
            let command = match fact {
                SessionEvent::Ended(ends) => Command::Ended { life, ends, at: now },
                SessionEvent::Lost(runs) => {
                    log::warn!(life = life, runs = runs.len(); "runs are given up without an end");
                    Command::Lost { life, runs }
                }
                SessionEvent::LifeOver => {
                    log::warn!(life = life; "another life has the worker's place");
                    self.keep_unsure_back(life);
                    Command::LifeOver { life }
                }
                SessionEvent::TicketRefused(task) => {
                    log::info!(life = life, job = task.step.job; "a ticket was refused");
                    if let Some(leader) = self.leader_mut() {
                        leader.advice.forget_ticket(task.step, life);
                    }
                    continue;
                }
                SessionEvent::Deposed => {
                    log::warn!(life = life; "a worker obeys a later leader");
                    continue;
                }
            };
            if !self.propose(&command, Then::Nothing) {
                let session = self.leader_mut().and_then(|l| l.sessions.get_mut(&life));
                if let Some(session) = session {
                    session.resend_reports(now);
                }
            }
        }
    }

    fn give_orders(&mut self) {
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
        let carriers = self.carriers();
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        for (life, id, order) in orders {
            let envelope = order_envelope(&group.state, leader, life, order);
            let Some(envelope) = envelope.map(Box::new) else { continue };
            leader.last_order += 1;
            let number = leader.last_order;
            let expected = now + envelope.timeout.saturating_sub(ANSWER_WITHIN);
            let until = now + envelope.timeout + CARRIED_WITHIN;
            let open = OpenOrder { life, order: id, sent: now, expected, until };
            leader.orders.insert(number, open);
            let zone = group.state.life(life).map(|life| &life.info.zone);
            match carrier(&carriers, zone, life) {
                None => {
                    let own = self.last_carried + 1;
                    self.last_carried = own;
                    self.carried.insert(own, (self.cfg.host.clone(), number));
                    self.out.push(Output::Order(own, envelope));
                }
                Some(host) => {
                    let message = PeerMessage::Order { number, envelope };
                    self.out.push(Output::Send(host.clone(), message));
                }
            }
        }
    }

    /// Other members of the group, with their zones, which send the leader's orders where the
    /// workers are many.
    fn carriers(&self) -> Vec<(HostId, ZoneName)> {
        let Some(group) = &self.group else { return Vec::new() };
        if group.state.lives().count() <= DIRECT_WORKERS {
            return Vec::new();
        }
        let members = group.raft.config().members();
        let here = self.known.heard_within(self.now, CARRIER_HEARD).into_iter();
        let here = here.filter(|(host, _)| members.iter().any(|m| m.host == **host));
        here.map(|(host, zone)| (host.clone(), zone.clone())).collect()
    }

    /// The leader asks this host to send an order.
    pub(crate) fn on_order(&mut self, from: HostId, number: u64, envelope: Box<OrderEnvelope>) {
        let own = self.last_carried + 1;
        self.last_carried = own;
        self.carried.insert(own, (from, number));
        self.out.push(Output::Order(own, envelope));
    }

    /// The answer to an order that this host sent.
    pub(crate) fn on_ordered(&mut self, own: u64, answer: OrderAnswer) {
        let Some((host, number)) = self.carried.remove(&own) else { return };
        if host == self.cfg.host {
            self.on_order_answered(number, answer);
        } else {
            self.send(&host, PeerMessage::OrderAnswered { number, answer });
        }
    }

    /// Orders whose carrier has not come back to this host.
    fn expire_orders(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader_mut() else { return };
        let late = leader.orders.iter().filter(|(_, open)| now >= open.until);
        let late: Vec<u64> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.on_order_answered(number, OrderAnswer::Silence);
        }
    }

    pub(crate) fn on_order_answered(&mut self, number: u64, answer: OrderAnswer) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let Some(open) = leader.orders.remove(&number) else { return };
        let OpenOrder { life, order, sent, .. } = open;
        if answer != OrderAnswer::Silence {
            if let Some(life) = group.state.life(life) {
                leader.zones.hear(&life.info.zone, now);
            }
        }
        if let Some(session) = leader.sessions.get_mut(&life) {
            let before = session.is_usable(now);
            session.answered(order, sent, answer, now);
            if !before && session.is_usable(now) {
                leader.plan_due = true;
            }
        }
    }

    /// Another host asks this one to make a call.
    pub(crate) fn on_advise(
        &mut self,
        from: HostId,
        number: u64,
        step: StepRef,
        workers: Vec<WorkerId>,
        timeout: Duration,
    ) {
        self.last_advice += 1;
        let own = self.last_advice;
        self.advice_for.insert(own, (from, number));
        self.out.push(Output::Advise { number: own, step, workers, timeout });
    }

    /// The advice service has answered this host.
    pub(crate) fn on_own_advice(&mut self, own: u64, good: Option<Vec<(WorkerId, String)>>) {
        let Some((host, number)) = self.advice_for.remove(&own) else { return };
        if host == self.cfg.host {
            self.on_advised(number, good);
        } else {
            self.send(&host, PeerMessage::Advised { number, tickets: good });
        }
    }

    pub(crate) fn on_advised(&mut self, number: u64, good: Option<Vec<(WorkerId, String)>>) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let Some(lives) = leader.asked.remove(&number) else { return };
        let state = &group.state;
        let good = good.map(|rows| {
            let name = |id: &LifeId| state.life(*id).map(|life| life.info.worker.as_str());
            let found = rows.into_iter().filter_map(|(worker, ticket)| {
                let life = lives.iter().find(|id| name(id) == Some(worker.as_str()))?;
                Some((*life, ticket))
            });
            found.collect()
        });
        if let Some(step) = leader.advice.answered(number, good, now) {
            leader.tries.remove(&step);
        }
        leader.plan_due = true;
    }

    pub(crate) fn ask_advice(&mut self, call: dispatch::AdviceCall) {
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let name = |id: &LifeId| group.state.life(*id).map(|life| life.info.worker.clone());
        let workers: Vec<WorkerId> = call.lives.iter().filter_map(name).collect();
        leader.asked.insert(call.number, call.lives);
        self.stats.advice_calls += 1;
        let (number, step, timeout) = (call.number, call.step, call.limit);
        if call.caller == self.cfg.host {
            self.on_advise(call.caller, number, step, workers, timeout);
        } else {
            let message = PeerMessage::Advise { number, step, workers, timeout };
            self.send(&call.caller, message);
        }
    }
}

/// The host that sends an order: one in the worker's zone, so that a zone that is cut off takes no
/// orders to others with it, else any.
fn carrier<'a>(
    carriers: &'a [(HostId, ZoneName)],
    zone: Option<&ZoneName>,
    life: LifeId,
) -> Option<&'a HostId> {
    let near = |(_, there): &&(HostId, ZoneName)| Some(there) == zone;
    let count = carriers.iter().filter(near).count();
    let turn = life as usize;
    let host = match count {
        0 => carriers.get(turn % carriers.len().max(1)),
        count => carriers.iter().filter(near).nth(turn % count),
    };
    host.map(|(host, _)| host)
}

fn order_envelope(
    state: &jobs::State,
    leader: &crate::leader::Leader,
    life: LifeId,
    order: Order,
) -> Option<OrderEnvelope> {
    let info = &state.life(life)?.info;
    let mut timeout = ANSWER_WITHIN;
    let (mut spec, mut saved, mut ticket) = (None, None, None);
    match &order {
        Order::Hold { wait, .. } => timeout += *wait,
        Order::Stop { .. } => {}
        Order::Start { task, .. } => {
            let job = state.job(task.step.job)?;
            spec = job.request.as_ref().map(|request| request.spec.clone());
            let found = job.step(task.step)?.tasks.get(task.index as usize)?;
            saved = found.saved.clone();
            let advice = leader.advice.step(task.step);
            ticket = advice.and_then(|advice| advice.ticket(life)).map(str::to_string);
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
