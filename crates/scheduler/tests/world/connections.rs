//! Connections from hosts to workers, and which life of a worker each leads to.
//!
//! A process that starts anew has none of the connections of the one before. So a start that is sent
//! over a connection to a life never reaches the next one, however late it arrives. A host of an
//! earlier version sends it over any connection, also over one that leads to the next life.

use super::crashes::index_of;
use super::{Event, World};
use dispatch::{Order, OrderAnswer, RefusalReason};
use scheduler::OrderEnvelope;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Debug, Default)]
pub(crate) struct Connections {
    /// Hosts of an earlier version.
    pub(crate) earlier_hosts: BTreeSet<usize>,
    /// Hosts with such a connection: host, its process, worker, and when the life began.
    known: BTreeSet<(usize, u64, usize, u64)>,
}

fn key(i: usize, process: u64, envelope: &OrderEnvelope) -> (usize, u64, usize, u64) {
    (i, process, index_of(&envelope.worker), envelope.born)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl World {
    /// Whether the order goes over a connection to its life or not at all.
    pub(super) fn is_bound(&self, i: usize, envelope: &OrderEnvelope) -> bool {
        let is_start = matches!(envelope.order, Order::Start { .. });
        is_start && !self.connections.earlier_hosts.contains(&i)
    }

    /// Notes that the life that the order was for has listed its runs.
    pub(super) fn note_connection(&mut self, i: usize, process: u64, envelope: &OrderEnvelope) {
        self.connections.known.insert(key(i, process, envelope));
    }

    /// Sends a start over a connection to its life, or tries a new connection first.
    pub(super) fn send_bound(
        &mut self,
        i: usize,
        process: u64,
        number: u64,
        envelope: Box<OrderEnvelope>,
    ) {
        let delay = self.rng.u64(1..3);
        let w = index_of(&envelope.worker);
        let silent = self.cut_workers.contains(&w) || self.crashes.dark;
        // A connection that has ended is noticed before it is used, unless nothing is heard any more.
        let ended = !silent && !self.has_life(&envelope);
        if ended || !self.connections.known.contains(&key(i, process, &envelope)) {
            self.after(delay, Event::Trial(i, process, number, envelope));
            return;
        }
        if self.rng.u32(..100) >= self.late_orders {
            self.after(delay, Event::OrderArrival(i, process, number, envelope, false));
            return;
        }
        if self.has_life(&envelope) {
            let delay = self.rng.u64(2_000..9_000);
            self.after(delay, Event::OrderArrival(i, process, number, envelope.clone(), true));
        }
        self.lose_bound(i, process, number, &envelope, millis(envelope.timeout));
    }

    /// Whether the life that the order is for is up and can be reached.
    pub(super) fn has_life(&self, envelope: &OrderEnvelope) -> bool {
        let w = index_of(&envelope.worker);
        let worker = &self.workers[w];
        worker.up && !self.cut_workers.contains(&w) && worker.born == envelope.born
    }

    /// Leaves a start without an answer, which costs its connection.
    pub(super) fn lose_bound(
        &mut self,
        i: usize,
        process: u64,
        number: u64,
        envelope: &OrderEnvelope,
        noticed_after: u64,
    ) {
        self.connections.known.remove(&key(i, process, envelope));
        let connected_for = OrderAnswer::ONLY_THIS_LIFE;
        let answer = OrderAnswer::Unanswered { connected_for };
        self.after(noticed_after, Event::OrderAnswered(i, process, number, answer));
    }

    /// Delivers an order that lists the runs and grants nothing, over a new connection. If the life
    /// that a start is for answers, the start follows.
    pub(super) fn deliver_trial(
        &mut self,
        i: usize,
        process: u64,
        number: u64,
        envelope: Box<OrderEnvelope>,
    ) {
        let w = index_of(&envelope.worker);
        let (up, cut) = (self.workers[w].up, self.cut_workers.contains(&w));
        let lost = self.rng.u32(..100) < self.late_orders;
        let order = Order::Hold { lease_until: None, last_seen: 0, wait: Duration::ZERO };
        let trial = OrderEnvelope { order, ..(*envelope).clone() };
        let (delay, answer) = if !up && !cut && !self.crashes.dark {
            (1, OrderAnswer::Absent)
        } else if !up || cut || lost {
            (millis(envelope.timeout), OrderAnswer::NotSent)
        } else if self.workers[w].name != envelope.worker {
            (1, OrderAnswer::Refused { why: RefusalReason::OtherWorker, clock: None })
        } else {
            match self.handle_order(w, &trial, false) {
                OrderAnswer::Done { .. } if self.workers[w].born == envelope.born => {
                    self.note_connection(i, process, &envelope);
                    self.send_bound(i, process, number, envelope);
                    return;
                }
                OrderAnswer::Done { .. } => (1, OrderAnswer::NotSent),
                refused => (1, refused),
            }
        };
        self.after(delay, Event::OrderAnswered(i, process, number, answer));
    }
}
