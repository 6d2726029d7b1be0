//! Relative speed of workers, learned from actual task durations and their estimates.

use jobs::{LifeId, QueueId};
use std::time::Duration;
use types::SortedMap;

/// Minimum weight of the newest task in a moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Number of tasks after which an average counts in full.
const FULL_WEIGHT_COUNT: u32 = 4;
/// Maximum ratio of actual to estimated duration that one task counts with; a larger ratio means
/// that the estimate was wrong.
const MAX_RATIO: f64 = 8.0;

/// A moving average and the number of values in it.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.count));
        self.value += weight * (value - self.value);
    }
}

/// Learned speeds of workers, and learned corrections of estimates by queue.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    queues: SortedMap<QueueId, Mean>,
    workers: SortedMap<LifeId, Mean>,
}

impl Speeds {
    /// Learns from a completed task.
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
        let ratio = (took.as_secs_f64() / estimate.as_secs_f64()).min(MAX_RATIO);
        let fresh = || Mean { value: 1.0, count: 0 };
        let queue = self.queues.get_or_insert_with(queue, fresh);
        queue.add(ratio);
        let relative_to_queue = ratio / queue.value.max(0.05);
        self.workers.get_or_insert_with(life, fresh).add(relative_to_queue);
    }

    /// Duration of work on a worker, in percent of its duration on an average worker (10 to 1000).
    pub fn slowness(&self, life: LifeId) -> u32 {
        let Some(mean) = self.workers.get(&life) else { return 100 };
        let weight = f64::from(mean.count.min(FULL_WEIGHT_COUNT)) / f64::from(FULL_WEIGHT_COUNT);
        (100.0 * (1.0 + weight * (mean.value - 1.0))).clamp(10.0, 1_000.0) as u32
    }

    /// Average ratio of actual to estimated duration of a queue's tasks; 1 until enough are known.
    pub fn correction(&self, queue: QueueId) -> f64 {
        let mean = self.queues.get(&queue).filter(|mean| mean.count >= FULL_WEIGHT_COUNT);
        mean.map_or(1.0, |mean| mean.value)
    }

    /// Forgets a life that has ended.
    pub fn forget(&mut self, life: LifeId) {
        self.workers.remove(&life);
    }
}
