//! Learning how far off owners' run times are.

use std::time::Duration;
use types::SortedMap;

/// Weight of the newest observation.
const LEARNING_RATE: f64 = 0.3;
/// Largest factor, either way, that a prediction differs from what the owner said.
const LARGEST_FACTOR: f64 = 20.0;
/// Names kept; beyond it nothing new is learned.
const MAX_NAMES: usize = 20_000;

/// Corrections of run times by team and kind of job. A kind is a job's name without its digits,
/// so that `sync-2026-12-01` teaches something about `sync-2026-12-02`.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Logarithm of actual by declared run time.
    factors: SortedMap<String, f64>,
}

fn kind(team: &str, name: &str) -> String {
    let letters = name.chars().filter(|c| !c.is_ascii_digit());
    format!("{team}/{}", letters.collect::<String>())
}

impl Estimates {
    /// Learns from a run that succeeded.
    pub fn learn(&mut self, team: &str, name: &str, declared: Duration, actual: Duration) {
        let (declared, actual) = (declared.as_secs_f64(), actual.as_secs_f64());
        if declared <= 0.0 || actual <= 0.0 {
            return;
        }
        let seen = (actual / declared).clamp(1.0 / LARGEST_FACTOR, LARGEST_FACTOR).ln();
        let key = kind(team, name);
        if let Some(factor) = self.factors.get_mut(&key) {
            *factor += LEARNING_RATE * (seen - *factor);
        } else if self.factors.len() < MAX_NAMES {
            self.factors.insert(key, seen);
        }
    }

    /// What a run will take.
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
