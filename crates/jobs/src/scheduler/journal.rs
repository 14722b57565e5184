//! What is to be stored, and what waits for it.
//!
//! Rows are stored in one sequence: the next change is taken only after the
//! former was stored. A run is started, and an end acknowledged, only after
//! the row that says so was stored.

use std::collections::BTreeSet;

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::ProgressRecord;
use crate::time::BootTime;

use super::JobScheduler;
use super::entry::{JobEntry, TaskPhase};

/// Progress of one job, to be stored.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressRow {
    /// The job.
    pub job: JobId,
    /// What to store.
    pub progress: ProgressRecord,
}

/// Rows that are stored together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeSet {
    /// The rows.
    pub rows: Vec<ProgressRow>,
    starts: Vec<RecordedStart>,
}

/// Run that is started once its row is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
struct RecordedStart {
    task: TaskId,
    run: u32,
}

/// Jobs whose rows are out of date.
#[derive(Debug, Default)]
pub(super) struct ChangeJournal {
    changed: BTreeSet<JobId>,
    in_flight: BTreeSet<JobId>,
}

impl ChangeJournal {
    pub(super) fn mark(&mut self, job: &JobId) {
        self.changed.insert(job.clone());
    }

    fn is_stored(&self, job: &JobId) -> bool {
        !self.changed.contains(job) && !self.in_flight.contains(job)
    }
}

impl JobScheduler {
    /// Returns whether rows are to be stored.
    pub fn has_changes(&self) -> bool {
        !self.journal.changed.is_empty()
    }

    /// Takes the rows to store next. The former ones must have been stored.
    pub fn take_changes(&mut self) -> ChangeSet {
        let limit = self.settings.rows_per_change;
        let mut changes = ChangeSet::default();
        let mut tasks = 0;
        while changes.rows.len() < limit && tasks < self.settings.tasks_per_change {
            let Some(id) = self.journal.changed.pop_first() else {
                break;
            };
            self.add_row(&mut changes, &id);
            tasks += self.jobs.get(&id).map_or(0, JobEntry::task_count);
            self.journal.in_flight.insert(id);
        }
        changes
    }

    fn add_row(&self, changes: &mut ChangeSet, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        changes.rows.push(ProgressRow {
            job: id.clone(),
            progress: job.progress(),
        });
        let reserved = job
            .tasks(id)
            .filter(|(_, task)| matches!(task.phase, TaskPhase::Reserved(_)));
        changes
            .starts
            .extend(reserved.map(|(name, task)| RecordedStart {
                task: name,
                run: task.run,
            }));
    }

    /// Notes that rows are stored: their runs are started and the ends that
    /// they tell of may be acknowledged.
    pub fn changes_stored(&mut self, changes: &ChangeSet, now: BootTime) {
        self.journal.in_flight.clear();
        for start in &changes.starts {
            self.order_start(&start.task, start.run, now);
        }
        self.acknowledge_ends(now);
        for row in &changes.rows {
            self.forget_finished(&row.job, now);
        }
    }

    /// Moves on the numbers up to which workers may forget ends.
    fn acknowledge_ends(&mut self, now: BootTime) {
        let journal = &self.journal;
        let mut acknowledged: Vec<WorkerId> = Vec::new();
        for (id, entry) in self.fleet.iter_mut() {
            let before = entry.stored_end;
            while let Some(end) = entry.unstored.front() {
                if end.job.as_ref().is_some_and(|job| !journal.is_stored(job)) {
                    break;
                }
                entry.stored_end = entry.stored_end.max(end.number);
                entry.unstored.pop_front();
            }
            if entry.stored_end > before {
                acknowledged.push(id.clone());
            }
        }
        for id in acknowledged {
            if let Some(entry) = self.fleet.get_mut(&id) {
                entry.next_hold = entry.next_hold.min(now);
            }
        }
    }

    fn forget_finished(&mut self, id: &JobId, now: BootTime) {
        let is_over = self
            .jobs
            .get(id)
            .is_some_and(|job| job.state.is_final() && job.active == 0);
        if is_over && self.journal.is_stored(id) {
            self.jobs.remove(id);
            self.advice.forget(id);
            self.finished.insert(id, now);
        }
    }
}
