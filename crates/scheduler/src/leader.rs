//! Volatile state of the leader: sessions with workers, advice, and the steps that wait for
//! placement.

use crate::admission::Submissions;
use crate::config::NodeConfig;
use crate::fairness::Fairness;
use crate::job_log::{
    hex, kind_name, log_beyond_quota, log_given_up, log_job_over, log_no_room,
    log_refused_as_withdrawn, log_runs_lost, log_withdrawn, objective_ms,
};
use crate::learning::Learning;
use crate::quota_waits::QuotaWaits;
use crate::room::RoomForecast;
use crate::run_traits::run_traits;
use crate::stats::NodeStats;
use crate::zones::Zones;
use consensus::Term;
use dispatch::{AdviceTracker, OrderId, RunTraits, Session};
use jobs::{Effect, EndKind, Job, LifeId, Progress, RunNumber, State, StepRef, TaskRef};
use placement::speeds::Speeds;
use placement::steps::{Claim, Urgency};
use std::time::Duration;
use types::{Fence, JobId, SortedMap, Timestamp, WorkerId};

/// Minimum time between two placement passes.
pub(crate) const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum time between two placement passes while steps wait.
pub(crate) const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Numbers of orders and advice calls of a term start at the term times this.
const NUMBERS_PER_TERM: u64 = 1 << 32;
/// Fences of a term start at the term times this; the life is added.
const FENCES_PER_TERM: u64 = 1 << 28;

/// An order that waits for its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenOrder {
    pub(crate) life: LifeId,
    pub(crate) order: OrderId,
    pub(crate) sent: Timestamp,
    /// A reachable worker answers by this time.
    pub(crate) answer_expected: Timestamp,
    /// Without an answer by this time the worker counts as silent.
    pub(crate) expires: Timestamp,
}

/// State that the leader of a term keeps in memory and rebuilds after an election.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) term: Term,
    pub(crate) sessions: SortedMap<LifeId, Box<Session>>,
    pub(crate) orders: SortedMap<u64, OpenOrder>,
    pub(crate) last_order: u64,
    pub(crate) advice: AdviceTracker,
    /// Lives named in each open call to the advice service, by the number of the call.
    pub(crate) advice_lives: SortedMap<u64, Vec<LifeId>>,
    /// Steps with tasks that wait for placement.
    pub(crate) ready: SortedMap<StepRef, Urgency>,
    /// Earliest time at which a waiting step is tried again; steps without an entry are tried in
    /// the next pass.
    pub(crate) retry_at: SortedMap<StepRef, Timestamp>,
    /// Steps that wait for room under the quota of their account.
    pub(crate) quota_waits: QuotaWaits,
    /// Capacity reserved for gangs that don't fit yet, oldest claim first.
    pub(crate) claims: Vec<Claim>,
    /// Whether proposed placements are not applied yet. No pass runs until then.
    pub(crate) placement_in_flight: bool,
    /// Whether something has changed that a pass should look at as soon as possible.
    pub(crate) plan_due: bool,
    pub(crate) next_plan: Timestamp,
    pub(crate) next_check: Timestamp,
    pub(crate) next_advice_report: Timestamp,
    pub(crate) next_trim: Timestamp,
    pub(crate) scheduled: Vec<JobId>,
    pub(crate) speeds: Speeds,
    pub(crate) fairness: Fairness,
    pub(crate) learning: Learning,
    pub(crate) submissions: Submissions,
    /// Longest time that a worker may take to stop a run.
    pub(crate) stop_time: Duration,
    /// Size in bytes that all jobs together may have for another one to be accepted.
    pub(crate) room: usize,
    pub(crate) room_forecast: RoomForecast,
    /// Workers whose lives ended in this step, with tasks that their next lives may still start.
    pub(crate) ended_lives: Vec<(WorkerId, Vec<TaskRef>)>,
    pub(crate) zones: Zones,
    /// Until when tasks are held back, by their worker and the time in the log. That time may be of
    /// another host's clock; a leader that did not write it counts from when it first saw it.
    pub(crate) held_until: SortedMap<(WorkerId, Timestamp), Timestamp>,
    /// Whether a proposed release of held tasks is not applied yet.
    pub(crate) resolution_in_flight: bool,
    /// When this leader got the last heartbeat of each life; initially when its session began.
    pub(crate) last_heartbeat: SortedMap<LifeId, Timestamp>,
    /// The worker's clock in the newest heartbeat of each life, in milliseconds.
    pub(crate) heartbeat_clocks: SortedMap<LifeId, u64>,
    /// The worker's clock in a heartbeat that changes the replicated state, by the worker's name and
    /// start, until the change is applied.
    pub(crate) changing: SortedMap<(WorkerId, u64), Option<u64>>,
    /// Tasks of which a run has ended without a crash since this many workers were lost under them.
    pub(crate) cleared: SortedMap<TaskRef, u32>,
    pub(crate) next_held_back_line: Timestamp,
}

impl Leader {
    pub(crate) fn new(term: Term, state: &State, cfg: &NodeConfig, now: Timestamp) -> Leader {
        let base = term * NUMBERS_PER_TERM;
        let mut leader = Leader {
            term,
            sessions: SortedMap::default(),
            orders: SortedMap::default(),
            last_order: base,
            advice: AdviceTracker::new(base),
            advice_lives: SortedMap::default(),
            ready: SortedMap::default(),
            retry_at: SortedMap::default(),
            quota_waits: QuotaWaits::default(),
            claims: Vec::new(),
            placement_in_flight: false,
            plan_due: true,
            next_plan: now,
            next_check: now,
            next_advice_report: now,
            next_trim: now + Duration::from_secs(60),
            scheduled: Vec::new(),
            speeds: Speeds::default(),
            fairness: Fairness::new(now),
            learning: Learning::new(state, cfg, now),
            submissions: Submissions::default(),
            stop_time: cfg.stop_time,
            room: cfg.state_room,
            room_forecast: RoomForecast::default(),
            ended_lives: Vec::new(),
            zones: Zones::default(),
            held_until: SortedMap::default(),
            resolution_in_flight: false,
            last_heartbeat: SortedMap::default(),
            heartbeat_clocks: SortedMap::default(),
            changing: SortedMap::default(),
            cleared: SortedMap::default(),
            next_held_back_line: now,
        };
        for life in state.lives() {
            leader.begin_session(state, life.id, cfg, now);
        }
        for job in state.jobs().filter(|job| !job.phase.is_over()) {
            let steps: Vec<StepRef> = job.steps_ready().collect();
            for step in steps {
                leader.add_ready(state, step);
            }
            if job.request.as_ref().is_some_and(|request| request.schedule.is_some()) {
                leader.scheduled.push(job.id);
            }
        }
        leader
    }

    fn begin_session(&mut self, state: &State, id: LifeId, cfg: &NodeConfig, now: Timestamp) {
        let Some(life) = state.life(id) else { return };
        let mut session = Session::new(id, cfg.session.clone(), life.last_seen, now);
        session.set_worker(&life.info.worker);
        session.set_draining(life.info.draining);
        for run in &life.runs {
            session.add_run(run.task, run.run, now);
            if let Some(traits) = run_traits(state, run.task, run.run) {
                session.set_run_traits(run.task, run.run, traits);
            }
            if !state.is_open(&run.task) {
                session.stop_run(run.task, run.run, now);
            }
        }
        self.sessions.insert(id, Box::new(session));
        self.last_heartbeat.insert(id, now);
    }

    /// Whether a task of the job is known to have started: one has ended, or a worker reports one
    /// as running.
    pub(crate) fn has_begun(&self, job: &Job) -> bool {
        if job.finished > 0 {
            return true;
        }
        let steps = || job.occurrences.iter().flat_map(|(_, o)| &o.steps);
        if steps().any(|step| step.tasks.done() > 0) {
            return true;
        }
        let mut lives = Vec::new();
        for (_, task) in steps().flat_map(|step| step.tasks.all_touched()) {
            match task.progress {
                Progress::Placed(life) => lives.push(life),
                _ if task.failures > 0 || task.saved.is_some() => return true,
                _ => {}
            }
        }
        lives.sort_unstable();
        lives.dedup();
        let runs_one = |session: &Session| {
            let mut runs = session.runs().filter(|run| run.task.step.job == job.id);
            runs.any(|run| run.working_since.is_some())
        };
        lives.iter().filter_map(|life| self.sessions.get(life)).any(|session| runs_one(session))
    }

    /// Number of workers that accept new tasks.
    pub(crate) fn usable_workers(&self, now: Timestamp) -> usize {
        self.sessions.values().filter(|session| session.is_usable(now)).count()
    }

    /// Updates the leader's state after a command was applied.
    pub(crate) fn apply_effects(
        &mut self,
        state: &State,
        effects: &[Effect],
        cfg: &NodeConfig,
        stats: &mut NodeStats,
        now: Timestamp,
    ) {
        for effect in effects {
            match *effect {
                Effect::Configured => self.plan_due = true,
                Effect::Accepted(id) => self.on_accepted(state, id, stats, now),
                Effect::Ready(step) => {
                    self.add_ready(state, step);
                    self.plan_due = true;
                }
                Effect::BeyondQuota { job, step, ref account } => {
                    stats.beyond_quota += 1;
                    log_beyond_quota(job, step, account);
                }
                Effect::NoRoom(id) => {
                    stats.refused_no_room += 1;
                    log_no_room(id, state.stored_bytes(), self.room);
                }
                Effect::Withdrawn(id) => log_withdrawn(id),
                Effect::RefusedAsWithdrawn(id) => {
                    stats.refused_as_withdrawn += 1;
                    log_refused_as_withdrawn(id);
                }
                Effect::GivenUp { task, crashes } => {
                    stats.jobs_given_up += 1;
                    log_given_up(task, crashes);
                }
                Effect::JobOver(id) => self.on_job_over(state, id, now),
                Effect::LifeChanged(id) => {
                    if !self.sessions.contains_key(&id) {
                        self.begin_session(state, id, cfg, now);
                    }
                    let draining = state.life(id).is_some_and(|life| life.info.draining);
                    if let Some(session) = self.sessions.get_mut(&id) {
                        session.set_draining(draining);
                    }
                    self.record_applied_change(state, id, now);
                    self.take_back_starts(state, id, now);
                    self.plan_due = true;
                }
                Effect::LifeOver(id) => {
                    if let Some(session) = self.sessions.remove(&id) {
                        log_runs_lost(&session, now);
                        let worker = session.worker().to_string();
                        self.ended_lives.push((worker, session.in_doubt_starts(now)));
                    }
                    self.last_heartbeat.remove(&id);
                    self.heartbeat_clocks.remove(&id);
                    self.speeds.forget(id);
                    self.plan_due = true;
                }
                Effect::Placed { life, task, run } => {
                    stats.starts += 1;
                    self.on_placed(state, life, task, run, now);
                }
                Effect::Freed { life, task, run, kind } => {
                    stats.count_end(kind);
                    self.on_freed(life, task, run, kind, now);
                    if let Some(kind) = kind {
                        self.clear_ended(state, task, kind);
                    }
                }
                Effect::GangBroken(step) => self.stop_where(|task| task.step == step, now),
                Effect::EndsRecorded { life, upto } => {
                    if let Some(session) = self.sessions.get_mut(&life) {
                        session.ends_recorded(upto, now);
                    }
                }
                Effect::Superseded { life, task, run } => {
                    if let Some(session) = self.sessions.get_mut(&life) {
                        session.stop_run(task, run, now);
                    }
                }
            }
        }
    }

    /// The fence of orders to a life. It is higher than the fences of earlier leaders and of
    /// earlier lives: a worker that restarts under its old name would otherwise carry out orders
    /// to its earlier life.
    pub(crate) fn fence(&self, life: LifeId) -> Fence {
        self.term * FENCES_PER_TERM + life
    }

    fn on_placed(
        &mut self,
        state: &State,
        life: LifeId,
        task: TaskRef,
        run: RunNumber,
        now: Timestamp,
    ) {
        log::info!(job = hex(task.step.job).as_str(), step = task.step.step, index = task.index,
            run = run, life = life, term = self.term; "task placed");
        let Some(session) = self.sessions.get_mut(&life) else { return };
        session.add_run(task, run, now);
        if let Some(traits) = run_traits(state, task, run) {
            session.set_run_traits(task, run, traits);
        }
        if state.spec(task.step).is_some_and(|spec| spec.gang) {
            self.learning.gang_placed(task.step, run, session.worker());
        }
    }

    fn on_freed(
        &mut self,
        life: LifeId,
        task: TaskRef,
        run: RunNumber,
        kind: Option<EndKind>,
        now: Timestamp,
    ) {
        log::info!(job = hex(task.step.job).as_str(), step = task.step.step, index = task.index,
            run = run, life = life, kind = kind_name(kind); "run ended");
        self.plan_due = true;
        if kind == Some(EndKind::Done) {
            self.learn_speed(life, task, run, now);
        }
        if let Some(kind) = kind {
            self.learn(life, task, run, kind, now);
        }
        let Some(session) = self.sessions.get_mut(&life) else { return };
        session.remove_run(task, run);
        match kind {
            Some(EndKind::Done) => session.record_outcome(task.step.job, true, now),
            Some(EndKind::Failed) => session.record_outcome(task.step.job, false, now),
            _ => {}
        }
    }

    fn on_job_over(&mut self, state: &State, id: JobId, now: Timestamp) {
        log_job_over(state, id, now);
        self.stop_where(|task| task.step.job == id, now);
        self.ready.retain(|step, _| step.job != id);
        self.advice.retain(|step| step.job != id);
        self.scheduled.retain(|job| *job != id);
    }

    fn add_ready(&mut self, state: &State, step: StepRef) {
        if let Some(urgency) = self.urgency(state, step) {
            self.retry_at.remove(&step);
            self.ready.insert(step, urgency);
        }
    }

    fn on_accepted(&mut self, state: &State, id: JobId, stats: &mut NodeStats, now: Timestamp) {
        stats.accepted += 1;
        let Some(job) = state.job(id) else { return };
        self.fairness.record_accepted(state, job, now);
        let request = job.request.as_ref();
        let policy = state.policy(job.queue);
        log::info!(job = hex(id).as_str(), queue = policy.name.as_str(),
            steps = request.map_or(0, |request| request.steps.len()),
            objective_ms = objective_ms(state, job), waiting = self.ready.len(); "job accepted");
        if request.is_some_and(|request| request.schedule.is_some()) {
            self.scheduled.push(id);
        }
    }

    /// Updates the worker's speed estimate from a task that succeeded there from start to end.
    fn learn_speed(&mut self, life: LifeId, task: TaskRef, run: RunNumber, now: Timestamp) {
        let Some(session) = self.sessions.get(&life) else { return };
        let is_run = |status: &dispatch::RunStatus| (status.task, status.run) == (task, run);
        let status = session.runs().find(is_run);
        let began = status.and_then(|status| status.working_since);
        let traits = status.and_then(|status| status.traits).filter(|traits| traits.from_scratch);
        if let (Some(began), Some(RunTraits { queue, estimate, .. })) = (began, traits) {
            self.speeds.learn(queue, life, estimate, now.saturating_sub(began));
        }
    }

    /// Stops all runs of tasks for which `f` holds.
    fn stop_where<F>(&mut self, f: F, now: Timestamp)
    where
        F: Fn(&jobs::TaskRef) -> bool,
    {
        for session in self.sessions.values_mut() {
            session.stop_where(&f, now);
        }
    }

    /// Time from `next_plan`, the earliest time of the next pass, until that pass is due.
    pub(crate) fn until_plan(&self) -> Duration {
        if self.plan_due {
            return Duration::ZERO;
        }
        let retries = self.retry_at.values().map(|at| at.saturating_sub(self.next_plan));
        retries.fold(MAX_PLAN_INTERVAL, Duration::min)
    }

    /// Latest time for the leader's next duty.
    pub(crate) fn next_wakeup(&self, now: Timestamp) -> Timestamp {
        let mut next = self.next_check;
        if !self.placement_in_flight && !self.ready.is_empty() {
            next = next.min(self.next_plan + self.until_plan());
        }
        next = self.advice.next_wakeup().into_iter().fold(next, Timestamp::min);
        let sessions = self.sessions.values().filter_map(|session| session.next_wakeup());
        sessions.fold(next, Timestamp::min).max(now)
    }
}
