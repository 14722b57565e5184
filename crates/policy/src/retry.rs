//! Budget that keeps retries a bounded fraction of the traffic.

/// Credit that one first attempt earns.
const CREDIT_PER_ATTEMPT: f64 = 0.1;

/// Credit that a retry costs.
const RETRY_COST: f64 = 1.0;

/// Largest credit, which bounds a burst of retries.
const MAX_CREDIT: f64 = 20.0;

/// Credit of retries, earned by first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.credit = (self.credit + CREDIT_PER_ATTEMPT).min(MAX_CREDIT);
    }

    /// Pays for a retry; returns false if the budget does not allow it.
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
