//! From the state to a placement pass and back: which steps wait, where there is room, whom to ask.

use crate::group::Then;
use crate::leader::{hex, Leader, PLAN_AT_LEAST, PLAN_EVERY};
use crate::node::Node;
use dispatch::AdviceCall;
use jobs::{Command, LifeId, Placement, Progress, Room, RunNumber, State, StepRef, TaskRef};
use placement::speeds::Speeds;
use placement::steps::{
    plan, rank, Allowed, Demand, PausableRun, Reclaimable, Urgency, WorkerRoom,
};
use std::time::Duration;
use types::{HostId, Timestamp};

/// A run of which this many percent are done is not stopped for another.
const NEARLY_DONE: u32 = 75;
/// Workers are asked about until so many times the tasks that wait should find room, and at least
/// so many: the choice is worth more than the call while callers are idle.
const ASKED_WIDELY: (f64, usize) = (6.0, 48);
/// The same while calls wait for each other.
const ASKED_NARROWLY: (f64, usize) = (2.0, 8);
/// Runs are paused for a step only once this many workers, or all, were asked about.
const ASKED_BEFORE_PAUSING: usize = 48;
/// Where a stop takes longer than this, work that is tight would be late all the same.
const QUICK_STOP: Duration = Duration::from_millis(400);
/// Added to the time between two passes for each step that waits.
const PLAN_PER_STEP: Duration = Duration::from_micros(20);
/// Steps that one pass looks at, the most urgent ones.
const MAX_STEPS_PER_PASS: usize = 200;
/// Tasks placed by one command.
const MAX_TASKS_PER_COMMAND: usize = 256;

impl Node {
    pub(crate) fn plan_if_due(&mut self) {
        let now = self.now;
        let mut callers = self.known.present(now);
        if !callers.contains(&self.cfg.host) {
            callers.push(self.cfg.host.clone());
        }
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.advice.expire(now);
        let wait = if leader.plan_due { Duration::ZERO } else { PLAN_AT_LEAST };
        if leader.placing || leader.ready.is_empty() || now < leader.next_plan + wait {
            return;
        }
        leader.plan_due = false;
        // A pass takes time for each step that waits.
        leader.next_plan = now + PLAN_EVERY + PLAN_PER_STEP * leader.ready.len() as u32;
        let Decided { placements, calls, pauses } = leader.plan(&group.state, &callers, now);
        for (life, task, run) in pauses {
            log::info!(job = hex(task.step.job).as_str(), index = task.index, run = run, life = life;
                "run paused for more urgent work");
            if let Some(session) = leader.sessions.get_mut(&life) {
                session.stop_run(task, run, now);
            }
        }
        for call in calls {
            self.ask_advice(call);
        }
        if placements.is_empty() {
            return;
        }
        let placed = self.propose(&Command::Place { placements }, Then::Placed);
        if let Some(leader) = self.leader_mut() {
            leader.placing = placed;
        }
    }
}

/// What a pass came to.
struct Decided {
    placements: Vec<Placement>,
    calls: Vec<AdviceCall>,
    pauses: Vec<(LifeId, TaskRef, RunNumber)>,
}

impl Leader {
    /// One pass: what to place, what to stop for it, and which calls to make for advice.
    fn plan(&mut self, state: &State, callers: &[HostId], now: Timestamp) -> Decided {
        self.advice.set_callers(callers);
        self.ready.retain(|step, _| state.job(step.job).is_some_and(|job| job.is_ready(*step)));
        let mut rooms = self.rooms(state, now);
        let ranked = self.ready.iter().map(|(step, urgency)| (rank(urgency, now), *step, *urgency));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, step, _)| (*rank, *step));
        ranked.truncate(MAX_STEPS_PER_PASS);
        let mut calls = Vec::new();
        let mut demands = Vec::with_capacity(ranked.len());
        for (_, step, urgency) in ranked {
            match self.demand(state, step, &urgency, now) {
                Some(demand) => demands.push(demand),
                None => calls.extend(self.ask_about_more(state, step, &rooms, now)),
            }
        }
        let decided = plan(&mut rooms, &demands, |life| self.reclaimable(state, life));
        for (step, lives) in decided.renew {
            calls.extend(self.ask(state, step, lives, now));
        }
        for step in &decided.short {
            calls.extend(self.ask_about_more(state, *step, &rooms, now));
        }
        let mut count = 0;
        let mut placements = decided.placements;
        placements.retain(|placement| {
            count += placement.tasks.len();
            count <= MAX_TASKS_PER_COMMAND || placement.tasks.len() == count
        });
        self.plan_due |= count > MAX_TASKS_PER_COMMAND;
        Decided { placements, calls, pauses: decided.pauses }
    }

    fn rooms<'a>(&self, state: &'a State, now: Timestamp) -> Vec<WorkerRoom<'a>> {
        let usable = |id: LifeId| self.sessions.get(&id).is_some_and(|s| s.is_usable(now));
        let lives = state.lives().filter(|life| !life.info.draining && usable(life.id));
        let room = |life: &'a jobs::Life| WorkerRoom {
            life: life.id,
            info: &life.info,
            free: life.free(),
            slowness: self.speeds.slowness(life.id),
        };
        lives.map(room).collect()
    }

    /// Room on a worker that is free soon, and runs that could be stopped without loss.
    fn reclaimable(&self, state: &State, life: LifeId) -> Reclaimable {
        let mut stopping = Room::default();
        let mut pausable: Vec<(u32, PausableRun)> = Vec::new();
        let (Some(session), Some(life)) = (self.sessions.get(&life), state.life(life)) else {
            return Reclaimable::default();
        };
        for status in session.runs() {
            let of_life = |run: &&jobs::Run| (run.task, run.run) == (status.task, status.run);
            let Some(run) = life.runs.iter().find(of_life) else { continue };
            if status.stopping {
                stopping = stopping.plus(&run.need);
                continue;
            }
            let Some(spec) = state.spec(status.task.step) else { continue };
            let Some(job) = state.job(status.task.step.job) else { continue };
            let loses_nothing = spec.checkpoint && !spec.gang && !spec.long_running;
            if loses_nothing && status.working_since.is_some() && status.percent < NEARLY_DONE {
                let priority = state.policy(job.queue).priority;
                let need = run.need;
                let run = PausableRun { task: status.task, run: status.run, need, priority };
                pausable.push((status.percent, run));
            }
        }
        pausable.sort_by_key(|(percent, _)| *percent);
        Reclaimable { stopping, pausable: pausable.into_iter().map(|(_, run)| run).collect() }
    }

    /// What a step wants, or `None` while it is not known which workers may run it.
    fn demand(
        &self,
        state: &State,
        step: StepRef,
        urgency: &Urgency,
        now: Timestamp,
    ) -> Option<Demand> {
        let job = state.job(step.job)?;
        let spec = state.spec(step)?;
        let progress = job.step(step)?;
        let policy = state.policy(job.queue);
        let mut asked_enough = true;
        let allowed = match &policy.advice {
            None => Allowed::Any,
            Some(advice) => {
                let known = self.advice.step(step).filter(|known| known.is_known())?;
                let enough = ASKED_BEFORE_PAUSING.min(self.usable(now));
                asked_enough = known.asked() >= enough;
                Allowed::Only(known.good(now, advice.ticket_life).collect())
            }
        };
        let placed = if spec.max_per_worker > 0 { count_placed(progress) } else { Vec::new() };
        Some(Demand {
            step,
            tasks: progress.waiting().collect(),
            need: spec.charge(),
            gang: spec.gang,
            same_rack: spec.same_rack,
            required_label: spec.required_label.clone(),
            data_rack: spec.data_rack.clone(),
            max_per_worker: spec.max_per_worker,
            service: policy.service.clone(),
            allowed,
            placed,
            tight: urgency.is_tight(now),
            priority: policy.priority,
            can_wait_for_stop: asked_enough
                && self.stop_time <= QUICK_STOP
                && now + self.stop_time + urgency.left <= urgency.submitted + urgency.objective,
        })
    }

    /// Asks about workers that could hold a task of the step and were not asked about: about as
    /// many as should be enough, those with the most room first.
    fn ask_about_more(
        &mut self,
        state: &State,
        step: StepRef,
        rooms: &[WorkerRoom<'_>],
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let (spec, job) = (state.spec(step)?, state.job(step.job)?);
        let policy = state.policy(job.queue);
        let advice = policy.advice?;
        if !self.advice.has_caller(&advice, now) {
            return None;
        }
        let known = self.advice.step(step);
        if known.is_some_and(|known| known.is_pending()) {
            return None;
        }
        let need = spec.charge();
        let fits = |room: &&WorkerRoom<'_>| {
            let labelled =
                spec.required_label.as_ref().is_none_or(|l| room.info.labels.contains(l));
            room.info.service == policy.service
                && labelled
                && need.fits_in(&room.info.capacity)
                && !known.is_some_and(|known| known.knows(room.life))
        };
        let mut unknown: Vec<&WorkerRoom<'_>> = rooms.iter().filter(fits).collect();
        unknown.sort_by_key(|room| std::cmp::Reverse((need.count_in(&room.free), room.free.cpu)));
        let waiting = job.step(step)?.waiting().count() as f64;
        let quiet = self.advice.is_quiet(&advice, now);
        let (over, least) = if quiet { ASKED_WIDELY } else { ASKED_NARROWLY };
        let wanted = waiting * over / self.advice.good_share(job.queue);
        let mut expected = 0.0;
        let enough = unknown.iter().position(|room| {
            expected += f64::from(need.count_in(&room.free).min(spec.max_per_worker.max(1) * 8));
            expected >= wanted
        });
        let count = enough.map_or(unknown.len(), |i| i + 1).max(least);
        let lives = unknown.iter().take(count).map(|room| room.life).collect();
        self.ask(state, step, lives, now)
    }

    fn ask(
        &mut self,
        state: &State,
        step: StepRef,
        lives: Vec<LifeId>,
        now: Timestamp,
    ) -> Option<AdviceCall> {
        let queue = state.job(step.job)?.queue;
        let policy = state.policy(queue).advice?;
        self.advice.ask(step, queue, lives, &policy, now)
    }
}

/// When the job of a step is to be done.
pub(crate) fn urgency(state: &State, step: StepRef, speeds: &Speeds) -> Option<Urgency> {
    let job = state.job(step.job)?;
    let policy = state.policy(job.queue);
    let request = job.request.as_ref();
    let chain = request.map(|request| request.chain()).unwrap_or_default();
    let spec = state.spec(step);
    let left = spec.map(|spec| spec.estimate).unwrap_or_default();
    let left = left.mul_f64(speeds.correction(job.queue));
    let due = match request.and_then(|request| request.schedule) {
        Some(schedule) => schedule.first + schedule.interval * step.occurrence,
        None => job.submitted,
    };
    let objective = policy.objective(chain);
    Some(Urgency { priority: policy.priority, submitted: due, objective, left })
}

/// Tasks of a step that have a place, by life.
fn count_placed(progress: &jobs::StepState) -> Vec<(LifeId, u32)> {
    let mut placed: Vec<(LifeId, u32)> = Vec::new();
    for task in &progress.tasks {
        if let Progress::Placed(life) = task.progress {
            match placed.iter_mut().find(|(id, _)| *id == life) {
                Some((_, count)) => *count += 1,
                None => placed.push((life, 1)),
            }
        }
    }
    placed
}
