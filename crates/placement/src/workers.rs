//! The planner's table of workers, with their slots and racks.

use crate::index::FitIndex;
use crate::reservation::count_fitting;
use crate::view::WorkerView;
use types::{Incarnation, JobId, Resources, SortedMap, WorkerId};

/// Index of a worker in the table and in the [`FitIndex`]. Slots of removed workers are reused.
pub(crate) type Slot = usize;

#[derive(Clone, Debug)]
pub(crate) struct WorkerSlot {
    pub(crate) id: WorkerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) rack: usize,
    pub(crate) capacity: Resources,
    pub(crate) single: bool,
    /// The job of each run on this worker, for spreading services.
    pub(crate) jobs: Vec<JobId>,
}

/// The slots of one rack.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rack {
    pub(crate) slots: Vec<Slot>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    by_id: SortedMap<WorkerId, Slot>,
    slots: Vec<Option<WorkerSlot>>,
    free_slots: Vec<Slot>,
    pub(crate) index: FitIndex,
    rack_names: SortedMap<String, usize>,
    pub(crate) racks: Vec<Rack>,
    pub(crate) capacity: Resources,
}

impl Workers {
    pub(crate) fn upsert(&mut self, view: WorkerView) {
        let slot = match self.by_id.get(&view.id) {
            Some(slot) => *slot,
            None => self.free_slots.pop().unwrap_or(self.slots.len()),
        };
        if slot == self.slots.len() {
            self.slots.push(None);
        }
        let jobs = match self.slots[slot].take() {
            Some(old) => {
                self.leave_rack(slot, old.rack);
                self.capacity = self.capacity.saturating_sub(&old.capacity);
                old.jobs
            }
            None => Vec::new(),
        };
        let rack = self.join_rack(slot, &view.rack);
        self.capacity = self.capacity.checked_add(&view.capacity).unwrap_or(self.capacity);
        self.by_id.insert(view.id.clone(), slot);
        self.index.set(slot, view.free);
        let WorkerView { id, incarnation, capacity, single, .. } = view;
        self.slots[slot] = Some(WorkerSlot { id, incarnation, rack, capacity, single, jobs });
    }

    pub(crate) fn remove(&mut self, id: &WorkerId) {
        let Some(slot) = self.by_id.remove(id) else { return };
        if let Some(old) = self.slots[slot].take() {
            self.leave_rack(slot, old.rack);
            self.capacity = self.capacity.saturating_sub(&old.capacity);
        }
        self.index.set(slot, Resources::default());
        self.free_slots.push(slot);
    }

    fn join_rack(&mut self, slot: Slot, name: &str) -> usize {
        let next = self.racks.len();
        let rack = *self.rack_names.get_or_insert_with(name.to_string(), || next);
        if rack == next {
            self.racks.push(Rack::default());
        }
        self.racks[rack].slots.push(slot);
        rack
    }

    fn leave_rack(&mut self, slot: Slot, rack: usize) {
        self.racks[rack].slots.retain(|s| *s != slot);
    }

    pub(crate) fn slot_of(&self, id: &WorkerId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, slot: Slot) -> Option<&WorkerSlot> {
        self.slots.get(slot)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut WorkerSlot> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Number of slots that have ever been used.
    pub(crate) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Subtracts resources from a slot until the next update of the worker's view.
    pub(crate) fn take(&mut self, slot: Slot, resources: &Resources) {
        let single = self.get(slot).is_some_and(|worker| worker.single);
        let free = self.index.free(slot).saturating_sub(resources);
        self.index.set(slot, if single { Resources::default() } else { free });
    }

    /// How many tasks of this size fit on the slot's worker if its free resources are `free`.
    pub(crate) fn count_fitting(&self, slot: Slot, need: &Resources, free: &Resources) -> u64 {
        let max = match self.get(slot) {
            Some(worker) if worker.single => 1,
            Some(_) => u64::MAX,
            None => 0,
        };
        count_fitting(need, free).min(max)
    }
}
