//! Whether the worker's capacity is known: it may shrink, and only its reports say so.

use super::Session;
use std::time::Duration;
use types::Timestamp;

impl Session {
    /// Records that the worker reported its capacity when its clock showed `clock` milliseconds;
    /// `None` if it did not say so, and the report counts as sent now.
    pub fn record_report(&mut self, clock: Option<u64>, now: Timestamp) {
        self.reported = self.reported.max(clock.or_else(|| self.clock_at(now)));
    }

    /// Whether the worker reported its capacity so lately that it can't be much smaller by now.
    pub fn is_capacity_known(&self, now: Timestamp) -> bool {
        let (Some(reported), Some(clock)) = (self.reported, self.clock_at(now)) else {
            return false;
        };
        Duration::from_millis(clock.saturating_sub(reported)) < self.cfg.max_report_age
    }

    /// Upper bound of what the worker's clock shows, in milliseconds; `None` if it is not known.
    pub(super) fn clock_at(&self, now: Timestamp) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.millis + now.saturating_sub(reading.at).as_millis() as u64)
    }
}
