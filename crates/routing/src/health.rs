//! Outlier ejection: an upstream that keeps failing gets no requests for a while.

use std::time::Duration;
use types::Timestamp;

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one is longer by the same amount.
const EJECTION_STEP: Duration = Duration::from_secs(10);
/// Upper bound of an ejection's length.
const MAX_EJECTION: Duration = Duration::from_secs(120);

/// Failure history of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Resets the failure count and shortens the next ejection by one step.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Counts a failure and returns whether the upstream should now be ejected.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.consecutive_failures >= FAILURES_TO_EJECT
    }

    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.consecutive_failures = 0;
        self.ejections += 1;
        self.ejected_until = now + (EJECTION_STEP * self.ejections).min(MAX_EJECTION);
    }
}
