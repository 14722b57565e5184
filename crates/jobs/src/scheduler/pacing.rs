//! The share of fillers beside tasks that serve users.
//!
//! Load pattern: fillers disturb the tasks beside them by amounts that
//! change within seconds. The share of fillers on a worker falls fast when
//! the tail of a serving task nears its objective, and rises slowly.

use std::time;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::{HoldReport, OrderAction};

use super::JobScheduler;
use super::entry::TaskPhase;

/// Tail over objective above which the share of fillers falls.
const HIGH_TAIL: f64 = 0.85;

/// Tail over objective below which the share of fillers rises.
const LOW_TAIL: f64 = 0.6;

/// Time between two rises.
const RISE_INTERVAL: time::Duration = time::Duration::from_millis(900);

/// Time between two falls, so that one has taken effect before the next.
const FALL_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Rise of the share, in points of a hundred.
const RISE_POINTS: u32 = 15;

/// Share below which fillers are stopped altogether.
const LEAST_PERCENT: u32 = 10;

/// Returns the share of fillers that follows `percent` when the tail of the
/// tasks beside them is `tail` times its objective.
fn next_percent(percent: u32, tail: f64, since_change: time::Duration) -> u32 {
    if tail > HIGH_TAIL && since_change >= FALL_INTERVAL {
        let lower = percent / 3;
        return if lower < LEAST_PERCENT { 0 } else { lower };
    }
    if tail < LOW_TAIL && since_change >= RISE_INTERVAL {
        return (percent + RISE_POINTS).min(100);
    }
    percent
}

impl JobScheduler {
    /// Adjusts the share of fillers to what serving tasks report.
    pub(super) fn pace_fillers(&mut self, worker: &WorkerId, report: &HoldReport, now: BootTime) {
        let tails = report.running.iter().filter_map(|run| {
            let target = self.target_ms(&run.task)?;
            Some(run.figure as f64 / target as f64)
        });
        let tail = tails.fold(0.0, f64::max);
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        let since_change = now.saturating_since(entry.paced_at);
        let percent = next_percent(entry.filler_percent, tail, since_change);
        if percent == entry.filler_percent {
            return;
        }
        entry.filler_percent = percent;
        entry.paced_at = now;
        let fillers = report.running.iter().map(|run| &run.task);
        let fillers: Vec<TaskId> = fillers
            .filter(|task| self.is_filler(task))
            .cloned()
            .collect();
        for task in fillers {
            self.pace_task(worker, &task, percent, now);
        }
    }

    /// Limits a filler that has just started to the share of its worker.
    pub(super) fn pace_started(&mut self, worker: &WorkerId, task: &TaskId, now: BootTime) {
        let percent = self
            .fleet
            .get(worker)
            .map_or(100, |entry| entry.filler_percent);
        if percent < 100 && self.is_filler(task) {
            self.pace_task(worker, task, percent, now);
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

    /// Returns the objective for the tail of a task that serves users.
    fn target_ms(&self, task: &TaskId) -> Option<u64> {
        let step = self.step_spec(task)?;
        (step.target_ms > 0).then_some(step.target_ms)
    }

    fn is_filler(&self, task: &TaskId) -> bool {
        let step = self.step_spec(task);
        step.is_some_and(|step| step.filler)
    }
}
