//! What upkeep and capacity ask of the scheduler.

use std::collections::BTreeMap;

use crate::capacity::PoolDemand;
use crate::name::{PoolName, TaskId, WorkerId};
use crate::time::{BootTime, WallTime};
use crate::upkeep::WorkerLoad;

use super::JobScheduler;
use super::entry::{TaskEntry, TaskPhase};
use super::fleet::WorkerContact;

/// Progress of a long-running task that is at work.
const AT_WORK_PERCENT: u32 = 100;

impl JobScheduler {
    /// Returns what a worker runs.
    pub fn worker_load(&self, worker: &WorkerId) -> WorkerLoad {
        let mut load = WorkerLoad::default();
        let Some(entry) = self.fleet.get(worker) else {
            return load;
        };
        for task in entry.occupants.keys() {
            if self.is_long_running(task) {
                load.long_running += 1;
            } else {
                load.finite += 1;
            }
        }
        load
    }

    /// Returns what is asked of each pool.
    pub fn pool_demands(&mut self, wall: WallTime) -> BTreeMap<PoolName, PoolDemand> {
        let mut demands: BTreeMap<PoolName, PoolDemand> = BTreeMap::new();
        for (_, worker) in self.fleet.iter() {
            let Some(view) = &worker.view else {
                continue;
            };
            let demand = demands.entry(view.pool.clone()).or_default();
            for (task, occupant) in &worker.occupants {
                if self.is_long_running(task) {
                    demand.long_running += occupant.reserved.cpu_millis;
                } else {
                    demand.running += occupant.reserved.cpu_millis;
                }
            }
        }
        for id in &self.waiting {
            if let Some(job) = self.jobs.get(id) {
                let pool = self.pool_of(job);
                let demand = demands.entry(pool.clone()).or_default();
                if job.record.spec.is_long_running() {
                    demand.waiting_long_running += job.waiting_tasks();
                } else if self.is_late(job, wall) {
                    demand.waiting_late += job.waiting_cpu();
                } else {
                    demand.waiting += job.waiting_cpu();
                }
            }
        }
        for task in std::mem::take(&mut self.displaced) {
            if let Some(job) = self.jobs.get(&task.job) {
                let demand = demands.entry(self.pool_of(job).clone()).or_default();
                demand.waiting_long_running += 1;
            }
        }
        for (pool, arrivals) in &self.arrivals {
            let demand = demands.entry(pool.clone()).or_default();
            demand.arrived_jobs = arrivals.jobs;
            demand.arrived_work = arrivals.work;
        }
        demands
    }

    /// Notes that a worker's machine was ordered away: nothing of it is left.
    pub fn worker_removed(&mut self, worker: &WorkerId) {
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.is_listed = false;
            entry.is_blocked = true;
        }
    }

    /// Lets a worker have new work, or keeps it away.
    pub fn block_worker(&mut self, worker: &WorkerId, is_blocked: bool) {
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.is_blocked = is_blocked;
            self.may_place = true;
        }
    }

    /// Stops the long-running tasks on a worker, as far as the budget of
    /// their step allows; they start again elsewhere. Those that find no room
    /// go on, and count as demand until the next look at it.
    pub fn evict_long_running(&mut self, worker: &WorkerId, now: BootTime) {
        let Some(entry) = self.fleet.get(worker) else {
            return;
        };
        let tasks: Vec<TaskId> = entry.occupants.keys().cloned().collect();
        for task in tasks {
            if !self.is_long_running(&task) || !self.may_interrupt(&task) {
                continue;
            }
            if self.has_place_for(&task, now) {
                self.stop_task(&task, now);
            } else {
                self.displaced.insert(task);
            }
        }
    }

    /// Returns whether a worker has room for another run of the task.
    fn has_place_for(&self, task: &TaskId, now: BootTime) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.state.is_final() {
            return true;
        }
        let options = self.options(self.pool_of(job), now);
        let spec = self.step_spec(task);
        spec.is_some_and(|spec| self.choose(task, spec, &options).is_some())
    }

    /// Returns whether the step's budget allows to make the task unavailable.
    fn may_interrupt(&self, task: &TaskId) -> bool {
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
        let away = others
            .filter(|(index, other)| *index != task.index as usize && !self.is_at_work(other))
            .count();
        away < budget as usize
    }

    /// Returns whether a long-running task is at work on a worker that answers.
    fn is_at_work(&self, task: &TaskEntry) -> bool {
        let TaskPhase::Running(place, progress) = &task.phase else {
            return false;
        };
        let worker = self.fleet.get(&place.worker);
        let answers = worker.is_some_and(|entry| entry.contact == WorkerContact::Heard);
        answers && progress.percent >= AT_WORK_PERCENT
    }
}
