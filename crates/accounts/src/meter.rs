//! An average rate that forgets.

use std::time::Duration;
use types::Timestamp;

/// Measures a rate as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Meter {
    sum: f64,
    at: Timestamp,
    since: Option<Timestamp>,
}

impl Meter {
    /// Counts an amount. `average` is the time over which the rate is averaged.
    pub(crate) fn add(&mut self, amount: f64, now: Timestamp, average: Duration) {
        self.since.get_or_insert(now);
        self.sum = self.decayed(now, average) + amount;
        self.at = now;
    }

    /// The rate per second; `None` if it has been measured for less than `least`.
    pub(crate) fn rate(&self, now: Timestamp, average: Duration, least: Duration) -> Option<f64> {
        let measured = now.saturating_sub(self.since?);
        if measured < least {
            return None;
        }
        let average_s = average.as_secs_f64();
        // The average has seen this part of its weight so far.
        let seen = 1.0 - (-measured.as_secs_f64() / average_s).exp();
        Some(self.decayed(now, average) / average_s / seen)
    }

    fn decayed(&self, now: Timestamp, average: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-passed / average.as_secs_f64()).exp()
    }
}
