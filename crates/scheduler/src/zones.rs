//! Detection of availability zones that have become unreachable as a whole.
//!
//! When a zone is cut off, a few overdue orders to its workers show it long before each worker has
//! missed an answer of its own. New tasks are then placed in other zones at once.

use std::time::Duration;
use types::{SortedMap, Timestamp, ZoneName};

/// A zone counts as silent only if no worker in it was heard for this long.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(450);
/// An order is overdue this long after its answer was expected. Most answers arrive within 20 ms.
pub(crate) const OVERDUE_AFTER: Duration = Duration::from_millis(300);
/// Overdue orders that make a zone silent. A single one may have been lost on its own.
const MIN_OVERDUE_ORDERS: u32 = 3;

/// Last answer from each zone, and the zones that are silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Zones {
    heard: SortedMap<ZoneName, Timestamp>,
    silent: Vec<ZoneName>,
}

impl Zones {
    /// Records that a worker in the zone has answered.
    pub(crate) fn record_answer(&mut self, zone: &ZoneName, now: Timestamp) {
        match self.heard.get_mut(zone) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(zone.clone(), now)),
        }
    }

    /// Whether the zone was silent at the last update.
    pub(crate) fn is_silent(&self, zone: &ZoneName) -> bool {
        self.silent.contains(zone)
    }

    /// Determines the silent zones; `overdue` yields the zone of each overdue order.
    pub(crate) fn update<'a, I>(&mut self, overdue: I, now: Timestamp)
    where
        I: Iterator<Item = &'a ZoneName>,
    {
        let mut counts: SortedMap<&ZoneName, u32> = SortedMap::default();
        overdue.for_each(|zone| *counts.get_or_insert_with(zone, || 0) += 1);
        let age = |zone: &ZoneName| self.heard.get(zone).map(|at| now.saturating_sub(*at));
        let mut silent = Vec::new();
        for (zone, count) in counts.iter() {
            let age = age(zone).unwrap_or_default();
            if *count < MIN_OVERDUE_ORDERS || age <= ZONE_SILENT_AFTER {
                continue;
            }
            if !self.is_silent(zone) {
                log::warn!(zone = zone.as_str(), overdue = *count, age_ms = age.as_millis() as u64;
                    "zone is silent and gets no new tasks");
            }
            silent.push((*zone).clone());
        }
        for zone in self.silent.iter().filter(|zone| !silent.contains(zone)) {
            log::info!(zone = zone.as_str(); "zone is reachable again");
        }
        self.silent = silent;
    }
}
