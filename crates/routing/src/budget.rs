//! Retry budget: limits the load that retries add.

/// Largest balance, in retries; it bounds the burst after a long time without failures.
const MAX_BALANCE: f64 = 50.0;

/// A token bucket for retries: each request deposits a fraction of a token, each retry takes a
/// whole one. However many upstreams fail, retries add at most that fraction to the load, plus
/// the balance collected before the failure.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance: f64,
    per_request: f64,
}

impl RetryBudget {
    /// Creates an empty budget that grows by `per_request` retries with each request.
    ///
    /// ```
    /// let mut budget = routing::RetryBudget::new(0.5);
    /// assert!(!budget.try_spend());
    /// budget.record_request();
    /// budget.record_request();
    /// assert!(budget.try_spend());
    /// ```
    pub fn new(per_request: f64) -> RetryBudget {
        RetryBudget { balance: 0.0, per_request }
    }

    /// Deposits one request's share; call it once per request, not per attempt.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.per_request).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance and returns true, or returns false if less than one is
    /// left.
    pub fn try_spend(&mut self) -> bool {
        // Ten deposits of 0.1 add up to slightly less than 1.0 in floating point.
        const ROUNDING: f64 = 1e-9;
        if self.balance + ROUNDING < 1.0 {
            return false;
        }
        self.balance = (self.balance - 1.0).max(0.0);
        true
    }
}
