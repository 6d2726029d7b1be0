//! Jobs that share no worker with others.

use placement::{JobView, Planner, Policy, RunView, WorkerView};
use std::time::Duration;
use types::{JobClass, JobId, Resources};

const NOW: Duration = Duration::from_secs(10);

fn cores(count: u64) -> Resources {
    Resources { cpu: count * 1_000, memory: count << 30, accelerators: 0 }
}

/// A planner with two workers of eight cores, the first of which runs another job.
fn planner() -> Planner {
    let mut planner = Planner::new(Policy::default(), 1);
    for (id, free) in [("w1", cores(7)), ("w2", cores(8))] {
        planner.upsert_worker(WorkerView {
            id: id.into(),
            incarnation: 1,
            rack: "r".into(),
            capacity: cores(8),
            free,
            single: false,
        });
    }
    planner.upsert_run(RunView {
        fence: 1,
        job: 99,
        team: "t".into(),
        worker: "w1".into(),
        resources: cores(1),
        placed: NOW,
        expected: None,
        preemptible: false,
        stopping: false,
    });
    planner
}

fn job(id: JobId, class: JobClass, waiting: u32) -> JobView {
    JobView { waiting, apart: true, ..JobView::new(id, "t", &format!("j{id}"), class, cores(1)) }
}

/// The workers of the tasks that are placed for a job.
fn workers_of(planner: &mut Planner, id: JobId) -> Vec<String> {
    let placements = planner.plan(NOW, 100).placements;
    placements.into_iter().filter(|task| task.job == id).map(|task| task.worker).collect()
}

#[test]
fn a_job_that_is_kept_apart_gets_a_worker_that_runs_no_other() {
    let mut planner = planner();
    planner.upsert_job(job(1, JobClass::Batch, 2));
    assert_eq!(workers_of(&mut planner, 1), ["w2"], "one task at a time");
}

#[test]
fn no_other_job_is_planned_beside_one_that_is_kept_apart() {
    let mut planner = planner();
    planner.upsert_job(job(1, JobClass::Batch, 1));
    let other = JobView { waiting: 9, apart: false, ..job(2, JobClass::Batch, 9) };
    planner.upsert_job(other);
    let plan = planner.plan(NOW, 100).placements;
    let apart = plan.iter().find(|task| task.job == 1).expect("placed").worker.clone();
    let beside = plan.iter().filter(|task| task.job == 2 && task.worker == apart).count();
    assert_eq!((apart.as_str(), beside), ("w2", 0));
}

#[test]
fn tasks_of_one_all_at_once_job_may_share_a_worker_when_kept_apart() {
    let mut planner = planner();
    planner.upsert_job(job(1, JobClass::AllAtOnce, 3));
    assert_eq!(workers_of(&mut planner, 1), ["w2", "w2", "w2"]);
}
