//! The platform's list of workers.

use std::collections::BTreeSet;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::WorkerView;

use super::confirmation::StartResponse;
use super::entry::{TaskEntry, TaskPhase};
use super::fleet::{RunReservation, WorkerEntry};
use super::incarnation::IncarnationOrder;
use super::{JobScheduler, RunEndReason, SchedulerEvent, WorkerStatus};

impl JobScheduler {
    /// Updates a worker from its entry in the list.
    pub fn worker_listed(&mut self, view: WorkerView, now: BootTime) {
        let id = view.id.clone();
        let incarnation = view.incarnation;
        let is_draining = view.is_draining;
        if self.fleet.get(&id).is_none_or(|entry| !entry.is_listed) {
            self.settle_loss(&id, incarnation, now);
        }
        let Some(entry) = self.fleet.get_mut(&id) else {
            let entry = WorkerEntry {
                view: Some(view),
                is_listed: true,
                listed_since: now,
                ..self.new_entry(&id, incarnation, now)
            };
            self.fleet.insert(id.clone(), entry);
            self.record_status(&id, WorkerStatus::Listed);
            if is_draining {
                self.record_status(&id, WorkerStatus::Draining);
            }
            return;
        };
        let was_draining = entry.is_draining();
        let order = entry.succession(incarnation);
        match order {
            IncarnationOrder::Earlier => return,
            IncarnationOrder::Unknown => {
                entry.unplaced_view = Some(view);
                self.ask_incarnation(&id, now);
                return;
            }
            IncarnationOrder::Same | IncarnationOrder::Later => {}
        }
        // Workers renew their entries all the time; only a change matters to placement.
        let has_changed =
            !entry.is_listed || entry.is_refused || entry.view.as_ref() != Some(&view);
        if !entry.is_listed {
            entry.listed_since = now;
        }
        entry.is_listed = true;
        entry.is_refused = false;
        self.fleet.set_view(&id, view);
        if order == IncarnationOrder::Later {
            self.replace_worker(&id, incarnation, was_draining, now);
        }
        if is_draining && !was_draining {
            self.record_status(&id, WorkerStatus::Draining);
        }
        if has_changed {
            self.mark_worker_changed(&id);
        }
    }

    /// Handles that the entry of a worker cannot be read, perhaps because another writer has
    /// replaced it: the worker gets no new tasks, and its runs go on.
    pub fn worker_refused(&mut self, id: &WorkerId) {
        let entry = self.fleet.get_mut(id);
        let Some(entry) = entry.filter(|entry| entry.is_listed && !entry.is_refused) else {
            return;
        };
        entry.is_refused = true;
        self.record_status(id, WorkerStatus::Refused);
    }

    /// Handles the removal of a worker's entry from the list.
    pub fn worker_unlisted(&mut self, id: &WorkerId, now: BootTime) {
        let was_lost = self.confirm_loss(id, now);
        let Some(entry) = self.fleet.get_mut(id) else {
            return;
        };
        if !entry.is_listed {
            return;
        }
        entry.is_listed = false;
        let ended_by_itself =
            entry.reservations.is_empty() && !entry.is_draining() && !entry.is_blocked();
        if ended_by_itself && !was_lost {
            self.note_end(id, now);
        }
        self.record_status(id, WorkerStatus::Unlisted);
    }

    /// Applies a complete list: workers missing from it, and from those whose entries cannot
    /// be read, are no longer listed.
    pub fn workers_listed(&mut self, views: Vec<WorkerView>, refused: &[WorkerId], now: BootTime) {
        let listed = views.iter().map(|view| &view.id);
        let listed: BTreeSet<WorkerId> = listed.chain(refused).cloned().collect();
        let tracked = self.fleet.iter().map(|(id, _)| id.clone());
        let unlisted: Vec<WorkerId> = tracked.filter(|id| !listed.contains(id)).collect();
        for view in views {
            self.worker_listed(view, now);
        }
        for id in unlisted {
            self.worker_unlisted(&id, now);
        }
        for id in refused {
            self.worker_refused(id);
        }
    }

    /// Handles a new incarnation of a worker: no run of the previous one, which
    /// `was_draining`, is left.
    ///
    /// A start that no report of the previous one has confirmed may have reached the
    /// new one, or may still do so.
    pub(super) fn replace_worker(
        &mut self,
        id: &WorkerId,
        incarnation: u64,
        was_draining: bool,
        now: BootTime,
    ) {
        if let Some(entry) = self.fleet.get_mut(id) {
            entry.end_incarnation();
        }
        self.begin_incarnation(id, incarnation, was_draining, now);
    }

    /// Begins to track another incarnation of a worker, and drops or stops the runs of the
    /// previous one, which `was_draining`.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        incarnation: u64,
        was_draining: bool,
        now: BootTime,
    ) {
        let cause = self.loss_cause(id, was_draining, true);
        let lost = self.lost_worker(id, now);
        let Some(entry) = self.fleet.get_mut(id) else {
            return;
        };
        entry.listed_since = now;
        let dropped = self.fleet.begin_incarnation(id, incarnation, now);
        self.record_loss(id, dropped.len() as u32, cause);
        self.record_status(id, WorkerStatus::Replaced);
        for (task, reservation) in dropped {
            let run = reservation.run;
            if self.is_current(&task, run, id) && !self.is_reported(&task) {
                self.stop_unreported(id, &task, reservation.response, now);
            } else {
                self.drop_run(id, &task, run, RunEndReason::WorkerReplaced);
            }
        }
        self.judge_loss(id, lost, cause, now);
        self.mark_worker_changed(id);
    }

    /// Requests a report, which says what the present incarnation of a worker is.
    fn ask_incarnation(&mut self, id: &WorkerId, now: BootTime) {
        let entry = self.fleet.get(id);
        if entry.is_some_and(|entry| entry.renewal_sent_at.is_none()) {
            self.send_renewal(id, now);
        }
    }

    /// Returns false for a task whose run is ordered and listed by no report.
    fn is_reported(&self, task: &TaskId) -> bool {
        self.task(task)
            .is_none_or(|entry| entry.phase.is_reported())
    }

    /// Stops a run that the present incarnation of a worker may have, or may get later if its
    /// start had no `response`, and reserves its capacity until then.
    pub(super) fn stop_unreported(
        &mut self,
        id: &WorkerId,
        task: &TaskId,
        response: StartResponse,
        now: BootTime,
    ) {
        let carried_out_by = self.settings.start_carried_out_by(response, now);
        let reserved = self.reserved(task);
        let is_long_running = self.is_long_running(task);
        let run = self.task(task).map_or(0, |entry| entry.run);
        let caution = self.task(task).map(TaskEntry::caution).unwrap_or_default();
        // The row goes on to name the incarnation that the start was sent to: one that it
        // names counts as one that an owner was in contact with.
        let location = self.task(task).and_then(|entry| entry.phase.location());
        let Some(location) = location.cloned() else {
            return;
        };
        let late_start_until = carried_out_by + self.settings.longest_lease_bound();
        let Some(entry) = self.fleet.get_mut(id) else {
            return;
        };
        // The end of its lease is a time on the clock of the earlier incarnation.
        entry.late_start_until = entry.late_start_until.max(late_start_until);
        let reservation = RunReservation {
            run,
            reserved,
            is_long_running,
            caution,
            is_over: false,
            response,
            orphan_stop: None,
        };
        entry.reserve(task.clone(), reservation);
        self.mark_changed(&task.job);
        self.order_stop(task, location, run, now);
    }

    /// Stops long-running tasks on draining workers, to restart them elsewhere; all
    /// others may finish there.
    ///
    /// A new owner may meet workers that drain already, so this goes by the state of
    /// a worker and not by its change.
    pub(super) fn evict_from_draining(&mut self, now: BootTime) {
        let draining = self.fleet.iter().filter(|(_, entry)| entry.is_draining());
        let draining = draining.filter(|(_, entry)| entry.long_running_count > 0);
        let mut tasks = Vec::new();
        for (id, entry) in draining {
            let runs = entry.reservations.iter();
            let current = runs.filter(|(task, held)| self.is_current(task, held.run, id));
            tasks.extend(current.map(|(task, _)| task.clone()));
        }
        for task in tasks {
            if self.is_long_running(&task) {
                self.stop_task(&task, now);
            }
        }
    }

    /// Frees a task whose run on `worker` ended without being listed as ended.
    pub(super) fn drop_run(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        reason: RunEndReason,
    ) {
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.release(task, run);
        }
        self.mark_worker_changed(worker);
        let is_current = self.is_current(task, run, worker);
        if !is_current {
            return;
        }
        self.events.push(SchedulerEvent::RunEnded {
            task: task.clone(),
            run,
            worker: worker.clone(),
            reason,
        });
        self.free_task(task);
    }

    /// Returns whether `run` on `worker` is the task's current run.
    pub(super) fn is_current(&self, task: &TaskId, run: u32, worker: &WorkerId) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let location = entry.phase.location();
        entry.run == run && location.is_some_and(|location| location.worker == *worker)
    }

    /// Returns whether a task runs until its job is cancelled.
    pub(super) fn is_long_running(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.long_running)
    }

    /// Frees a task: its reservation is released, and it waits to be placed again.
    pub(super) fn free_task(&mut self, task: &TaskId) {
        if self.release_task(task, TaskPhase::Idle) {
            self.refresh_waiting(&task.job);
        }
    }

    /// Ends the run of a task, which enters `phase`; returns whether it had one. The job
    /// keeps its place among those that wait.
    pub(super) fn release_task(&mut self, task: &TaskId, phase: TaskPhase) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let run = entry.run;
        let Some(location) = entry.phase.location() else {
            return false;
        };
        let worker = location.worker.clone();
        if let Some(entry) = self.fleet.get_mut(&worker) {
            entry.release(task, run);
        }
        self.uncount_active(task);
        self.set_phase(task, phase);
        self.mark_worker_changed(&worker);
        true
    }
}
