//! The tasks of a step against a plain model with a record of each task.

use jobs::{
    sizes, Command, Configuration, End, EndKind, Job, JobRequest, Occurrence, Placement, Progress,
    QueueAddress, QueuePolicy, Reply, ResourceVector, Schedule, State, StepRef, StepSpec,
    StepState, Task, TaskRef, WorkerInfo,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const TASKS: u32 = 12;
const JOB: u64 = 7;

fn step_ref() -> StepRef {
    StepRef { job: JOB, occurrence: 0, step: 0 }
}

fn submit(id: u64, request: JobRequest, room: Option<u64>) -> Command {
    let (queue, at) = (QueueAddress::default(), Duration::from_secs(1));
    Command::Submit { id, queue, request: Box::new(request), at, key: None, room }
}

fn steps(steps: usize, count: u32) -> JobRequest {
    let step = StepSpec { count, ..StepSpec::default() };
    JobRequest { steps: vec![step; steps], ..JobRequest::default() }
}

/// A state with one queue.
fn state() -> State {
    let policy = QueuePolicy { service: "s".into(), attempts: 1_000, ..QueuePolicy::default() };
    let queues = vec![(QueueAddress::default(), policy)];
    let configuration = Configuration { version: 1, queues, ..Configuration::default() };
    let mut state = State::default();
    state.apply(Command::Configure { configuration: Box::new(configuration) });
    state
}

fn worker(born: u64) -> Command {
    let capacity = ResourceVector { cpu: 1_000, memory: 1_000, gpu: 0 };
    let info = WorkerInfo {
        worker: "w".into(),
        service: "s".into(),
        addr: "10.0.0.1:80".into(),
        born,
        capacity,
        ..WorkerInfo::default()
    };
    Command::UpdateWorker { info }
}

#[derive(Clone, Debug)]
enum Action {
    Place(u32),
    End(u32, EndKind, bool),
    /// The worker starts again, and its runs are given back.
    Restart,
    Snapshot,
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Action {
        let index = u32::arbitrary(g) % (TASKS + 1);
        match u8::arbitrary(g) % 16 {
            0..6 => Action::Place(index),
            6..10 => Action::End(index, EndKind::Done, false),
            10..12 => Action::End(index, EndKind::Failed, bool::arbitrary(g)),
            12..14 => Action::End(index, EndKind::Stopped, bool::arbitrary(g)),
            14 => Action::Restart,
            _ => Action::Snapshot,
        }
    }
}

/// The plain model: progress, run, failures and checkpoint of each task.
type Model = Vec<(Progress, u32, u32, Option<String>)>;

fn agrees_with(state: &State, model: &Model) -> bool {
    let job = state.job(JOB).unwrap();
    let Some(step) = job.step(step_ref()) else {
        return model.iter().all(|task| task.0 == Progress::Done);
    };
    let tasks = &step.tasks;
    let known = |i: u32| tasks.touched(i).map(|t| (t.progress, t.run, t.failures, t.saved.clone()));
    let each = (0..TASKS).zip(model).all(|(i, expected)| {
        tasks.progress(i) == Some(expected.0)
            && match known(i) {
                Some(task) => task == *expected,
                None => {
                    expected.0 == Progress::Done || *expected == (Progress::Waiting, 0, 0, None)
                }
            }
    });
    let is = |of: Progress| (0..).zip(model).filter(move |(_, t)| t.0 == of).map(|(i, _)| i);
    let waiting: Vec<u32> = is(Progress::Waiting).collect();
    each && tasks.progress(TASKS).is_none()
        && tasks.waiting().collect::<Vec<u32>>() == waiting
        && tasks.waiting_count() as usize == waiting.len()
        && tasks.done() as usize == is(Progress::Done).count()
        && tasks.count() == tasks.done() + tasks.placed() + tasks.waiting_count()
        // The size counted as commands are applied is that of a state that was just decoded.
        && State::decode(&state.encode()).unwrap() == *state
}

#[test]
fn tasks_agree_with_a_model() {
    fn agrees(actions: Vec<Action>) -> bool {
        let mut state = state();
        state.apply(submit(JOB, steps(1, TASKS), None));
        state.apply(worker(1));
        let (mut born, mut life, mut number) = (1, 1, 0);
        let mut model: Model = vec![(Progress::Waiting, 0, 0, None); TASKS as usize];
        actions.into_iter().all(|action| {
            match action {
                Action::Place(index) => {
                    let tasks = vec![(index, life)];
                    let placements = vec![Placement { step: step_ref(), tasks }];
                    state.apply(Command::Place { placements });
                    let task = model.get_mut(index as usize);
                    if let Some(task) = task.filter(|task| task.0 == Progress::Waiting) {
                        (task.0, task.1) = (Progress::Placed(life), task.1 + 1);
                    }
                }
                Action::End(index, kind, saves) => {
                    number += 1;
                    let run = model.get(index as usize).map_or(1, |task| task.1);
                    let saved = saves.then(|| "x".repeat(number as usize));
                    let task = TaskRef { step: step_ref(), index };
                    let end = End { number, task, run, kind, saved: saved.clone() };
                    let at = Duration::from_secs(2);
                    state.apply(Command::Ended { life, ends: vec![end], at });
                    let Some(task) = model.get_mut(index as usize) else { return true };
                    if kind == EndKind::Done {
                        // What a run has completed counts, also if it was given up before.
                        *task = (Progress::Done, task.1, task.2, None);
                    } else if task.0 == Progress::Placed(life) {
                        task.0 = Progress::Waiting;
                        task.2 += u32::from(kind == EndKind::Failed);
                        task.3 = saved.or(task.3.take());
                    }
                }
                Action::Restart => {
                    born += 1;
                    state.apply(worker(born));
                    (life, number) = (life + 1, 0);
                    let placed = |task: &&mut (Progress, u32, u32, Option<String>)| {
                        matches!(task.0, Progress::Placed(_))
                    };
                    model.iter_mut().filter(placed).for_each(|task| task.0 = Progress::Waiting);
                }
                Action::Snapshot => state = State::decode(&state.encode()).unwrap(),
            }
            agrees_with(&state, &model)
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(agrees as fn(Vec<Action>) -> bool);
}

/// Guards against jobs whose tasks take memory before any has started: the largest job that is
/// accepted was 123 MB in each member and its snapshots (review/12).
#[test]
fn a_task_that_was_not_touched_takes_no_memory() {
    let mut state = state();
    let largest = steps(jobs::MAX_STEPS, jobs::MAX_TASKS_PER_STEP);
    assert_eq!(state.apply(submit(JOB, largest.clone(), None)).0, Reply::Done);
    let (stored, snapshot) = (state.stored_bytes(), state.encode().len());
    assert!(stored < 200 << 10, "{stored} bytes");
    assert!(snapshot < 64 << 10, "{snapshot} bytes in a snapshot");
    let narrow = steps(jobs::MAX_STEPS, 1);
    assert_eq!(state.apply(submit(JOB + 1, narrow, None)).0, Reply::Done);
    assert_eq!(state.stored_bytes(), 2 * stored, "as much as with one task in each step");
}

/// Guards against jobs that fill the memory of all members for good: what has no room is refused,
/// by each member alike.
#[test]
fn jobs_are_accepted_as_long_as_there_is_room() {
    const ROOM: u64 = 1 << 20;
    let mut state = state();
    let accepted = |state: &mut State| {
        let replies = (0..1_000).map(|id| state.apply(submit(id, steps(16, 10_000), Some(ROOM))).0);
        let replies: Vec<Reply> = replies.collect();
        assert!(replies.iter().all(|reply| matches!(reply, Reply::Done | Reply::NoRoom { .. })));
        replies.iter().filter(|reply| **reply == Reply::Done).count()
    };
    let first = accepted(&mut state);
    assert!((10..1_000).contains(&first), "{first} jobs are accepted");
    assert!(state.stored_bytes() <= ROOM as usize);
    let mut state = State::decode(&state.encode()).unwrap();
    assert_eq!(accepted(&mut state), first, "the same ids, which are known, and no more");
    let cancel =
        Command::Cancel { id: 0, key: None, at: Duration::ZERO, queue: Some(Default::default()) };
    assert_eq!(state.apply(cancel).0, Reply::Done);
    let smaller = submit(5_000, steps(12, 10_000), Some(ROOM));
    assert_eq!(state.apply(smaller).0, Reply::Done, "a cancelled job makes room");
    let huge = submit(5_001, steps(200, 1), Some(10_000));
    assert!(matches!(state.apply(huge).0, Reply::TooLarge { room: 10_000, .. }));
}

/// Guards against a run that is given back though its worker is up: it was placed while the end of its
/// life, which had no runs, was on its way through the log.
#[test]
fn a_life_that_was_idle_keeps_what_was_placed_meanwhile() {
    let mut state = state();
    state.apply(worker(1));
    state.apply(submit(JOB, steps(1, 1), None));
    let placements = vec![Placement { step: step_ref(), tasks: vec![(0, 1)] }];
    state.apply(Command::Place { placements });
    state.apply(Command::IdleLifeOver { life: 1 });
    assert_eq!(state.life(1).map(|life| life.runs.len()), Some(1));
    state.apply(worker(2));
    state.apply(Command::IdleLifeOver { life: 2 });
    assert_eq!(state.lives().count(), 0);
}

/// Guards against a schedule whose many overdue times fill the memory, or keep all members busy with
/// one command.
#[test]
fn overdue_times_are_opened_a_few_at_a_time_and_as_long_as_there_is_room() {
    let mut state = state();
    let schedule = Schedule { times: 80_000, first: Duration::ZERO, interval: Duration::ZERO };
    let request = JobRequest { schedule: Some(schedule), ..steps(1, 1) };
    state.apply(submit(JOB, request, None));
    let room = state.stored_bytes() + (100 << 10);
    let mut commands = 0;
    loop {
        let job = state.job(JOB).unwrap();
        let (opened, upto) = (job.opened, state.openable(job, 80_000, room));
        if upto == opened {
            break;
        }
        assert!(upto - opened <= 64, "{} are opened by one command", upto - opened);
        state.apply(Command::OpenOccurrences { id: JOB, upto });
        commands += 1;
    }
    let opened = state.job(JOB).unwrap().opened;
    assert!(commands > 2 && state.stored_bytes() <= room, "{opened} are open");
    let full = state.stored_bytes();
    let least = submit(JOB + 1, JobRequest { schedule: Some(schedule), ..steps(1, 1) }, None);
    state.apply(least);
    let job = state.job(JOB + 1).unwrap();
    assert_eq!(state.openable(job, 80_000, full), 1, "one has room in any case");
}

/// Guards against jobs that take more than they are counted for. The sizes themselves are part of what
/// members agree on: a change needs a new layout of log entries.
#[test]
fn no_type_is_larger_than_it_is_counted() {
    let pointer = size_of::<(u64, Box<Job>)>();
    let counted = [
        (pointer + size_of::<Job>(), sizes::JOB, 176),
        (size_of::<JobRequest>(), sizes::REQUEST, 88),
        (size_of::<StepSpec>(), sizes::STEP_SPEC, 192),
        (size_of::<u16>(), sizes::DEPENDENCY, 2),
        (size_of::<(u32, Occurrence)>(), sizes::OCCURRENCE, 32),
        (size_of::<StepState>(), sizes::STEP, 80),
        (size_of::<(u32, u32)>(), sizes::RANGE, 8),
        (size_of::<(u32, Task)>(), sizes::TASK, 56),
        (size_of::<((u64, u32), Duration)>(), sizes::WITHDRAWN_ID, 32),
        (size_of::<(String, u32)>() + size_of::<Vec<u8>>(), sizes::WITHDRAWN_HOLDER, 56),
    ];
    for (i, (size, counted, agreed)) in counted.into_iter().enumerate() {
        assert!(size <= counted, "line {i}: {size} bytes are counted as {counted}");
        assert_eq!(counted, agreed, "line {i}");
    }
}
