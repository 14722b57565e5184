//! Tasks under which workers crashed, kept apart from each other and from others.
//!
//! Load pattern: hundreds of tasks that were on crashed workers, a few of which crash the
//! next ones, in a full pool. A task under which one worker crashed runs where no other job's
//! suspected task runs; with two crashes it waits a while for a worker without runs of
//! other jobs. No wait is without a bound, and a part of a pool only is kept for this.

use std::cmp;
use std::collections::BTreeMap;
use std::mem;
use std::time;

use crate::name::{JobId, PoolName, TaskId, WorkerId};
use crate::time::BootTime;

use super::JobScheduler;
use super::candidate::PlacementCandidate;
use super::entry::{StartCaution, TaskEntry, TaskPhase};
use super::fleet::WorkerEntry;
use super::placement::PlacementPass;

/// Part of the workers of a pool that may be kept for isolated tasks.
const ISOLATION_PART: usize = 4;

/// Time after a crash for which a task under which several workers crashed is not started: a
/// worker that crashes again meanwhile does so by itself.
const CRASH_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// Time for which a task waits for a worker without others under which workers crashed.
const APART_WAIT: time::Duration = time::Duration::from_secs(3);

/// Time for which a task waits for a vacant worker, and for which a worker gets no new
/// tasks to become vacant.
const ISOLATION_WAIT: time::Duration = time::Duration::from_secs(3);

/// Crashes after which a task that has waited in vain waits for longer.
const PATIENT_CRASHES: u32 = 3;

/// As [`ISOLATION_WAIT`], for a task under which so many workers crashed.
const LAST_ISOLATION_WAIT: time::Duration = time::Duration::from_secs(10);

/// What a run is kept apart from, from the most to the least.
const ALL_CAUTIONS: &[StartCaution] = &[
    StartCaution::Isolated,
    StartCaution::Apart,
    StartCaution::Spread,
];

impl JobScheduler {
    /// Returns what the next run of a task is to be kept apart from: if no worker fits, the
    /// next of these; none if it is not to start yet.
    pub(super) fn cautions(&self, task: &TaskId) -> &'static [StartCaution] {
        if !self.crashes.has_suspects() {
            return &[StartCaution::None];
        }
        let members = self.gang_members(task);
        let crashes = members.iter().filter_map(|member| self.task(member));
        let wants_isolation = crashes.clone().any(TaskEntry::wants_isolation);
        let count = crashes.map(|entry| entry.crashes.count()).max();
        let waited = members.iter().map(|member| self.crashes.waited(member));
        let waited = waited.min().unwrap_or_default();
        match count.unwrap_or(0) {
            0 => &[StartCaution::None],
            1 => match (wants_isolation, waited < APART_WAIT) {
                (false, true) => &[StartCaution::Apart],
                (false, false) => &[StartCaution::Apart, StartCaution::Spread],
                (true, true) => &[StartCaution::Isolated, StartCaution::Apart],
                (true, false) => ALL_CAUTIONS,
            },
            _ if waited < CRASH_BACKOFF => &[],
            count if waited < isolation_wait(count) => &[StartCaution::Isolated],
            _ => ALL_CAUTIONS,
        }
    }

    /// Places the tasks of a pool that are to be isolated, those first under which most
    /// workers crashed.
    pub(super) fn place_isolated(
        &mut self,
        pool: &PoolName,
        candidates: &mut [PlacementCandidate],
        now: BootTime,
    ) {
        if !candidates.iter().any(|candidate| candidate.may_isolate) || !self.crashes.has_suspects()
        {
            return;
        }
        let mut jobs: BTreeMap<JobId, u32> = BTreeMap::new();
        for task in self.crashes.suspects.keys() {
            if let Some(count) = self.isolation_count(pool, task) {
                let most = jobs.entry(task.job.clone()).or_default();
                *most = count.max(*most);
            }
        }
        let mut jobs: Vec<(JobId, u32)> = jobs.into_iter().collect();
        jobs.sort_by_key(|(_, count)| cmp::Reverse(*count));
        for (id, _) in jobs {
            if self.place_job(&id, candidates, PlacementPass::Isolated, now) > 0 {
                self.limit_isolation(pool, candidates);
            }
        }
    }

    /// Returns the number of crashes under a task that waits to be isolated in a pool.
    fn isolation_count(&self, pool: &PoolName, task: &TaskId) -> Option<u32> {
        let entry = self.task(task)?;
        let waits = entry.phase == TaskPhase::Idle && entry.wants_isolation();
        let is_here = self.waiting.pool(&task.job) == Some(pool);
        // The members of a gang are placed together.
        let is_placed_here = waits && is_here && !self.is_gang(task);
        let may_start = is_placed_here && !self.cautions(task).is_empty();
        may_start.then_some(entry.crashes.count())
    }

    /// Decides how many more vacant workers of a pool may be kept for isolated tasks.
    pub(super) fn limit_isolation(&self, pool: &PoolName, candidates: &mut [PlacementCandidate]) {
        if !self.crashes.has_suspects() {
            return;
        }
        let (isolated, workers) = self.count_isolated(pool);
        let mut left = isolation_limit(workers).saturating_sub(isolated);
        for candidate in candidates {
            candidate.may_isolate = candidate.is_vacant() && left > 0;
            left -= usize::from(candidate.may_isolate);
        }
    }

    /// Returns the numbers of workers of a pool with isolated tasks, and of all its
    /// workers.
    fn count_isolated(&self, pool: &PoolName) -> (usize, usize) {
        let mut isolated = 0;
        let mut workers = 0;
        for (_, entry) in self.fleet.of_pool(pool) {
            workers += usize::from(entry.is_listed);
            isolated += usize::from(entry.isolated_count > 0);
        }
        (isolated, workers)
    }

    /// Notes that a task has found no worker.
    pub(super) fn note_unplaced(&mut self, task: &TaskId) {
        let cautions = self.cautions(task);
        self.crashes.is_waiting |= cautions.is_empty() || cautions == [StartCaution::Isolated];
    }

    /// Begins to vacate a worker of a pool if a task waits for one.
    pub(super) fn vacate_for_isolated(&mut self, pool: &PoolName, now: BootTime) {
        if !mem::take(&mut self.crashes.is_waiting) {
            return;
        }
        let (isolated, workers) = self.count_isolated(pool);
        let vacated = self.fleet.of_pool(pool);
        let vacated = vacated.filter(|(_, entry)| entry.vacated_until > now);
        if isolated + vacated.count() < isolation_limit(workers) {
            self.vacate_one(pool, now);
        }
    }

    fn vacate_one(&mut self, pool: &PoolName, now: BootTime) {
        let Some(id) = self.vacatable(pool, now) else {
            return;
        };
        if let Some(entry) = self.fleet.get_mut(&id) {
            entry.vacated_until = now + ISOLATION_WAIT;
        }
    }

    /// Returns the worker of a pool with the fewest runs that becomes vacant by itself.
    fn vacatable(&self, pool: &PoolName, now: BootTime) -> Option<WorkerId> {
        let is_vacatable = |entry: &WorkerEntry| {
            self.may_start_on(entry, now)
                && entry.long_running_count == 0
                && entry.isolated_count == 0
                && entry.vacated_until <= now
        };
        let workers = self.fleet.of_pool(pool);
        let workers = workers.filter(|(_, entry)| is_vacatable(entry));
        let fewest = workers.min_by_key(|(id, entry)| (entry.reservations.len(), *id));
        fewest.map(|(id, _)| id.clone())
    }
}

/// Returns how long a task under which so many workers crashed waits for a vacant one.
fn isolation_wait(crashes: u32) -> time::Duration {
    if crashes < PATIENT_CRASHES {
        ISOLATION_WAIT
    } else {
        LAST_ISOLATION_WAIT
    }
}

/// Returns how many of so many workers of a pool may be kept for isolated tasks.
fn isolation_limit(workers: usize) -> usize {
    (workers / ISOLATION_PART).max(1)
}
