//! Summary of the work that waits for each pool, for the admission of jobs.
//!
//! Load pattern: tens of thousands of waiting tasks while jobs keep arriving at all
//! entry VMs. The summary is counted anew for each publication, a few times a second
//! at most, so that no change of a job costs anything for it; only arrivals are
//! counted as they come.

use std::collections::HashMap;
use std::time;

use crate::admission::{BacklogLevel, BacklogSummary, CustomerBacklog, LATEST_FACTOR, PoolBacklog};
use crate::name::{CustomerName, PoolName};
use crate::record::JobRecord;
use crate::time::{BootTime, WallTime};

use super::JobScheduler;
use super::entry::{JobEntry, TaskEntry, TaskPhase};

/// Time over which rates are averaged.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Time for which the waiting work must occupy a pool to be worth publishing: less
/// delays no job noticeably.
const MIN_DELAY: time::Duration = time::Duration::from_millis(200);

/// Pool and customer.
type BacklogKey = (PoolName, Option<CustomerName>);

/// Arrivals and rates of one customer in one pool.
#[derive(Clone, Copy, Debug, Default)]
struct WorkFlow {
    /// Estimated work that arrived since the latest sample, in core-milliseconds.
    arrived: u64,
    /// Work that was not done at the latest sample, in core-milliseconds.
    outstanding: u64,
    /// Arriving work, in core-milliseconds a second.
    arrival_rate: f64,
    /// Work that is done, in core-milliseconds a second.
    drain_rate: f64,
}

/// Rates of arriving and finished work.
#[derive(Debug, Default)]
pub(super) struct BacklogTracker {
    flows: HashMap<BacklogKey, WorkFlow>,
    sampled_at: Option<BootTime>,
}

impl BacklogTracker {
    /// Adds the estimated work of a job that arrived.
    pub(super) fn add_arrival(&mut self, pool: &PoolName, record: &JobRecord) {
        let key = (pool.clone(), record.customer.clone());
        let flow = self.flows.entry(key).or_default();
        flow.arrived += record.spec.estimated_work() / 1_000;
    }

    /// Updates the rates; returns whether they are known, which takes two samples.
    fn sample(&mut self, counts: &HashMap<BacklogKey, CustomerWork>, now: BootTime) -> bool {
        for key in counts.keys() {
            if !self.flows.contains_key(key) {
                self.flows.insert(key.clone(), WorkFlow::default());
            }
        }
        let previous = self.sampled_at.replace(now);
        let elapsed = previous.map(|previous| now.saturating_since(previous).as_secs_f64());
        for (key, flow) in &mut self.flows {
            let outstanding = counts.get(key).map_or(0, |work| work.outstanding);
            if let Some(seconds) = elapsed.filter(|seconds| *seconds > 0.0) {
                let done = (flow.outstanding + flow.arrived).saturating_sub(outstanding);
                let weight = (seconds / RATE_WINDOW.as_secs_f64()).min(1.0);
                let average = |rate: f64, work: u64| rate + weight * (work as f64 / seconds - rate);
                flow.arrival_rate = average(flow.arrival_rate, flow.arrived);
                flow.drain_rate = average(flow.drain_rate, done);
            }
            flow.arrived = 0;
            flow.outstanding = outstanding;
        }
        // A rate below one core-millisecond a second is none.
        self.flows.retain(|_, flow| {
            flow.outstanding > 0 || flow.arrival_rate >= 1.0 || flow.drain_rate >= 1.0
        });
        elapsed.is_some()
    }
}

/// Unfinished work of one customer in one pool, in core-milliseconds.
#[derive(Clone, Debug, Default)]
struct CustomerWork {
    backlog: CustomerBacklog,
    /// All work, also that of jobs that can no longer be done in time.
    outstanding: u64,
}

/// Processor of the workers of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    /// What tasks that end on their own can use.
    usable: u64,
    /// What workers without any task have.
    idle: u64,
}

impl JobScheduler {
    /// Returns the summary of the backlogs at `wall`; none until the rates are known,
    /// which takes two calls after a takeover.
    ///
    /// `standby_cpu_millis` is the processor of machines that no pool uses and that
    /// each may get, in thousandths of a core.
    pub fn backlog_summary(
        &mut self,
        standby_cpu_millis: u64,
        now: BootTime,
        wall: WallTime,
    ) -> Option<BacklogSummary> {
        let counts = self.count_backlog(now, wall);
        if !self.backlog.sample(&counts, now) {
            return None;
        }
        let capacities = self.pool_capacities();
        let mut summary = BacklogSummary {
            published: wall,
            ..BacklogSummary::default()
        };
        for (key, flow) in &self.backlog.flows {
            let (pool, customer) = key;
            let counted = counts.get(key);
            let backlog = counted.map(|work| work.backlog.clone());
            let entry = summary.pools.entry(pool.clone()).or_default();
            entry.customers.push(CustomerBacklog {
                customer: customer.clone(),
                weight: self.manifest.weight(customer.as_ref()),
                arrival_rate: flow.arrival_rate as u64,
                drain_rate: flow.drain_rate as u64,
                ..backlog.unwrap_or_default()
            });
        }
        for (name, pool) in &mut summary.pools {
            pool.cpu_millis = capacities.get(name).map_or(0, |capacity| capacity.usable);
        }
        summary.pools.retain(|_, pool| is_delayed(pool));
        add_reachable(&mut summary, &capacities, standby_cpu_millis);
        summary.limit();
        Some(summary)
    }

    /// Counts the unfinished work of all jobs that end on their own.
    fn count_backlog(&self, now: BootTime, wall: WallTime) -> HashMap<BacklogKey, CustomerWork> {
        let mut counts: HashMap<BacklogKey, CustomerWork> = HashMap::new();
        for job in self.jobs.values() {
            if job.state.is_final() || job.record.spec.is_long_running() {
                continue;
            }
            let work = job_work(job, now);
            if work == JobWork::default() {
                continue;
            }
            let key = (self.pool_of(job).clone(), job.record.customer.clone());
            let count = counts.entry(key).or_default();
            count.outstanding += work.waiting + work.running;
            count.backlog.running += work.running;
            let slack = self.latest_start_ms(job).checked_sub(wall.as_millis());
            if let Some(slack_ms) = slack.filter(|_| work.waiting > 0) {
                let queue = self.manifest.queue(&job.record.queue);
                let priority = queue.map_or(0, |queue| queue.priority);
                let slack = time::Duration::from_millis(slack_ms);
                let level = BacklogLevel::new(priority, slack, work.waiting);
                count.backlog.add_level(level);
            }
        }
        counts
    }

    /// Returns the latest time at which the rest of a job may start and the job still
    /// be of use, in milliseconds since the Unix epoch.
    fn latest_start_ms(&self, job: &JobEntry) -> u64 {
        let queue = self.manifest.queue(&job.record.queue);
        let critical_path = time::Duration::from_millis(job.critical_path_ms);
        let objective = queue.map_or(critical_path, |queue| queue.objective(critical_path));
        let latest_ms = objective.mul_f64(LATEST_FACTOR).as_millis() as u64;
        let latest_ms = job.released_ms().saturating_add(latest_ms);
        latest_ms.saturating_sub(job.remaining_ms())
    }

    fn pool_capacities(&self) -> HashMap<PoolName, PoolCapacity> {
        let mut capacities: HashMap<PoolName, PoolCapacity> = HashMap::new();
        for (_, entry) in self.fleet.iter() {
            let Some(view) = &entry.view else {
                continue;
            };
            if !entry.is_listed || view.is_draining || entry.is_blocked {
                continue;
            }
            let cpu_millis = view.capacity.cpu_millis;
            let capacity = capacities.entry(view.pool.clone()).or_default();
            capacity.usable += cpu_millis.saturating_sub(entry.long_running_cpu_millis);
            if entry.reservations.is_empty() {
                capacity.idle += cpu_millis;
            }
        }
        capacities
    }
}

/// Unfinished work of a job, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct JobWork {
    waiting: u64,
    running: u64,
}

fn job_work(job: &JobEntry, now: BootTime) -> JobWork {
    let mut work = JobWork::default();
    for occurrence in &job.occurrences {
        for (step, spec) in occurrence.steps.iter().zip(&job.record.spec.steps) {
            let mut waiting_tasks = 0;
            let mut running_ms: u64 = 0;
            for task in &step.tasks {
                match remaining_ms(task, spec.estimate_ms, now) {
                    Some(remaining_ms) => running_ms = running_ms.saturating_add(remaining_ms),
                    None => waiting_tasks += u64::from(task.phase == TaskPhase::Idle),
                }
            }
            let cpu_millis = spec.reserved().cpu_millis;
            let waiting_ms = spec.estimate_ms.saturating_mul(waiting_tasks);
            work.waiting += cpu_millis.saturating_mul(waiting_ms) / 1_000;
            work.running += cpu_millis.saturating_mul(running_ms) / 1_000;
        }
    }
    work
}

/// Returns the estimated time until the run of a task ends; none if it has no run.
fn remaining_ms(task: &TaskEntry, estimate_ms: u64, now: BootTime) -> Option<u64> {
    match &task.phase {
        TaskPhase::Idle | TaskPhase::Done => None,
        TaskPhase::Reserved(_) | TaskPhase::Ordered(_) | TaskPhase::Stopping(..) => {
            Some(estimate_ms)
        }
        TaskPhase::Running(_, progress) => {
            let elapsed_ms = now.saturating_since(progress.confirmed_at).as_millis();
            Some(estimate_ms.saturating_sub(elapsed_ms as u64))
        }
    }
}

/// Returns whether the waiting work occupies a pool for long enough to be published.
fn is_delayed(pool: &PoolBacklog) -> bool {
    let covered = u128::from(pool.cpu_millis) * MIN_DELAY.as_millis() / 1_000;
    u128::from(pool.waiting()) > covered
}

/// Divides the capacity of idle machines among the other pools, by their backlogs.
fn add_reachable(
    summary: &mut BacklogSummary,
    capacities: &HashMap<PoolName, PoolCapacity>,
    standby_cpu_millis: u64,
) {
    let idle = capacities.iter();
    let idle = idle.filter(|(name, _)| !summary.pools.contains_key(*name));
    let idle: u64 = idle.map(|(_, capacity)| capacity.idle).sum();
    let reachable = (idle + standby_cpu_millis) as f64;
    let total: u64 = summary.pools.values().map(PoolBacklog::waiting).sum();
    for pool in summary.pools.values_mut() {
        let fraction = pool.waiting() as f64 / total.max(1) as f64;
        pool.reachable_cpu_millis = (reachable * fraction) as u64;
    }
}
