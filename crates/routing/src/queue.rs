//! Queues of waiting requests, one per class.

use crate::request::Class;
use types::{ExchangeId, Timestamp};

/// Waiting requests of one class, sorted by deadline, latest first. With equal timeouts they are
/// served in order of arrival.
#[derive(Clone, Debug, Default)]
struct ClassQueue(Vec<(Timestamp, ExchangeId)>);

/// The interactive and the batch queue of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    interactive: ClassQueue,
    batch: ClassQueue,
}

impl RequestQueue {
    fn of_class(&mut self, class: Class) -> &mut ClassQueue {
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
        let queue = self.of_class(class);
        // The earliest deadline is last, so that `pop` moves no other entry.
        let key = (deadline, exchange);
        let i = queue.0.partition_point(|other| *other > key);
        queue.0.insert(i, key);
    }

    /// The request with the earliest deadline.
    pub(crate) fn peek(&self, class: Class) -> Option<ExchangeId> {
        let queue = if class == Class::Batch { &self.batch } else { &self.interactive };
        queue.0.last().map(|(_, exchange)| *exchange)
    }

    pub(crate) fn pop(&mut self, class: Class) {
        self.of_class(class).0.pop();
    }

    pub(crate) fn remove(&mut self, class: Class, deadline: Timestamp, exchange: ExchangeId) {
        self.of_class(class).0.retain(|entry| *entry != (deadline, exchange));
    }

    /// Removes and returns one request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<ExchangeId> {
        for queue in [&mut self.interactive, &mut self.batch] {
            if queue.0.last().is_some_and(|(deadline, _)| *deadline <= now) {
                return queue.0.pop().map(|(_, exchange)| exchange);
            }
        }
        None
    }

    /// The earliest deadline in either queue.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let heads = [self.interactive.0.last(), self.batch.0.last()];
        heads.into_iter().flatten().map(|(deadline, _)| *deadline).min()
    }
}
