//! Waiting requests of one service, interactive and batch apart.

use crate::request::Class;
use types::{ExchangeId, Timestamp};

/// Requests by deadline; where all have the same timeout, that is by arrival.
#[derive(Clone, Debug, Default)]
struct Lane(Vec<(Timestamp, ExchangeId)>);

/// The two queues of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    interactive: Lane,
    batch: Lane,
}

impl Lanes {
    fn lane(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }

    pub(crate) fn len(&self, class: Class) -> usize {
        match class {
            Class::Interactive => self.interactive.0.len(),
            Class::Batch => self.batch.0.len(),
        }
    }

    pub(crate) fn push(&mut self, class: Class, deadline: Timestamp, exchange: ExchangeId) {
        let lane = self.lane(class);
        // The next to go stands last, where it is cheap to take.
        let key = (deadline, exchange);
        let i = lane.0.partition_point(|other| *other > key);
        lane.0.insert(i, key);
    }

    pub(crate) fn peek(&self, class: Class) -> Option<ExchangeId> {
        let lane = if class == Class::Batch { &self.batch } else { &self.interactive };
        lane.0.last().map(|(_, exchange)| *exchange)
    }

    pub(crate) fn pop(&mut self, class: Class) {
        self.lane(class).0.pop();
    }

    pub(crate) fn remove(&mut self, class: Class, deadline: Timestamp, exchange: ExchangeId) {
        self.lane(class).0.retain(|entry| *entry != (deadline, exchange));
    }

    /// Takes a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<ExchangeId> {
        for lane in [&mut self.interactive, &mut self.batch] {
            if lane.0.last().is_some_and(|(deadline, _)| *deadline <= now) {
                return lane.0.pop().map(|(_, exchange)| exchange);
            }
        }
        None
    }

    /// The next deadline.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let heads = [self.interactive.0.last(), self.batch.0.last()];
        heads.into_iter().flatten().map(|(deadline, _)| *deadline).min()
    }
}
