//! The planner, which decides what starts next and where.

use crate::admit::OVERRUN_GRACE;
use crate::estimate::Estimates;
use crate::policy::Policy;
use crate::queue::{Key, Queue};
use crate::reservation::{PredictedEnd, Reservation};
use crate::teams::Teams;
use crate::view::{JobView, RunView, WorkerView};
use crate::workers::{Slot, Workers};
use crate::{all_at_once, preempt};
use std::time::Duration;
use types::{
    Fence, Incarnation, JobClass, JobId, Resources, SortedMap, TeamName, TeamQuota, Timestamp,
    WorkerId,
};

/// How long a reservation is kept before it is recomputed. Until then its workers drain, however
/// wrong the run time estimates are. Recomputing it often could postpone its start forever.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(120);
/// Maximum number of tasks of one job that are placed before other teams get a turn.
const TASKS_PER_TURN: u32 = 64;
/// Maximum number of reserved slots that are skipped in the search for a slot before the task has
/// to wait.
const MAX_RESERVED_SKIPS: usize = 32;

/// A task to place, and the worker to place it on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedTask {
    /// Id of the job that the task belongs to.
    pub job: JobId,
    /// Name of the worker.
    pub worker: WorkerId,
    /// Incarnation that the placement was computed for.
    pub incarnation: Incarnation,
}

/// The result of one planning pass.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Tasks to place; all tasks of one turn of a job are adjacent.
    pub placements: Vec<PlannedTask>,
    /// Runs to stop to make room for urgent work.
    pub stops: Vec<Fence>,
    /// Jobs that are newly predicted to miss their deadline.
    pub late: Vec<JobId>,
    /// When to plan again even if nothing changes; `None` if only a change can matter.
    pub wake: Option<Timestamp>,
}

/// Runs that were stopped for a task of an urgent job and have not ended yet.
#[derive(Clone, Debug)]
struct PendingPreemption {
    job: JobId,
    fences: Vec<Fence>,
}

/// Holds views of the replicated state and computes plans. See the crate documentation.
#[derive(Clone, Debug)]
pub struct Planner {
    policy: Policy,
    workers: Workers,
    jobs: SortedMap<JobId, Box<JobView>>,
    queue: Queue,
    runs: SortedMap<Fence, Box<RunView>>,
    runs_by_slot: SortedMap<Slot, Vec<Fence>>,
    teams: Teams,
    estimates: Estimates,
    reservation: Option<Reservation>,
    preemptions: Vec<PendingPreemption>,
    /// Resources that the last plan charged to teams and that the state has not confirmed.
    planned: Vec<(TeamName, Resources)>,
    /// Slots that the last plan assigned to jobs, for spreading.
    planned_slots: Vec<(Slot, JobId)>,
    rng: fastrand::Rng,
    changed: bool,
    wake: Option<Timestamp>,
}

/// Working state of one planning pass.
struct Draft {
    now: Timestamp,
    limit: usize,
    plan: Plan,
    /// Task sizes that did not fit; a task at least as large in every resource does not fit either.
    blocked: Vec<Resources>,
}

impl Draft {
    fn is_full(&self) -> bool {
        self.plan.placements.len() >= self.limit
    }

    fn is_blocked(&self, need: &Resources) -> bool {
        self.blocked.iter().any(|shape| shape.fits_in(need))
    }

    fn wake_at(&mut self, at: Timestamp) {
        self.plan.wake = Some(self.plan.wake.map_or(at, |wake| wake.min(at)));
    }
}

impl Planner {
    /// Creates a planner without workers, jobs and runs. `seed` determines its random choices.
    pub fn new(policy: Policy, seed: u64) -> Planner {
        Planner {
            policy,
            workers: Workers::default(),
            jobs: SortedMap::default(),
            queue: Queue::default(),
            runs: SortedMap::default(),
            runs_by_slot: SortedMap::default(),
            teams: Teams::default(),
            estimates: Estimates::default(),
            reservation: None,
            preemptions: Vec::new(),
            planned: Vec::new(),
            planned_slots: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            changed: true,
            wake: None,
        }
    }

    /// Inserts or replaces the view of a worker.
    pub fn upsert_worker(&mut self, view: WorkerView) {
        self.workers.upsert(view);
        self.changed = true;
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    /// Inserts or replaces the view of a job. A job without waiting tasks is removed.
    pub fn upsert_job(&mut self, view: JobView) {
        if view.waiting == 0 {
            self.remove_job(view.id);
            return;
        }
        let latest_start = view.deadline.map(|at| at.saturating_sub(self.predict(&view)));
        self.queue.insert(&view, latest_start);
        self.jobs.insert(view.id, Box::new(view));
        self.changed = true;
    }

    /// Removes a job.
    pub fn remove_job(&mut self, id: JobId) {
        self.queue.remove(id);
        self.jobs.remove(&id);
        self.preemptions.retain(|preemption| preemption.job != id);
        if self.reservation.as_ref().is_some_and(|r| r.job == id) {
            self.reservation = None;
            self.changed = true;
        }
    }

    /// Inserts a run. For a known run only `stopping` is updated.
    pub fn upsert_run(&mut self, run: RunView) {
        if let Some(known) = self.runs.get_mut(&run.fence) {
            known.stopping = run.stopping;
            return;
        }
        self.teams.acquire(&run.team, &run.resources);
        if let Some(slot) = self.workers.slot_of(&run.worker) {
            self.runs_by_slot.get_or_insert_with(slot, Vec::new).push(run.fence);
            if let Some(worker) = self.workers.get_mut(slot) {
                worker.jobs.push(run.job);
            }
        }
        self.runs.insert(run.fence, Box::new(run));
    }

    /// Removes a run.
    pub fn remove_run(&mut self, fence: Fence) {
        let Some(run) = self.runs.remove(&fence) else { return };
        self.teams.release(&run.team, &run.resources);
        for preemption in &mut self.preemptions {
            preemption.fences.retain(|f| *f != fence);
        }
        self.preemptions.retain(|preemption| !preemption.fences.is_empty());
        self.changed = true;
        let Some(slot) = self.workers.slot_of(&run.worker) else { return };
        if let Some(fences) = self.runs_by_slot.get_mut(&slot) {
            fences.retain(|f| *f != fence);
        }
        self.remove_job_from_slot(slot, run.job);
    }

    fn remove_job_from_slot(&mut self, slot: Slot, job: JobId) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        if let Some(i) = worker.jobs.iter().position(|j| *j == job) {
            worker.jobs.swap_remove(i);
        }
    }

    /// Replaces all team quotas.
    pub fn set_quotas<'a, I>(&mut self, quotas: I)
    where
        I: IntoIterator<Item = &'a TeamQuota>,
    {
        self.teams.set_quotas(quotas);
        self.changed = true;
    }

    /// Updates run time predictions from a run that succeeded.
    pub fn learn(&mut self, team: &str, name: &str, declared: Duration, actual: Duration) {
        self.estimates.learn(team, name, declared, actual);
    }

    /// Predicted run time of a task of a job.
    pub fn predict(&self, job: &JobView) -> Duration {
        let declared = job.run_time.unwrap_or(self.policy.default_run_time);
        self.estimates.predict(&job.team, &job.name, declared)
    }

    /// Number of jobs with waiting tasks.
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len()
    }

    /// The job that holds the reservation and its expected start; `None` without a reservation.
    pub fn reserved(&self) -> Option<(JobId, Timestamp)> {
        self.reservation.as_ref().map(|r| (r.job, r.start))
    }

    /// Explains to operators why a waiting job has not started.
    pub fn explain(&self, id: JobId, now: Timestamp) -> String {
        let Some(job) = self.jobs.get(&id) else { return "nothing of it waits".to_string() };
        if now < job.held_until {
            return format!("held back for {:?} after failures", job.held_until - now);
        }
        if self.teams.allowed(&job.team, &job.resources, 1, &self.workers.capacity) == 0 {
            return format!("team `{}` holds as much as its quota allows", job.team);
        }
        if let Some((_, start)) = self.reserved().filter(|(reserved, _)| *reserved == id) {
            let wait = start.saturating_sub(now);
            return format!("all {} tasks start together, expected in {wait:?}", job.waiting);
        }
        if !self.workers.index.may_fit(&job.resources) {
            return "no worker has enough room for one task".to_string();
        }
        format!("{} tasks wait for their turn among {} jobs", job.waiting, self.queue.len())
    }

    /// Whether a new plan could differ from the last one.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.changed || self.wake.is_some_and(|at| at <= now)
    }

    /// Plans up to about `limit` placements. Planned resources count as used until the views are
    /// updated.
    pub fn plan(&mut self, now: Timestamp, limit: usize) -> Plan {
        self.changed = false;
        for (team, resources) in std::mem::take(&mut self.planned) {
            self.teams.release(&team, &resources);
        }
        for (slot, job) in std::mem::take(&mut self.planned_slots) {
            self.remove_job_from_slot(slot, job);
        }
        let mut draft = Draft { now, limit, plan: Plan::default(), blocked: Vec::new() };
        if self.queue.len() > 0 {
            self.plan_urgent(&mut draft);
            self.plan_services(&mut draft);
            self.plan_batch(&mut draft);
        }
        if draft.is_full() {
            self.changed = true;
        }
        self.wake = draft.plan.wake;
        draft.plan
    }

    fn plan_urgent(&mut self, draft: &mut Draft) {
        let keys: Vec<Key> = self.queue.urgent.iter().collect();
        for (_, id) in keys {
            let Some(job) = self.ready_job(id, draft) else { continue };
            let placed = self.place_job(&job, draft, u32::MAX);
            if placed < job.waiting && self.policy.preempt {
                self.preempt_for(&job, job.waiting - placed, draft);
            }
            // Smaller urgent jobs behind this one may still fit.
            draft.blocked.clear();
        }
    }

    fn plan_services(&mut self, draft: &mut Draft) {
        let keys: Vec<Key> = self.queue.services.iter().collect();
        for (_, id) in keys {
            if draft.is_full() {
                return;
            }
            let Some(job) = self.ready_job(id, draft) else { continue };
            self.place_job(&job, draft, u32::MAX);
        }
    }

    /// Places batch and all-at-once jobs. Critical jobs go first. After that the next turn goes to
    /// the team with the lowest weighted share, reduced by the waiting time of its next job.
    fn plan_batch(&mut self, draft: &mut Draft) {
        self.refresh_reservation(draft);
        let mut turns: Vec<Turn> = self.queue.teams.keys().cloned().map(Turn::new).collect();
        let mut looked_at = 0;
        while looked_at < self.policy.jobs_per_plan && !draft.is_full() {
            let Some(i) = self.next_turn(&turns, draft.now) else { break };
            let (_, id) = self.key_of(&turns[i]).expect("a turn has a job");
            looked_at += 1;
            let Some(job) = self.ready_job(id, draft) else {
                turns[i].next += 1;
                continue;
            };
            self.flag_late_job(&job, draft);
            let wanted = if job.class == JobClass::AllAtOnce { u32::MAX } else { TASKS_PER_TURN };
            let placed = self.place_job(&job, draft, wanted);
            // A job that used its full turn stays at the head; any other is done for this plan.
            if placed < TASKS_PER_TURN || placed >= job.waiting {
                turns[i].next += 1;
            }
        }
        if looked_at >= self.policy.jobs_per_plan && !draft.plan.placements.is_empty() {
            self.changed = true;
        }
    }

    /// A copy of a job that may start now. Its `waiting` excludes tasks that this plan has placed.
    fn ready_job(&self, id: JobId, draft: &mut Draft) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        if job.waiting == 0 {
            return None;
        }
        if draft.now < job.held_until {
            draft.wake_at(job.held_until);
            return None;
        }
        Some((**job).clone())
    }

    fn key_of(&self, turn: &Turn) -> Option<Key> {
        self.queue.teams.get(&turn.team)?.get(turn.next)
    }

    /// The team whose turn it is: the one with the lowest score.
    fn next_turn(&self, turns: &[Turn], now: Timestamp) -> Option<usize> {
        let scored = turns.iter().enumerate().filter_map(|(i, turn)| {
            let (latest_start, id) = self.key_of(turn)?;
            let job = self.jobs.get(&id)?;
            let slack = latest_start.saturating_sub(now);
            let critical = job.deadline.is_some() && slack < self.policy.critical_laxity;
            let share = self.teams.weighted_share(&turn.team, &self.workers.capacity);
            let waited = now.saturating_sub(job.submitted);
            let aged = waited.as_secs_f64() / self.policy.ageing.as_secs_f64();
            Some((i, (!critical, if critical { slack.as_secs_f64() } else { share - aged })))
        });
        let lowest = scored.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        lowest.map(|(i, _)| i)
    }

    fn flag_late_job(&self, job: &JobView, draft: &mut Draft) {
        let Some(deadline) = job.deadline else { return };
        let predicted = self.predict(job);
        if draft.now + predicted > deadline && !job.late {
            draft.plan.late.push(job.id);
        } else if !job.late {
            draft.wake_at(deadline.saturating_sub(predicted) + Duration::from_millis(1));
        }
    }

    /// Places up to `wanted` tasks of a job and returns the number placed.
    fn place_job(&mut self, job: &JobView, draft: &mut Draft, wanted: u32) -> u32 {
        let wanted = job.waiting.min(wanted);
        let capacity = self.workers.capacity;
        let allowed = self.teams.allowed(&job.team, &job.resources, wanted, &capacity);
        if job.class == JobClass::AllAtOnce {
            return if allowed < job.waiting { 0 } else { self.place_all_at_once(job, draft) };
        }
        if draft.is_blocked(&job.resources) {
            return 0;
        }
        let end = match job.class {
            JobClass::Service => Timestamp::MAX,
            _ => draft.now.saturating_add(self.predict(job)),
        };
        for placed in 0..allowed {
            if draft.is_full() {
                return placed;
            }
            let Some(slot) = self.choose_slot(job, end) else {
                if !self.workers.index.may_fit(&job.resources) {
                    draft.blocked.push(job.resources);
                }
                return placed;
            };
            self.take(job, slot, draft);
        }
        allowed
    }

    fn place_all_at_once(&mut self, job: &JobView, draft: &mut Draft) -> u32 {
        // Only the job that holds the reservation may use the reserved slots.
        let other = self.reservation.as_ref().filter(|r| r.job != job.id);
        let end = draft.now.saturating_add(self.predict(job));
        let allowed =
            |slot| other.is_none_or(|r| r.allows(slot, end)) && self.is_apart_enough(job, slot);
        let slots = all_at_once::find_slots(&self.workers, &job.resources, job.waiting, allowed);
        let Some(slots) = slots else {
            if other.is_none() {
                self.reserve(job, draft);
            }
            return 0;
        };
        if other.is_none() {
            self.reservation = None;
        }
        slots.into_iter().for_each(|slot| self.take(job, slot, draft));
        job.waiting
    }

    fn reserve(&mut self, job: &JobView, draft: &mut Draft) {
        let fresh = |r: &Reservation| draft.now < r.created + RESERVATION_LIFETIME;
        if !self.reservation.as_ref().is_some_and(fresh) {
            let ends = self.predicted_ends(draft.now);
            self.reservation = Reservation::compute(
                job.id,
                job.waiting,
                &job.resources,
                &self.workers,
                ends,
                draft.now,
            );
        }
        draft.wake_at(draft.now + RESERVATION_LIFETIME);
    }

    /// Tries to place the job that holds the reservation before other work can take its slots.
    fn refresh_reservation(&mut self, draft: &mut Draft) {
        let Some(id) = self.reservation.as_ref().map(|r| r.job) else { return };
        match self.ready_job(id, draft) {
            Some(job) => {
                self.place_job(&job, draft, u32::MAX);
            }
            None => self.reservation = None,
        }
    }

    fn predicted_ends(&self, now: Timestamp) -> Vec<PredictedEnd> {
        let end = |run: &RunView| {
            let at = run.placed + run.expected?;
            let slot = self.workers.slot_of(&run.worker)?;
            // A run over its estimate is assumed to end after a grace period.
            let at = if at <= now { now + OVERRUN_GRACE } else { at };
            Some(PredictedEnd { at, slot, resources: run.resources })
        };
        self.runs.values().filter_map(|run| end(run)).collect()
    }

    /// The best of several fitting slots, excluding slots that a reservation keeps from the task.
    fn choose_slot(&mut self, job: &JobView, end: Timestamp) -> Option<Slot> {
        let count = self.workers.slot_count().max(1);
        let spread = job.class == JobClass::Service;
        let mut best: Option<(Slot, f64)> = None;
        for i in 0..self.policy.candidates {
            // The first search starts at slot 0, so that low slots fill up and high ones stay free.
            let start = if i == 0 && !spread { 0 } else { self.rng.usize(..count) };
            let Some(slot) = self.find_allowed(start, job, end) else { continue };
            let score = self.score(slot, job, spread);
            if best.is_none_or(|(_, lowest)| score < lowest) {
                best = Some((slot, score));
            }
        }
        best.map(|(slot, _)| slot)
    }

    fn find_allowed(&self, start: Slot, job: &JobView, end: Timestamp) -> Option<Slot> {
        let need = &job.resources;
        if job.apart {
            let fits = |slot: &Slot| need.fits_in(&self.workers.index.free(*slot));
            let mut slots = (0..self.workers.slot_count()).filter(fits);
            return slots.find(|slot| self.is_apart_enough(job, *slot));
        }
        let mut slot = self.workers.index.find(start, need)?;
        let Some(reservation) = &self.reservation else { return Some(slot) };
        if job.class == JobClass::Service || job.urgent {
            return Some(slot);
        }
        for _ in 0..MAX_RESERVED_SKIPS {
            if reservation.allows(slot, end) {
                return Some(slot);
            }
            slot = self.workers.index.find(slot + 1, need)?;
        }
        None
    }

    /// Whether the slot's worker runs no other job, if the job has to be apart.
    fn is_apart_enough(&self, job: &JobView, slot: Slot) -> bool {
        !job.apart || self.workers.get(slot).is_some_and(|w| w.jobs.iter().all(|j| *j == job.id))
    }

    /// Cost of placing a task of the job on a slot; lower is better.
    fn score(&self, slot: Slot, job: &JobView, spread: bool) -> f64 {
        let Some(worker) = self.workers.get(slot) else { return f64::MAX };
        if spread {
            return self.colocation_score(slot, job.id) as f64;
        }
        let left = self.workers.index.free(slot).saturating_sub(&job.resources);
        let share = left.dominant_share(&worker.capacity);
        if self.policy.pack {
            share
        } else {
            -share
        }
    }

    /// Number of runs of the job in the slot's rack. Each run on the slot's own worker counts 100
    /// more.
    fn colocation_score(&self, slot: Slot, job: JobId) -> usize {
        const SAME_WORKER_PENALTY: usize = 100;
        let Some(worker) = self.workers.get(slot) else { return 0 };
        let on = |slot: &Slot| {
            let jobs = self.workers.get(*slot).map_or(&[][..], |w| &w.jobs);
            jobs.iter().filter(|j| **j == job).count()
        };
        let in_rack: usize = self.workers.racks[worker.rack].slots.iter().map(on).sum();
        in_rack + SAME_WORKER_PENALTY * on(&slot)
    }

    fn take(&mut self, job: &JobView, slot: Slot, draft: &mut Draft) {
        self.workers.take(slot, &job.resources);
        if job.apart {
            self.workers.index.set(slot, Resources::default());
        }
        self.teams.acquire(&job.team, &job.resources);
        match self.planned.last_mut() {
            Some((team, sum)) if *team == job.team => {
                *sum = sum.checked_add(&job.resources).unwrap_or(*sum);
            }
            _ => self.planned.push((job.team.clone(), job.resources)),
        }
        self.planned_slots.push((slot, job.id));
        let worker = self.workers.get_mut(slot).expect("found slots are in use");
        worker.jobs.push(job.id);
        draft.plan.placements.push(PlannedTask {
            job: job.id,
            worker: worker.id.clone(),
            incarnation: worker.incarnation,
        });
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.waiting -= 1;
        }
    }

    /// Stops batch runs for `tasks` urgent tasks, except tasks for which runs are being stopped
    /// already.
    fn preempt_for(&mut self, job: &JobView, tasks: u32, draft: &mut Draft) {
        let pending =
            self.preemptions.iter().filter(|preemption| preemption.job == job.id).count() as u32;
        for _ in pending..tasks {
            if draft.plan.stops.len() >= draft.limit || self.workers.slot_count() == 0 {
                return;
            }
            let start = self.rng.usize(..self.workers.slot_count());
            let victims = preempt::choose_victims(
                &self.workers,
                &self.runs_by_slot,
                &self.runs,
                &job.resources,
                start,
                draft.now,
            );
            let Some(victims) = victims else { return };
            for fence in &victims.fences {
                if let Some(run) = self.runs.get_mut(fence) {
                    run.stopping = true;
                }
            }
            draft.plan.stops.extend(&victims.fences);
            self.preemptions.push(PendingPreemption { job: job.id, fences: victims.fences });
        }
    }
}

/// A team's position in its sorted jobs during one planning pass.
struct Turn {
    team: String,
    next: usize,
}

impl Turn {
    fn new(team: String) -> Turn {
        Turn { team, next: 0 }
    }
}
