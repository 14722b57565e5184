//! Runs that make no progress.
//!
//! Load pattern: a worker that hangs while it still responds, under owners that end
//! every few seconds. The time without progress is stored with the progress of the
//! job, so that the next owner counts on from there.
//!
//! Workers report progress in whole percents. A run of minutes makes none for seconds, which
//! its estimate tells; where that is too low, each stop in vain doubles the time that the next
//! run of the task has.

use std::collections::BTreeMap;
use std::time;

use crate::name::{JobId, TaskId};
use crate::time::BootTime;

use super::entry::{StallRecording, TaskPhase};
use super::fleet::{ContactState, RunReservation};
use super::{JobScheduler, RunEndReason, SchedulerEvent};

/// Times that a percent of a run may take as long as estimated: it may be far from its data,
/// on a slow worker.
const ESTIMATE_FACTOR: u32 = 4;

/// Largest number of doublings of the time without progress.
const MAX_DOUBLINGS: u32 = 12;

/// Time between two looks at the progress of all runs.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl JobScheduler {
    /// Stops runs that make no progress, and has the others stored that have made none
    /// for a while; to be called with each tick.
    pub(super) fn check_stalls(&mut self, now: BootTime) {
        if now.saturating_since(self.stalls_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.stalls_checked_at = now;
        self.stop_stalled(now);
        let interval = self.settings.wait_record_interval;
        if now.saturating_since(self.stalls_recorded_at) >= interval {
            self.mark_stalled(now);
        }
    }

    /// Stops runs that make no progress, to restart them on other workers.
    fn stop_stalled(&mut self, now: BootTime) {
        let mut stalled = Vec::new();
        for (id, worker) in self.fleet.iter() {
            if worker.contact != ContactState::Responsive {
                continue;
            }
            for (task, reservation) in &worker.reservations {
                let advanced_at = self.advanced_at(task, reservation);
                let unchanged = advanced_at.map(|at| now.saturating_since(at));
                if unchanged.is_some_and(|unchanged| unchanged > self.stall_limit(task)) {
                    stalled.push((id.clone(), task.clone(), reservation.run));
                }
            }
        }
        for (worker, task, run) in stalled {
            self.events.push(SchedulerEvent::RunEnded {
                task: task.clone(),
                run,
                worker: worker.clone(),
                reason: RunEndReason::Stalled,
            });
            let is_first = self.count_stall(&task);
            if let Some(entry) = self.fleet.get_mut(&worker).filter(|_| is_first) {
                entry.unhealthy_until = now + self.settings.failure_cooldown;
            }
            self.stop_task(&task, now);
        }
    }

    /// Returns the longest time without progress of the present run of a task.
    fn stall_limit(&self, task: &TaskId) -> time::Duration {
        let estimate_ms = self.step_spec(task).map_or(0, |step| step.estimate_ms);
        let percent = time::Duration::from_millis(estimate_ms) / 100;
        let limit = self
            .settings
            .stall_timeout
            .max(percent.saturating_mul(ESTIMATE_FACTOR));
        let stalls = self.task(task).map_or(0, |entry| entry.stalls);
        limit.saturating_mul(1 << stalls.min(MAX_DOUBLINGS))
    }

    /// Counts that a run of a task was stopped for want of progress; returns whether it is the
    /// first of the task. A later one does not speak against its worker.
    fn count_stall(&mut self, task: &TaskId) -> bool {
        let Some(entry) = self.task_mut(task) else {
            return true;
        };
        entry.stalls += 1;
        entry.stalls == 1
    }

    /// Has the jobs stored whose runs have made no progress for a while, those first
    /// that have made none for longest.
    pub(super) fn mark_stalled(&mut self, now: BootTime) {
        let delay = self.settings.wait_record_delay;
        let is_long = |at: &BootTime| now.saturating_since(*at) >= delay;
        let mut advanced: BTreeMap<JobId, BootTime> = BTreeMap::new();
        for (_, worker) in self.fleet.iter() {
            for (task, reservation) in &worker.reservations {
                if let Some(at) = self.advanced_at(task, reservation).filter(is_long) {
                    let earliest = advanced.entry(task.job.clone()).or_insert(at);
                    *earliest = at.min(*earliest);
                }
            }
        }
        if advanced.is_empty() {
            return;
        }
        self.stalls_recorded_at = now;
        let mut jobs: Vec<(BootTime, JobId)> =
            advanced.into_iter().map(|(job, at)| (at, job)).collect();
        jobs.sort();
        for (_, job) in jobs.iter().take(self.settings.max_stalled_rows) {
            self.mark_changed(job);
        }
    }

    /// Returns which times without progress the rows state that are stored now.
    pub(super) fn stall_recording(&self, now: BootTime) -> StallRecording {
        StallRecording {
            now,
            delay: self.settings.wait_record_delay,
        }
    }

    /// Returns when the run of a task that must make progress last made some. One that is
    /// over makes none, whether its end is listed yet or not.
    fn advanced_at(&self, task: &TaskId, reservation: &RunReservation) -> Option<BootTime> {
        if reservation.is_over {
            return None;
        }
        let step = self.step_spec(task);
        step.filter(|step| step.must_progress())?;
        match &self.task(task)?.phase {
            TaskPhase::Running(_, progress) => Some(progress.advanced_at),
            _ => None,
        }
    }
}
