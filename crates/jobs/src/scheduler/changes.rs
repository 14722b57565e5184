//! Rows to store, and what waits for them.
//!
//! Rows are stored in sequence: the next change is taken only after the
//! previous one was stored. A run is started, and an ended run acknowledged,
//! only after the row that records it was stored.

use std::collections::BTreeSet;

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::ProgressRecord;
use crate::time::BootTime;

use super::JobScheduler;
use super::entry::{JobEntry, TaskPhase};
use super::lease_ledger::LeaseEnds;
use super::order;

/// Progress of one job, to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressRow {
    /// The job.
    pub job: JobId,
    /// Progress to store.
    pub progress: ProgressRecord,
}

/// Rows that are stored together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// The rows.
    pub rows: Vec<ProgressRow>,
    /// Ends of leases to store; none if the stored ones stay.
    pub lease_ends: Option<LeaseEnds>,
    starts: Vec<PendingStart>,
}

/// Run that is started once its row is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PendingStart {
    task: TaskId,
    run: u32,
}

/// Jobs with progress that is not stored yet: changed ones, and those whose rows
/// are being stored.
#[derive(Debug, Default)]
pub(super) struct ChangeTracker {
    changed: BTreeSet<JobId>,
    in_flight: BTreeSet<JobId>,
}

impl ChangeTracker {
    pub(super) fn mark_changed(&mut self, job: &JobId) {
        self.changed.insert(job.clone());
    }

    fn is_stored(&self, job: &JobId) -> bool {
        !self.changed.contains(job) && !self.in_flight.contains(job)
    }
}

impl JobScheduler {
    /// Returns whether there are rows to store.
    pub fn has_changes(&self) -> bool {
        !self.changes.changed.is_empty() || self.lease_ledger.is_due()
    }

    /// Takes the rows to store next. The previous ones must have been stored.
    pub fn take_changes(&mut self, now: BootTime) -> ChangeSet {
        let limit = self.settings.max_rows_per_change;
        let mut changes = ChangeSet {
            lease_ends: self.lease_ledger.take(now),
            ..ChangeSet::default()
        };
        let mut tasks = 0;
        while changes.rows.len() < limit && tasks < self.settings.max_tasks_per_change {
            let Some(id) = self.changes.changed.pop_first() else {
                break;
            };
            self.add_row(&mut changes, &id, now);
            tasks += self.jobs.get(&id).map_or(0, JobEntry::task_count);
            self.changes.in_flight.insert(id);
        }
        changes
    }

    fn add_row(&self, changes: &mut ChangeSet, id: &JobId, now: BootTime) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        changes.rows.push(ProgressRow {
            job: id.clone(),
            progress: job.progress(self.stall_recording(now)),
        });
        let reserved = job
            .tasks(id)
            .filter(|(_, task)| matches!(task.phase, TaskPhase::Reserved(_)));
        changes
            .starts
            .extend(reserved.map(|(name, task)| PendingStart {
                task: name,
                run: task.run,
            }));
    }

    /// Handles stored rows: their runs are started, and the ended runs that they
    /// record may be acknowledged.
    pub fn changes_stored(&mut self, changes: &ChangeSet, now: BootTime) {
        self.changes.in_flight.clear();
        self.lease_ledger.stored();
        let mut step = None;
        for start in &changes.starts {
            // The members of a gang follow each other.
            let start_step = order::step_of(&start.task);
            if step.as_ref() != Some(&start_step) && self.is_gang(&start.task) {
                let members = self.gang_members(&start.task);
                self.free_incomplete_gang(&members, start.run, now);
            }
            step = Some(start_step);
            self.order_start(&start.task, start.run, now);
        }
        self.acknowledge_ended_runs(now);
        for row in &changes.rows {
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
