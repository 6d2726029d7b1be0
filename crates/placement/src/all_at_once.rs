//! Finds slots for all tasks of an all-at-once job, within one rack if possible.

use crate::workers::{Slot, Workers};
use types::Resources;

/// An allowed slot for each of `tasks` tasks, or `None` if they don't all fit now.
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
        let slots = fill_slots(
            workers,
            need,
            tasks,
            rack.slots.iter().copied().filter(|slot| allowed(*slot)),
        )?;
        Some((rack_capacity(workers, need, &rack.slots), slots))
    });
    // The fitting rack with the least free capacity is chosen, to keep the other racks free.
    if let Some((_, slots)) = in_one_rack.min_by_key(|(capacity, _)| *capacity) {
        return Some(slots);
    }
    fill_slots(workers, need, tasks, (0..workers.slot_count()).filter(|slot| allowed(*slot)))
}

fn rack_capacity(workers: &Workers, need: &Resources, slots: &[Slot]) -> u64 {
    slots.iter().map(|slot| workers.count_fitting(*slot, need, &workers.index.free(*slot))).sum()
}

fn fill_slots<I>(workers: &Workers, need: &Resources, tasks: u32, slots: I) -> Option<Vec<Slot>>
where
    I: Iterator<Item = Slot>,
{
    let mut found = Vec::with_capacity(tasks as usize);
    for slot in slots {
        let missing = tasks as usize - found.len();
        let here = workers.count_fitting(slot, need, &workers.index.free(slot)).min(missing as u64);
        found.extend(std::iter::repeat_n(slot, here as usize));
        if found.len() == tasks as usize {
            return Some(found);
        }
    }
    None
}
