//! Jobs with ready tasks that have no run, in the order in which they are placed.
//!
//! Load pattern: a backlog of thousands of jobs while each change frees capacity
//! for a few tasks only. The order is kept, not computed: a change costs what the
//! jobs that it concerns cost, and jobs that cannot fit are skipped without a look
//! at any worker.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::ops::Bound;

use crate::name::{JobId, PoolName};
use crate::spec::ResourceAmount;
use crate::time::WallTime;

/// Rank of a job among those that wait for the same pool; lower goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct JobRank {
    pub(super) is_finite: bool,
    pub(super) is_late: bool,
    pub(super) priority: u32,
    pub(super) due_ms: u64,
}

/// Waiting job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WaitingEntry {
    pub(super) pool: PoolName,
    pub(super) rank: JobRank,
    /// Last time at which the job can still meet its objective if it is placed
    /// then, in milliseconds since the Unix epoch.
    pub(super) latest_start_ms: u64,
    /// Least amount of each resource that a waiting task needs.
    pub(super) smallest_need: ResourceAmount,
}

/// Position of a job in the order of its pool.
pub(super) type WaitingKey = (JobRank, JobId);

/// All waiting jobs.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    entries: HashMap<JobId, WaitingEntry>,
    /// Needs of the jobs of each pool, in the order in which they are placed.
    pools: BTreeMap<PoolName, BTreeMap<WaitingKey, ResourceAmount>>,
    /// Jobs that are not late yet, by their latest start.
    latest_starts: BTreeSet<(u64, JobId)>,
    /// Pools whose capacity or waiting jobs changed since their last placement.
    changed_pools: BTreeSet<PoolName>,
    /// Whether all pools count as changed.
    has_all_changed: bool,
}

impl WaitingJobs {
    /// Returns the jobs that wait, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &WaitingEntry)> {
        self.entries.iter()
    }

    /// Records that capacity or jobs of a pool changed.
    pub(super) fn mark_changed(&mut self, pool: &PoolName) {
        if !self.changed_pools.contains(pool) {
            self.changed_pools.insert(pool.clone());
        }
    }

    /// Records that capacity or jobs of any pool may have changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.has_all_changed = true;
    }

    /// Takes the pools that changed and for which jobs wait.
    pub(super) fn take_changed(&mut self) -> Vec<PoolName> {
        let changed = mem::take(&mut self.changed_pools);
        let has_all_changed = mem::take(&mut self.has_all_changed);
        let pools = self.pools.keys();
        let pools = pools.filter(|pool| has_all_changed || changed.contains(*pool));
        pools.cloned().collect()
    }

    /// Adds a job, or updates its entry.
    pub(super) fn insert(&mut self, id: &JobId, entry: WaitingEntry) {
        if self.entries.get(id) == Some(&entry) {
            return;
        }
        self.remove(id);
        let queue = self.pools.entry(entry.pool.clone()).or_default();
        queue.insert((entry.rank, id.clone()), entry.smallest_need);
        if !entry.rank.is_late {
            let start = (entry.latest_start_ms, id.clone());
            self.latest_starts.insert(start);
        }
        self.entries.insert(id.clone(), entry);
    }

    /// Removes a job; does nothing if it does not wait.
    pub(super) fn remove(&mut self, id: &JobId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        if let Some(queue) = self.pools.get_mut(&entry.pool) {
            queue.remove(&(entry.rank, id.clone()));
            if queue.is_empty() {
                self.pools.remove(&entry.pool);
            }
        }
        let start = (entry.latest_start_ms, id.clone());
        self.latest_starts.remove(&start);
    }

    /// Moves the jobs behind all others of their pool that can no longer meet their
    /// objective.
    pub(super) fn mark_late(&mut self, wall: WallTime) {
        while let Some((latest_start_ms, id)) = self.latest_starts.first().cloned() {
            if latest_start_ms >= wall.as_millis() {
                return;
            }
            self.latest_starts.pop_first();
            if let Some(mut entry) = self.entries.get(&id).cloned() {
                entry.rank.is_late = true;
                self.insert(&id, entry);
            }
        }
    }

    /// Returns the first job of a pool after `last` of which a task may fit into
    /// `largest_free`.
    pub(super) fn next_fitting(
        &self,
        pool: &PoolName,
        last: Option<&WaitingKey>,
        largest_free: &ResourceAmount,
    ) -> Option<WaitingKey> {
        let queue = self.pools.get(pool)?;
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = queue.range((start, Bound::Unbounded));
        let next = rest.find(|(_, need)| need.fits_in(largest_free));
        next.map(|(key, _)| key.clone())
    }
}
