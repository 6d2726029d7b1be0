//! Baseline policies for comparison, with a single queue in order of arrival.

use crate::{Arrival, Scheduler, Start};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use types::{JobId, Resources, SortedMap, Timestamp};

/// Length of the part of the queue in which EASY looks for jobs to backfill, including the first
/// job, which does not fit.
const BACKFILL_DEPTH: usize = 200;

/// How a worker is chosen among those with enough free resources.
#[derive(Clone, Copy, PartialEq)]
enum Fit {
    First,
    Random,
}

/// A job with tasks that have not started.
struct QueuedJob {
    id: JobId,
    tasks: u32,
    all_at_once: bool,
    resources: Resources,
    estimate: Duration,
}

/// State of a baseline policy.
struct FifoScheduler {
    fit: Fit,
    backfill: bool,
    queue: Vec<QueuedJob>,
    /// Resources and declared run time of all submitted jobs.
    jobs: SortedMap<JobId, (Resources, Duration)>,
    /// Free resources of each worker.
    free: Vec<Resources>,
    /// Predicted end, worker and resources of each run.
    predicted_ends: SortedMap<u64, (Timestamp, usize, Resources)>,
    rng: fastrand::Rng,
}

/// Starts jobs strictly in order of arrival, on the first worker with enough free resources.
pub fn first_fit_fifo(capacity: Resources, workers: usize) -> Scheduler<'static> {
    fifo_scheduler("first-fit FIFO", Fit::First, false, capacity, workers)
}

/// Starts jobs strictly in order of arrival, on the first worker with enough free resources that
/// follows a random one.
pub fn random_fit(capacity: Resources, workers: usize) -> Scheduler<'static> {
    fifo_scheduler("random fit", Fit::Random, false, capacity, workers)
}

/// EASY backfilling: starts jobs in order of arrival, and reserves resources for the first waiting
/// job. A later job may start ahead of it if it is expected to end before the reservation begins.
pub fn easy_backfill(capacity: Resources, workers: usize) -> Scheduler<'static> {
    fifo_scheduler("EASY", Fit::First, true, capacity, workers)
}

fn fifo_scheduler(
    name: &'static str,
    fit: Fit,
    backfill: bool,
    capacity: Resources,
    workers: usize,
) -> Scheduler<'static> {
    let scheduler = FifoScheduler {
        fit,
        backfill,
        queue: Vec::new(),
        jobs: SortedMap::default(),
        free: vec![capacity; workers],
        predicted_ends: SortedMap::default(),
        rng: fastrand::Rng::with_seed(1),
    };
    let shared = Rc::new(RefCell::new(scheduler));
    let (a, b, c, d) = (shared.clone(), shared.clone(), shared.clone(), shared);
    Scheduler {
        name,
        submit: Box::new(move |job| a.borrow_mut().submit(job)),
        ended: Box::new(move |job, worker, run, _, _| b.borrow_mut().ended(job, worker, run)),
        plan: Box::new(move |now| (c.borrow_mut().plan(now), Vec::new())),
        started: Box::new(move |job, worker, run, now| {
            let mut p = d.borrow_mut();
            let (resources, estimate) = *p.jobs.get(&job).expect("only submitted jobs start");
            p.predicted_ends.insert(run, (now.saturating_add(estimate), worker, resources));
        }),
    }
}

impl FifoScheduler {
    fn submit(&mut self, job: &Arrival) {
        self.jobs.insert(job.id, (job.resources, job.estimate));
        self.queue.push(QueuedJob {
            id: job.id,
            tasks: job.tasks,
            all_at_once: job.class == types::JobClass::AllAtOnce,
            resources: job.resources,
            estimate: job.estimate,
        });
    }

    fn ended(&mut self, job: JobId, worker: usize, run: u64) {
        self.predicted_ends.remove(&run);
        let (resources, _) = *self.jobs.get(&job).expect("only submitted jobs end");
        self.free[worker] = self.free[worker]
            .checked_add(&resources)
            .expect("the run's resources were subtracted at its start");
    }

    fn plan(&mut self, now: Timestamp) -> Vec<Start> {
        let mut starts = Vec::new();
        while !self.queue.is_empty() {
            self.start_tasks(0, &mut starts);
            if self.queue[0].tasks > 0 {
                break;
            }
            self.queue.remove(0);
        }
        if self.backfill && !self.queue.is_empty() {
            let shadow_time = self.shadow_time(now);
            let depth = self.queue.len().min(BACKFILL_DEPTH);
            for i in 1..depth {
                if now.saturating_add(self.queue[i].estimate) <= shadow_time {
                    self.start_tasks(i, &mut starts);
                }
            }
            let mut i = 0;
            self.queue.retain(|job| {
                i += 1;
                job.tasks > 0 || i == 1
            });
        }
        starts
    }

    fn start_tasks(&mut self, i: usize, starts: &mut Vec<Start>) {
        let (need, tasks, id) = (self.queue[i].resources, self.queue[i].tasks, self.queue[i].id);
        let before = self.queue[i].all_at_once.then(|| self.free.clone());
        let mut placed = Vec::new();
        for _ in 0..tasks {
            let Some(worker) = self.find_worker(&need) else { break };
            self.free[worker] = self.free[worker].saturating_sub(&need);
            placed.push((id, worker));
        }
        if let (Some(free), true) = (before, placed.len() < tasks as usize) {
            self.free = free;
            return;
        }
        self.queue[i].tasks -= placed.len() as u32;
        starts.extend(placed);
    }

    fn find_worker(&mut self, need: &Resources) -> Option<usize> {
        let count = self.free.len();
        let start = if self.fit == Fit::Random { self.rng.usize(..count) } else { 0 };
        (0..count).map(|i| (start + i) % count).find(|w| need.fits_in(&self.free[*w]))
    }

    /// When the first waiting job is expected to be able to start one more task.
    fn shadow_time(&self, now: Timestamp) -> Timestamp {
        let need = self.queue[0].resources;
        let mut ends: Vec<_> = self.predicted_ends.values().copied().collect();
        ends.sort_by_key(|(at, ..)| *at);
        let mut free = self.free.clone();
        for (at, worker, resources) in ends {
            free[worker] = free[worker].checked_add(&resources).unwrap_or(free[worker]);
            if need.fits_in(&free[worker]) {
                return at.max(now);
            }
        }
        Timestamp::MAX
    }
}
