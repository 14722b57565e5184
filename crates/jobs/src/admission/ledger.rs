//! Work that one entry VM has admitted, to estimate what all have.
//!
//! Load pattern: a flood spread over many entry VMs, each of which would fill the
//! same capacity between two publications.

use std::collections::{HashMap, VecDeque};
use std::time;

use crate::name::{CustomerName, JobId, PoolName};
use crate::time::BootTime;

use super::JobArrival;
use super::summary::{BacklogLevel, CustomerBacklog};

/// Largest assumed ratio between what all VMs admit and what this one does.
const MAX_SCALE: f64 = 200.0;

#[derive(Clone, Debug)]
struct AdmittedJob {
    id: JobId,
    at: BootTime,
    priority: u32,
    latest_start: time::Duration,
    work: u64,
}

/// Jobs of one customer in one pool.
#[derive(Debug, Default)]
struct CustomerLedger {
    jobs: VecDeque<AdmittedJob>,
    /// Latest known ratio between what all VMs admit and what this one does.
    scale: Option<f64>,
}

/// Estimate of what all VMs admitted.
#[derive(Clone, Debug)]
pub(super) struct EstimatedAdmissions {
    pub(super) levels: Vec<BacklogLevel>,
    /// Ratio between what all VMs admit and what this one does.
    pub(super) scale: f64,
}

/// Jobs that this VM admitted within the comparison window.
#[derive(Debug)]
pub(super) struct AdmissionLedger {
    window: time::Duration,
    customers: HashMap<(PoolName, Option<CustomerName>), CustomerLedger>,
}

impl AdmissionLedger {
    pub(super) fn new(window: time::Duration) -> Self {
        Self {
            window,
            customers: HashMap::new(),
        }
    }

    fn customer(&mut self, arrival: &JobArrival) -> &mut CustomerLedger {
        let key = (arrival.pool.clone(), arrival.customer.clone());
        self.customers.entry(key).or_default()
    }

    /// Adds an admitted job.
    pub(super) fn add(&mut self, id: &JobId, arrival: &JobArrival, now: BootTime) {
        let Some(latest_start) = arrival.latest_start() else {
            return;
        };
        let window = self.window;
        let customer = self.customer(arrival);
        customer.remove_expired(window, now);
        customer.jobs.push_back(AdmittedJob {
            id: id.clone(),
            at: now,
            priority: arrival.priority,
            latest_start,
            work: arrival.work,
        });
    }

    /// Removes the latest admission of a job.
    pub(super) fn remove(&mut self, id: &JobId, arrival: &JobArrival) {
        let jobs = &mut self.customer(arrival).jobs;
        if let Some(position) = jobs.iter().rposition(|job| job.id == *id) {
            jobs.remove(position);
        }
    }

    /// Returns the estimated work that all VMs admitted for the customer of `arrival`
    /// since `made_at`, with latest starts counted from then.
    ///
    /// The jobs of this VM since then are the same fraction of its jobs in the window
    /// as those of all VMs are of theirs, which `arrival_rate` tells, in
    /// core-milliseconds a second. A VM that admitted none counts nothing.
    pub(super) fn admitted_since(
        &mut self,
        arrival: &JobArrival,
        made_at: BootTime,
        arrival_rate: u64,
        now: BootTime,
    ) -> EstimatedAdmissions {
        let window = self.window;
        let customer = self.customer(arrival);
        customer.remove_expired(window, now);
        let own: u64 = customer.jobs.iter().map(|job| job.work).sum();
        if own > 0 {
            let total = arrival_rate as f64 * window.as_secs_f64();
            customer.scale = Some((total / own as f64).clamp(1.0, MAX_SCALE));
        }
        let scale = customer.scale.unwrap_or(1.0);
        let mut sum = CustomerBacklog::default();
        for job in customer.jobs.iter().filter(|job| job.at >= made_at) {
            let latest_start = job.at.saturating_since(made_at) + job.latest_start;
            let work = (job.work as f64 * scale) as u64;
            sum.add_level(BacklogLevel::new(job.priority, latest_start, work));
        }
        EstimatedAdmissions {
            levels: sum.levels,
            scale,
        }
    }
}

impl CustomerLedger {
    fn remove_expired(&mut self, window: time::Duration, now: BootTime) {
        while let Some(job) = self.jobs.front()
            && now.saturating_since(job.at) > window
        {
            self.jobs.pop_front();
        }
    }
}
