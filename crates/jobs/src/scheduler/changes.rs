//! Rows to store, and what waits for them.
//!
//! Load pattern: far more rows than one change of the owner holds, such as after an
//! absence of the table. Rows are taken in the order in which their jobs changed, those
//! of running and ended work before those of new work, for as many as the caller has
//! room; the rest waits for the next change.
//!
//! Rows are stored in sequence: the next change is taken only after the
//! previous one was stored or refused. A run is started, and an ended run acknowledged,
//! only after the row that records it was stored.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::change_order::ChangePurpose;
use crate::name::{JobId, TaskId, WorkerId};
use crate::record::ProgressRecord;
use crate::time::BootTime;

use super::lease_ledger::LeaseEnds;
use super::starting::PendingStart;
use super::{JobScheduler, SchedulerEvent};

/// Progress of one job, to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressRow {
    /// The job.
    pub job: JobId,
    /// Progress to store.
    pub progress: ProgressRecord,
    /// Work of the job.
    pub kind: WorkKind,
}

/// Rows that are stored together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// The rows.
    pub rows: Vec<ProgressRow>,
    /// Ends of leases to store; none if the stored ones stay.
    pub lease_ends: Option<LeaseEnds>,
    starts: Vec<PendingStart>,
    /// Number of the tasks in `rows`.
    tasks: usize,
}

/// Whether a row was added to those that are stored together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowFit {
    /// It was added.
    Added,
    /// It does not fit beside the others; it waits for the next change.
    Full,
    /// It fits into no change: its job is set aside until it changes.
    TooLarge,
}

/// Work whose rows are taken together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Work that runs or has ended.
    Running,
    /// Work whose runs are to be started.
    New,
}

/// Jobs in the order in which they changed first since their rows were taken.
#[derive(Debug, Default)]
struct ChangeQueue {
    jobs: BTreeMap<i64, JobId>,
    positions: HashMap<JobId, i64>,
}

impl ChangeQueue {
    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn contains(&self, job: &JobId) -> bool {
        self.positions.contains_key(job)
    }

    fn push(&mut self, job: &JobId) {
        let last = self.jobs.last_key_value();
        let position = last.map_or(0, |(position, _)| position + 1);
        self.insert(position, job);
    }

    fn push_front(&mut self, job: &JobId) {
        let first = self.jobs.first_key_value();
        let position = first.map_or(0, |(position, _)| position - 1);
        self.insert(position, job);
    }

    fn insert(&mut self, position: i64, job: &JobId) {
        if !self.contains(job) {
            self.positions.insert(job.clone(), position);
            self.jobs.insert(position, job.clone());
        }
    }

    fn remove(&mut self, job: &JobId) {
        if let Some(position) = self.positions.remove(job) {
            self.jobs.remove(&position);
        }
    }

    fn pop(&mut self) -> Option<JobId> {
        let (_, job) = self.jobs.pop_first()?;
        self.positions.remove(&job);
        Some(job)
    }
}

/// Jobs with progress that is not stored yet: changed ones, those whose rows are being
/// stored, and those whose rows the table does not take.
#[derive(Debug, Default)]
pub(super) struct ChangeTracker {
    /// Changed jobs with work that runs or has ended.
    running: ChangeQueue,
    /// Other changed jobs, which only have runs to be started.
    starting: ChangeQueue,
    in_flight: BTreeSet<JobId>,
    /// Jobs that have not changed since their rows were refused.
    refused: BTreeSet<JobId>,
    /// Jobs whose rows are not stored before they change.
    set_aside: BTreeSet<JobId>,
}

impl ChangeTracker {
    /// Marks a job of which work has run or ended; returns whether it was set aside.
    fn mark_changed(&mut self, job: &JobId) -> bool {
        self.starting.remove(job);
        self.running.push(job);
        self.reset(job)
    }

    /// Marks a job of which runs are to be started; returns whether it was set aside.
    fn mark_starting(&mut self, job: &JobId) -> bool {
        if !self.running.contains(job) {
            self.starting.push(job);
        }
        self.reset(job)
    }

    /// Forgets that the row of a job was not taken by the table, because the job has
    /// changed; returns whether it was set aside.
    fn reset(&mut self, job: &JobId) -> bool {
        self.refused.remove(job);
        self.set_aside.remove(job)
    }

    /// Returns whether the row of a job is not stored before the job changes.
    pub(super) fn is_set_aside(&self, job: &JobId) -> bool {
        self.set_aside.contains(job)
    }

    fn has_changed(&self) -> bool {
        !self.running.is_empty() || !self.starting.is_empty()
    }

    fn queue_mut(&mut self, kind: WorkKind) -> &mut ChangeQueue {
        match kind {
            WorkKind::Running => &mut self.running,
            WorkKind::New => &mut self.starting,
        }
    }

    fn is_stored(&self, job: &JobId) -> bool {
        !self.running.contains(job)
            && !self.starting.contains(job)
            && !self.in_flight.contains(job)
            && !self.set_aside.contains(job)
    }
}

impl JobScheduler {
    /// Returns whether there is something to store: rows, or a longer lease that the next
    /// change states.
    pub fn has_changes(&self) -> bool {
        self.changes.has_changed() || self.lease_ledger.is_due() || self.has_unstored_lease
    }

    /// Returns the number of rows of running and ended work to store.
    pub fn running_change_count(&self) -> usize {
        self.changes.running.jobs.len()
    }

    /// Takes the rows to store next. The previous ones must have been stored or
    /// refused.
    pub fn take_changes(&mut self, now: BootTime) -> ChangeSet {
        let mut changes = self.begin_changes(now);
        let mut add = |_: &ProgressRow| RowFit::Added;
        for kind in ChangePurpose::Continue.work() {
            self.add_changes(&mut changes, kind, now, &mut add);
        }
        changes
    }

    /// Takes the ends of leases to store next, without any rows. The previous rows
    /// must have been stored or refused.
    pub fn begin_changes(&mut self, now: BootTime) -> ChangeSet {
        self.has_unstored_lease = false;
        ChangeSet {
            lease_ends: self.lease_ledger.take(now),
            ..ChangeSet::default()
        }
    }

    /// Takes rows of one kind of work, in the order in which their jobs changed, until
    /// `add` has no room for one.
    pub fn add_changes(
        &mut self,
        changes: &mut ChangeSet,
        kind: WorkKind,
        now: BootTime,
        add: &mut dyn FnMut(&ProgressRow) -> RowFit,
    ) {
        let limit = self.settings.max_rows_per_change;
        while changes.rows.len() < limit && changes.tasks < self.settings.max_tasks_per_change {
            let Some(id) = self.changes.queue_mut(kind).pop() else {
                return;
            };
            let Some(job) = self.jobs.get(&id) else {
                self.changes.in_flight.insert(id);
                continue;
            };
            let row = ProgressRow {
                progress: job.progress(self.stall_recording(now)),
                job: id,
                kind,
            };
            match add(&row) {
                RowFit::Added => self.add_row(changes, row),
                RowFit::TooLarge => self.set_job_aside(&row.job),
                RowFit::Full => {
                    self.changes.queue_mut(kind).push_front(&row.job);
                    return;
                }
            }
        }
    }

    fn add_row(&mut self, changes: &mut ChangeSet, row: ProgressRow) {
        if let Some(job) = self.jobs.get(&row.job) {
            changes.tasks += job.task_count();
            let reserved = job.reserved_tasks(&row.job);
            let starts = reserved.map(|(task, entry)| PendingStart {
                task,
                run: entry.run,
            });
            changes.starts.extend(starts);
        }
        self.changes.refused.remove(&row.job);
        self.changes.in_flight.insert(row.job.clone());
        changes.rows.push(row);
    }

    /// Handles that the table refused the rows taken last: all of them wait again,
    /// those of jobs that have not changed since in the same order and before others.
    pub fn changes_refused(&mut self, changes: &ChangeSet) {
        self.changes.in_flight.clear();
        if changes.lease_ends.is_some() {
            self.leases_refused();
        }
        for row in changes.rows.iter().rev() {
            let tracker = &mut self.changes;
            if tracker.running.contains(&row.job) || tracker.starting.contains(&row.job) {
                continue;
            }
            tracker.refused.insert(row.job.clone());
            tracker.queue_mut(row.kind).push_front(&row.job);
        }
    }

    /// Handles that the ends of leases taken last do not fit: they are taken again.
    pub fn leases_refused(&mut self) {
        self.lease_ledger.refused(true);
    }

    /// Leaves the ends of leases that the table refused out until they are due again.
    pub fn set_leases_aside(&mut self) {
        self.lease_ledger.refused(false);
    }

    /// Sets a job aside whose row the table refused: it is not stored before the job
    /// changes. One that has changed since stays in its queue.
    pub fn set_row_aside(&mut self, job: &JobId) {
        if self.changes.refused.remove(job) {
            self.changes.running.remove(job);
            self.changes.starting.remove(job);
            self.set_job_aside(job);
        }
    }

    /// Sets a job aside. Its runs that are not ordered yet reserve nothing any more, and
    /// no task of it is placed before it changes.
    fn set_job_aside(&mut self, id: &JobId) {
        self.changes.set_aside.insert(id.clone());
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let reserved = job.reserved_tasks(id).map(|(task, _)| task);
        let reserved: Vec<TaskId> = reserved.collect();
        for task in &reserved {
            self.free_task(task);
        }
        self.refresh_waiting(id);
    }

    /// Marks a job of which work has run or ended.
    pub(super) fn mark_changed(&mut self, id: &JobId) {
        if self.changes.mark_changed(id) {
            self.refresh_waiting(id);
        }
    }

    /// Marks a job of which runs are to be started.
    pub(super) fn mark_starting(&mut self, id: &JobId) {
        if self.changes.mark_starting(id) {
            self.refresh_waiting(id);
        }
    }

    /// Handles stored rows: their runs are started, and the ended runs that they
    /// record may be acknowledged.
    pub fn changes_stored(&mut self, changes: &ChangeSet, now: BootTime) {
        self.changes.in_flight.clear();
        self.lease_ledger.stored();
        self.begin_starts(&changes.starts, now);
        self.acknowledge_ended_runs(now);
        for row in &changes.rows {
            if row.progress.state.is_final() {
                self.tell_end(&row.job);
            }
            self.remove_finished(&row.job, now);
        }
    }

    /// Raises the numbers up to which workers may discard ended runs.
    fn acknowledge_ended_runs(&mut self, now: BootTime) {
        let changes = &self.changes;
        let mut acknowledged: Vec<WorkerId> = Vec::new();
        for (id, entry) in self.fleet.iter_mut() {
            let before = entry.acknowledged_number;
            while let Some(ended) = entry.unacknowledged.front() {
                if ended
                    .job
                    .as_ref()
                    .is_some_and(|job| !changes.is_stored(job))
                {
                    break;
                }
                entry.acknowledged_number = entry.acknowledged_number.max(ended.number);
                entry.unacknowledged.pop_front();
            }
            if entry.acknowledged_number > before {
                acknowledged.push(id.clone());
            }
        }
        for id in acknowledged {
            if let Some(entry) = self.fleet.get_mut(&id) {
                entry.next_renewal = entry.next_renewal.min(now);
            }
        }
    }

    /// Tells that a job has ended, once its final state is stored.
    fn tell_end(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_end_told) else {
            return;
        };
        job.is_end_told = true;
        self.events.push(SchedulerEvent::JobEnded {
            job: id.clone(),
            state: job.state,
            failed: job.failed_runs(),
            failure: job.failure.clone(),
        });
    }

    fn remove_finished(&mut self, id: &JobId, now: BootTime) {
        let is_finished = self
            .jobs
            .get(id)
            .is_some_and(|job| job.state.is_final() && job.active == 0);
        if is_finished && self.changes.is_stored(id) {
            self.jobs.remove(id);
            self.advice.remove_job(id);
            self.finished.insert(id, now);
        }
    }
}
