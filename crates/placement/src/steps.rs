//! Placing the steps of staged jobs: one pass over what waits, in order, against the room there is.
//!
//! The pass is for a cell that is nearly full all day and overfull in bursts. A gang that does not
//! fit gets a [`Claim`] on room that is free soon, so that small work behind it can't starve it,
//! and for the time in which its tickets are renewed.

mod choose;
mod claims;
mod reclaim;
mod urgency;

pub use claims::Claim;
pub use urgency::{rank, Urgency};

use choose::{candidates, place_each, place_gang, Candidate};
use jobs::{LifeId, Placement, ResourceVector, RunNumber, StepRef, TaskRef, WorkerInfo};
use std::time::Duration;
use types::{ServiceName, SortedMap, Timestamp};

/// A worker as the pass sees it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCapacity<'a> {
    /// Its life.
    pub life: LifeId,
    /// What it says of itself.
    pub info: &'a WorkerInfo,
    /// What no run takes and no claim holds.
    pub free: ResourceVector,
    /// What claims hold beyond what is free: it is free later.
    pub claimed_beyond_free: ResourceVector,
    /// How long work takes there, in percent of what it takes elsewhere.
    pub slowness: u32,
}

/// What could be had on a worker beyond what is free.
#[derive(Clone, Debug, Default)]
pub struct Reclaimable {
    /// What is free soon: runs that are being stopped.
    pub stopping: ResourceVector,
    /// Runs that can be stopped and go on later from where they were, largest first.
    pub pausable: Vec<PausableRun>,
    /// All other runs, with the time that each should still take, shortest first.
    pub ending: Vec<(Duration, ResourceVector)>,
}

/// A run that can be stopped and go on later from where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PausableRun {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// What it takes.
    pub need: ResourceVector,
    /// Priority of its queue.
    pub priority: u32,
}

/// Which workers may run a step.
#[derive(Clone, Debug)]
pub enum Allowed {
    /// Any of the service.
    Any,
    /// These, by life, with the time until which a start there can be sent; the ticket has to be
    /// renewed after it.
    Only(Vec<(LifeId, Timestamp)>),
}

/// A step with tasks that wait for a place.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The step.
    pub step: StepRef,
    /// Indexes of the tasks that wait.
    pub tasks: Vec<u32>,
    /// What each takes.
    pub need: ResourceVector,
    /// All or none.
    pub gang: bool,
    /// Slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack with the data; slower on any other.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for any number.
    pub max_per_worker: u32,
    /// Service whose workers may run it.
    pub service: ServiceName,
    /// Which workers may run it.
    pub allowed: Allowed,
    /// Tasks of the step that have a place already, by life.
    pub placed: Vec<(LifeId, u32)>,
    /// It is on time only if it starts at once and nothing goes slowly.
    pub tight: bool,
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// It would still be on time if it had to wait for another run to stop.
    pub can_wait_for_stop: bool,
    /// How long a worker takes to stop a run.
    pub stop_time: Duration,
    /// How long it takes to renew tickets.
    pub renewal: Duration,
}

/// What a pass decided.
#[derive(Clone, Debug, Default)]
pub struct StepPlan {
    /// Tasks to place.
    pub placements: Vec<Placement>,
    /// Steps that could be placed on these lives once their tickets are renewed.
    pub renew: Vec<(StepRef, Vec<LifeId>)>,
    /// Steps for which there was not enough room.
    pub unplaced: Vec<StepRef>,
    /// Runs to stop, so that something tight can start in their place.
    pub pauses: Vec<(LifeId, TaskRef, RunNumber)>,
    /// New claims of gangs that don't fit yet.
    pub claims: Vec<Claim>,
    /// Gangs for which free room is kept until more has ended, as long as each pass says so.
    pub waiting: Vec<StepRef>,
    /// Steps whose claim is given up.
    pub dropped_claims: Vec<StepRef>,
}

/// One pass: what it works on, and what it has decided so far.
struct Pass<'p, 'a, F> {
    rooms: &'p mut [WorkerCapacity<'a>],
    now: Timestamp,
    reclaimable: F,
    /// What more could be had, by life, of the workers that were asked for it.
    asked: SortedMap<LifeId, Reclaimable>,
    plan: StepPlan,
}

/// Places what fits: first the gangs that have a claim, then all others in the order given.
/// `rooms`, sorted by life, is used up on the way. `reclaimable` says what more could be had on a
/// worker; it is asked only where something is short.
pub fn plan<F>(
    rooms: &mut [WorkerCapacity<'_>],
    claimed: &[(Claim, Demand)],
    demands: &[Demand],
    now: Timestamp,
    reclaimable: F,
) -> StepPlan
where
    F: Fn(LifeId) -> Reclaimable,
{
    let asked = SortedMap::default();
    let mut pass = Pass { rooms, now, reclaimable, asked, plan: StepPlan::default() };
    for (claim, demand) in claimed {
        pass.settle(claim, demand);
    }
    for demand in demands {
        if demand.gang {
            pass.place_or_claim(demand);
        } else {
            pass.place_tasks(demand);
        }
    }
    pass.plan
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    fn place_tasks(&mut self, demand: &Demand) {
        let mut candidates = candidates(self.rooms, demand, self.now);
        let chosen = place_each(self.rooms, demand, &mut candidates);
        if chosen.len() < demand.tasks.len() {
            self.plan.unplaced.push(demand.step);
            self.make_room(demand, demand.tasks.len() - chosen.len());
        }
        take(self.rooms, demand, &chosen, &mut self.plan);
    }

    fn place_or_claim(&mut self, demand: &Demand) {
        let mut candidates = candidates(self.rooms, demand, self.now);
        match place_gang(self.rooms, demand, &mut candidates) {
            Some(chosen) if chosen.iter().all(|(_, c)| c.ready) => {
                take(self.rooms, demand, &chosen, &mut self.plan);
            }
            Some(chosen) => self.claim_chosen(demand, &chosen),
            None => self.claim_later(demand),
        }
    }
}

/// Notes what was chosen: placements where a start can be sent, renewals where not.
fn take(
    rooms: &[WorkerCapacity<'_>],
    demand: &Demand,
    chosen: &[(u32, Candidate)],
    plan: &mut StepPlan,
) {
    let life = |c: &Candidate| rooms[c.at].life;
    let mut renew: Vec<LifeId> =
        chosen.iter().filter(|(_, c)| !c.ready).map(|(_, c)| life(c)).collect();
    renew.sort_unstable();
    renew.dedup();
    let now: Vec<(u32, LifeId)> =
        chosen.iter().filter(|(_, c)| c.ready).map(|(index, c)| (*index, life(c))).collect();
    if !renew.is_empty() {
        plan.renew.push((demand.step, renew));
    }
    if !now.is_empty() {
        plan.placements.push(Placement { step: demand.step, tasks: now });
    }
}
