//! Session of an owner, from acquiring the ownership to losing or releasing it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::MaintenanceRecord;
use redwing_jobs::record::ProgressRecord;
use redwing_jobs::scheduler::{AdviceRequest, ChangeSet};
use redwing_jobs::worker::{OrderAction, WorkerOrder, WorkerView};
use redwing_jobs::{BootTime, JobId, JobScheduler};
use redwing_provider::{CallCause, TableRow};
use tokio::sync::{mpsc, oneshot};
use tokio::time as timer;

use crate::clock;
use crate::error::Result;
use crate::event;
use crate::follow::{self, TableUpdate};
use crate::log_job_event;
use crate::row::{self, EncodedRow, JobKey, PendingCounts};
use crate::services::WorkerReply;

use super::OwnerDependencies;
use super::advice::{self, AdviceResult};
use super::change::{self, ChangeOutcome, ExtraRows, StoreTimeouts};
use super::cleanup;
use super::election::OwnerLease;
use super::machines::{MachineResponse, MachineService};
use super::order_queues::{CompletedOrder, OrderQueues};
use super::record;
use super::scheduler_event;

/// Runs a session until the ownership is lost or the process stops.
pub(super) async fn run(dependencies: &OwnerDependencies, lease: OwnerLease) {
    let fencing_token = lease.record.fencing_token;
    log_job_event!(info, event::OWNER_BEGUN, fence = fencing_token);
    dependencies.metrics.set_owner(fencing_token);
    let reason = match OwnerSession::open(dependencies, lease).await {
        Ok(mut session) => session.run().await,
        Err(error) => {
            log_job_event!(error, event::CHANGE_DELAYED, error = error);
            "the rows could not be read"
        }
    };
    dependencies.metrics.set_owner(0);
    log_job_event!(
        info,
        event::OWNER_ENDED,
        fence = fencing_token,
        reason = reason
    );
}

/// Change that is being stored.
struct PendingChange {
    changes: ChangeSet,
    /// Pending counts that the change writes.
    pending_counts: Option<PendingCounts>,
    outcome: oneshot::Receiver<ChangeOutcome>,
}

/// State of a session: the scheduler, its inputs and its pending change.
struct OwnerSession<'a> {
    dependencies: &'a OwnerDependencies,
    lease: OwnerLease,
    scheduler: JobScheduler,
    machines: MachineService,
    order_queues: OrderQueues,
    job_updates: mpsc::Receiver<TableUpdate>,
    worker_updates: mpsc::Receiver<TableUpdate>,
    completed_orders: mpsc::UnboundedReceiver<CompletedOrder>,
    advice_requests: mpsc::UnboundedSender<AdviceRequest>,
    advice_results: mpsc::UnboundedReceiver<AdviceResult>,
    /// Jobs whose job rows have been deleted.
    deleted: mpsc::UnboundedReceiver<JobId>,
    deleted_sender: mpsc::UnboundedSender<JobId>,
    /// Jobs whose progress rows are to be deleted with the next changes.
    obsolete_jobs: Vec<JobId>,
    cleanup_started_at: BootTime,
    machine_responses: mpsc::UnboundedReceiver<MachineResponse>,
    /// Maintenance records as read at the start, by the number of the wave.
    waves: BTreeMap<u64, MaintenanceRecord>,
    pending_change: Option<PendingChange>,
    /// When the latest change was sent, successful or not.
    renewed_at: BootTime,
    /// Pending counts as stored.
    pending_counts: PendingCounts,
    /// When pending counts were last sent.
    counts_sent_at: BootTime,
    /// Largest capacity that workers and machines have had in this session.
    fleet_capacity: FleetCapacity,
    /// Row of the grown fleet capacity, to be stored with the next change.
    grown_capacity_row: Option<EncodedRow>,
    /// Orders to be sent once a change confirms the ownership.
    deferred_orders: Vec<WorkerOrder>,
    /// When the latest successful change was sent.
    confirmed_at: BootTime,
    /// Since when a change that was sent later must succeed before orders are sent:
    /// the process was paused, or no change succeeded for longer than
    /// `unconfirmed_limit`. None while the ownership is confirmed.
    unconfirmed_since: Option<BootTime>,
}

impl<'a> OwnerSession<'a> {
    /// Restores the state that earlier owners stored, and starts to follow jobs
    /// and workers.
    async fn open(dependencies: &'a OwnerDependencies, lease: OwnerLease) -> Result<Self> {
        let client = &dependencies.client;
        let renewed_at = clock::boot_now();
        // Concurrent scans: the lease must not expire while a slow table responds.
        let (jobs, progress, maintenance, workers) = futures_util::try_join!(
            client.scan(CallCause::Job, row::JOB_PREFIX),
            client.scan(CallCause::Job, row::PROGRESS_PREFIX),
            client.scan(CallCause::Maintenance, row::MAINTENANCE_PREFIX),
            client.scan(CallCause::Membership, dependencies.codec.worker_prefix()),
        )?;
        let (completed_sender, completed_orders) = mpsc::unbounded_channel();
        let (machine_sender, machine_responses) = mpsc::unbounded_channel();
        let (deleted_sender, deleted) = mpsc::unbounded_channel();
        let (advice_requests, advice_results) =
            advice::start(dependencies.services.advisor.clone());
        let fencing_token = lease.record.fencing_token;
        let mut session = Self {
            dependencies,
            scheduler: JobScheduler::new(dependencies.settings.scheduler.clone(), fencing_token),
            machines: MachineService::new(dependencies, fencing_token, machine_sender),
            order_queues: OrderQueues::new(dependencies.services.workers.clone(), completed_sender),
            job_updates: follow::follow(
                client,
                CallCause::Job,
                row::JOB_PREFIX,
                Some(jobs.cursor),
                follow::WATCH_TIMEOUT,
            ),
            worker_updates: follow::follow(
                client,
                CallCause::Membership,
                dependencies.codec.worker_prefix(),
                Some(workers.cursor),
                follow::WATCH_TIMEOUT,
            ),
            completed_orders,
            advice_requests,
            advice_results,
            deleted,
            deleted_sender,
            obsolete_jobs: Vec::new(),
            cleanup_started_at: renewed_at,
            machine_responses,
            waves: record::read_waves(&maintenance.rows),
            pending_change: None,
            renewed_at,
            pending_counts: PendingCounts::default(),
            counts_sent_at: BootTime::default(),
            fleet_capacity: FleetCapacity::default(),
            grown_capacity_row: None,
            deferred_orders: Vec::new(),
            confirmed_at: renewed_at,
            unconfirmed_since: None,
            lease,
        };
        session.apply_operator_view();
        session.apply_worker_rows(&workers.rows, true);
        session.restore_jobs(&jobs.rows, &progress.rows);
        Ok(session)
    }

    fn restore_jobs(&mut self, job_rows: &[TableRow], progress_rows: &[TableRow]) {
        let now = clock::boot_now();
        let mut progress_by_id: HashMap<&str, ProgressRecord> = HashMap::new();
        for entry in progress_rows {
            let Some(id) = entry.key.as_str().strip_prefix(row::PROGRESS_PREFIX) else {
                continue;
            };
            match row::read(entry) {
                Ok(record) => {
                    progress_by_id.insert(id, record);
                }
                Err(error) => follow::log_malformed(&entry.key, &error),
            }
        }
        for (id, record) in &progress_by_id {
            // Its job row may already be deleted; the cleanup then deletes the
            // progress row.
            if record.state.is_final() {
                self.scheduler.restore_finished(&JobId::new(id), now);
            }
        }
        let mut cancelled = Vec::new();
        for entry in job_rows {
            match row::read_job_key(&entry.key) {
                Some(JobKey::Job(id)) => {
                    match (record::read_job(entry), progress_by_id.get(id.as_str())) {
                        (Some(record), Some(progress)) => {
                            self.scheduler.restore(&id, record, progress, now);
                        }
                        (Some(record), None) => self.scheduler.submit(&id, record),
                        (None, _) => {}
                    }
                }
                Some(JobKey::Cancel(id)) => cancelled.push(id),
                None => {}
            }
        }
        for id in cancelled {
            self.scheduler.cancel(&id, now);
        }
    }

    /// Runs until the ownership ends; returns the reason.
    async fn run(&mut self) -> &'static str {
        let mut operators = self.dependencies.operators.clone();
        let mut stopping = self.dependencies.stopping.clone();
        let mut ticks = timer::interval(self.dependencies.settings.tick_interval);
        ticks.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
        let mut last_loop = clock::boot_now();
        loop {
            tokio::select! {
                Some(completed) = self.completed_orders.recv() => {
                    self.handle_completed_order(completed);
                }
                Some(AdviceResult { request, response }) = self.advice_results.recv() => {
                    let now = clock::boot_now();
                    self.scheduler.handle_advice_response(&request, response.as_ref(), now);
                }
                Some(update) = self.job_updates.recv() => self.apply_job_rows(&update),
                Some(update) = self.worker_updates.recv() => {
                    self.apply_worker_rows(&update.rows, update.is_complete);
                }
                Some(job) = self.deleted.recv() => self.obsolete_jobs.push(job),
                Some(response) = self.machine_responses.recv() => {
                    self.machines.handle_response(&mut self.scheduler, response, clock::boot_now());
                }
                outcome = wait_for_change(&mut self.pending_change) => {
                    if let Some(reason) = self.handle_change_outcome(outcome) {
                        return reason;
                    }
                }
                Ok(()) = operators.changed() => self.apply_operator_view(),
                _ = ticks.tick() => self.tick(),
                _ = stopping.wait_for(|is_stopping| *is_stopping) => {
                    return self.release().await;
                }
            }
            self.drain_channels();
            let now = clock::boot_now();
            if now.saturating_since(last_loop) > self.dependencies.settings.pause_limit {
                self.handle_pause(now, last_loop);
            }
            last_loop = now;
            if self.scheduler.is_fenced() || self.machines.is_fenced() {
                return "a newer owner has sent orders";
            }
            self.schedule(now);
        }
    }

    /// Handles all completed orders and job rows that have arrived.
    fn drain_channels(&mut self) {
        while let Ok(completed) = self.completed_orders.try_recv() {
            self.handle_completed_order(completed);
        }
        while let Ok(update) = self.job_updates.try_recv() {
            self.apply_job_rows(&update);
        }
    }

    fn handle_pause(&mut self, now: BootTime, last_loop: BootTime) {
        let paused = now.saturating_since(last_loop);
        log_job_event!(warn, event::PAUSE_NOTICED, millis = paused.as_millis());
        self.unconfirmed_since = Some(now);
    }

    fn schedule(&mut self, now: BootTime) {
        self.scheduler.place_tasks(now, clock::wall_now());
        for request in self.scheduler.take_advice_requests() {
            // The advisor task lives as long as the session.
            let _ = self.advice_requests.send(request);
        }
        self.start_change(now);
        self.log_events();
        let unconfirmed = now.saturating_since(self.confirmed_at);
        if unconfirmed > self.dependencies.settings.unconfirmed_limit {
            self.unconfirmed_since.get_or_insert(now);
        }
        self.deferred_orders.extend(self.scheduler.take_orders());
        if self.unconfirmed_since.is_none() {
            self.send_orders();
        }
    }

    /// Sends the orders to workers and for machines; the ownership must be
    /// confirmed.
    fn send_orders(&mut self) {
        for order in std::mem::take(&mut self.deferred_orders) {
            self.dependencies.metrics.count_order(order.action.kind());
            self.order_queues.send(order);
        }
        self.machines.send_ready_orders();
    }

    fn tick(&mut self) {
        let now = clock::boot_now();
        self.scheduler.tick(now);
        self.start_cleanup(now);
        self.machines
            .tick(self.dependencies, &mut self.scheduler, now);
    }

    /// Starts to store the changes of the scheduler, or renews the lease.
    fn start_change(&mut self, now: BootTime) {
        if self.pending_change.is_some() {
            return;
        }
        let settings = &self.dependencies.settings;
        let is_due = now.saturating_since(self.renewed_at) >= settings.renewal_interval;
        let has_changes = self.scheduler.has_changes() || self.machines.has_rows();
        if !has_changes && !is_due && self.unconfirmed_since.is_none() {
            return;
        }
        let changes = self.scheduler.take_changes();
        let mut extra = self.take_extra_rows();
        extra.written.extend(self.grown_capacity_row.take());
        let pending_counts = self.next_pending_counts(now);
        extra
            .written
            .extend(pending_counts.as_ref().and_then(record::pending_counts_row));
        self.send_change(changes, &extra, pending_counts, now);
    }

    /// Returns the rows to write and delete besides the progress of jobs.
    fn take_extra_rows(&mut self) -> ExtraRows {
        let count = self.obsolete_jobs.len().min(cleanup::ROWS_PER_CHANGE);
        let obsolete_jobs: Vec<JobId> = self.obsolete_jobs.drain(..count).collect();
        for job in &obsolete_jobs {
            self.scheduler.remove_expired(job);
        }
        ExtraRows {
            written: self.machines.take_rows(),
            deleted: cleanup::progress_keys(&obsolete_jobs),
        }
    }

    /// Starts to delete the rows of jobs that finished long ago.
    fn start_cleanup(&mut self, now: BootTime) {
        if now.saturating_since(self.cleanup_started_at)
            < self.dependencies.settings.cleanup_interval
        {
            return;
        }
        self.cleanup_started_at = now;
        self.update_fleet_capacity();
        let expired_jobs = self.scheduler.take_expired(cleanup::JOBS_PER_ROUND, now);
        if !expired_jobs.is_empty() {
            cleanup::start(
                &self.dependencies.client,
                expired_jobs,
                &self.deleted_sender,
            );
        }
    }

    fn send_change(
        &mut self,
        changes: ChangeSet,
        extra: &ExtraRows,
        pending_counts: Option<PendingCounts>,
        now: BootTime,
    ) {
        let (transaction, record) = match change::transaction(&self.lease, &changes, extra, false) {
            Ok(prepared) => prepared,
            Err(error) => {
                log_job_event!(error, event::CHANGE_DELAYED, error = error);
                return;
            }
        };
        let (mut sender, outcome) = oneshot::channel();
        let client = self.dependencies.client.clone();
        let timeouts = StoreTimeouts {
            attempt: self.dependencies.settings.attempt_timeout,
            give_up_after: self.dependencies.settings.give_up_after,
        };
        tokio::task::spawn_local(async move {
            let outcome = tokio::select! {
                outcome = change::store(&client, &transaction, &record, timeouts) => outcome,
                () = sender.closed() => return,
            };
            // The receiver is gone if the session has ended.
            let _ = sender.send(outcome);
        });
        self.renewed_at = now;
        self.pending_change = Some(PendingChange {
            changes,
            pending_counts,
            outcome,
        });
    }

    /// Applies the outcome of a change; returns the reason if the ownership is
    /// lost.
    fn handle_change_outcome(&mut self, outcome: ChangeOutcome) -> Option<&'static str> {
        let pending = self.pending_change.take()?;
        match outcome {
            ChangeOutcome::Lost(reason) => return Some(reason),
            ChangeOutcome::Stored(lease) => self.lease = lease,
        }
        let now = clock::boot_now();
        let metrics = &self.dependencies.metrics;
        metrics.count_change(now.saturating_since(self.renewed_at));
        metrics.set_open_jobs(self.scheduler.job_count());
        if let Some(pending_counts) = pending.pending_counts {
            self.pending_counts = pending_counts;
        }
        self.confirmed_at = self.renewed_at;
        let sent_at = self.renewed_at;
        self.unconfirmed_since.take_if(|since| *since <= sent_at);
        self.machines.rows_stored();
        self.scheduler.changes_stored(&pending.changes, now);
        None
    }

    /// Prepares the row of the fleet capacity to be stored, if it has grown.
    fn update_fleet_capacity(&mut self) {
        let mut fleet_capacity = self.fleet_capacity.clone();
        self.scheduler.add_fleet_capacity(&mut fleet_capacity);
        self.machines.add_capacity(&mut fleet_capacity);
        if fleet_capacity != self.fleet_capacity {
            self.grown_capacity_row = record::fleet_capacity_row(&fleet_capacity);
            self.fleet_capacity = fleet_capacity;
        }
    }

    /// Returns the pending counts to store, if they changed and
    /// `pending_interval` has elapsed.
    fn next_pending_counts(&mut self, now: BootTime) -> Option<PendingCounts> {
        if now.saturating_since(self.counts_sent_at) < self.dependencies.settings.pending_interval {
            return None;
        }
        let pending_counts = PendingCounts {
            pending: self.scheduler.pending_counts(),
        };
        if pending_counts == self.pending_counts {
            return None;
        }
        self.counts_sent_at = now;
        Some(pending_counts)
    }

    fn apply_operator_view(&mut self) {
        let view = self.dependencies.operators.borrow().clone();
        if let Some(manifest) = &view.manifest {
            self.scheduler.set_manifest(manifest.clone());
        }
        self.machines
            .add_waves(&view, &self.waves, clock::boot_now());
    }

    fn apply_job_rows(&mut self, update: &TableUpdate) {
        let now = clock::boot_now();
        let mut cancelled = Vec::new();
        for entry in &update.rows {
            match row::read_job_key(&entry.key) {
                Some(JobKey::Job(id)) => {
                    if let Some(record) = record::read_job(entry) {
                        self.scheduler.submit(&id, record);
                    }
                }
                Some(JobKey::Cancel(id)) if entry.value.is_some() => cancelled.push(id),
                _ => {}
            }
        }
        for id in cancelled {
            self.scheduler.cancel(&id, now);
        }
    }

    fn apply_worker_rows(&mut self, rows: &[TableRow], is_complete: bool) {
        let now = clock::boot_now();
        let mut views: Vec<WorkerView> = Vec::new();
        for entry in rows {
            if entry.value.is_none() {
                let id = self.dependencies.codec.worker_id(&entry.key);
                self.scheduler.worker_unlisted(&id);
                continue;
            }
            match self.dependencies.codec.worker(entry) {
                Ok(view) => views.push(view),
                Err(error) => {
                    follow::log_malformed(&entry.key, &error);
                    let id = self.dependencies.codec.worker_id(&entry.key);
                    self.scheduler.worker_unlisted(&id);
                }
            }
        }
        if is_complete {
            self.scheduler.workers_listed(views, now);
            return;
        }
        for view in views {
            self.scheduler.worker_listed(view, now);
        }
    }

    fn handle_completed_order(&mut self, completed: CompletedOrder) {
        let now = clock::boot_now();
        let CompletedOrder { order, reply } = completed;
        let worker = &order.worker;
        match (&order.action, reply) {
            (OrderAction::Renew { .. }, WorkerReply::Report(report)) => {
                if report.malformed > 0 {
                    log_job_event!(
                        warn,
                        event::ROW_MALFORMED,
                        worker = worker,
                        rows = report.malformed,
                    );
                }
                self.scheduler
                    .handle_renewal_report(worker, order.issued_at, &report, now);
            }
            (OrderAction::Renew { .. }, WorkerReply::NoReport(outcome)) => {
                self.scheduler
                    .handle_renewal_failure(worker, order.issued_at, outcome, now);
            }
            (OrderAction::Start { task, run, .. }, WorkerReply::Order(response)) => {
                self.scheduler
                    .handle_start_response(worker, task, *run, &response, now);
            }
            (OrderAction::Stop { task, run }, WorkerReply::Order(response)) => {
                self.scheduler
                    .handle_stop_response(worker, task, *run, &response, now);
            }
            (_, reply) => scheduler_event::log_unexpected_reply(&order, &reply),
        }
    }

    fn log_events(&mut self) {
        for event in self.scheduler.take_events() {
            scheduler_event::log_event(&event);
            scheduler_event::count_event(&self.dependencies.metrics, &event);
        }
    }

    /// Releases the ownership so that another process can acquire it at once.
    async fn release(&mut self) -> &'static str {
        if let Some(pending) = &mut self.pending_change {
            // A dropped sender counts as a lost change.
            let outcome = (&mut pending.outcome).await;
            let outcome =
                outcome.unwrap_or(ChangeOutcome::Lost("the outcome of a change was lost"));
            if let Some(reason) = self.handle_change_outcome(outcome) {
                return reason;
            }
        }
        for order in self.scheduler.take_orders() {
            self.order_queues.send(order);
        }
        let changes = self.scheduler.take_changes();
        let extra = self.take_extra_rows();
        match change::transaction(&self.lease, &changes, &extra, true) {
            Ok((transaction, record)) => {
                let timeouts = StoreTimeouts {
                    attempt: self.dependencies.settings.attempt_timeout,
                    give_up_after: self.dependencies.settings.lease,
                };
                change::store(&self.dependencies.client, &transaction, &record, timeouts).await;
                "the process stops"
            }
            Err(error) => {
                log_job_event!(error, event::CHANGE_DELAYED, error = error);
                "the process stops without having released the ownership"
            }
        }
    }
}

/// Waits for the outcome of the pending change; never returns if there is none.
async fn wait_for_change(pending: &mut Option<PendingChange>) -> ChangeOutcome {
    match pending {
        Some(pending) => {
            let outcome = (&mut pending.outcome).await;
            outcome.unwrap_or(ChangeOutcome::Lost("the outcome of a change was lost"))
        }
        None => std::future::pending().await,
    }
}
