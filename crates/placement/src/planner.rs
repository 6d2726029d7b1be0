//! The planner: what starts next, and where.

use crate::admit::OVERRUN_GRACE;
use crate::estimate::Estimates;
use crate::policy::Policy;
use crate::queue::{Key, Queue};
use crate::reservation::{PredictedEnd, Reservation};
use crate::teams::Teams;
use crate::view::{JobView, RunView, WorkerView};
use crate::workers::{Slot, Workers};
use crate::{preempt, together};
use std::time::Duration;
use types::{
    Fence, Incarnation, JobClass, JobId, Resources, SortedMap, TeamName, TeamQuota, Timestamp,
    WorkerId,
};

/// A reservation is worked out again after this time. Until then its workers drain, however wrong
/// the estimates were; working it out often would let its start slip for ever.
const RESERVATION_LIFE: Duration = Duration::from_secs(120);
/// Tasks of one job placed before other teams get their turn.
const TASKS_PER_TURN: u32 = 64;
/// Slots skipped because of a reservation before a task waits.
const MAX_RESERVED_SKIPS: usize = 32;

/// One task to place.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedTask {
    /// The job.
    pub job: JobId,
    /// The worker.
    pub worker: WorkerId,
    /// The worker's life.
    pub incarnation: Incarnation,
}

/// What to do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Tasks to place, those of one job next to each other.
    pub placements: Vec<PlannedTask>,
    /// Runs to stop, to make room for urgent work.
    pub stops: Vec<Fence>,
    /// Jobs that can't meet their deadline any more and are not known to.
    pub late: Vec<JobId>,
    /// When to plan again at the latest, though nothing changes.
    pub wake: Option<Timestamp>,
}

/// Runs stopped for an urgent job that have not ended yet.
#[derive(Clone, Debug)]
struct Claim {
    job: JobId,
    fences: Vec<Fence>,
}

/// Keeps the views and makes plans. See the crate page.
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
    claims: Vec<Claim>,
    /// What the last plan gave to teams and the state has not confirmed.
    planned: Vec<(TeamName, Resources)>,
    /// Where the last plan put tasks, for spreading the next ones.
    planned_slots: Vec<(Slot, JobId)>,
    rng: fastrand::Rng,
    changed: bool,
    wake: Option<Timestamp>,
}

/// What goes on while one plan is made.
struct Draft {
    now: Timestamp,
    limit: usize,
    plan: Plan,
    /// Shapes that did not fit; what is as large in everything does not either.
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
    /// A planner that knows nothing yet.
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
            claims: Vec::new(),
            planned: Vec::new(),
            planned_slots: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            changed: true,
            wake: None,
        }
    }

    /// Sets what is known of a worker.
    pub fn upsert_worker(&mut self, view: WorkerView) {
        self.workers.upsert(view);
        self.changed = true;
    }

    /// Forgets a worker.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
    }

    /// Sets what is known of a job. One with nothing waiting is forgotten.
    pub fn upsert_job(&mut self, view: JobView) {
        if view.waiting == 0 {
            self.remove_job(view.id);
            return;
        }
        let latest_start = view.deadline.map(|at| at.saturating_sub(self.predict(&view)));
        self.queue.put(&view, latest_start);
        self.jobs.insert(view.id, Box::new(view));
        self.changed = true;
    }

    /// Forgets a job.
    pub fn remove_job(&mut self, id: JobId) {
        self.queue.remove(id);
        self.jobs.remove(&id);
        self.claims.retain(|claim| claim.job != id);
        if self.reservation.as_ref().is_some_and(|r| r.job == id) {
            self.reservation = None;
            self.changed = true;
        }
    }

    /// Sets what is known of a run.
    pub fn upsert_run(&mut self, run: RunView) {
        if let Some(known) = self.runs.get_mut(&run.fence) {
            known.stopping = run.stopping;
            return;
        }
        self.teams.hold(&run.team, &run.resources);
        if let Some(slot) = self.workers.slot_of(&run.worker) {
            self.runs_by_slot.get_or_insert_with(slot, Vec::new).push(run.fence);
            if let Some(worker) = self.workers.get_mut(slot) {
                worker.jobs.push(run.job);
            }
        }
        self.runs.insert(run.fence, Box::new(run));
    }

    /// Forgets a run.
    pub fn remove_run(&mut self, fence: Fence) {
        let Some(run) = self.runs.remove(&fence) else { return };
        self.teams.let_go(&run.team, &run.resources);
        for claim in &mut self.claims {
            claim.fences.retain(|f| *f != fence);
        }
        self.claims.retain(|claim| !claim.fences.is_empty());
        self.changed = true;
        let Some(slot) = self.workers.slot_of(&run.worker) else { return };
        if let Some(fences) = self.runs_by_slot.get_mut(&slot) {
            fences.retain(|f| *f != fence);
        }
        self.leave_slot(slot, run.job);
    }

    fn leave_slot(&mut self, slot: Slot, job: JobId) {
        let Some(worker) = self.workers.get_mut(slot) else { return };
        if let Some(i) = worker.jobs.iter().position(|j| *j == job) {
            worker.jobs.swap_remove(i);
        }
    }

    /// Sets all quotas.
    pub fn set_quotas<'a, I>(&mut self, quotas: I)
    where
        I: IntoIterator<Item = &'a TeamQuota>,
    {
        self.teams.set_quotas(quotas);
        self.changed = true;
    }

    /// Learns from a run that succeeded.
    pub fn learn(&mut self, team: &str, name: &str, declared: Duration, actual: Duration) {
        self.estimates.learn(team, name, declared, actual);
    }

    /// How long a task of a job runs, as far as can be told.
    pub fn predict(&self, job: &JobView) -> Duration {
        let declared = job.run_time.unwrap_or(self.policy.default_run_time);
        self.estimates.predict(&job.team, &job.name, declared)
    }

    /// Jobs with waiting tasks.
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len()
    }

    /// When the job that has the reservation is expected to start.
    pub fn reserved(&self) -> Option<(JobId, Timestamp)> {
        self.reservation.as_ref().map(|r| (r.job, r.start))
    }

    /// Why a waiting job has not started, in words.
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

    /// Whether a plan could differ from the last one.
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.changed || self.wake.is_some_and(|at| at <= now)
    }

    /// Plans up to about `limit` placements. What is planned counts as taken until the views are
    /// set again.
    pub fn plan(&mut self, now: Timestamp, limit: usize) -> Plan {
        self.changed = false;
        for (team, resources) in std::mem::take(&mut self.planned) {
            self.teams.let_go(&team, &resources);
        }
        for (slot, job) in std::mem::take(&mut self.planned_slots) {
            self.leave_slot(slot, job);
        }
        let mut draft = Draft { now, limit, plan: Plan::default(), blocked: Vec::new() };
        if self.queue.len() > 0 {
            self.plan_urgent(&mut draft);
            self.plan_services(&mut draft);
            self.plan_shared(&mut draft);
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
                self.make_room(&job, job.waiting - placed, draft);
            }
            // Smaller urgent work behind it may still fit.
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

    /// Batch and all-at-once jobs: critical ones first, then team by team, the one that holds
    /// least for its weight and has waited longest at its turn.
    fn plan_shared(&mut self, draft: &mut Draft) {
        self.refresh_reservation(draft);
        let mut turns: Vec<Turn> = self.queue.teams.keys().cloned().map(Turn::new).collect();
        let mut looked_at = 0;
        while looked_at < self.policy.jobs_per_plan && !draft.is_full() {
            let Some(i) = self.next_turn(&turns, draft.now) else { break };
            let (_, id) = self.key_of(&turns[i]).expect("a turn has a job");
            looked_at += 1;
            let Some(job) = self.ready_job(id, draft) else {
                turns[i].depth += 1;
                continue;
            };
            self.note_lateness(&job, draft);
            let wanted = if job.class == JobClass::AllAtOnce { u32::MAX } else { TASKS_PER_TURN };
            let placed = self.place_job(&job, draft, wanted);
            // A job that got a full turn stays at the head; any other is passed for this plan.
            if placed < TASKS_PER_TURN || placed >= job.waiting {
                turns[i].depth += 1;
            }
        }
        if looked_at >= self.policy.jobs_per_plan && !draft.plan.placements.is_empty() {
            self.changed = true;
        }
    }

    /// A waiting job that may start now; what others of the plan took is already off.
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
        self.queue.teams.get(&turn.team)?.get(turn.depth)
    }

    /// The turn with the lowest score.
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

    fn note_lateness(&self, job: &JobView, draft: &mut Draft) {
        let Some(deadline) = job.deadline else { return };
        let predicted = self.predict(job);
        if draft.now + predicted > deadline && !job.late {
            draft.plan.late.push(job.id);
        } else if !job.late {
            draft.wake_at(deadline.saturating_sub(predicted) + Duration::from_millis(1));
        }
    }

    /// Places up to `wanted` tasks of a job and returns how many.
    fn place_job(&mut self, job: &JobView, draft: &mut Draft, wanted: u32) -> u32 {
        let wanted = job.waiting.min(wanted);
        let whole = self.workers.capacity;
        let allowed = self.teams.allowed(&job.team, &job.resources, wanted, &whole);
        if job.class == JobClass::AllAtOnce {
            return if allowed < job.waiting { 0 } else { self.place_together(job, draft) };
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

    fn place_together(&mut self, job: &JobView, draft: &mut Draft) -> u32 {
        // Only the job that holds the reservation may use what is kept for it.
        let other = self.reservation.as_ref().filter(|r| r.job != job.id);
        let end = draft.now.saturating_add(self.predict(job));
        let allowed = |slot| other.is_none_or(|r| r.allows(slot, end));
        let slots = together::find_slots(&self.workers, &job.resources, job.waiting, allowed);
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
        let fresh = |r: &Reservation| draft.now < r.made + RESERVATION_LIFE;
        if !self.reservation.as_ref().is_some_and(fresh) {
            let ends = self.predicted_ends(draft.now);
            self.reservation = Reservation::make(
                job.id,
                job.waiting,
                &job.resources,
                &self.workers,
                ends,
                draft.now,
            );
        }
        draft.wake_at(draft.now + RESERVATION_LIFE);
    }

    /// Gives the reserved job its chance before anything else may take its room.
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
            // A run over its estimate will end soon, but nobody knows when.
            let at = if at <= now { now + OVERRUN_GRACE } else { at };
            Some(PredictedEnd { at, slot, resources: run.resources })
        };
        self.runs.values().filter_map(|run| end(run)).collect()
    }

    /// The best of some fitting workers, none of which the task must leave to a reservation.
    fn choose_slot(&mut self, job: &JobView, end: Timestamp) -> Option<Slot> {
        let count = self.workers.slot_count().max(1);
        let spread = job.class == JobClass::Service;
        let mut best: Option<(Slot, f64)> = None;
        for i in 0..self.policy.candidates {
            // The first look is from the front, so that low slots fill up and high ones stay free.
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

    /// Lower is better.
    fn score(&self, slot: Slot, job: &JobView, spread: bool) -> f64 {
        let Some(worker) = self.workers.get(slot) else { return f64::MAX };
        if spread {
            return self.neighbours(slot, job.id) as f64;
        }
        let left = self.workers.index.room(slot).saturating_sub(&job.resources);
        let share = left.dominant_share(&worker.capacity);
        if self.policy.pack {
            share
        } else {
            -share
        }
    }

    /// Runs of the same job in the same rack, those on the same worker counting as many.
    fn neighbours(&self, slot: Slot, job: JobId) -> usize {
        const SAME_WORKER: usize = 100;
        let Some(worker) = self.workers.get(slot) else { return 0 };
        let on = |slot: &Slot| {
            let jobs = self.workers.get(*slot).map_or(&[][..], |w| &w.jobs);
            jobs.iter().filter(|j| **j == job).count()
        };
        let in_rack: usize = self.workers.racks[worker.rack].slots.iter().map(on).sum();
        in_rack + SAME_WORKER * on(&slot)
    }

    fn take(&mut self, job: &JobView, slot: Slot, draft: &mut Draft) {
        self.workers.take(slot, &job.resources);
        self.teams.hold(&job.team, &job.resources);
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

    /// Stops batch work for `tasks` urgent tasks, less what is being stopped for them already.
    fn make_room(&mut self, job: &JobView, tasks: u32, draft: &mut Draft) {
        let claimed = self.claims.iter().filter(|claim| claim.job == job.id).count() as u32;
        for _ in claimed..tasks {
            if draft.plan.stops.len() >= draft.limit || self.workers.slot_count() == 0 {
                return;
            }
            let start = self.rng.usize(..self.workers.slot_count());
            let victims = preempt::choose(
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
            self.claims.push(Claim { job: job.id, fences: victims.fences });
        }
    }
}

/// How far a team's line has been gone through in one plan.
struct Turn {
    team: String,
    depth: usize,
}

impl Turn {
    fn new(team: String) -> Turn {
        Turn { team, depth: 0 }
    }
}
