//! Tasks that crash each worker that starts them, and the jobs beside them.

use state::{JobStatus, Placement, Reply, RunEnd, WorkerSpec, ZoneCommand, ZoneState};
use std::time::Duration;
use types::{Incarnation, JobClass, JobId, JobSpec, Resources, TaskOutcome, Timestamp};

const WORKERS: [&str; 3] = ["w0", "w1", "w2"];
const CAPACITY: Resources = Resources { cpu: 4_000, memory: 4 << 30, accelerators: 0 };

struct Zone {
    state: ZoneState,
    now: Timestamp,
    incarnations: [Incarnation; WORKERS.len()],
}

impl Zone {
    fn new() -> Zone {
        let state = ZoneState::default();
        let mut zone = Zone { state, now: Duration::from_secs(100), incarnations: [0; 3] };
        (0..WORKERS.len()).for_each(|w| zone.restart(w));
        zone
    }

    fn apply(&mut self, command: ZoneCommand) -> Reply {
        self.now += Duration::from_secs(1);
        self.state.apply(command).0
    }

    /// Registers the worker's next incarnation.
    fn restart(&mut self, w: usize) {
        self.incarnations[w] += 1;
        let spec = self.spec_of(w, CAPACITY);
        self.apply(ZoneCommand::Register { spec, at: self.now });
    }

    fn spec_of(&self, w: usize, capacity: Resources) -> WorkerSpec {
        let incarnation = self.incarnations[w];
        WorkerSpec { worker: WORKERS[w].into(), rack: "r".into(), capacity, incarnation }
    }

    fn lose(&mut self, w: usize) {
        let (worker, incarnation) = (WORKERS[w].into(), self.incarnations[w]);
        self.apply(ZoneCommand::WorkerLost { worker, incarnation, at: self.now });
    }

    fn submit(&mut self, name: &str, class: JobClass) -> JobId {
        let spec = JobSpec {
            team: "t".into(),
            name: name.into(),
            class,
            tasks: 1,
            resources: Resources { cpu: 1_000, memory: 1 << 30, accelerators: 0 },
            command: vec![],
            run_time: None,
            deadline: None,
            urgent: false,
            unrepeatable: false,
            zone: None,
        };
        match self.apply(ZoneCommand::Submit { spec, at: self.now }) {
            Reply::Job(id) => id,
            other => panic!("{other:?}"),
        }
    }

    /// Whether a task of the job was started on the worker.
    fn place(&mut self, job: JobId, w: usize) -> bool {
        let (worker, incarnation) = (WORKERS[w].into(), self.incarnations[w]);
        let placements = vec![Placement { job, worker, incarnation }];
        self.apply(ZoneCommand::Place { placements, at: self.now }) == Reply::Placed(1)
    }

    fn status(&self, job: JobId) -> JobStatus {
        self.state.jobs().get(&job).expect("submitted").status.clone()
    }

    fn restored(mut self) -> Zone {
        let bytes = postcard::to_stdvec(&self.state).expect("plain data");
        self.state = postcard::from_bytes(&bytes).expect("just encoded");
        self
    }
}

/// Guards against a task that crashes one worker after the other, and against giving up what ran
/// beside it. All that is known goes through a snapshot after each step.
#[test]
fn a_task_under_which_three_workers_crash_is_given_up_and_the_one_beside_it_is_not() {
    let mut zone = Zone::new();
    let deadly = zone.submit("deadly", JobClass::Batch);
    let innocent = zone.submit("innocent", JobClass::Batch);
    assert!(zone.place(innocent, 0) && zone.place(deadly, 0));
    zone.restart(0);
    let mut zone = zone.restored();
    assert_eq!(
        (zone.status(deadly), zone.status(innocent)),
        (JobStatus::Active, JobStatus::Active)
    );
    assert!(zone.place(innocent, 0) && !zone.place(deadly, 0), "both are suspects");
    for w in [1, 2] {
        assert_eq!(zone.status(deadly), JobStatus::Active);
        assert!(zone.place(deadly, w));
        zone.restart(w);
        zone = zone.restored();
    }
    assert_eq!(
        (zone.status(deadly), zone.status(innocent)),
        (JobStatus::Failed, JobStatus::Active)
    );
    let reason = &zone.state.jobs().get(&deadly).expect("submitted").reason;
    assert!(reason.contains("3 workers crashed under task 0"), "{reason}");
}

#[test]
fn nothing_starts_beside_a_suspect_until_it_has_succeeded() {
    let mut zone = Zone::new();
    let suspect = zone.submit("suspect", JobClass::Batch);
    let other = zone.submit("other", JobClass::Batch);
    assert!(zone.place(suspect, 0));
    zone.restart(0);
    assert!(zone.place(suspect, 1) && !zone.place(other, 1));
    let fence = *zone.state.runs().keys().next().expect("one run");
    let ends = vec![RunEnd { fence, outcome: TaskOutcome::Succeeded }];
    zone.apply(ZoneCommand::End { worker: "w1".into(), ends, at: zone.now });
    assert_eq!(zone.status(suspect), JobStatus::Succeeded);
    assert!(zone.place(other, 1));
    assert_eq!(zone.state.suspect_jobs().count(), 0);
}

#[test]
fn a_suspect_does_not_wait_for_ever_for_a_worker_of_its_own() {
    let mut zone = Zone::new();
    let suspect = zone.submit("suspect", JobClass::Batch);
    let others: Vec<JobId> =
        (0..WORKERS.len()).map(|w| zone.submit(WORKERS[w], JobClass::Batch)).collect();
    assert!(zone.place(suspect, 0));
    zone.restart(0);
    others.iter().enumerate().for_each(|(w, other)| assert!(zone.place(*other, w)));
    assert!(!zone.place(suspect, 0));
    zone.now += Duration::from_secs(60);
    assert!(zone.place(suspect, 0));
}

/// Guards against tasks that are given up because their workers were only cut off.
#[test]
fn a_task_whose_workers_are_cut_off_twice_is_not_given_up() {
    let mut zone = Zone::new();
    let job = zone.submit("unlucky", JobClass::Batch);
    for w in 0..2 {
        assert!(zone.place(job, w));
        zone.lose(w);
    }
    assert_eq!(zone.status(job), JobStatus::Active);
}

#[test]
fn a_worker_that_is_drained_and_restarted_counts_for_nothing() {
    let mut zone = Zone::new();
    let job = zone.submit("planned", JobClass::Batch);
    for (w, name) in WORKERS.iter().enumerate() {
        assert!(zone.place(job, w));
        zone.apply(ZoneCommand::Drain { worker: (*name).into(), draining: true });
        zone.restart(w);
    }
    assert_eq!(zone.status(job), JobStatus::Active);
}

#[test]
fn a_service_whose_task_crashes_workers_is_held_back_and_not_given_up() {
    let mut zone = Zone::new();
    let service = zone.submit("service", JobClass::Service);
    for w in 0..3 {
        assert!(zone.place(service, w));
        zone.restart(w);
    }
    assert_eq!(zone.status(service), JobStatus::Active);
    let job = zone.state.jobs().get(&service).expect("submitted");
    assert!(job.held_until > zone.now, "{}", job.reason);
    assert!(!zone.place(service, 2));
}

/// Guards against placements on resources that a worker has no more.
#[test]
fn a_worker_that_registers_again_with_less_gets_less() {
    let mut zone = Zone::new();
    let less = Resources { cpu: 1_500, memory: 4 << 30, accelerators: 0 };
    let spec = zone.spec_of(0, less);
    zone.apply(ZoneCommand::Register { spec, at: zone.now });
    let jobs: Vec<JobId> = ["a", "b"].iter().map(|n| zone.submit(n, JobClass::Batch)).collect();
    assert!(zone.place(jobs[0], 0) && !zone.place(jobs[1], 0));
}

/// Guards against tasks that wait for workers of their own because a worker was cut off, or because
/// a service has lost one.
#[test]
fn only_a_crash_keeps_a_job_apart_and_never_a_service() {
    let mut zone = Zone::new();
    let cut = zone.submit("cut", JobClass::Batch);
    let service = zone.submit("service", JobClass::Service);
    let other = zone.submit("other", JobClass::Batch);
    assert!(zone.place(cut, 0) && zone.place(other, 2));
    zone.lose(0);
    assert!(zone.place(cut, 2), "beside another job");
    assert!(zone.place(service, 1));
    zone.restart(1);
    assert!(zone.place(service, 2), "beside other jobs");
}

/// Guards against a job that is given up because its workers were cut off: each registers again, and
/// its process has lived on.
#[test]
fn a_worker_whose_process_lives_on_has_not_crashed() {
    let mut zone = Zone::new();
    let job = zone.submit("unlucky", JobClass::Batch);
    for turn in 0..4 {
        let w = turn % WORKERS.len();
        assert!(zone.place(job, w), "turn {turn}");
        if turn < 3 {
            zone.lose(w);
        }
        let first = zone.incarnations[w];
        zone.incarnations[w] += 1;
        let spec = zone.spec_of(w, CAPACITY);
        zone.apply(ZoneCommand::RegisterAgain { spec, first, at: zone.now });
        zone = zone.restored();
    }
    assert_eq!(zone.status(job), JobStatus::Active);
    assert!(!zone.state.is_kept_apart(job, zone.now));
}

/// Guards against crashes that are taken for cuts: the lease has ended before the worker is back.
#[test]
fn a_silent_worker_has_crashed_if_its_process_is_a_new_one() {
    let mut zone = Zone::new();
    let job = zone.submit("slow", JobClass::Batch);
    for w in 0..WORKERS.len() {
        assert!(zone.place(job, w));
        zone.lose(w);
        zone = zone.restored();
    }
    assert_eq!(zone.status(job), JobStatus::Active);
    (0..WORKERS.len()).for_each(|w| zone.restart(w));
    assert_eq!(zone.status(job), JobStatus::Failed);
}

/// Guards against a task that takes down one worker after the other while none of them comes back.
#[test]
fn a_task_waits_for_silent_workers_that_it_may_have_crashed() {
    let mut zone = Zone::new();
    let job = zone.submit("waits", JobClass::Batch);
    assert!(zone.place(job, 0));
    zone.restart(0);
    for w in 0..WORKERS.len() {
        assert!(zone.place(job, w));
        zone.lose(w);
    }
    zone.incarnations[1] += 1;
    let spec = zone.spec_of(1, CAPACITY);
    zone.apply(ZoneCommand::Register { spec, at: zone.now });
    assert!(!zone.place(job, 1), "two crashes and two silent workers");
    let first = zone.incarnations[2];
    zone.incarnations[2] += 1;
    let spec = zone.spec_of(2, CAPACITY);
    zone.apply(ZoneCommand::RegisterAgain { spec, first, at: zone.now });
    assert!(zone.place(job, 2), "two crashes and one silent worker");
}
