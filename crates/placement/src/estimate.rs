//! Run time prediction: learns how far declared run times are off.

use std::time::Duration;
use types::SortedMap;

/// Weight of the newest observation in the moving average.
const EWMA_WEIGHT: f64 = 0.3;
/// Maximum factor, in either direction, by which a prediction differs from the declared run time.
const MAX_FACTOR: f64 = 20.0;
/// Maximum number of kinds of jobs; once it is reached, new kinds are not learned.
const MAX_KINDS: usize = 20_000;

/// Learned corrections of declared run times, by team and kind of job. The kind is the job's name
/// without digits, so that runs of `sync-2026-12-01` improve the prediction for `sync-2026-12-02`.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Natural logarithm of the ratio of actual to declared run time, averaged, by team and kind.
    factors: SortedMap<String, f64>,
}

fn kind(team: &str, name: &str) -> String {
    let letters = name.chars().filter(|c| !c.is_ascii_digit());
    format!("{team}/{}", letters.collect::<String>())
}

impl Estimates {
    /// Updates the correction from a run that succeeded.
    pub fn learn(&mut self, team: &str, name: &str, declared: Duration, actual: Duration) {
        let (declared, actual) = (declared.as_secs_f64(), actual.as_secs_f64());
        if declared <= 0.0 || actual <= 0.0 {
            return;
        }
        let observed = (actual / declared).clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        let key = kind(team, name);
        if let Some(factor) = self.factors.get_mut(&key) {
            *factor += EWMA_WEIGHT * (observed - *factor);
        } else if self.factors.len() < MAX_KINDS {
            self.factors.insert(key, observed);
        }
    }

    /// Predicted duration of a run.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut e = placement::Estimates::default();
    /// let hour = Duration::from_secs(3_600);
    /// e.learn("lab", "calibrate-17", hour, 2 * hour);
    /// assert_eq!(e.predict("lab", "calibrate-18", hour).as_secs(), 7_200);
    /// ```
    pub fn predict(&self, team: &str, name: &str, declared: Duration) -> Duration {
        match self.factors.get(&kind(team, name)) {
            Some(factor) => declared.mul_f64(factor.exp()),
            None => declared,
        }
    }
}
