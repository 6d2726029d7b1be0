//! Selection of workers for tasks, among those with enough free capacity.

use super::{Demand, EligibleWorkers, WorkerCapacity};
use jobs::LifeId;
use std::ops::RangeInclusive;
use types::Timestamp;

/// Width of the classes of slowness, in percent. Workers of one class count as equally fast.
const SLOWNESS_CLASS: u32 = 15;

/// A worker that can run tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) worker: usize,
    /// Whether a start can be sent without renewing the ticket.
    pub(super) ready: bool,
    /// How many more tasks of the step `max_per_worker` allows on the worker.
    pub(super) max_tasks: u32,
    near_data: bool,
}

impl Demand {
    /// How many more tasks of the step `max_per_worker` allows on the worker.
    pub(super) fn max_tasks_on(&self, life: LifeId) -> u32 {
        if self.max_per_worker == 0 {
            return u32::MAX;
        }
        let placed = self.placed.iter().find(|(placed, _)| *placed == life);
        self.max_per_worker.saturating_sub(placed.map_or(0, |(_, count)| *count))
    }
}

pub(super) fn candidates(
    workers: &[WorkerCapacity<'_>],
    demand: &Demand,
    now: Timestamp,
) -> Vec<Candidate> {
    let candidate = |worker: usize, ready: bool| {
        let capacity = &workers[worker];
        let labelled =
            demand.required_label.as_ref().is_none_or(|l| capacity.info.labels.contains(l));
        if capacity.info.service != demand.service
            || !labelled
            || !demand.need.fits_in(&capacity.free)
            || !demand.is_admitted(capacity)
        {
            return None;
        }
        let max_tasks = demand.max_tasks_on(capacity.life);
        let near_data = demand.data_rack.as_ref().is_none_or(|rack| rack == capacity.info.rack());
        (max_tasks > 0).then_some(Candidate { worker, ready, max_tasks, near_data })
    };
    match &demand.eligible {
        EligibleWorkers::Any => {
            (0..workers.len()).filter_map(|worker| candidate(worker, true)).collect()
        }
        EligibleWorkers::Only(lives) => lives
            .iter()
            .filter_map(|(life, until)| {
                let worker = workers.binary_search_by_key(life, |capacity| capacity.life).ok()?;
                candidate(worker, now < *until)
            })
            .collect(),
    }
}

/// Places one task after the other. Workers on the data rack are preferred, then those with a valid
/// ticket, then those of the wanted speed class, then the best fit: the least free CPU.
pub(super) fn place_each(
    workers: &mut [WorkerCapacity<'_>],
    demand: &Demand,
    candidates: &mut [Candidate],
    now: Timestamp,
) -> Vec<(u32, Candidate)> {
    let mut chosen = Vec::new();
    for index in &demand.tasks {
        let fitting = candidates
            .iter_mut()
            .filter(|c| c.max_tasks > 0 && demand.need.fits_in(&workers[c.worker].free));
        let speed_rank = |c: &Candidate| {
            let class = i64::from(workers[c.worker].slowness / SLOWNESS_CLASS);
            // Tight steps get the fast workers; other steps leave those free.
            if demand.tight {
                class
            } else {
                -class
            }
        };
        let best = fitting
            .min_by_key(|c| (!c.near_data, !c.ready, speed_rank(c), workers[c.worker].free.cpu));
        let Some(best) = best else { break };
        best.max_tasks -= 1;
        workers[best.worker].take(demand, now);
        chosen.push((*index, *best));
    }
    chosen
}

/// Places all tasks or none, on a single rack if the step asks for that and one rack has
/// enough free capacity.
pub(super) fn place_gang(
    workers: &mut [WorkerCapacity<'_>],
    demand: &Demand,
    candidates: &mut [Candidate],
    now: Timestamp,
) -> Option<Vec<(u32, Candidate)>> {
    let fits = |c: &Candidate| demand.need.count_in(&workers[c.worker].free).min(c.max_tasks);
    let wanted = demand.tasks.len() as u64;
    let total: u64 = candidates.iter().map(|c| u64::from(fits(c))).sum();
    if total < wanted {
        return None;
    }
    if demand.same_rack {
        let mut racks: Vec<(&str, u64)> = Vec::new();
        for c in candidates.iter() {
            let rack = workers[c.worker].info.rack();
            match racks.iter_mut().find(|(name, _)| *name == rack) {
                Some((_, count)) => *count += u64::from(fits(c)),
                None => racks.push((rack, u64::from(fits(c)))),
            }
        }
        let enough = racks.iter().filter(|(_, count)| *count >= wanted).min_by_key(|r| r.1);
        if let Some(rack) = enough.map(|(rack, _)| rack.to_string()) {
            let mut on_rack: Vec<Candidate> = candidates
                .iter()
                .filter(|c| workers[c.worker].info.rack() == rack)
                .copied()
                .collect();
            return Some(place_each(workers, demand, &mut on_rack, now));
        }
    }
    if demand.by_speed {
        let fits: Vec<u64> = candidates.iter().map(|c| u64::from(fits(c))).collect();
        let range = like_workers(workers, demand, candidates, &fits);
        let mut alike: Vec<Candidate> = candidates
            .iter()
            .filter(|c| range.contains(&(workers[c.worker].slowness / SLOWNESS_CLASS)))
            .copied()
            .collect();
        return Some(place_each(workers, demand, &mut alike, now));
    }
    Some(place_each(workers, demand, candidates, now))
}

/// The narrowest range of speed classes in which a gang fits. Of equally narrow ones, a tight gang
/// gets the fastest workers, another one the slowest. `fits` is how many tasks each candidate can
/// run; together they must be enough.
fn like_workers(
    workers: &[WorkerCapacity<'_>],
    demand: &Demand,
    candidates: &[Candidate],
    fits: &[u64],
) -> RangeInclusive<u32> {
    let mut classes: Vec<(u32, u64)> = Vec::new();
    for (candidate, fits) in candidates.iter().zip(fits) {
        let class = workers[candidate.worker].slowness / SLOWNESS_CLASS;
        match classes.binary_search_by_key(&class, |(class, _)| *class) {
            Ok(at) => classes[at].1 += fits,
            Err(at) => classes.insert(at, (class, *fits)),
        }
    }
    let wanted = demand.tasks.len() as u64;
    let enough = |range: &[(u32, u64)]| range.iter().map(|(_, fits)| fits).sum::<u64>() >= wanted;
    let ranges = (0..classes.len()).flat_map(|from| {
        let to = (from..classes.len()).find(|to| enough(&classes[from..=*to]));
        to.map(|to| (classes[from].0, classes[to].0))
    });
    let rank = |(fastest, slowest): &(u32, u32)| {
        let speed = i64::from(*slowest);
        (slowest - fastest, if demand.tight { speed } else { -speed })
    };
    let best = ranges.min_by_key(rank).unwrap_or((0, u32::MAX));
    best.0..=best.1
}
