//! The process's clock.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use types::Timestamp;

/// Time since the Unix epoch as of the start, and from then on by a clock that never goes back and
/// counts time in which the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Added to the reading of the steady clock.
    offset: Duration,
}

impl Clock {
    /// A clock that agrees with the time of day now.
    pub fn start() -> Clock {
        Clock { offset: Clock::wall().saturating_sub(steady()) }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        self.offset + steady()
    }

    /// The time of day, which may jump.
    pub fn wall() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

fn steady() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
