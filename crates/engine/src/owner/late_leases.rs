//! Leases that last longer than those of orders on time, in the owner row.
//!
//! Load pattern: workers that start again and take the longest lease that they grant from an
//! order for the incarnation before, while owners end one after the other. Most of the time
//! there are none. They are part of the owner row, so that each change that starts a run on
//! such a worker states them.

use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::scheduler::LateLeases;

use crate::row::LateLeaseTimes;

use super::record;

/// Returns the time left for such leases at `now`.
pub(super) fn remaining(leases: &LateLeases, now: BootTime) -> LateLeaseTimes {
    let all = leases.until.saturating_since(now);
    LateLeaseTimes {
        all_ms: all.as_millis() as u64,
        worker_ms: record::remaining_ms(&leases.workers, now),
    }
}

/// Returns the ends of which so much time was left at `since`.
pub(super) fn ends(times: &LateLeaseTimes, since: BootTime) -> LateLeases {
    if times.is_empty() {
        return LateLeases::default();
    }
    let all = time::Duration::from_millis(times.all_ms);
    LateLeases {
        until: since + all,
        workers: record::lease_ends(&times.worker_ms, since),
    }
}
