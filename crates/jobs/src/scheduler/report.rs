//! What workers say they run.

use std::collections::{BTreeSet, HashMap};
use std::time;

use crate::name::{JobId, TaskId, WorkerId};
use crate::record::JobState;
use crate::spec::{ResourceAmount, StepSpec};
use crate::time::BootTime;
use crate::worker::{EndKind, HoldReport, ListedEnd, ListedRun, OrderAction};

use super::entry::{JobEntry, RunProgress, TaskEntry, TaskPhase};
use super::fleet::{ClockSample, Occupant, OrphanStop, UnstoredEnd, WorkerContact};
use super::{JobScheduler, RunEndReason, SchedulerNote, WorkerBelief};

impl JobScheduler {
    /// Takes in the answer to the hold that was given at `given_at`.
    pub fn hold_answered(
        &mut self,
        worker: &WorkerId,
        given_at: BootTime,
        report: &HoldReport,
        now: BootTime,
    ) {
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        if report.born > entry.born {
            self.replace_worker(worker, report.born);
        }
        self.note_contact(worker, given_at, report, now);
        for end in &report.ended {
            self.take_end(worker, end, now);
        }
        for run in &report.running {
            self.take_run(worker, run, now);
        }
        self.drop_vanished(worker, given_at, report);
        self.pace_fillers(worker, report, now);
    }

    fn note_contact(
        &mut self,
        worker: &WorkerId,
        given_at: BootTime,
        report: &HoldReport,
        now: BootTime,
    ) {
        let pause = self.settings.hold_pause;
        let bound = self.lease_bound();
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.hold_given == Some(given_at) {
            entry.hold_given = None;
        }
        if entry.contact == WorkerContact::Unheard {
            // From now on it refuses the orders of an earlier owner.
            entry.lease_until = now + bound;
        }
        let was_silent = entry.contact != WorkerContact::Heard;
        entry.contact = WorkerContact::Heard;
        entry.clock = Some(ClockSample {
            clock_ms: report.clock_ms,
            read_at: now,
        });
        let has_ends = !report.ended.is_empty();
        entry.next_hold = if has_ends { now + pause } else { now };
        if was_silent {
            self.may_place = true;
            self.note_worker(worker, WorkerBelief::Answering);
        }
    }

    /// Takes in an end that was not taken in before.
    fn take_end(&mut self, worker: &WorkerId, end: &ListedEnd, now: BootTime) {
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if end.number <= entry.seen_end {
            return;
        }
        entry.seen_end = end.number;
        entry.vacate(&end.task, end.run);
        let known = self.jobs.contains_key(&end.task.job);
        let unstored = UnstoredEnd {
            number: end.number,
            job: known.then(|| end.task.job.clone()),
        };
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.unstored.push_back(unstored);
        }
        self.count_strike(worker, end.kind, now);
        self.may_place = true;
        if known {
            self.journal.mark(&end.task.job);
            self.end_run(worker, end, now);
        }
    }

    fn count_strike(&mut self, worker: &WorkerId, kind: EndKind, now: BootTime) {
        let limit = self.settings.strike_limit;
        let pause = self.settings.strike_pause;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        match kind {
            EndKind::Done => entry.strikes = 0,
            EndKind::Failed => entry.strikes += 1,
            _ => return,
        }
        if entry.strikes >= limit {
            entry.strikes = limit - 1;
            entry.unhealthy_until = now + pause;
            self.note_worker(worker, WorkerBelief::Unhealthy);
        }
    }

    fn end_run(&mut self, worker: &WorkerId, end: &ListedEnd, now: BootTime) {
        let is_current = self.is_current(&end.task, end.run, worker);
        if end.kind != EndKind::Done {
            self.notes.push(SchedulerNote::RunEnded {
                task: end.task.clone(),
                run: end.run,
                worker: worker.clone(),
                reason: RunEndReason::Listed(end.kind),
            });
        }
        let Some(task) = self.task_mut(&end.task) else {
            return;
        };
        if end.checkpoint.is_some() && end.run >= task.run {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.kind {
            EndKind::Done => self.finish_task(&end.task, now),
            EndKind::Failed => self.fail_run(&end.task, end.run, is_current, now),
            _ if is_current => self.free_task(&end.task),
            _ => {}
        }
    }

    /// Notes that a task is done, and with it perhaps its gang and job.
    fn finish_task(&mut self, task: &TaskId, now: BootTime) {
        let members = self.gang_members(task);
        for member in members {
            // A run elsewhere is of no use any more.
            self.abandon_run(&member, now);
            self.free_task(&member);
            self.set_phase(&member, TaskPhase::Done);
        }
        self.refresh_waiting(&task.job);
        self.check_completed(&task.job, now);
    }

    /// Stops the run of a task that goes on elsewhere although the task is done.
    fn abandon_run(&mut self, task: &TaskId, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let run = entry.run;
        let (TaskPhase::Ordered(place) | TaskPhase::Running(place, _)) = &entry.phase else {
            return;
        };
        let worker = place.worker.clone();
        let still_there = self.fleet.get(&worker).is_some_and(|entry| {
            entry
                .occupants
                .get(task)
                .is_some_and(|known| known.run == run)
        });
        if still_there && !self.is_gang(task) {
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
            .is_some_and(|entry| entry.note_failed(run));
        if !is_new {
            return;
        }
        let members = self.gang_members(task);
        // Members of a gang share the numbers of their runs.
        let failed: BTreeSet<u32> = members
            .iter()
            .filter_map(|member| self.task(member))
            .flat_map(|entry| entry.failed.iter().copied())
            .collect();
        if failed.len() as u32 >= self.max_attempts(task) {
            self.finish(&task.job, JobState::Failed, now);
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
        if job.occurrences.is_empty() && !job.has_unbegun() {
            self.finish(id, JobState::Completed, now);
        }
    }

    fn is_gang(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.gang)
    }

    /// Returns the tasks that end together with `task`.
    fn gang_members(&self, task: &TaskId) -> Vec<TaskId> {
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

    /// Takes in a run that the worker lists as running.
    fn take_run(&mut self, worker: &WorkerId, listed: &ListedRun, now: BootTime) {
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
        confirm_run(task, listed.percent, now);
    }

    /// Returns what a run takes that is to be stopped: the whole worker if
    /// its job is not known any more, as after a takeover.
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
        let retry = self.settings.stop_retry;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let known = entry.occupants.get(task).copied();
        let former = known.filter(|known| known.run == run);
        if known.is_some() && former.is_none() {
            // The task has a newer run here; the worker refuses the older.
            return;
        }
        let stop = former.and_then(|known| known.orphan_stop);
        if stop.is_some_and(|stop| now.saturating_since(stop.ordered_at) < retry) {
            return;
        }
        let occupant = Occupant {
            run,
            reserved,
            orphan_stop: Some(OrphanStop {
                ordered_at: now,
                accepted_at: None,
            }),
        };
        entry.occupy(task.clone(), occupant);
        let action = OrderAction::Stop {
            task: task.clone(),
            run,
        };
        self.push_order(worker, action, now);
    }

    /// Frees runs that the worker would list if they were there.
    fn drop_vanished(&mut self, worker: &WorkerId, given_at: BootTime, report: &HoldReport) {
        let running = report.running.iter();
        let listed: HashMap<&TaskId, u32> = running.map(|run| (&run.task, run.run)).collect();
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        let mut vanished = Vec::new();
        for (task, occupant) in &entry.occupants {
            if listed.get(task) == Some(&occupant.run) {
                continue;
            }
            if self.must_be_listed(worker, task, occupant, given_at) {
                vanished.push((task.clone(), occupant.run));
            }
        }
        for (task, run) in vanished {
            self.lose_run(worker, &task, run, RunEndReason::Vanished);
        }
    }

    /// Returns whether a run would be listed in the answer to a hold given at
    /// `given_at` if it were there.
    fn must_be_listed(
        &self,
        worker: &WorkerId,
        task: &TaskId,
        occupant: &Occupant,
        given_at: BootTime,
    ) -> bool {
        let is_before = |time: BootTime| time < given_at;
        if let Some(stop) = occupant.orphan_stop {
            return stop.accepted_at.is_some_and(is_before);
        }
        if !self.is_current(task, occupant.run, worker) {
            return true;
        }
        match self.task(task).map(|entry| &entry.phase) {
            Some(TaskPhase::Running(_, progress)) => is_before(progress.since),
            Some(TaskPhase::Stopping(_, stop)) => stop.accepted_at.is_some_and(is_before),
            _ => false,
        }
    }

    /// Stops runs that make no progress, to start them elsewhere.
    pub(super) fn stop_stalled(&mut self, now: BootTime) {
        let limit = self.settings.stall_limit;
        let mut stalled = Vec::new();
        for (id, worker) in self.fleet.iter() {
            if worker.contact != WorkerContact::Heard {
                continue;
            }
            for (task, occupant) in &worker.occupants {
                if self.has_stalled(task, now, limit) {
                    stalled.push((id.clone(), task.clone(), occupant.run));
                }
            }
        }
        for (worker, task, run) in stalled {
            self.notes.push(SchedulerNote::RunEnded {
                task: task.clone(),
                run,
                worker: worker.clone(),
                reason: RunEndReason::Stalled,
            });
            if let Some(entry) = self.fleet.get_mut(&worker) {
                entry.unhealthy_until = now + self.settings.strike_pause;
            }
            self.stop_task(&task, now);
        }
    }

    fn has_stalled(&self, task: &TaskId, now: BootTime, limit: time::Duration) -> bool {
        let step = self.step_spec(task);
        if step.is_none_or(|step| step.filler || step.gang || step.long_running) {
            return false;
        }
        match self.task(task).map(|entry| &entry.phase) {
            Some(TaskPhase::Running(_, progress)) => {
                now.saturating_since(progress.advanced_at) > limit
            }
            _ => false,
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

    /// Returns what the job asks for the step of a task.
    pub(super) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.record.spec.steps.get(task.step as usize)
    }

    pub(super) fn set_phase(&mut self, task: &TaskId, phase: TaskPhase) {
        if let Some(entry) = self.task_mut(task) {
            entry.phase = phase;
        }
    }

    /// Returns the room that a run of the task takes.
    pub(super) fn reserved(&self, task: &TaskId) -> ResourceAmount {
        let step = self.step_spec(task);
        step.map_or_else(ResourceAmount::default, StepSpec::reserved)
    }

    /// Returns what a task counts against its customer's limit.
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
    }

    pub(super) fn uncount_active(&mut self, task: &TaskId) {
        let needs = self.needs(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.active = job.active.saturating_sub(1);
        if let Some(customer) = &job.record.customer
            && let Some(used) = self.usage.get_mut(customer)
        {
            *used -= needs;
        }
    }

    pub(super) fn refresh_waiting(&mut self, id: &JobId) {
        if self.jobs.get(id).is_some_and(JobEntry::has_waiting) {
            self.waiting.insert(id.clone());
            self.may_place = true;
        } else {
            self.waiting.remove(id);
        }
    }
}

/// Notes that a run is there, with its progress.
fn confirm_run(task: &mut TaskEntry, percent: u32, now: BootTime) {
    match &mut task.phase {
        TaskPhase::Ordered(place) => {
            let progress = RunProgress {
                since: now,
                percent,
                advanced_at: now,
            };
            task.phase = TaskPhase::Running(place.clone(), progress);
        }
        TaskPhase::Running(_, progress) if progress.percent != percent => {
            progress.percent = percent;
            progress.advanced_at = now;
        }
        _ => {}
    }
}
