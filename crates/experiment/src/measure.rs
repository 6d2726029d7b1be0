//! Simulates a workload under a policy and measures the outcome.

use crate::{Arrival, Scheduler, Workload};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use types::{JobClass, JobId, Resources, SortedMap, Timestamp};

/// Time that a worker needs to stop a run, including its checkpoint.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Minimum time between two plans. It models the round trip of the replicated log.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Measurements of one policy on one workload.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: &'static str,
    /// Time from submission to start of each urgent task, in milliseconds.
    pub urgent: Histogram<u64>,
    /// Time from submission to start of each batch task, in milliseconds.
    pub batch: Histogram<u64>,
    /// Time from submission to start of each all-at-once task, in milliseconds.
    pub all_at_once: Histogram<u64>,
    /// Time from submission to start of each service task, in milliseconds.
    pub services: Histogram<u64>,
    /// Number of jobs that met their deadline, and number of jobs whose deadline was before the
    /// horizon.
    pub on_time: (u64, u64),
    /// Mean fraction of all cores in use up to the horizon.
    pub utilization: f64,
    /// Number of runs that were stopped, and the time in seconds for which they had run.
    pub preempted: (u64, f64),
    /// Duration of a plan divided by its number of placements, for each placement, in nanoseconds.
    pub decision_time: Histogram<u64>,
    /// Number of placements.
    pub placements: u64,
    /// Total duration of all plans, on the wall clock.
    pub planning_time: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The job with this index arrives.
    Arrive(usize),
    /// A run completes or has stopped.
    End { run: u64, completed: bool },
    /// The scheduler makes a plan.
    Plan,
}

/// A run that has not ended.
struct Run {
    job: JobId,
    worker: usize,
    started: Timestamp,
}

/// Numbers of waiting and running tasks of a job.
struct Progress {
    waiting: u32,
    running: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000_000, 3).expect("the bounds are valid")
}

/// Simulates a workload up to its horizon, without waiting for runs that have not ended by then.
pub fn simulate(workload: &Workload, mut scheduler: Scheduler<'_>) -> Outcome {
    let mut simulation = Simulation {
        workload,
        events: BinaryHeap::new(),
        runs: SortedMap::default(),
        progress: SortedMap::default(),
        free: vec![workload.worker_capacity; workload.workers],
        last_run: 0,
        used_cpu: 0,
        cpu_time: 0.0,
        last_event: Duration::ZERO,
        next_plan: None,
        outcome: Outcome {
            policy: scheduler.name,
            urgent: histogram(),
            batch: histogram(),
            all_at_once: histogram(),
            services: histogram(),
            on_time: (0, 0),
            utilization: 0.0,
            preempted: (0, 0.0),
            decision_time: histogram(),
            placements: 0,
            planning_time: Duration::ZERO,
        },
    };
    for (i, job) in workload.jobs.iter().enumerate() {
        simulation.events.push(Reverse((job.at, Event::Arrive(i))));
        if job.deadline.is_some_and(|at| at < workload.horizon) {
            simulation.outcome.on_time.1 += 1;
        }
    }
    simulation.run_events(&mut scheduler);
    let cores = workload.worker_capacity.cpu as f64 * workload.workers as f64;
    simulation.outcome.utilization = simulation.cpu_time / (cores * workload.horizon.as_secs_f64());
    // A job with tasks that have not started is counted once, as waiting until the horizon.
    for job in &workload.jobs {
        let waiting = simulation.progress.get(&job.id).map_or(job.tasks, |p| p.waiting);
        let wait = workload.horizon.saturating_sub(job.at);
        for _ in 0..waiting.min(1) {
            simulation.record_wait(job, wait);
        }
    }
    simulation.outcome
}

struct Simulation<'a> {
    workload: &'a Workload,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    runs: SortedMap<u64, Run>,
    progress: SortedMap<JobId, Progress>,
    /// Free resources of each worker.
    free: Vec<Resources>,
    last_run: u64,
    /// Cores in use, in thousandths.
    used_cpu: u64,
    /// Integral of `used_cpu` up to `last_event`, in thousandths of core-seconds.
    cpu_time: f64,
    last_event: Timestamp,
    /// When the next plan is due, if one is scheduled.
    next_plan: Option<Timestamp>,
    outcome: Outcome,
}

impl Simulation<'_> {
    fn run_events(&mut self, scheduler: &mut Scheduler<'_>) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > self.workload.horizon {
                return;
            }
            self.cpu_time += self.used_cpu as f64 * (now - self.last_event).as_secs_f64();
            self.last_event = now;
            match event {
                Event::Arrive(i) => {
                    let job = &self.workload.jobs[i];
                    self.progress.insert(job.id, Progress { waiting: job.tasks, running: 0 });
                    (scheduler.submit)(job);
                }
                Event::End { run, completed } => self.end(run, completed, now, scheduler),
                Event::Plan => {
                    self.next_plan = None;
                    self.plan(now, scheduler);
                    continue;
                }
            }
            if self.next_plan.is_none() {
                let at = now + PLAN_INTERVAL;
                self.next_plan = Some(at);
                self.events.push(Reverse((at, Event::Plan)));
            }
        }
    }

    fn job(&self, id: JobId) -> &Arrival {
        &self.workload.jobs[id as usize - 1]
    }

    fn plan(&mut self, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        let started = Instant::now();
        let (starts, stops) = (scheduler.plan)(now);
        let elapsed = started.elapsed();
        self.outcome.planning_time += elapsed;
        if !starts.is_empty() {
            let per_placement = elapsed.as_nanos() as u64 / starts.len() as u64;
            let _ = self.outcome.decision_time.record_n(per_placement.max(1), starts.len() as u64);
            self.outcome.placements += starts.len() as u64;
            self.next_plan = Some(now + PLAN_INTERVAL);
            self.events.push(Reverse((now + PLAN_INTERVAL, Event::Plan)));
        }
        for (id, worker) in starts {
            self.start(id, worker, now, scheduler);
        }
        for run in stops {
            let Some(stopped) = self.runs.get(&run) else { continue };
            self.outcome.preempted.0 += 1;
            self.outcome.preempted.1 += (now - stopped.started).as_secs_f64();
            self.events.push(Reverse((now + STOP_TIME, Event::End { run, completed: false })));
        }
    }

    fn start(&mut self, id: JobId, worker: usize, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        let job = self.job(id).clone();
        let free = self.free[worker].checked_sub(&job.resources);
        self.free[worker] = free.expect("a policy must not exceed the capacity of a worker");
        self.last_run += 1;
        let run = self.last_run;
        self.runs.insert(run, Run { job: id, worker, started: now });
        self.used_cpu += job.resources.cpu;
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.waiting = progress.waiting.saturating_sub(1);
            progress.running += 1;
        }
        self.record_wait(&job, now - job.at);
        if let Some(actual) = job.actual {
            self.events.push(Reverse((now + actual, Event::End { run, completed: true })));
        }
        (scheduler.started)(id, worker, run, now);
    }

    fn record_wait(&mut self, job: &Arrival, wait: Duration) {
        let millis = (wait.as_millis() as u64).max(1);
        let waits = match (job.urgent, job.class) {
            (true, _) => &mut self.outcome.urgent,
            (_, JobClass::Service) => &mut self.outcome.services,
            (_, JobClass::AllAtOnce) => &mut self.outcome.all_at_once,
            _ => &mut self.outcome.batch,
        };
        let _ = waits.record(millis);
    }

    fn end(&mut self, run: u64, completed: bool, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        // The run is gone if it was stopped before it would have completed, or was stopped twice.
        let Some(ended) = self.runs.remove(&run) else { return };
        let job = self.job(ended.job).clone();
        let free = self.free[ended.worker].checked_add(&job.resources);
        self.free[ended.worker] = free.expect("the run's resources were subtracted at its start");
        self.used_cpu -= job.resources.cpu;
        (scheduler.ended)(ended.job, ended.worker, run, now, completed);
        let progress = self.progress.get_mut(&ended.job).expect("only submitted jobs run");
        progress.running -= 1;
        if !completed {
            progress.waiting += 1;
            return;
        }
        if progress.waiting == 0 && progress.running == 0 {
            let due = job.deadline.filter(|at| *at < self.workload.horizon);
            self.outcome.on_time.0 += u64::from(due.is_some_and(|at| now <= at));
        }
    }
}
