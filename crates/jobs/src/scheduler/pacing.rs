//! Processor share of best-effort tasks beside tasks that serve users.
//!
//! Load pattern: best-effort tasks slow down the tasks beside them by amounts
//! that change within seconds. Their share on a worker falls fast when the tail
//! latency of a serving task approaches its objective, and rises slowly.
//!
//! An order without a response may be lost, or carried out seconds later, after newer ones. So
//! the present share is sent again for a while after it.

use std::time;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::{OrderAction, OrderOutcome, RenewalReport};

use super::JobScheduler;
use super::entry::TaskPhase;

/// Ratio of tail latency to objective above which the best-effort share falls.
const HIGH_TAIL_RATIO: f64 = 0.85;

/// Ratio of tail latency to objective below which the best-effort share rises.
const LOW_TAIL_RATIO: f64 = 0.6;

/// Minimum time between two rises.
const RISE_INTERVAL: time::Duration = time::Duration::from_millis(900);

/// Minimum time between two falls, so that one has taken effect before the next.
const FALL_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Rise of the share, in percentage points.
const RISE_PERCENT: u32 = 15;

/// Share below which best-effort tasks are stopped altogether, in percent.
const MIN_PERCENT: u32 = 10;

/// Share that best-effort tasks beside tasks that serve users get from a new owner, in
/// percent: it does not know the share that they have.
const INHERITED_PERCENT: u32 = 30;

/// Time for which the share is sent again after an order that had no response.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(15);

/// Time between two of these orders.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Returns the next best-effort share after `percent`, where `tail_ratio` is the
/// tail latency of the tasks beside them divided by its objective.
fn next_percent(percent: u32, tail_ratio: f64, since_change: time::Duration) -> u32 {
    if tail_ratio > HIGH_TAIL_RATIO && since_change >= FALL_INTERVAL {
        let lower = percent / 3;
        return if lower < MIN_PERCENT { 0 } else { lower };
    }
    if tail_ratio < LOW_TAIL_RATIO && since_change >= RISE_INTERVAL {
        return (percent + RISE_PERCENT).min(100);
    }
    percent
}

impl JobScheduler {
    /// Adjusts the best-effort share to the tail latencies that a worker reports.
    pub(super) fn pace_best_effort(
        &mut self,
        worker: &WorkerId,
        report: &RenewalReport,
        now: BootTime,
    ) {
        let tail_ratios = report.running.iter().filter_map(|run| {
            let target = self.target_ms(&run.task)?;
            Some(run.metric as f64 / target as f64)
        });
        let tail_ratio = tail_ratios.reduce(f64::max);
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let since_change = now.saturating_since(entry.paced_at);
        let percent = match tail_ratio {
            Some(_) if !entry.is_share_known => INHERITED_PERCENT,
            None if !entry.is_share_known => 100,
            _ => {
                let tail_ratio = tail_ratio.unwrap_or(0.0);
                next_percent(entry.best_effort_percent, tail_ratio, since_change)
            }
        };
        let is_changed = !entry.is_share_known || percent != entry.best_effort_percent;
        let is_repeated = entry.repeats_share_until > now
            && now.saturating_since(entry.share_sent_at) >= REPEAT_INTERVAL;
        if !is_changed && !is_repeated {
            return;
        }
        if is_changed {
            entry.paced_at = now;
        }
        entry.is_share_known = true;
        entry.best_effort_percent = percent;
        entry.share_sent_at = now;
        let tasks = report.running.iter().map(|run| &run.task);
        let best_effort: Vec<TaskId> = tasks
            .filter(|task| self.is_best_effort(task))
            .cloned()
            .collect();
        for task in best_effort {
            self.pace_task(worker, &task, percent, now);
        }
    }

    /// Limits a best-effort task that has just started to the share of its worker.
    pub(super) fn pace_started(&mut self, worker: &WorkerId, task: &TaskId, now: BootTime) {
        let percent = self
            .fleet
            .get(worker)
            .map_or(100, |entry| entry.best_effort_percent);
        if percent < 100 && self.is_best_effort(task) {
            self.pace_task(worker, task, percent, now);
        }
    }

    /// Handles the response to an order that limits a run.
    pub(super) fn handle_pace_response(
        &mut self,
        worker: &WorkerId,
        outcome: OrderOutcome,
        now: BootTime,
    ) {
        let is_certain = matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Stale);
        if let Some(entry) = self.fleet.get_mut(worker).filter(|_| !is_certain) {
            entry.repeats_share_until = now + REPEAT_TIME;
        }
    }

    fn pace_task(&mut self, worker: &WorkerId, task: &TaskId, percent: u32, now: BootTime) {
        let Some(entry) = self.task(task) else {
            return;
        };
        if !matches!(entry.phase, TaskPhase::Running(..)) {
            return;
        }
        let run = entry.run;
        let action = OrderAction::Pace {
            task: task.clone(),
            run,
            percent,
        };
        self.push_order(worker, action, now);
    }

    /// Returns the tail latency objective of a task that serves users.
    fn target_ms(&self, task: &TaskId) -> Option<u64> {
        let step = self.step_spec(task)?;
        (step.target_ms > 0).then_some(step.target_ms)
    }

    fn is_best_effort(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.best_effort)
    }
}
