//! Rows that a new owner reads before it schedules.

use redwing_provider::table::TableView;
use redwing_provider::{CallCause, ReadProgress, TableClient};
use tokio::sync::oneshot;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::owner::OwnerDependencies;
use crate::row;

/// Rows that a new owner needs to renew the leases of workers.
pub(super) struct FleetRows {
    pub(super) maintenance: TableView,
    pub(super) owner: TableView,
    pub(super) workers: TableView,
}

/// Rows of jobs that earlier owners and callers have stored.
pub(super) struct JobRows {
    pub(super) jobs: TableView,
    pub(super) progress: TableView,
}

/// Reads the rows that are needed at once.
///
/// # Errors
///
/// Fails if the table does not respond in time.
pub(super) async fn read_fleet(
    dependencies: &OwnerDependencies,
) -> redwing_provider::Result<FleetRows> {
    let client = &dependencies.client;
    let worker_prefix = dependencies.codec.worker_prefix();
    // Concurrent scans: the lease must not expire while a slow table responds.
    let (maintenance, owner, workers) = futures_util::try_join!(
        client.scan(CallCause::Maintenance, row::MAINTENANCE_PREFIX),
        client.scan(CallCause::Membership, row::OWNER_PREFIX),
        client.scan(CallCause::Membership, worker_prefix),
    )?;
    Ok(FleetRows {
        maintenance,
        owner,
        workers,
    })
}

/// Starts to read the rows of jobs; sends none, and logs what had arrived, if they could
/// not be read. Ends once the receiver is closed.
pub(super) fn read_jobs(client: &TableClient) -> oneshot::Receiver<Option<JobRows>> {
    let (mut sender, receiver) = oneshot::channel();
    let client = client.clone();
    tokio::task::spawn_local(async move {
        let rows = tokio::select! {
            rows = scan_jobs(&client) => rows,
            () = sender.closed() => return,
        };
        // The receiver is gone if the session has ended.
        let _ = sender.send(rows);
    });
    receiver
}

async fn scan_jobs(client: &TableClient) -> Option<JobRows> {
    let started = clock::boot_now();
    let counts = ReadProgress::default();
    let result = futures_util::try_join!(
        client.scan_observed(CallCause::Job, row::JOB_PREFIX, &counts),
        client.scan_observed(CallCause::Job, row::PROGRESS_PREFIX, &counts),
    );
    let millis = clock::boot_now().saturating_since(started).as_millis();
    match result {
        Ok((jobs, progress)) => {
            log_job_event!(
                info,
                event::ROWS_READ,
                rows = counts.rows(),
                bytes = counts.bytes(),
                pages = counts.pages(),
                requests = counts.requests(),
                millis = millis,
            );
            Some(JobRows { jobs, progress })
        }
        Err(error) => {
            log_job_event!(
                error,
                event::ROWS_INCOMPLETE,
                error = error,
                rows = counts.rows(),
                bytes = counts.bytes(),
                pages = counts.pages(),
                requests = counts.requests(),
                millis = millis,
            );
            None
        }
    }
}
