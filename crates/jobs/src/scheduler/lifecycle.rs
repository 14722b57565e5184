//! Submitted and cancelled jobs, and rows of an earlier owner.

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::{JobRecord, JobState, ProgressRecord};
use crate::time::{BootTime, WallTime};
use crate::worker::OrderAction;

use super::JobScheduler;
use super::confirmation::StartResponse;
use super::entry::{JobEntry, RunLocation, StopProgress, TaskEntry, TaskPhase};
use super::fleet::{RunReservation, WorkerEntry};

/// Run of a task that is assigned to a worker.
pub(super) struct PlacedRun {
    pub(super) task: TaskId,
    pub(super) run: u32,
    pub(super) location: RunLocation,
}

impl JobScheduler {
    /// Adds an accepted job; one that is tracked or finished is left as it is.
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
        arrivals.work = arrivals.work.saturating_add(record.spec.estimated_work());
        let queue = self.manifest.queue(&record.queue);
        let pool = queue.map_or(&record.pool, |queue| &queue.pool);
        self.backlog.add_arrival(pool, record);
    }

    /// Adds a job with the progress that an earlier owner stored.
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
        let stored_by = self.stored_by.map_or(now, |stored_by| stored_by.min(now));
        let entry = JobEntry::restore(record, progress, stored_by, now);
        let suspects = entry.tasks(id).filter(|(_, task)| task.crashes.count() > 0);
        for (task, _) in suspects {
            self.crashes.add_suspect(task, BootTime::default());
        }
        self.insert(id, entry);
        for placed in self.placed_runs(id) {
            self.restore_run(&placed, now);
        }
        // Tasks whose worker has a new incarnation wait again.
        self.refresh_waiting(id);
    }

    fn insert(&mut self, id: &JobId, entry: JobEntry) {
        if entry.has_unstarted() {
            self.scheduled.insert(id.clone());
        }
        self.jobs.insert(id.clone(), entry);
        self.refresh_waiting(id);
    }

    /// Returns all runs of a job that are assigned to a worker.
    pub(super) fn placed_runs(&self, id: &JobId) -> Vec<PlacedRun> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let placed = job.tasks(id).filter_map(|(name, task)| {
            let location = task.phase.location()?;
            Some(PlacedRun {
                task: name,
                run: task.run,
                location: location.clone(),
            })
        });
        placed.collect()
    }

    /// Reserves the capacity of a run that an earlier owner started.
    fn restore_run(&mut self, placed: &PlacedRun, now: BootTime) {
        let PlacedRun {
            task,
            run,
            location,
        } = placed;
        let worker = &location.worker;
        let incarnation = location.incarnation;
        let inherited_until = self.earlier_leases_until(worker, now);
        let response = self.inherited_response(worker, now);
        match self.fleet.get(worker) {
            Some(entry) if entry.incarnation == incarnation => {
                if entry.is_listed_as_tracked() {
                    self.note_earlier_contact(worker);
                }
            }
            Some(entry) if entry.is_later_than_stored(incarnation) => {
                // That incarnation of the worker has ended, but the present one may have
                // carried the start out.
                self.count_active(task);
                self.stop_unreported(worker, task, response, now);
                self.count_inherited_crash(worker, task, *run, now);
                return;
            }
            Some(_) => {
                self.assume_incarnation(worker, incarnation, response, now);
            }
            None => {
                let entry = self.new_entry(worker, incarnation, now);
                self.fleet.insert(worker.clone(), entry);
            }
        }
        let reserved = self.reserved(task);
        let is_long_running = self.is_long_running(task);
        let caution = self.task(task).map(TaskEntry::caution).unwrap_or_default();
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.lease_until = entry.lease_until.max(inherited_until);
            let reservation = RunReservation {
                run: *run,
                reserved,
                is_long_running,
                caution,
                is_over: false,
                response,
                orphan_stop: None,
            };
            entry.reserve(task.clone(), reservation);
        }
        self.count_active(task);
    }

    /// Takes the incarnation in a stored row for the present one, although the list of workers
    /// names another: which of them is later, the first report says. Until then, the runs may
    /// be on the listed one, with the longest lease.
    fn assume_incarnation(
        &mut self,
        worker: &WorkerId,
        incarnation: u64,
        response: StartResponse,
        now: BootTime,
    ) {
        let carried_out_by = self.settings.start_carried_out_by(response, now);
        let longest_until = carried_out_by + self.settings.longest_lease_bound();
        let was_draining = self.fleet.get(worker).is_some_and(WorkerEntry::is_draining);
        self.begin_incarnation(worker, incarnation, was_draining, now);
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.late_start_until = entry.late_start_until.max(longest_until);
        }
    }

    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, id: &JobId, now: BootTime) {
        self.finish(id, JobState::Cancelled, now);
    }

    /// Ends a job: its runs are stopped, and its final state is to be stored.
    pub(super) fn finish(&mut self, id: &JobId, state: JobState, now: BootTime) {
        self.count_dropped(id, now);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        self.scheduled.remove(id);
        self.waiting.remove(id);
        self.mark_changed(id);
        for placed in self.placed_runs(id) {
            self.stop_task(&placed.task, now);
        }
    }

    /// Begins the occurrences that are due.
    pub(super) fn begin_due(&mut self, wall: WallTime) {
        let row_bytes = self.settings.max_row_bytes;
        let mut changed = Vec::new();
        for id in &self.scheduled {
            let Some(job) = self.jobs.get_mut(id) else {
                changed.push(id.clone());
                continue;
            };
            let schedule = job.record.spec.schedule.unwrap_or_default();
            while job.has_unstarted() && job.has_row_capacity(row_bytes) {
                if schedule.due_ms(job.begun) > wall.as_millis() {
                    break;
                }
                job.begin_next();
                changed.push(id.clone());
            }
        }
        for id in changed {
            let has_unstarted = self.jobs.get(&id).is_some_and(JobEntry::has_unstarted);
            if !has_unstarted {
                self.scheduled.remove(&id);
            }
            if self.jobs.contains_key(&id) {
                self.mark_starting(&id);
                self.refresh_waiting(&id);
            }
        }
    }

    /// Orders the stop of a task that is assigned to a worker.
    pub(super) fn stop_task(&mut self, task: &TaskId, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let (location, run) = match &entry.phase {
            TaskPhase::Idle | TaskPhase::Done | TaskPhase::Stopping(..) => return,
            TaskPhase::Reserved(_) => {
                self.free_task(task);
                return;
            }
            TaskPhase::Ordered(location) | TaskPhase::Running(location, _) => {
                (location.clone(), entry.run)
            }
        };
        self.order_stop(task, location, run, now);
    }

    /// Orders the stop of a task's run at a location.
    pub(super) fn order_stop(
        &mut self,
        task: &TaskId,
        location: RunLocation,
        run: u32,
        now: BootTime,
    ) {
        let worker = location.worker.clone();
        let phase = self.task(task).map(|entry| &entry.phase);
        let progress = StopProgress {
            ordered_at: now,
            accepted_at: None,
            is_reported: phase.is_some_and(TaskPhase::is_reported),
        };
        self.set_phase(task, TaskPhase::Stopping(location, progress));
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(&worker, action, now);
    }
}
