//! Shares of customers in the capacity of a pool.
//!
//! Load pattern: one customer sends many times its usual load for seconds. While
//! several customers want a pool, each has a share of it by its weight; one that
//! uses more than its share comes after those that use less. Capacity that the
//! others do not claim is lent, and comes back as the borrower's tasks end. Usage
//! is what runs, so that a new owner has it from the rows it reads.

use std::collections::HashMap;

use crate::name::{CustomerName, PoolName};
use crate::spec::ResourceAmount;

/// Resources that a running task reserves in a pool.
#[derive(Clone, Debug)]
pub(super) struct PoolClaim {
    pub(super) pool: PoolName,
    /// Customer of the job; jobs without one count as one customer.
    pub(super) customer: Option<CustomerName>,
    pub(super) amount: ResourceAmount,
}

/// Sum of the claims of each customer, by pool.
#[derive(Debug, Default)]
pub(super) struct PoolUsage {
    pools: HashMap<PoolName, HashMap<Option<CustomerName>, ResourceAmount>>,
}

impl PoolUsage {
    pub(super) fn add(&mut self, claim: &PoolClaim) {
        let customers = self.pools.entry(claim.pool.clone()).or_default();
        *customers.entry(claim.customer.clone()).or_default() += claim.amount;
    }

    pub(super) fn subtract(&mut self, claim: &PoolClaim) {
        let customers = self.pools.get_mut(&claim.pool);
        let used = customers.and_then(|customers| customers.get_mut(&claim.customer));
        if let Some(used) = used {
            *used = used.saturating_sub(&claim.amount);
        }
    }

    pub(super) fn clear(&mut self) {
        self.pools.clear();
    }

    fn get(&self, pool: &PoolName, customer: &Option<CustomerName>) -> ResourceAmount {
        let customers = self.pools.get(pool);
        let used = customers.and_then(|customers| customers.get(customer));
        used.copied().unwrap_or_default()
    }

    /// Returns the customers that use a pool.
    pub(super) fn users(&self, pool: &PoolName) -> impl Iterator<Item = &Option<CustomerName>> {
        let customers = self.pools.get(pool).into_iter().flatten();
        let users = customers.filter(|(_, used)| **used != ResourceAmount::default());
        users.map(|(customer, _)| customer)
    }
}

/// Division of a pool among the customers that use it or wait for it.
#[derive(Clone, Debug)]
pub(super) struct PoolShares {
    pool: PoolName,
    capacity: ResourceAmount,
    /// Fraction of the pool that each customer may claim.
    fractions: HashMap<Option<CustomerName>, f64>,
}

impl PoolShares {
    /// Divides a pool with `capacity` in proportion to the weights.
    pub(super) fn new(
        pool: &PoolName,
        capacity: ResourceAmount,
        weights: HashMap<Option<CustomerName>, f64>,
    ) -> Self {
        let total: f64 = weights.values().sum();
        let fractions = weights.into_iter();
        Self {
            pool: pool.clone(),
            capacity,
            fractions: fractions
                .map(|(customer, weight)| (customer, weight / total))
                .collect(),
        }
    }

    /// Returns whether a customer uses all of its share or more, by the resource of
    /// which it uses the largest fraction.
    pub(super) fn is_used_up(&self, customer: &Option<CustomerName>, usage: &PoolUsage) -> bool {
        let Some(fraction) = self.fractions.get(customer) else {
            return false;
        };
        let used = usage.get(&self.pool, customer);
        dominant_fraction(&used, &self.capacity) >= *fraction
    }
}

/// Returns the largest fraction of a resource of `capacity` that is used.
fn dominant_fraction(used: &ResourceAmount, capacity: &ResourceAmount) -> f64 {
    let fraction = |used: u64, capacity: u64| match capacity {
        0 => 0.0,
        capacity => used as f64 / capacity as f64,
    };
    fraction(used.cpu_millis, capacity.cpu_millis)
        .max(fraction(used.memory_mb, capacity.memory_mb))
        .max(fraction(used.accelerators, capacity.accelerators))
}
