//! Summary of the work that waits for each pool, for the admission of jobs.
//!
//! Load pattern: tens of thousands of waiting tasks while jobs keep arriving at all
//! entry VMs. The summary is counted anew for each publication, a few times a second
//! at most, so that no change of a job costs anything for it; only arrivals are
//! counted as they come.

use std::collections::HashMap;
use std::ops;
use std::time;

use crate::admission::{
    BacklogLevel, BacklogSummary, CustomerBacklog, LATEST_FACTOR, PoolBacklog, averaged_rate,
};
use crate::name::{CustomerName, JobId, PoolName};
use crate::record::{JobRecord, JobState};
use crate::time::{BootTime, WallTime};

use super::JobScheduler;
use super::entry::{JobEntry, TaskEntry, TaskPhase};

/// Time for which the waiting work must occupy a pool that is not full to be worth
/// publishing: less delays no job noticeably.
const MIN_DELAY: time::Duration = time::Duration::from_millis(200);

/// Fraction of its processor that the tasks of a full pool reserve; the rest fits none.
const FULL_FRACTION: f64 = 0.9;

/// Limits of the work for each core-millisecond. Callers may estimate many times what
/// their tasks take; the lower limit is for samples in which hardly anything ended.
const EFFICIENCY_RANGE: ops::RangeInclusive<f64> = 0.5..=100.0;

/// Values that are taken for one while the pool is not full.
const SAMPLING_ERROR: ops::RangeInclusive<f64> = 0.6..=1.7;

/// Time for which an entry VM counts after a job that it accepted: in a flood of which
/// most is refused, each VM admits one only now and then.
const ENTRY_WINDOW: time::Duration = time::Duration::from_secs(60);

/// Time for which a pool is published after it was busy: if a flood that is refused
/// leaves nothing that waits, entry VMs need its capacity until they admit again.
const LISTED_TIME: time::Duration = time::Duration::from_secs(10);

/// Weight of the latest sample in its averages.
const EFFICIENCY_WEIGHT: f64 = 0.25;

/// Pool and customer.
type BacklogKey = (PoolName, Option<CustomerName>);

/// Arrivals and rates of one customer in one pool.
#[derive(Clone, Debug, Default)]
struct WorkFlow {
    /// Jobs that each entry VM accepted.
    entries: EntryCounts,
    /// Estimated work that arrived since the latest sample, in core-milliseconds.
    arrived: u64,
    /// Estimated work that was given up since then: jobs that were cancelled or failed.
    dropped: u64,
    /// Work that was not done at the latest sample, in core-milliseconds.
    outstanding: u64,
    /// Arriving work, in core-milliseconds a second.
    arrival_rate: f64,
    /// Work that is done, in core-milliseconds a second.
    drain_rate: f64,
}

/// Jobs that one entry VM accepted, and when it last did, by the samples.
#[derive(Clone, Copy, Debug, Default)]
struct EntryCount {
    jobs: u64,
    /// Part of the jobs since the latest sample.
    recent_jobs: u64,
    accepted_at: BootTime,
}

/// Jobs that each entry VM accepted.
#[derive(Clone, Debug, Default)]
struct EntryCounts {
    counts: HashMap<u64, EntryCount>,
}

impl EntryCounts {
    fn len(&self) -> u64 {
        self.counts.len() as u64
    }

    fn add(&mut self, entry: u64) {
        let count = self.counts.entry(entry).or_default();
        count.jobs += 1;
        count.recent_jobs += 1;
    }

    /// Forgets the entry VMs that accepted none for long.
    fn sample(&mut self, now: BootTime) {
        for count in self.counts.values_mut() {
            if count.recent_jobs > 0 {
                count.recent_jobs = 0;
                count.accepted_at = now;
            }
        }
        self.counts
            .retain(|_, count| now.saturating_since(count.accepted_at) <= ENTRY_WINDOW);
    }

    /// Returns the estimated number of entry VMs that get the jobs, at most `all` if no
    /// more accepted one: jobs that are spread evenly over so many would be seen at as
    /// many as these were.
    fn estimate(&self, all: u64) -> u64 {
        let seen = self.len();
        let jobs: u64 = self.counts.values().map(|count| count.jobs).sum();
        let is_enough = |number: u64| {
            let expected = -(-(jobs as f64) / number as f64).exp_m1() * number as f64;
            expected >= seen as f64
        };
        let (mut below, mut above) = (seen, all.max(seen));
        while below < above {
            let middle = below + (above - below) / 2;
            if is_enough(middle) {
                above = middle;
            } else {
                below = middle + 1;
            }
        }
        below
    }
}

/// Averages of the work that is done and of the processor that it takes.
#[derive(Clone, Copy, Debug, Default)]
struct WorkRatio {
    /// Estimated work, in core-milliseconds a second.
    done: f64,
    /// Processor, in thousandths of a core.
    used: f64,
}

impl WorkRatio {
    fn sample(&mut self, done: f64, used: f64) {
        self.done += EFFICIENCY_WEIGHT * (done - self.done);
        self.used += EFFICIENCY_WEIGHT * (used - self.used);
    }

    /// Returns the estimated work that is done with each core-millisecond, if any is
    /// used.
    fn value(&self) -> Option<f64> {
        let value = self.done / self.used;
        let value = value.clamp(*EFFICIENCY_RANGE.start(), *EFFICIENCY_RANGE.end());
        (self.used >= 1.0).then_some(value)
    }
}

/// Work that a pool does with its processor.
#[derive(Clone, Copy, Debug, Default)]
struct PoolEfficiency {
    /// While it was full.
    full: WorkRatio,
    /// At other times, by the processor in use at each sample.
    partly_used: WorkRatio,
    is_full: bool,
}

impl PoolEfficiency {
    /// Updates the averages by the work that was done in a period of `seconds`.
    fn sample(&mut self, done: u64, capacity: &PoolCapacity, seconds: f64) {
        let was_full = self.is_full;
        self.is_full =
            capacity.usable > 0 && capacity.used as f64 >= FULL_FRACTION * capacity.usable as f64;
        if capacity.leaving > 0 {
            // Part of the work was done on workers that no longer count.
            return;
        }
        let done_rate = done as f64 / seconds;
        if was_full && self.is_full {
            // What a full pool leaves unused between two tasks is not to be had.
            self.full.sample(done_rate, capacity.usable as f64);
        } else {
            self.partly_used.sample(done_rate, capacity.used as f64);
        }
    }

    /// Returns the estimated work that is done with each core-millisecond; it is one if
    /// tasks take their estimates and begin at once.
    fn value(&self) -> f64 {
        let of_part = self.partly_used.value();
        // The use between samples is not known, so that small differences say nothing.
        let of_part = of_part.filter(|value| !SAMPLING_ERROR.contains(value));
        self.full.value().or(of_part).unwrap_or(1.0)
    }
}

/// Rates of arriving and finished work.
#[derive(Debug, Default)]
pub(super) struct BacklogTracker {
    flows: HashMap<BacklogKey, WorkFlow>,
    /// Jobs of all pools and customers that each entry VM accepted.
    entries: EntryCounts,
    efficiencies: HashMap<PoolName, PoolEfficiency>,
    /// When each pool was last full or delayed.
    busy_at: HashMap<PoolName, BootTime>,
    sampled_at: Option<BootTime>,
}

impl BacklogTracker {
    /// Adds the estimated work of a job that arrived.
    pub(super) fn add_arrival(&mut self, pool: &PoolName, record: &JobRecord) {
        let key = (pool.clone(), record.customer.clone());
        let flow = self.flows.entry(key).or_default();
        let work = record.spec.estimated_work() / 1_000;
        flow.arrived = flow.arrived.saturating_add(work);
        flow.entries.add(record.accepted_by);
        self.entries.add(record.accepted_by);
    }

    fn is_full(&self, pool: &PoolName) -> bool {
        let efficiency = self.efficiencies.get(pool);
        efficiency.is_some_and(|efficiency| efficiency.is_full)
    }

    /// Returns whether a pool is full or delayed, or was lately.
    fn is_listed(&mut self, name: &PoolName, pool: &PoolBacklog, now: BootTime) -> bool {
        if self.is_full(name) || is_delayed(pool) {
            self.busy_at.insert(name.clone(), now);
        }
        let busy_at = self.busy_at.get(name);
        busy_at.is_some_and(|at| now.saturating_since(*at) <= LISTED_TIME)
    }

    fn efficiency(&self, pool: &PoolName) -> f64 {
        let efficiency = self.efficiencies.get(pool);
        efficiency.map_or(1.0, PoolEfficiency::value)
    }

    /// Updates the rates; returns whether they are known, which takes two samples.
    fn sample(
        &mut self,
        counts: &HashMap<BacklogKey, CustomerBacklog>,
        capacities: &HashMap<PoolName, PoolCapacity>,
        now: BootTime,
    ) -> bool {
        for key in counts.keys() {
            if !self.flows.contains_key(key) {
                self.flows.insert(key.clone(), WorkFlow::default());
            }
        }
        let previous = self.sampled_at.replace(now);
        let elapsed = previous.map(|previous| now.saturating_since(previous).as_secs_f64());
        let seconds = elapsed.filter(|seconds| *seconds > 0.0);
        let mut done: HashMap<&PoolName, u64> = HashMap::new();
        self.entries.sample(now);
        for (key, flow) in &mut self.flows {
            let outstanding = counts.get(key).map_or(0, CustomerBacklog::unfinished);
            if let Some(seconds) = seconds {
                *done.entry(&key.0).or_default() += flow.sample(outstanding, seconds);
            }
            flow.entries.sample(now);
            flow.arrived = 0;
            flow.dropped = 0;
            flow.outstanding = outstanding;
        }
        if let Some(seconds) = seconds {
            for (pool, capacity) in capacities {
                let done = done.get(pool).copied().unwrap_or(0);
                let efficiency = self.efficiencies.entry(pool.clone()).or_default();
                efficiency.sample(done, capacity, seconds);
            }
        }
        // A rate below one core-millisecond a second is none.
        self.flows.retain(|_, flow| {
            flow.outstanding > 0 || flow.arrival_rate >= 1.0 || flow.drain_rate >= 1.0
        });
        elapsed.is_some()
    }
}

impl WorkFlow {
    /// Updates the rates after a period of `seconds`; returns the work that was done.
    fn sample(&mut self, outstanding: u64, seconds: f64) -> u64 {
        let before = self.outstanding.saturating_add(self.arrived);
        let done = before
            .saturating_sub(outstanding)
            .saturating_sub(self.dropped);
        self.arrival_rate = averaged_rate(self.arrival_rate, self.arrived, seconds);
        self.drain_rate = averaged_rate(self.drain_rate, done, seconds);
        done
    }
}

/// Processor of the workers of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    /// What tasks that end on their own can use.
    usable: u64,
    /// What such tasks reserve.
    used: u64,
    /// What workers without any task have.
    idle: u64,
    /// What evacuated workers have.
    evacuated: u64,
    /// What tasks on these reserve.
    leaving: u64,
}

impl PoolCapacity {
    /// Returns whether all workers are evacuated.
    fn is_evacuated(&self) -> bool {
        self.usable == 0 && self.evacuated > 0
    }
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
        let capacities = self.pool_capacities();
        if !self.backlog.sample(&counts, &capacities, now) {
            return None;
        }
        let mut summary = BacklogSummary {
            published: wall,
            ..BacklogSummary::default()
        };
        for (key, flow) in &self.backlog.flows {
            let (pool, customer) = key;
            let backlog = counts.get(key).cloned();
            let entry = summary.pools.entry(pool.clone()).or_default();
            entry.customers.push(CustomerBacklog {
                customer: customer.clone(),
                weight: self.manifest.weight(customer.as_ref()),
                entry_count: flow.entries.estimate(self.backlog.entries.len()),
                arrival_rate: flow.arrival_rate as u64,
                drain_rate: flow.drain_rate as u64,
                ..backlog.unwrap_or_default()
            });
        }
        for (name, pool) in &mut summary.pools {
            let usable = capacities.get(name).map_or(0, |capacity| capacity.usable);
            let efficiency = self.backlog.efficiency(name);
            pool.work_rate = (usable as f64 * efficiency) as u64;
        }
        let evacuated = capacities.iter().filter(|(_, pool)| pool.is_evacuated());
        for (name, _) in evacuated {
            summary.pools.entry(name.clone()).or_default();
        }
        // Workers that are all gone are about to come back: when, is not known. Those that
        // are all evacuated are not.
        summary.pools.retain(|name, pool| {
            let is_listed = self.backlog.is_listed(name, pool, now) && pool.work_rate > 0;
            is_listed || capacities.get(name).is_some_and(PoolCapacity::is_evacuated)
        });
        let busy_at = &self.backlog.busy_at;
        let is_busy = |name: &PoolName| busy_at.get(name) == Some(&now);
        add_reachable(&mut summary, &capacities, standby_cpu_millis, is_busy);
        summary.limit();
        Some(summary)
    }

    /// Counts the work of a job that is to end without being done.
    pub(super) fn count_dropped(&mut self, id: &JobId, now: BootTime) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.state.is_final() || job.record.spec.is_long_running() {
            return;
        }
        let work = job_work(job, now);
        let key = (self.pool_of(job).clone(), job.record.customer.clone());
        let flow = self.backlog.flows.entry(key).or_default();
        flow.dropped += work.waiting + work.running;
    }

    /// Counts the unfinished work of all jobs that end on their own.
    fn count_backlog(&self, now: BootTime, wall: WallTime) -> HashMap<BacklogKey, CustomerBacklog> {
        let mut counts: HashMap<BacklogKey, CustomerBacklog> = HashMap::new();
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
            count.running += work.running;
            let slack_ms = self.expiry_ms(job).checked_sub(wall.as_millis());
            let Some(slack_ms) = slack_ms else {
                count.expired += work.waiting;
                continue;
            };
            if work.waiting > 0 {
                let queue = self.manifest.queue(&job.record.queue);
                let priority = queue.map_or(0, |queue| queue.priority);
                let slack = time::Duration::from_millis(slack_ms);
                let level = BacklogLevel::new(priority, slack, work.waiting);
                count.add_level(level);
            }
        }
        counts
    }

    /// Returns the latest time at which the rest of a job may start and the job still
    /// be of use, in milliseconds since the Unix epoch; a long-running one, or one
    /// without an objective, always is.
    pub(super) fn expiry_ms(&self, job: &JobEntry) -> u64 {
        if job.record.spec.is_long_running() {
            return u64::MAX;
        }
        let queue = self.manifest.queue(&job.record.queue);
        let critical_path = time::Duration::from_millis(job.critical_path_ms);
        let objective = queue.map_or(critical_path, |queue| queue.objective(critical_path));
        if objective.is_zero() {
            return u64::MAX;
        }
        let latest_ms = objective.mul_f64(LATEST_FACTOR).as_millis() as u64;
        let latest_ms = job.released_ms().saturating_add(latest_ms);
        let remaining_ms = match is_untouched(job) {
            true => job.critical_path_ms,
            false => job.remaining_ms(),
        };
        latest_ms.saturating_sub(remaining_ms)
    }

    fn pool_capacities(&self) -> HashMap<PoolName, PoolCapacity> {
        let mut capacities: HashMap<PoolName, PoolCapacity> = HashMap::new();
        for (_, entry) in self.fleet.iter() {
            let Some(view) = &entry.view else {
                continue;
            };
            if !entry.is_listed || view.is_draining || entry.is_blocked() {
                continue;
            }
            let cpu_millis = view.capacity.cpu_millis;
            let capacity = capacities.entry(view.pool.clone()).or_default();
            if entry.is_evacuated {
                capacity.evacuated += cpu_millis;
                capacity.leaving += entry.used.cpu_millis;
                continue;
            }
            capacity.usable += cpu_millis.saturating_sub(entry.long_running_cpu_millis);
            let used = entry.used.cpu_millis;
            capacity.used += used.saturating_sub(entry.long_running_cpu_millis);
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

/// Returns whether no task of a job without a schedule has started, as most are in a
/// large backlog: its tasks need not be looked at.
fn is_untouched(job: &JobEntry) -> bool {
    job.state == JobState::Queued && job.record.spec.schedule.is_none()
}

fn job_work(job: &JobEntry, now: BootTime) -> JobWork {
    if is_untouched(job) {
        let waiting = job.record.spec.estimated_work() / 1_000;
        return JobWork {
            waiting,
            running: 0,
        };
    }
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
    let expired: u64 = pool.customers.iter().map(|entry| entry.expired).sum();
    let waiting = pool.waiting() + expired;
    let covered = u128::from(pool.work_rate) * MIN_DELAY.as_millis() / 1_000;
    u128::from(waiting) > covered
}

/// Divides the idle machines of pools that are not busy among the listed pools, by their
/// backlogs. A pool that is evacuated gets some once work arrives.
fn add_reachable(
    summary: &mut BacklogSummary,
    capacities: &HashMap<PoolName, PoolCapacity>,
    standby_cpu_millis: u64,
    is_busy: impl Fn(&PoolName) -> bool,
) {
    let idle = capacities.iter();
    let idle = idle.filter(|(name, _)| !is_busy(name));
    let idle: u64 = idle.map(|(_, capacity)| capacity.idle).sum();
    let reachable = (idle + standby_cpu_millis) as f64;
    let total: u64 = summary.pools.values().map(PoolBacklog::waiting).sum();
    for pool in summary.pools.values_mut() {
        let fraction = match pool.waiting() {
            0 if pool.work_rate == 0 => 1.0,
            waiting => waiting as f64 / total.max(1) as f64,
        };
        pool.reachable_work_rate = (reachable * fraction) as u64;
    }
}
