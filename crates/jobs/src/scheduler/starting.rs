//! Starts of the runs whose rows are stored.
//!
//! Load pattern: bursts of starts on workers that had nothing to run. A start waits for the
//! row that records it, and, where the worker's clock was read long ago, for a new reading;
//! both are requested at the same time. A gang starts as a whole or not at all.

use std::mem;
use std::slice;

use crate::name::TaskId;
use crate::time::BootTime;
use crate::worker::OrderAction;

use super::JobScheduler;
use super::advice::StepId;
use super::confirmation::StartResponse;
use super::entry::{RunLocation, TaskPhase};
use super::run_trace::RunTrace;

/// Run that is started once its row is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PendingStart {
    pub(super) task: TaskId,
    pub(super) run: u32,
}

impl PendingStart {
    /// Returns whether both runs belong to the same step and have the same number, as those
    /// of a gang.
    fn is_beside(&self, other: &Self) -> bool {
        self.run == other.run && self.task.is_of_step(&other.task)
    }
}

impl JobScheduler {
    /// Orders the starts of runs whose rows are stored.
    pub(super) fn begin_starts(&mut self, starts: &[PendingStart], now: BootTime) {
        // The members of a gang follow each other.
        for beside in starts.chunk_by(PendingStart::is_beside) {
            if beside.iter().any(|start| self.is_gang(&start.task)) {
                self.begin_together(beside, now);
                continue;
            }
            for start in beside {
                self.begin_together(slice::from_ref(start), now);
            }
        }
    }

    /// Orders the starts that wait for readings of clocks, as far as these have arrived.
    pub(super) fn begin_waiting_starts(&mut self, now: BootTime) {
        let starts = mem::take(&mut self.waiting_starts);
        self.begin_starts(&starts, now);
    }

    /// Orders the start of one run, or of a gang, unless it waits for a reading of a clock.
    fn begin_together(&mut self, starts: &[PendingStart], now: BootTime) {
        if starts.iter().any(|start| self.awaits_reading(start, now)) {
            self.waiting_starts.extend_from_slice(starts);
            return;
        }
        if let Some(first) = starts.first().filter(|start| self.is_gang(&start.task)) {
            let members = self.gang_members(&first.task);
            self.free_incomplete_gang(&members, first.run, now);
        }
        for start in starts {
            self.order_start(start, now);
        }
    }

    /// Frees all members of a gang whose row is stored, unless each of them can be
    /// ordered to start: a part of a gang would make no progress.
    fn free_incomplete_gang(&mut self, members: &[TaskId], run: u32, now: BootTime) {
        let can_start = |member: &TaskId| self.may_start(member, run, now);
        if members.iter().all(can_start) {
            return;
        }
        for member in members {
            let phase = self.task(member).map(|entry| &entry.phase);
            if matches!(phase, Some(TaskPhase::Reserved(_))) {
                self.free_task(member);
            }
        }
    }

    /// Returns whether a run whose row is stored may be ordered to start now.
    fn may_start(&self, task: &TaskId, run: u32, now: BootTime) -> bool {
        let Some(entry) = self.task(task).filter(|entry| entry.run == run) else {
            return false;
        };
        let TaskPhase::Reserved(location) = &entry.phase else {
            return false;
        };
        let is_permitted =
            self.ticket(task, location, now).is_some() || !self.is_advised(&task.job);
        let worker = self.fleet.get(&location.worker);
        let is_usable = worker.is_some_and(|worker| {
            worker.incarnation == location.incarnation
                && !worker.is_overcommitted()
                && self.may_start_on(worker, now)
        });
        is_permitted && is_usable && !self.lease_ledger.covers(&location.worker)
    }

    /// Returns whether a run may be started, but for a recent report of its worker, which is
    /// on its way.
    fn awaits_reading(&self, start: &PendingStart, now: BootTime) -> bool {
        let task = self.task(&start.task);
        let location = task.and_then(|entry| entry.phase.location());
        // Most readings are recent.
        location.is_some_and(|location| self.lacks_reading(&location.worker, now))
            && self.may_start(&start.task, start.run, now)
    }

    /// Sends the order to start a run whose row is stored.
    fn order_start(&mut self, start: &PendingStart, now: BootTime) {
        let PendingStart { task, run } = start;
        let run = *run;
        let Some(entry) = self.task(task) else {
            return;
        };
        let TaskPhase::Reserved(location) = &entry.phase else {
            return;
        };
        if entry.run != run {
            return;
        }
        let location = location.clone();
        if !self.may_start(task, run, now) {
            self.free_task(task);
            return;
        }
        let checkpoint = self.resume_point(task);
        let ticket = self.ticket(task, &location, now);
        let Some(lease_end_ms) = self.grant_start_lease(&location.worker, now) else {
            self.free_task(task);
            return;
        };
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let action = OrderAction::Start {
            task: task.clone(),
            run,
            payload: job.payload.clone(),
            lease_end_ms,
            checkpoint,
            ticket,
        };
        let worker = location.worker.clone();
        self.set_phase(task, TaskPhase::Ordered(location));
        if let Some(entry) = self.task_mut(task) {
            entry.trace = RunTrace::ordered(now);
        }
        self.set_response(&worker, task, run, StartResponse::Awaited);
        self.push_order(&worker, action, now);
    }

    /// Returns the ticket of the advisor's permit to run a task on a worker.
    fn ticket(&self, task: &TaskId, location: &RunLocation, now: BootTime) -> Option<String> {
        let step = step_of(task);
        self.advice
            .ticket(&step, &location.worker, location.incarnation, now)
    }

    /// Returns the checkpoint that the next run of a task resumes from; all
    /// members of a gang resume from the same.
    fn resume_point(&self, task: &TaskId) -> Option<String> {
        let entry = self.task(task)?;
        let job = self.jobs.get(&task.job)?;
        let spec = job.record.spec.steps.get(task.step as usize)?;
        if !spec.gang {
            return entry.checkpoint.clone();
        }
        let step = job.step(task.occurrence, task.step)?;
        step.tasks
            .iter()
            .find_map(|member| member.checkpoint.clone())
    }
}

/// Returns the step of a task.
pub(super) fn step_of(task: &TaskId) -> StepId {
    StepId {
        job: task.job.clone(),
        occurrence: task.occurrence,
        step: task.step,
    }
}
