//! Starts that workers reject as invalid.
//!
//! Load pattern: a worker that answers part of its orders with errors while it looks sound,
//! beside tasks that no worker takes. One rejection does not tell which of the two it is: the
//! task is tried elsewhere at once, and waits longer with each further worker that rejects
//! it; the worker gets no new tasks for a while only if it rejects several in a row.

use std::time;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;

use super::JobScheduler;

/// Time for which a task is not tried again on a worker that rejected it.
const EXCLUSION_TIME: time::Duration = time::Duration::from_millis(1_000);

/// Rejections in a row after which a task is tried elsewhere at once.
const IMMEDIATE_RETRIES: u32 = 2;

/// Delay of the first retry after these; each further one is twice as long.
const FIRST_DELAY: time::Duration = time::Duration::from_millis(200);

/// Longest delay of a retry.
const MAX_DELAY: time::Duration = time::Duration::from_millis(2_000);

/// Starts of a task that were rejected as invalid since the latest one that was accepted.
#[derive(Clone, Debug, Default)]
pub(super) struct StartRejections {
    count: u32,
    /// Worker that rejected the task first.
    first: Option<WorkerId>,
    /// Workers that have rejected it, and when.
    workers: Vec<(WorkerId, BootTime)>,
    not_before: BootTime,
}

impl StartRejections {
    fn add(&mut self, worker: &WorkerId, now: BootTime) {
        self.count += 1;
        self.first.get_or_insert_with(|| worker.clone());
        self.workers.push((worker.clone(), now));
        self.not_before = now + retry_delay(self.count);
    }

    /// Returns whether no start was rejected.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Forgets the workers on which the task may be tried again; returns whether it may be
    /// placed now.
    pub(super) fn prepare(&mut self, now: BootTime) -> bool {
        let is_recent = |at: BootTime| now.saturating_since(at) < EXCLUSION_TIME;
        self.workers.retain(|(_, at)| is_recent(*at));
        self.not_before <= now
    }

    /// Returns whether the task is not to be tried on a worker now.
    pub(super) fn excludes(&self, worker: &WorkerId) -> bool {
        self.workers
            .iter()
            .any(|(rejecting, _)| rejecting == worker)
    }
}

/// Returns the delay of the retry after so many rejections in a row.
fn retry_delay(count: u32) -> time::Duration {
    let Some(doublings) = count.checked_sub(IMMEDIATE_RETRIES + 1) else {
        return time::Duration::ZERO;
    };
    let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
    FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY)
}

impl JobScheduler {
    /// Handles that a worker rejected a start as invalid.
    pub(super) fn reject_start(&mut self, worker: &WorkerId, task: &TaskId, now: BootTime) {
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        let earlier = entry.rejections.clone();
        entry.rejections.add(worker, now);
        match (earlier.count, earlier.first) {
            (0, _) => self.count_rejection(worker, now),
            (1, Some(first)) if first != *worker => self.retract_rejection(&first),
            _ => {}
        }
    }

    /// Counts the rejection of a task that no other worker has rejected against the worker.
    fn count_rejection(&mut self, worker: &WorkerId, now: BootTime) {
        let limit = self.settings.consecutive_failure_limit;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        entry.rejected_starts += 1;
        if entry.rejected_starts >= limit {
            entry.rejected_starts = limit - 1;
            self.suspend_worker(worker, now);
        }
    }

    /// Takes a rejection back that is due to the task: another worker has rejected it as well.
    fn retract_rejection(&mut self, worker: &WorkerId) {
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.rejected_starts = entry.rejected_starts.saturating_sub(1);
        }
    }

    /// Handles that a worker accepted a start.
    pub(super) fn clear_rejections(&mut self, worker: &WorkerId, task: &TaskId) {
        if let Some(entry) = self.task_mut(task) {
            entry.rejections = StartRejections::default();
        }
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.rejected_starts = 0;
        }
    }
}
