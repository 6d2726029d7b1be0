//! The replicated part: what is known about run times and speeds.

use crate::buckets::{bucket, class_of, middle, BUCKETS};
use crate::evidence::{Evidence, RunTime, SpeedChange};
use crate::forecast::Forecast;
use crate::histogram::Histogram;
use crate::QueueIndex;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use types::{SortedMap, WorkerId};

/// Finished runs of a queue after which it is decided whether its declared times are off.
const MIN_RUNS: u32 = 16;
/// Declared times are off if at least this percentage of the runs took less than about two thirds or
/// more than about one and a half times as long.
const OFF_PERCENT: u32 = 35;
/// Half the width of the range of right declared times, in buckets: a factor of about 1.5.
const RIGHT_WITHIN_BUCKETS: u8 = 2;
/// Finished runs of a class of declared times that count as much as all of its queue's.
const PRIOR_RUNS: f64 = 8.0;
/// Maximum number of queues and classes with histograms; further ones use their queue's.
const MAX_HISTOGRAMS: usize = 1_024;
/// Maximum number of workers whose speed is kept.
const MAX_WORKERS: usize = 20_000;
/// Known speeds are uneven if the slowest tenth of the workers take at least this percentage of
/// the time that the fastest tenth takes.
const UNEVEN_PERCENT: u32 = 180;
/// Runs from which a worker's speed counts when the spread of speeds is measured.
const FULL_RUNS: u8 = 3;
/// Number of workers of known speed from which they can be called uneven.
const MIN_WORKERS: usize = 3;
/// Bucket of equal declared and actual times in histograms of their ratio.
const EQUAL: u8 = BUCKETS / 2;

/// Key of the histogram of a queue's ratios of actual to declared times, among the classes.
const RATIO: u8 = u8::MAX;
/// Key of the histogram of all of a queue's run times, among the classes.
const ALL: u8 = u8::MAX - 1;

/// Speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Speed {
    slowness: u16,
    runs: u8,
}

/// What is known about the run times of queues and the speeds of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Learned {
    times: SortedMap<(QueueIndex, u8), Histogram>,
    speeds: SortedMap<WorkerId, Speed>,
    /// Slowness of the slowest tenth of the workers, in percent of the fastest tenth's.
    spread: u32,
    /// Slowness of the middle one of these workers, in percent; 0 while too few are known.
    middle: u16,
}

impl Learned {
    /// Takes evidence from the log.
    ///
    /// ```
    /// use runtimes::{Learned, Measured, Observer};
    /// use std::time::Duration;
    /// let (mut learned, mut observer) = (Learned::default(), Observer::default());
    /// let declared = Duration::from_millis(100);
    /// for i in 0..200 {
    ///     let run = Measured::new(0, declared, Duration::from_secs(1), "w1");
    ///     observer.record(i, run, &mut learned);
    /// }
    /// let evidence = observer.take_evidence();
    /// assert!(!evidence.is_empty());
    /// assert!(learned.forecast(0, declared).median > Duration::from_millis(800));
    /// ```
    pub fn apply(&mut self, evidence: &Evidence) {
        for run in &evidence.times {
            self.add_run_time(run);
        }
        for key in evidence.times.iter().flat_map(keys) {
            self.times.get_mut(&key).into_iter().for_each(Histogram::fade);
        }
        for change in &evidence.speeds {
            self.set_speed(change);
        }
        if !evidence.speeds.is_empty() {
            self.measure_spread();
        }
    }

    fn add_run_time(&mut self, run: &RunTime) {
        let RunTime { declared, took, censored, runs, .. } = *run;
        let ratio = (took + EQUAL).saturating_sub(declared).min(BUCKETS - 1);
        for (key, bucket) in keys(run).into_iter().zip([took, took, ratio]) {
            let full = self.times.len() >= MAX_HISTOGRAMS;
            if full && !self.times.contains_key(&key) {
                continue;
            }
            let histogram = self.times.get_or_insert_with(key, Histogram::default);
            histogram.record(bucket.min(BUCKETS - 1), censored, u16::from(runs));
        }
    }

    fn set_speed(&mut self, change: &SpeedChange) {
        let speed = Speed { slowness: change.slowness, runs: change.runs };
        if change.runs == 0 {
            self.speeds.remove(&change.worker);
        } else if self.speeds.len() < MAX_WORKERS || self.speeds.contains_key(&change.worker) {
            self.speeds.insert(change.worker.clone(), speed);
        }
    }

    fn measure_spread(&mut self) {
        let known = self.speeds.values().filter(|speed| speed.runs >= FULL_RUNS);
        let mut known: Vec<u16> = known.map(|speed| speed.slowness).collect();
        (self.spread, self.middle) = (100, 0);
        if known.len() < MIN_WORKERS {
            return;
        }
        known.sort_unstable();
        let tenth = known.len() / 10;
        let (fast, slow) = (known[tenth], known[known.len() - 1 - tenth]);
        self.spread = u32::from(slow) * 100 / u32::from(fast.max(1));
        self.middle = known[known.len() / 2];
    }

    /// Slowness of the middle worker, in percent.
    pub(crate) fn middle(&self) -> u16 {
        if self.middle == 0 {
            100
        } else {
            self.middle
        }
    }

    /// Whether machines differ so much in speed that placement should go by it.
    pub fn is_uneven(&self) -> bool {
        self.spread >= UNEVEN_PERCENT
    }

    /// Duration of work on a worker, in percent of its duration on a worker of speed 1, and the
    /// number of runs behind it. 100 for an unknown one.
    pub fn slowness(&self, worker: &str) -> (u32, u8) {
        let Some(speed) = self.speeds.get(worker) else { return (100, 0) };
        (u32::from(speed.slowness), speed.runs)
    }

    /// Whether declared times of a queue are known to be off by more than some tens of percent.
    pub fn is_off(&self, queue: QueueIndex) -> bool {
        let Some(ratios) = self.times.get(&(queue, RATIO)) else { return false };
        let finished = ratios.finished();
        let off = ratios.finished_where(|ratio| ratio.abs_diff(EQUAL) > RIGHT_WITHIN_BUCKETS);
        finished >= MIN_RUNS && off * 100 >= finished * OFF_PERCENT
    }

    /// The forecast for a run of a queue. It is the declared time unless those of the queue are off.
    /// Then it is what the runs of the queue took that were declared alike or, while these are few,
    /// all of its runs.
    pub fn forecast(&self, queue: QueueIndex, declared: Duration) -> Forecast {
        if declared.is_zero() || !self.is_off(queue) {
            return Forecast::declared(declared);
        }
        let all = self.times.get(&(queue, ALL)).and_then(summary);
        let coarse = all.unwrap_or(Forecast::declared(declared));
        let alike = self.times.get(&(queue, class_of(bucket(declared))));
        match alike.and_then(|alike| Some((alike.finished(), summary(alike)?))) {
            Some((runs, fine)) => {
                let runs = f64::from(runs);
                coarse.towards(fine, runs / (runs + PRIOR_RUNS))
            }
            None => coarse,
        }
    }

    /// The part of the evidence that a run gives by itself.
    pub(crate) fn run_time(
        queue: QueueIndex,
        declared: Duration,
        took: Duration,
        censored: bool,
    ) -> RunTime {
        let (declared, took) = (bucket(declared), bucket(took));
        RunTime { queue, declared, took, censored, runs: 1 }
    }

    /// Number of histograms and of workers that are kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.times.len(), self.speeds.len())
    }
}

/// Histograms that a run counts in: of its class, of its queue, and of its queue's ratios.
fn keys(run: &RunTime) -> [(QueueIndex, u8); 3] {
    [class_of(run.declared), ALL, RATIO].map(|key| (run.queue, key))
}

/// The forecast by a histogram; `None` if it is empty.
fn summary(histogram: &Histogram) -> Option<Forecast> {
    let shares = histogram.shares();
    let mean = shares.iter().map(|(bucket, share)| middle(*bucket).mul_f64(*share)).sum();
    let median = middle(histogram.quantile(0.5)?);
    let high = middle(histogram.quantile(0.9)?);
    Some(Forecast { mean, median, high, learned: true })
}
