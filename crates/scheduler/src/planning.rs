//! Placement passes: collects waiting steps, free capacity and advice, runs the placement
//! algorithm, and turns its result into commands, stops and advice calls.

use crate::group::OnApplied;
use crate::job_log::hex;
use crate::leader::{Leader, MIN_PLAN_INTERVAL};
use crate::node::Node;
use crate::quota_waits::{rooms, without_claims};
use dispatch::{AdviceCall, RunStatus, RunTraits};
use jobs::{Command, LifeId, Placement, RunNumber, State, StepRef, TaskRef};
use placement::steps::{
    plan, rank, Claim, Demand, PausableRun, Rank, Reclaimable, StepPlan, Urgency, WorkerCapacity,
};
use std::cmp::Reverse;
use std::time::Duration;
use types::{HostId, Timestamp};

/// A run that has reached this progress is not stopped for another one.
const NEARLY_DONE_PERCENT: u32 = 75;
/// Added to the interval between two passes for each waiting step.
const PLAN_INTERVAL_PER_STEP: Duration = Duration::from_micros(20);
/// Progress below this many percent is too little to estimate a run's total time.
const MIN_MEANINGFUL_PERCENT: u32 = 10;
/// A step that waits for an answer or a free caller of the advice service is tried again after this
/// time, or as soon as an answer arrives.
const ADVICE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A step whose tasks wait for capacity is tried again after this time.
const TASK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A gang that waits for capacity is tried again after this time. The search for a gang is wider.
const GANG_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Steps that found no capacity and lie behind this many others of the same pass are tried again
/// after twice the usual time, behind twice as many after three times that, and so on.
const STEPS_PER_RETRY_INTERVAL: u32 = 20;
/// Largest multiple of the usual time after which a step is tried again.
const MAX_RETRY_INTERVALS: u32 = 10;
/// Added to a run's estimated remaining time: the time until its end is committed.
const END_MARGIN: Duration = Duration::from_millis(60);
/// Limit on the steps in one pass; the most urgent ones are taken.
const MAX_STEPS_PER_PASS: usize = 200;
/// Limit on the tasks that one command places.
const MAX_TASKS_PER_COMMAND: usize = 256;

impl Node {
    /// Runs a placement pass if one is due and the placements of the last one are applied.
    pub(crate) fn plan_if_due(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.advice.expire(now);
        let wait = leader.until_plan();
        if leader.placement_in_flight || leader.ready.is_empty() || now < leader.next_plan + wait {
            return;
        }
        let mut callers = self.peers.live_hosts(now);
        if !callers.contains(&self.cfg.host) {
            callers.push(self.cfg.host.clone());
        }
        leader.plan_due = false;
        // The time that a pass takes grows with the number of waiting steps.
        leader.next_plan =
            now + MIN_PLAN_INTERVAL + PLAN_INTERVAL_PER_STEP * leader.ready.len() as u32;
        let PassResult { placements, calls, pauses } = leader.plan(&group.state, &callers, now);
        for (life, task, run) in pauses {
            log::info!(job = hex(task.step.job).as_str(), index = task.index, run = run, life = life;
                "run paused for more urgent work");
            if let Some(session) = leader.sessions.get_mut(&life) {
                session.stop_run(task, run, now);
            }
        }
        for call in calls {
            self.send_advice_call(call);
        }
        if placements.is_empty() {
            return;
        }
        let placed = self.propose(&Command::Place { placements }, OnApplied::Placed);
        if let Some(leader) = self.leader_mut() {
            leader.placement_in_flight = placed;
        }
    }
}

/// Result of a placement pass.
struct PassResult {
    placements: Vec<Placement>,
    calls: Vec<AdviceCall>,
    pauses: Vec<(LifeId, TaskRef, RunNumber)>,
}

impl Leader {
    /// Runs one pass: decides what to place, which runs to stop for that, and which advice calls to
    /// make.
    fn plan(&mut self, state: &State, callers: &[HostId], now: Timestamp) -> PassResult {
        self.advice.set_callers(callers);
        self.ready.retain(|step, _| state.job(step.job).is_some_and(|job| job.is_ready(*step)));
        let rooms = rooms(state, self.ready.keys());
        let beside_claims = without_claims(state, &rooms, &self.claims);
        let claimed = |step: &&StepRef| self.claims.iter().any(|claim| claim.step == **step);
        let unclaimed = self.ready.keys().filter(|step| !claimed(step));
        self.quota_waits.update(state, unclaimed, &beside_claims);
        let waits = |step: &StepRef| self.quota_waits.contains(step);
        self.retry_at.retain(|step, _| self.ready.contains_key(step) && !waits(step));
        let mut workers = self.worker_capacities(state, now);
        self.set_fastest(workers.iter().map(|worker| worker.slowness));
        let mut calls = Vec::new();
        let mut demands = Vec::new();
        self.fairness.refresh(state, &self.ready, &workers, now);
        let steps = self.due_steps(state, now);
        let claimed = self.live_claims(state, now);
        for (step, urgency, yields) in steps {
            match self.demand(state, step, &urgency, now) {
                Some(demand) => {
                    demands.extend(self.split_suspects(state, Demand { yields, ..demand }));
                }
                None => {
                    self.schedule_retry(step, now + ADVICE_RETRY_INTERVAL);
                    calls.extend(self.next_advice_call(state, step, &workers, now));
                }
            }
        }
        // The workers kept free for suspects must not be given to others in the same pass.
        demands.sort_by_key(|demand| !demand.suspect);
        let suspect = |step: &StepRef| demands.iter().any(|d| d.suspect && d.step == *step);
        let decided = plan(&mut workers, &claimed, &demands, rooms, now, |life| {
            self.reclaimable(state, life, now)
        });
        self.log_held_back(&decided.unplaced, &workers, now);
        self.update_claims(&decided, now);
        for (step, lives) in decided.renew {
            self.schedule_retry(step, now + ADVICE_RETRY_INTERVAL);
            calls.extend(self.next_renewal(state, step, lives, &workers, now));
        }
        for (ahead, step) in decided.unplaced.iter().enumerate() {
            let gang = state.spec(*step).is_some_and(|spec| spec.gang);
            if !decided.waiting.contains(step) && !suspect(step) {
                let usual = if gang { GANG_RETRY_INTERVAL } else { TASK_RETRY_INTERVAL };
                self.schedule_retry(*step, now + retry_interval(usual, ahead));
            }
            calls.extend(self.next_advice_call(state, *step, &workers, now));
        }
        let placements = self.limit_to_one_command(decided.placements);
        self.fairness.record_placed(state, &placements);
        PassResult { placements, calls, pauses: decided.pauses }
    }

    /// Waiting steps without a claim whose retry time has come and whose account has room, in the order
    /// in which they are served, and whether each one gets only what is left over.
    fn due_steps(&self, state: &State, now: Timestamp) -> Vec<(StepRef, Urgency, bool)> {
        let due = |step: &StepRef| {
            self.retry_at.get(step).is_none_or(|at| now >= *at)
                && !self.quota_waits.contains(step)
                && !self.claims.iter().any(|claim| claim.step == *step)
        };
        let ranked = self.ready.iter().filter(|(step, _)| due(step));
        let ranked = ranked.map(|(step, urgency)| {
            let standing = self.fairness.standing(state, step.job);
            (rank(urgency, &standing, now), *step, *urgency)
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by_key(|(rank, step, _)| (*rank, *step));
        ranked.truncate(MAX_STEPS_PER_PASS);
        let yields = |rank: Rank| self.fairness.is_active() && rank.yields();
        ranked.into_iter().map(|(rank, step, urgency)| (step, urgency, yields(rank))).collect()
    }

    /// Removes claims that were placed or given up, and adds new ones.
    fn update_claims(&mut self, decided: &StepPlan, now: Timestamp) {
        let placed = |step: &StepRef| decided.placements.iter().any(|p| p.step == *step);
        self.claims
            .retain(|claim| !decided.dropped_claims.contains(&claim.step) && !placed(&claim.step));
        for step in &decided.dropped_claims {
            log::info!(job = hex(step.job).as_str(), step = step.step;
                "claim for a gang given up: the capacity did not become free");
        }
        for claim in &decided.claims {
            let tasks: u32 = claim.workers.iter().map(|(_, count)| *count).sum();
            log::info!(job = hex(claim.step.job).as_str(), step = claim.step.step, tasks = tasks,
                workers = claim.workers.len(), wait_ms = (claim.ready_at - now).as_millis() as u64;
                "capacity claimed for a gang");
        }
        self.claims.extend(decided.claims.iter().cloned());
    }

    /// Truncates placements to the limit of one command but keeps at least one. The next pass
    /// places the rest.
    fn limit_to_one_command(&mut self, placements: Vec<Placement>) -> Vec<Placement> {
        let mut count = 0;
        let mut placements = placements;
        placements.retain(|placement| {
            count += placement.tasks.len();
            count <= MAX_TASKS_PER_COMMAND || placement.tasks.len() == count
        });
        self.plan_due |= count > MAX_TASKS_PER_COMMAND;
        placements
    }

    fn schedule_retry(&mut self, step: StepRef, at: Timestamp) {
        self.retry_at.insert(step, at);
    }

    /// Workers that accept new tasks with their free capacity, by life.
    fn worker_capacities<'a>(&self, state: &'a State, now: Timestamp) -> Vec<WorkerCapacity<'a>> {
        let mut sessions = self.sessions.iter().peekable();
        let mut workers = Vec::with_capacity(self.sessions.len());
        // Both are sorted by life.
        for life in state.lives() {
            while sessions.next_if(|(id, _)| **id < life.id).is_some() {}
            let session = sessions.peek().filter(|(id, _)| **id == life.id);
            let usable = session.is_some_and(|(_, session)| session.is_usable(now));
            let silent = self.zones.is_silent(&life.info.zone);
            if usable && !silent && !life.info.draining {
                let (free, slowness) = (life.free(), self.slowness(life.id, &life.info.worker));
                // What ends on a worker that has shrunk does not become free at first.
                let claimed_beyond_free = life.excess();
                let isolation = self.isolation(state, life.id, now);
                workers.push(WorkerCapacity {
                    life: life.id,
                    info: &life.info,
                    free,
                    claimed_beyond_free,
                    slowness,
                    isolation,
                });
            }
        }
        workers
    }

    /// Claims with the demands of their gangs, oldest first. Claims of steps that no longer wait
    /// are removed.
    fn live_claims(&mut self, state: &State, now: Timestamp) -> Vec<(Claim, Demand)> {
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

    /// Capacity of a worker that becomes free soon, and runs that can be paused without losing
    /// work.
    fn reclaimable(&self, state: &State, life: LifeId, now: Timestamp) -> Reclaimable {
        let Some(session) = self.sessions.get(&life) else { return Reclaimable::default() };
        let slowness = f64::from(self.slowness(life, session.worker())) / 100.0;
        let mut found = Reclaimable::default();
        for status in session.runs() {
            let Some(traits) = status.traits else { continue };
            let RunTraits { need, priority, estimate, .. } = traits;
            if status.stopping {
                found.stopping = found.stopping.plus(&need);
            } else if traits.pausable
                && status.working_since.is_some()
                && status.percent < NEARLY_DONE_PERCENT
                // A pause would only postpone the crash that shows whether the task causes it.
                && self.apart_until(state, &status, now).is_none()
            {
                let run = PausableRun { task: status.task, run: status.run, need, priority };
                found.pausable.push(run);
            } else if !traits.endless {
                let expected = self.forecast(traits.queue, estimate).high.mul_f64(slowness);
                let left = time_left(&status, expected, now);
                found.ending.push((left + END_MARGIN, need));
            }
        }
        // Largest runs first, because few stops cost less than many: each takes the worker's time
        // and needs a new placement.
        found.pausable.sort_unstable_by_key(|run| Reverse((run.need.cpu, run.task)));
        found.ending.sort_unstable_by_key(|(left, _)| *left);
        found
    }
}

/// When a step that found no capacity is tried again, if this many others of the pass found none
/// before it. What becomes free goes to those first, and a try takes the leader's time.
fn retry_interval(usual: Duration, ahead: usize) -> Duration {
    let intervals = u32::try_from(ahead).unwrap_or(u32::MAX) / STEPS_PER_RETRY_INTERVAL;
    usual * intervals.saturating_add(1).min(MAX_RETRY_INTERVALS)
}

/// Estimated remaining time of a run: from its reported progress if that is enough, otherwise from
/// its expected duration.
fn time_left(status: &RunStatus, expected: Duration, now: Timestamp) -> Duration {
    let Some(began) = status.working_since else { return expected };
    let worked = now.saturating_sub(began);
    if status.percent < MIN_MEANINGFUL_PERCENT {
        return expected.saturating_sub(worked);
    }
    let until_report = status.percent_at.saturating_sub(began).as_secs_f64();
    let total = Duration::from_secs_f64(until_report * 100.0 / f64::from(status.percent.min(100)));
    total.saturating_sub(worked)
}
