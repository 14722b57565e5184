//! Rows that a session reads: jobs, workers, the manifest and waves.

use std::collections::{BTreeSet, HashMap};
use std::mem;
use std::time;

use redwing_jobs::record::ProgressRecord;
use redwing_jobs::scheduler::InheritedLeases;
use redwing_jobs::worker::{WorkerOrder, WorkerView};
use redwing_jobs::{JobId, WorkerId};
use redwing_provider::{CallCause, RowKey, TableRow};

use crate::clock;
use crate::error::{Error, Result};
use crate::event;
use crate::follow::{self, TableUpdate};
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::owner::record::{self, StoredLeases, StoredWaits};
use crate::row::{self, JobKey};

use super::OwnerSession;
use super::restore::{FleetRows, JobRows, RestoreStage};

/// Maximum time that the table waits for a change of job rows; shorter than
/// [`follow::WATCH_TIMEOUT`], because pending counts are as old as the latest response.
const JOB_WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Longest time by which the clock of a worker may be ahead of ours.
const MAX_CLOCK_LEAD: time::Duration = time::Duration::from_secs(24 * 60 * 60);

impl OwnerSession<'_> {
    /// Starts to renew the leases of workers and to read the rows of jobs.
    pub(super) fn restore_fleet(&mut self, rows: &FleetRows) {
        let inherited = self.inherited_rows;
        let stored = record::read_lease_ends(&rows.owner.rows, &inherited);
        self.log_inherited(&stored);
        self.scheduler.inherit_leases(InheritedLeases {
            until: self.inherited_until,
            workers: stored.ends,
            late: mem::take(&mut self.inherited_late),
            unconfirmed: mem::take(&mut self.inherited_unconfirmed),
            orders_until: self.earlier_orders_until,
        });
        self.scheduler.inherit_waits(inherited.progress_stored_by());
        self.inherited_waits = record::read_waits(&rows.owner.rows, &inherited);
        if let Some(view) = &rows.evacuations {
            self.evacuation_board.restore(&view.rows);
        }
        self.waves = record::read_waves(&rows.maintenance.rows, inherited.all_stored_by());
        let client = &self.dependencies.client;
        self.worker_updates = Some(follow::follow(
            client,
            CallCause::Membership,
            self.dependencies.codec.worker_prefix(),
            Some(rows.workers.cursor),
            follow::WATCH_TIMEOUT,
        ));
        self.restoring = RestoreStage::read_jobs(self.dependencies);
        self.apply_operator_view();
        self.apply_worker_rows(&rows.workers.rows, true);
    }

    fn log_inherited(&self, stored: &StoredLeases) {
        let now = clock::boot_now();
        let remaining = self.inherited_until.saturating_since(now);
        let late = &self.inherited_late;
        let unconfirmed = &self.inherited_unconfirmed;
        log_job_event!(
            info,
            event::LEASES_INHERITED,
            fence = self.lease.record.fencing_token,
            row_fence = stored.fencing_token,
            workers = stored.ends.len(),
            millis = remaining.as_millis(),
            late_workers = late.workers.len(),
            late_millis = late.until.saturating_since(now).as_millis(),
            unconfirmed_workers = unconfirmed.workers.len(),
            unconfirmed_millis = unconfirmed.until.saturating_since(now).as_millis(),
        );
    }

    /// Restores the jobs of earlier owners and starts to schedule and to follow changes.
    pub(super) fn finish_restoring(&mut self, rows: &JobRows) {
        // The manifest may have come with the rows.
        self.apply_operator_view();
        self.restore_jobs(&rows.jobs.rows, &rows.progress.rows);
        let waits = std::mem::take(&mut self.inherited_waits);
        self.restore_waits(waits);
        self.scheduler.finish_restoring(clock::boot_now());
        self.restoring = RestoreStage::Done;
        self.job_updates = Some(follow::follow(
            &self.dependencies.client,
            CallCause::Job,
            row::JOB_PREFIX,
            Some(rows.jobs.cursor),
            JOB_WATCH_TIMEOUT,
        ));
    }

    fn restore_jobs(&mut self, job_rows: &[TableRow], progress_rows: &[TableRow]) {
        let now = clock::boot_now();
        let mut progress_by_id: HashMap<&str, ProgressRecord> = HashMap::new();
        for entry in progress_rows {
            let Some(id) = entry.key.as_str().strip_prefix(row::PROGRESS_PREFIX) else {
                continue;
            };
            if let Some(record) = record::read_or_log(entry) {
                progress_by_id.insert(id, record);
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
                Some(JobKey::Withdrawal(_)) => self.withdrawal_rows.add(entry.key.clone(), now),
                None => {}
            }
        }
        for id in cancelled {
            self.scheduler.cancel(&id, now);
        }
    }

    /// Continues the waits of earlier owners.
    fn restore_waits(&mut self, waits: StoredWaits) {
        let StoredWaits {
            record: waits,
            stored_by,
        } = waits;
        self.stored_waits = waits.clone();
        self.scheduler.restore_health(&waits.health, stored_by);
        self.scheduler.restore_advice(&waits.advice, stored_by);
        self.machines
            .restore_waits(&mut self.scheduler, waits.moves, stored_by);
    }

    pub(super) fn apply_operator_view(&mut self) {
        let view = self.dependencies.operators.borrow().clone();
        if let Some(manifest) = &view.manifest {
            self.scheduler.set_manifest(manifest.clone());
        }
        self.apply_evacuations(&view);
        if self.restoring.awaits_fleet() {
            // The records of earlier owners are not read yet.
            return;
        }
        self.machines
            .add_waves(&view, &self.waves, clock::boot_now());
    }

    /// Applies the evacuations of the operators. Orders that are not sent are taken back.
    fn apply_evacuations(&mut self, view: &OperatorView) {
        if !view.is_read() {
            return;
        }
        let now = clock::boot_now();
        self.scheduler.confirm_evacuations(view.confirmed_at);
        self.scheduler.set_evacuations(&view.evacuations, now);
        self.machines.set_evacuations(&mut self.scheduler, view);
        let orders = mem::take(&mut self.deferred_orders).into_iter();
        let (withdrawn, kept) = orders.partition(|order| self.scheduler.is_withdrawn(order));
        self.deferred_orders = kept;
        let withdrawn: Vec<WorkerOrder> = withdrawn;
        for order in &withdrawn {
            self.scheduler.take_back(order, now);
        }
    }

    pub(super) fn apply_job_rows(&mut self, update: &TableUpdate) {
        self.has_followed_jobs = true;
        self.followed_ms = update.table_ms;
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
                Some(JobKey::Withdrawal(_)) if entry.value.is_some() => {
                    self.withdrawal_rows.add(entry.key.clone(), now);
                }
                _ => {}
            }
        }
        for id in cancelled {
            self.scheduler.cancel(&id, now);
        }
    }

    pub(super) fn apply_worker_rows(&mut self, rows: &[TableRow], is_complete: bool) {
        let now = clock::boot_now();
        let mut views: Vec<WorkerView> = Vec::new();
        let mut refused: Vec<WorkerId> = Vec::new();
        for entry in rows {
            let id = self.dependencies.codec.worker_id(&entry.key);
            if entry.value.is_none() {
                self.refused_entries.remove(&id);
                self.scheduler.worker_unlisted(&id, now);
                continue;
            }
            match self.read_worker(entry) {
                Ok(view) => {
                    self.refused_entries.remove(&id);
                    views.push(view);
                }
                Err(error) => {
                    self.log_refused(&id, &entry.key, error.to_string());
                    refused.push(id);
                }
            }
        }
        if is_complete {
            let listed: BTreeSet<&WorkerId> = refused.iter().collect();
            self.refused_entries.retain(|id, _| listed.contains(id));
            self.scheduler.workers_listed(views, &refused, now);
            return;
        }
        for id in &refused {
            self.scheduler.worker_refused(id);
        }
        for view in views {
            self.scheduler.worker_listed(view, now);
        }
    }

    /// Decodes the entry of a worker; one that starts far in the future is refused, because
    /// it would hide all later entries of the worker.
    fn read_worker(&self, entry: &TableRow) -> Result<WorkerView> {
        let view = self.dependencies.codec.worker(entry)?;
        let latest_ms = clock::wall_now().as_millis() + MAX_CLOCK_LEAD.as_millis() as u64;
        if view.incarnation > latest_ms {
            return Err(Error::row(&entry.key, "the worker starts in the future"));
        }
        Ok(view)
    }

    /// Logs that an entry is refused, once for each change of the reason.
    fn log_refused(&mut self, id: &WorkerId, key: &RowKey, error: String) {
        let is_known = self.refused_entries.get(id) == Some(&error);
        if !is_known {
            follow::log_malformed(key, &error);
            self.refused_entries.insert(id.clone(), error);
        }
    }
}
