//! Crashes of workers. What ran on a worker is recorded when it crashes, so that a task that crashes
//! one worker after the other is found and given up, and the tasks beside it are not.
//!
//! A worker has crashed if another life answers for it, or another worker at its address, though it
//! was not leaving. Its own answers until then show which runs it had started. Those that had only
//! just begun are the first suspects; placement keeps suspects apart, so that the next crash has
//! only one.
//!
//! Being kept apart holds other work back, so it ends: for a run a short time after its start, and
//! for a task once a run of it has ended without a crash. The next crash begins it anew, as does a
//! new leader. The counts stay.

use crate::group::OnApplied;
use crate::job_log::hex;
use crate::leader::Leader;
use crate::node::Node;
use dispatch::{RunEvidence, RunStatus, Session};
use jobs::{Command, CrashedRun, EndKind, LifeId, RunNumber, State, StepRef, TaskRef, WorkerInfo};
use placement::steps::{Isolation, WorkerCapacity};
use std::time::Duration;
use types::Timestamp;

/// A run that its worker has outlived by this much is not the first suspect of a later crash.
const SETTLING_TIME: Duration = Duration::from_millis(250);
/// A run of a task under which several workers have crashed is kept apart from other suspects for
/// this long, since it may crash its worker later in its work. Jobs that find no other worker have to
/// start within 3 s.
const OBSERVATION_TIME: Duration = Duration::from_secs(1);
/// A silent worker is remembered for this long, to learn whether it crashed.
const SILENT_WORKER_TIMEOUT: Duration = Duration::from_secs(300);

impl Node {
    /// Records the crash of each worker that a new life replaces, and holds back the tasks that it
    /// may start by orders to the life before.
    pub(crate) fn end_replaced_lives(&mut self, info: &WorkerInfo) {
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        let mut replaced: Vec<LifeId> = Vec::new();
        for life in group.state.lives().filter(|life| life.info.born < info.born) {
            let renamed = life.info.worker != info.worker;
            if renamed && life.info.addr != info.addr {
                continue;
            }
            replaced.push(life.id);
            if let Some(session) = leader.sessions.get_mut(&life.id).filter(|_| renamed) {
                session.record_replacement();
            }
        }
        for life in replaced {
            self.end_replaced_life(life);
        }
    }

    /// Ends a life whose worker is there no more. That is a crash unless the worker was draining.
    pub(crate) fn end_replaced_life(&mut self, life: LifeId) {
        self.hold_in_doubt_starts(life);
        let now = self.now;
        let Some(group) = &self.group else { return };
        let Some(leader) = &group.leader else { return };
        let (Some(session), Some(known)) = (leader.sessions.get(&life), group.state.life(life))
        else {
            return;
        };
        let replaced = session.is_replaced().then(|| session.worker().to_string());
        let command = if known.info.draining {
            Command::LifeOver { life }
        } else {
            let runs = crashed_runs(session, &group.state);
            log_crash(session, &runs);
            self.stats.worker_crashes += 1;
            Command::WorkerCrashed { life, runs, at: now }
        };
        self.propose(&command, OnApplied::Nothing);
        if let Some(worker) = replaced {
            self.release_starts_of_replaced(&worker);
        }
    }

    /// Records which of the lost runs a silent worker may have started: only its next sign of life
    /// shows whether it crashed.
    pub(crate) fn record_if_silent(&mut self, life: LifeId, lost: &[(TaskRef, RunNumber)]) {
        let session = self.leader_mut().and_then(|leader| leader.sessions.get(&life));
        let Some(session) = session.filter(|session| !session.is_answering()) else { return };
        let may_have_run = session.evidence().into_iter().map(|run| (run.task, run.run));
        let tasks: Vec<_> = may_have_run.filter(|run| lost.contains(run)).collect();
        if !tasks.is_empty() {
            self.propose(&Command::WorkerSilent { life, tasks }, OnApplied::Nothing);
        }
    }
}

impl Leader {
    /// Commands for silent lives that have answered again.
    pub(crate) fn answered_lives(&self, state: &State) -> Vec<Command> {
        let answers = |life: &LifeId| self.sessions.get(life).is_some_and(|s| s.is_answering());
        state.silent_lives().filter(answers).map(|life| Command::WorkerAnswered { life }).collect()
    }

    /// How long a life without runs is kept after its last heartbeat.
    pub(crate) fn idle_timeout(state: &State, life: LifeId, usual: Duration) -> Duration {
        let silent = state.silent_lives().any(|silent| silent == life);
        if silent {
            SILENT_WORKER_TIMEOUT
        } else {
            usual
        }
    }

    /// Whether runs of the task are kept apart from others, so that the next crash shows which one
    /// causes it.
    pub(crate) fn is_kept_apart(&self, state: &State, task: TaskRef) -> bool {
        let lost = state.lost_workers(task);
        state.is_suspect(task) && self.cleared.get(&task).is_none_or(|cleared| *cleared < lost)
    }

    /// Records that a run has ended without a crash of its worker: from then on its task is not kept
    /// apart until the next crash.
    pub(crate) fn clear_ended(&mut self, state: &State, task: TaskRef, kind: EndKind) {
        // A run that was stopped, or whose gang was incomplete, may not have worked.
        let worked = matches!(kind, EndKind::Done | EndKind::Failed | EndKind::Broken);
        if !worked || !state.is_open(&task) || !self.is_kept_apart(state, task) {
            return;
        }
        let lost = state.lost_workers(task);
        log::info!(job = hex(task.step.job).as_str(), step = task.step.step, index = task.index,
            lost_workers = lost; "task no longer kept apart: a run of it has ended without a crash");
        self.cleared.insert(task, lost);
    }

    /// Until when a run of a suspect task is kept apart; `None` if it is not, or not any more.
    pub(crate) fn apart_until(
        &self,
        state: &State,
        status: &RunStatus,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let until = status.working_since.unwrap_or(now) + time_apart(state, status.task);
        (now < until && self.is_kept_apart(state, status.task)).then_some(until)
    }

    /// Number of workers that take no other job, since a suspect has only just begun there.
    pub(crate) fn closed_workers(&self, state: &State, now: Timestamp) -> usize {
        let is_closed = |life: &&LifeId| self.isolation(state, **life, now).is_closed();
        self.sessions.keys().filter(is_closed).count()
    }

    /// Logs steps that a pass could not place while workers took one job only.
    pub(crate) fn log_held_back(
        &mut self,
        unplaced: &[StepRef],
        workers: &[WorkerCapacity<'_>],
        now: Timestamp,
    ) {
        let (Some(step), true) = (unplaced.first(), now >= self.next_held_back_line) else {
            return;
        };
        let closed = workers.iter().filter(|worker| worker.isolation.is_closed()).count();
        if closed > 0 {
            self.next_held_back_line = now + HELD_BACK_LINE_INTERVAL;
            log::info!(job = hex(step.job).as_str(), step = step.step, waiting = unplaced.len(),
                closed = closed, workers = workers.len();
                "steps wait while workers are kept for suspects");
        }
    }

    /// Forgets cleared tasks that are over, and losses that were none: a silent worker answered.
    pub(crate) fn trim_cleared(&mut self, state: &State) {
        self.cleared.retain(|task, cleared| {
            *cleared = (*cleared).min(state.lost_workers(*task));
            state.is_open(task)
        });
    }

    /// Which jobs have runs on a worker that may still crash it.
    pub(crate) fn isolation(&self, state: &State, life: LifeId, now: Timestamp) -> Isolation {
        let mut isolation = Isolation::default();
        let Some(session) = self.sessions.get(&life) else { return isolation };
        if !state.has_crash_records() {
            return isolation;
        }
        for status in session.runs() {
            let settled_at = status.working_since.unwrap_or(now) + SETTLING_TIME;
            let settles = now < settled_at;
            let apart_until = self.apart_until(state, &status, now);
            if let Some(at) = apart_until.or(settles.then_some(settled_at)) {
                // Once it has settled, only other suspects are kept from starting there.
                isolation.add(status.task.step.job, at, apart_until.is_some() && settles);
            }
        }
        isolation
    }
}

/// How long a run of a suspect task is kept apart after its start.
fn time_apart(state: &State, task: TaskRef) -> Duration {
    if state.task_crashes(task).stays_suspect() {
        OBSERVATION_TIME
    } else {
        SETTLING_TIME
    }
}

/// The runs that a worker had started or may have started when it crashed. Suspects are those that
/// had only just begun; without such, those of which nobody knows whether they had begun. Tasks that
/// are held back for the worker may have begun too, by orders to its earlier life.
fn crashed_runs(session: &Session, state: &State) -> Vec<CrashedRun> {
    let evidence = session.evidence();
    let is_recent = |run: &RunEvidence| {
        let recent = run.outlived < SETTLING_TIME;
        run.started && (recent || state.task_crashes(run.task).stays_suspect())
    };
    let sure = session.is_sure_crash();
    let any_recent = evidence.iter().any(is_recent);
    let any_unknown = evidence.iter().any(|run| !run.started);
    let crashed = |run: &RunEvidence| CrashedRun {
        task: run.task,
        run: run.run,
        started: run.started,
        sure: run.started && sure,
        suspect: if any_recent {
            is_recent(run) || run.by_other_life
        } else {
            !(any_unknown && run.started)
        },
    };
    let mut runs: Vec<CrashedRun> = evidence.iter().map(crashed).collect();
    let held = state.in_doubt_starts().iter().filter(|held| held.worker == session.worker());
    let silent = state.silent_tasks(session.life());
    // The crash is counted for the tasks of a silent life when the command is applied.
    for held in held.filter(|held| !silent.iter().any(|(task, _)| *task == held.task)) {
        if !runs.iter().any(|known| known.task == held.task) {
            runs.push(CrashedRun {
                task: held.task,
                run: 0,
                started: false,
                suspect: true,
                sure: false,
            });
        }
    }
    runs
}

/// Steps that wait while workers are closed to them are logged once in this time.
const HELD_BACK_LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on the suspects named in a log line.
const MAX_LOGGED_SUSPECTS: usize = 8;

fn log_crash(session: &Session, runs: &[CrashedRun]) {
    let suspects = runs.iter().filter(|run| run.suspect);
    let named: Vec<String> = suspects
        .clone()
        .take(MAX_LOGGED_SUSPECTS)
        .map(|run| format!("{}/{}/{}", hex(run.task.step.job), run.task.step.step, run.task.index))
        .collect();
    log::warn!(worker = session.worker(), life = session.life(), runs = runs.len(),
        suspects = suspects.count(), sure = session.is_sure_crash(),
        named = named.join(" ").as_str(); "worker crashed");
}
