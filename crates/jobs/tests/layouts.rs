//! Snapshots and log entries that earlier releases have written: the one before client accounts, and
//! the one before cancelled ids were kept.
//!
//! The bytes in `data/0e15dd7` come from that release: each command of [`commands`], and its state
//! after all commands and after those before the first with crash records.

use accounts::{AccountBuilder, Accounts, KeyDigest};
use jobs::{
    AdvicePolicy, Command, Configuration, CrashedRun, End, EndKind, JobRequest, Phase, Placement,
    QueueAddress, QueuePolicy, RequestLimits, ResourceVector, Schedule, ServicePolicy, State,
    StepRef, StepSpec, TaskRef, WorkerInfo,
};
use std::time::Duration;

const COMMANDS: &str = include_str!("data/0e15dd7/commands.hex");
const STATE: &str = include_str!("data/0e15dd7/state.hex");
const STATE_WITHOUT_CRASHES: &str = include_str!("data/0e15dd7/state-without-crashes.hex");
/// Commands of the release before cancelled ids were kept, and its state after them.
const COMMANDS_OF_LAYOUT_2: &str = include_str!("data/9123e58/commands.hex");
const STATE_OF_LAYOUT_2: &str = include_str!("data/9123e58/state.hex");
/// Number of commands before the first one that adds crash records.
const COMMANDS_WITHOUT_CRASHES: usize = 18;
/// Length of the part of the state that still earlier releases lack, if it is empty.
const CRASH_RECORDS: usize = 2;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.trim().as_bytes().chunks(2);
    let byte = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16);
    digits.map(|digits| byte(digits).unwrap()).collect()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn task(job: u64, occurrence: u32, step: u16, index: u32) -> TaskRef {
    TaskRef { step: StepRef { job, occurrence, step }, index }
}

fn address(prefix: &str) -> QueueAddress {
    QueueAddress { host: "a.example".into(), prefix: prefix.into() }
}

fn policy(name: &str, advice: Option<AdvicePolicy>) -> QueuePolicy {
    QueuePolicy {
        name: name.into(),
        service: "crunch".into(),
        priority: 1,
        attempts: 3,
        stretch: 2.5,
        slack: ms(1_000),
        request_timeout: ms(3_000),
        advice,
        open: false,
    }
}

fn configure(version: u64, queues: Vec<(QueueAddress, QueuePolicy)>) -> Command {
    let service = ServicePolicy { name: "crunch".into(), rejects_overload: true, spare: false };
    let limits = RequestLimits { body: 4096, head_timeout: ms(2_000), idle_timeout: ms(9_000) };
    let configuration = Configuration {
        version,
        queues,
        services: vec![service],
        limits,
        document: b"text".to_vec(),
        ..Configuration::default()
    };
    Command::Configure { configuration: Box::new(configuration) }
}

fn step(count: u32, gang: bool) -> StepSpec {
    StepSpec {
        count,
        need: ResourceVector { cpu: 1_500, memory: 200, gpu: 0 },
        estimate: ms(700),
        gang,
        ..StepSpec::default()
    }
}

fn submit(id: u64, prefix: &str, request: &JobRequest, at: u64) -> Command {
    let (queue, request) = (address(prefix), Box::new(request.clone()));
    Command::Submit { id, queue, request, at: ms(at), key: None, room: None }
}

fn worker(n: u64, draining: bool) -> Command {
    let info = WorkerInfo {
        worker: format!("w{n}"),
        born: 100 + n,
        service: "crunch".into(),
        addr: format!("10.0.0.{n}:80"),
        zone: "z1".into(),
        capacity: ResourceVector { cpu: 8_000, memory: 4_000, gpu: 1 },
        labels: vec!["big".into(), "r1".into()],
        draining,
    };
    Command::UpdateWorker { info }
}

fn commands() -> Vec<Command> {
    let advice = AdvicePolicy { per_call: ms(10), per_worker: ms(2), ticket_life: ms(900) };
    let plain = (address("/p/"), policy("plain", None));
    let advised = (address("/q/"), policy("advised", Some(advice)));
    let gang = StepSpec {
        after: vec![0],
        required_label: Some("big".into()),
        data_rack: Some("r1".into()),
        ..step(2, true)
    };
    let first =
        JobRequest { spec: "first".into(), steps: vec![step(2, false), gang], schedule: None };
    let fills = StepSpec {
        fills: true,
        target: Some(ms(30)),
        image: "im".into(),
        max_unavailable: 1,
        ..step(3, false)
    };
    let schedule = Some(Schedule { times: 4, first: ms(5_000), interval: ms(2_000) });
    let timed = JobRequest { spec: "timed".into(), steps: vec![fills], schedule };
    let place = |of: TaskRef, tasks| Placement { step: of.step, tasks };
    let placements = vec![
        place(task(7, 0, 0, 0), vec![(0, 1), (1, 2)]),
        place(task(8, 0, 0, 0), vec![(0, 1), (2, 2)]),
    ];
    let end = |number, task, kind, saved| End { number, task, run: 1, kind, saved };
    let ends = vec![
        end(1, task(7, 0, 0, 0), EndKind::Done, None),
        end(2, task(8, 0, 0, 0), EndKind::Stopped, Some("half".into())),
    ];
    let held = task(7, 0, 0, 1);
    let crashed = CrashedRun { task: held, run: 1, started: true, suspect: true, sure: true };
    vec![
        configure(3, vec![plain.clone(), advised]),
        submit(7, "/p/", &first, 1_000),
        submit(8, "/q/", &timed, 1_100),
        submit(9, "/p/", &first, 1_200),
        Command::OpenOccurrences { id: 8, upto: 2 },
        worker(1, false),
        worker(2, false),
        worker(3, true),
        worker(4, false),
        Command::Place { placements },
        Command::Ended { life: 1, ends, at: ms(1_500) },
        Command::Lost { life: 2, runs: vec![(task(8, 0, 0, 2), 1)] },
        Command::Cancel { id: 9, key: None, at: ms(1_600), queue: None },
        Command::StartsInDoubt { worker: "w5".into(), tasks: vec![held], at: ms(1_650) },
        Command::StartsResolved { worker: "w6".into(), upto: ms(1_640) },
        configure(4, vec![plain]),
        Command::TrimJobs { before: ms(1) },
        Command::LifeOver { life: 3 },
        Command::WorkerSilent { life: 2, tasks: vec![(held, 1)] },
        Command::WorkerAnswered { life: 4 },
        Command::WorkerCrashed { life: 4, runs: vec![crashed], at: ms(1_700) },
    ]
}

fn state_after(commands: &[Command]) -> State {
    let mut state = State::default();
    for command in commands {
        state.apply(command.clone());
    }
    state
}

#[test]
fn log_entries_of_the_earlier_release_are_read() {
    let earlier: Vec<Command> =
        COMMANDS.lines().map(|line| Command::decode(&bytes(line)).unwrap()).collect();
    assert_eq!(earlier, commands());
}

#[test]
fn snapshots_of_the_earlier_release_are_read() {
    assert_eq!(State::decode(&bytes(STATE)).unwrap(), state_after(&commands()));
    let before_crashes = state_after(&commands()[..COMMANDS_WITHOUT_CRASHES]);
    let data = bytes(STATE_WITHOUT_CRASHES);
    assert_eq!(State::decode(&data).unwrap(), before_crashes);
    let lacking = &data[..data.len() - CRASH_RECORDS];
    assert_eq!(State::decode(lacking).unwrap(), before_crashes, "a still earlier release");
}

#[test]
fn what_this_release_writes_is_read_and_is_none_of_the_earlier_layout() {
    for (i, command) in commands().iter().enumerate() {
        assert_eq!(Command::decode(&command.encode()).as_ref(), Ok(command));
        assert!(command.encode()[0] >= 0x80, "earlier entries begin with a lower byte");
        let state = state_after(&commands()[..=i]);
        assert_eq!(State::decode(&state.encode()).as_ref(), Ok(&state));
    }
    let earlier_number: Result<u64, _> = postcard::from_bytes(&State::default().encode());
    assert!(earlier_number.is_err(), "earlier snapshots begin with a number");
}

#[test]
fn a_later_layout_is_refused_with_its_version() {
    let mut data = Command::LifeOver { life: 1 }.encode();
    data[0] = 0x80 | 9;
    let cause = Command::decode(&data).unwrap_err().to_string();
    assert_eq!(cause, "log entry: layout 9 is not known to this release");
    let mut data = State::default().encode();
    data[10] = 9;
    let cause = State::decode(&data).unwrap_err().to_string();
    assert_eq!(cause, "snapshot: layout 9 is not known to this release");
    assert!(State::decode(&data[..10]).is_err());
}

/// The commands that the release before cancelled ids were kept has written.
fn commands_of_layout_2() -> Vec<Command> {
    let account = AccountBuilder::new("river-board").key("s3cret").weight(4.0).build();
    let policy = QueuePolicy {
        name: "plain".into(),
        service: "crunch".into(),
        attempts: 3,
        ..QueuePolicy::default()
    };
    let configuration = Box::new(Configuration {
        version: 3,
        queues: vec![(address("/p/"), policy)],
        accounts: Accounts::new(vec![account]).unwrap(),
        ..Configuration::default()
    });
    let key = Some(KeyDigest::of("s3cret"));
    let submit = |id: u64| {
        let step = StepSpec { count: 2, ..StepSpec::default() };
        let request = JobRequest { spec: "text".into(), steps: vec![step], schedule: None };
        let (queue, request) = (address("/p/"), Box::new(request));
        Command::Submit { id, queue, request, at: ms(1_000 + id), key, room: None }
    };
    vec![
        Command::Configure { configuration },
        submit(7),
        submit(8),
        Command::Cancel { id: 8, key, at: ms(1_600), queue: None },
        Command::Cancel { id: 9, key, at: ms(1_700), queue: None },
        Command::StartsResolved { worker: "w6".into(), upto: ms(1_640) },
    ]
}

#[test]
fn log_entries_and_snapshots_of_layout_2_are_read() {
    let entries = COMMANDS_OF_LAYOUT_2.lines();
    let earlier: Vec<Command> =
        entries.map(|line| Command::decode(&bytes(line)).unwrap()).collect();
    assert_eq!(earlier, commands_of_layout_2());
    let state = State::decode(&bytes(STATE_OF_LAYOUT_2)).unwrap();
    assert_eq!(state, state_after(&commands_of_layout_2()));
    assert_eq!(state.job(8).unwrap().phase, Phase::Cancelled);
    assert_eq!(State::decode(&state.encode()), Ok(state), "in the layout of this release");
}
