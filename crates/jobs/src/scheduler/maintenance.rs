//! Load, demand and eviction of tasks for maintenance and capacity planning.

use std::collections::BTreeMap;

use crate::block::WorkerBlocks;
use crate::capacity::PoolDemand;
use crate::maintenance::WorkerLoad;
use crate::name::{PoolName, TaskId, WorkerId};
use crate::time::{BootTime, WallTime};

use super::JobScheduler;
use super::entry::{TaskEntry, TaskPhase};
use super::fleet::ContactState;

/// Progress of a long-running task that is serving.
const SERVING_PERCENT: u32 = 100;

impl JobScheduler {
    /// Returns the numbers of tasks that run on a worker.
    pub fn worker_load(&self, worker: &WorkerId) -> WorkerLoad {
        let Some(entry) = self.fleet.get(worker) else {
            return WorkerLoad::default();
        };
        let count = entry.reservations.len() as u32;
        WorkerLoad {
            finite: count - entry.long_running_count,
            long_running: entry.long_running_count,
        }
    }

    /// Returns the demand of each pool.
    pub fn pool_demands(&mut self, wall: WallTime) -> BTreeMap<PoolName, PoolDemand> {
        self.rank_overdue_jobs(wall);
        let mut demands: BTreeMap<PoolName, PoolDemand> = BTreeMap::new();
        for (_, worker) in self.fleet.iter() {
            let Some(view) = &worker.view else {
                continue;
            };
            let demand = demands.entry(view.pool.clone()).or_default();
            demand.long_running += worker.long_running_cpu_millis;
            demand.running += worker.used.cpu_millis - worker.long_running_cpu_millis;
        }
        for (id, waiting) in self.waiting.iter() {
            if !demands.contains_key(&waiting.pool) {
                demands.insert(waiting.pool.clone(), PoolDemand::default());
            }
            let Some(demand) = demands.get_mut(&waiting.pool) else {
                continue;
            };
            let denied = self.denied_cpu(id);
            if waiting.rank.is_finite && waiting.rank.is_late {
                demand.waiting_late = demand.waiting_late.saturating_add(waiting.waiting_cpu);
                demand.denied_late = demand.denied_late.max(denied);
                continue;
            }
            demand.denied = demand.denied.max(denied);
            if waiting.rank.is_finite {
                demand.waiting = demand.waiting.saturating_add(waiting.waiting_cpu);
            } else {
                demand.waiting_long_running += waiting.waiting_tasks;
            }
        }
        for task in std::mem::take(&mut self.displaced) {
            if let Some(job) = self.jobs.get(&task.job) {
                let demand = demands.entry(self.pool_of(job).clone()).or_default();
                demand.waiting_long_running += 1;
            }
        }
        for (pool, displaced) in self.displaced_by_evacuation() {
            let demand = demands.entry(pool.clone()).or_default();
            demand.waiting_long_running += displaced;
        }
        for (pool, arrivals) in &self.arrivals {
            let demand = demands.entry(pool.clone()).or_default();
            demand.arrived_jobs = arrivals.jobs;
            demand.arrived_work = arrivals.work;
        }
        demands
    }

    /// Handles that the machine was taken from under an incarnation of a worker: none of its
    /// tasks is left.
    pub fn worker_removed(&mut self, worker: &WorkerId, incarnation: u64) {
        let entry = self.fleet.get_mut(worker);
        if let Some(entry) = entry.filter(|entry| entry.incarnation == incarnation) {
            entry.is_listed = false;
            entry.is_removed = true;
        }
    }

    /// Replaces the blocks of workers by those that waves and moves need now.
    pub fn set_blocks(&mut self, blocks: WorkerBlocks) {
        for worker in self.fleet.set_blocks(blocks) {
            self.mark_worker_changed(&worker);
        }
    }

    /// Returns the present incarnation of a worker, if it is tracked.
    pub fn incarnation(&self, worker: &WorkerId) -> Option<u64> {
        self.fleet.get(worker).map(|entry| entry.incarnation)
    }

    /// Stops the long-running tasks on a worker, as far as the budget of
    /// their step allows; they start again elsewhere. Those that fit on no other
    /// worker keep running, and count as demand in the next `pool_demands`.
    pub fn evict_long_running(&mut self, worker: &WorkerId, now: BootTime) {
        let entry = self.fleet.get(worker);
        // Tasks on evacuated workers move anyway.
        let Some(entry) = entry.filter(|entry| !entry.is_evacuated) else {
            return;
        };
        let tasks: Vec<TaskId> = entry.reservations.keys().cloned().collect();
        for task in tasks {
            if !self.is_long_running(&task) || !self.may_interrupt(&task) {
                continue;
            }
            if self.has_capacity_for(&task, now) {
                self.stop_task(&task, now);
            } else {
                self.displaced.insert(task);
            }
        }
    }

    /// Returns whether another worker has capacity for a further run of the task.
    fn has_capacity_for(&self, task: &TaskId, now: BootTime) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.state.is_final() {
            return true;
        }
        let candidates = self.candidates(self.pool_of(job), now);
        let spec = self.step_spec(task);
        spec.is_some_and(|spec| self.choose_candidate(task, spec, &candidates).is_some())
    }

    /// Returns whether the step's budget allows making the task unavailable.
    pub(super) fn may_interrupt(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.state.is_final() {
            return true;
        }
        let spec = self.step_spec(task);
        let Some(budget) = spec.and_then(|spec| spec.max_unavailable) else {
            return true;
        };
        let Some(step) = job.step(task.occurrence, task.step) else {
            return true;
        };
        let others = step.tasks.iter().enumerate();
        let others = others.filter(|(index, _)| *index != task.index as usize);
        let unavailable = others.filter(|(index, other)| {
            let name = TaskId {
                index: *index as u32,
                ..task.clone()
            };
            !self.is_serving(&name, other)
        });
        unavailable.count() < budget as usize
    }

    /// Returns whether a long-running task is serving on a responsive worker, and
    /// no order of an earlier owner can still stop it.
    fn is_serving(&self, name: &TaskId, task: &TaskEntry) -> bool {
        let TaskPhase::Running(location, progress) = &task.phase else {
            return false;
        };
        let worker = self.fleet.get(&location.worker);
        let stop_timeout = self.settings.stop_timeout;
        let is_reliable = worker.is_some_and(|entry| {
            entry.contact == ContactState::Responsive
                && entry.has_settled(stop_timeout)
                && !entry.is_over(name)
        });
        is_reliable && progress.percent >= SERVING_PERCENT
    }
}
