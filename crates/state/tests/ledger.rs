//! Random commands against a zone's state and a plain model of what must be so after each.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use state::{
    InjectedBug, Owner, Placement, RecordAnswer, Reply, RunEnd, StoredOutcome, WorkerSpec,
    ZoneCommand, ZoneState,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use types::{JobClass, JobSpec, Resources, TaskOutcome};

const WORKERS: u64 = 3;
const JOBS: u64 = 5;
const COMMANDS: usize = 120;

#[derive(Clone, Debug)]
enum Op {
    Register { worker: u64, newer: bool },
    Lose { worker: u64 },
    Submit { job: u64, class: u8, tasks: u32 },
    Cancel { job: u64 },
    Place { job: u64, workers: Vec<u64>, stale: bool },
    End { pick: usize, outcome: u8, by_other: bool },
    Stop { pick: usize },
    Begin { key: u64, owner: u64 },
    Finish { key: u64, owner: u64, ran: bool },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let n = |g: &mut Gen, below: u64| u64::arbitrary(g) % below;
        let pick = usize::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=2 => Op::Register { worker: n(g, WORKERS), newer: bool::arbitrary(g) },
            3 => Op::Lose { worker: n(g, WORKERS) },
            4..=6 => {
                Op::Submit { job: n(g, JOBS), class: u8::arbitrary(g), tasks: 1 + n(g, 4) as u32 }
            }
            7 => Op::Cancel { job: n(g, JOBS) },
            8..=12 => {
                let count = 1 + n(g, 4);
                let workers = (0..count).map(|_| n(g, WORKERS)).collect();
                Op::Place { job: 1 + n(g, JOBS), workers, stale: n(g, 8) == 0 }
            }
            13..=15 => Op::End { pick, outcome: u8::arbitrary(g), by_other: n(g, 10) == 0 },
            16 => Op::Stop { pick },
            17..=18 => Op::Begin { key: n(g, 4), owner: n(g, 3) },
            _ => Op::Finish { key: n(g, 4), owner: n(g, 3), ran: bool::arbitrary(g) },
        }
    }
}

fn capacity() -> Resources {
    Resources { cpu: 4_000, memory: 4 << 30, accelerators: 1 }
}

fn spec(job: u64, class: u8, tasks: u32) -> JobSpec {
    let class = match class % 4 {
        0 => JobClass::Service,
        1 => JobClass::AllAtOnce,
        _ => JobClass::Batch,
    };
    JobSpec {
        team: "t".into(),
        name: format!("j{job}"),
        class,
        tasks,
        resources: Resources { cpu: 1_500, memory: 1 << 30, accelerators: (job % 2) as u32 },
        command: vec![],
        run_time: None,
        deadline: None,
        urgent: false,
        unrepeatable: class == JobClass::Batch && job.is_multiple_of(2),
        zone: None,
    }
}

/// What an outsider remembers.
#[derive(Default)]
struct Model {
    /// Unrepeatable tasks that were ever placed.
    placed_once: BTreeSet<(u64, u32)>,
    /// Who may send each key.
    owners: BTreeMap<u64, u64>,
    last_fence: u64,
}

fn owner(n: u64) -> Owner {
    Owner { host: format!("h{n}"), process: n, exchange: n }
}

struct Bench {
    zone: ZoneState,
    model: Model,
    lives: u64,
    clock: u64,
}

impl Bench {
    fn apply(&mut self, op: &Op) -> Result<(), String> {
        self.clock += 1;
        let at = Duration::from_secs(self.clock);
        let Some(command) = self.command(op, at) else { return Ok(()) };
        let before = self.zone.clone();
        let (reply, effects) = self.zone.apply(command.clone());
        if reply == Reply::Placed(0) && self.zone.runs() != before.runs() {
            return Err("a refused placement left something behind".to_string());
        }
        self.check_records(op, &reply)?;
        for fence in effects.placed {
            self.check_new_run(fence)?;
        }
        self.check_state()
    }

    fn command(&mut self, op: &Op, at: Duration) -> Option<ZoneCommand> {
        let name = |worker: &u64| format!("w{worker}");
        Some(match op {
            Op::Register { worker, newer } => {
                self.lives += u64::from(*newer);
                let spec = WorkerSpec {
                    worker: name(worker),
                    rack: "r".into(),
                    capacity: capacity(),
                    incarnation: self.lives,
                };
                ZoneCommand::Register { spec, at }
            }
            Op::Lose { worker } => {
                let incarnation = self.zone.workers().get(&name(worker))?.incarnation;
                ZoneCommand::WorkerLost { worker: name(worker), incarnation, at }
            }
            Op::Submit { job, class, tasks } => {
                ZoneCommand::Submit { spec: spec(*job, *class, *tasks), at }
            }
            Op::Cancel { job } => {
                ZoneCommand::Cancel { job: format!("t/j{job}").parse().unwrap(), at }
            }
            Op::Place { job, workers, stale } => {
                let placement = |worker: &u64| {
                    let life = self.zone.workers().get(&name(worker))?.incarnation;
                    let incarnation = life - u64::from(*stale && life > 0);
                    Some(Placement { job: *job, worker: name(worker), incarnation })
                };
                let placements = workers.iter().filter_map(placement).collect();
                ZoneCommand::Place { placements, at }
            }
            Op::End { pick, outcome, by_other } => {
                let (fence, run) = pick_run(&self.zone, *pick)?;
                let outcome = match outcome % 3 {
                    0 => TaskOutcome::Succeeded,
                    1 => TaskOutcome::Failed,
                    _ => TaskOutcome::Stopped,
                };
                let worker = if *by_other { "nobody".into() } else { run };
                ZoneCommand::End { worker, ends: vec![RunEnd { fence, outcome }], at }
            }
            Op::Stop { pick } => ZoneCommand::Stop { fences: vec![pick_run(&self.zone, *pick)?.0] },
            Op::Begin { key, owner: o } => ZoneCommand::RecordBegin {
                key: key.to_string(),
                digest: "d".into(),
                owner: owner(*o),
                at,
            },
            Op::Finish { key, owner: o, ran } => ZoneCommand::RecordFinish {
                key: key.to_string(),
                owner: owner(*o),
                outcome: ran.then_some(StoredOutcome::Ran),
                at,
            },
        })
    }

    fn check_new_run(&mut self, fence: u64) -> Result<(), String> {
        let run = self.zone.runs().get(&fence).ok_or("a placed run is not there")?;
        if fence <= self.model.last_fence {
            return Err(format!("fence {fence} is not above {}", self.model.last_fence));
        }
        self.model.last_fence = fence;
        let job = self.zone.jobs().get(&run.job).ok_or("a run without a job")?;
        let task = (run.job, run.index);
        if job.spec.unrepeatable && !self.model.placed_once.insert(task) {
            return Err(format!("unrepeatable task {task:?} was placed twice"));
        }
        Ok(())
    }

    fn check_records(&mut self, op: &Op, reply: &Reply) -> Result<(), String> {
        match (op, reply) {
            (Op::Begin { key, owner }, Reply::Record(RecordAnswer::Acquired)) => {
                let first = *self.model.owners.entry(*key).or_insert(*owner);
                if first != *owner {
                    return Err(format!("key {key} is {first}'s and {owner}'s"));
                }
            }
            (Op::Finish { key, owner, ran: false }, _)
                if self.model.owners.get(key) == Some(owner)
                    && !self.zone.records().contains_key(&key.to_string()) =>
            {
                // Not run: somebody else may begin it now.
                self.model.owners.remove(key);
            }
            _ => {}
        }
        Ok(())
    }

    /// The promises, recomputed from nothing.
    fn check_state(&self) -> Result<(), String> {
        let mut held: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut tasks = BTreeSet::new();
        for run in self.zone.runs().values() {
            let sum = held.entry(&run.worker).or_default();
            *sum = sum.checked_add(&run.resources).ok_or("overflow")?;
            if !tasks.insert((run.job, run.index)) {
                return Err(format!("task {} of job {} runs twice", run.index, run.job));
            }
        }
        for (id, worker) in self.zone.workers().iter() {
            let sum = held.get(id.as_str()).copied().unwrap_or_default();
            if sum != worker.used {
                return Err(format!("{id} holds {sum:?} and is said to hold {:?}", worker.used));
            }
            if !sum.fits_in(&worker.capacity) {
                return Err(format!("{id} holds more than it has"));
            }
        }
        for (id, job) in self.zone.jobs().iter() {
            let together = job.spec.class == JobClass::AllAtOnce && !job.is_over();
            let done = job.succeeded + job.failed + job.unknown;
            let all = job.runs.len() as u32 + job.waiting() + done;
            if !job.is_over() && all != job.spec.tasks {
                return Err(format!("job {id} has {all} of {} tasks", job.spec.tasks));
            }
            let stopping = |f: &u64| self.zone.runs().get(f).is_some_and(|r| r.stopping);
            let half_started = together && job.waiting() > 0 && !job.runs.is_empty();
            if half_started && !job.runs.iter().all(stopping) {
                return Err(format!("all-at-once job {id} runs in part"));
            }
        }
        Ok(())
    }
}

fn pick_run(zone: &ZoneState, pick: usize) -> Option<(u64, String)> {
    let count = zone.runs().len();
    let (fence, run) = zone.runs().iter().nth(pick.checked_rem(count)?)?;
    Some((*fence, run.worker.clone()))
}

fn run(ops: &[Op], injected_bug: InjectedBug) -> Result<(), String> {
    let zone = ZoneState::with_injected_bug(injected_bug);
    let mut bench = Bench { zone, model: Model::default(), lives: 1, clock: 0 };
    ops.iter().try_for_each(|op| bench.apply(op))
}

fn commands(seed: u64) -> QuickCheck {
    println!("seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(COMMANDS, seed)).tests(3_000).max_tests(3_000)
}

fn holds(ops: Vec<Op>) -> bool {
    run(&ops, InjectedBug::None).map_err(|fault| println!("{fault}")).is_ok()
}

#[test]
fn the_ledger_holds_its_promises() {
    commands(51).quickcheck(holds as fn(Vec<Op>) -> bool);
}

macro_rules! model_notices {
    ($($name:ident: $injected_bug:ident, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            fn passes(ops: Vec<Op>) -> bool {
                !matches!(run(&ops, InjectedBug::$injected_bug), Err(e) if e.contains($fault))
            }
            let outcome = commands(52).quicktest(passes as fn(Vec<Op>) -> bool);
            assert!(outcome.is_err(), "no history shows the difference");
        }
    )*};
}

model_notices! {
    notices_placements_beyond_capacity: SkipCapacityCheck, "more than it has";
    notices_unrepeatable_tasks_repeated: RepeatUnrepeatable, "placed twice";
    notices_records_begun_again: RestartRecords, "'s and";
}

#[test]
fn a_placement_on_a_life_that_is_over_is_refused() {
    let place = |injected_bug| {
        let mut zone = ZoneState::with_injected_bug(injected_bug);
        let at = Duration::from_secs(1);
        let spec_of = |incarnation| WorkerSpec {
            worker: "w".into(),
            rack: "r".into(),
            capacity: capacity(),
            incarnation,
        };
        zone.apply(ZoneCommand::Submit { spec: spec(1, 2, 1), at });
        zone.apply(ZoneCommand::Register { spec: spec_of(1), at });
        zone.apply(ZoneCommand::Register { spec: spec_of(2), at });
        let placements = vec![Placement { job: 1, worker: "w".into(), incarnation: 1 }];
        zone.apply(ZoneCommand::Place { placements, at }).0
    };
    assert_eq!(place(InjectedBug::None), Reply::Placed(0));
    assert_eq!(place(InjectedBug::SkipIncarnationCheck), Reply::Placed(1));
}
