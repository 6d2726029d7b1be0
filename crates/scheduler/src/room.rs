//! Room in the replicated state: when refused jobs may come again.

use std::time::Duration;
use types::Timestamp;

/// Time over which the rate is measured.
const WINDOW: Duration = Duration::from_secs(5);
/// Bounds on the time after which a refused job may come again.
const MIN_WAIT: Duration = Duration::from_secs(1);
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Rate at which room becomes free.
#[derive(Debug, Default)]
pub(crate) struct RoomForecast {
    window_start: Timestamp,
    freed: usize,
    /// Bytes a second in the window before.
    rate: f64,
}

impl RoomForecast {
    /// Records that jobs gave back this many bytes.
    pub(crate) fn record_freed(&mut self, bytes: usize, now: Timestamp) {
        self.roll(now);
        self.freed += bytes;
    }

    /// Time until this many bytes are expected to be free.
    pub(crate) fn wait(&mut self, bytes: usize, now: Timestamp) -> Duration {
        self.roll(now);
        let wait = Duration::try_from_secs_f64(bytes as f64 / self.rate);
        wait.unwrap_or(MAX_WAIT).clamp(MIN_WAIT, MAX_WAIT)
    }

    fn roll(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            self.rate = self.freed as f64 / elapsed.as_secs_f64();
            (self.window_start, self.freed) = (now, 0);
        }
    }
}
