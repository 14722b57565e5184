//! Availability budgets of pools.

use crate::record::PoolRecord;

/// Availability budget of one pool: the number of VMs that may be out of
/// service at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolBudget {
    max_unavailable: u32,
}

impl PoolBudget {
    /// Creates a budget of `max_unavailable` VMs.
    pub fn new(max_unavailable: u32) -> Self {
        Self { max_unavailable }
    }

    /// Returns the maximum number of VMs out of service at once.
    pub fn max_unavailable(self) -> u32 {
        self.max_unavailable
    }

    /// Returns the minimum number of VMs that must keep serving.
    pub fn min_serving(self, record: &PoolRecord) -> u32 {
        record.assigned.saturating_sub(self.max_unavailable)
    }

    /// Returns how many more VMs of the pool may be taken out of service.
    ///
    /// `suspects` is the number of members whose rows are in phase serving but
    /// that are ejected or not listed as live. A VM short of the assigned
    /// size counts as out of service; a VM beyond the assigned size does not
    /// raise the budget.
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
    pub fn headroom(self, record: &PoolRecord, suspects: u32) -> u32 {
        let unavailable = record.unavailable() + suspects;
        let serving = record.serving().saturating_sub(suspects);
        let by_count = self.max_unavailable.saturating_sub(unavailable);
        let by_min_serving = serving.saturating_sub(self.min_serving(record));
        by_count.min(by_min_serving)
    }

    /// Returns the number of VMs by which the budget is exceeded.
    pub fn excess(self, record: &PoolRecord, suspects: u32) -> u32 {
        let unavailable = record.unavailable() + suspects;
        let serving = record.serving().saturating_sub(suspects);
        let by_count = unavailable.saturating_sub(self.max_unavailable);
        let by_min_serving = self.min_serving(record).saturating_sub(serving);
        by_count.max(by_min_serving)
    }
}
