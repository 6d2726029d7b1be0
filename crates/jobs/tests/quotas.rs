//! Quotas of client accounts in the replicated state.

use accounts::{AccountBuilder, Accounts, KeyDigest};
use jobs::{
    Command, Configuration, CrashedRun, Effect, End, EndKind, JobRequest, LifeId, Placement,
    QueueAddress, QueuePolicy, Reply, ResourceVector, State, StepRef, StepSpec, TaskRef,
    WorkerInfo,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use std::time::Duration;

const WORKERS: u64 = 3;
/// Names of the accounts, which are their keys too.
const NAMES: [&str; 2] = ["a", "b"];

fn amount(cpu: u64, memory: u64) -> ResourceVector {
    ResourceVector { cpu, memory, gpu: 0 }
}

fn queue() -> QueueAddress {
    QueueAddress { host: "a.example".into(), prefix: "/".into() }
}

fn configuration(version: u64, quotas: &[(&str, ResourceVector)]) -> Command {
    let account = |(name, quota): &(&str, ResourceVector)| {
        AccountBuilder::new(*name).key(name).quota(*quota).build()
    };
    let policy = QueuePolicy { service: "crunch".into(), attempts: 9, ..QueuePolicy::default() };
    let configuration = Configuration {
        version,
        queues: vec![(queue(), policy)],
        accounts: Accounts::new(quotas.iter().map(account).collect()).unwrap(),
        ..Configuration::default()
    };
    Command::Configure { configuration: Box::new(configuration) }
}

fn step(count: u32, need: ResourceVector, gang: bool) -> StepSpec {
    StepSpec { count, need, gang, ..StepSpec::default() }
}

fn submit(id: u64, account: &str, steps: Vec<StepSpec>) -> Command {
    let request = Box::new(JobRequest { steps, ..JobRequest::default() });
    let (at, key) = (Duration::from_secs(1), Some(KeyDigest::of(account)));
    Command::Submit { id, queue: queue(), request, at, key, room: None }
}

fn cancel(id: u64, account: &str, at: Duration) -> Command {
    Command::Cancel { id, key: Some(KeyDigest::of(account)), at, queue: Some(queue()) }
}

fn worker(i: u64, born: u64) -> Command {
    let info = WorkerInfo {
        worker: format!("w{i}"),
        born,
        service: "crunch".into(),
        addr: format!("10.0.0.{i}:80"),
        capacity: amount(100, 1_000),
        ..WorkerInfo::default()
    };
    Command::UpdateWorker { info }
}

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { step: StepRef { job, occurrence: 0, step: 0 }, index }
}

fn place(job: u64, tasks: Vec<(u32, LifeId)>) -> Command {
    Command::Place { placements: vec![Placement { step: task(job, 0).step, tasks }] }
}

/// Places the tasks of a job and returns how many were placed.
fn placed(state: &mut State, job: u64, tasks: Vec<(u32, LifeId)>) -> usize {
    let (_, effects) = state.apply(place(job, tasks));
    effects.iter().filter(|effect| matches!(effect, Effect::Placed { .. })).count()
}

/// A state with workers and with one job of account `a` that needs `need` for each of 6 tasks.
fn state(quota: ResourceVector, need: ResourceVector, gang: bool) -> State {
    let mut state = State::default();
    state.apply(configuration(1, &[("a", quota)]));
    (0..WORKERS).for_each(|i| drop(state.apply(worker(i, 1))));
    state.apply(submit(1, "a", vec![step(6, need, gang)]));
    state
}

fn six(life: LifeId) -> Vec<(u32, LifeId)> {
    (0..6).map(|index| (index, life)).collect()
}

fn ended(life: LifeId, number: u64, task: TaskRef, kind: EndKind) -> Command {
    let end = End { number, task, run: 1, kind, saved: None };
    Command::Ended { life, ends: vec![end], at: Duration::from_secs(2) }
}

#[test]
fn cores_and_memory_are_placed_up_to_the_quota_exactly() {
    assert_eq!(placed(&mut state(amount(30, 0), amount(10, 10), false), 1, six(1)), 3);
    assert_eq!(placed(&mut state(amount(39, 0), amount(10, 10), false), 1, six(1)), 3);
    assert_eq!(placed(&mut state(amount(0, 25), amount(10, 10), false), 1, six(1)), 2);
    assert_eq!(placed(&mut state(amount(0, 0), amount(10, 10), false), 1, six(1)), 6);
}

#[test]
fn an_end_makes_room() {
    let mut state = state(amount(30, 0), amount(10, 10), false);
    assert_eq!(placed(&mut state, 1, six(1)), 3);
    assert_eq!(placed(&mut state, 1, six(2)), 0);
    state.apply(ended(1, 1, task(1, 0), EndKind::Done));
    assert_eq!(placed(&mut state, 1, six(2)), 1);
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let mut state = state(amount(60, 0), amount(10, 10), true);
    state.apply(submit(2, "a", vec![step(2, amount(10, 10), false)]));
    assert_eq!(placed(&mut state, 2, vec![(0, 2)]), 1);
    assert_eq!(placed(&mut state, 1, six(1)), 0, "only 5 fit");
    state.apply(ended(2, 1, task(2, 0), EndKind::Done));
    assert_eq!(placed(&mut state, 1, six(1)), 6);
}

#[test]
fn tasks_that_fill_count_with_what_is_reserved_for_them() {
    let mut state = state(amount(10, 25), amount(10, 10), false);
    let fills = StepSpec { fills: true, ..step(6, amount(10, 10), false) };
    state.apply(submit(2, "a", vec![fills]));
    assert_eq!(placed(&mut state, 2, six(1)), 2, "memory counts, cores are not reserved");
    assert_eq!(state.usage().of("a"), amount(0, 20));
}

#[test]
fn a_quota_that_falls_stops_nothing_and_starts_nothing_until_there_is_room() {
    let mut state = state(amount(30, 0), amount(10, 10), false);
    assert_eq!(placed(&mut state, 1, six(1)), 3);
    let (_, effects) = state.apply(configuration(2, &[("a", amount(20, 0))]));
    assert_eq!(effects, [Effect::Configured]);
    state.apply(ended(1, 1, task(1, 0), EndKind::Done));
    assert_eq!(placed(&mut state, 1, six(2)), 0);
    state.apply(ended(1, 2, task(1, 1), EndKind::Done));
    assert_eq!(placed(&mut state, 1, six(2)), 1);
}

#[test]
fn a_run_that_is_being_stopped_counts_until_it_is_settled() {
    let mut state = state(amount(30, 0), amount(10, 10), false);
    assert_eq!(placed(&mut state, 1, six(1)), 3);
    let at = Duration::from_secs(2);
    state.apply(cancel(1, "a", at));
    state.apply(Command::TrimJobs { before: Duration::from_secs(9) });
    state.apply(submit(2, "a", vec![step(6, amount(10, 10), false)]));
    assert_eq!(placed(&mut state, 2, six(2)), 0);
    state.apply(ended(1, 1, task(1, 0), EndKind::Stopped));
    state.apply(Command::Lost { life: 1, runs: vec![(task(1, 1), 1)] });
    assert_eq!(placed(&mut state, 2, six(2)), 2);
    state.apply(Command::LifeOver { life: 1 });
    state.apply(Command::TrimJobs { before: Duration::from_secs(9) });
    assert!(state.job(1).is_none(), "trimmed once its runs are settled");
    assert_eq!(placed(&mut state, 2, six(2)), 1);
}

#[test]
fn a_start_in_doubt_counts_until_it_is_resolved() {
    let mut state = state(amount(30, 0), amount(10, 10), false);
    assert_eq!(placed(&mut state, 1, six(1)), 3);
    let at = Duration::from_secs(3);
    state.apply(cancel(1, "a", at));
    let held = |at| Command::StartsInDoubt {
        worker: "w0".into(),
        tasks: vec![task(1, 0), task(1, 1)],
        at: Duration::from_secs(at),
    };
    state.apply(held(3));
    state.apply(Command::LifeOver { life: 1 });
    state.apply(held(4));
    assert_eq!(state.usage().of("a"), amount(20, 20), "each task once");
    state.apply(submit(2, "a", vec![step(6, amount(10, 10), false)]));
    assert_eq!(placed(&mut state, 2, six(2)), 1);
    let resolved = |upto| Command::StartsResolved { worker: "w0".into(), upto };
    state.apply(resolved(Duration::from_secs(4)));
    assert_eq!(placed(&mut state, 2, six(2)), 2);
}

#[test]
fn a_step_that_never_fits_is_refused() {
    let refused = |steps| {
        let mut state = state(amount(30, 0), amount(10, 10), false);
        let (reply, effects) = state.apply(submit(2, "a", steps));
        let step = match reply {
            Reply::BeyondQuota(step) => step,
            Reply::Done => return None,
            other => panic!("{other:?}"),
        };
        assert_eq!(effects, [Effect::BeyondQuota { job: 2, step, account: "a".into() }]);
        assert!(state.job(2).is_none());
        Some(step)
    };
    let (fits, gang) = (step(9, amount(10, 10), false), step(4, amount(10, 10), true));
    assert_eq!(refused(vec![fits.clone()]), None, "it goes in waves");
    assert_eq!(refused(vec![fits.clone(), gang]), Some(1));
    assert_eq!(refused(vec![fits, step(3, amount(10, 900), true)]), None, "no limit on memory");
    assert_eq!(refused(vec![step(1, amount(31, 1), false)]), Some(0), "not even one task fits");
}

#[test]
fn jobs_of_an_account_that_is_no_longer_configured_keep_its_last_quota() {
    let mut state = state(amount(30, 0), amount(10, 10), false);
    state.apply(configuration(2, &[("b", amount(50, 0))]));
    assert_eq!(placed(&mut state, 1, six(1)), 3);
    state.apply(configuration(3, &[("b", amount(50, 0))]));
    assert_eq!(placed(&mut state, 1, six(2)), 0, "also after a further change");
    state.apply(configuration(4, &[("a", amount(40, 0))]));
    assert_eq!(placed(&mut state, 1, six(2)), 1);
}

/// A command with numbers from small ranges, most of which meet something.
#[derive(Clone, Debug)]
struct AnyCommand(Command);

impl Arbitrary for AnyCommand {
    fn arbitrary(g: &mut Gen) -> AnyCommand {
        let mut any = |n: u64| u64::arbitrary(g) % n;
        let (job, life, at) = (any(12), any(14), Duration::from_secs(any(40)));
        let run = |n: u64| 1 + (n % 3) as u32;
        let tasks = |n: u64| (0..4).map(|i| task(job, (n as u32 + i) % 6)).collect::<Vec<_>>();
        let command = match any(20) {
            0 => {
                let quotas = NAMES.map(|name| (name, amount(any(8) * 10, any(8) * 10)));
                let kept = 2 - usize::from(any(4) == 0);
                configuration(any(60), &quotas[..kept])
            }
            1..=4 => {
                let need = amount(1 + any(15), 1 + any(15));
                submit(job, NAMES[(job % 2) as usize], vec![step(6, need, any(3) == 0)])
            }
            5..=10 => {
                let lives: Vec<(u32, LifeId)> = (0..6).map(|i| (i, 1 + any(14))).collect();
                place(job, lives)
            }
            11 => worker(any(WORKERS), any(20)),
            12..=14 => {
                let kinds = [EndKind::Done, EndKind::Failed, EndKind::Lapsed];
                let kind = kinds[any(3) as usize];
                let (number, index, run) = (any(30), any(6) as u32, run(any(3)));
                let end = End { number, task: task(job, index), run, kind, saved: None };
                Command::Ended { life, ends: vec![end], at }
            }
            15 => {
                let runs = tasks(any(6)).into_iter().map(|task| (task, run(any(3)))).collect();
                Command::Lost { life, runs }
            }
            16 => cancel(job, NAMES[(job % 2) as usize], at),
            17 => {
                let runs = tasks(any(6)).into_iter();
                let crashed =
                    |task| CrashedRun { task, run: 1, started: true, suspect: true, sure: false };
                match any(2) {
                    0 => Command::LifeOver { life },
                    _ => Command::WorkerCrashed { life, runs: runs.map(crashed).collect(), at },
                }
            }
            18 => {
                let worker = format!("w{}", any(WORKERS));
                match any(2) {
                    0 => Command::StartsInDoubt { worker, tasks: tasks(any(6)), at },
                    _ => Command::StartsResolved { worker, upto: at },
                }
            }
            _ => Command::TrimJobs { before: at },
        };
        AnyCommand(command)
    }
}

/// What the runs of an account use, counted from the lives.
fn running(state: &State, account: &str) -> ResourceVector {
    let of_account = |job: u64| {
        state.job(job).expect("jobs are kept while they run").account.as_deref() == Some(account)
    };
    let runs = state.lives().flat_map(|life| &life.runs);
    let runs = runs.filter(|run| of_account(run.task.step.job));
    runs.fold(ResourceVector::default(), |sum, run| sum.plus(&run.need))
}

/// Whether what is used is more than the quota, which may be 0 for no limit, and than before.
fn passes(used: ResourceVector, quota: ResourceVector, before: ResourceVector) -> bool {
    let over = |used: u64, quota: u64, before: u64| quota > 0 && used > quota.max(before);
    over(used.cpu, quota.cpu, before.cpu) || over(used.memory, quota.memory, before.memory)
}

/// What is wrong with the state after a command, if anything.
fn wrong(state: &State, before: &[ResourceVector; 2]) -> Option<String> {
    for (name, before) in NAMES.into_iter().zip(before) {
        let (used, counted) = (running(state, name), state.usage().of(name));
        let quota = state.configuration().accounts.get(name).map(|account| account.quota);
        if quota.is_some_and(|quota| passes(used, quota, *before)) {
            return Some(format!("{name} has {used:?} of {quota:?}"));
        }
        if !used.fits_in(&counted) {
            return Some(format!("{name} has {used:?}, counted are {counted:?}"));
        }
    }
    let decoded = State::decode(&state.encode());
    (decoded.as_ref() != Ok(state)).then(|| format!("{decoded:?} is not {state:?}"))
}

/// Whatever commands come, a placement brings no account above its quota, and all use is counted,
/// also after a snapshot.
#[test]
fn no_placement_passes_a_quota() {
    fn holds(commands: Vec<AnyCommand>) -> TestResult {
        let mut state = State::default();
        state.apply(configuration(1, &[("a", amount(30, 40)), ("b", amount(40, 30))]));
        (0..WORKERS).for_each(|i| drop(state.apply(worker(i, 1))));
        for AnyCommand(command) in commands {
            let before = NAMES.map(|name| running(&state, name));
            state.apply(command);
            if let Some(cause) = wrong(&state, &before) {
                return TestResult::error(cause);
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::new(200))
        .tests(400)
        .quickcheck(holds as fn(Vec<AnyCommand>) -> TestResult);
}
