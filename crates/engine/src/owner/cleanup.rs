//! Deletes the rows of jobs that finished long ago.
//!
//! A task first deletes the job row and its cancel mark; the progress row
//! follows with the next change of the owner. If the ownership is lost in
//! between, the next owner finds progress without a job and deletes it.

use redwing_jobs::JobId;
use redwing_provider::{CallCause, TableClient, TableTransaction};
use tokio::sync::mpsc;

use crate::event;
use crate::log_job_event;
use crate::row;

/// Maximum number of jobs whose rows are deleted in one round.
pub(super) const JOBS_PER_ROUND: usize = 80;

/// Maximum number of progress rows that one change deletes, besides the rows
/// that it writes.
pub(super) const ROWS_PER_CHANGE: usize = 10;

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
