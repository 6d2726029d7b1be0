//! Generates workloads from a seed.

use crate::Arrival;
use std::time::Duration;
use types::{JobClass, Resources, Timestamp};

/// Shape parameter of the run times, which are Pareto distributed. Smaller values give a heavier
/// tail.
const TAIL_EXPONENT: f64 = 1.6;
/// Ratio of the longest to the shortest run time.
const MAX_RUN_TIME_RATIO: f64 = 200.0;
/// Largest factor, in either direction, by which an estimate differs from the actual run time.
const MAX_ESTIMATE_FACTOR: f64 = 10.0;

/// Jobs and the workers that they run on.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name of the workload.
    pub name: String,
    /// Capacity of each worker.
    pub worker_capacity: Resources,
    /// Number of workers.
    pub workers: usize,
    /// Number of workers per rack.
    pub workers_per_rack: usize,
    /// Jobs in order of arrival.
    pub jobs: Vec<Arrival>,
    /// End of the arrivals and of the simulation.
    pub horizon: Timestamp,
}

/// Builds a [`Workload`].
///
/// ```
/// let w = experiment::WorkloadBuilder::new("small", 50).load(0.9).seed(1).build();
/// let again = experiment::WorkloadBuilder::new("small", 50).load(0.9).seed(1).build();
/// assert_eq!(w.jobs.len(), again.jobs.len());
/// ```
#[derive(Clone, Debug)]
pub struct WorkloadBuilder {
    name: String,
    workers: usize,
    cores: u64,
    accelerators: u32,
    load: f64,
    service_share: f64,
    urgent: f64,
    all_at_once: f64,
    mean_run_time: f64,
    horizon: Duration,
    teams: usize,
    seed: u64,
}

impl WorkloadBuilder {
    /// Starts a workload for this number of workers, each with 130 GiB of memory and, by default,
    /// 30 cores.
    pub fn new(name: &str, workers: usize) -> WorkloadBuilder {
        WorkloadBuilder {
            name: name.to_string(),
            workers,
            cores: 30,
            accelerators: 0,
            load: 0.9,
            service_share: 0.2,
            urgent: 0.02,
            all_at_once: 0.05,
            mean_run_time: 60.0,
            horizon: Duration::from_secs(3_600),
            teams: 8,
            seed: 1,
        }
    }

    /// Sets the number of cores of each worker.
    pub fn cores(mut self, cores: u64) -> Self {
        self.cores = cores;
        self
    }

    /// Sets the number of accelerators of each worker. If it is not 0, each task of about one in
    /// ten jobs that are neither urgent nor services needs an accelerator.
    pub fn accelerators(mut self, count: u32) -> Self {
        self.accelerators = count;
        self
    }

    /// Sets the submitted work, including services, as a fraction of the workers' capacity up to
    /// the horizon.
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the fraction of the capacity that services use.
    pub fn service_share(mut self, share: f64) -> Self {
        self.service_share = share;
        self
    }

    /// Sets the fractions of the jobs that are urgent and all-at-once.
    pub fn job_mix(mut self, urgent: f64, all_at_once: f64) -> Self {
        (self.urgent, self.all_at_once) = (urgent, all_at_once);
        self
    }

    /// Sets the mean run time of a task in seconds, before the longest run times are capped.
    pub fn mean_run_time(mut self, seconds: f64) -> Self {
        self.mean_run_time = seconds;
        self
    }

    /// Sets how long jobs arrive.
    pub fn horizon(mut self, horizon: Duration) -> Self {
        self.horizon = horizon;
        self
    }

    /// Sets the number of teams.
    pub fn teams(mut self, teams: usize) -> Self {
        self.teams = teams;
        self
    }

    /// Sets the seed of the random values.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Generates the workload.
    pub fn build(self) -> Workload {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let worker_capacity = Resources {
            cpu: self.cores * 1_000,
            memory: 130 << 30,
            accelerators: self.accelerators,
        };
        let mut jobs = self.service_jobs(&worker_capacity);
        let cores = self.workers as f64 * self.cores as f64;
        let batch_work = (self.load - self.service_share) * cores * self.horizon.as_secs_f64();
        let mut generated = 0.0;
        while generated < batch_work {
            let job = self.job(&mut rng, jobs.len() as u64 + 1);
            let run = job.actual.unwrap_or_default().as_secs_f64();
            generated += run * f64::from(job.tasks) * job.resources.cpu as f64 / 1_000.0;
            jobs.push(job);
        }
        jobs.sort_by_key(|job| job.at);
        for (i, job) in jobs.iter_mut().enumerate() {
            job.id = i as u64 + 1;
        }
        Workload {
            name: self.name,
            worker_capacity,
            workers: self.workers,
            workers_per_rack: 8,
            jobs,
            horizon: self.horizon,
        }
    }

    /// Generates the services, which are submitted at the start and use two cores per task.
    fn service_jobs(&self, worker_capacity: &Resources) -> Vec<Arrival> {
        const TASKS: u32 = 20;
        let resources = Resources { cpu: 2_000, memory: 4 << 30, accelerators: 0 };
        let cpu = self.service_share * self.workers as f64 * worker_capacity.cpu as f64;
        let count = cpu / (f64::from(TASKS) * resources.cpu as f64);
        let job = |i: usize| Arrival {
            id: i as u64 + 1,
            at: Duration::from_millis(i as u64),
            team: format!("team{}", i % self.teams),
            class: JobClass::Service,
            urgent: false,
            tasks: TASKS,
            resources,
            estimate: Duration::MAX,
            actual: None,
            deadline: None,
        };
        (0..count as usize).map(job).collect()
    }

    /// Generates a job that is not a service.
    fn job(&self, rng: &mut fastrand::Rng, id: u64) -> Arrival {
        let at = Duration::from_secs_f64(rng.f64() * self.horizon.as_secs_f64());
        let shortest = self.mean_run_time * (TAIL_EXPONENT - 1.0) / TAIL_EXPONENT;
        let run_time_ratio = (1.0 - rng.f64()).powf(-1.0 / TAIL_EXPONENT).min(MAX_RUN_TIME_RATIO);
        let actual = shortest * run_time_ratio;
        let estimate_factor = MAX_ESTIMATE_FACTOR.powf(rng.f64() * 2.0 - 1.0);
        let kind = rng.f64();
        let urgent = kind < self.urgent;
        let all_at_once = !urgent && kind < self.urgent + self.all_at_once;
        let tasks = match (urgent, all_at_once) {
            (true, _) => 1,
            (_, true) => rng.u32(4..32),
            _ => rng.u32(1..20),
        };
        let cpu = [500, 1_000, 2_000, 4_000, 8_000][rng.usize(..5)];
        let accelerator = !urgent && self.accelerators > 0 && rng.u8(..10) == 0;
        let estimate = Duration::from_secs_f64(actual * estimate_factor);
        let slack = self.mean_run_time * (4.0 + rng.f64() * 40.0);
        Arrival {
            id,
            at,
            team: format!("team{}", rng.usize(..self.teams)),
            class: if all_at_once { JobClass::AllAtOnce } else { JobClass::Batch },
            urgent,
            tasks,
            resources: Resources { cpu, memory: cpu * (2 << 20), accelerators: accelerator.into() },
            estimate,
            actual: Some(Duration::from_secs_f64(actual)),
            deadline: Some(at + Duration::from_secs_f64(actual + slack)),
        }
    }
}
