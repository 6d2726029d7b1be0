//! Plain policies to compare with: one queue in order of arrival.

use crate::{Arrival, Scheduler, Start};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use types::{JobId, Resources, SortedMap, Timestamp};

/// Jobs that EASY looks at behind the first that does not fit.
const BACKFILL_DEPTH: usize = 200;

#[derive(Clone, Copy, PartialEq)]
enum Fit {
    First,
    Random,
}

struct Waiting {
    id: JobId,
    tasks: u32,
    together: bool,
    resources: Resources,
    estimate: Duration,
}

struct Plain {
    fit: Fit,
    backfill: bool,
    queue: Vec<Waiting>,
    all: SortedMap<JobId, (Resources, Duration)>,
    rooms: Vec<Resources>,
    /// Predicted ends of runs: run to (end, worker, resources).
    ends: SortedMap<u64, (Timestamp, usize, Resources)>,
    rng: fastrand::Rng,
}

/// Strict order of arrival, first worker that fits.
pub fn first_fit_fifo(worker: Resources, workers: usize) -> Scheduler<'static> {
    plain("first-fit FIFO", Fit::First, false, worker, workers)
}

/// Strict order of arrival, a random worker that fits.
pub fn random_fit(worker: Resources, workers: usize) -> Scheduler<'static> {
    plain("random fit", Fit::Random, false, worker, workers)
}

/// Order of arrival with a reservation for the first that waits, others going ahead where their
/// estimate says that they end before it.
pub fn easy_backfill(worker: Resources, workers: usize) -> Scheduler<'static> {
    plain("EASY", Fit::First, true, worker, workers)
}

fn plain(
    name: &'static str,
    fit: Fit,
    backfill: bool,
    worker: Resources,
    workers: usize,
) -> Scheduler<'static> {
    let plain = Plain {
        fit,
        backfill,
        queue: Vec::new(),
        all: SortedMap::default(),
        rooms: vec![worker; workers],
        ends: SortedMap::default(),
        rng: fastrand::Rng::with_seed(1),
    };
    let shared = Rc::new(RefCell::new(plain));
    let (a, b, c, d) = (shared.clone(), shared.clone(), shared.clone(), shared);
    Scheduler {
        name,
        submit: Box::new(move |job| a.borrow_mut().submit(job)),
        ended: Box::new(move |job, worker, run, _, _| b.borrow_mut().ended(job, worker, run)),
        plan: Box::new(move |now| (c.borrow_mut().plan(now), Vec::new())),
        started: Box::new(move |job, worker, run, now| {
            let mut p = d.borrow_mut();
            let (resources, estimate) = *p.all.get(&job).expect("only submitted jobs start");
            p.ends.insert(run, (now.saturating_add(estimate), worker, resources));
        }),
    }
}

impl Plain {
    fn submit(&mut self, job: &Arrival) {
        self.all.insert(job.id, (job.resources, job.estimate));
        self.queue.push(Waiting {
            id: job.id,
            tasks: job.tasks,
            together: job.class == types::JobClass::AllAtOnce,
            resources: job.resources,
            estimate: job.estimate,
        });
    }

    fn ended(&mut self, job: JobId, worker: usize, run: u64) {
        self.ends.remove(&run);
        let (resources, _) = *self.all.get(&job).expect("only submitted jobs end");
        self.rooms[worker] = self.rooms[worker].checked_add(&resources).expect("taken before");
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
            let shadow = self.shadow(now);
            let depth = self.queue.len().min(BACKFILL_DEPTH);
            for i in 1..depth {
                if now.saturating_add(self.queue[i].estimate) <= shadow {
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
        let before = self.queue[i].together.then(|| self.rooms.clone());
        let mut placed = Vec::new();
        for _ in 0..tasks {
            let Some(worker) = self.find(&need) else { break };
            self.rooms[worker] = self.rooms[worker].saturating_sub(&need);
            placed.push((id, worker));
        }
        if let (Some(rooms), true) = (before, placed.len() < tasks as usize) {
            self.rooms = rooms;
            return;
        }
        self.queue[i].tasks -= placed.len() as u32;
        starts.extend(placed);
    }

    fn find(&mut self, need: &Resources) -> Option<usize> {
        let count = self.rooms.len();
        let start = if self.fit == Fit::Random { self.rng.usize(..count) } else { 0 };
        (0..count).map(|i| (start + i) % count).find(|w| need.fits_in(&self.rooms[*w]))
    }

    /// When the first job is expected to have room for one more task.
    fn shadow(&self, now: Timestamp) -> Timestamp {
        let need = self.queue[0].resources;
        let mut ends: Vec<_> = self.ends.values().copied().collect();
        ends.sort_by_key(|(at, ..)| *at);
        let mut rooms = self.rooms.clone();
        for (at, worker, resources) in ends {
            rooms[worker] = rooms[worker].checked_add(&resources).unwrap_or(rooms[worker]);
            if need.fits_in(&rooms[worker]) {
                return at.max(now);
            }
        }
        Timestamp::MAX
    }
}
