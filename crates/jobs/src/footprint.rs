//! What jobs take in the replicated state.

use std::iter::Sum;
use std::ops::{AddAssign, SubAssign};

/// What a part of the state takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Footprint {
    /// Size in bytes, as counted by [`crate::sizes`].
    pub(crate) bytes: usize,
    /// Number of tasks that were placed before and are not done.
    pub(crate) touched: usize,
}

impl Footprint {
    pub(crate) fn of_bytes(bytes: usize) -> Footprint {
        Footprint { bytes, touched: 0 }
    }

    /// Counts a part that has changed.
    pub(crate) fn replace(&mut self, before: Footprint, after: Footprint) {
        *self += after;
        *self -= before;
    }
}

impl AddAssign for Footprint {
    fn add_assign(&mut self, other: Footprint) {
        self.bytes += other.bytes;
        self.touched += other.touched;
    }
}

impl SubAssign for Footprint {
    fn sub_assign(&mut self, other: Footprint) {
        self.bytes -= other.bytes;
        self.touched -= other.touched;
    }
}

impl Sum for Footprint {
    fn sum<I>(parts: I) -> Footprint
    where
        I: Iterator<Item = Footprint>,
    {
        let mut total = Footprint::default();
        parts.for_each(|part| total += part);
        total
    }
}
