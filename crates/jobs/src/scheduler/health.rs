//! Workers that fail their runs or reject orders, and get no new tasks for a while.
//!
//! Load pattern: a worker on which each run fails at once attracts all tasks, because
//! it is always free. Owners may end every few seconds; what they counted is stored
//! for the next one.

use std::cmp;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::WorkerId;
use crate::time::BootTime;
use crate::wait::RemainingWait;
use crate::worker::{EndedRun, ExitKind};

use super::{JobScheduler, WorkerStatus};

/// Health of a worker, as stored for the next owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct WorkerHealth {
    /// Incarnation of the worker.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Time for which it gets no new tasks.
    pub unhealthy: RemainingWait,
    /// Failed runs since the latest completed one.
    pub failures: u32,
    /// Ended runs up to this number are counted.
    pub counted_number: u64,
}

/// Health of the workers that get no new tasks or have failed runs.
pub type FleetHealth = BTreeMap<WorkerId, WorkerHealth>;

impl JobScheduler {
    /// Returns the health of workers that get no new tasks or have failed runs; of more
    /// workers than are stored, those that get none for longest, then those that
    /// have failed most runs.
    pub fn fleet_health(&self, now: BootTime) -> FleetHealth {
        let concerned = self
            .fleet
            .iter()
            .filter(|(_, entry)| entry.unhealthy_until > now || entry.consecutive_failures > 0);
        let mut health: Vec<(&WorkerId, WorkerHealth)> = concerned
            .map(|(id, entry)| {
                let health = WorkerHealth {
                    incarnation: entry.incarnation,
                    unhealthy: RemainingWait::until(entry.unhealthy_until, now),
                    failures: entry.consecutive_failures,
                    counted_number: entry.counted_number,
                };
                (id, health)
            })
            .collect();
        health.sort_by_key(|(id, health)| cmp::Reverse((health.unhealthy, health.failures, *id)));
        let health = health.into_iter().take(self.settings.max_stored_health);
        health.map(|(id, health)| (id.clone(), health)).collect()
    }

    /// Restores the health of workers, which an earlier owner had stored by the time
    /// `stored_by`; the workers must be listed already.
    pub fn restore_health(&mut self, health: &FleetHealth, stored_by: BootTime) {
        for (id, health) in health {
            let entry = self.fleet.get_mut(id);
            let entry = entry.filter(|entry| entry.incarnation == health.incarnation);
            if let Some(entry) = entry {
                entry.unhealthy_until = health.unhealthy.end(stored_by);
                entry.consecutive_failures = health.failures;
                entry.counted_number = health.counted_number;
            }
        }
    }

    /// Updates the consecutive failures of a worker after a run ended; at the limit,
    /// the worker gets no new tasks for a while.
    pub(super) fn update_failures(&mut self, worker: &WorkerId, ended: &EndedRun, now: BootTime) {
        let limit = self.settings.consecutive_failure_limit;
        let cooldown = self.settings.failure_cooldown;
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if ended.number <= entry.counted_number {
            return;
        }
        entry.counted_number = ended.number;
        match ended.kind {
            ExitKind::Done => entry.consecutive_failures = 0,
            ExitKind::Failed => entry.consecutive_failures += 1,
            _ => return,
        }
        if entry.consecutive_failures >= limit {
            entry.consecutive_failures = limit - 1;
            entry.unhealthy_until = now + cooldown;
            self.record_status(worker, WorkerStatus::Unhealthy);
        }
    }

    /// Withholds new tasks from a worker for a while.
    pub(super) fn suspend_worker(&mut self, worker: &WorkerId, now: BootTime) {
        let until = now + self.settings.rejection_cooldown;
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.unhealthy_until = entry.unhealthy_until.max(until);
            self.record_status(worker, WorkerStatus::Unhealthy);
        }
    }
}
