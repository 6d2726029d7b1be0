//! The clock of the process.

use rustix::time::{clock_gettime, ClockId};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use types::Timestamp;

/// A monotonic clock that reads the time since the Unix epoch. It is set to the time of day at
/// start and advances with the boot-time clock, which includes time that the machine is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time of day at start minus the reading of the boot-time clock.
    offset: Duration,
}

impl Clock {
    /// Creates a clock that agrees with the current time of day.
    pub fn start() -> Clock {
        Clock { offset: Clock::wall().saturating_sub(boot_time()) }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.offset + boot_time()
    }

    /// Returns the time of day since the Unix epoch, which may jump.
    pub fn wall() -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}

fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
