//! One term of ownership, from the row that was won to the row that was lost.

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
use crate::row::{self, EncodedRow, JobKey, PendingBoard};
use crate::services::WorkerReply;

use super::OwnerParts;
use super::advice::{self, AnsweredQuestion};
use super::campaign::OwnerLease;
use super::change::{self, ChangeOutcome, ExtraRows, StoreLimits};
use super::cleanup;
use super::lanes::{AnsweredOrder, OrderLanes};
use super::machines::{MachineAnswer, MachineDesk};
use super::note;
use super::record;

/// Exercises the ownership until it is lost or the process stops.
pub(super) async fn exercise(parts: &OwnerParts, lease: OwnerLease) {
    let fence = lease.record.fence;
    log_job_event!(info, event::OWNER_BEGUN, fence = fence);
    parts.metrics.show_owner(fence);
    let reason = match OwnerSession::open(parts, lease).await {
        Ok(mut session) => session.run().await,
        Err(error) => {
            log_job_event!(error, event::CHANGE_DELAYED, error = error);
            "the rows could not be read"
        }
    };
    parts.metrics.show_owner(0);
    log_job_event!(info, event::OWNER_ENDED, fence = fence, reason = reason);
}

/// A change that is being stored.
struct PendingChange {
    changes: ChangeSet,
    board: Option<PendingBoard>,
    outcome: oneshot::Receiver<ChangeOutcome>,
}

struct OwnerSession<'a> {
    parts: &'a OwnerParts,
    lease: OwnerLease,
    scheduler: JobScheduler,
    desk: MachineDesk,
    lanes: OrderLanes,
    jobs: mpsc::Receiver<TableUpdate>,
    workers: mpsc::Receiver<TableUpdate>,
    answers: mpsc::UnboundedReceiver<AnsweredOrder>,
    questions: mpsc::UnboundedSender<AdviceRequest>,
    advice: mpsc::UnboundedReceiver<AnsweredQuestion>,
    /// Jobs whose own rows are deleted.
    deleted: mpsc::UnboundedReceiver<JobId>,
    deleted_sender: mpsc::UnboundedSender<JobId>,
    /// Those whose progress is to be deleted with the next change.
    obsolete: Vec<JobId>,
    cleanup_at: BootTime,
    machine_answers: mpsc::UnboundedReceiver<MachineAnswer>,
    waves: BTreeMap<u64, MaintenanceRecord>,
    pending: Option<PendingChange>,
    /// When the latest change was sent.
    renewed_at: BootTime,
    board: PendingBoard,
    board_at: BootTime,
    /// What workers offer at most.
    offer: FleetCapacity,
    /// Its row, while it is to be stored.
    grown_offer: Option<EncodedRow>,
    /// Orders that wait until the row is known to be ours.
    held_orders: Vec<WorkerOrder>,
    /// When the latest change that was stored was sent.
    confirmed_at: BootTime,
    /// Whether the row must be confirmed before orders are given: the process
    /// stood still, or no change succeeded for too long.
    must_confirm: bool,
}

impl<'a> OwnerSession<'a> {
    /// Reads what an earlier owner left, and begins to follow jobs and workers.
    async fn open(parts: &'a OwnerParts, lease: OwnerLease) -> Result<Self> {
        let client = &parts.client;
        let renewed_at = clock::boot_now();
        // Side by side: the lease must not run out while a slow table answers.
        let (stored, progress, kept, workers) = futures_util::try_join!(
            client.scan(CallCause::Job, row::JOB_PREFIX),
            client.scan(CallCause::Job, row::PROGRESS_PREFIX),
            client.scan(CallCause::Maintenance, row::UPKEEP_PREFIX),
            client.scan(CallCause::Membership, parts.codec.worker_prefix()),
        )?;
        let (answer_sender, answers) = mpsc::unbounded_channel();
        let (machine_sender, machine_answers) = mpsc::unbounded_channel();
        let (deleted_sender, deleted) = mpsc::unbounded_channel();
        let (questions, advice) = advice::start(parts.services.advisor.clone());
        let fence = lease.record.fence;
        let mut session = Self {
            parts,
            scheduler: JobScheduler::new(parts.settings.scheduler.clone(), fence),
            desk: MachineDesk::new(parts, fence, machine_sender),
            lanes: OrderLanes::new(parts.services.workers.clone(), answer_sender),
            jobs: follow::follow(
                client,
                CallCause::Job,
                row::JOB_PREFIX,
                Some(stored.cursor),
                follow::WATCH_WAIT,
            ),
            workers: follow::follow(
                client,
                CallCause::Membership,
                parts.codec.worker_prefix(),
                Some(workers.cursor),
                follow::WATCH_WAIT,
            ),
            answers,
            questions,
            advice,
            deleted,
            deleted_sender,
            obsolete: Vec::new(),
            cleanup_at: renewed_at,
            machine_answers,
            waves: record::read_waves(&kept.rows),
            pending: None,
            renewed_at,
            board: PendingBoard::default(),
            board_at: BootTime::default(),
            offer: FleetCapacity::default(),
            grown_offer: None,
            held_orders: Vec::new(),
            confirmed_at: renewed_at,
            must_confirm: false,
            lease,
        };
        session.take_operators();
        session.take_workers(&workers.rows, true);
        session.restore_jobs(&stored.rows, &progress.rows);
        Ok(session)
    }

    fn restore_jobs(&mut self, stored: &[TableRow], progress: &[TableRow]) {
        let now = clock::boot_now();
        let mut known: HashMap<&str, ProgressRecord> = HashMap::new();
        for entry in progress {
            let Some(id) = entry.key.as_str().strip_prefix(row::PROGRESS_PREFIX) else {
                continue;
            };
            match row::read(entry) {
                Ok(record) => {
                    known.insert(id, record);
                }
                Err(error) => follow::log_malformed(&entry.key, &error),
            }
        }
        for (id, record) in &known {
            // Its own row may be deleted already; then the rest follows.
            if record.state.is_final() {
                self.scheduler.restore_finished(&JobId::new(id), now);
            }
        }
        let mut cancelled = Vec::new();
        for entry in stored {
            match row::read_job_key(&entry.key) {
                Some(JobKey::Job(id)) => match (record::read_job(entry), known.get(id.as_str())) {
                    (Some(record), Some(progress)) => {
                        self.scheduler.restore(&id, record, progress, now);
                    }
                    (Some(record), None) => self.scheduler.submit(&id, record),
                    (None, _) => {}
                },
                Some(JobKey::Cancel(id)) => cancelled.push(id),
                None => {}
            }
        }
        for id in cancelled {
            self.scheduler.cancel(&id, now);
        }
    }

    /// Runs until the ownership ends; returns why it ended.
    async fn run(&mut self) -> &'static str {
        let mut operators = self.parts.operators.clone();
        let mut stopping = self.parts.stopping.clone();
        let mut ticks = timer::interval(self.parts.settings.tick);
        ticks.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
        let mut last_loop = clock::boot_now();
        loop {
            tokio::select! {
                Some(answer) = self.answers.recv() => self.take_answer(answer),
                Some(AnsweredQuestion { question, answer }) = self.advice.recv() => {
                    let now = clock::boot_now();
                    self.scheduler.handle_advice_response(&question, answer.as_ref(), now);
                }
                Some(update) = self.jobs.recv() => self.take_jobs(&update),
                Some(update) = self.workers.recv() => {
                    self.take_workers(&update.rows, update.is_complete);
                }
                Some(job) = self.deleted.recv() => self.obsolete.push(job),
                Some(answer) = self.machine_answers.recv() => {
                    self.desk.answered(&mut self.scheduler, answer, clock::boot_now());
                }
                outcome = wait_stored(&mut self.pending) => {
                    if let Some(reason) = self.change_ended(outcome) {
                        return reason;
                    }
                }
                Ok(()) = operators.changed() => self.take_operators(),
                _ = ticks.tick() => self.tick(),
                _ = stopping.wait_for(|is_stopping| *is_stopping) => {
                    return self.release().await;
                }
            }
            self.take_waiting();
            let now = clock::boot_now();
            if now.saturating_since(last_loop) > self.parts.settings.pause_limit {
                self.notice_pause(now, last_loop);
            }
            last_loop = now;
            if self.scheduler.is_fenced() || self.desk.is_fenced() {
                return "a newer owner has given orders";
            }
            self.decide(now);
        }
    }

    /// Takes in all that has arrived beside what woke the session.
    fn take_waiting(&mut self) {
        while let Ok(answer) = self.answers.try_recv() {
            self.take_answer(answer);
        }
        while let Ok(update) = self.jobs.try_recv() {
            self.take_jobs(&update);
        }
    }

    fn notice_pause(&mut self, now: BootTime, last_loop: BootTime) {
        let paused = now.saturating_since(last_loop);
        log_job_event!(warn, event::PAUSE_NOTICED, millis = paused.as_millis());
        self.must_confirm = true;
    }

    fn decide(&mut self, now: BootTime) {
        self.scheduler.place_tasks(now, clock::wall_now());
        for question in self.scheduler.take_advice_requests() {
            // The task that asks lives as long as the session.
            let _ = self.questions.send(question);
        }
        self.begin_change(now);
        self.log_notes();
        let unconfirmed = now.saturating_since(self.confirmed_at);
        self.must_confirm |= unconfirmed > self.parts.settings.order_limit;
        let orders = self.scheduler.take_orders();
        if self.must_confirm {
            self.held_orders.extend(orders);
            return;
        }
        for order in orders {
            self.parts.metrics.count_order(order.action.kind());
            self.lanes.send(order);
        }
    }

    fn tick(&mut self) {
        let now = clock::boot_now();
        self.scheduler.tick(now);
        self.clean_up(now);
        self.desk.tick(self.parts, &mut self.scheduler, now);
    }

    /// Begins to store what has changed, or renews the lease.
    fn begin_change(&mut self, now: BootTime) {
        if self.pending.is_some() {
            return;
        }
        let settings = &self.parts.settings;
        let is_due = now.saturating_since(self.renewed_at) >= settings.renewal;
        let has_changes = self.scheduler.has_changes() || self.desk.has_rows();
        if !has_changes && !is_due && !self.must_confirm {
            return;
        }
        let changes = self.scheduler.take_changes();
        let mut extra = self.take_extra();
        extra.written.extend(self.grown_offer.take());
        let board = self.next_board(now);
        extra
            .written
            .extend(board.as_ref().and_then(record::board_row));
        self.send_change(changes, &extra, board, now);
    }

    /// Takes the rows to write and delete beside the progress of jobs.
    fn take_extra(&mut self) -> ExtraRows {
        let count = self.obsolete.len().min(cleanup::ROWS_PER_CHANGE);
        let obsolete: Vec<JobId> = self.obsolete.drain(..count).collect();
        for job in &obsolete {
            self.scheduler.remove_expired(job);
        }
        ExtraRows {
            written: self.desk.take_rows(),
            deleted: cleanup::progress_keys(&obsolete),
        }
    }

    /// Begins to delete the rows of jobs that finished long ago.
    fn clean_up(&mut self, now: BootTime) {
        if now.saturating_since(self.cleanup_at) < self.parts.settings.cleanup_interval {
            return;
        }
        self.cleanup_at = now;
        self.compare_offer();
        let expired = self.scheduler.take_expired(cleanup::JOBS_PER_ROUND, now);
        if !expired.is_empty() {
            cleanup::start(&self.parts.client, expired, &self.deleted_sender);
        }
    }

    fn send_change(
        &mut self,
        changes: ChangeSet,
        extra: &ExtraRows,
        board: Option<PendingBoard>,
        now: BootTime,
    ) {
        let (transaction, record) = match change::transaction(&self.lease, &changes, extra, false) {
            Ok(parts) => parts,
            Err(error) => {
                log_job_event!(error, event::CHANGE_DELAYED, error = error);
                return;
            }
        };
        let (mut sender, outcome) = oneshot::channel();
        let client = self.parts.client.clone();
        let limits = StoreLimits {
            attempt: self.parts.settings.attempt_limit,
            give_up: self.parts.settings.give_up,
        };
        tokio::task::spawn_local(async move {
            let stored = tokio::select! {
                stored = change::store(&client, &transaction, &record, limits) => stored,
                () = sender.closed() => return,
            };
            // The session may have ended in the meantime.
            let _ = sender.send(stored);
        });
        self.renewed_at = now;
        self.pending = Some(PendingChange {
            changes,
            board,
            outcome,
        });
    }

    /// Takes in how a change ended; returns why the ownership is over, if it is.
    fn change_ended(&mut self, outcome: ChangeOutcome) -> Option<&'static str> {
        let pending = self.pending.take()?;
        match outcome {
            ChangeOutcome::Lost(reason) => return Some(reason),
            ChangeOutcome::Stored(lease) => self.lease = lease,
        }
        let now = clock::boot_now();
        let metrics = &self.parts.metrics;
        metrics.count_change(now.saturating_since(self.renewed_at));
        metrics.show_jobs(self.scheduler.job_count());
        if let Some(board) = pending.board {
            self.board = board;
        }
        self.confirmed_at = self.renewed_at;
        self.must_confirm = false;
        for order in std::mem::take(&mut self.held_orders) {
            self.lanes.send(order);
        }
        self.scheduler.changes_stored(&pending.changes, now);
        None
    }

    /// Has the row of what workers offer stored, if they offer more than before.
    fn compare_offer(&mut self) {
        let mut offer = self.offer.clone();
        self.scheduler.add_fleet_capacity(&mut offer);
        self.desk.add_offers(&mut offer);
        if offer != self.offer {
            self.grown_offer = record::offer_row(&offer);
            self.offer = offer;
        }
    }

    /// Returns the counts to store, if they changed and it is time.
    fn next_board(&mut self, now: BootTime) -> Option<PendingBoard> {
        if now.saturating_since(self.board_at) < self.parts.settings.board_interval {
            return None;
        }
        let board = PendingBoard {
            pending: self.scheduler.pending_counts(),
        };
        if board == self.board {
            return None;
        }
        self.board_at = now;
        Some(board)
    }

    fn take_operators(&mut self) {
        let view = self.parts.operators.borrow().clone();
        if let Some(manifest) = &view.manifest {
            self.scheduler.set_manifest(manifest.clone());
        }
        self.desk.add_waves(&view, &self.waves, clock::boot_now());
    }

    fn take_jobs(&mut self, update: &TableUpdate) {
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

    fn take_workers(&mut self, rows: &[TableRow], is_complete: bool) {
        let now = clock::boot_now();
        let mut views: Vec<WorkerView> = Vec::new();
        for entry in rows {
            if entry.value.is_none() {
                let id = self.parts.codec.worker_id(&entry.key);
                self.scheduler.worker_unlisted(&id);
                continue;
            }
            match self.parts.codec.worker(entry) {
                Ok(view) => views.push(view),
                Err(error) => {
                    follow::log_malformed(&entry.key, &error);
                    let id = self.parts.codec.worker_id(&entry.key);
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

    fn take_answer(&mut self, answered: AnsweredOrder) {
        let now = clock::boot_now();
        let AnsweredOrder { order, reply } = answered;
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
            (OrderAction::Start { task, run, .. }, WorkerReply::Order(answer)) => {
                self.scheduler
                    .handle_start_response(worker, task, *run, &answer, now);
            }
            (OrderAction::Stop { task, run }, WorkerReply::Order(answer)) => {
                self.scheduler
                    .handle_stop_response(worker, task, *run, &answer, now);
            }
            (_, reply) => note::log_unexpected(&order, &reply),
        }
    }

    fn log_notes(&mut self) {
        for note in self.scheduler.take_events() {
            note::log_note(&note);
            note::count_note(&self.parts.metrics, &note);
        }
    }

    /// Gives the ownership up so that another process can have it at once.
    async fn release(&mut self) -> &'static str {
        if let Some(pending) = &mut self.pending {
            // An outcome that is lost with its sender counts as lost.
            let outcome = (&mut pending.outcome).await;
            let outcome = outcome.unwrap_or(ChangeOutcome::Lost("a change was lost"));
            if let Some(reason) = self.change_ended(outcome) {
                return reason;
            }
        }
        for order in self.scheduler.take_orders() {
            self.lanes.send(order);
        }
        let changes = self.scheduler.take_changes();
        let extra = self.take_extra();
        match change::transaction(&self.lease, &changes, &extra, true) {
            Ok((transaction, record)) => {
                let limits = StoreLimits {
                    attempt: self.parts.settings.attempt_limit,
                    give_up: self.parts.settings.lease,
                };
                change::store(&self.parts.client, &transaction, &record, limits).await;
                "the process stops"
            }
            Err(error) => {
                log_job_event!(error, event::CHANGE_DELAYED, error = error);
                "the process stops without having released the row"
            }
        }
    }
}

/// Waits for the change that is being stored; for ever if there is none.
async fn wait_stored(pending: &mut Option<PendingChange>) -> ChangeOutcome {
    match pending {
        Some(pending) => {
            let outcome = (&mut pending.outcome).await;
            outcome.unwrap_or(ChangeOutcome::Lost("a change was lost"))
        }
        None => std::future::pending().await,
    }
}
