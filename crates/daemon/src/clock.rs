//! The process's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use types::Timestamp;

/// Time since the Unix epoch as of the start, and from then on by the monotonic clock, so that it
/// never goes back. It includes time in which the process was stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
    epoch: Duration,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), epoch }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.epoch + self.started.elapsed()
    }

    /// How long until `at`.
    pub(crate) fn until(&self, at: Timestamp) -> Duration {
        at.saturating_sub(self.now())
    }
}
