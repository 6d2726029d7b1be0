//! The leader's part: tells the speed of workers from the run times of tasks.
//!
//! A run takes the work of its step, times the slowness of its worker, times an error of its own.
//! Tasks of one step on several workers tell the first two apart, however wrong the declared time
//! is: what a task took is compared with what the others took, each divided by what is known of its
//! worker's slowness.

use crate::evidence::{Evidence, RunTime, SpeedChange};
use crate::learned::Learned;
use crate::QueueIndex;
use std::time::Duration;
use types::{SortedMap, WorkerId};

/// Number of steps whose finished tasks are kept for comparison; the oldest gives way.
const MAX_STEPS: usize = 512;
/// Number of finished tasks of one step that are kept for comparison.
const MAX_TASKS_PER_STEP: usize = 32;
/// Weight of the newest run in a worker's slowness, once many runs are known.
const MIN_WEIGHT: f64 = 0.1;
/// Number of runs after which all further ones have the least weight.
const MAX_RUNS: u8 = 20;
/// A run that took more than this many times as long as the others of its step tells something
/// about the task, not about the worker.
const MAX_RATIO: f64 = 4.0;
/// Weight of a pull that keeps the middle worker at speed 1, since comparisons alone fix only the
/// ratios.
const ANCHOR_WEIGHT: f64 = 0.05;
/// Limits of slowness, in percent.
const SLOWNESS_RANGE: (f64, f64) = (10.0, 2_000.0);

/// A run that was measured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measured {
    /// Queue of its job.
    pub queue: QueueIndex,
    /// Declared time of the task.
    pub declared: Duration,
    /// How long it ran.
    pub took: Duration,
    /// Worker on which it ran.
    pub worker: WorkerId,
    /// Whether it was ended by others, so that it would have taken longer.
    pub censored: bool,
    /// Slowness of the slowest worker, in percent, if the run ends only together with others. It
    /// tells nothing about single workers then.
    pub slowest: Option<u32>,
}

impl Measured {
    /// A run that has finished its work.
    pub fn new(queue: QueueIndex, declared: Duration, took: Duration, worker: &str) -> Measured {
        let worker = worker.to_string();
        Measured { queue, declared, took, worker, censored: false, slowest: None }
    }
}

/// Finished tasks of one step: the worker of each, and how long it took.
#[derive(Clone, Debug)]
struct Step {
    /// Orders the steps by age.
    number: u64,
    finished: Vec<(WorkerId, Duration)>,
}

/// Turns measured runs into evidence. `Key` identifies a step.
#[derive(Clone, Debug)]
pub struct Observer<Key> {
    steps: SortedMap<Key, Step>,
    last_number: u64,
    pending: Evidence,
}

impl<Key> Default for Observer<Key> {
    fn default() -> Self {
        let (steps, pending) = (SortedMap::default(), Evidence::default());
        Observer { steps, last_number: 0, pending }
    }
}

impl<Key> Observer<Key>
where
    Key: Ord + Copy,
{
    /// Learns from a run, in `learned` at once and in the evidence for the log. Runs with the same
    /// `step` are of tasks that have about the same work.
    pub fn record(&mut self, step: Key, run: Measured, learned: &mut Learned) {
        if run.took.is_zero() || run.declared.is_zero() {
            return;
        }
        let mut evidence = Evidence::default();
        if !run.censored && run.slowest.is_none() {
            evidence.speeds.extend(self.compare(step, &run, learned));
        }
        let slowness = run.slowest.unwrap_or_else(|| learned.slowness(&run.worker).0);
        let slowness = f64::from(slowness) / 100.0;
        let work = run.took.div_f64(slowness.max(0.01));
        evidence.times.push(Learned::run_time(run.queue, run.declared, work, run.censored));
        learned.apply(&evidence);
        self.pend(evidence);
    }

    /// Compares a run with the others of its step. The first run of a step is compared once there
    /// is a second one. Returns what that says about their workers.
    fn compare(&mut self, step: Key, run: &Measured, learned: &Learned) -> Vec<SpeedChange> {
        self.make_room(step);
        self.last_number += 1;
        let number = self.last_number;
        let fresh = || Step { number, finished: Vec::new() };
        let known = self.steps.get_or_insert_with(step, fresh);
        let mut changes = Vec::new();
        changes.extend(change_of(&run.worker, run.took, &known.finished, learned));
        let this = (run.worker.clone(), run.took);
        if let [(first, took)] = &known.finished[..] {
            changes.extend(change_of(first, *took, std::slice::from_ref(&this), learned));
        }
        if known.finished.len() < MAX_TASKS_PER_STEP {
            known.finished.push(this);
        }
        changes
    }

    /// Forgets the oldest step if a new one needs its place.
    fn make_room(&mut self, step: Key) {
        if self.steps.len() >= MAX_STEPS && !self.steps.contains_key(&step) {
            let oldest = self.steps.iter().min_by_key(|(_, step)| step.number).map(|(id, _)| *id);
            oldest.and_then(|id| self.steps.remove(&id));
        }
    }

    fn pend(&mut self, evidence: Evidence) {
        for run in evidence.times {
            let same = |known: &&mut RunTime| RunTime { runs: 1, ..**known } == run;
            match self.pending.times.iter_mut().find(same) {
                Some(known) if known.runs < u8::MAX => known.runs += 1,
                _ => self.pending.times.push(run),
            }
        }
        for change in evidence.speeds {
            let known = &mut self.pending.speeds;
            match known.binary_search_by(|c| c.worker.cmp(&change.worker)) {
                Ok(at) => known[at] = change,
                Err(at) => known.insert(at, change),
            }
        }
    }

    /// Takes the evidence since the last call, for the replicated log.
    pub fn take_evidence(&mut self) -> Evidence {
        std::mem::take(&mut self.pending)
    }
}

/// What a run on a worker says about its speed, beside the runs of the same step on other workers.
fn change_of(
    worker: &WorkerId,
    took: Duration,
    finished: &[(WorkerId, Duration)],
    learned: &Learned,
) -> Option<SpeedChange> {
    let elsewhere = finished.iter().filter(|(other, _)| other != worker);
    let slowness = |worker: &str| f64::from(learned.slowness(worker).0) / 100.0;
    let work = |(worker, took): &(WorkerId, Duration)| took.as_secs_f64() / slowness(worker);
    let mut others: Vec<f64> = elsewhere.map(work).collect();
    others.sort_unstable_by(f64::total_cmp);
    let (old, runs) = learned.slowness(worker);
    let observed = took.as_secs_f64() / median(&others)?.max(1e-6) * 100.0;
    let ratio = observed / f64::from(old.max(1));
    if !(1.0 / MAX_RATIO..=MAX_RATIO).contains(&ratio) {
        return None;
    }
    let runs = runs.saturating_add(1).min(MAX_RUNS);
    let weight = (1.0 / f64::from(runs + 1)).max(MIN_WEIGHT);
    let pull = ANCHOR_WEIGHT * (f64::from(learned.middle()) / 100.0).ln();
    let slowness = (f64::from(old).ln() + weight * ratio.ln() - pull).exp();
    let slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1).round() as u16;
    Some(SpeedChange { worker: worker.clone(), slowness, runs })
}

fn median(sorted: &[f64]) -> Option<f64> {
    let upper = sorted.get(sorted.len() / 2)?;
    let lower = sorted[(sorted.len() - 1) / 2];
    Some((lower + upper) / 2.0)
}
