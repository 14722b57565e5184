//! Changes that a session stores.

use redwing_jobs::scheduler::ChangeSet;
use redwing_jobs::{BootTime, JobId};
use tokio::sync::oneshot;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::owner::change::{self, ChangeOutcome, ExtraRows, OwnershipState, StoreTimeouts};
use crate::owner::cleanup;
use crate::owner::record;
use crate::row::{EncodedRow, PendingCounts, WaitRecord};

use super::{OwnerSession, PendingChange};

impl OwnerSession<'_> {
    /// Starts to store the changes of the scheduler, or renews the lease.
    pub(super) fn start_change(&mut self, now: BootTime) {
        if self.pending_change.is_some() {
            return;
        }
        let settings = &self.dependencies.settings;
        let is_due = now.saturating_since(self.renewed_at) >= settings.renewal_interval;
        let has_changes = self.scheduler.has_changes() || self.machines.has_rows();
        if !has_changes && !is_due && self.unconfirmed_since.is_none() {
            return;
        }
        let changes = self.scheduler.take_changes(now);
        let mut extra = self.take_extra_rows();
        extra.written.extend(self.lease_row(&changes, now));
        extra.written.extend(self.grown_capacity_row.take());
        extra.written.extend(self.next_backlog_row(now));
        extra.written.extend(self.next_wait_row(now));
        let pending_counts = self.next_pending_counts(now);
        extra
            .written
            .extend(pending_counts.as_ref().and_then(record::pending_counts_row));
        self.send_change(changes, &extra, pending_counts, now);
    }

    /// Returns the rows to write and delete besides the progress of jobs.
    pub(super) fn take_extra_rows(&mut self) -> ExtraRows {
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
    pub(super) fn start_cleanup(&mut self, now: BootTime) {
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

    pub(super) fn send_change(
        &mut self,
        changes: ChangeSet,
        extra: &ExtraRows,
        pending_counts: Option<PendingCounts>,
        now: BootTime,
    ) {
        let state = self.ownership_state(false, now);
        let (transaction, record) = match change::transaction(&self.lease, &changes, extra, state) {
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

    /// Returns the row of the ends of leases, if the change has new ones.
    pub(super) fn lease_row(&self, changes: &ChangeSet, now: BootTime) -> Option<EncodedRow> {
        let ends = changes.lease_ends.as_ref()?;
        record::lease_row(self.lease.record.fencing_token, ends, now)
    }

    /// Returns the state of the ownership for a change that is sent now.
    pub(super) fn ownership_state(&self, released: bool, now: BootTime) -> OwnershipState {
        OwnershipState {
            released,
            inherited: self.inherited_until.saturating_since(now),
        }
    }

    /// Applies the outcome of a change; returns the reason if the ownership is
    /// lost.
    pub(super) fn handle_change_outcome(&mut self, outcome: ChangeOutcome) -> Option<&'static str> {
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
        if !self.dependencies.settings.publishes_backlogs {
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

    /// Returns the row of the waits, if `wait_record_interval` has elapsed and they differ
    /// from those stored.
    fn next_wait_row(&mut self, now: BootTime) -> Option<EncodedRow> {
        let interval = self.dependencies.settings.scheduler.wait_record_interval;
        if now.saturating_since(self.waits_counted_at) < interval {
            return None;
        }
        self.waits_counted_at = now;
        self.wait_row(now)
    }

    /// Returns the row of the waits, if they differ from those stored.
    pub(super) fn wait_row(&mut self, now: BootTime) -> Option<EncodedRow> {
        let waits = WaitRecord {
            fencing_token: self.lease.record.fencing_token,
            moves: self.machines.move_waits(now),
            health: self.scheduler.fleet_health(now),
            advice: self.scheduler.stored_advice(now),
        };
        if waits == self.stored_waits || (waits.is_empty() && self.stored_waits.is_empty()) {
            return None;
        }
        let row = record::wait_row(&waits);
        self.stored_waits = waits;
        row
    }

    /// Returns the pending counts to store, if they changed and
    /// `pending_interval` has elapsed.
    pub(super) fn next_pending_counts(&mut self, now: BootTime) -> Option<PendingCounts> {
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
}
