//! Limits of the withdrawals of jobs that are not stored.
//!
//! Load pattern: callers that leave before their job is stored and cancel it, while the table
//! responds late; and a caller that cancels random ids. Each of these cancellings stores a row,
//! which is deleted once its time has passed. A customer that exceeds its limit must not keep
//! others from cancelling.

use std::collections::{HashMap, VecDeque};
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::name::CustomerName;

/// Limits of the withdrawals at one process.
#[derive(Clone, Debug)]
pub struct WithdrawalLimits {
    /// Time for which a withdrawal counts, about as long as its row is stored.
    pub period: time::Duration,
    /// Largest number of one customer.
    pub per_customer: usize,
    /// Largest number of all customers.
    pub total: usize,
}

impl Default for WithdrawalLimits {
    fn default() -> Self {
        Self {
            period: time::Duration::from_secs(300),
            per_customer: 1_000,
            total: 8_000,
        }
    }
}

/// Withdrawal that counts.
#[derive(Clone, Debug)]
struct RecentWithdrawal {
    /// Customer; none on a public queue.
    customer: Option<CustomerName>,
    admitted_at: BootTime,
}

/// Counts withdrawals, and admits those within the limits.
#[derive(Debug)]
pub struct WithdrawalLimiter {
    limits: WithdrawalLimits,
    /// The oldest first.
    recent: VecDeque<RecentWithdrawal>,
    counts: HashMap<Option<CustomerName>, usize>,
}

impl WithdrawalLimiter {
    /// Creates a limiter that has counted none.
    pub fn new(limits: WithdrawalLimits) -> Self {
        Self {
            limits,
            recent: VecDeque::new(),
            counts: HashMap::new(),
        }
    }

    /// Counts a withdrawal of a customer.
    ///
    /// # Errors
    ///
    /// Fails with the time until one is admitted again, if the limit is reached.
    pub fn admit(
        &mut self,
        customer: Option<&CustomerName>,
        now: BootTime,
    ) -> Result<(), time::Duration> {
        self.forget_old(now);
        let customer = customer.cloned();
        let own = self.counts.get(&customer).copied().unwrap_or(0);
        if own >= self.limits.per_customer {
            let mut recent = self.recent.iter();
            let oldest = recent.find(|other| other.customer == customer);
            return Err(self.time_left(oldest, now));
        }
        if self.recent.len() >= self.limits.total {
            return Err(self.time_left(self.recent.front(), now));
        }
        *self.counts.entry(customer.clone()).or_default() += 1;
        self.recent.push_back(RecentWithdrawal {
            customer,
            admitted_at: now,
        });
        Ok(())
    }

    /// Returns for how long a withdrawal still counts.
    fn time_left(&self, oldest: Option<&RecentWithdrawal>, now: BootTime) -> time::Duration {
        let age = oldest.map(|oldest| now.saturating_since(oldest.admitted_at));
        self.limits.period.saturating_sub(age.unwrap_or_default())
    }

    fn forget_old(&mut self, now: BootTime) {
        let period = self.limits.period;
        let is_old =
            |oldest: &mut RecentWithdrawal| now.saturating_since(oldest.admitted_at) >= period;
        while let Some(oldest) = self.recent.pop_front_if(is_old) {
            if let Some(count) = self.counts.get_mut(&oldest.customer) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest.customer);
                }
            }
        }
    }
}
