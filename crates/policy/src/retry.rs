//! Budget that bounds retries to a fraction of the traffic.

/// Credit added by each first attempt.
const CREDIT_PER_ATTEMPT: f64 = 0.1;

/// Credit consumed by each retry.
const RETRY_COST: f64 = 1.0;

/// Maximum credit, which bounds a burst of retries.
const MAX_CREDIT: f64 = 20.0;

/// Credit for retries, earned by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Adds the credit of a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_ATTEMPT).min(MAX_CREDIT);
    }

    /// Consumes the credit of a retry; returns false if there is not enough.
    pub fn spend(&mut self) -> bool {
        if self.credit < RETRY_COST {
            return false;
        }
        self.credit -= RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
