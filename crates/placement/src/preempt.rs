//! Selection of runs to stop for urgent work.

use crate::view::RunView;
use crate::workers::{Slot, Workers};
use std::time::Duration;
use types::{Fence, Resources, SortedMap, Timestamp};

/// Maximum number of workers with enough preemptible runs that are compared for one urgent task.
const WORKERS_COMPARED: usize = 64;

/// Runs to stop on one worker, and the run time that is lost at worst.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Victims {
    pub(crate) slot: Slot,
    pub(crate) fences: Vec<Fence>,
    lost_work: Duration,
}

/// The cheapest set of runs on one worker whose end makes room for `need`. Workers are searched
/// from slot `start` on, wrapping around.
pub(crate) fn choose_victims(
    workers: &Workers,
    runs_by_slot: &SortedMap<Slot, Vec<Fence>>,
    runs: &SortedMap<Fence, Box<RunView>>,
    need: &Resources,
    start: Slot,
    now: Timestamp,
) -> Option<Victims> {
    let count = workers.slot_count();
    let slots = (0..count).map(|i| (start + i) % count);
    let on_slot = |slot: Slot| {
        let fences = runs_by_slot.get(&slot)?;
        let mut victims: Vec<&RunView> = fences
            .iter()
            .filter_map(|fence| runs.get(fence).map(|run| &**run))
            .filter(|run| run.preemptible && !run.stopping)
            .collect();
        // The most recently placed runs lose the least work.
        victims.sort_by_key(|run| std::cmp::Reverse(run.placed));
        choose_on_slot(slot, workers.index.free(slot), &victims, need, now)
    };
    slots.filter_map(on_slot).take(WORKERS_COMPARED).min_by_key(|victims| victims.lost_work)
}

fn choose_on_slot(
    slot: Slot,
    mut free: Resources,
    victims: &[&RunView],
    need: &Resources,
    now: Timestamp,
) -> Option<Victims> {
    let mut fences = Vec::new();
    let mut lost_work = Duration::ZERO;
    for run in victims {
        if need.fits_in(&free) {
            break;
        }
        free = free.checked_add(&run.resources)?;
        lost_work += now.saturating_sub(run.placed);
        fences.push(run.fence);
    }
    (need.fits_in(&free) && !fences.is_empty()).then_some(Victims { slot, fences, lost_work })
}
