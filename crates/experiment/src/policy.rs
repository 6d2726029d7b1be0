//! The planner of this project, as a scheduler of experiments.

use crate::{Arrival, Scheduler};
use placement::{JobView, Planner, Policy, RunView, WorkerView};
use std::cell::RefCell;
use std::rc::Rc;
use types::{JobClass, JobId, Resources, SortedMap, Timestamp};

/// Placements in one plan, as the daemon has it.
const PLACEMENTS_PER_PLAN: usize = 512;

struct Mirror {
    planner: Planner,
    jobs: SortedMap<JobId, JobView>,
    rooms: Vec<Resources>,
    worker: Resources,
    rack: usize,
}

impl Mirror {
    fn view(&self, worker: usize) -> WorkerView {
        WorkerView {
            id: worker_name(worker),
            incarnation: 1,
            rack: format!("r{}", worker / self.rack),
            capacity: self.worker,
            room: self.rooms[worker],
            single: false,
        }
    }

    fn sync(&mut self, job: JobId, worker: usize) {
        self.planner.upsert_worker(self.view(worker));
        if let Some(view) = self.jobs.get(&job) {
            self.planner.upsert_job(view.clone());
        }
    }
}

fn worker_name(worker: usize) -> String {
    format!("w{worker:06}")
}

/// The planner with these weights.
pub fn planner(
    name: &'static str,
    policy: Policy,
    worker: Resources,
    workers: usize,
    rack: usize,
) -> Scheduler<'static> {
    let mut mirror = Mirror {
        planner: Planner::new(policy, 1),
        jobs: SortedMap::default(),
        rooms: vec![worker; workers],
        worker,
        rack,
    };
    for i in 0..workers {
        let view = mirror.view(i);
        mirror.planner.upsert_worker(view);
    }
    let shared = Rc::new(RefCell::new(mirror));
    let (a, b, c, d) = (shared.clone(), shared.clone(), shared.clone(), shared);
    Scheduler {
        name,
        submit: Box::new(move |job| submit(&mut a.borrow_mut(), job)),
        ended: Box::new(move |job, worker, run, now, whole| {
            ended(&mut b.borrow_mut(), job, worker, run, now, whole)
        }),
        plan: Box::new(move |now| {
            let mut m = c.borrow_mut();
            if !m.planner.is_due(now) {
                return Default::default();
            }
            let plan = m.planner.plan(now, PLACEMENTS_PER_PLAN);
            let index = |name: &str| name[1..].parse().expect("names come from worker_name");
            let starts = plan.placements.iter().map(|p| (p.job, index(&p.worker))).collect();
            (starts, plan.stops)
        }),
        started: Box::new(move |job, worker, run, now| {
            started(&mut d.borrow_mut(), job, worker, run, now)
        }),
    }
}

fn submit(m: &mut Mirror, job: &Arrival) {
    let mut view = JobView::new(job.id, &job.team, "job", job.class, job.resources);
    view.urgent = job.urgent;
    view.waiting = job.tasks;
    view.run_time = (job.class != JobClass::Service).then_some(job.estimate);
    view.submitted = job.at;
    view.deadline = job.deadline;
    m.planner.upsert_job(view.clone());
    m.jobs.insert(job.id, view);
}

fn started(m: &mut Mirror, job: JobId, worker: usize, run: u64, now: Timestamp) {
    let view = m.jobs.get_mut(&job).expect("only submitted jobs start");
    view.waiting -= 1;
    let view = view.clone();
    m.rooms[worker] = m.rooms[worker].saturating_sub(&view.resources);
    let is_service = view.class == JobClass::Service;
    let expected = (!is_service).then(|| m.planner.predict(&view));
    m.planner.upsert_run(RunView {
        fence: run,
        job,
        team: view.team.clone(),
        worker: worker_name(worker),
        resources: view.resources,
        placed: now,
        expected,
        preemptible: view.class == JobClass::Batch && !view.urgent,
        stopping: false,
    });
    m.sync(job, worker);
}

fn ended(m: &mut Mirror, job: JobId, worker: usize, run: u64, _now: Timestamp, whole: bool) {
    m.planner.remove_run(run);
    let view = m.jobs.get_mut(&job).expect("only submitted jobs end");
    if !whole {
        view.waiting += 1;
    }
    let resources = view.resources;
    m.rooms[worker] = m.rooms[worker].checked_add(&resources).expect("it was taken before");
    m.sync(job, worker);
}
