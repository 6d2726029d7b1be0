//! Limits how much load retries add.

/// Retries saved up at most.
const MAX_SAVED: f64 = 50.0;

/// Each request saves a fraction of a retry; a retry needs a whole one. However many upstreams
/// fail, retries add at most that fraction to the load, and the few saved up before.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
    per_request: f64,
}

impl RetryBudget {
    /// A budget of `per_request` retries for each request.
    ///
    /// ```
    /// let mut budget = routing::RetryBudget::new(0.5);
    /// assert!(!budget.try_spend());
    /// budget.record_request();
    /// budget.record_request();
    /// assert!(budget.try_spend());
    /// ```
    pub fn new(per_request: f64) -> RetryBudget {
        RetryBudget { saved: 0.0, per_request }
    }

    /// A first attempt was made.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + self.per_request).min(MAX_SAVED);
    }

    /// Takes a retry, if one is saved.
    pub fn try_spend(&mut self) -> bool {
        // A sum of tenths is a little off a whole.
        const ROUNDING: f64 = 1e-9;
        if self.saved + ROUNDING < 1.0 {
            return false;
        }
        self.saved = (self.saved - 1.0).max(0.0);
        true
    }
}
