//! Times after which refused callers may retry.
//!
//! Load pattern: thousands of refused callers that return together and are refused
//! again. Each gets a time of its own, at the rate at which the backlog of its
//! customer drains, in the order of the refusals. A job that returns early and is
//! refused again keeps its time; one that returns as told and is refused again does
//! not go behind those that were refused after it.

use std::collections::{HashMap, VecDeque};
use std::time;

use crate::name::{CustomerName, JobId, PoolName};
use crate::time::BootTime;

use super::{AdmissionSettings, ExcessWork, JobArrival, fraction_of};

/// Least rate at which a backlog is assumed to drain, in core-milliseconds a second.
const MIN_DRAIN_RATE: f64 = 1.0;

/// Retry times of refused jobs.
#[derive(Debug)]
pub(super) struct RetryQueue {
    min_delay: time::Duration,
    max_delay: time::Duration,
    max_remembered: usize,
    /// Fraction of the time between two refused jobs by which the times of this VM
    /// differ from those of others.
    phase: f64,
    /// Latest retry time that each customer was given.
    last: HashMap<(PoolName, Option<CustomerName>), BootTime>,
    by_job: HashMap<JobId, BootTime>,
    /// Remembered jobs, in the order of their refusals.
    order: VecDeque<JobId>,
}

impl RetryQueue {
    pub(super) fn new(settings: &AdmissionSettings, seed: u64) -> Self {
        Self {
            min_delay: settings.min_retry_after,
            max_delay: settings.max_retry_after,
            max_remembered: settings.max_remembered,
            phase: fraction_of(seed),
            last: HashMap::new(),
            by_job: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records a refusal; returns the time after which the caller may retry.
    pub(super) fn refuse(
        &mut self,
        id: &JobId,
        arrival: &JobArrival,
        excess: &ExcessWork,
        now: BootTime,
    ) -> time::Duration {
        let promised = self.by_job.get(id).copied();
        if let Some(time) = promised.filter(|time| *time > now) {
            return self.bounded(time.saturating_since(now));
        }
        let drain_time = |work: f64| {
            let seconds = work / excess.drain_rate.max(MIN_DRAIN_RATE);
            time::Duration::from_secs_f64(seconds.min(self.max_delay.as_secs_f64()))
        };
        let key = (arrival.pool.clone(), arrival.customer.clone());
        let phase = drain_time(arrival.work as f64).mul_f64(self.phase);
        let drained_at = now + drain_time(excess.work) + phase;
        let after_last = self
            .last
            .get(&key)
            .map(|last| *last + drain_time(arrival.work as f64));
        // A job that returned as told does not go behind those refused after it.
        let after_last = after_last.filter(|_| promised.is_none());
        let retry_at = after_last.map_or(drained_at, |after| after.max(drained_at));
        let delay = self.bounded(retry_at.saturating_since(now));
        let retry_at = now + delay;
        let last = self.last.entry(key).or_default();
        *last = retry_at.max(*last);
        self.remember(id, retry_at);
        delay
    }

    fn bounded(&self, delay: time::Duration) -> time::Duration {
        delay.clamp(self.min_delay, self.max_delay)
    }

    fn remember(&mut self, id: &JobId, retry_at: BootTime) {
        if self.by_job.insert(id.clone(), retry_at).is_none() {
            self.order.push_back(id.clone());
        }
        while self.order.len() > self.max_remembered {
            if let Some(oldest) = self.order.pop_front() {
                self.by_job.remove(&oldest);
            }
        }
    }

    /// Forgets a job that was admitted.
    pub(super) fn forget(&mut self, id: &JobId) {
        self.by_job.remove(id);
    }
}
