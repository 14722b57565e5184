//! Leases of single workers that last longer than those of all others.
//!
//! Load pattern: workers that start again and take the longest lease that they grant from an
//! order for the incarnation before, while owners end one after the other. Most of the time
//! there are none. They are part of the owner row, so that each change that starts a run on
//! such a worker states them.

use std::collections::BTreeMap;

use redwing_jobs::scheduler::LeaseEnds;
use redwing_jobs::{BootTime, WorkerId};

use crate::row::OwnerRecord;

use super::record;

/// Largest number of workers in the owner row.
const MAX_WORKERS: usize = 64;

/// Ends of such leases.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct LateLeases {
    /// End that counts for all workers, where there are too many; otherwise the beginning of
    /// time.
    pub(super) until: BootTime,
    /// End for each worker.
    pub(super) workers: LeaseEnds,
}

impl LateLeases {
    /// Returns the ends as the owner row states them.
    pub(super) fn of(workers: LeaseEnds) -> Self {
        if workers.len() <= MAX_WORKERS {
            return Self {
                workers,
                ..Self::default()
            };
        }
        Self {
            until: workers.into_values().max().unwrap_or_default(),
            workers: LeaseEnds::default(),
        }
    }

    /// Returns the ends that `record` states, which is known to have been the owner row since
    /// `unchanged_since`.
    pub(super) fn after(record: Option<&OwnerRecord>, unchanged_since: BootTime) -> Self {
        let ends = record.map(|record| record::lease_ends(&record.late_ms, unchanged_since));
        Self {
            workers: ends.unwrap_or_default(),
            ..Self::default()
        }
    }

    /// Returns the time left for each worker, in milliseconds.
    pub(super) fn remaining_ms(&self, now: BootTime) -> BTreeMap<WorkerId, u64> {
        record::remaining_ms(&self.workers, now)
    }
}
