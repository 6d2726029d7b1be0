//! Playing a workload, and what is measured.

use crate::{Arrival, Scheduler, Workload};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};
use types::{JobClass, JobId, Resources, SortedMap, Timestamp};

/// Time that a worker needs to stop a task, saving its progress.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Plans are made at most this often, as a log's round trip allows.
const PLAN_EVERY: Duration = Duration::from_millis(20);

/// What came of one policy on one workload.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The policy.
    pub policy: &'static str,
    /// Submission to start of each urgent task, in milliseconds.
    pub urgent: Histogram<u64>,
    /// Submission to start of each batch task.
    pub batch: Histogram<u64>,
    /// Submission to start of each all-at-once task.
    pub all_at_once: Histogram<u64>,
    /// Submission to start of each service task.
    pub services: Histogram<u64>,
    /// Jobs that ended in time, of those with a deadline that were due.
    pub on_time: (u64, u64),
    /// Mean part of all cores that were held while jobs arrived.
    pub utilization: f64,
    /// Runs that were stopped, and the seconds of work that were lost with them.
    pub preempted: (u64, f64),
    /// Time of each plan by the placements in it, in nanoseconds.
    pub decision_time: Histogram<u64>,
    /// Placements made.
    pub placements: u64,
    /// Processor time of all plans.
    pub planning_time: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End { run: u64, whole: bool },
    Plan,
}

struct Run {
    job: JobId,
    worker: usize,
    began: Timestamp,
}

struct Progress {
    left: u32,
    running: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000_000, 3).expect("bounds are constants")
}

/// Plays a workload; arrivals end at its horizon, and what runs then is not waited for.
pub fn simulate(workload: &Workload, mut scheduler: Scheduler<'_>) -> Outcome {
    let mut play = Play {
        workload,
        events: BinaryHeap::new(),
        runs: SortedMap::default(),
        progress: SortedMap::default(),
        rooms: vec![workload.worker_capacity; workload.workers],
        last_run: 0,
        held: 0,
        held_time: 0.0,
        last: Duration::ZERO,
        next_plan: None,
        out: Outcome {
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
        play.events.push(Reverse((job.at, Event::Arrive(i))));
        if job.deadline.is_some_and(|at| at < workload.horizon) {
            play.out.on_time.1 += 1;
        }
    }
    play.go(&mut scheduler);
    let cores = workload.worker_capacity.cpu as f64 * workload.workers as f64;
    play.out.utilization = play.held_time / (cores * workload.horizon.as_secs_f64());
    // What never started has waited until the end.
    for job in &workload.jobs {
        let left = play.progress.get(&job.id).map_or(job.tasks, |p| p.left);
        let wait = workload.horizon.saturating_sub(job.at);
        for _ in 0..left.min(1) {
            play.note_wait(job, wait);
        }
    }
    play.out
}

struct Play<'a> {
    workload: &'a Workload,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    runs: SortedMap<u64, Run>,
    progress: SortedMap<JobId, Progress>,
    rooms: Vec<Resources>,
    last_run: u64,
    held: u64,
    held_time: f64,
    last: Timestamp,
    next_plan: Option<Timestamp>,
    out: Outcome,
}

impl Play<'_> {
    fn go(&mut self, scheduler: &mut Scheduler<'_>) {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > self.workload.horizon {
                return;
            }
            self.held_time += self.held as f64 * (now - self.last).as_secs_f64();
            self.last = now;
            match event {
                Event::Arrive(i) => {
                    let job = &self.workload.jobs[i];
                    self.progress.insert(job.id, Progress { left: job.tasks, running: 0 });
                    (scheduler.submit)(job);
                }
                Event::End { run, whole } => self.end(run, whole, now, scheduler),
                Event::Plan => {
                    self.next_plan = None;
                    self.plan(now, scheduler);
                    continue;
                }
            }
            if self.next_plan.is_none() {
                let at = now + PLAN_EVERY;
                self.next_plan = Some(at);
                self.events.push(Reverse((at, Event::Plan)));
            }
        }
    }

    fn job(&self, id: JobId) -> &Arrival {
        &self.workload.jobs[id as usize - 1]
    }

    fn plan(&mut self, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        let began = Instant::now();
        let (starts, stops) = (scheduler.plan)(now);
        let took = began.elapsed();
        self.out.planning_time += took;
        if !starts.is_empty() {
            let each = took.as_nanos() as u64 / starts.len() as u64;
            let _ = self.out.decision_time.record_n(each.max(1), starts.len() as u64);
            self.out.placements += starts.len() as u64;
            self.next_plan = Some(now + PLAN_EVERY);
            self.events.push(Reverse((now + PLAN_EVERY, Event::Plan)));
        }
        for (id, worker) in starts {
            self.start(id, worker, now, scheduler);
        }
        for run in stops {
            let Some(stopped) = self.runs.get(&run) else { continue };
            self.out.preempted.0 += 1;
            self.out.preempted.1 += (now - stopped.began).as_secs_f64();
            self.events.push(Reverse((now + STOP_TIME, Event::End { run, whole: false })));
        }
    }

    fn start(&mut self, id: JobId, worker: usize, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        let job = self.job(id).clone();
        let room = self.rooms[worker].checked_sub(&job.resources);
        self.rooms[worker] = room.expect("a policy never exceeds a worker");
        self.last_run += 1;
        let run = self.last_run;
        self.runs.insert(run, Run { job: id, worker, began: now });
        self.held += job.resources.cpu;
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.left = progress.left.saturating_sub(1);
            progress.running += 1;
        }
        self.note_wait(&job, now - job.at);
        if let Some(actual) = job.actual {
            self.events.push(Reverse((now + actual, Event::End { run, whole: true })));
        }
        (scheduler.started)(id, worker, run, now);
    }

    fn note_wait(&mut self, job: &Arrival, wait: Duration) {
        let millis = (wait.as_millis() as u64).max(1);
        let line = match (job.urgent, job.class) {
            (true, _) => &mut self.out.urgent,
            (_, JobClass::Service) => &mut self.out.services,
            (_, JobClass::AllAtOnce) => &mut self.out.all_at_once,
            _ => &mut self.out.batch,
        };
        let _ = line.record(millis);
    }

    fn end(&mut self, run: u64, whole: bool, now: Timestamp, scheduler: &mut Scheduler<'_>) {
        // A run that was stopped has ended before.
        let Some(ended) = self.runs.remove(&run) else { return };
        let job = self.job(ended.job).clone();
        let room = self.rooms[ended.worker].checked_add(&job.resources);
        self.rooms[ended.worker] = room.expect("it was taken before");
        self.held -= job.resources.cpu;
        (scheduler.ended)(ended.job, ended.worker, run, now, whole);
        let progress = self.progress.get_mut(&ended.job).expect("it has arrived");
        progress.running -= 1;
        if !whole {
            progress.left += 1;
            return;
        }
        if progress.left == 0 && progress.running == 0 {
            let due = job.deadline.filter(|at| *at < self.workload.horizon);
            self.out.on_time.0 += u64::from(due.is_some_and(|at| now <= at));
        }
    }
}
