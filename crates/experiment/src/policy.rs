//! Adapts [`placement::Planner`] to [`Scheduler`].

use crate::{Arrival, Scheduler};
use placement::{JobView, Planner, Policy, RunView, WorkerView};
use std::cell::RefCell;
use std::rc::Rc;
use types::{JobClass, JobId, Resources, SortedMap, Timestamp};

/// Maximum number of placements per plan, the same as in the daemon.
const MAX_PLACEMENTS_PER_PLAN: usize = 512;

/// The planner and the state that its views are made from.
struct PlannerAdapter {
    planner: Planner,
    jobs: SortedMap<JobId, JobView>,
    /// Free resources of each worker.
    free: Vec<Resources>,
    /// Capacity of each worker.
    capacity: Resources,
    workers_per_rack: usize,
}

impl PlannerAdapter {
    fn view(&self, worker: usize) -> WorkerView {
        WorkerView {
            id: worker_name(worker),
            incarnation: 1,
            rack: format!("r{}", worker / self.workers_per_rack),
            capacity: self.capacity,
            free: self.free[worker],
            single: false,
        }
    }

    /// Passes the changed worker and job to the planner.
    fn update_views(&mut self, job: JobId, worker: usize) {
        self.planner.upsert_worker(self.view(worker));
        if let Some(view) = self.jobs.get(&job) {
            self.planner.upsert_job(view.clone());
        }
    }
}

fn worker_name(worker: usize) -> String {
    format!("w{worker:06}")
}

/// The planner with this policy.
pub fn planner(
    name: &'static str,
    policy: Policy,
    capacity: Resources,
    workers: usize,
    workers_per_rack: usize,
) -> Scheduler<'static> {
    let mut adapter = PlannerAdapter {
        planner: Planner::new(policy, 1),
        jobs: SortedMap::default(),
        free: vec![capacity; workers],
        capacity,
        workers_per_rack,
    };
    for i in 0..workers {
        let view = adapter.view(i);
        adapter.planner.upsert_worker(view);
    }
    let shared = Rc::new(RefCell::new(adapter));
    let (a, b, c, d) = (shared.clone(), shared.clone(), shared.clone(), shared);
    Scheduler {
        name,
        submit: Box::new(move |job| submit(&mut a.borrow_mut(), job)),
        ended: Box::new(move |job, worker, run, now, completed| {
            ended(&mut b.borrow_mut(), job, worker, run, now, completed)
        }),
        plan: Box::new(move |now| {
            let mut m = c.borrow_mut();
            if !m.planner.is_due(now) {
                return Default::default();
            }
            let plan = m.planner.plan(now, MAX_PLACEMENTS_PER_PLAN);
            let index = |name: &str| name[1..].parse().expect("names come from worker_name");
            let starts = plan.placements.iter().map(|p| (p.job, index(&p.worker))).collect();
            (starts, plan.stops)
        }),
        started: Box::new(move |job, worker, run, now| {
            started(&mut d.borrow_mut(), job, worker, run, now)
        }),
    }
}

fn submit(m: &mut PlannerAdapter, job: &Arrival) {
    let mut view = JobView::new(job.id, &job.team, "job", job.class, job.resources);
    view.urgent = job.urgent;
    view.waiting = job.tasks;
    view.run_time = (job.class != JobClass::Service).then_some(job.estimate);
    view.submitted = job.at;
    view.deadline = job.deadline;
    m.planner.upsert_job(view.clone());
    m.jobs.insert(job.id, view);
}

fn started(m: &mut PlannerAdapter, job: JobId, worker: usize, run: u64, now: Timestamp) {
    let view = m.jobs.get_mut(&job).expect("only submitted jobs start");
    view.waiting -= 1;
    let view = view.clone();
    m.free[worker] = m.free[worker].saturating_sub(&view.resources);
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
    m.update_views(job, worker);
}

fn ended(
    m: &mut PlannerAdapter,
    job: JobId,
    worker: usize,
    run: u64,
    _now: Timestamp,
    completed: bool,
) {
    m.planner.remove_run(run);
    let view = m.jobs.get_mut(&job).expect("only submitted jobs end");
    if !completed {
        view.waiting += 1;
    }
    let resources = view.resources;
    m.free[worker] = m.free[worker]
        .checked_add(&resources)
        .expect("the run's resources were subtracted at its start");
    m.update_views(job, worker);
}
