//! What a deployment is asked for, and what it has.

use jobs::{AdvicePolicy, QueuePolicy, ResourceVector};
use std::time::Duration;

/// A quantity that varies: log-normal with this mean, cut at the most.
#[derive(Clone, Copy, Debug)]
pub struct LogNormal {
    /// The mean before cutting.
    pub mean: f64,
    /// Standard deviation in units of the mean.
    pub cv: f64,
    /// Largest value.
    pub max: f64,
}

impl LogNormal {
    /// A quantity with this mean, spread (in units of the mean) and largest value.
    pub const fn new(mean: f64, cv: f64, max: f64) -> LogNormal {
        LogNormal { mean, cv, max }
    }

    /// One value.
    ///
    /// ```
    /// let mut rng = fastrand::Rng::with_seed(1);
    /// assert_eq!(emulator::LogNormal::new(2.0, 0.0, 9.0).sample(&mut rng), 2.0);
    /// ```
    pub fn sample(&self, rng: &mut fastrand::Rng) -> f64 {
        let variance = (1.0 + self.cv * self.cv).ln();
        let normal =
            (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
        let value = (self.mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp();
        value.min(self.max)
    }
}

/// One queue: what its callers hand in.
#[derive(Clone, Debug)]
pub struct QueueProfile {
    /// Its name.
    pub name: &'static str,
    /// Jobs a second.
    pub rate: f64,
    /// Chance that a job has a second step.
    pub second_step_probability: f64,
    /// Tasks of a step.
    pub width: LogNormal,
    /// Work of a task, in milliseconds.
    pub work_ms: LogNormal,
    /// How much the tasks of a step differ, in units of their mean.
    pub work_jitter: f64,
    /// How far estimates are off, in units of the truth.
    pub estimate_error: f64,
    /// Thousandths of a core that a task takes.
    pub cpu: LogNormal,
    /// Mebibytes that a task takes.
    pub memory: LogNormal,
    /// Share of the steps that are gangs.
    pub gang_probability: f64,
    /// Share of the steps whose tasks save their progress.
    pub checkpoint_probability: f64,
    /// Share of the jobs of which each task fails.
    pub poison_probability: f64,
    /// What a job of mean size is worth on time, and late.
    pub worth: (f64, f64),
    /// Share of the workers that may run a step.
    pub eligible_share: f64,
    /// How the queue is configured.
    pub policy: QueuePolicy,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its queues.
    pub queues: Vec<QueueProfile>,
    /// How many workers.
    pub workers: usize,
    /// What each can hold.
    pub capacity: ResourceVector,
    /// How long work takes on the workers, by turns, against its nominal duration.
    pub slowdowns: Vec<f64>,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Hosts that can call the advice service.
    pub advice_callers: usize,
    /// How long a worker takes to stop a run.
    pub stop_time: Duration,
    /// How long jobs come.
    pub arrival_period: Duration,
    /// How long after that the day goes on.
    pub cooldown: Duration,
    /// How long the members of a gang wait for each other.
    pub gang_timeout: Duration,
    /// From a change in the log to its effect: a sync here and an answer from a majority.
    pub commit_latency: Duration,
    /// What an input or an output takes of the leader's processor.
    pub event_cost: Duration,
}

const SERVICE: &str = "crunch";

fn policy(
    (name, priority): (&str, u32),
    (stretch, slack_ms): (f64, u64),
    (call_us, worker_us): (u64, u64),
    attempts: u32,
) -> QueuePolicy {
    QueuePolicy {
        name: name.to_string(),
        service: SERVICE.into(),
        priority,
        attempts,
        stretch,
        slack: Duration::from_millis(slack_ms),
        request_timeout: Duration::from_secs(3),
        advice: Some(AdvicePolicy {
            per_call: Duration::from_micros(call_us),
            per_worker: Duration::from_micros(worker_us),
            ticket_life: Duration::from_millis(1_500),
        }),
    }
}

impl Scenario {
    /// A lead desk of 350 workers: wide matching runs, nightly syncs, short quote requests.
    pub fn lead_desk() -> Scenario {
        let matching = QueueProfile {
            name: "matching",
            rate: 5.96,
            second_step_probability: 0.2,
            width: LogNormal::new(20.0, 0.8, 120.0),
            work_ms: LogNormal::new(4_000.0, 0.5, 10_000.0),
            work_jitter: 0.3,
            estimate_error: 0.2,
            cpu: LogNormal::new(9_000.0, 0.4, 15_000.0),
            memory: LogNormal::new(18_000.0, 0.5, 37_000.0),
            gang_probability: 1.0,
            checkpoint_probability: 0.5,
            poison_probability: 0.03,
            worth: (10.3, 2.06),
            eligible_share: 0.25,
            policy: policy(("matching", 1), (2.2, 1_000), (442_000, 6_370), 4),
        };
        let sync = QueueProfile {
            name: "sync",
            rate: 7.89,
            second_step_probability: 0.5,
            width: LogNormal::new(25.0, 0.8, 150.0),
            work_ms: LogNormal::new(3_400.0, 0.5, 8_400.0),
            estimate_error: 0.5,
            cpu: LogNormal::new(3_500.0, 0.45, 10_000.0),
            memory: LogNormal::new(10_000.0, 0.6, 30_000.0),
            gang_probability: 0.0,
            checkpoint_probability: 0.8,
            worth: (4.86, 0.972),
            eligible_share: 0.45,
            policy: policy(("sync", 2), (4.0, 3_000), (156_000, 2_340), 4),
            ..matching.clone()
        };
        let quote = QueueProfile {
            name: "quote",
            rate: 138.0,
            second_step_probability: 0.0,
            width: LogNormal::new(3.2, 0.8, 19.0),
            work_ms: LogNormal::new(640.0, 0.5, 1_600.0),
            work_jitter: 0.15,
            estimate_error: 0.2,
            cpu: LogNormal::new(5_000.0, 0.45, 15_000.0),
            memory: LogNormal::new(14_000.0, 0.6, 43_000.0),
            gang_probability: 0.3,
            checkpoint_probability: 0.0,
            poison_probability: 0.0,
            worth: (0.39, 0.078),
            eligible_share: 0.7,
            policy: policy(("quote", 0), (1.5, 300), (9_360, 130), 3),
        };
        Scenario {
            queues: vec![matching, sync, quote],
            workers: 350,
            capacity: ResourceVector { cpu: 32_000, memory: 131_072, gpu: 0 },
            slowdowns: vec![1.0, 1.0, 1.3],
            workers_per_rack: 12,
            advice_callers: 47,
            stop_time: Duration::from_millis(200),
            arrival_period: Duration::from_secs(34),
            cooldown: Duration::from_secs(14),
            gang_timeout: Duration::from_secs(4),
            commit_latency: Duration::from_millis(8),
            event_cost: Duration::ZERO,
        }
    }

    /// A certificate cluster of 350 workers: wide computations, reviews, short checks; runs take
    /// longer to stop.
    pub fn certificate_cluster() -> Scenario {
        let leads = Scenario::lead_desk();
        let [matching, sync, quote] = &leads.queues[..] else { unreachable!("three queues") };
        let full = QueueProfile {
            name: "full",
            rate: 4.76,
            work_ms: LogNormal::new(5_000.0, 0.5, 12_500.0),
            cpu: LogNormal::new(18_000.0, 0.4, 30_000.0),
            worth: (8.99, 1.8),
            policy: policy(("full", 1), (2.2, 1_000), (552_000, 7_960), 4),
            ..matching.clone()
        };
        let review = QueueProfile {
            name: "review",
            rate: 12.3,
            work_ms: LogNormal::new(2_200.0, 0.5, 5_500.0),
            cpu: LogNormal::new(6_900.0, 0.45, 20_000.0),
            worth: (2.17, 0.434),
            policy: policy(("review", 2), (4.0, 3_000), (101_000, 1_500), 4),
            ..sync.clone()
        };
        let check = QueueProfile {
            name: "check",
            rate: 88.3,
            work_ms: LogNormal::new(1_000.0, 0.5, 2_500.0),
            cpu: LogNormal::new(9_900.0, 0.45, 30_000.0),
            worth: (0.424, 0.0848),
            policy: policy(("check", 0), (1.5, 250), (14_600, 200), 3),
            ..quote.clone()
        };
        Scenario {
            queues: vec![full, review, check],
            capacity: ResourceVector { cpu: 64_000, memory: 131_072, gpu: 0 },
            workers_per_rack: 20,
            advice_callers: 40,
            stop_time: Duration::from_millis(900),
            ..leads
        }
    }

    /// The same deployment with this many times fewer workers and jobs; each job stays as wide.
    pub fn scaled_down(mut self, times: f64) -> Scenario {
        self.workers = ((self.workers as f64 / times).ceil() as usize).max(1);
        self.advice_callers = ((self.advice_callers as f64 / times).ceil() as usize).max(2);
        for queue in &mut self.queues {
            queue.rate /= times;
        }
        self
    }
}
