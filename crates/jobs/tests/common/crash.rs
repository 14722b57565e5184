//! Tasks that crash their workers, and workers that come back.

use std::collections::BTreeSet;
use std::time;

use redwing_jobs::worker::ExitKind;
use redwing_jobs::{BootTime, TaskId, WorkerId};

use super::{FakeFleet, FakeWorker};

/// Time from the start of a task to the crash of its worker.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(10);

/// Time from a crash until the machine has a worker again.
const RETURN_DELAY: time::Duration = time::Duration::from_millis(3_300);

/// Time from a crash until the entry of the worker is removed from the list.
const UNLIST_DELAY: time::Duration = time::Duration::from_millis(4_400);

/// How a crashed worker comes back.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ReturnMode {
    /// As another worker; the entry of the crashed one is removed later.
    #[default]
    NewWorker,
    /// As another worker at the same address, which rejects orders for the crashed one.
    SameAddress,
    /// As a new incarnation of the same worker.
    NewIncarnation,
    /// Not at all; its entry is removed.
    Never,
}

/// Crash of a worker.
#[derive(Clone, Debug)]
struct WorkerCrash {
    worker: WorkerId,
    at: BootTime,
    is_done: bool,
    has_returned: bool,
    is_unlisted: bool,
}

/// Tasks that crash their workers, and the crashes so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashPlan {
    /// Tasks that crash each worker on which they start.
    pub(crate) deadly: BTreeSet<TaskId>,
    /// How their workers come back.
    pub(crate) return_mode: ReturnMode,
    /// Number of new workers so far.
    returned: usize,
    crashes: Vec<WorkerCrash>,
}

impl CrashPlan {
    /// Plans the crash of the worker if the task that starts there is deadly.
    pub(super) fn note_start(&mut self, task: &TaskId, worker: &WorkerId, now: BootTime) {
        if self.deadly.contains(task) {
            self.crash(worker, now + CRASH_DELAY);
        }
    }

    /// Plans the crash of a worker.
    pub(crate) fn crash(&mut self, worker: &WorkerId, at: BootTime) {
        self.crashes.push(WorkerCrash {
            worker: worker.clone(),
            at,
            is_done: false,
            has_returned: false,
            is_unlisted: false,
        });
    }
}

impl FakeFleet {
    /// Carries out the crashes that are due, and what follows from them.
    pub(super) fn apply_crashes(&mut self) {
        let mut crashes = std::mem::take(&mut self.crash_plan.crashes);
        for crash in &mut crashes {
            if !crash.is_done && crash.at <= self.now {
                crash.is_done = true;
                self.crash_worker(&crash.worker);
            }
            if !crash.has_returned && crash.at + RETURN_DELAY <= self.now {
                crash.has_returned = true;
                self.return_worker(&crash.worker);
            }
            if !crash.is_unlisted && crash.at + UNLIST_DELAY <= self.now {
                crash.is_unlisted = true;
                self.unlist_crashed(&crash.worker);
            }
        }
        self.crash_plan.crashes.extend(crashes);
    }

    /// Starts a worker again, which is listed at once.
    pub(crate) fn restart_worker(&mut self, id: &str) {
        let now = self.now;
        let worker = self.worker(id);
        worker.restart(now);
        let view = worker.view.clone();
        self.scheduler.worker_listed(view, now);
    }

    fn crash_worker(&mut self, id: &WorkerId) {
        let worker = self.worker(id.as_str());
        let lost: Vec<TaskId> = worker.running.keys().cloned().collect();
        worker.running.clear();
        worker.ended_runs.clear();
        worker.is_unresponsive = true;
        for task in lost {
            self.break_gang(&task);
        }
    }

    /// Ends the runs of the other members of a gang, if the task is one.
    fn break_gang(&mut self, lost: &TaskId) {
        let step = &self.jobs[&lost.job].spec.steps[lost.step as usize];
        if !step.gang {
            return;
        }
        for worker in self.workers.values_mut() {
            let tasks = worker.running.keys();
            let members = tasks.filter(|task| task.job == lost.job && task.step == lost.step);
            for member in members.cloned().collect::<Vec<_>>() {
                worker.end_run(&member, ExitKind::Broken);
            }
        }
    }

    fn return_worker(&mut self, id: &WorkerId) {
        let now = self.now;
        match self.crash_plan.return_mode {
            ReturnMode::Never => {}
            ReturnMode::NewIncarnation => {
                let worker = self.worker(id.as_str());
                worker.restart(now);
                worker.is_unresponsive = false;
                let view = worker.view.clone();
                self.scheduler.worker_listed(view, now);
            }
            ReturnMode::NewWorker | ReturnMode::SameAddress => {
                let is_replaced = self.crash_plan.return_mode == ReturnMode::SameAddress;
                self.worker(id.as_str()).is_replaced = is_replaced;
                self.crash_plan.returned += 1;
                let name = format!("{id}-{}", self.crash_plan.returned);
                let mut worker = FakeWorker::new(&name, "builders", 0);
                let mut view = self.worker(id.as_str()).view.clone();
                view.id = WorkerId::new(&name);
                worker.view = view.clone();
                self.workers.insert(view.id.clone(), worker);
                self.scheduler.worker_listed(view, now);
            }
        }
    }

    fn unlist_crashed(&mut self, id: &WorkerId) {
        if self.crash_plan.return_mode != ReturnMode::NewIncarnation {
            self.worker(id.as_str()).is_listed = false;
            self.scheduler.worker_unlisted(id, self.now);
        }
    }
}
