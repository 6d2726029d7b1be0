//! How fast each worker is, learned from how long tasks took against their estimates.

use jobs::{LifeId, QueueId};
use std::time::Duration;
use types::SortedMap;

/// Weight of the newest task in a running mean.
const NEWEST: f64 = 0.15;
/// Tasks after which a worker's mean counts in full.
const TRUSTED_AFTER: u32 = 4;
/// Largest ratio that one task counts for; beyond it the estimate was wrong.
const LARGEST_RATIO: f64 = 8.0;

/// A running mean and how many values went into it.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = NEWEST.max(1.0 / f64::from(self.count));
        self.value += weight * (value - self.value);
    }
}

/// What was learned about workers and about estimates.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    queues: SortedMap<QueueId, Mean>,
    workers: SortedMap<LifeId, Mean>,
}

impl Speeds {
    /// Learns from a task that was done.
    ///
    /// ```
    /// use placement::speeds::Speeds;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut speeds = Speeds::default();
    /// for _ in 0..20 {
    ///     speeds.learn(0, 1, ms(500), ms(500));
    ///     speeds.learn(0, 2, ms(500), ms(650));
    /// }
    /// assert!(speeds.slowness(2) > speeds.slowness(1) + 15);
    /// ```
    pub fn learn(&mut self, queue: QueueId, life: LifeId, estimate: Duration, took: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = (took.as_secs_f64() / estimate.as_secs_f64()).min(LARGEST_RATIO);
        let fresh = || Mean { value: 1.0, count: 0 };
        let queue = self.queues.get_or_insert_with(queue, fresh);
        queue.add(ratio);
        let against_queue = ratio / queue.value.max(0.05);
        self.workers.get_or_insert_with(life, fresh).add(against_queue);
    }

    /// How long work takes on a worker, in percent of what it takes elsewhere.
    pub fn slowness(&self, life: LifeId) -> u32 {
        let Some(mean) = self.workers.get(&life) else { return 100 };
        let trust = f64::from(mean.count.min(TRUSTED_AFTER)) / f64::from(TRUSTED_AFTER);
        (100.0 * (1.0 + trust * (mean.value - 1.0))).clamp(10.0, 1_000.0) as u32
    }

    /// How long the tasks of a queue take, as a multiple of their estimates.
    pub fn correction(&self, queue: QueueId) -> f64 {
        let mean = self.queues.get(&queue).filter(|mean| mean.count >= TRUSTED_AFTER);
        mean.map_or(1.0, |mean| mean.value)
    }

    /// Forgets a life.
    pub fn forget(&mut self, life: LifeId) {
        self.workers.remove(&life);
    }
}
