//! An index to find a worker with enough free resources without scanning all workers.

use types::Resources;

/// Maximum number of nodes visited in a search. The maxima of different resources in a node may
/// come from different workers, so a search can visit many nodes in vain; this bounds the cost.
const MAX_VISITS: usize = 4_096;

/// A segment tree over worker slots. Each node holds the component-wise maximum of the free
/// resources below it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FitIndex {
    /// Leaves start at index `width`; node `i` has the children `2i` and `2i + 1`.
    nodes: Vec<Resources>,
    width: usize,
}

impl FitIndex {
    /// Sets the free resources of a slot.
    pub(crate) fn set(&mut self, slot: usize, free: Resources) {
        if slot >= self.width {
            self.grow(slot + 1);
        }
        let mut i = self.width + slot;
        self.nodes[i] = free;
        while i > 1 {
            i /= 2;
            self.nodes[i] = self.nodes[2 * i].max(&self.nodes[2 * i + 1]);
        }
    }

    /// The free resources of a slot.
    pub(crate) fn free(&self, slot: usize) -> Resources {
        self.nodes[self.width + slot]
    }

    /// Whether some slot may have this much free; false means that certainly none has.
    pub(crate) fn may_fit(&self, need: &Resources) -> bool {
        self.width > 0 && need.fits_in(&self.nodes[1])
    }

    /// The first slot at or after `start` with enough free resources, else the first one from 0 on.
    pub(crate) fn find(&self, start: usize, need: &Resources) -> Option<usize> {
        if !self.may_fit(need) {
            return None;
        }
        let mut visits = 0;
        let start = start.min(self.width);
        self.search(1, 0, self.width, start, need, &mut visits)
            .or_else(|| self.search(1, 0, self.width, 0, need, &mut visits))
    }

    fn search(
        &self,
        node: usize,
        first: usize,
        width: usize,
        start: usize,
        need: &Resources,
        visits: &mut usize,
    ) -> Option<usize> {
        *visits += 1;
        if first + width <= start || *visits > MAX_VISITS || !need.fits_in(&self.nodes[node]) {
            return None;
        }
        if width == 1 {
            return Some(first);
        }
        let half = width / 2;
        self.search(2 * node, first, half, start, need, visits)
            .or_else(|| self.search(2 * node + 1, first + half, half, start, need, visits))
    }

    fn grow(&mut self, slots: usize) {
        let width = slots.next_power_of_two();
        let mut next = FitIndex { nodes: vec![Resources::default(); 2 * width], width };
        next.nodes[width..width + self.width].copy_from_slice(&self.nodes[self.width..]);
        for i in (1..width).rev() {
            next.nodes[i] = next.nodes[2 * i].max(&next.nodes[2 * i + 1]);
        }
        *self = next;
    }
}
