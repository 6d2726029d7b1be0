//! The jobs of one day, drawn from a sheet.

use crate::scenario::{QueueProfile, Scenario};
use jobs::{JobRequest, ResourceVector, StepSpec};
use std::time::Duration;

/// A time in which more jobs come to a queue.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Place of the queue in the sheet.
    pub queue: usize,
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// How many times the usual rate.
    pub rate_factor: f64,
}

/// A time in which the workers of a zone, a third of all, can't be reached.
#[derive(Clone, Copy, Debug)]
pub struct ZonePartition {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts; shorter than a lease, since the emulated workers keep theirs.
    pub duration: Duration,
}

/// What is special about a day.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    /// Bursts.
    pub bursts: Vec<Burst>,
    /// A zone that is cut off.
    pub zone_partition: Option<ZonePartition>,
}

impl Disturbances {
    /// A burst of short jobs early on, and one of wide ones later.
    pub fn with_bursts() -> Disturbances {
        let s = Duration::from_secs;
        let burst =
            |queue, at, rate_factor| Burst { queue, at: s(at), duration: s(4), rate_factor };
        Disturbances { bursts: vec![burst(2, 8, 2.0), burst(0, 19, 1.7)], zone_partition: None }
    }

    /// A zone is cut off early on.
    pub fn with_zone_partition() -> Disturbances {
        let cut = ZonePartition { at: Duration::from_secs(8), duration: Duration::from_secs(5) };
        Disturbances { zone_partition: Some(cut), ..Disturbances::default() }
    }
}

/// One job and what is true of it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is handed in.
    pub at: Duration,
    /// Place of its queue in the sheet.
    pub queue: usize,
    /// What its caller says.
    pub request: JobRequest,
    /// True work of each task of each step.
    pub work: Vec<Vec<Duration>>,
    /// Its tasks fail.
    pub poison: bool,
    /// Core-seconds of its tasks.
    pub core_seconds: f64,
}

impl Arrival {
    /// The longest chain of its true work.
    pub fn critical_path(&self) -> Duration {
        self.work.iter().map(|step| step.iter().max().copied().unwrap_or_default()).sum()
    }
}

/// The jobs of a day in order of arrival.
pub(crate) fn arrivals(
    sheet: &Scenario,
    day: &Disturbances,
    rng: &mut fastrand::Rng,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (queue, spec) in sheet.queues.iter().enumerate() {
        let mut at = Duration::ZERO;
        loop {
            let burst = day
                .bursts
                .iter()
                .find(|b| b.queue == queue && at >= b.at && at < b.at + b.duration);
            let rate = spec.rate * burst.map_or(1.0, |b| b.rate_factor);
            at += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / rate);
            if at >= sheet.arrival_period {
                break;
            }
            all.push(arrival(sheet, spec, queue, at, rng));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(
    sheet: &Scenario,
    spec: &QueueProfile,
    queue: usize,
    at: Duration,
    rng: &mut fastrand::Rng,
) -> Arrival {
    let count = if rng.f64() < spec.second_step_probability { 2 } else { 1 };
    let mut steps = Vec::new();
    let mut work = Vec::new();
    let mut core_seconds = 0.0;
    for i in 0..count {
        let width = spec.width.sample(rng).round().max(1.0) as u32;
        let mean_ms = spec.work_ms.sample(rng).max(20.0);
        let cpu = (spec.cpu.sample(rng) as u64).clamp(100, sheet.capacity.cpu);
        let memory = (spec.memory.sample(rng) as u64).clamp(16, sheet.capacity.memory);
        let task = |rng: &mut fastrand::Rng| {
            let factor = 1.0 + spec.work_jitter * (rng.f64() * 2.0 - 1.0);
            Duration::from_secs_f64(mean_ms * factor / 1_000.0)
        };
        let tasks: Vec<Duration> = (0..width).map(|_| task(rng)).collect();
        let off = 1.0 + spec.estimate_error * (rng.f64() * 2.0 - 1.0);
        core_seconds += tasks.iter().map(Duration::as_secs_f64).sum::<f64>() * cpu as f64 / 1_000.0;
        steps.push(StepSpec {
            count: width,
            need: ResourceVector { cpu, memory, gpu: 0 },
            estimate: Duration::from_secs_f64(mean_ms * off / 1_000.0),
            after: if i > 0 { vec![i - 1] } else { Vec::new() },
            gang: rng.f64() < spec.gang_probability && width > 1,
            checkpoint: rng.f64() < spec.checkpoint_probability,
            ..StepSpec::default()
        });
        work.push(tasks);
    }
    let request = JobRequest { spec: "text".into(), steps, schedule: None };
    Arrival { at, queue, request, work, poison: rng.f64() < spec.poison_probability, core_seconds }
}
