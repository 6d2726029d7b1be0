//! What the leader learns from finished runs: how long runs take, and how fast each worker is.
//!
//! Learned run times replace declared ones where those of a queue are known to be off, learned
//! speeds rule placement where workers are known to be uneven. See `docs/design/run-times.md`.

use crate::config::NodeConfig;
use crate::group::OnApplied;
use crate::job_log::hex;
use crate::leader::Leader;
use crate::node::Node;
use dispatch::{RunStatus, RunTraits, Session};
use jobs::{Command, EndKind, LifeId, QueueId, RunNumber, State, StepRef, TaskRef};
use placement::steps::Urgency;
use runtimes::{Forecast, Learned, Measured, Observer};
use std::time::Duration;
use types::{SortedMap, Timestamp};

/// Interval between two writes of what was learned to the log.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of gangs of which the slowest worker is kept.
const MAX_GANGS: usize = 4_096;

/// What is known about run times and speeds, with what is not in the log yet.
#[derive(Debug)]
pub(crate) struct Learning {
    enabled: bool,
    learned: Learned,
    observer: Observer<StepRef>,
    next_write: Timestamp,
    /// Slowness of the slowest worker of each gang that runs, in percent.
    gangs: SortedMap<(StepRef, RunNumber), u32>,
    /// Queues whose declared times are known to be off.
    off: Vec<QueueId>,
    /// Slowness of the fastest worker in the current placement pass, in percent.
    fastest: u32,
}

/// The middle worker's slowness, in percent.
const MIDDLE: u32 = 100;

impl Learning {
    pub(crate) fn new(state: &State, cfg: &NodeConfig, now: Timestamp) -> Learning {
        let learned = if cfg.learn { state.learned().clone() } else { Learned::default() };
        Learning {
            enabled: cfg.learn,
            learned,
            observer: Observer::default(),
            next_write: now + WRITE_INTERVAL,
            gangs: SortedMap::default(),
            off: Vec::new(),
            fastest: MIDDLE,
        }
    }

    /// Whether workers are known to differ so much that placement goes by their speeds.
    pub(crate) fn is_uneven(&self) -> bool {
        self.learned.is_uneven()
    }

    /// Keeps the slowest worker of a gang, which rules how long it takes.
    pub(crate) fn gang_placed(&mut self, step: StepRef, run: RunNumber, worker: &str) {
        if self.gangs.len() >= MAX_GANGS {
            let oldest = self.gangs.keys().next().copied();
            oldest.and_then(|key| self.gangs.remove(&key));
        }
        let slowness = self.learned.slowness(worker).0;
        let slowest = self.gangs.get_or_insert_with((step, run), || slowness);
        *slowest = (*slowest).max(slowness);
    }

    /// Logs queues whose declared times turn out to be off, or to be right again.
    fn log_changes(&mut self, state: &State) {
        for queue in 0..state.queues() {
            let (is_off, known) = (self.learned.is_off(queue), self.off.binary_search(&queue));
            let name = state.policy(queue).name.as_str();
            match known {
                Err(at) if is_off => {
                    log::info!(queue = name;
                        "declared run times are off: learned ones are used");
                    self.off.insert(at, queue);
                }
                Ok(at) if !is_off => {
                    log::info!(queue = name; "declared run times are right again");
                    self.off.remove(at);
                }
                _ => {}
            }
        }
    }

    /// Learns from a run that ended. Failed runs and those that resumed tell nothing.
    fn record(&mut self, session: &Session, status: &RunStatus, kind: EndKind, now: Timestamp) {
        let gang = self.gangs.remove(&(status.task.step, status.run));
        let censored = match kind {
            EndKind::Done => false,
            EndKind::Stopped | EndKind::Lapsed => true,
            EndKind::Failed | EndKind::Broken | EndKind::Alone => return,
        };
        let (Some(began), Some(traits)) = (status.working_since, status.traits) else { return };
        let RunTraits { queue, estimate: declared, from_scratch, .. } = traits;
        if !self.enabled || (!from_scratch && (gang.is_none() || censored)) {
            return;
        }
        let took = now.saturating_sub(began);
        let run = Measured::new(queue, declared, took, session.worker());
        let slowest = gang.filter(|_| !from_scratch);
        let run = Measured { censored, slowest, ..run };
        let expected = self.learned.forecast(queue, declared);
        if expected.learned && !censored && took > 2 * expected.high {
            log::info!(job = hex(status.task.step.job).as_str(), index = status.task.index,
                worker = session.worker(), took_ms = took.as_millis() as u64,
                declared_ms = declared.as_millis() as u64, median_ms = expected.median.as_millis() as u64,
                high_ms = expected.high.as_millis() as u64; "run took much longer than expected");
        }
        self.observer.record(status.task.step, run, &mut self.learned);
    }
}

impl Leader {
    /// What is expected of a run on a worker of middle speed.
    pub(crate) fn forecast(&self, queue: QueueId, declared: Duration) -> Forecast {
        let learned = self.learning.learned.forecast(queue, declared);
        if learned.learned {
            return learned;
        }
        Forecast::declared(declared.mul_f64(self.speeds.correction(queue)))
    }

    /// Estimated duration of a job's critical path, which determines its objective.
    pub(crate) fn critical_path(&self, queue: QueueId, request: &jobs::JobRequest) -> Duration {
        request.critical_path_by(|step| self.learning.learned.forecast(queue, step.estimate).median)
    }

    /// Duration of work on a worker, in percent of its duration on an average worker.
    pub(crate) fn slowness(&self, life: LifeId, worker: &str) -> u32 {
        if self.learning.is_uneven() {
            self.learning.learned.slowness(worker).0
        } else {
            self.speeds.slowness(life)
        }
    }

    /// Learns from a run that ended.
    pub(crate) fn learn(
        &mut self,
        life: LifeId,
        task: TaskRef,
        run: RunNumber,
        kind: EndKind,
        now: Timestamp,
    ) {
        let Some(session) = self.sessions.get(&life) else { return };
        let is_run = |status: &RunStatus| (status.task, status.run) == (task, run);
        let Some(status) = session.runs().find(is_run) else { return };
        self.learning.record(session, &status, kind, now);
    }

    /// Notes how fast the fastest of the workers is to whom a pass can give work.
    pub(crate) fn set_fastest<I>(&mut self, slowness: I)
    where
        I: Iterator<Item = u32>,
    {
        let uneven = self.learning.is_uneven();
        self.learning.fastest = slowness.min().filter(|_| uneven).unwrap_or(MIDDLE).min(MIDDLE);
    }

    /// Whether the step is on time only if it starts at once, at full speed. Where workers are
    /// uneven, this includes steps that only the fastest ones complete in time.
    pub(crate) fn is_tight(&self, urgency: &Urgency, now: Timestamp) -> bool {
        let due = urgency.submitted + urgency.objective;
        let fastest = urgency.left * self.learning.fastest / MIDDLE;
        urgency.is_tight(now) || (now + urgency.left > due && now + fastest <= due)
    }
}

impl Node {
    /// Writes what was learned to the log.
    pub(crate) fn write_learned(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        if now < leader.learning.next_write {
            return;
        }
        leader.learning.next_write = now + WRITE_INTERVAL;
        leader.learning.log_changes(&group.state);
        let evidence = Box::new(leader.learning.observer.take_evidence());
        if !evidence.is_empty() {
            self.propose(&Command::Learned { evidence }, OnApplied::Nothing);
        }
    }
}
