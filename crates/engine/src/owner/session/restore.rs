//! Rows that a new owner reads before it schedules.

use redwing_provider::table::TableView;
use redwing_provider::{CallCause, ReadProgress, TableClient};

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::owner::OwnerDependencies;
use crate::row;

/// Rows that earlier owners, callers and workers have stored.
pub(super) struct StoredRows {
    pub(super) jobs: TableView,
    pub(super) progress: TableView,
    pub(super) maintenance: TableView,
    pub(super) leases: TableView,
    pub(super) workers: TableView,
}

/// Reads all rows; returns none, and logs what had arrived, if they could not be read.
pub(super) async fn read_rows(dependencies: &OwnerDependencies) -> Option<StoredRows> {
    let started = clock::boot_now();
    let progress = ReadProgress::default();
    let result = scan_all(dependencies, &progress).await;
    let millis = clock::boot_now().saturating_since(started).as_millis();
    match result {
        Ok(rows) => {
            log_job_event!(
                info,
                event::ROWS_READ,
                rows = progress.rows(),
                bytes = progress.bytes(),
                pages = progress.pages(),
                requests = progress.requests(),
                millis = millis,
            );
            Some(rows)
        }
        Err(error) => {
            log_job_event!(
                error,
                event::ROWS_INCOMPLETE,
                error = error,
                rows = progress.rows(),
                bytes = progress.bytes(),
                pages = progress.pages(),
                requests = progress.requests(),
                millis = millis,
            );
            None
        }
    }
}

async fn scan_all(
    dependencies: &OwnerDependencies,
    progress: &ReadProgress,
) -> redwing_provider::Result<StoredRows> {
    let client: &TableClient = &dependencies.client;
    let scan = |cause, prefix| client.scan_observed(cause, prefix, progress);
    // Concurrent scans: the lease must not expire while a slow table responds.
    let (jobs, progress, maintenance, leases, workers) = futures_util::try_join!(
        scan(CallCause::Job, row::JOB_PREFIX),
        scan(CallCause::Job, row::PROGRESS_PREFIX),
        scan(CallCause::Maintenance, row::MAINTENANCE_PREFIX),
        scan(CallCause::Membership, row::LEASE_KEY),
        scan(CallCause::Membership, dependencies.codec.worker_prefix()),
    )?;
    Ok(StoredRows {
        jobs,
        progress,
        maintenance,
        leases,
        workers,
    })
}
