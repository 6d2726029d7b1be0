//! Room for gangs that don't fit yet.
//!
//! For a cell in which wide gangs, long runs and short ones share workers that are nearly full: a
//! gang claims free room and room of runs that can be paused without loss, all that it needs or
//! nothing, and holds it until it is whole. See `docs/design/gangs.md` for what was measured.

use super::choose::Candidate;
use super::reclaim::may_run;
use super::{Allowed, Demand, Pass, Reclaimable, WorkerCapacity};
use jobs::{LifeId, Placement, ResourceVector, StepRef};
use std::time::Duration;
use types::Timestamp;

/// Gangs that keep what is free while they wait for runs to end. On the emulator's heavy days 3 or
/// 6 left more of the cell idle than wide gangs gained.
const GANGS_THAT_WAIT: usize = 1;
/// A claim whose room is not there this long after it should be is given up.
const CLAIM_GRACE: Duration = Duration::from_millis(800);
/// A run that should end at any moment still counts as ending this much after a stop would.
const END_UNSURE: Duration = Duration::from_millis(50);
/// Tickets of a gang that waits are kept fresh when its room is this near.
const NEAR: Duration = Duration::from_millis(2_000);

/// Room that is held for a gang until all of it is free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The gang.
    pub step: StepRef,
    /// Workers, and how many tasks each is to get.
    pub at: Vec<(LifeId, u32)>,
    /// When all of it should be free and all tickets fresh.
    pub begins: Timestamp,
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    /// Places a gang whose claim is whole; else holds what there is and brings on the rest.
    pub(super) fn settle(&mut self, claim: &Claim, demand: &Demand) {
        let now = self.now;
        let wanted: u32 = claim.at.iter().map(|(_, count)| *count).sum();
        let place = |room: &WorkerCapacity<'_>| may_run(demand, room);
        let mut places = Vec::with_capacity(claim.at.len());
        for (life, count) in &claim.at {
            let found = self.rooms.binary_search_by_key(life, |room| room.life).ok();
            places.extend(found.filter(|at| place(&self.rooms[*at])).map(|at| (at, *count)));
        }
        let gone = places.len() < claim.at.len() || wanted as usize != demand.tasks.len();
        if gone || now >= claim.begins + CLAIM_GRACE {
            self.plan.dropped_claims.push(claim.step);
            return;
        }
        let whole = self.hold(demand, &places);
        let stale = self.stale(demand, &places, now);
        if whole && stale.is_empty() {
            return self.place_claimed(claim, demand);
        }
        if !whole && now + demand.stop_time >= claim.begins {
            self.bring_on(demand, &places);
        }
        let stale = self.stale(demand, &places, claim.begins.max(now));
        if !stale.is_empty() && now + demand.renewal >= claim.begins {
            self.renew(demand, &places);
        }
    }

    /// Takes the claimed room out of what others may use. True when all of it is free.
    fn hold(&mut self, demand: &Demand, places: &[(usize, u32)]) -> bool {
        let mut whole = true;
        for (at, count) in places {
            let room = &mut self.rooms[*at];
            let total = times(&demand.need, *count);
            whole &= total.fits_in(&room.free);
            room.claimed_beyond_free = room.claimed_beyond_free.plus(&total.minus(&room.free));
            room.free = room.free.minus(&total);
        }
        whole
    }

    /// Lives of the claim for which no start could be sent at `at`.
    fn stale(&self, demand: &Demand, places: &[(usize, u32)], at: Timestamp) -> Vec<LifeId> {
        let Allowed::Only(allowed) = &demand.allowed else { return Vec::new() };
        let lives = places.iter().map(|(at, _)| self.rooms[*at].life);
        let fresh = |life: &LifeId| {
            let found = allowed.binary_search_by_key(life, |(id, _)| *id);
            found.is_ok_and(|i| at < allowed[i].1)
        };
        lives.filter(|life| !fresh(life)).collect()
    }

    /// Asks for new tickets wherever one would be too old once the answer is there, so that all
    /// are fresh at one time.
    fn renew(&mut self, demand: &Demand, places: &[(usize, u32)]) {
        let stale = self.stale(demand, places, self.now + demand.renewal * 2);
        if !stale.is_empty() {
            self.plan.renew.push((demand.step, stale));
        }
    }

    fn place_claimed(&mut self, claim: &Claim, demand: &Demand) {
        let lives = claim.at.iter();
        let lives = lives.flat_map(|(life, count)| (0..*count).map(move |_| *life));
        let tasks = demand.tasks.iter().copied().zip(lives).collect();
        self.plan.placements.push(Placement { step: demand.step, tasks });
    }

    /// Pauses runs on workers of a claim where nothing else makes the room free in time.
    fn bring_on(&mut self, demand: &Demand, places: &[(usize, u32)]) {
        if !demand.can_wait_for_stop {
            return;
        }
        for (at, _) in places {
            let room = &self.rooms[*at];
            let life = room.life;
            let found = self.asked.get_or_insert_with(life, || (self.reclaimable)(life));
            while !room.claimed_beyond_free.fits_in(&found.stopping) {
                let victim = found.pausable.iter().position(|run| run.priority > demand.priority);
                let Some(victim) = victim else { break };
                let run = found.pausable.remove(victim);
                found.stopping = found.stopping.plus(&run.need);
                self.plan.pauses.push((life, run.task, run.run));
            }
        }
    }

    /// Holds the room that was chosen, all of it free, until its tickets are renewed.
    pub(super) fn claim_chosen(&mut self, demand: &Demand, chosen: &[(u32, Candidate)]) {
        let mut places: Vec<usize> = chosen.iter().map(|(_, c)| c.at).collect();
        places.sort_unstable();
        // The choice has taken the room already.
        let at = counted(&places).into_iter().map(|(at, n)| (self.rooms[at].life, n)).collect();
        let claim = self.new_claim(demand, at, demand.renewal);
        self.renew(demand, &counted(&places));
        self.plan.claims.push(claim);
    }

    /// Claims the room that is free once runs have been paused. Where that is not enough, the
    /// first few gangs keep what is free until more has ended.
    pub(super) fn claim_later(&mut self, demand: &Demand) {
        let Soonest { wait, places, fits_empty } = self.soonest(demand);
        if let Some(wait) = wait.filter(|wait| *wait <= demand.stop_time) {
            let begins = self.now + wait;
            self.hold(demand, &places);
            self.bring_on(demand, &places);
            let stale = self.stale(demand, &places, begins);
            let at = places.iter().map(|(at, count)| (self.rooms[*at].life, *count)).collect();
            let wait = if stale.is_empty() { wait } else { demand.renewal };
            if !stale.is_empty() {
                self.renew(demand, &places);
            }
            self.plan.claims.push(self.new_claim(demand, at, wait));
            return;
        }
        self.plan.unplaced.push(demand.step);
        if fits_empty && self.plan.waiting.len() < GANGS_THAT_WAIT {
            self.plan.waiting.push(demand.step);
            self.hold(demand, &places);
            if wait.is_some_and(|wait| wait <= NEAR) {
                self.renew(demand, &places);
            }
        }
    }

    fn new_claim(&self, demand: &Demand, at: Vec<(LifeId, u32)>, wait: Duration) -> Claim {
        Claim { step: demand.step, at, begins: self.now + wait }
    }

    /// Where room for the tasks is free soonest.
    fn soonest(&mut self, demand: &Demand) -> Soonest {
        let wanted = demand.tasks.len();
        let mut slots: Vec<(Duration, u32, u32, usize)> = Vec::new();
        let mut in_empty = 0;
        for at in allowed_rooms(self.rooms, demand) {
            let room = &self.rooms[at];
            let most = most_in(&room.info.capacity, demand);
            if most == 0 || !may_run(demand, room) {
                continue;
            }
            in_empty += most;
            let life = room.life;
            let found = self.asked.get_or_insert_with(life, || (self.reclaimable)(life));
            let waits = waits(demand, room, found);
            let slot = |(wait, paused)| (wait, paused, room.slowness, at);
            slots.extend(waits.into_iter().map(slot));
        }
        slots.sort_unstable();
        slots.truncate(wanted);
        let wait = slots.last().map(|(wait, ..)| *wait).filter(|_| slots.len() == wanted);
        let mut places: Vec<usize> = slots.iter().map(|(.., at)| *at).collect();
        places.sort_unstable();
        Soonest { wait, places: counted(&places), fits_empty: in_empty >= wanted }
    }
}

/// Where room for a gang is free soonest.
struct Soonest {
    /// When the last of it is free; `None` where there is not enough.
    wait: Option<Duration>,
    /// Workers, with how many tasks each could get.
    places: Vec<(usize, u32)>,
    /// It would fit if nothing else ran there.
    fits_empty: bool,
}

/// How many tasks of the step can run in this much room on one worker.
fn most_in(room: &ResourceVector, demand: &Demand) -> usize {
    let most = match demand.max_per_worker {
        0 => demand.tasks.len(),
        most => (most as usize).min(demand.tasks.len()),
    };
    (demand.need.count_in(room) as usize).min(most)
}

/// Places of the workers that advice allows.
fn allowed_rooms(rooms: &[WorkerCapacity<'_>], demand: &Demand) -> Vec<usize> {
    match &demand.allowed {
        Allowed::Any => (0..rooms.len()).collect(),
        Allowed::Only(lives) => {
            let place = |life: &LifeId| rooms.binary_search_by_key(life, |room| room.life).ok();
            lives.iter().filter_map(|(life, _)| place(life)).collect()
        }
    }
}

/// For the first, second ... task on a worker: after which time it has its room, and how many runs
/// are paused until then.
fn waits(demand: &Demand, room: &WorkerCapacity<'_>, found: &Reclaimable) -> Vec<(Duration, u32)> {
    let mut waits = Vec::new();
    let mut soon = room.free;
    let mut add = |soon: &ResourceVector, wait: Duration, paused: u32| {
        let count = most_in(soon, demand);
        while waits.len() < count {
            waits.push((wait, paused));
        }
    };
    add(&soon, Duration::ZERO, 0);
    soon = soon.plus(&found.stopping).minus(&room.claimed_beyond_free);
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
        // It may end late, unlike a run that is being stopped.
        add(&soon, (*left).max(demand.stop_time + END_UNSURE), paused);
    }
    waits
}

/// Sorted places with how often each is there.
fn counted(places: &[usize]) -> Vec<(usize, u32)> {
    places.chunk_by(|a, b| a == b).map(|same| (same[0], same.len() as u32)).collect()
}

fn times(need: &ResourceVector, count: u32) -> ResourceVector {
    let count = u64::from(count);
    ResourceVector { cpu: need.cpu * count, memory: need.memory * count, gpu: need.gpu * count }
}
