//! Forecasts of run times.

use std::time::Duration;

/// What is expected of a run on a worker of speed 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// Mean, for amounts of work.
    pub mean: Duration,
    /// Half of the runs are shorter.
    pub median: Duration,
    /// Nine of ten runs are shorter: for what must not be believed to end too early.
    pub high: Duration,
    /// Whether it comes from finished runs, since declared times are off.
    pub learned: bool,
}

impl Forecast {
    /// The forecast of who believes the declared time.
    pub fn declared(declared: Duration) -> Forecast {
        Forecast { mean: declared, median: declared, high: declared, learned: false }
    }

    /// Moves each value towards `other`; 0 leaves it, 1 replaces it.
    pub(crate) fn towards(self, other: Forecast, weight: f64) -> Forecast {
        let mix = |a: Duration, b: Duration| a.mul_f64(1.0 - weight) + b.mul_f64(weight);
        Forecast {
            mean: mix(self.mean, other.mean),
            median: mix(self.median, other.median),
            high: mix(self.high, other.high),
            learned: self.learned || other.learned,
        }
    }
}
