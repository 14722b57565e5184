//! Jobs whose final state is stored.
//!
//! They are remembered, so that a row that is read again does not start the job
//! again, and removed once their state need not be readable any more.

use std::collections::{HashSet, VecDeque};

use crate::name::JobId;
use crate::time::BootTime;

use super::JobScheduler;

/// Finished job.
#[derive(Clone, Debug)]
struct FinishedJob {
    id: JobId,
    finished_at: BootTime,
}

/// Finished jobs, the oldest first.
#[derive(Debug, Default)]
pub(super) struct FinishedJobs {
    ids: HashSet<JobId>,
    order: VecDeque<FinishedJob>,
}

impl FinishedJobs {
    pub(super) fn insert(&mut self, id: &JobId, now: BootTime) {
        if self.ids.insert(id.clone()) {
            self.order.push_back(FinishedJob {
                id: id.clone(),
                finished_at: now,
            });
        }
    }

    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.ids.contains(id)
    }
}

impl JobScheduler {
    /// Adds a job whose final state an earlier owner stored.
    pub fn restore_finished(&mut self, id: &JobId, now: BootTime) {
        self.finished.insert(id, now);
    }

    /// Returns up to `limit` finished jobs whose rows are to be deleted. The row of
    /// the job goes before the row of its progress, which keeps the job from
    /// running again.
    pub fn take_expired(&mut self, limit: usize, now: BootTime) -> Vec<JobId> {
        let retention = self.settings.retention;
        let mut expired = Vec::new();
        while expired.len() < limit {
            let oldest = self.finished.order.front();
            if oldest.is_none_or(|job| now.saturating_since(job.finished_at) < retention) {
                break;
            }
            if let Some(job) = self.finished.order.pop_front() {
                expired.push(job.id);
            }
        }
        expired
    }

    /// Removes a finished job whose rows are deleted.
    pub fn remove_expired(&mut self, id: &JobId) {
        self.finished.ids.remove(id);
    }
}
