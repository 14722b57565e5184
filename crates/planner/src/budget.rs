//! Availability budgets of pools.

use crate::record::PoolRecord;

/// How many VMs of one pool may be out of service at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolBudget {
    max_unavailable: u32,
}

impl PoolBudget {
    /// Creates a budget of `max_unavailable` VMs.
    pub fn new(max_unavailable: u32) -> Self {
        Self { max_unavailable }
    }

    /// Returns the largest number of VMs out of service at once.
    pub fn max_unavailable(self) -> u32 {
        self.max_unavailable
    }

    /// Returns the smallest number of VMs that must go on serving.
    pub fn floor(self, record: &PoolRecord) -> u32 {
        record.assigned.saturating_sub(self.max_unavailable)
    }

    /// Returns how many more VMs of the pool may be taken out of service.
    ///
    /// `suspect` counts members that the table has as serving but that are
    /// ejected or not seen. A VM that the pool lacks counts like one that is
    /// out, and one beyond the assigned size does not raise the budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use redwing_planner::{PoolBudget, PoolRecord};
    ///
    /// let record = PoolRecord { members: 9, ..PoolRecord::new(10) };
    /// assert_eq!(PoolBudget::new(2).headroom(&record, 0), 1);
    /// assert_eq!(PoolBudget::new(2).headroom(&record, 1), 0);
    /// ```
    pub fn headroom(self, record: &PoolRecord, suspect: u32) -> u32 {
        let unavailable = record.unavailable() + suspect;
        let serving = record.serving().saturating_sub(suspect);
        let by_count = self.max_unavailable.saturating_sub(unavailable);
        let by_floor = serving.saturating_sub(self.floor(record));
        by_count.min(by_floor)
    }

    /// Returns by how many VMs the budget is exceeded.
    pub fn overdraft(self, record: &PoolRecord, suspect: u32) -> u32 {
        let unavailable = record.unavailable() + suspect;
        let serving = record.serving().saturating_sub(suspect);
        let by_count = unavailable.saturating_sub(self.max_unavailable);
        let by_floor = self.floor(record).saturating_sub(serving);
        by_count.max(by_floor)
    }
}
