//! Claims: capacity held for gangs that can't start yet.
//!
//! Claims are for cells in which wide gangs, long runs and short runs share nearly full workers. A
//! gang claims free capacity and capacity of runs that can be paused without loss, either all that
//! it needs or nothing, and holds it until all of it is free. See `docs/design/gangs.md` for
//! measurements.

use super::choose::Candidate;
use super::reclaim::may_run;
use super::{Demand, EligibleWorkers, Pass, Reclaimable, WorkerCapacity};
use jobs::{LifeId, Placement, ResourceVector, StepRef};
use std::time::Duration;
use types::Timestamp;

/// Maximum number of gangs that keep free capacity while they wait for runs to end. On the
/// emulator's heavy days, values of 3 and 6 left more of the cell idle than wide gangs gained.
const MAX_WAITING_GANGS: usize = 1;
/// A claim is given up if its capacity is still not free this long after `ready_at`.
const CLAIM_GRACE: Duration = Duration::from_millis(800);
/// A run that is about to end by itself counts as ending this long after a stop would take effect.
const END_UNCERTAINTY: Duration = Duration::from_millis(50);
/// Tickets of a waiting gang are kept valid if its capacity is expected within this time.
const TICKET_REFRESH_HORIZON: Duration = Duration::from_millis(2_000);

/// Capacity that is held for a gang until all of it is free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Step of the gang.
    pub step: StepRef,
    /// Life of each worker, and the number of tasks that it is to run.
    pub workers: Vec<(LifeId, u32)>,
    /// When all of the capacity should be free and all tickets valid.
    pub ready_at: Timestamp,
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Places a gang if its claimed capacity is free. Otherwise holds the free part, and pauses
    /// runs and renews tickets in time for the rest.
    pub(super) fn advance_claim(&mut self, claim: &Claim, demand: &Demand) {
        let now = self.now;
        let wanted: u32 = claim.workers.iter().map(|(_, count)| *count).sum();
        let usable = |worker: &WorkerCapacity<'_>| may_run(demand, worker);
        let mut places = Vec::with_capacity(claim.workers.len());
        for (life, count) in &claim.workers {
            let found = self.workers.binary_search_by_key(life, |worker| worker.life).ok();
            places.extend(found.filter(|at| usable(&self.workers[*at])).map(|at| (at, *count)));
        }
        let invalid = places.len() < claim.workers.len() || wanted as usize != demand.tasks.len();
        if invalid || now >= claim.ready_at + CLAIM_GRACE {
            self.plan.dropped_claims.push(claim.step);
            return;
        }
        let all_free = self.hold(demand, &places);
        let expired = self.expired_tickets(demand, &places, now);
        if all_free && expired.is_empty() {
            return self.place_claimed(claim, demand);
        }
        if !all_free && now + demand.stop_time >= claim.ready_at {
            self.pause_for_claim(demand, &places);
        }
        let expired = self.expired_tickets(demand, &places, claim.ready_at.max(now));
        if !expired.is_empty() && now + demand.renewal >= claim.ready_at {
            self.renew(demand, &places);
        }
    }

    /// Removes the claimed capacity from what other steps may use. True if all of it is free.
    fn hold(&mut self, demand: &Demand, places: &[(usize, u32)]) -> bool {
        let mut all_free = true;
        for (at, count) in places {
            let worker = &mut self.workers[*at];
            let total = scaled(&demand.need, *count);
            all_free &= total.fits_in(&worker.free);
            worker.claimed_beyond_free =
                worker.claimed_beyond_free.plus(&total.minus(&worker.free));
            worker.free = worker.free.minus(&total);
        }
        all_free
    }

    /// Lives of the claim whose ticket will not be valid at time `at`.
    fn expired_tickets(
        &self,
        demand: &Demand,
        places: &[(usize, u32)],
        at: Timestamp,
    ) -> Vec<LifeId> {
        let EligibleWorkers::Only(eligible) = &demand.eligible else { return Vec::new() };
        let lives = places.iter().map(|(at, _)| self.workers[*at].life);
        let fresh = |life: &LifeId| {
            let found = eligible.binary_search_by_key(life, |(id, _)| *id);
            found.is_ok_and(|i| at < eligible[i].1)
        };
        lives.filter(|life| !fresh(life)).collect()
    }

    /// Requests renewal of all tickets that would expire soon after the renewal, so that all
    /// tickets are valid at the same time.
    fn renew(&mut self, demand: &Demand, places: &[(usize, u32)]) {
        let expired = self.expired_tickets(demand, places, self.now + demand.renewal * 2);
        if !expired.is_empty() {
            self.plan.renew.push((demand.step, expired));
        }
    }

    fn place_claimed(&mut self, claim: &Claim, demand: &Demand) {
        let lives = claim.workers.iter();
        let lives = lives.flat_map(|(life, count)| (0..*count).map(move |_| *life));
        let tasks = demand.tasks.iter().copied().zip(lives).collect();
        self.plan.placements.push(Placement { step: demand.step, tasks });
    }

    /// Pauses runs on workers of a claim where runs that are being stopped don't free enough.
    fn pause_for_claim(&mut self, demand: &Demand, places: &[(usize, u32)]) {
        if !demand.can_wait_for_stop {
            return;
        }
        for (at, _) in places {
            let worker = &self.workers[*at];
            let life = worker.life;
            let found =
                self.reclaimable_cache.get_or_insert_with(life, || (self.reclaimable)(life));
            while !worker.claimed_beyond_free.fits_in(&found.stopping) {
                let victim = found.pausable.iter().position(|run| run.priority > demand.priority);
                let Some(victim) = victim else { break };
                let run = found.pausable.remove(victim);
                found.stopping = found.stopping.plus(&run.need);
                self.plan.pauses.push((life, run.task, run.run));
            }
        }
    }

    /// Claims the chosen capacity, which is free, until the tickets are renewed.
    pub(super) fn claim_chosen(&mut self, demand: &Demand, chosen: &[(u32, Candidate)]) {
        let mut places: Vec<usize> = chosen.iter().map(|(_, c)| c.worker).collect();
        places.sort_unstable();
        // The capacity was already deducted when the workers were chosen.
        let workers =
            run_lengths(&places).into_iter().map(|(at, n)| (self.workers[at].life, n)).collect();
        let claim = self.new_claim(demand, workers, demand.renewal);
        self.renew(demand, &run_lengths(&places));
        self.plan.claims.push(claim);
    }

    /// Claims capacity that is free once runs have been paused. If that is not enough, the first
    /// [`MAX_WAITING_GANGS`] gangs keep what is free until more runs have ended.
    pub(super) fn claim_future_capacity(&mut self, demand: &Demand) {
        let EarliestCapacity { wait, places, fits_empty } = self.earliest_capacity(demand);
        if let Some(wait) = wait.filter(|wait| *wait <= demand.stop_time) {
            let ready_at = self.now + wait;
            self.hold(demand, &places);
            self.pause_for_claim(demand, &places);
            let expired = self.expired_tickets(demand, &places, ready_at);
            let workers =
                places.iter().map(|(at, count)| (self.workers[*at].life, *count)).collect();
            let wait = if expired.is_empty() { wait } else { demand.renewal };
            if !expired.is_empty() {
                self.renew(demand, &places);
            }
            self.plan.claims.push(self.new_claim(demand, workers, wait));
            return;
        }
        self.plan.unplaced.push(demand.step);
        if fits_empty && self.plan.waiting.len() < MAX_WAITING_GANGS {
            self.plan.waiting.push(demand.step);
            self.hold(demand, &places);
            if wait.is_some_and(|wait| wait <= TICKET_REFRESH_HORIZON) {
                self.renew(demand, &places);
            }
        }
    }

    fn new_claim(&self, demand: &Demand, workers: Vec<(LifeId, u32)>, wait: Duration) -> Claim {
        Claim { step: demand.step, workers, ready_at: self.now + wait }
    }

    /// Finds the workers on which capacity for the tasks is free soonest.
    fn earliest_capacity(&mut self, demand: &Demand) -> EarliestCapacity {
        let wanted = demand.tasks.len();
        let mut slots: Vec<(Duration, u32, u32, usize)> = Vec::new();
        let mut total_when_empty = 0;
        for at in eligible_workers(self.workers, demand) {
            let worker = &self.workers[at];
            let max_tasks = max_tasks_in(&worker.info.capacity, demand);
            if max_tasks == 0 || !may_run(demand, worker) {
                continue;
            }
            total_when_empty += max_tasks;
            let life = worker.life;
            let found =
                self.reclaimable_cache.get_or_insert_with(life, || (self.reclaimable)(life));
            let waits = capacity_waits(demand, worker, found);
            let slot = |(wait, paused)| (wait, paused, worker.slowness, at);
            slots.extend(waits.into_iter().map(slot));
        }
        slots.sort_unstable();
        slots.truncate(wanted);
        let wait = slots.last().map(|(wait, ..)| *wait).filter(|_| slots.len() == wanted);
        let mut places: Vec<usize> = slots.iter().map(|(.., at)| *at).collect();
        places.sort_unstable();
        EarliestCapacity {
            wait,
            places: run_lengths(&places),
            fits_empty: total_when_empty >= wanted,
        }
    }
}

/// The workers on which capacity for a gang is free soonest.
struct EarliestCapacity {
    /// Time until all of it is free; `None` if there is not enough.
    wait: Option<Duration>,
    /// Index of each worker, and the number of tasks that it could run.
    places: Vec<(usize, u32)>,
    /// Whether the gang would fit if nothing else were running.
    fits_empty: bool,
}

/// How many tasks of the step can run on one worker with this much capacity.
fn max_tasks_in(capacity: &ResourceVector, demand: &Demand) -> usize {
    let limit = match demand.max_per_worker {
        0 => demand.tasks.len(),
        max => (max as usize).min(demand.tasks.len()),
    };
    (demand.need.count_in(capacity) as usize).min(limit)
}

/// Indexes of the workers that may run the step.
fn eligible_workers(workers: &[WorkerCapacity<'_>], demand: &Demand) -> Vec<usize> {
    match &demand.eligible {
        EligibleWorkers::Any => (0..workers.len()).collect(),
        EligibleWorkers::Only(lives) => {
            let place =
                |life: &LifeId| workers.binary_search_by_key(life, |worker| worker.life).ok();
            lives.iter().filter_map(|(life, _)| place(life)).collect()
        }
    }
}

/// For each task that fits on a worker, in order: the time until its capacity is free, and the
/// number of runs that are paused for it and the tasks before it.
fn capacity_waits(
    demand: &Demand,
    worker: &WorkerCapacity<'_>,
    found: &Reclaimable,
) -> Vec<(Duration, u32)> {
    let mut waits = Vec::new();
    let mut soon = worker.free;
    let mut add = |soon: &ResourceVector, wait: Duration, paused: u32| {
        let count = max_tasks_in(soon, demand);
        while waits.len() < count {
            waits.push((wait, paused));
        }
    };
    add(&soon, Duration::ZERO, 0);
    soon = soon.plus(&found.stopping).minus(&worker.claimed_beyond_free);
    add(&soon, demand.stop_time, 0);
    let mut paused = 0;
    for run in &found.pausable {
        if demand.can_wait_for_stop && run.priority > demand.priority {
            paused += 1;
            soon = soon.plus(&run.need);
            add(&soon, demand.stop_time, paused);
        }
    }
    for (left, need) in &found.ending {
        soon = soon.plus(need);
        // Unlike a run that is being stopped, it may end later than predicted.
        add(&soon, (*left).max(demand.stop_time + END_UNCERTAINTY), paused);
    }
    waits
}

/// Run-length encodes sorted indexes.
fn run_lengths(places: &[usize]) -> Vec<(usize, u32)> {
    places.chunk_by(|a, b| a == b).map(|same| (same[0], same.len() as u32)).collect()
}

fn scaled(need: &ResourceVector, count: u32) -> ResourceVector {
    let count = u64::from(count);
    ResourceVector { cpu: need.cpu * count, memory: need.memory * count, gpu: need.gpu * count }
}
