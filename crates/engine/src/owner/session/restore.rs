//! Rows that a new owner reads before it schedules: first those of workers, then those
//! of jobs.
//!
//! Load pattern: a takeover on a slow link. The session runs meanwhile and renews the
//! leases, its own and those of the workers that are read.

use std::sync;

use redwing_jobs::BootTime;
use redwing_provider::table::TableView;
use redwing_provider::{CallCause, ReadProgress, TableClient};
use tokio::sync::oneshot;

use crate::clock;
use crate::codec::DeploymentCodec;
use crate::event;
use crate::log_job_event;
use crate::owner::OwnerDependencies;
use crate::row;

/// Rows that a new owner needs to renew the leases of workers.
pub(super) struct FleetRows {
    pub(super) maintenance: TableView,
    pub(super) owner: TableView,
    pub(super) workers: TableView,
    /// Rows that show the state of evacuations; none if the deployment has no such rows.
    pub(super) evacuations: Option<TableView>,
}

/// Rows of jobs that earlier owners and callers have stored.
pub(super) struct JobRows {
    pub(super) jobs: TableView,
    pub(super) progress: TableView,
}

/// Rows that have been read.
pub(super) enum RestoredRows {
    Fleet(FleetRows),
    Jobs(JobRows),
}

/// What a new owner is reading.
pub(super) enum RestoreStage {
    /// The rows of workers, waves and the previous owner.
    Fleet(oneshot::Receiver<Option<FleetRows>>),
    /// The rows of jobs.
    Jobs(oneshot::Receiver<Option<JobRows>>),
    /// Nothing more.
    Done,
}

impl RestoreStage {
    /// Starts to read the rows of workers.
    pub(super) fn begin(dependencies: &OwnerDependencies) -> Self {
        let client = dependencies.client.clone();
        let codec = sync::Arc::clone(&dependencies.codec);
        Self::Fleet(read(
            async move { scan_fleet(&client, codec.as_ref()).await },
        ))
    }

    /// Starts to read the rows of jobs, once the manifest is known: without it, limits
    /// of customers and attempts are not known either.
    pub(super) fn read_jobs(dependencies: &OwnerDependencies) -> Self {
        let client = dependencies.client.clone();
        let mut operators = dependencies.operators.clone();
        Self::Jobs(read(async move {
            let known = operators.wait_for(|view| view.manifest.is_some()).await;
            known.ok()?;
            scan_jobs(&client).await
        }))
    }

    /// Waits for the rows that are being read; returns none if they could not be read,
    /// and never returns if nothing is being read.
    pub(super) async fn next(&mut self) -> Option<RestoredRows> {
        match self {
            Self::Fleet(rows) => rows.await.ok().flatten().map(RestoredRows::Fleet),
            Self::Jobs(rows) => rows.await.ok().flatten().map(RestoredRows::Jobs),
            Self::Done => std::future::pending().await,
        }
    }

    /// Returns whether the rows of workers are still being read.
    pub(super) fn awaits_fleet(&self) -> bool {
        matches!(self, Self::Fleet(_))
    }
}

/// Starts a read that ends once the receiver is closed.
fn read<T: 'static>(
    scan: impl Future<Output = Option<T>> + 'static,
) -> oneshot::Receiver<Option<T>> {
    let (mut sender, receiver) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let rows = tokio::select! {
            rows = scan => rows,
            () = sender.closed() => return,
        };
        // The receiver is gone if the session has ended.
        let _ = sender.send(rows);
    });
    receiver
}

async fn scan_fleet(client: &TableClient, codec: &dyn DeploymentCodec) -> Option<FleetRows> {
    let started = clock::boot_now();
    let counts = ReadProgress::default();
    let result = futures_util::try_join!(
        client.scan_observed(CallCause::Maintenance, row::MAINTENANCE_PREFIX, &counts),
        client.scan_observed(CallCause::Membership, row::OWNER_PREFIX, &counts),
        client.scan_observed(CallCause::Membership, codec.worker_prefix(), &counts),
        scan_evacuations(client, codec, &counts),
    );
    let (maintenance, owner, workers, evacuations) = ok_or_log(result, &counts, started)?;
    Some(FleetRows {
        maintenance,
        owner,
        workers,
        evacuations,
    })
}

async fn scan_evacuations(
    client: &TableClient,
    codec: &dyn DeploymentCodec,
    counts: &ReadProgress,
) -> redwing_provider::Result<Option<TableView>> {
    let Some(prefix) = codec.evacuation_status_prefix() else {
        return Ok(None);
    };
    let view = client.scan_observed(CallCause::Maintenance, prefix, counts);
    view.await.map(Some)
}

async fn scan_jobs(client: &TableClient) -> Option<JobRows> {
    let started = clock::boot_now();
    let counts = ReadProgress::default();
    let result = futures_util::try_join!(
        client.scan_observed(CallCause::Job, row::JOB_PREFIX, &counts),
        client.scan_observed(CallCause::Job, row::PROGRESS_PREFIX, &counts),
    );
    let (jobs, progress) = ok_or_log(result, &counts, started)?;
    log_job_event!(
        info,
        event::ROWS_READ,
        rows = counts.rows(),
        bytes = counts.bytes(),
        pages = counts.pages(),
        requests = counts.requests(),
        millis = clock::boot_now().saturating_since(started).as_millis(),
    );
    Some(JobRows { jobs, progress })
}

/// Returns what was read; logs an error, with what had arrived.
fn ok_or_log<T>(
    result: redwing_provider::Result<T>,
    counts: &ReadProgress,
    started: BootTime,
) -> Option<T> {
    let log = |error: &redwing_provider::Error| {
        log_job_event!(
            error,
            event::ROWS_INCOMPLETE,
            error = error,
            rows = counts.rows(),
            bytes = counts.bytes(),
            pages = counts.pages(),
            requests = counts.requests(),
            millis = clock::boot_now().saturating_since(started).as_millis(),
        );
    };
    result.inspect_err(log).ok()
}
