//! Changes that a session stores.
//!
//! Load pattern: after an absence of the table, far more to store than one change
//! holds. A change is filled in the order of [`ChangePurpose::parts`] up to the limits of
//! the table; what does not fit waits for the next one.

use std::mem;

use redwing_jobs::change_order::{ChangePart, ChangePurpose};
use redwing_jobs::scheduler::{ChangeSet, ProgressRow, RowFit, WorkKind};
use redwing_jobs::{BootTime, JobId};
use redwing_provider::builder::{FillBudget, UnitFit};
use redwing_provider::{TableTransaction, TransactionSize};
use tokio::sync::oneshot;

use crate::clock;
use crate::error::Result;
use crate::event;
use crate::log_job_event;
use crate::owner::change::{
    self, ChangeFill, ChangeOutcome, ChangeUnit, OwnershipState, StoreTimeouts,
};
use crate::owner::cleanup;
use crate::owner::election::OwnerLease;
use crate::owner::evacuation_board::StatusUpdate;
use crate::owner::late_leases;
use crate::owner::record;
use crate::row::{self, CountConfirmation, EncodedRow, PendingCounts, WaitRecord};

use super::{OwnerSession, PendingChange};

/// Maximum number of progress rows that are left for the change that releases the
/// ownership; the workers list to the next owner what is not stored with it.
const MAX_RELEASE_ROWS: usize = 60;

/// What a change stores, until it is stored or refused.
#[derive(Debug, Default)]
pub(super) struct ChangeContents {
    pub(super) changes: ChangeSet,
    units: Vec<ChangeUnit>,
    /// Whether the change only renews the ownership, between others that the table
    /// refuses.
    is_bare: bool,
    size: TransactionSize,
    /// Pending counts that the change writes.
    pending_counts: Option<PendingCounts>,
    /// Waits that the change writes.
    waits: Option<WaitRecord>,
    /// Row of the fleet capacity that the change writes.
    capacity_row: Option<EncodedRow>,
    /// Rows of evacuations that the change writes.
    evacuations: Vec<StatusUpdate>,
    /// Jobs whose progress rows the change deletes.
    obsolete_jobs: Vec<JobId>,
}

impl ChangeContents {
    /// Returns whether all that the change stores are rows for the callers, which tells
    /// nothing of others that were refused.
    fn has_only_boards(&self) -> bool {
        let mut units = self.units.iter();
        !self.units.is_empty() && units.all(|unit| matches!(unit, ChangeUnit::Board(_)))
    }
}

/// Pending counts for a change.
#[derive(Debug)]
struct CountUpdate {
    /// Counts to store, if the stored ones are to be replaced.
    row: Option<PendingCounts>,
    /// What the change confirms.
    confirmed: Option<CountConfirmation>,
}

impl OwnerSession<'_> {
    /// Starts to store the changes of the scheduler, or renews the lease.
    pub(super) fn start_change(&mut self, now: BootTime) {
        if self.pending_change.is_some() || now < self.refused_until {
            return;
        }
        let settings = &self.dependencies.settings;
        let is_due = now.saturating_since(self.renewed_at) >= settings.renewal_interval;
        let has_changes = self.scheduler.has_changes() || self.machines.has_rows();
        if !has_changes && !is_due && self.unconfirmed_since.is_none() {
            return;
        }
        match self.fill_change(ChangePurpose::Continue, false, now) {
            Ok((fill, contents)) => self.send_change(fill, contents, now),
            Err(error) => log_job_event!(error, event::CHANGE_DELAYED, error = error),
        }
    }

    /// Fills a change with the parts for its purpose, as far as they fit.
    fn fill_change(
        &mut self,
        purpose: ChangePurpose,
        released: bool,
        now: BootTime,
    ) -> Result<(ChangeFill, ChangeContents)> {
        self.change_number += 1;
        let is_bare = mem::take(&mut self.is_renewal_next);
        let budget = if is_bare {
            FillBudget::NONE
        } else {
            self.fill_budget
        };
        let counts = self.count_pending(is_bare, now);
        let state = OwnershipState {
            confirmed_counts: counts.confirmed,
            ..self.ownership_state(released, now)
        };
        let mut fill = ChangeFill::new(
            &self.lease,
            self.change_number,
            state,
            self.dependencies.client.limits(),
            budget,
        )?;
        let mut contents = ChangeContents {
            is_bare,
            changes: self.scheduler.begin_changes(now),
            pending_counts: counts.row,
            ..ChangeContents::default()
        };
        for part in purpose.parts() {
            match part {
                ChangePart::LeaseEnds => self.add_lease_ends(&mut fill, &contents.changes, now),
                ChangePart::Waves => self.machines.add_rows(&mut fill),
                ChangePart::Boards => self.add_boards(&mut fill, &mut contents, now),
                ChangePart::Work(kind) => {
                    self.add_progress(&mut fill, &mut contents, kind, now);
                }
                ChangePart::ObsoleteJobs => self.add_obsolete(&mut fill, &mut contents),
            }
        }
        contents.units = fill.units.clone();
        contents.size = fill.size();
        Ok((fill, contents))
    }

    /// Adds the row of the ends of leases, if there are new ones.
    fn add_lease_ends(&mut self, fill: &mut ChangeFill, changes: &ChangeSet, now: BootTime) {
        let Some(ends) = changes.lease_ends.as_ref() else {
            return;
        };
        let row = record::lease_row(self.lease.record.fencing_token, ends, now);
        let fit = row.map(|row| fill.add_row(ChangeUnit::LeaseEnds, &row));
        match fit {
            Some(UnitFit::Added) => {}
            Some(UnitFit::Full) => self.scheduler.leases_refused(),
            Some(UnitFit::TooLarge(_)) | None => self.scheduler.set_leases_aside(),
        }
    }

    /// Adds the rows for the callers that are due; one that does not fit is published
    /// anew later.
    fn add_boards(&mut self, fill: &mut ChangeFill, contents: &mut ChangeContents, now: BootTime) {
        if let Some(row) = self.grown_capacity_row.take() {
            match fill.add_board(&row) {
                UnitFit::Added => contents.capacity_row = Some(row),
                UnitFit::Full => self.grown_capacity_row = Some(row),
                UnitFit::TooLarge(_) => {}
            }
        }
        if !self.scheduler.is_restoring() {
            let progress = self.scheduler.evacuation_progress();
            contents.evacuations = self.evacuation_board.add_to(fill, progress);
        }
        if let Some(row) = self.next_backlog_row(now) {
            let fit = fill.add_board(&row);
            self.has_published_backlog |= fit != UnitFit::Added;
        }
        if let Some(counts) = contents.pending_counts.take()
            && let Some(row) = record::pending_counts_row(&counts)
            && fill.add_board(&row) == UnitFit::Added
        {
            contents.pending_counts = Some(counts);
        }
        if let Some(waits) = self.next_waits(fill.record.released, now)
            && let Some(row) = record::wait_row(&waits)
            && fill.add_board(&row) == UnitFit::Added
        {
            contents.waits = Some(waits);
        }
    }

    fn add_progress(
        &mut self,
        fill: &mut ChangeFill,
        contents: &mut ChangeContents,
        kind: WorkKind,
        now: BootTime,
    ) {
        let mut add = |progress: &ProgressRow| {
            let key = row::progress_key(&progress.job);
            let value = match row::write(&key, &progress.progress) {
                Ok(value) => value,
                Err(error) => {
                    log_job_event!(error, event::ROW_MALFORMED, error = error);
                    return RowFit::TooLarge;
                }
            };
            let unit = ChangeUnit::Progress(progress.job.clone());
            match fill.add_row(unit, &EncodedRow { key, value }) {
                UnitFit::Added => RowFit::Added,
                UnitFit::Full => RowFit::Full,
                UnitFit::TooLarge(_) => RowFit::TooLarge,
            }
        };
        self.scheduler
            .add_changes(&mut contents.changes, kind, now, &mut add);
    }

    fn add_obsolete(&mut self, fill: &mut ChangeFill, contents: &mut ChangeContents) {
        while contents.obsolete_jobs.len() < cleanup::ROWS_PER_CHANGE {
            let Some(job) = self.obsolete_jobs.pop_front() else {
                return;
            };
            let rows = TableTransaction::default().delete(row::progress_key(&job));
            match fill.add(ChangeUnit::Obsolete(job.clone()), &rows) {
                UnitFit::Added => contents.obsolete_jobs.push(job),
                UnitFit::Full => {
                    self.obsolete_jobs.push_front(job);
                    return;
                }
                UnitFit::TooLarge(_) => {}
            }
        }
    }

    /// Stores what work has run or ended, then releases the ownership so that another
    /// process can acquire it at once. Runs that were to be started are left to it.
    pub(super) async fn store_release(&mut self) -> &'static str {
        let timeouts = StoreTimeouts {
            attempt: self.dependencies.settings.attempt_timeout,
            give_up_after: self.dependencies.settings.lease,
        };
        let started = clock::boot_now();
        loop {
            let now = clock::boot_now();
            let is_late = now.saturating_since(started) >= timeouts.give_up_after;
            let has_more = self.scheduler.running_change_count() > MAX_RELEASE_ROWS;
            let released = is_late || !has_more;
            // Each of these changes renews the ownership, or ends it.
            self.is_renewal_next = false;
            let prepared = self.fill_change(ChangePurpose::Release, released, now);
            let (fill, contents) = match prepared {
                Ok(prepared) => prepared,
                Err(error) => {
                    log_job_event!(error, event::CHANGE_DELAYED, error = error);
                    return "the process stops without having released the ownership";
                }
            };
            self.renewed_at = now;
            let record = fill.record.clone();
            let transaction = fill.into_transaction();
            let client = &self.dependencies.client;
            match change::store(client, &transaction, &record, timeouts).await {
                ChangeOutcome::Stored(lease) => self.apply_stored(lease, contents, now),
                ChangeOutcome::Lost(reason) => return reason,
                ChangeOutcome::Refused(_) if is_late || contents.units.is_empty() => {
                    return "the process stops without having released the ownership";
                }
                ChangeOutcome::Refused(error) => {
                    self.apply_refused(contents, &error, now);
                    continue;
                }
            }
            if released {
                return "the process stops";
            }
        }
    }

    /// Starts to delete the rows of jobs that finished long ago.
    pub(super) fn start_cleanup(&mut self, now: BootTime) {
        if now.saturating_since(self.cleanup_started_at)
            < self.dependencies.settings.cleanup_interval
        {
            return;
        }
        self.cleanup_started_at = now;
        self.update_fleet_capacity();
        let retention = self.dependencies.settings.scheduler.retention;
        let withdrawals =
            self.withdrawal_rows
                .take_expired(cleanup::JOBS_PER_ROUND, retention, now);
        if !withdrawals.is_empty() {
            cleanup::delete_withdrawals(&self.dependencies.client, withdrawals);
        }
        let expired_jobs = self.scheduler.take_expired(cleanup::JOBS_PER_ROUND, now);
        if !expired_jobs.is_empty() {
            cleanup::start(
                &self.dependencies.client,
                expired_jobs,
                &self.deleted_sender,
            );
        }
    }

    fn send_change(&mut self, fill: ChangeFill, contents: ChangeContents, now: BootTime) {
        let record = fill.record.clone();
        let transaction = fill.into_transaction();
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
        self.pending_change = Some(PendingChange { contents, outcome });
    }

    /// Returns the state of the ownership for a change that is sent now.
    fn ownership_state(&self, released: bool, now: BootTime) -> OwnershipState {
        let (late_leases, unconfirmed) = if self.restoring.awaits_fleet() {
            // The scheduler does not know them yet.
            (
                self.inherited_late.clone(),
                self.inherited_unconfirmed.clone(),
            )
        } else {
            let late_leases = self.scheduler.late_leases(now);
            (late_leases, self.scheduler.unconfirmed_leases(now))
        };
        OwnershipState {
            released,
            inherited: self.inherited_until.saturating_since(now),
            late_leases: late_leases::remaining(&late_leases, now),
            unconfirmed: late_leases::remaining(&unconfirmed, now),
            carried: self
                .scheduler
                .is_restoring()
                .then(|| self.inherited_rows.carried(now)),
            confirmed_counts: self.lease.record.confirmed_counts,
        }
    }

    /// Applies the outcome of a change; returns the reason if the ownership is
    /// lost.
    pub(super) fn handle_change_outcome(&mut self, outcome: ChangeOutcome) -> Option<&'static str> {
        let pending = self.pending_change.take()?;
        let now = clock::boot_now();
        match outcome {
            ChangeOutcome::Lost(reason) => Some(reason),
            ChangeOutcome::Stored(lease) => {
                self.apply_stored(lease, pending.contents, now);
                None
            }
            ChangeOutcome::Refused(error) => {
                self.apply_refused(pending.contents, &error, now);
                let unconfirmed = now.saturating_since(self.confirmed_at);
                let is_past_limit = unconfirmed > self.dependencies.settings.give_up_after;
                is_past_limit.then_some("no change could be stored within the time limit")
            }
        }
    }

    fn apply_stored(&mut self, lease: OwnerLease, contents: ChangeContents, now: BootTime) {
        self.lease = lease;
        let metrics = &self.dependencies.metrics;
        metrics.count_change(now.saturating_since(self.renewed_at));
        metrics.set_open_jobs(self.scheduler.job_count());
        if !contents.is_bare && !contents.has_only_boards() {
            self.fill_budget.stored();
        }
        if let Some((unit, size)) = self.suspect.take() {
            // The change was stored without it.
            change::log_set_aside(&unit, &size);
            self.set_aside(&unit);
        }
        if let Some(pending_counts) = contents.pending_counts {
            self.pending_counts = pending_counts;
        }
        if let Some(waits) = contents.waits {
            self.stored_waits = waits;
        }
        self.evacuation_board.stored(contents.evacuations);
        for job in &contents.obsolete_jobs {
            self.scheduler.remove_expired(job);
        }
        self.confirmed_at = self.renewed_at;
        let sent_at = self.renewed_at;
        self.unconfirmed_since.take_if(|since| *since <= sent_at);
        self.machines.rows_stored();
        self.scheduler.changes_stored(&contents.changes, now);
        self.log_events();
    }

    /// Queues the contents of a refused change again, for smaller changes. If it had
    /// one unit, the next change has none: so it shows whether the unit is the cause.
    fn apply_refused(&mut self, contents: ChangeContents, error: &str, now: BootTime) {
        log_job_event!(
            error,
            event::CHANGE_REFUSED,
            entries = contents.size.entries,
            bytes = contents.size.bytes,
            largest_row = contents.size.largest_row,
            error = error,
        );
        let renewal_interval = self.dependencies.settings.renewal_interval;
        self.fill_budget.refused(contents.units.len());
        match contents.units.as_slice() {
            [unit] => self.suspect = Some((unit.clone(), contents.size)),
            // The table does not take the owner row: more attempts follow at the
            // interval of renewals. A unit that was refused before need not be the cause.
            [] => {
                self.suspect = None;
                self.refused_until = now + renewal_interval;
            }
            // Halving may take longer than the ownership lasts without a change.
            _ => {
                let unconfirmed = now.saturating_since(self.confirmed_at);
                self.is_renewal_next = unconfirmed >= renewal_interval;
            }
        }
        self.scheduler.changes_refused(&contents.changes);
        self.machines.rows_refused();
        if self.grown_capacity_row.is_none() {
            self.grown_capacity_row = contents.capacity_row;
        }
        self.has_published_backlog = true;
        for job in contents.obsolete_jobs.into_iter().rev() {
            self.obsolete_jobs.push_front(job);
        }
    }

    /// Leaves a unit out of the changes until its content changes.
    fn set_aside(&mut self, unit: &ChangeUnit) {
        match unit {
            ChangeUnit::LeaseEnds => self.scheduler.set_leases_aside(),
            ChangeUnit::Wave(wave) => self.machines.set_wave_aside(*wave),
            ChangeUnit::Board(key) => {
                self.grown_capacity_row = None;
                let progress = self.scheduler.evacuation_progress();
                self.evacuation_board.set_aside(key, progress);
            }
            ChangeUnit::Progress(job) => self.scheduler.set_row_aside(job),
            // The next owner finds it again.
            ChangeUnit::Obsolete(job) => self.obsolete_jobs.retain(|other| other != job),
        }
    }

    /// Prepares the row of the fleet capacity to be stored, if it has grown.
    pub(super) fn update_fleet_capacity(&mut self) {
        let mut fleet_capacity = self.fleet_capacity.clone();
        self.scheduler.add_fleet_capacity(&mut fleet_capacity);
        self.machines.add_capacity(&mut fleet_capacity);
        if fleet_capacity != self.fleet_capacity {
            self.grown_capacity_row = record::fleet_capacity_row(&fleet_capacity);
            self.fleet_capacity = fleet_capacity;
        }
    }

    /// Returns the row of the backlogs, if `backlog_interval` has elapsed and a pool has
    /// a backlog, or had one at the latest publication.
    fn next_backlog_row(&mut self, now: BootTime) -> Option<EncodedRow> {
        if !self.dependencies.settings.publishes_backlogs || !self.has_followed_jobs {
            return None;
        }
        let interval = self.dependencies.settings.backlog_interval;
        if now.saturating_since(self.backlog_counted_at) < interval {
            return None;
        }
        self.backlog_counted_at = now;
        let manifest = self.dependencies.operators.borrow().manifest.clone()?;
        let standby = self.machines.standby_cpu_millis(&manifest);
        let summary = self
            .scheduler
            .backlog_summary(standby, now, clock::wall_now())?;
        let has_backlog = !summary.pools.is_empty();
        let is_needed = has_backlog || self.has_published_backlog;
        self.has_published_backlog = has_backlog;
        is_needed.then(|| record::backlog_row(&summary)).flatten()
    }

    /// Returns the waits to store, if they differ from those stored and
    /// `wait_record_interval` has elapsed or the ownership is `released`.
    fn next_waits(&mut self, released: bool, now: BootTime) -> Option<WaitRecord> {
        if self.scheduler.is_restoring() {
            return None;
        }
        let interval = self.dependencies.settings.scheduler.wait_record_interval;
        let is_recent = now.saturating_since(self.waits_counted_at) < interval;
        if is_recent && !released {
            return None;
        }
        self.waits_counted_at = now;
        let waits = WaitRecord {
            fencing_token: self.lease.record.fencing_token,
            moves: self.machines.move_waits(now),
            health: self.scheduler.fleet_health(now),
            advice: self.scheduler.stored_advice(now),
        };
        let is_stored = waits == self.stored_waits;
        let is_empty = waits.is_empty() && self.stored_waits.is_empty();
        (!is_stored && !is_empty).then_some(waits)
    }

    /// Counts the pending jobs for the next change. The counts are to be stored if they
    /// differ from those stored and `pending_interval` has elapsed; until then the
    /// stored ones are as old as they were.
    fn count_pending(&mut self, is_bare: bool, now: BootTime) -> CountUpdate {
        let stored = CountUpdate {
            row: None,
            confirmed: self.lease.record.confirmed_counts,
        };
        if !self.has_followed_jobs {
            // Jobs that were accepted while the rows were read are not counted yet.
            return stored;
        }
        let interval = self.dependencies.settings.pending_interval;
        if now.saturating_since(self.counts_sent_at) < interval {
            return stored;
        }
        let Some(pending) = self.scheduler.pending_counts() else {
            return stored;
        };
        let is_own = self.pending_counts.fencing_token == Some(self.lease.record.fencing_token);
        if is_own && pending == self.pending_counts.pending {
            return CountUpdate {
                row: None,
                confirmed: self.confirmation(self.pending_counts.change),
            };
        }
        if is_bare {
            return stored;
        }
        self.counts_sent_at = now;
        let change = self.followed_ms.map(|_| self.change_number);
        CountUpdate {
            confirmed: self.confirmation(change),
            row: Some(PendingCounts {
                fencing_token: Some(self.lease.record.fencing_token),
                change,
                pending,
            }),
        }
    }

    /// Returns the confirmation of counts that `change` writes, as of the latest rows of
    /// jobs.
    fn confirmation(&self, change: Option<u64>) -> Option<CountConfirmation> {
        let (change, table_ms) = change.zip(self.followed_ms)?;
        Some(CountConfirmation { change, table_ms })
    }
}
