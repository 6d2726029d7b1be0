//! Workloads from a seed.

use crate::Arrival;
use std::time::Duration;
use types::{JobClass, Resources, Timestamp};

/// Shape of the run times' tail: smaller is heavier.
const TAIL: f64 = 1.6;
/// Longest run time by the shortest.
const LONGEST: f64 = 200.0;
/// Estimates are off by up to this factor, either way.
const WRONG_BY: f64 = 10.0;

/// Workers and what they are asked to do.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// Capacity of each worker.
    pub worker_capacity: Resources,
    /// How many workers there are.
    pub workers: usize,
    /// Workers in a rack.
    pub workers_per_rack: usize,
    /// Jobs in order of arrival.
    pub jobs: Vec<Arrival>,
    /// When arrivals end.
    pub horizon: Timestamp,
}

/// Makes a [`Workload`].
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
    services: f64,
    urgent: f64,
    together: f64,
    mean_run: f64,
    horizon: Duration,
    teams: usize,
    seed: u64,
}

impl WorkloadBuilder {
    /// A workload for so many workers of 30 cores and 130 GB.
    pub fn new(name: &str, workers: usize) -> WorkloadBuilder {
        WorkloadBuilder {
            name: name.to_string(),
            workers,
            cores: 30,
            accelerators: 0,
            load: 0.9,
            services: 0.2,
            urgent: 0.02,
            together: 0.05,
            mean_run: 60.0,
            horizon: Duration::from_secs(3_600),
            teams: 8,
            seed: 1,
        }
    }

    /// Cores of a worker.
    pub fn cores(mut self, cores: u64) -> Self {
        self.cores = cores;
        self
    }

    /// Accelerators of a worker; one batch job in ten asks for one.
    pub fn accelerators(mut self, count: u32) -> Self {
        self.accelerators = count;
        self
    }

    /// Work that arrives, by what the workers can do.
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Part of the capacity that services hold.
    pub fn service_share(mut self, part: f64) -> Self {
        self.services = part;
        self
    }

    /// Parts of the jobs that are urgent and all-at-once.
    pub fn job_mix(mut self, urgent: f64, together: f64) -> Self {
        (self.urgent, self.together) = (urgent, together);
        self
    }

    /// Mean run time of a task in seconds.
    pub fn mean_run_time(mut self, seconds: f64) -> Self {
        self.mean_run = seconds;
        self
    }

    /// How long jobs arrive.
    pub fn horizon(mut self, horizon: Duration) -> Self {
        self.horizon = horizon;
        self
    }

    /// How many teams there are.
    pub fn teams(mut self, teams: usize) -> Self {
        self.teams = teams;
        self
    }

    /// The seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The workload.
    pub fn build(self) -> Workload {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let worker = Resources {
            cpu: self.cores * 1_000,
            memory: 130 << 30,
            accelerators: self.accelerators,
        };
        let mut jobs = self.service_jobs(&worker);
        let cores = self.workers as f64 * self.cores as f64;
        let work = (self.load - self.services) * cores * self.horizon.as_secs_f64();
        let mut made = 0.0;
        while made < work {
            let job = self.job(&mut rng, jobs.len() as u64 + 1);
            let run = job.actual.unwrap_or_default().as_secs_f64();
            made += run * f64::from(job.tasks) * job.resources.cpu as f64 / 1_000.0;
            jobs.push(job);
        }
        jobs.sort_by_key(|job| job.at);
        for (i, job) in jobs.iter_mut().enumerate() {
            job.id = i as u64 + 1;
        }
        Workload {
            name: self.name,
            worker_capacity: worker,
            workers: self.workers,
            workers_per_rack: 8,
            jobs,
            horizon: self.horizon,
        }
    }

    /// Services that are there from the start, two cores a task.
    fn service_jobs(&self, worker: &Resources) -> Vec<Arrival> {
        const TASKS: u32 = 20;
        let resources = Resources { cpu: 2_000, memory: 4 << 30, accelerators: 0 };
        let held = self.services * self.workers as f64 * worker.cpu as f64;
        let count = held / (f64::from(TASKS) * resources.cpu as f64);
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

    fn job(&self, rng: &mut fastrand::Rng, id: u64) -> Arrival {
        let at = Duration::from_secs_f64(rng.f64() * self.horizon.as_secs_f64());
        let shortest = self.mean_run * (TAIL - 1.0) / TAIL;
        let tail = (1.0 - rng.f64()).powf(-1.0 / TAIL).min(LONGEST);
        let actual = shortest * tail;
        let wrong = WRONG_BY.powf(rng.f64() * 2.0 - 1.0);
        let kind = rng.f64();
        let urgent = kind < self.urgent;
        let together = !urgent && kind < self.urgent + self.together;
        let tasks = match (urgent, together) {
            (true, _) => 1,
            (_, true) => rng.u32(4..32),
            _ => rng.u32(1..20),
        };
        let cpu = [500, 1_000, 2_000, 4_000, 8_000][rng.usize(..5)];
        let accelerator = !urgent && self.accelerators > 0 && rng.u8(..10) == 0;
        let estimate = Duration::from_secs_f64(actual * wrong);
        let slack = self.mean_run * (4.0 + rng.f64() * 40.0);
        Arrival {
            id,
            at,
            team: format!("team{}", rng.usize(..self.teams)),
            class: if together { JobClass::AllAtOnce } else { JobClass::Batch },
            urgent,
            tasks,
            resources: Resources { cpu, memory: cpu * (2 << 20), accelerators: accelerator.into() },
            estimate,
            actual: Some(Duration::from_secs_f64(actual)),
            deadline: Some(at + Duration::from_secs_f64(actual + slack)),
        }
    }
}
