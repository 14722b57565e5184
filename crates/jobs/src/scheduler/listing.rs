//! The platform's list of workers.

use std::collections::BTreeSet;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::WorkerView;

use super::entry::TaskPhase;
use super::fleet::{WorkerContact, WorkerEntry};
use super::{JobScheduler, RunEndReason, SchedulerNote, WorkerBelief};

impl JobScheduler {
    /// Takes in the entry of a worker.
    pub fn worker_listed(&mut self, view: WorkerView, now: BootTime) {
        let id = view.id.clone();
        let Some(entry) = self.fleet.get_mut(&id) else {
            let entry = WorkerEntry {
                born: view.born,
                view: Some(view),
                is_listed: true,
                filler_percent: 100,
                lease_until: now + self.settings.inherited_lease,
                ..WorkerEntry::default()
            };
            self.fleet.insert(id.clone(), entry);
            self.note_worker(&id, WorkerBelief::Listed);
            return;
        };
        let was_draining = entry.view.as_ref().is_some_and(|view| view.is_draining);
        let is_draining = view.is_draining;
        let born = view.born;
        let is_older = born < entry.born;
        let is_newer = born > entry.born;
        if is_older {
            return;
        }
        entry.view = Some(view);
        entry.is_listed = true;
        if is_newer {
            self.replace_worker(&id, born);
        }
        if is_draining && !was_draining {
            self.note_worker(&id, WorkerBelief::Draining);
            self.leave_draining(&id, now);
        }
        self.may_place = true;
    }

    /// Notes that a worker's entry is gone.
    pub fn worker_unlisted(&mut self, id: &WorkerId) {
        let Some(entry) = self.fleet.get_mut(id) else {
            return;
        };
        if !entry.is_listed {
            return;
        }
        entry.is_listed = false;
        self.note_worker(id, WorkerBelief::Unlisted);
    }

    /// Takes in a whole list: workers that are not on it are gone.
    pub fn workers_listed(&mut self, views: Vec<WorkerView>, now: BootTime) {
        let listed: BTreeSet<WorkerId> = views.iter().map(|view| view.id.clone()).collect();
        let known = self.fleet.iter().map(|(id, _)| id.clone());
        let gone: Vec<WorkerId> = known.filter(|id| !listed.contains(id)).collect();
        for view in views {
            self.worker_listed(view, now);
        }
        for id in gone {
            self.worker_unlisted(&id);
        }
    }

    /// Notes that another life of a worker has begun: nothing of the former
    /// one runs any more.
    pub(super) fn replace_worker(&mut self, id: &WorkerId, born: u64) {
        let Some(entry) = self.fleet.get_mut(id) else {
            return;
        };
        let lost = entry.begin_life(born);
        self.note_worker(id, WorkerBelief::Replaced);
        for (task, run) in lost {
            self.lose_run(id, &task, run, RunEndReason::WorkerReplaced);
        }
        self.may_place = true;
    }

    /// Moves long-running tasks away from a worker that drains; all others
    /// may finish there.
    fn leave_draining(&mut self, id: &WorkerId, now: BootTime) {
        let Some(entry) = self.fleet.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = entry.occupants.keys().cloned().collect();
        for task in tasks {
            if self.is_long_running(&task) {
                self.stop_task(&task, now);
            }
        }
    }

    /// Frees a task whose run on `worker` is over without having been listed
    /// as ended.
    pub(super) fn lose_run(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        reason: RunEndReason,
    ) {
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.vacate(task, run);
        }
        self.may_place = true;
        let is_current = self.is_current(task, run, worker);
        if !is_current {
            return;
        }
        self.notes.push(SchedulerNote::RunEnded {
            task: task.clone(),
            run,
            worker: worker.clone(),
            reason,
        });
        self.free_task(task);
    }

    /// Gives up runs on workers that did not answer until all leases given
    /// to them had expired, and forgets workers that are gone.
    pub(super) fn expire_leases(&mut self, now: BootTime) {
        let mut expired = Vec::new();
        let mut forgotten = Vec::new();
        for (id, entry) in self.fleet.iter() {
            let is_quiet = entry.contact != WorkerContact::Heard;
            if entry.occupants.is_empty() {
                if !entry.is_listed && is_quiet {
                    forgotten.push(id.clone());
                }
                continue;
            }
            if is_quiet && entry.lease_until < now {
                let occupants = entry.occupants.iter();
                expired.extend(
                    occupants.map(|(task, occupant)| (id.clone(), task.clone(), occupant.run)),
                );
            }
        }
        for (worker, task, run) in expired {
            self.lose_run(&worker, &task, run, RunEndReason::LeaseExpired);
        }
        for id in forgotten {
            self.fleet.remove(&id);
        }
    }

    /// Returns whether `run` on `worker` is the run that the task has.
    pub(super) fn is_current(&self, task: &TaskId, run: u32, worker: &WorkerId) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let place = entry.phase.place();
        entry.run == run && place.is_some_and(|place| place.worker == *worker)
    }

    /// Returns whether a task runs until its job is cancelled.
    pub(super) fn is_long_running(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.long_running)
    }

    /// Frees a task: it has no place any more and waits for the next.
    pub(super) fn free_task(&mut self, task: &TaskId) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let run = entry.run;
        let Some(place) = entry.phase.place() else {
            return;
        };
        let worker = place.worker.clone();
        if let Some(entry) = self.fleet.get_mut(&worker) {
            entry.vacate(task, run);
        }
        self.uncount_active(task);
        self.set_phase(task, TaskPhase::Idle);
        self.refresh_waiting(&task.job);
        self.may_place = true;
    }
}
