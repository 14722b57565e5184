//! New jobs, cancelled jobs, and rows of an earlier owner.

use crate::name::{JobId, TaskId};
use crate::record::{JobRecord, JobState, ProgressRecord};
use crate::time::{BootTime, WallTime};
use crate::worker::OrderAction;

use super::entry::{JobEntry, RunPlace, StopProgress, TaskPhase};
use super::fleet::{Occupant, WorkerEntry};
use super::{JobScheduler, SchedulerNote};

/// Run of a task that has a place.
pub(super) struct PlacedRun {
    pub(super) task: TaskId,
    pub(super) run: u32,
    pub(super) place: RunPlace,
}

impl JobScheduler {
    /// Takes in a job that was accepted; one that is known or finished is left
    /// as it is.
    pub fn submit(&mut self, id: &JobId, record: JobRecord) {
        if self.jobs.contains_key(id) || self.finished.contains(id) {
            return;
        }
        self.count_arrival(&record);
        self.insert(id, JobEntry::new(record));
    }

    fn count_arrival(&mut self, record: &JobRecord) {
        if record.spec.is_long_running() {
            return;
        }
        let arrivals = self.arrivals.entry(record.pool.clone()).or_default();
        arrivals.jobs += 1;
        arrivals.work += record.spec.estimated_work();
    }

    /// Takes in a job with what an earlier owner stored of it.
    pub fn restore(
        &mut self,
        id: &JobId,
        record: JobRecord,
        progress: &ProgressRecord,
        now: BootTime,
    ) {
        if progress.state.is_final() {
            self.finished.insert(id, now);
        }
        if self.finished.contains(id) || self.jobs.contains_key(id) {
            return;
        }
        let entry = JobEntry::restore(record, progress, now);
        self.insert(id, entry);
        for placed in self.placed_runs(id) {
            self.restore_run(&placed, now);
        }
        // Tasks whose worker has begun another life wait again.
        self.refresh_waiting(id);
    }

    fn insert(&mut self, id: &JobId, entry: JobEntry) {
        if entry.has_unbegun() {
            self.timed.insert(id.clone());
        }
        self.jobs.insert(id.clone(), entry);
        self.refresh_waiting(id);
    }

    /// Returns all runs of a job that have a place.
    pub(super) fn placed_runs(&self, id: &JobId) -> Vec<PlacedRun> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let placed = job.tasks(id).filter_map(|(name, task)| {
            let place = task.phase.place()?;
            Some(PlacedRun {
                task: name,
                run: task.run,
                place: place.clone(),
            })
        });
        placed.collect()
    }

    /// Counts the room of a run that an earlier owner started.
    fn restore_run(&mut self, placed: &PlacedRun, now: BootTime) {
        let PlacedRun { task, run, place } = placed;
        let worker = &place.worker;
        let born = place.born;
        let inherited = now + self.settings.inherited_lease;
        let known = self.fleet.get(worker).map(|entry| entry.born);
        if known.is_some_and(|known| known != born) {
            // That life of the worker is over.
            self.set_phase(task, TaskPhase::Idle);
            return;
        }
        if known.is_none() {
            let entry = WorkerEntry {
                born,
                filler_percent: 100,
                ..WorkerEntry::default()
            };
            self.fleet.insert(worker.clone(), entry);
        }
        let reserved = self.reserved(task);
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.lease_until = entry.lease_until.max(inherited);
            let occupant = Occupant {
                run: *run,
                reserved,
                orphan_stop: None,
            };
            entry.occupy(task.clone(), occupant);
        }
        self.count_active(task);
    }

    /// Notes that a job was cancelled; its runs are stopped.
    pub fn cancel(&mut self, id: &JobId, now: BootTime) {
        self.finish(id, JobState::Cancelled, now);
    }

    /// Ends a job: what runs of it is stopped, and its end is stored.
    pub(super) fn finish(&mut self, id: &JobId, state: JobState, now: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        let failed = job.failed_runs();
        self.notes.push(SchedulerNote::JobEnded {
            job: id.clone(),
            state,
            failed,
        });
        self.timed.remove(id);
        self.waiting.remove(id);
        self.journal.mark(id);
        for placed in self.placed_runs(id) {
            self.stop_task(&placed.task, now);
        }
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_due(&mut self, wall: WallTime) {
        let mut begun = Vec::new();
        for id in &self.timed {
            let Some(job) = self.jobs.get_mut(id) else {
                begun.push(id.clone());
                continue;
            };
            let schedule = job.record.spec.schedule.unwrap_or_default();
            while job.has_unbegun() && job.has_row_room() {
                if schedule.due_ms(job.begun) > wall.as_millis() {
                    break;
                }
                job.begin_next();
                begun.push(id.clone());
            }
        }
        for id in begun {
            let has_unbegun = self.jobs.get(&id).is_some_and(JobEntry::has_unbegun);
            if !has_unbegun {
                self.timed.remove(&id);
            }
            if self.jobs.contains_key(&id) {
                self.journal.mark(&id);
                self.refresh_waiting(&id);
            }
        }
    }

    /// Orders the stop of a task that has a place.
    pub(super) fn stop_task(&mut self, task: &TaskId, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let (place, run) = match &entry.phase {
            TaskPhase::Idle | TaskPhase::Done | TaskPhase::Stopping(..) => return,
            TaskPhase::Reserved(_) => {
                self.free_task(task);
                return;
            }
            TaskPhase::Ordered(place) | TaskPhase::Running(place, _) => (place.clone(), entry.run),
        };
        let worker = place.worker.clone();
        let progress = StopProgress {
            ordered_at: now,
            accepted_at: None,
        };
        self.set_phase(task, TaskPhase::Stopping(place, progress));
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(&worker, action, now);
    }
}
