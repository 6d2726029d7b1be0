//! Placing the steps of staged jobs: one pass over what waits, in order, against the room there is.
//!
//! The pass is for a cell that is nearly full all day and overfull in bursts. It keeps room for a
//! gang that is next but does not fit yet, so that small work behind it can't starve it, and for
//! tasks whose ticket has to be renewed first.

use jobs::{LifeId, Placement, Room, RunNumber, StepRef, TaskRef, WorkerInfo};
use std::time::Duration;
use types::{ServiceName, SortedMap, Timestamp};

/// Gangs that don't fit for which room is kept at one time.
const GANGS_WITH_KEPT_ROOM: usize = 3;
/// A late job still counts up to this many times its objective.
const WORTHLESS_AFTER: u32 = 3;

/// Workers whose slowness differs by less than this count as equally fast, in percent.
const SLOWNESS_STEP: u32 = 15;

/// A worker as the pass sees it.
#[derive(Clone, Copy, Debug)]
pub struct WorkerRoom<'a> {
    /// Its life.
    pub life: LifeId,
    /// What it says of itself.
    pub info: &'a WorkerInfo,
    /// What no run takes.
    pub free: Room,
    /// How long work takes there, in percent of what it takes elsewhere.
    pub slowness: u32,
}

/// What could be had on a worker beyond what is free.
#[derive(Clone, Debug, Default)]
pub struct Reclaimable {
    /// What is free soon: runs that are being stopped.
    pub stopping: Room,
    /// Runs that can be stopped and go on later from where they were, least done first.
    pub pausable: Vec<PausableRun>,
}

/// A run that can be stopped and go on later from where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PausableRun {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// What it takes.
    pub need: Room,
    /// Priority of its queue.
    pub priority: u32,
}

/// Which workers may run a step.
#[derive(Clone, Debug)]
pub enum Allowed {
    /// Any of the service.
    Any,
    /// These, by life, with whether a start there can be sent at once.
    Only(Vec<(LifeId, bool)>),
}

/// A step with tasks that wait for a place.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The step.
    pub step: StepRef,
    /// Indexes of the tasks that wait.
    pub tasks: Vec<u32>,
    /// What each takes.
    pub need: Room,
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
}

/// What a pass decided.
#[derive(Clone, Debug, Default)]
pub struct StepPlan {
    /// Tasks to place.
    pub placements: Vec<Placement>,
    /// Steps that could be placed on these lives once their tickets are renewed.
    pub renew: Vec<(StepRef, Vec<LifeId>)>,
    /// Steps for which there was not enough room.
    pub short: Vec<StepRef>,
    /// Runs to stop, so that something tight can start in their place.
    pub pauses: Vec<(LifeId, TaskRef, RunNumber)>,
}

/// When a job is to be done, for its place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of its queue, 0 first.
    pub priority: u32,
    /// When it was accepted.
    pub submitted: Timestamp,
    /// Time from then within which it is on time.
    pub objective: Duration,
    /// Estimated work that is left along its longest chain.
    pub left: Duration,
}

/// Work whose time left is less than this many percent of its duration is tight.
const TIGHT_BELOW: u32 = 250;

impl Urgency {
    /// Whether it can be on time, but only if it starts soon and goes at full speed.
    pub fn is_tight(&self, now: Timestamp) -> bool {
        let due = self.submitted + self.objective;
        now + self.left <= due && now + self.left * TIGHT_BELOW / 100 > due
    }
}

/// Place in the order: what can be on time, then what can be late, then the rest; within these by
/// priority, then by how soon it must start.
///
/// ```
/// use placement::steps::{rank, Urgency};
/// use std::time::Duration;
/// let s = Duration::from_secs;
/// let soon = Urgency { priority: 2, submitted: s(10), objective: s(8), left: s(2) };
/// let too_late = Urgency { priority: 0, submitted: s(0), objective: s(8), left: s(9) };
/// assert!(rank(&soon, s(11)) < rank(&too_late, s(11)));
/// ```
pub fn rank(urgency: &Urgency, now: Timestamp) -> (u8, u32, Timestamp) {
    let Urgency { priority, submitted, objective, left } = *urgency;
    let done_by = now + left;
    let tier = if done_by <= submitted + objective {
        0
    } else if done_by <= submitted + objective * WORTHLESS_AFTER {
        1
    } else {
        2
    };
    (tier, priority, (submitted + objective).saturating_sub(left))
}

/// Places what fits, in the order given. `rooms`, sorted by life, is used up on the way. `reclaimable`
/// says what more could be had on a worker; it is asked only where something tight is short.
pub fn plan<F>(rooms: &mut [WorkerRoom<'_>], demands: &[Demand], reclaimable: F) -> StepPlan
where
    F: Fn(LifeId) -> Reclaimable,
{
    let mut asked = SortedMap::default();
    let mut plan = StepPlan::default();
    let mut kept = 0;
    for demand in demands {
        let mut candidates = candidates(rooms, demand);
        if demand.gang {
            let found = place_gang(rooms, demand, &mut candidates);
            match found {
                Some(chosen) => take(rooms, demand, chosen, &mut plan),
                None => {
                    plan.short.push(demand.step);
                    make_room(
                        rooms,
                        demand,
                        demand.tasks.len(),
                        &reclaimable,
                        &mut asked,
                        &mut plan,
                    );
                    if kept < GANGS_WITH_KEPT_ROOM {
                        kept += 1;
                        keep_room(rooms, demand, &candidates);
                    }
                }
            }
        } else {
            let chosen = place_each(rooms, demand, &mut candidates);
            if chosen.len() < demand.tasks.len() {
                plan.short.push(demand.step);
                let missing = demand.tasks.len() - chosen.len();
                make_room(rooms, demand, missing, &reclaimable, &mut asked, &mut plan);
            }
            take(rooms, demand, chosen, &mut plan);
        }
    }
    plan
}

/// A worker that may run tasks of a step.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    at: usize,
    /// A start can be sent at once.
    ready: bool,
    /// More tasks of the step that may go there by the limit for one worker.
    most: u32,
    near: bool,
}

fn candidates(rooms: &[WorkerRoom<'_>], demand: &Demand) -> Vec<Candidate> {
    let candidate = |at: usize, ready: bool| {
        let room = &rooms[at];
        let labelled = demand.required_label.as_ref().is_none_or(|l| room.info.labels.contains(l));
        if room.info.service != demand.service || !labelled || !demand.need.fits_in(&room.free) {
            return None;
        }
        let most = match demand.max_per_worker {
            0 => u32::MAX,
            most => {
                let there = demand.placed.iter().find(|(life, _)| *life == room.life);
                most.saturating_sub(there.map_or(0, |(_, count)| *count))
            }
        };
        let near = demand.data_rack.as_ref().is_none_or(|rack| rack == room.info.rack());
        (most > 0).then_some(Candidate { at, ready, most, near })
    };
    match &demand.allowed {
        Allowed::Any => (0..rooms.len()).filter_map(|at| candidate(at, true)).collect(),
        Allowed::Only(lives) => lives
            .iter()
            .filter_map(|(life, ready)| {
                let at = rooms.binary_search_by_key(life, |room| room.life).ok()?;
                candidate(at, *ready)
            })
            .collect(),
    }
}

/// One task after the other, each where the least room is left over.
fn place_each(
    rooms: &mut [WorkerRoom<'_>],
    demand: &Demand,
    candidates: &mut [Candidate],
) -> Vec<(u32, Candidate)> {
    let mut chosen = Vec::new();
    for index in &demand.tasks {
        let fitting =
            candidates.iter_mut().filter(|c| c.most > 0 && demand.need.fits_in(&rooms[c.at].free));
        let speed = |c: &Candidate| {
            let steps = i64::from(rooms[c.at].slowness / SLOWNESS_STEP);
            // What is tight gets the fast workers, and the rest leaves them to it.
            if demand.tight {
                steps
            } else {
                -steps
            }
        };
        let best = fitting.min_by_key(|c| (!c.near, !c.ready, speed(c), rooms[c.at].free.cpu));
        let Some(best) = best else { break };
        best.most -= 1;
        let room = &mut rooms[best.at];
        room.free = room.free.minus(&demand.need);
        chosen.push((*index, *best));
    }
    chosen
}

/// All tasks or none, on as few racks as possible where that matters.
fn place_gang(
    rooms: &mut [WorkerRoom<'_>],
    demand: &Demand,
    candidates: &mut [Candidate],
) -> Option<Vec<(u32, Candidate)>> {
    let fits = |c: &Candidate| demand.need.count_in(&rooms[c.at].free).min(c.most);
    let wanted = demand.tasks.len() as u64;
    let total: u64 = candidates.iter().map(|c| u64::from(fits(c))).sum();
    if total < wanted {
        return None;
    }
    if demand.same_rack {
        let mut racks: Vec<(&str, u64)> = Vec::new();
        for c in candidates.iter() {
            let rack = rooms[c.at].info.rack();
            match racks.iter_mut().find(|(name, _)| *name == rack) {
                Some((_, count)) => *count += u64::from(fits(c)),
                None => racks.push((rack, u64::from(fits(c)))),
            }
        }
        let enough = racks.iter().filter(|(_, count)| *count >= wanted).min_by_key(|r| r.1);
        if let Some(rack) = enough.map(|(rack, _)| rack.to_string()) {
            let mut there: Vec<Candidate> =
                candidates.iter().filter(|c| rooms[c.at].info.rack() == rack).copied().collect();
            return Some(place_each(rooms, demand, &mut there));
        }
    }
    Some(place_each(rooms, demand, candidates))
}

/// Stops runs of lower priority that lose nothing by it, for tasks that are on time only if they
/// start soon. What is being stopped already counts as room.
fn make_room<F>(
    rooms: &mut [WorkerRoom<'_>],
    demand: &Demand,
    count: usize,
    reclaimable: &F,
    asked: &mut SortedMap<LifeId, Reclaimable>,
    plan: &mut StepPlan,
) where
    F: Fn(LifeId) -> Reclaimable,
{
    if !demand.tight || !demand.can_wait_for_stop {
        return;
    }
    let mut left = count;
    let allowed = |life: LifeId| match &demand.allowed {
        Allowed::Any => true,
        Allowed::Only(lives) => lives.iter().any(|(id, _)| *id == life),
    };
    let labelled = |room: &WorkerRoom<'_>| {
        demand.required_label.as_ref().is_none_or(|l| room.info.labels.contains(l))
    };
    for room in rooms.iter_mut() {
        if left == 0 {
            return;
        }
        if room.info.service != demand.service || !allowed(room.life) || !labelled(room) {
            continue;
        }
        let life = room.life;
        let reclaimable = asked.get_or_insert_with(life, || reclaimable(life));
        while left > 0 && reclaim_room(room, reclaimable, demand, plan) {
            left -= 1;
        }
    }
}

/// Finds room for one task on a worker where runs may be stopped for it. False when there is none.
fn reclaim_room(
    room: &mut WorkerRoom<'_>,
    reclaimable: &mut Reclaimable,
    demand: &Demand,
    plan: &mut StepPlan,
) -> bool {
    let mut soon = room.free.plus(&reclaimable.stopping);
    let mut victims = 0;
    for run in reclaimable.pausable.iter().filter(|run| run.priority > demand.priority) {
        if demand.need.fits_in(&soon) {
            break;
        }
        soon = soon.plus(&run.need);
        victims += 1;
    }
    if !demand.need.fits_in(&soon) {
        return false;
    }
    let mut stopped = 0;
    reclaimable.pausable.retain(|run| {
        let stop = stopped < victims && run.priority > demand.priority;
        if stop {
            stopped += 1;
            plan.pauses.push((room.life, run.task, run.run));
        }
        !stop
    });
    // The room is this demand's from now on.
    let beyond_free = demand.need.minus(&room.free);
    reclaimable.stopping = soon.minus(&room.free).minus(&beyond_free);
    room.free = room.free.minus(&demand.need);
    true
}

/// Keeps what is free on the workers of a gang that does not fit, so that what ends there is not
/// given to work behind it.
fn keep_room(rooms: &mut [WorkerRoom<'_>], demand: &Demand, candidates: &[Candidate]) {
    let mut left = demand.tasks.len() as u32;
    for c in candidates {
        let room = &mut rooms[c.at];
        let count = demand.need.count_in(&room.free).min(c.most).min(left);
        left -= count;
        let times = u64::from(count);
        room.free = room.free.minus(&Room {
            cpu: demand.need.cpu * times,
            memory: demand.need.memory * times,
            gpu: demand.need.gpu * times,
        });
    }
}

/// Notes what was chosen: placements where a start can be sent, renewals where not. A gang waits
/// for all of its tickets; the room stays taken meanwhile.
fn take(
    rooms: &[WorkerRoom<'_>],
    demand: &Demand,
    chosen: Vec<(u32, Candidate)>,
    plan: &mut StepPlan,
) {
    let life = |c: &Candidate| rooms[c.at].life;
    let mut renew: Vec<LifeId> =
        chosen.iter().filter(|(_, c)| !c.ready).map(|(_, c)| life(c)).collect();
    renew.sort_unstable();
    renew.dedup();
    let now: Vec<(u32, LifeId)> = if demand.gang && !renew.is_empty() {
        renew = chosen.iter().map(|(_, c)| life(c)).collect();
        renew.sort_unstable();
        renew.dedup();
        Vec::new()
    } else {
        chosen.iter().filter(|(_, c)| c.ready).map(|(index, c)| (*index, life(c))).collect()
    };
    if !renew.is_empty() {
        plan.renew.push((demand.step, renew));
    }
    if !now.is_empty() {
        plan.placements.push(Placement { step: demand.step, tasks: now });
    }
}
