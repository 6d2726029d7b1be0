//! What a deployment is asked for, and what it has.

use jobs::{AdvicePolicy, QueuePolicy, ResourceVector};
use std::time::Duration;

/// A quantity that varies: log-normal with this mean, cut at the most.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// The mean before cutting.
    pub mean: f64,
    /// Standard deviation in units of the mean.
    pub spread: f64,
    /// Largest value.
    pub most: f64,
}

impl Spread {
    /// A quantity with this mean, spread (in units of the mean) and largest value.
    pub const fn new(mean: f64, spread: f64, most: f64) -> Spread {
        Spread { mean, spread, most }
    }

    /// One value.
    ///
    /// ```
    /// let mut rng = fastrand::Rng::with_seed(1);
    /// assert_eq!(emulator::Spread::new(2.0, 0.0, 9.0).draw(&mut rng), 2.0);
    /// ```
    pub fn draw(&self, rng: &mut fastrand::Rng) -> f64 {
        let variance = (1.0 + self.spread * self.spread).ln();
        let normal =
            (-2.0 * rng.f64().max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
        let value = (self.mean.ln() - variance / 2.0 + variance.sqrt() * normal).exp();
        value.min(self.most)
    }
}

/// One queue: what its callers hand in.
#[derive(Clone, Debug)]
pub struct QueueSheet {
    /// Its name.
    pub name: &'static str,
    /// Jobs a second.
    pub rate: f64,
    /// Chance that a job has a second step.
    pub second_step: f64,
    /// Tasks of a step.
    pub width: Spread,
    /// Work of a task, in milliseconds.
    pub work_ms: Spread,
    /// How much the tasks of a step differ, in units of their mean.
    pub uneven: f64,
    /// How far estimates are off, in units of the truth.
    pub estimate_off: f64,
    /// Thousandths of a core that a task takes.
    pub cpu: Spread,
    /// Mebibytes that a task takes.
    pub memory: Spread,
    /// Share of the steps that are gangs.
    pub gangs: f64,
    /// Share of the steps whose tasks save their progress.
    pub saves: f64,
    /// Share of the jobs of which each task fails.
    pub poison: f64,
    /// What a job of mean size is worth on time, and late.
    pub worth: (f64, f64),
    /// Share of the workers that may run a step.
    pub allowed: f64,
    /// How the queue is configured.
    pub policy: QueuePolicy,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// Its queues.
    pub queues: Vec<QueueSheet>,
    /// How many workers.
    pub workers: usize,
    /// What each can hold.
    pub capacity: ResourceVector,
    /// How long work takes on the workers, by turns, against its nominal duration.
    pub slowness: Vec<f64>,
    /// Workers in a rack.
    pub rack: usize,
    /// Hosts that can call the advice service.
    pub advice_callers: usize,
    /// How long a worker takes to stop a run.
    pub stop: Duration,
    /// How long jobs come.
    pub length: Duration,
    /// How long after that the day goes on.
    pub tail: Duration,
    /// How long the members of a gang wait for each other.
    pub gang_wait: Duration,
    /// From a change in the log to its effect: a sync here and an answer from a majority.
    pub commit: Duration,
    /// What an input or an output takes of the leader's processor.
    pub event: Duration,
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

impl Sheet {
    /// A lead desk of 350 workers: wide matching runs, nightly syncs, short quote requests.
    pub fn leads_grown() -> Sheet {
        let matching = QueueSheet {
            name: "matching",
            rate: 5.96,
            second_step: 0.2,
            width: Spread::new(20.0, 0.8, 120.0),
            work_ms: Spread::new(4_000.0, 0.5, 10_000.0),
            uneven: 0.3,
            estimate_off: 0.2,
            cpu: Spread::new(9_000.0, 0.4, 15_000.0),
            memory: Spread::new(18_000.0, 0.5, 37_000.0),
            gangs: 1.0,
            saves: 0.5,
            poison: 0.03,
            worth: (10.3, 2.06),
            allowed: 0.25,
            policy: policy(("matching", 1), (2.2, 1_000), (442_000, 6_370), 4),
        };
        let sync = QueueSheet {
            name: "sync",
            rate: 7.89,
            second_step: 0.5,
            width: Spread::new(25.0, 0.8, 150.0),
            work_ms: Spread::new(3_400.0, 0.5, 8_400.0),
            estimate_off: 0.5,
            cpu: Spread::new(3_500.0, 0.45, 10_000.0),
            memory: Spread::new(10_000.0, 0.6, 30_000.0),
            gangs: 0.0,
            saves: 0.8,
            worth: (4.86, 0.972),
            allowed: 0.45,
            policy: policy(("sync", 2), (4.0, 3_000), (156_000, 2_340), 4),
            ..matching.clone()
        };
        let quote = QueueSheet {
            name: "quote",
            rate: 138.0,
            second_step: 0.0,
            width: Spread::new(3.2, 0.8, 19.0),
            work_ms: Spread::new(640.0, 0.5, 1_600.0),
            uneven: 0.15,
            estimate_off: 0.2,
            cpu: Spread::new(5_000.0, 0.45, 15_000.0),
            memory: Spread::new(14_000.0, 0.6, 43_000.0),
            gangs: 0.3,
            saves: 0.0,
            poison: 0.0,
            worth: (0.39, 0.078),
            allowed: 0.7,
            policy: policy(("quote", 0), (1.5, 300), (9_360, 130), 3),
        };
        Sheet {
            queues: vec![matching, sync, quote],
            workers: 350,
            capacity: ResourceVector { cpu: 32_000, memory: 131_072, gpu: 0 },
            slowness: vec![1.0, 1.0, 1.3],
            rack: 12,
            advice_callers: 47,
            stop: Duration::from_millis(200),
            length: Duration::from_secs(34),
            tail: Duration::from_secs(14),
            gang_wait: Duration::from_secs(4),
            commit: Duration::from_millis(8),
            event: Duration::ZERO,
        }
    }

    /// A certificate cluster of 350 workers: wide computations, reviews, short checks; runs take
    /// longer to stop.
    pub fn certificates_grown() -> Sheet {
        let leads = Sheet::leads_grown();
        let [matching, sync, quote] = &leads.queues[..] else { unreachable!("three queues") };
        let full = QueueSheet {
            name: "full",
            rate: 4.76,
            work_ms: Spread::new(5_000.0, 0.5, 12_500.0),
            cpu: Spread::new(18_000.0, 0.4, 30_000.0),
            worth: (8.99, 1.8),
            policy: policy(("full", 1), (2.2, 1_000), (552_000, 7_960), 4),
            ..matching.clone()
        };
        let review = QueueSheet {
            name: "review",
            rate: 12.3,
            work_ms: Spread::new(2_200.0, 0.5, 5_500.0),
            cpu: Spread::new(6_900.0, 0.45, 20_000.0),
            worth: (2.17, 0.434),
            policy: policy(("review", 2), (4.0, 3_000), (101_000, 1_500), 4),
            ..sync.clone()
        };
        let check = QueueSheet {
            name: "check",
            rate: 88.3,
            work_ms: Spread::new(1_000.0, 0.5, 2_500.0),
            cpu: Spread::new(9_900.0, 0.45, 30_000.0),
            worth: (0.424, 0.0848),
            policy: policy(("check", 0), (1.5, 250), (14_600, 200), 3),
            ..quote.clone()
        };
        Sheet {
            queues: vec![full, review, check],
            capacity: ResourceVector { cpu: 64_000, memory: 131_072, gpu: 0 },
            rack: 20,
            advice_callers: 40,
            stop: Duration::from_millis(900),
            ..leads
        }
    }

    /// The same deployment with this many times fewer workers and jobs; each job stays as wide.
    pub fn shrunk(mut self, times: f64) -> Sheet {
        self.workers = ((self.workers as f64 / times).ceil() as usize).max(1);
        self.advice_callers = ((self.advice_callers as f64 / times).ceil() as usize).max(2);
        for queue in &mut self.queues {
            queue.rate /= times;
        }
        self
    }
}
