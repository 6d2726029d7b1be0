//! Placement of the steps of staged jobs, in one pass over the waiting steps in order of urgency.
//!
//! The pass is designed for a cell that is nearly full all day and overloaded in bursts. A gang
//! that does not fit gets a [`Claim`] on capacity that becomes free soon, so that small steps
//! behind it can't starve it. A gang also holds a claim while its tickets are being renewed.

mod choose;
mod claims;
mod isolation;
mod quotas;
mod reclaim;
mod urgency;

pub use claims::Claim;
pub use isolation::Isolation;
pub use quotas::Rooms;
pub use urgency::{rank, Rank, Urgency, WORTHLESS_AFTER_OBJECTIVES};

use choose::{candidates, place_each, place_gang, Candidate};
use jobs::{LifeId, Placement, ResourceVector, RunNumber, StepRef, TaskRef, WorkerInfo};
use std::time::Duration;
use types::{AccountName, ServiceName, SortedMap, Timestamp};

/// A worker and its available capacity during a pass.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCapacity<'a> {
    /// Life of the worker.
    pub life: LifeId,
    /// What the worker reports about itself.
    pub info: &'a WorkerInfo,
    /// Capacity that neither a run uses nor a claim holds.
    pub free: ResourceVector,
    /// Capacity that claims hold and that is not free yet.
    pub claimed_beyond_free: ResourceVector,
    /// Duration of work on this worker, in percent of its duration on an average worker.
    pub slowness: u32,
    /// Runs that have only just begun, and what may start beside them.
    pub isolation: Isolation,
}

/// Capacity of a worker that is in use but could become free.
#[derive(Clone, Debug, Default)]
pub struct Reclaimable {
    /// Resources of runs that are being stopped, which are free soon.
    pub stopping: ResourceVector,
    /// Runs that can be stopped and resumed later without loss, largest first.
    pub pausable: Vec<PausableRun>,
    /// Remaining time and resources of all other runs, shortest remaining time first.
    pub ending: Vec<(Duration, ResourceVector)>,
}

/// A run that can be stopped and resumed later without loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PausableRun {
    /// Task that the run executes.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Resources that the run uses.
    pub need: ResourceVector,
    /// Priority of the run's queue; 0 is the highest.
    pub priority: u32,
}

/// Which workers may run a step.
#[derive(Clone, Debug)]
pub enum EligibleWorkers {
    /// All workers of the service.
    Any,
    /// These workers, sorted by life. A start can be sent until the given time; after that the
    /// ticket must be renewed first.
    Only(Vec<(LifeId, Timestamp)>),
}

/// A step with tasks that wait to be placed.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Identifies the step.
    pub step: StepRef,
    /// Account whose quota counts; `None` if there is none.
    pub account: Option<AccountName>,
    /// Indexes of the waiting tasks.
    pub tasks: Vec<u32>,
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// Whether the tasks must be placed all together or not at all.
    pub gang: bool,
    /// Whether the tasks run slower if they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have; `None` for any worker.
    pub required_label: Option<String>,
    /// Rack that holds the data; tasks run slower on other racks.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub max_per_worker: u32,
    /// Service whose workers run the step.
    pub service: ServiceName,
    /// Which workers may run the step.
    pub eligible: EligibleWorkers,
    /// Number of the step's tasks that are already placed, by life.
    pub placed: Vec<(LifeId, u32)>,
    /// Whether the step meets its objective only if it starts at once and runs at full speed.
    pub tight: bool,
    /// Priority of the step's queue; 0 is the highest.
    pub priority: u32,
    /// Whether the step still meets its objective if it has to wait for another run to stop.
    pub can_wait_for_stop: bool,
    /// Time that a worker needs to stop a run.
    pub stop_time: Duration,
    /// Time needed to renew tickets.
    pub renewal: Duration,
    /// Whether workers have crashed while they ran these tasks.
    pub suspect: bool,
    /// Whether the step gets only what is left over: no capacity is claimed for it while others
    /// wait, and no run is paused.
    pub yields: bool,
    /// Whether workers differ so much in speed that a gang, which ends with its slowest member,
    /// should run on like ones.
    pub by_speed: bool,
}

/// Decisions of a pass.
#[derive(Clone, Debug, Default)]
pub struct StepPlan {
    /// Tasks to place.
    pub placements: Vec<Placement>,
    /// Steps whose tickets for these lives must be renewed before the step can be placed there.
    pub renew: Vec<(StepRef, Vec<LifeId>)>,
    /// Steps for which the free capacity was not sufficient, or which have to start apart from
    /// others.
    pub unplaced: Vec<StepRef>,
    /// Steps with tasks that wait for room under the quota of their account.
    pub beyond_quota: Vec<StepRef>,
    /// Runs to pause, to make room for a tight step or for a claim.
    pub pauses: Vec<(LifeId, TaskRef, RunNumber)>,
    /// New claims of gangs that can't start yet.
    pub claims: Vec<Claim>,
    /// Gangs for which free capacity is kept until more runs have ended. Decided anew in each pass.
    pub waiting: Vec<StepRef>,
    /// Steps whose claim is given up.
    pub dropped_claims: Vec<StepRef>,
}

/// State of a pass: its input and the decisions so far.
struct Pass<'p, 'a, F> {
    workers: &'p mut [WorkerCapacity<'a>],
    /// What each account may still start.
    rooms: Rooms,
    now: Timestamp,
    reclaimable: F,
    /// Results of `reclaimable` so far, by life.
    reclaimable_cache: SortedMap<LifeId, Reclaimable>,
    plan: StepPlan,
    /// Workers kept free of new runs for suspects.
    reserved: Vec<LifeId>,
}

/// Places the steps that fit: first the gangs that hold a claim, then all others in the given
/// order. `workers` must be sorted by life; their capacity is reduced by what is placed or held.
/// `rooms` is what accounts may still start, with what their claims hold.
/// `reclaimable` returns the capacity of a worker that could be freed. It is called at most once
/// for a worker, and only if a step does not fit.
pub fn plan<F>(
    workers: &mut [WorkerCapacity<'_>],
    claimed: &[(Claim, Demand)],
    demands: &[Demand],
    rooms: Rooms,
    now: Timestamp,
    reclaimable: F,
) -> StepPlan
where
    F: Fn(LifeId) -> Reclaimable,
{
    let reclaimable_cache = SortedMap::default();
    let (plan, reserved) = (StepPlan::default(), Vec::new());
    let mut pass = Pass { workers, rooms, now, reclaimable, reclaimable_cache, plan, reserved };
    for (claim, demand) in pass.claims_within_room(claimed) {
        pass.advance_claim(claim, demand);
    }
    for demand in demands {
        let Some(demand) = pass.within_room(demand) else { continue };
        if demand.gang {
            pass.place_or_claim_gang(&demand);
        } else {
            pass.place_tasks(&demand);
        }
    }
    pass.plan
}

impl<F> Pass<'_, '_, F>
where
    F: Fn(LifeId) -> Reclaimable,
{
    fn place_tasks(&mut self, demand: &Demand) {
        let mut candidates = candidates(self.workers, demand, self.now);
        let chosen = place_each(self.workers, demand, &mut candidates, self.now);
        let missing = demand.tasks.len() - chosen.len();
        if missing > 0 {
            self.plan.unplaced.push(demand.step);
            let reclaimed = self.pause_for_tasks(demand, missing);
            self.take_room(demand, reclaimed);
        }
        self.take_room(demand, chosen.len());
        if missing > 0 && demand.suspect {
            self.reserve_for_suspects(demand, missing);
        }
        record_choice(self.workers, demand, &chosen, &mut self.plan);
    }

    fn place_or_claim_gang(&mut self, demand: &Demand) {
        let mut candidates = candidates(self.workers, demand, self.now);
        match place_gang(self.workers, demand, &mut candidates, self.now) {
            Some(chosen) if chosen.iter().all(|(_, c)| c.ready) => {
                record_choice(self.workers, demand, &chosen, &mut self.plan);
            }
            Some(chosen) if demand.yields && !self.plan.unplaced.is_empty() => {
                give_back(self.workers, demand, &chosen);
                self.plan.unplaced.push(demand.step);
            }
            Some(chosen) => self.claim_chosen(demand, &chosen),
            None if demand.yields => self.plan.unplaced.push(demand.step),
            None => self.claim_future_capacity(demand),
        }
        let steps_without_capacity = [&self.plan.unplaced, &self.plan.waiting];
        let [unplaced, waiting] = steps_without_capacity.map(|s| s.last() == Some(&demand.step));
        if !unplaced || waiting {
            self.take_room(demand, demand.tasks.len());
        }
    }
}

/// Returns the capacity that was taken for a choice that is not carried out.
fn give_back(workers: &mut [WorkerCapacity<'_>], demand: &Demand, chosen: &[(u32, Candidate)]) {
    for (_, candidate) in chosen {
        let worker = &mut workers[candidate.worker];
        worker.free = worker.free.plus(&demand.need);
    }
}

/// Records the chosen workers in the plan: a placement where a start can be sent, else a renewal.
fn record_choice(
    workers: &[WorkerCapacity<'_>],
    demand: &Demand,
    chosen: &[(u32, Candidate)],
    plan: &mut StepPlan,
) {
    let life = |c: &Candidate| workers[c.worker].life;
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
