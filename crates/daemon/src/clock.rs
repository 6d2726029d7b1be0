//! A clock that never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use types::Timestamp;

/// Time since the Unix epoch. The wall clock is read once at the start; after that the monotonic
/// clock counts, so time never goes back. Time in which a signal stopped the process is included.
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

    /// Returns the time left until `at`; zero if `at` has passed.
    pub(crate) fn until(&self, at: Timestamp) -> Duration {
        at.saturating_sub(self.now())
    }
}
