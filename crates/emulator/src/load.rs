//! The jobs that arrive in a simulation, and its disturbances.

use crate::scenario::{QueueProfile, Scenario};
use jobs::{JobRequest, ResourceVector, StepSpec};
use std::time::Duration;

/// Jobs arrive after this time, when the leader knows all workers.
pub(crate) const WARMUP: Duration = Duration::from_secs(5);

/// A period in which jobs arrive in a queue at a higher rate.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Index of the queue in the scenario.
    pub queue: usize,
    /// When the burst begins, from the start of the arrival period.
    pub at: Duration,
    /// How long the burst lasts.
    pub duration: Duration,
    /// Factor on the queue's usual rate.
    pub rate_factor: f64,
}

/// A period in which orders do not reach the workers of one zone, a third of all, and their answers
/// do not reach the leader. Their heartbeats still arrive.
#[derive(Clone, Copy, Debug)]
pub struct ZonePartition {
    /// When the partition begins, from the start of the arrival period.
    pub at: Duration,
    /// How long the partition lasts. It must be shorter than a lease: emulated workers do not stop
    /// their runs when the lease expires.
    pub duration: Duration,
}

/// A period in which one account sends more jobs than usual, in all queues alike.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Index of the account in the scenario.
    pub account: usize,
    /// When the flood begins, from the start of the arrival period.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Factor on the account's usual rate.
    pub rate_factor: f64,
}

/// A change of the weight of one account.
#[derive(Clone, Copy, Debug)]
pub struct WeightChange {
    /// Index of the account in the scenario.
    pub account: usize,
    /// When the new configuration is sent, from the start of the arrival period.
    pub at: Duration,
    /// Factor on the weight.
    pub factor: f64,
}

/// Bursts and network partitions of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    /// Periods with a higher arrival rate.
    pub bursts: Vec<Burst>,
    /// A period in which a zone is unreachable.
    pub zone_partition: Option<ZonePartition>,
    /// A period in which one account sends more than usual. The other jobs stay the same.
    pub flood: Option<Flood>,
    /// A change of one account's weight.
    pub weight_change: Option<WeightChange>,
    /// When the leader is lost; it is replaced by one that knows only the replicated state.
    pub leader_loss: Option<Duration>,
}

impl Disturbances {
    /// Two bursts of 4 s: twice the rate in the third queue after 8 s, and 1.7 times the rate in
    /// the first queue after 19 s. In the predefined scenarios the third queue holds short jobs and
    /// the first one wide gangs.
    pub fn with_bursts() -> Disturbances {
        let s = Duration::from_secs;
        let burst =
            |queue, at, rate_factor| Burst { queue, at: s(at), duration: s(4), rate_factor };
        Disturbances {
            bursts: vec![burst(2, 8, 2.0), burst(0, 19, 1.7)],
            ..Disturbances::default()
        }
    }

    /// Loses the leader at 8 s, without bursts.
    pub fn with_leader_loss() -> Disturbances {
        let leader_loss = Some(Duration::from_secs(8));
        Disturbances { leader_loss, ..Disturbances::default() }
    }

    /// One account sends 7.5 times as many jobs as usual for 6.5 s after 8 s.
    pub fn with_flood(account: usize) -> Disturbances {
        let (at, duration) = (Duration::from_secs(8), Duration::from_millis(6_500));
        let flood = Flood { account, at, duration, rate_factor: 7.5 };
        Disturbances { flood: Some(flood), ..Disturbances::default() }
    }

    /// All callers send 1.8 times as many jobs as usual for 6 s after 8 s.
    pub fn with_burst_of_all(queues: usize) -> Disturbances {
        let (at, duration) = (Duration::from_secs(8), Duration::from_secs(6));
        let burst = |queue| Burst { queue, at, duration, rate_factor: 1.8 };
        Disturbances { bursts: (0..queues).map(burst).collect(), ..Disturbances::default() }
    }

    /// One zone is unreachable for 5 s after 8 s.
    pub fn with_zone_partition() -> Disturbances {
        let partition =
            ZonePartition { at: Duration::from_secs(8), duration: Duration::from_secs(5) };
        Disturbances { zone_partition: Some(partition), ..Disturbances::default() }
    }
}

/// A job with properties that the scheduler does not know.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the job is submitted.
    pub at: Duration,
    /// Index of its queue in the scenario.
    pub queue: usize,
    /// Index of its account in the scenario; `None` if there are no accounts.
    pub account: Option<usize>,
    /// The request of the caller, with estimates.
    pub request: JobRequest,
    /// Actual work of each task of each step, as time on a worker without slowdown.
    pub work: Vec<Vec<Duration>>,
    /// Whether all tasks of the job fail.
    pub poison: bool,
    /// Actual work of all tasks in core-seconds.
    pub core_seconds: f64,
}

impl Arrival {
    /// Actual work of the longest task of each step, summed over the steps.
    pub fn critical_path(&self) -> Duration {
        self.work.iter().map(|step| step.iter().max().copied().unwrap_or_default()).sum()
    }
}

/// Draws the jobs of a simulation, in order of arrival.
pub(crate) fn arrivals(
    scenario: &Scenario,
    disturbances: &Disturbances,
    rng: &mut fastrand::Rng,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (queue, spec) in scenario.queues.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            let burst = disturbances
                .bursts
                .iter()
                .find(|b| b.queue == queue && at >= b.at && at < b.at + b.duration);
            let rate = spec.rate * burst.map_or(1.0, |b| b.rate_factor);
            at += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
            if at >= scenario.arrival_period {
                break;
            }
            all.push(arrival(scenario, spec, queue, at, rng));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    assign_accounts(scenario, &mut all, rng.u64(..));
    if let Some(flood) = disturbances.flood {
        all.extend(flood_arrivals(scenario, &flood, rng));
        all.sort_by_key(|arrival| arrival.at);
    }
    all
}

/// Draws the account of each job.
fn assign_accounts(scenario: &Scenario, all: &mut [Arrival], seed: u64) {
    if scenario.accounts.is_empty() {
        return;
    }
    let mut rng = fastrand::Rng::with_seed(seed);
    for arrival in all {
        let mut left = rng.f64();
        let chosen = scenario.accounts.iter().position(|account| {
            left -= account.load_share;
            left < 0.0
        });
        arrival.account = Some(chosen.unwrap_or(scenario.accounts.len() - 1));
    }
}

/// Draws the jobs that an account sends in a flood beyond its usual ones.
fn flood_arrivals(scenario: &Scenario, flood: &Flood, rng: &mut fastrand::Rng) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (queue, spec) in scenario.queues.iter().enumerate() {
        let usual = spec.rate * scenario.accounts[flood.account].load_share;
        let rate = usual * (flood.rate_factor - 1.0);
        let mut at = flood.at;
        loop {
            at += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
            if at >= flood.at + flood.duration {
                break;
            }
            let arrival = arrival(scenario, spec, queue, at, rng);
            all.push(Arrival { account: Some(flood.account), ..arrival });
        }
    }
    all
}

/// Draws one job.
fn arrival(
    scenario: &Scenario,
    spec: &QueueProfile,
    queue: usize,
    at: Duration,
    rng: &mut fastrand::Rng,
) -> Arrival {
    let step_count = if rng.f64() < spec.second_step_probability { 2 } else { 1 };
    let mut steps = Vec::new();
    let mut work = Vec::new();
    let mut core_seconds = 0.0;
    for i in 0..step_count {
        let task_count = spec.width.sample(rng).round().max(1.0) as u32;
        let mean_ms = spec.work_ms.sample(rng).max(20.0);
        let cpu = (spec.cpu.sample(rng) as u64).clamp(100, scenario.capacity.cpu);
        let memory = (spec.memory.sample(rng) as u64).clamp(16, scenario.capacity.memory);
        let task = |rng: &mut fastrand::Rng| {
            let factor = 1.0 + spec.work_jitter * (rng.f64() * 2.0 - 1.0);
            let (probability, longer) = spec.work_tail;
            let tail = if probability > 0.0 && rng.f64() < probability { longer } else { 1.0 };
            Duration::from_secs_f64(mean_ms * factor * tail / 1_000.0)
        };
        let tasks: Vec<Duration> = (0..task_count).map(|_| task(rng)).collect();
        let estimate_factor = 1.0 + spec.estimate_error * (rng.f64() * 2.0 - 1.0);
        core_seconds += tasks.iter().map(Duration::as_secs_f64).sum::<f64>() * cpu as f64 / 1_000.0;
        steps.push(StepSpec {
            count: task_count,
            need: ResourceVector { cpu, memory, gpu: 0 },
            estimate: match tasks.iter().max() {
                Some(longest) if scenario.exact_estimates => *longest,
                _ => Duration::from_secs_f64(mean_ms * estimate_factor / 1_000.0),
            },
            after: if i > 0 { vec![i - 1] } else { Vec::new() },
            gang: rng.f64() < spec.gang_probability && task_count > 1,
            checkpoint: rng.f64() < spec.checkpoint_probability,
            ..StepSpec::default()
        });
        work.push(tasks);
    }
    let request = JobRequest { spec: "text".into(), steps, schedule: None };
    let poison = rng.f64() < spec.poison_probability;
    Arrival { at, queue, account: None, request, work, poison, core_seconds }
}
