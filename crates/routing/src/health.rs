//! Setting aside an upstream that fails.

use std::time::Duration;
use types::Timestamp;

/// Failures in a row before an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one adds as much.
const EJECTION: Duration = Duration::from_secs(10);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(120);

/// How an upstream has been doing.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Health {
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Notes a failure. True when the upstream should be ejected.
    pub(crate) fn note_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT
    }

    pub(crate) fn eject(&mut self, now: Timestamp) {
        self.failures = 0;
        self.ejections += 1;
        self.ejected_until = now + (EJECTION * self.ejections).min(LONGEST_EJECTION);
    }
}
