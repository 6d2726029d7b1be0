//! The reservation for the first all-at-once job that does not fit.

use crate::workers::{Slot, Workers};
use types::{JobId, Resources, Timestamp};

/// Slots reserved for one job from `start` on.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    /// When the job can start, according to the predicted ends of runs.
    pub(crate) start: Timestamp,
    /// When the reservation was computed.
    pub(crate) created: Timestamp,
    /// The reserved slots, sorted.
    slots: Vec<Slot>,
}

/// Predicted end of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PredictedEnd {
    pub(crate) at: Timestamp,
    pub(crate) slot: Slot,
    pub(crate) resources: Resources,
}

impl Reservation {
    /// Reserves the slots for `tasks` tasks at the earliest time at which all fit, by releasing
    /// runs in the order of their predicted ends. `None` if they don't fit even after all runs
    /// ended.
    pub(crate) fn compute(
        job: JobId,
        tasks: u32,
        need: &Resources,
        workers: &Workers,
        mut ends: Vec<PredictedEnd>,
        now: Timestamp,
    ) -> Option<Reservation> {
        let mut free_by_slot: Vec<Resources> =
            (0..workers.slot_count()).map(|slot| workers.index.free(slot)).collect();
        let count = |slot: Slot, free: &Resources| workers.count_fitting(slot, need, free);
        let mut fitting: u64 =
            free_by_slot.iter().enumerate().map(|(slot, free)| count(slot, free)).sum();
        ends.sort_by_key(|end| end.at);
        let mut start = now;
        for end in ends {
            if fitting >= u64::from(tasks) {
                break;
            }
            let free = &mut free_by_slot[end.slot];
            let before = count(end.slot, free);
            *free = free.checked_add(&end.resources).unwrap_or(*free);
            fitting += count(end.slot, free) - before;
            start = end.at.max(now);
        }
        if fitting < u64::from(tasks) {
            return None;
        }
        let counts = free_by_slot.iter().enumerate().map(|(slot, free)| (slot, count(slot, free)));
        let slots = fewest_slots(counts.collect(), tasks);
        Some(Reservation { job, start, created: now, slots })
    }

    /// Whether a task that ends at `end` may use `slot` without delaying the reserved job.
    pub(crate) fn allows(&self, slot: Slot, end: Timestamp) -> bool {
        end <= self.start || self.slots.binary_search(&slot).is_err()
    }
}

/// The smallest set of slots that holds all tasks, sorted. `by_count` has the number of tasks that
/// fit on each slot.
fn fewest_slots(mut by_count: Vec<(Slot, u64)>, tasks: u32) -> Vec<Slot> {
    by_count.retain(|(_, count)| *count > 0);
    by_count.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    let mut missing = u64::from(tasks);
    let mut slots = Vec::new();
    for (slot, count) in by_count {
        if missing == 0 {
            break;
        }
        slots.push(slot);
        missing = missing.saturating_sub(count);
    }
    slots.sort_unstable();
    slots
}

/// How many times `need` fits into `free`.
pub(crate) fn count_fitting(need: &Resources, free: &Resources) -> u64 {
    let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    times(free.cpu, need.cpu)
        .min(times(free.memory, need.memory))
        .min(times(free.accelerators.into(), need.accelerators.into()))
}
