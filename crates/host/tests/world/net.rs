//! A simulated network that delays, loses, duplicates and reorders messages, and cuts links.

use host::{Answer, Input, PeerMessage};
use std::time::Duration;
use types::{Refusal, Timestamp};

/// An event scheduled for later.
pub(crate) enum Event {
    Message { from: usize, to: usize, message: Box<PeerMessage> },
    WorkerAnswer { worker: usize, number: u64, answer: Result<Answer, Refusal> },
    Attempt { host: usize, restarts: u64, upstream: String, input: Box<Input> },
}

#[derive(Default)]
pub(crate) struct Net {
    /// Sorted by time in descending order, so that the next event is the last.
    events: Vec<(Timestamp, u64, Event)>,
    count: u64,
    cuts: Vec<(usize, usize)>,
}

impl Net {
    pub(crate) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.push((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn schedule(&mut self, at: Timestamp, event: Event) {
        self.count += 1;
        let key = (at, self.count);
        let i = self.events.partition_point(|(at, n, _)| (*at, *n) > key);
        self.events.insert(i, (key.0, key.1, event));
    }

    pub(crate) fn next_due(&mut self, now: Timestamp) -> Option<Event> {
        self.events.last().filter(|(at, ..)| *at <= now)?;
        self.events.pop().map(|(_, _, event)| event)
    }

    /// A random network delay: mostly 1 to 15 ms, sometimes up to 1.5 s.
    pub(crate) fn delay(&self, rng: &mut fastrand::Rng) -> Duration {
        let millis = if rng.u8(..) < 4 { rng.u64(50..1_500) } else { rng.u64(1..15) };
        Duration::from_millis(millis)
    }

    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        from: usize,
        to: usize,
        message: PeerMessage,
        rng: &mut fastrand::Rng,
    ) {
        let is_cut = self.cuts.contains(&(from, to));
        if is_cut || rng.u8(..) < 2 {
            return;
        }
        let copies = if rng.u8(..) < 2 { 2 } else { 1 };
        for _ in 0..copies {
            let at = now + self.delay(rng);
            let message = Box::new(message.clone());
            self.schedule(at, Event::Message { from, to, message });
        }
    }
}
