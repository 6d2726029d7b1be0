//! From the state to a placement pass and back: which steps wait, where there is room, whom to ask.

use crate::group::Then;
use crate::leader::{hex, Leader, PLAN_EVERY};
use crate::node::Node;
use dispatch::{AdviceCall, RunStatus, RunTraits};
use jobs::{
    Command, LifeId, Placement, Progress, ResourceVector, RunNumber, State, StepRef, TaskRef,
};
use placement::speeds::Speeds;
use placement::steps::{
    plan, rank, Allowed, Claim, Demand, PausableRun, Reclaimable, StepPlan, Urgency, WorkerCapacity,
};
use std::cmp::Reverse;
use std::time::Duration;
use types::{HostId, Timestamp};

/// A run of which this many percent are done is not stopped for another.
const NEARLY_DONE: u32 = 75;
/// Runs are paused for a step only once this many workers, or all, were asked about.
const ASKED_BEFORE_PAUSING: usize = 48;
/// Where a stop takes longer than this, work that is tight would be late all the same.
const QUICK_STOP: Duration = Duration::from_millis(400);
/// Added to the time between two passes for each step that waits.
const PLAN_PER_STEP: Duration = Duration::from_micros(20);
/// Progress below this many percent says little about the whole.
const LEAST_PERCENT: u32 = 10;
/// A step that waits for an answer or a caller of the advice service is looked at again after this
/// time; an answer comes before.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// The same for tasks that wait for room, and for a gang, for which the search is wider.
const TASKS_AGAIN: Duration = Duration::from_millis(20);
const GANG_AGAIN: Duration = Duration::from_millis(60);
/// Added to what a run should still take: until its end is in the log.
const END_MARGIN: Duration = Duration::from_millis(60);
/// Added to the time that a call for new tickets takes: the ways there and back.
const RENEWAL_MARGIN: Duration = Duration::from_millis(60);
/// Workers named in a call for new tickets, for its duration.
const MAX_RENEWED: usize = 16;
/// Steps that one pass looks at, the most urgent ones.
const MAX_STEPS_PER_PASS: usize = 200;
/// Tasks placed by one command.
const MAX_TASKS_PER_COMMAND: usize = 256;

impl Node {
    pub(crate) fn plan_if_due(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.advice.expire(now);
        let wait = leader.until_plan();
        if leader.placing || leader.ready.is_empty() || now < leader.next_plan + wait {
            return;
        }
        let mut callers = self.known.present(now);
        if !callers.contains(&self.cfg.host) {
            callers.push(self.cfg.host.clone());
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
        self.tries.retain(|step, _| self.ready.contains_key(step));
        let mut rooms = self.rooms(state, now);
        let mut calls = Vec::new();
        let mut demands = Vec::new();
        let steps = self.due_steps(now);
        let claimed = self.claimed(state, now);
        for (step, urgency) in steps {
            match self.demand(state, step, &urgency, now) {
                Some(demand) => demands.push(demand),
                None => {
                    self.try_again(step, now + ASK_AGAIN);
                    calls.extend(self.ask_about_more(state, step, &rooms, now));
                }
            }
        }
        let decided = plan(&mut rooms, &claimed, &demands, now, |life| self.reclaimable(life, now));
        self.follow_claims(&decided, now);
        for (step, lives) in decided.renew {
            self.try_again(step, now + ASK_AGAIN);
            calls.extend(self.ask(state, step, lives, now));
        }
        for step in &decided.unplaced {
            let gang = state.spec(*step).is_some_and(|spec| spec.gang);
            if !decided.waiting.contains(step) {
                self.try_again(*step, now + if gang { GANG_AGAIN } else { TASKS_AGAIN });
            }
            calls.extend(self.ask_about_more(state, *step, &rooms, now));
        }
        let placements = self.as_many_as_fit_one_command(decided.placements);
        Decided { placements, calls, pauses: decided.pauses }
    }

    /// Steps that are to be looked at now, the most urgent first.
    fn due_steps(&self, now: Timestamp) -> Vec<(StepRef, Urgency)> {
        let due = |step: &StepRef| {
            self.tries.get(step).is_none_or(|at| now >= *at)
                && !self.claims.iter().any(|claim| claim.step == *step)
        };
        let ranked = self.ready.iter().filter(|(step, _)| due(step));
        let ranked = ranked.map(|(step, urgency)| (rank(urgency, now), *step, *urgency));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, step, _)| (*rank, *step));
        ranked.truncate(MAX_STEPS_PER_PASS);
        ranked.into_iter().map(|(_, step, urgency)| (step, urgency)).collect()
    }

    /// Forgets claims that were placed or given up, and notes new ones.
    fn follow_claims(&mut self, decided: &StepPlan, now: Timestamp) {
        let placed = |step: &StepRef| decided.placements.iter().any(|p| p.step == *step);
        self.claims
            .retain(|claim| !decided.dropped_claims.contains(&claim.step) && !placed(&claim.step));
        for step in &decided.dropped_claims {
            log::info!(job = hex(step.job).as_str(), step = step.step;
                "room claimed for a gang did not come; given up");
        }
        for claim in &decided.claims {
            let tasks: u32 = claim.at.iter().map(|(_, count)| *count).sum();
            log::info!(job = hex(claim.step.job).as_str(), step = claim.step.step, tasks = tasks,
                workers = claim.at.len(), wait_ms = (claim.begins - now).as_millis() as u64;
                "room claimed for a gang");
        }
        self.claims.extend(decided.claims.iter().cloned());
    }

    /// The first placements, at least one; the rest is due in the next pass.
    fn as_many_as_fit_one_command(&mut self, placements: Vec<Placement>) -> Vec<Placement> {
        let mut count = 0;
        let mut placements = placements;
        placements.retain(|placement| {
            count += placement.tasks.len();
            count <= MAX_TASKS_PER_COMMAND || placement.tasks.len() == count
        });
        self.plan_due |= count > MAX_TASKS_PER_COMMAND;
        placements
    }

    fn try_again(&mut self, step: StepRef, at: Timestamp) {
        self.tries.insert(step, at);
    }

    /// Workers that take new work, by life.
    fn rooms<'a>(&self, state: &'a State, now: Timestamp) -> Vec<WorkerCapacity<'a>> {
        let mut sessions = self.sessions.iter().peekable();
        let mut rooms = Vec::with_capacity(self.sessions.len());
        // Both are sorted by life.
        for life in state.lives() {
            while sessions.next_if(|(id, _)| **id < life.id).is_some() {}
            let session = sessions.peek().filter(|(id, _)| **id == life.id);
            let usable = session.is_some_and(|(_, session)| session.is_usable(now));
            let silent = self.zones.is_silent(&life.info.zone);
            if usable && !silent && !life.info.draining {
                let (free, slowness) = (life.free(), self.speeds.slowness(life.id));
                let claimed_beyond_free = ResourceVector::default();
                rooms.push(WorkerCapacity {
                    life: life.id,
                    info: &life.info,
                    free,
                    claimed_beyond_free,
                    slowness,
                });
            }
        }
        rooms
    }

    /// Gangs with a claim, oldest claim first. Claims of steps that are over are forgotten.
    fn claimed(&mut self, state: &State, now: Timestamp) -> Vec<(Claim, Demand)> {
        let claims = std::mem::take(&mut self.claims);
        let mut claimed = Vec::with_capacity(claims.len());
        for claim in claims {
            let urgency = self.ready.get(&claim.step).copied();
            let demand = urgency.and_then(|u| self.demand(state, claim.step, &u, now));
            if let Some(demand) = demand {
                self.claims.push(claim.clone());
                claimed.push((claim, demand));
            }
        }
        claimed
    }

    /// Room on a worker that is free soon, and runs that could be stopped without loss.
    fn reclaimable(&self, life: LifeId, now: Timestamp) -> Reclaimable {
        let Some(session) = self.sessions.get(&life) else { return Reclaimable::default() };
        let slowness = f64::from(self.speeds.slowness(life)) / 100.0;
        let mut found = Reclaimable::default();
        for status in session.runs() {
            let Some(traits) = status.traits else { continue };
            let RunTraits { need, priority, estimate, .. } = traits;
            if status.stopping {
                found.stopping = found.stopping.plus(&need);
            } else if traits.pausable
                && status.working_since.is_some()
                && status.percent < NEARLY_DONE
            {
                let run = PausableRun { task: status.task, run: status.run, need, priority };
                found.pausable.push(run);
            } else if !traits.endless {
                let pace = self.speeds.correction(traits.queue) * slowness;
                let left = time_left(&status, estimate.mul_f64(pace), now);
                found.ending.push((left + END_MARGIN, need));
            }
        }
        // Few stops cost less than many: each takes its worker's time, and the task a new place.
        found.pausable.sort_unstable_by_key(|run| Reverse((run.need.cpu, run.task)));
        found.ending.sort_unstable_by_key(|(left, _)| *left);
        found
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
        let tasks = startable(state, step, progress, spec.gang);
        if tasks.is_empty() {
            return None;
        }
        let policy = state.policy(job.queue);
        let mut asked_enough = true;
        let mut renewal = Duration::ZERO;
        let allowed = match &policy.advice {
            None => Allowed::Any,
            Some(advice) => {
                let known = self.advice.step(step).filter(|known| known.any_asked())?;
                let enough = ASKED_BEFORE_PAUSING.min(self.usable(now));
                asked_enough = known.asked() >= enough;
                renewal = advice.duration(progress.tasks.len().min(MAX_RENEWED)) + RENEWAL_MARGIN;
                Allowed::Only(known.eligible(advice.ticket_life).collect())
            }
        };
        let placed = if spec.max_per_worker > 0 { count_placed(progress) } else { Vec::new() };
        Some(Demand {
            step,
            tasks,
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
            // A gang is on time all the same: its objective leaves it more than a stop takes.
            can_wait_for_stop: (spec.gang || (asked_enough && self.stop_time <= QUICK_STOP))
                && now + self.stop_time + urgency.left <= urgency.submitted + urgency.objective,
            stop_time: self.stop_time,
            renewal,
        })
    }
}

/// When the job of a step is to be done.
pub(crate) fn urgency(state: &State, step: StepRef, speeds: &Speeds) -> Option<Urgency> {
    let job = state.job(step.job)?;
    let policy = state.policy(job.queue);
    let request = job.request.as_ref();
    let chain = request.map(|request| request.critical_path()).unwrap_or_default();
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

/// How much longer a run should take: by how far it has got, where its worker has said so, else by
/// what it was expected to take.
fn time_left(status: &RunStatus, expected: Duration, now: Timestamp) -> Duration {
    let Some(began) = status.working_since else { return expected };
    let worked = now.saturating_sub(began);
    if status.percent < LEAST_PERCENT {
        return expected.saturating_sub(worked);
    }
    let until_said = status.percent_at.saturating_sub(began).as_secs_f64();
    let whole = Duration::from_secs_f64(until_said * 100.0 / f64::from(status.percent.min(100)));
    whole.saturating_sub(worked)
}

/// Tasks that wait for a place and of which no earlier start can be carried out any more.
fn startable(state: &State, step: StepRef, progress: &jobs::StepState, gang: bool) -> Vec<u32> {
    let mut tasks: Vec<u32> = progress.waiting().collect();
    let unsure = |index: &u32| {
        state.in_doubt_starts().iter().any(|start| start.task == TaskRef { step, index: *index })
    };
    if gang && tasks.iter().any(unsure) {
        return Vec::new();
    }
    tasks.retain(|index| !unsure(index));
    tasks
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
