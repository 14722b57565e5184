//! Deletes the rows of jobs that finished long ago, and old withdrawals of jobs.
//!
//! A task first deletes the job row and its cancel mark; the progress row
//! follows with the next change of the owner. If the ownership is lost in
//! between, the next owner finds progress without a job and deletes it.

use std::collections::VecDeque;
use std::iter;
use std::time;

use redwing_jobs::{BootTime, JobId};
use redwing_provider::{CallCause, RowKey, TableClient, TableTransaction};
use tokio::sync::mpsc;

use crate::event;
use crate::log_job_event;
use crate::row;

/// Maximum number of jobs whose rows are deleted in one round.
pub(super) const JOBS_PER_ROUND: usize = 80;

/// Maximum number of progress rows that one change deletes, besides the rows
/// that it writes.
pub(super) const ROWS_PER_CHANGE: usize = 10;

/// Withdrawal whose row is stored.
#[derive(Clone, Debug)]
struct StoredWithdrawal {
    key: RowKey,
    /// When this owner first saw it.
    seen_at: BootTime,
}

/// Withdrawals whose rows are stored.
///
/// A row is kept from when this owner first saw it for as long as the state of a finished job:
/// by then no write of the job is under way any more. A new owner counts anew.
#[derive(Debug, Default)]
pub(super) struct WithdrawalRows {
    /// The oldest first.
    order: VecDeque<StoredWithdrawal>,
}

impl WithdrawalRows {
    /// Remembers a row.
    pub(super) fn add(&mut self, key: RowKey, now: BootTime) {
        self.order.push_back(StoredWithdrawal { key, seen_at: now });
    }

    /// Returns up to `limit` rows that are older than `retention`; they are to be deleted.
    pub(super) fn take_expired(
        &mut self,
        limit: usize,
        retention: time::Duration,
        now: BootTime,
    ) -> Vec<RowKey> {
        let is_old =
            |oldest: &mut StoredWithdrawal| now.saturating_since(oldest.seen_at) >= retention;
        let expired = iter::from_fn(|| self.order.pop_front_if(is_old));
        expired.take(limit).map(|row| row.key).collect()
    }
}

/// Starts a task that deletes withdrawals. Those that it cannot delete are left to the next
/// owner.
pub(super) fn delete_withdrawals(client: &TableClient, keys: Vec<RowKey>) {
    let client = client.clone();
    tokio::task::spawn_local(async move {
        for key in keys {
            let rows = TableTransaction::default().delete(key.clone());
            if let Err(error) = client.commit(CallCause::Job, rows).await {
                log_job_event!(
                    warn,
                    event::CLEANUP_FAILED,
                    job = key.as_str(),
                    error = error
                );
            }
        }
    });
}

/// Starts a task that deletes the rows of `jobs` and sends the ids of those
/// that are deleted to `deleted`.
pub(super) fn start(
    client: &TableClient,
    jobs: Vec<JobId>,
    deleted: &mpsc::UnboundedSender<JobId>,
) {
    let client = client.clone();
    let deleted = deleted.clone();
    tokio::task::spawn_local(async move {
        for job in jobs {
            let rows = TableTransaction::default()
                .delete(row::job_key(&job))
                .delete(row::cancel_key(&job));
            if let Err(error) = client.commit(CallCause::Job, rows).await {
                // The next owner finds the job finished and retries.
                log_job_event!(warn, event::CLEANUP_FAILED, job = job, error = error);
                continue;
            }
            if deleted.send(job).is_err() {
                return;
            }
        }
    });
}
