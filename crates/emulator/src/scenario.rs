//! Description of a simulated deployment and its load.

use jobs::{AdvicePolicy, QueuePolicy, ResourceVector};
use std::time::Duration;

/// A log-normal distribution whose values are capped.
#[derive(Clone, Copy, Debug)]
pub struct LogNormal {
    /// Mean before capping.
    pub mean: f64,
    /// Coefficient of variation before capping: the standard deviation divided by the mean.
    pub cv: f64,
    /// Largest value; larger ones are replaced by it.
    pub max: f64,
}

impl LogNormal {
    /// Creates a distribution from its mean, coefficient of variation and largest value.
    pub const fn new(mean: f64, cv: f64, max: f64) -> LogNormal {
        LogNormal { mean, cv, max }
    }

    /// Draws one value.
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

/// The load and the configuration of one queue.
#[derive(Clone, Debug)]
pub struct QueueProfile {
    /// Name of the queue.
    pub name: &'static str,
    /// Mean number of jobs that arrive per second, as a Poisson process.
    pub rate: f64,
    /// Probability that a job has a second step, which starts after the first.
    pub second_step_probability: f64,
    /// Number of tasks of a step.
    pub width: LogNormal,
    /// Mean work of the tasks of a step, in milliseconds.
    pub work_ms: LogNormal,
    /// Largest deviation of a task's work from the mean of its step, as a fraction of the mean.
    pub work_jitter: f64,
    /// Probability that a task takes much longer, and how many times as long.
    pub work_tail: (f64, f64),
    /// Largest deviation of an estimate from the mean work of the step, as a fraction of the mean.
    pub estimate_error: f64,
    /// CPU that a task needs, in thousandths of a core.
    pub cpu: LogNormal,
    /// Memory that a task needs, in MiB.
    pub memory: LogNormal,
    /// Probability that a step with several tasks is a gang.
    pub gang_probability: f64,
    /// Probability that the tasks of a step can resume from a checkpoint.
    pub checkpoint_probability: f64,
    /// Probability that a job is a poison job, whose tasks all fail.
    pub poison_probability: f64,
    /// Worth of a job of mean size, if it completes on time and if it completes late. The unit is
    /// arbitrary, but common to all queues.
    pub worth: (f64, f64),
    /// Share of the workers that the advice service allows to run a step.
    pub eligible_share: f64,
    /// Configuration of the queue.
    pub policy: QueuePolicy,
}

/// A client account and its part of the load.
#[derive(Clone, Debug)]
pub struct AccountProfile {
    /// Name of the account, which is also its key.
    pub name: String,
    /// Part of the jobs of each queue that the account usually sends.
    pub load_share: f64,
    /// Weight of the account: its share of the cell, and the jobs per second that it may send.
    pub weight: f64,
}

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Queues of the deployment.
    pub queues: Vec<QueueProfile>,
    /// Client accounts; empty if callers need none.
    pub accounts: Vec<AccountProfile>,
    /// Whether the scheduler knows the accounts. If not, it serves them as one.
    pub accounts_configured: bool,
    /// Number of workers.
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: ResourceVector,
    /// Factors by which work takes longer than its nominal duration, assigned to the workers round
    /// robin.
    pub slowdowns: Vec<f64>,
    /// Number of workers per rack.
    pub workers_per_rack: usize,
    /// Number of hosts that can call the advice service, including the leader.
    pub advice_callers: usize,
    /// Time that a worker needs to stop a run.
    pub stop_time: Duration,
    /// How long jobs arrive.
    pub arrival_period: Duration,
    /// How long the simulation goes on after the arrival period.
    pub cooldown: Duration,
    /// How long a member of a gang waits for the other members before it gives up.
    pub gang_timeout: Duration,
    /// Time from a proposed change until its effects: the local sync and the answers of a majority.
    pub commit_latency: Duration,
    /// Processing time of the leader for each input and each output.
    pub event_cost: Duration,
    /// Whether the estimate of a step is the work of its longest task: the bound of what better
    /// estimates can gain.
    pub exact_estimates: bool,
    /// Whether the scheduler learns run times and speeds.
    pub learn: bool,
}

/// Service of all queues and workers.
const SERVICE: &str = "crunch";

pub(crate) fn policy(
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
        open: false,
    }
}

impl Scenario {
    /// A lead desk with 350 workers: wide matching gangs, nightly syncs and short quote requests.
    pub fn lead_desk() -> Scenario {
        let matching = QueueProfile {
            name: "matching",
            rate: 5.96,
            second_step_probability: 0.2,
            width: LogNormal::new(20.0, 0.8, 120.0),
            work_ms: LogNormal::new(4_000.0, 0.5, 10_000.0),
            work_jitter: 0.3,
            work_tail: (0.0, 1.0),
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
            work_tail: (0.0, 1.0),
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
            accounts: Vec::new(),
            accounts_configured: false,
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
            exact_estimates: false,
            learn: true,
        }
    }

    /// A certificate cluster with 350 workers: wide computations, reviews and short checks. Runs
    /// take longer to stop than at the lead desk.
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

    /// An uneven cell: workers of three speeds, tasks of one step that differ, a long tail, and
    /// estimates that are off by up to nine tenths, beside wide batches that run at ease.
    pub fn uneven_cell() -> Scenario {
        let base = Scenario::certificate_cluster();
        let [full, review, check] = &base.queues[..] else { unreachable!("three queues") };
        let work_tail = (0.03, 7.0);
        let batch = QueueProfile {
            name: "batch",
            rate: 4.5,
            work_ms: LogNormal::new(3_400.0, 0.5, 10_000.0),
            work_tail,
            estimate_error: 0.9,
            policy: policy(("batch", 1), (2.2, 1_000), (442_000, 6_370), 4),
            ..full.clone()
        };
        let merge = QueueProfile {
            name: "merge",
            rate: 6.0,
            work_ms: LogNormal::new(2_900.0, 0.5, 8_700.0),
            work_jitter: 0.15,
            work_tail,
            estimate_error: 0.2,
            worth: (3.99, 0.798),
            policy: policy(("merge", 2), (4.0, 3_000), (156_000, 2_340), 3),
            ..review.clone()
        };
        let lookup = QueueProfile {
            name: "lookup",
            rate: 90.0,
            work_ms: LogNormal::new(680.0, 0.5, 2_000.0),
            work_tail,
            estimate_error: 0.9,
            worth: (0.4, 0.08),
            policy: policy(("lookup", 0), (1.5, 250), (11_700, 169), 3),
            ..check.clone()
        };
        Scenario {
            queues: vec![batch, merge, lookup],
            slowdowns: vec![0.6, 1.0, 1.6],
            workers_per_rack: 8,
            advice_callers: 49,
            stop_time: Duration::from_millis(200),
            ..base
        }
    }

    /// Tiles from radar sweeps on 350 small workers: wide reprocessing gangs, archive rebuilds whose
    /// estimates are rough, and urgent forecasts, for 20 accounts, a few of them large.
    pub fn tile_cell() -> Scenario {
        let leads = Scenario::lead_desk();
        let [matching, sync, quote] = &leads.queues[..] else { unreachable!("three queues") };
        let reprocess = QueueProfile {
            name: "reprocess",
            rate: 4.44,
            cpu: LogNormal::new(4_500.0, 0.4, 7_600.0),
            memory: LogNormal::new(4_500.0, 0.5, 9_100.0),
            work_jitter: 0.15,
            worth: (7.36, 1.47),
            policy: policy(("reprocess", 1), (2.2, 1_000), (455_000, 6_500), 3),
            ..matching.clone()
        };
        let rebuild = QueueProfile {
            name: "rebuild",
            rate: 16.1,
            work_ms: LogNormal::new(2_200.0, 0.5, 5_400.0),
            work_jitter: 0.15,
            estimate_error: 0.9,
            cpu: LogNormal::new(1_700.0, 0.45, 5_200.0),
            memory: LogNormal::new(3_200.0, 0.6, 9_600.0),
            worth: (2.21, 0.442),
            policy: policy(("rebuild", 2), (4.0, 3_000), (104_000, 1_430), 4),
            ..sync.clone()
        };
        let forecast = QueueProfile {
            name: "forecast",
            rate: 66.3,
            work_ms: LogNormal::new(1_000.0, 0.5, 2_500.0),
            estimate_error: 0.5,
            cpu: LogNormal::new(2_500.0, 0.45, 7_400.0),
            memory: LogNormal::new(3_600.0, 0.6, 11_000.0),
            worth: (0.431, 0.0862),
            policy: policy(("forecast", 0), (1.5, 300), (14_300, 208), 2),
            ..quote.clone()
        };
        let scenario = Scenario {
            queues: vec![reprocess, rebuild, forecast],
            capacity: ResourceVector { cpu: 16_000, memory: 32_768, gpu: 0 },
            workers_per_rack: 8,
            advice_callers: 40,
            ..leads
        };
        scenario.with_accounts(20)
    }

    /// Divides the load among `count` accounts. The share of each falls with its place, so that a
    /// few are large. Each may send a third more than it usually does.
    pub fn with_accounts(mut self, count: usize) -> Scenario {
        let size = |i: usize| 1.0 / (i as f64 + 1.0).powf(1.2);
        let total: f64 = (0..count).map(size).sum();
        let rate: f64 = self.queues.iter().map(|queue| queue.rate).sum();
        let account = |i: usize| AccountProfile {
            name: format!("account-{i:02}"),
            load_share: size(i) / total,
            weight: (rate * size(i) / total * 4.0 / 3.0).max(1.0),
        };
        self.accounts = (0..count).map(account).collect();
        self.accounts_configured = true;
        self
    }

    /// Divides the number of workers and the job rates by `factor`. The jobs keep their size.
    pub fn scaled_down(mut self, factor: f64) -> Scenario {
        self.workers = ((self.workers as f64 / factor).ceil() as usize).max(1);
        self.advice_callers = ((self.advice_callers as f64 / factor).ceil() as usize).max(2);
        for queue in &mut self.queues {
            queue.rate /= factor;
        }
        for account in &mut self.accounts {
            account.weight /= factor;
        }
        self
    }
}
