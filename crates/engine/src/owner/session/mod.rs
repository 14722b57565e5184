//! Session of an owner, from acquiring the ownership to losing or releasing it.

mod restore;
mod rows;
mod store;

use std::collections::{BTreeMap, VecDeque};

use redwing_jobs::evacuation::EvacuationProgress;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::MaintenanceRecord;
use redwing_jobs::name::DataCentre;
use redwing_jobs::scheduler::{AdviceRequest, LateLeases};
use redwing_jobs::worker::{OrderAction, WorkerOrder};
use redwing_jobs::{BootTime, JobId, JobScheduler, SchedulerSettings, WorkerId};
use redwing_provider::TransactionSize;
use redwing_provider::builder::FillBudget;
use tokio::sync::{mpsc, oneshot};
use tokio::task;
use tokio::time as timer;

use crate::clock;
use crate::event;
use crate::follow::TableUpdate;
use crate::log_job_event;
use crate::row::{EncodedRow, PendingCounts, WaitRecord};
use crate::services::WorkerReply;
use crate::stop::StopPhase;

use super::OwnerDependencies;
use super::advice::{self, AdviceResult};
use super::change::{ChangeOutcome, ChangeUnit};
use super::cleanup::WithdrawalRows;
use super::election::{AcquiredOwnership, OwnerLease};
use super::evacuation_board::EvacuationBoard;
use super::inherited::InheritedRows;
use super::machine_order::MachineResponse;
use super::machines::MachineService;
use super::order_queues::{CompletedOrder, OrderQueues, StartPermission};
use super::record::StoredWaits;
use super::scheduler_event;

use restore::{RestoreStage, RestoredRows};
use store::ChangeContents;

/// Runs a session until the ownership is lost or the process stops.
pub(super) async fn run(dependencies: &OwnerDependencies, acquired: AcquiredOwnership) {
    let fencing_token = acquired.lease.record.fencing_token;
    log_job_event!(info, event::OWNER_BEGUN, fence = fencing_token);
    dependencies.metrics.set_owner(fencing_token);
    let mut session = OwnerSession::open(dependencies, acquired);
    let reason = session.run().await;
    session.publish_evacuations(&BTreeMap::new());
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
    contents: ChangeContents,
    outcome: oneshot::Receiver<ChangeOutcome>,
}

/// State of a session: the scheduler, its inputs and its pending change.
struct OwnerSession<'a> {
    dependencies: &'a OwnerDependencies,
    lease: OwnerLease,
    scheduler: JobScheduler,
    machines: MachineService,
    order_queues: OrderQueues,
    /// Rows of earlier owners that are being read.
    restoring: RestoreStage,
    /// Changes of the rows of jobs, once they are read.
    job_updates: Option<mpsc::Receiver<TableUpdate>>,
    /// Whether changes have arrived that were made while the rows were read.
    has_followed_jobs: bool,
    /// When the latest changes were read, in milliseconds on the clock of the table;
    /// none if it does not tell.
    followed_ms: Option<u64>,
    /// Changes of the rows of workers, once they are read.
    worker_updates: Option<mpsc::Receiver<TableUpdate>>,
    /// Entries of workers that could not be read, with the reasons that were logged.
    refused_entries: BTreeMap<WorkerId, String>,
    completed_orders: mpsc::UnboundedReceiver<CompletedOrder>,
    advice_requests: mpsc::UnboundedSender<AdviceRequest>,
    advice_results: mpsc::UnboundedReceiver<AdviceResult>,
    /// Jobs whose job rows have been deleted.
    deleted: mpsc::UnboundedReceiver<JobId>,
    deleted_sender: mpsc::UnboundedSender<JobId>,
    /// Withdrawals of jobs, until their rows are deleted.
    withdrawal_rows: WithdrawalRows,
    /// Jobs whose progress rows are to be deleted with the next changes.
    obsolete_jobs: VecDeque<JobId>,
    cleanup_started_at: BootTime,
    machine_responses: mpsc::UnboundedReceiver<MachineResponse>,
    /// Maintenance records as read at the start, by the number of the wave.
    waves: BTreeMap<u64, MaintenanceRecord>,
    pending_change: Option<PendingChange>,
    /// Number of the latest change. Each has another one, so that a refused change
    /// and the next cannot be taken for one another.
    change_number: u64,
    /// Number of units of the next change.
    fill_budget: FillBudget,
    /// Whether the next change is only to renew the ownership.
    is_renewal_next: bool,
    /// Unit that was refused alone, with the size of that change.
    suspect: Option<(ChangeUnit, TransactionSize)>,
    /// Until when no change is sent, because the table refused the owner row.
    refused_until: BootTime,
    /// When the latest change was sent, successful or not.
    renewed_at: BootTime,
    /// Pending counts as stored.
    pending_counts: PendingCounts,
    /// When pending counts were last sent.
    counts_sent_at: BootTime,
    /// When the backlogs were last counted.
    backlog_counted_at: BootTime,
    /// Whether the row of the backlogs may list a pool.
    has_published_backlog: bool,
    /// Largest capacity that workers and machines have had in this session.
    fleet_capacity: FleetCapacity,
    /// Row of the grown fleet capacity, to be stored with the next change.
    grown_capacity_row: Option<EncodedRow>,
    /// Rows that show the state of evacuations.
    evacuation_board: EvacuationBoard,
    /// Progress of evacuations as shown by the metrics.
    published_progress: BTreeMap<DataCentre, EvacuationProgress>,
    /// Orders to be sent once a change confirms the ownership.
    deferred_orders: Vec<WorkerOrder>,
    /// When the latest successful change was sent.
    confirmed_at: BootTime,
    /// Since when a change that was sent later must succeed before orders are sent:
    /// the process was paused, or no change succeeded for longer than
    /// `unconfirmed_limit`. None while the ownership is confirmed.
    unconfirmed_since: Option<BootTime>,
    /// When all leases of earlier owners have expired.
    inherited_until: BootTime,
    /// When those of single workers have expired that last longer, until the scheduler
    /// knows them.
    inherited_late: LateLeases,
    /// When those have expired that an unknown incarnation may hold.
    inherited_unconfirmed: LateLeases,
    /// Until when earlier owners may have sent orders; none if there were none.
    earlier_orders_until: Option<BootTime>,
    /// When waits were last counted to be stored for the next owner.
    waits_counted_at: BootTime,
    /// Waits as stored.
    stored_waits: WaitRecord,
    /// Rows of earlier owners that count.
    inherited_rows: InheritedRows,
    /// Waits of earlier owners, until the jobs are restored.
    inherited_waits: StoredWaits,
}

impl<'a> OwnerSession<'a> {
    /// Starts to read what earlier owners stored.
    fn open(dependencies: &'a OwnerDependencies, acquired: AcquiredOwnership) -> Self {
        let AcquiredOwnership { lease, times } = acquired;
        let client = &dependencies.client;
        let (completed_sender, completed_orders) = mpsc::unbounded_channel();
        let (machine_sender, machine_responses) = mpsc::unbounded_channel();
        let (deleted_sender, deleted) = mpsc::unbounded_channel();
        let (advice_requests, advice_results) =
            advice::start(dependencies.services.advisor.clone());
        let fencing_token = lease.record.fencing_token;
        let scheduler_settings = SchedulerSettings {
            max_row_bytes: client.limits().row_bytes,
            ..dependencies.settings.scheduler.clone()
        };
        let mut session = Self {
            dependencies,
            scheduler: JobScheduler::new(scheduler_settings, fencing_token),
            machines: MachineService::new(dependencies, fencing_token, machine_sender),
            order_queues: OrderQueues::new(
                dependencies.services.workers.clone(),
                completed_sender,
                StartPermission {
                    bound: dependencies.settings.scheduler.evacuation_bound,
                    operators: dependencies.operators.clone(),
                },
            ),
            restoring: RestoreStage::begin(dependencies),
            job_updates: None,
            has_followed_jobs: false,
            followed_ms: None,
            worker_updates: None,
            refused_entries: BTreeMap::new(),
            completed_orders,
            advice_requests,
            advice_results,
            deleted,
            deleted_sender,
            withdrawal_rows: WithdrawalRows::default(),
            obsolete_jobs: VecDeque::new(),
            cleanup_started_at: clock::boot_now(),
            machine_responses,
            waves: BTreeMap::new(),
            pending_change: None,
            change_number: lease.record.change,
            fill_budget: FillBudget::default(),
            is_renewal_next: false,
            suspect: None,
            refused_until: BootTime::default(),
            renewed_at: times.claimed_at,
            pending_counts: PendingCounts::default(),
            counts_sent_at: BootTime::default(),
            backlog_counted_at: clock::boot_now(),
            has_published_backlog: true,
            fleet_capacity: FleetCapacity::default(),
            grown_capacity_row: None,
            evacuation_board: EvacuationBoard::new(dependencies.codec.evacuation_status_prefix()),
            published_progress: BTreeMap::new(),
            deferred_orders: Vec::new(),
            confirmed_at: times.claimed_at,
            unconfirmed_since: None,
            inherited_until: times.inherited_until,
            inherited_late: times.late_leases,
            inherited_unconfirmed: times.unconfirmed,
            earlier_orders_until: times.orders_until,
            inherited_rows: times.inherited_rows,
            waits_counted_at: BootTime::default(),
            stored_waits: WaitRecord::default(),
            inherited_waits: StoredWaits::default(),
            lease,
        };
        session.scheduler.begin_restoring();
        session.apply_operator_view();
        session
    }

    /// Runs until the ownership ends; returns the reason.
    async fn run(&mut self) -> &'static str {
        let mut operators = self.dependencies.operators.clone();
        let mut stop_phase = self.dependencies.stop_phase.clone();
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
                rows = self.restoring.next() => match rows {
                    Some(RestoredRows::Fleet(rows)) => self.restore_fleet(&rows),
                    Some(RestoredRows::Jobs(rows)) => self.finish_restoring(&rows),
                    None => {
                        // Another process may be able to read them.
                        self.release().await;
                        return "the rows could not be read";
                    }
                },
                Some(update) = next_update(&mut self.job_updates) => {
                    self.apply_job_rows(&update);
                }
                Some(update) = next_update(&mut self.worker_updates) => {
                    self.apply_worker_rows(&update.rows, update.is_complete);
                }
                Some(job) = self.deleted.recv() => self.obsolete_jobs.push_back(job),
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
                _ = stop_phase.wait_for(StopPhase::is_stopping) => {
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
        while let Some(Ok(update)) = self.job_updates.as_mut().map(mpsc::Receiver::try_recv) {
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

    /// Returns whether orders may be sent: the latest stored change is recent enough
    /// that a successor waits for the leases that they grant.
    fn is_confirmed(&self, now: BootTime) -> bool {
        let unconfirmed = now.saturating_since(self.confirmed_at);
        self.unconfirmed_since.is_none()
            && unconfirmed <= self.dependencies.settings.unconfirmed_limit
    }

    /// Sends the orders to workers and for machines; the ownership must be
    /// confirmed.
    fn send_orders(&mut self) {
        let now = clock::boot_now();
        for order in std::mem::take(&mut self.deferred_orders) {
            if self.scheduler.is_obsolete(&order) {
                self.scheduler.take_back(&order, now);
                continue;
            }
            self.dependencies.metrics.count_order(order.action.kind());
            self.order_queues.send(order);
        }
        self.machines.send_ready_orders();
    }

    fn tick(&mut self) {
        let now = clock::boot_now();
        self.scheduler.tick(now);
        if self.scheduler.is_restoring() {
            // What machines are needed is not known yet.
            return;
        }
        self.start_cleanup(now);
        if *self.scheduler.evacuation_progress() != self.published_progress {
            let progress = self.scheduler.evacuation_progress().clone();
            self.publish_evacuations(&progress);
        }
        self.machines
            .tick(self.dependencies, &mut self.scheduler, now);
    }

    /// Sets the metrics of evacuations.
    fn publish_evacuations(&mut self, progress: &BTreeMap<DataCentre, EvacuationProgress>) {
        let metrics = &self.dependencies.metrics;
        metrics.set_evacuations(progress, &self.published_progress);
        self.published_progress.clone_from(progress);
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
                self.scheduler.handle_renewal_report(&order, &report, now);
            }
            (OrderAction::Renew { .. }, WorkerReply::NoReport(outcome)) => {
                self.scheduler.handle_renewal_failure(&order, outcome, now);
            }
            (action, WorkerReply::Order(response)) => {
                if matches!(action, OrderAction::Pace { .. }) {
                    scheduler_event::log_unexpected_reply(&order, &WorkerReply::Order(response));
                }
                self.scheduler.handle_order_response(&order, &response, now);
            }
            (_, reply) => scheduler_event::log_unexpected_reply(&order, &reply),
        }
    }

    fn log_events(&mut self) {
        let examined = self.scheduler.take_examined();
        self.dependencies.metrics.count_examined_jobs(examined);
        for event in self.scheduler.take_events() {
            scheduler_event::log_event(&event);
            scheduler_event::count_event(&self.dependencies.metrics, &event);
        }
    }

    /// Releases the ownership so that another process can acquire it at once.
    async fn release(&mut self) -> &'static str {
        if self.pending_change.is_some() {
            // The change is retried for longer than the process may take to stop.
            let limit = self.dependencies.settings.lease;
            let outcome = wait_for_change(&mut self.pending_change);
            let Ok(outcome) = timer::timeout(limit, outcome).await else {
                return "the process stops while a change is under way";
            };
            if let Some(reason) = self.handle_change_outcome(outcome) {
                return reason;
            }
        }
        let now = clock::boot_now();
        let orders = self.scheduler.take_orders();
        // Otherwise the next owner orders what is still needed.
        if self.is_confirmed(now) {
            for order in orders {
                self.order_queues.send(order);
            }
            task::yield_now().await;
        }
        // From the release on, only the next owner may send orders.
        self.order_queues.close();
        self.scheduler.prepare_release(now);
        if !self.scheduler.is_restoring() {
            self.machines.prepare_release(now);
        }
        self.store_release().await
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

/// Waits for the next update; never returns while the rows are not followed.
async fn next_update(updates: &mut Option<mpsc::Receiver<TableUpdate>>) -> Option<TableUpdate> {
    match updates {
        Some(receiver) => receiver.recv().await,
        None => std::future::pending().await,
    }
}
