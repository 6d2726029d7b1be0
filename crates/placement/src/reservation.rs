//! The reservation of the first all-at-once job that does not fit.

use crate::workers::{Slot, Workers};
use types::{JobId, Resources, Timestamp};

/// Room kept for one job from a time on.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) job: JobId,
    /// When, by what is known of the runs, the job can start.
    pub(crate) start: Timestamp,
    /// When this was worked out.
    pub(crate) made: Timestamp,
    /// Slots kept, sorted.
    slots: Vec<Slot>,
}

/// A run's end, as predicted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PredictedEnd {
    pub(crate) at: Timestamp,
    pub(crate) slot: Slot,
    pub(crate) resources: Resources,
}

impl Reservation {
    /// The earliest time at which `tasks` tasks fit together, by letting runs end in order.
    /// `None` when they don't fit even then.
    pub(crate) fn make(
        job: JobId,
        tasks: u32,
        need: &Resources,
        workers: &Workers,
        mut ends: Vec<PredictedEnd>,
        now: Timestamp,
    ) -> Option<Reservation> {
        let mut rooms: Vec<Resources> =
            (0..workers.slot_count()).map(|slot| workers.index.room(slot)).collect();
        let count = |slot: Slot, room: &Resources| workers.copies(slot, need, room);
        let mut fitting: u64 = rooms.iter().enumerate().map(|(slot, room)| count(slot, room)).sum();
        ends.sort_by_key(|end| end.at);
        let mut start = now;
        for end in ends {
            if fitting >= u64::from(tasks) {
                break;
            }
            let room = &mut rooms[end.slot];
            let before = count(end.slot, room);
            *room = room.checked_add(&end.resources).unwrap_or(*room);
            fitting += count(end.slot, room) - before;
            start = end.at.max(now);
        }
        if fitting < u64::from(tasks) {
            return None;
        }
        let counts = rooms.iter().enumerate().map(|(slot, room)| (slot, count(slot, room)));
        let slots = fullest_slots(counts.collect(), tasks);
        Some(Reservation { job, start, made: now, slots })
    }

    /// Whether a task that ends at `end` may use `slot` without delaying the job.
    pub(crate) fn allows(&self, slot: Slot, end: Timestamp) -> bool {
        end <= self.start || self.slots.binary_search(&slot).is_err()
    }
}

/// The fewest slots that hold all tasks, sorted; `by_count` has how many each slot takes.
fn fullest_slots(mut by_count: Vec<(Slot, u64)>, tasks: u32) -> Vec<Slot> {
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

/// How often `need` fits in `room`.
pub(crate) fn copies(need: &Resources, room: &Resources) -> u64 {
    let times = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    times(room.cpu, need.cpu)
        .min(times(room.memory, need.memory))
        .min(times(room.accelerators.into(), need.accelerators.into()))
}
