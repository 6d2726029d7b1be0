//! Which workers tasks go to, among those that have the room now.

use super::{Allowed, Demand, WorkerCapacity};
use types::Timestamp;

/// Workers whose slowness differs by less than this count as equally fast, in percent.
const SLOWNESS_STEP: u32 = 15;

/// A worker that may run tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) at: usize,
    /// A start can be sent at once.
    pub(super) ready: bool,
    /// More tasks of the step that may go there by the limit for one worker.
    pub(super) most: u32,
    near: bool,
}

pub(super) fn candidates(
    rooms: &[WorkerCapacity<'_>],
    demand: &Demand,
    now: Timestamp,
) -> Vec<Candidate> {
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
            .filter_map(|(life, until)| {
                let at = rooms.binary_search_by_key(life, |room| room.life).ok()?;
                candidate(at, now < *until)
            })
            .collect(),
    }
}

/// One task after the other, each where the least room is left over.
pub(super) fn place_each(
    rooms: &mut [WorkerCapacity<'_>],
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
pub(super) fn place_gang(
    rooms: &mut [WorkerCapacity<'_>],
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
