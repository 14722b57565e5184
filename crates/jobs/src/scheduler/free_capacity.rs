//! Free capacity of a pool, to tell which tasks fit on no worker.
//!
//! Load pattern: a full pool on which some workers have processor left and others
//! memory. The largest amounts of all workers together would then seem to fit
//! tasks that no worker can run.

use crate::spec::ResourceAmount;

/// Free amounts of the workers that are not exceeded by another worker in every
/// resource.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeCapacity {
    amounts: Vec<ResourceAmount>,
}

impl FreeCapacity {
    /// Collects the free amounts of workers.
    pub(super) fn of(free: impl Iterator<Item = ResourceAmount>) -> Self {
        let mut capacity = Self::default();
        for amount in free {
            capacity.add(&amount);
        }
        capacity
    }

    fn add(&mut self, amount: &ResourceAmount) {
        if self.fits(amount) {
            return;
        }
        self.amounts.retain(|other| !other.fits_in(amount));
        self.amounts.push(*amount);
    }

    /// Returns whether a worker has `need` free.
    pub(super) fn fits(&self, need: &ResourceAmount) -> bool {
        self.amounts.iter().any(|amount| need.fits_in(amount))
    }
}
