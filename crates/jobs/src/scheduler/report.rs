//! Processing of the runs that workers list.

use std::collections::{BTreeSet, HashMap};

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::{FailureReason, JobState};
use crate::spec::{ResourceAmount, StepSpec};
use crate::time::BootTime;
use crate::worker::{ActiveRun, EndedRun, ExitKind, OrderAction, RenewalReport, WorkerOrder};

use super::clock_reading::ClockReading;
use super::confirmation::StartResponse;
use super::entry::{RunProgress, StartCaution, TaskEntry, TaskPhase};
use super::fleet::{ContactState, OrphanStop, RunReservation, UnacknowledgedRun};
use super::shares::PoolClaim;
use super::{JobScheduler, RunEndReason, SchedulerEvent, WorkerStatus};

impl JobScheduler {
    /// Handles the response to a lease renewal.
    pub fn handle_renewal_report(
        &mut self,
        order: &WorkerOrder,
        report: &RenewalReport,
        now: BootTime,
    ) {
        let worker = &order.worker;
        let issued_at = order.issued_at;
        if self.is_outdated(order) {
            // It may be of an earlier incarnation.
            return;
        }
        if self.is_report_outdated(order, report, now) {
            return;
        }
        self.settle_loss(worker, report.incarnation, now);
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        if report.incarnation != entry.incarnation {
            // The order was sent after the tracked one was known, so this is a later one.
            let was_draining = entry.is_draining();
            self.replace_worker(worker, report.incarnation, was_draining, now);
            // The worker may carry out more orders of the session that has ended.
            return;
        }
        self.note_contact(worker, now);
        if self.is_restoring {
            self.keep_lease(worker, issued_at, report, now);
            return;
        }
        self.update_contact(worker, issued_at, report, now);
        for ended in &report.ended {
            self.apply_ended_run(worker, ended, now);
        }
        for run in &report.running {
            self.apply_active_run(worker, run, report.clock_ms, now);
        }
        self.update_presence(worker, issued_at, report);
        self.begin_waiting_starts(now);
        self.pace_best_effort(worker, report, now);
    }

    /// Returns whether a report is from an incarnation of a worker that another one has
    /// replaced, or does not say which one it is from: it says nothing about the runs, the
    /// clock or the leases of the present one, and the worker is asked again.
    fn is_report_outdated(
        &mut self,
        order: &WorkerOrder,
        report: &RenewalReport,
        now: BootTime,
    ) -> bool {
        let retry_delay = self.settings.renewal_retry_delay;
        let Some(entry) = self.fleet.get_mut(&order.worker) else {
            return false;
        };
        let is_unknown = report.incarnation == 0;
        if !is_unknown && !entry.earlier_incarnations.contains(&report.incarnation) {
            return false;
        }
        if entry.renewal_sent_at == Some(order.issued_at) {
            entry.renewal_sent_at = None;
            entry.next_renewal = now + retry_delay;
        }
        true
    }

    fn update_contact(
        &mut self,
        worker: &WorkerId,
        issued_at: BootTime,
        report: &RenewalReport,
        now: BootTime,
    ) {
        let delay = self.settings.renewal_batch_delay;
        let bound = self.settings.lease_bound();
        let drift = self.settings.max_clock_drift;
        let entry = self.fleet.get(worker);
        if entry.is_some_and(|entry| entry.is_clock_behind(report.clock_ms, issued_at, drift)) {
            self.note_clock_set_back(worker, now);
        }
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.renewal_sent_at == Some(issued_at) {
            entry.renewal_sent_at = None;
        }
        if entry.contact == ContactState::Unconfirmed {
            // From now on the worker rejects the orders of an earlier owner.
            entry.lease_until = now + bound;
            if let Some(inherited) = &mut self.inherited {
                inherited.workers.remove(worker);
            }
        }
        entry.reported_at = entry.reported_at.max(issued_at);
        entry.report_read_at = now;
        let was_unresponsive = entry.contact != ContactState::Responsive;
        entry.contact = ContactState::Responsive;
        entry.silent_since = None;
        entry.clock = Some(ClockReading {
            clock_ms: report.clock_ms,
            read_at: now,
        });
        entry.first_listed_end = report.ended.first().map(|ended| ended.number);
        let has_ended_runs = !report.ended.is_empty();
        entry.next_renewal = if has_ended_runs { now + delay } else { now };
        if was_unresponsive {
            self.mark_worker_changed(worker);
            self.record_status(worker, WorkerStatus::Answering);
        }
    }

    /// Applies an ended run that was not applied before.
    fn apply_ended_run(&mut self, worker: &WorkerId, ended: &EndedRun, now: BootTime) {
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if ended.number <= entry.applied_number {
            return;
        }
        entry.applied_number = ended.number;
        entry.release(&ended.task, ended.run);
        let is_tracked = self.jobs.contains_key(&ended.task.job);
        let unacknowledged = UnacknowledgedRun {
            number: ended.number,
            job: is_tracked.then(|| ended.task.job.clone()),
        };
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.unacknowledged.push_back(unacknowledged);
        }
        self.update_failures(worker, ended, now);
        self.mark_worker_changed(worker);
        if is_tracked {
            self.mark_changed(&ended.task.job);
            self.end_run(worker, ended, now);
        }
    }

    fn end_run(&mut self, worker: &WorkerId, ended: &EndedRun, now: BootTime) {
        self.mark_started(&ended.task.job);
        let is_current = self.is_current(&ended.task, ended.run, worker);
        if ended.kind != ExitKind::Done {
            self.events.push(SchedulerEvent::RunEnded {
                task: ended.task.clone(),
                run: ended.run,
                worker: worker.clone(),
                reason: RunEndReason::Listed(ended.kind),
            });
        }
        let Some(task) = self.task_mut(&ended.task) else {
            return;
        };
        if ended.checkpoint.is_some() && ended.run >= task.run {
            task.checkpoint.clone_from(&ended.checkpoint);
        }
        match ended.kind {
            ExitKind::Done => self.finish_task(&ended.task, now),
            ExitKind::Failed => self.fail_run(&ended.task, ended.run, is_current, now),
            _ if is_current => self.free_task(&ended.task),
            _ => {}
        }
    }

    /// Marks a task as done, and with it perhaps its gang and job.
    fn finish_task(&mut self, task: &TaskId, now: BootTime) {
        let members = self.gang_members(task);
        for member in members {
            // A run on another worker is redundant now.
            self.stop_redundant_run(&member, now);
            if !self.release_task(&member, TaskPhase::Done) {
                self.set_phase(&member, TaskPhase::Done);
            }
        }
        self.check_completed(&task.job, now);
        self.refresh_waiting(&task.job);
    }

    /// Stops the run of a task that continues elsewhere although the task is done.
    fn stop_redundant_run(&mut self, task: &TaskId, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let run = entry.run;
        let (TaskPhase::Ordered(location) | TaskPhase::Running(location, _)) = &entry.phase else {
            return;
        };
        let worker = location.worker.clone();
        let is_reserved = self.fleet.get(&worker).is_some_and(|entry| {
            entry
                .reservations
                .get(task)
                .is_some_and(|reservation| reservation.run == run)
        });
        if is_reserved && !self.is_gang(task) {
            let reserved = self.reserved(task);
            self.free_task(task);
            self.stop_orphan(&worker, task, run, reserved, now);
        }
    }

    fn fail_run(&mut self, task: &TaskId, run: u32, is_current: bool, now: BootTime) {
        if is_current {
            self.free_task(task);
        }
        if self.is_long_running(task) {
            return;
        }
        let is_new = self
            .task_mut(task)
            .is_some_and(|entry| entry.record_failure(run));
        if !is_new {
            return;
        }
        let members = self.gang_members(task);
        // Members of a gang share their run numbers.
        let failed: BTreeSet<u32> = members
            .iter()
            .filter_map(|member| self.task(member))
            .flat_map(|entry| entry.failed.iter().copied())
            .collect();
        if failed.len() as u32 >= self.max_attempts(task) {
            self.fail(task, FailureReason::FailedRuns, now);
        }
    }

    fn max_attempts(&self, task: &TaskId) -> u32 {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|job| self.manifest.queue(&job.record.queue));
        queue.map_or(u32::MAX, |queue| queue.max_attempts.max(1))
    }

    fn check_completed(&mut self, id: &JobId, now: BootTime) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.occurrences.retain(|occurrence| !occurrence.is_done());
        if job.occurrences.is_empty() && !job.has_unstarted() {
            self.finish(id, JobState::Completed, now);
        }
    }

    pub(super) fn is_gang(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.gang)
    }

    /// Returns the tasks that end together with `task`.
    pub(super) fn gang_members(&self, task: &TaskId) -> Vec<TaskId> {
        if !self.is_gang(task) {
            return vec![task.clone()];
        }
        let step = self.jobs.get(&task.job);
        let step = step.and_then(|job| job.step(task.occurrence, task.step));
        let count = step.map_or(0, |step| step.tasks.len() as u32);
        let members = (0..count).map(|index| TaskId {
            index,
            ..task.clone()
        });
        members.collect()
    }

    /// Applies a run that the worker lists as running.
    fn apply_active_run(
        &mut self,
        worker: &WorkerId,
        listed: &ActiveRun,
        clock_ms: u64,
        now: BootTime,
    ) {
        self.mark_started(&listed.task.job);
        if !self.is_current(&listed.task, listed.run, worker) {
            let reserved = self.reserved_by_orphan(worker, &listed.task);
            self.stop_orphan(worker, &listed.task, listed.run, reserved, now);
            return;
        }
        let Some(task) = self.task_mut(&listed.task) else {
            return;
        };
        if listed.checkpoint.is_some() {
            task.checkpoint.clone_from(&listed.checkpoint);
        }
        task.trace.add_sign(clock_ms);
        confirm_run(task, listed.percent, now);
        self.set_response(worker, &listed.task, listed.run, StartResponse::Received);
    }

    /// Returns the capacity of a run that is to be stopped: that of the whole
    /// worker if its job is not tracked any more, as after a takeover.
    fn reserved_by_orphan(&self, worker: &WorkerId, task: &TaskId) -> ResourceAmount {
        if self.jobs.contains_key(&task.job) {
            return self.reserved(task);
        }
        let view = self.fleet.get(worker).and_then(|entry| entry.view.as_ref());
        view.map(|view| view.capacity).unwrap_or_default()
    }

    /// Orders the stop of a run that belongs to no task any more.
    pub(super) fn stop_orphan(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        reserved: ResourceAmount,
        now: BootTime,
    ) {
        let retry_delay = self.settings.stop_retry_delay;
        let is_long_running = self.is_long_running(task);
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let current = entry.reservations.get(task).copied();
        let same_run = current.filter(|reservation| reservation.run == run);
        if current.is_some() && same_run.is_none() {
            // The task has a newer run here, of which an incarnation that has carried out an
            // earlier start knows nothing.
            let action = OrderAction::Stop {
                task: task.clone(),
                run,
            };
            self.push_order(worker, action, now);
            return;
        }
        let stop = same_run.and_then(|reservation| reservation.orphan_stop);
        if stop.is_some_and(|stop| now.saturating_since(stop.ordered_at) < retry_delay) {
            return;
        }
        let reservation = RunReservation {
            run,
            reserved,
            is_long_running,
            caution: StartCaution::None,
            is_over: false,
            response: StartResponse::Received,
            orphan_stop: Some(OrphanStop {
                ordered_at: now,
                accepted_at: None,
            }),
        };
        entry.reserve(task.clone(), reservation);
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(worker, action, now);
    }

    /// Records which runs of the worker a report proves to be over, and drops those that are
    /// lost. The capacity of a task is free once no run of it is listed.
    fn update_presence(&mut self, worker: &WorkerId, issued_at: BootTime, report: &RenewalReport) {
        let running = report.running.iter();
        let listed: HashMap<&TaskId, u32> = running.map(|run| (&run.task, run.run)).collect();
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        let mut over = Vec::new();
        let mut in_progress = Vec::new();
        for (task, held) in &entry.reservations {
            if listed.get(task) == Some(&held.run) {
                in_progress.extend(held.is_over.then(|| task.clone()));
            } else if !listed.contains_key(task)
                && self.should_be_listed(worker, task, held, issued_at)
            {
                over.push((task.clone(), held.run));
            }
        }
        for (task, run) in over {
            if report.is_complete {
                self.drop_run(worker, &task, run, RunEndReason::Vanished);
            } else if let Some(entry) = self.fleet.get_mut(worker) {
                entry.set_over(&task, true);
            }
        }
        for task in in_progress {
            if let Some(entry) = self.fleet.get_mut(worker) {
                entry.set_over(&task, false);
            }
        }
    }

    /// Returns whether the response to a renewal sent at `issued_at` would list a run as in
    /// progress if it were.
    fn should_be_listed(
        &self,
        worker: &WorkerId,
        task: &TaskId,
        reservation: &RunReservation,
        issued_at: BootTime,
    ) -> bool {
        let is_before = |time: BootTime| time < issued_at;
        if let Some(stop) = reservation.orphan_stop {
            return stop.accepted_at.is_some_and(is_before);
        }
        if !self.is_current(task, reservation.run, worker) {
            return true;
        }
        match self.task(task).map(|entry| &entry.phase) {
            Some(TaskPhase::Running(_, progress)) => is_before(progress.confirmed_at),
            Some(TaskPhase::Stopping(_, stop)) => stop.accepted_at.is_some_and(is_before),
            _ => false,
        }
    }

    /// Records that a worker has accepted a run of a job. It is stored with the next
    /// change of the job: a new owner learns it from the workers as well.
    pub(super) fn mark_started(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_started = true;
        }
    }

    pub(super) fn task(&self, task: &TaskId) -> Option<&TaskEntry> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task.occurrence, task.step)?;
        step.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskEntry> {
        let job = self.jobs.get_mut(&task.job)?;
        let step = job.step_mut(task.occurrence, task.step)?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Returns the specification of a task's step.
    pub(super) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.record.spec.steps.get(task.step as usize)
    }

    pub(super) fn set_phase(&mut self, task: &TaskId, phase: TaskPhase) {
        if let Some(entry) = self.task_mut(task) {
            entry.phase = phase;
        }
    }

    /// Returns the capacity that a run of the task reserves.
    pub(super) fn reserved(&self, task: &TaskId) -> ResourceAmount {
        let step = self.step_spec(task);
        step.map_or_else(ResourceAmount::default, StepSpec::reserved)
    }

    /// Returns the resources that a task counts against its customer's limit.
    fn needs(&self, task: &TaskId) -> ResourceAmount {
        let step = self.step_spec(task);
        step.map_or_else(ResourceAmount::default, |step| step.needs)
    }

    pub(super) fn count_active(&mut self, task: &TaskId) {
        let needs = self.needs(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.active += 1;
        if let Some(customer) = &job.record.customer {
            *self.usage.entry(customer.clone()).or_default() += needs;
        }
        self.add_pool_usage(task);
    }

    fn add_pool_usage(&mut self, task: &TaskId) {
        if let Some(claim) = self.pool_claim(task) {
            self.pool_usage.add(&claim);
        }
    }

    /// Returns what a task claims of its pool.
    fn pool_claim(&self, task: &TaskId) -> Option<PoolClaim> {
        let job = self.jobs.get(&task.job)?;
        Some(PoolClaim {
            pool: self.pool_of(job).clone(),
            customer: job.record.customer.clone(),
            amount: self.reserved(task),
        })
    }

    /// Counts the usage of pools again: the manifest may have moved a queue to
    /// another pool.
    pub(super) fn recount_pool_usage(&mut self) {
        self.pool_usage.clear();
        let jobs = self.jobs.iter().filter(|(_, job)| job.active > 0);
        let ids: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            for placed in self.placed_runs(&id) {
                self.add_pool_usage(&placed.task);
            }
        }
    }

    pub(super) fn uncount_active(&mut self, task: &TaskId) {
        let needs = self.needs(task);
        if let Some(claim) = self.pool_claim(task) {
            self.pool_usage.subtract(&claim);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.active = job.active.saturating_sub(1);
        if let Some(customer) = &job.record.customer
            && let Some(used) = self.usage.get_mut(customer)
        {
            *used -= needs;
            if self.limited_customers.remove(customer) {
                // Its jobs may wait for several pools.
                self.waiting.mark_all_changed();
            }
        }
    }
}

/// Confirms that a run exists, and updates its progress.
fn confirm_run(task: &mut TaskEntry, percent: u32, now: BootTime) {
    match &mut task.phase {
        TaskPhase::Ordered(location) => {
            let progress = RunProgress {
                confirmed_at: now,
                percent,
                advanced_at: now,
                is_reported: true,
            };
            task.phase = TaskPhase::Running(location.clone(), progress);
        }
        TaskPhase::Running(_, progress) => {
            progress.is_reported = true;
            if progress.percent != percent {
                progress.percent = percent;
                progress.advanced_at = now;
            }
        }
        _ => {}
    }
}
