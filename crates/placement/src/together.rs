//! Room for all tasks of an all-at-once job, within one rack where that can be.

use crate::workers::{Slot, Workers};
use types::Resources;

/// An allowed slot for each of `tasks` tasks, or `None` when they don't all fit now.
pub(crate) fn find_slots<F>(
    workers: &Workers,
    need: &Resources,
    tasks: u32,
    allowed: F,
) -> Option<Vec<Slot>>
where
    F: Fn(Slot) -> bool,
{
    if !workers.index.may_fit(need) {
        return None;
    }
    let in_one_rack = workers.racks.iter().filter_map(|rack| {
        let slots =
            fill(workers, need, tasks, rack.slots.iter().copied().filter(|slot| allowed(*slot)))?;
        Some((rack_room(workers, need, &rack.slots), slots))
    });
    // The tightest rack that is large enough leaves the others whole.
    if let Some((_, slots)) = in_one_rack.min_by_key(|(room, _)| *room) {
        return Some(slots);
    }
    fill(workers, need, tasks, (0..workers.slot_count()).filter(|slot| allowed(*slot)))
}

fn rack_room(workers: &Workers, need: &Resources, slots: &[Slot]) -> u64 {
    slots.iter().map(|slot| workers.copies(*slot, need, &workers.index.room(*slot))).sum()
}

fn fill<I>(workers: &Workers, need: &Resources, tasks: u32, slots: I) -> Option<Vec<Slot>>
where
    I: Iterator<Item = Slot>,
{
    let mut found = Vec::with_capacity(tasks as usize);
    for slot in slots {
        let missing = tasks as usize - found.len();
        let here = workers.copies(slot, need, &workers.index.room(slot)).min(missing as u64);
        found.extend(std::iter::repeat_n(slot, here as usize));
        if found.len() == tasks as usize {
            return Some(found);
        }
    }
    None
}
