//! Work that one entry VM has admitted, to estimate what all have.
//!
//! Load pattern: a flood spread over many entry VMs, each of which would fill the
//! same capacity between two publications.

use std::collections::{HashMap, VecDeque};
use std::time;

use crate::name::{CustomerName, JobId, PoolName};
use crate::time::BootTime;

use super::summary::{BacklogSummary, averaged_rate};
use super::{AdmissionSettings, AdmittedWork, JobArrival, fraction_of};

/// Jobs a second that are added to what each VM admitted, since a VM may have admitted
/// none. Fewer would make such a VM refuse jobs that fit.
const ADDED_JOBS: f64 = 1.0;

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
    /// Jobs that the received summary may not include.
    jobs: VecDeque<AdmittedJob>,
    /// Work admitted by this VM, in core-milliseconds a second, averaged as in the
    /// summary.
    rate: f64,
    comparison: Option<AdmissionComparison>,
    /// When this VM last refused a job.
    refused_at: Option<BootTime>,
}

/// What all VMs admitted and what this one did, in core-milliseconds a second, when all
/// admitted most.
#[derive(Clone, Copy, Debug)]
struct AdmissionComparison {
    all: f64,
    own: f64,
    /// Largest number of VMs that admitted any, as far as known.
    entry_count: u64,
    made_at: BootTime,
}

/// Estimate of what all VMs admitted.
#[derive(Clone, Debug)]
pub(super) struct EstimatedAdmissions {
    pub(super) work: Vec<AdmittedWork>,
    /// Ratio between what all VMs admit and what this one does.
    pub(super) ratio: f64,
}

/// Jobs that this VM admitted.
#[derive(Debug)]
pub(super) struct AdmissionLedger {
    /// Time for which jobs are kept: no older summary is used.
    kept: time::Duration,
    comparison_validity: time::Duration,
    compared_at: Option<BootTime>,
    /// Number that differs from VM to VM.
    seed: u64,
    customers: HashMap<(PoolName, Option<CustomerName>), CustomerLedger>,
}

impl AdmissionLedger {
    pub(super) fn new(settings: &AdmissionSettings, seed: u64) -> Self {
        Self {
            kept: settings.max_age,
            comparison_validity: settings.comparison_validity,
            compared_at: None,
            seed,
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
        let kept = self.kept;
        let customer = self.customer(arrival);
        customer.remove_older(kept, now);
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
        let customer = self.customer(arrival);
        let position = customer.jobs.iter().rposition(|job| job.id == *id);
        if let Some(position) = position {
            customer.jobs.remove(position);
        }
    }

    /// Compares what this VM admitted with what a summary that was made at `made_at`
    /// says of all, for customers whose jobs wait: for others nothing depends on it.
    pub(super) fn compare(&mut self, summary: &BacklogSummary, made_at: BootTime) {
        let previous = self.compared_at.replace(made_at);
        let Some(previous) = previous.filter(|previous| *previous < made_at) else {
            return;
        };
        let seconds = made_at.saturating_since(previous).as_secs_f64();
        // A VM that has admitted none needs a comparison too.
        for (pool, backlog) in &summary.pools {
            for entry in backlog.customers.iter().filter(|entry| entry.waiting() > 0) {
                let key = (pool.clone(), entry.customer.clone());
                self.customers.entry(key).or_default();
            }
        }
        for ((pool, customer), entry) in &mut self.customers {
            let jobs = entry.jobs.iter();
            let covered = jobs.filter(|job| (previous..made_at).contains(&job.at));
            let work = covered.map(|job| job.work).sum();
            entry.rate = averaged_rate(entry.rate, work, seconds);
            let pool = summary.pools.get(pool);
            let all = pool.and_then(|pool| pool.customer(customer));
            let all = all.filter(|all| all.waiting() > 0);
            let published_count = all.map_or(0, |all| all.entry_count);
            let all = all.map(|all| all.arrival_rate as f64);
            let previous = entry.comparison.filter(|previous| {
                made_at.saturating_since(previous.made_at) <= self.comparison_validity
            });
            let known_count = previous.map_or(1, |previous| previous.entry_count);
            let entry_count = known_count.max(published_count);
            let is_highest = |all: &f64| previous.is_none_or(|previous| *all >= previous.all);
            entry.comparison = match all.filter(is_highest) {
                Some(all) => Some(AdmissionComparison {
                    all,
                    own: entry.rate,
                    entry_count,
                    made_at,
                }),
                None => previous.map(|previous| AdmissionComparison {
                    entry_count,
                    ..previous
                }),
            };
        }
    }

    /// Records that a job was refused.
    pub(super) fn refuse(&mut self, arrival: &JobArrival, now: BootTime) {
        self.customer(arrival).refused_at = Some(now);
    }

    /// Returns the estimated work that all VMs admitted for the customer of `arrival`
    /// since `made_at`, with latest starts counted from then.
    ///
    /// Other VMs count only if the customer is near its limit or was refused lately. They
    /// are taken to admit in the same ratio to this VM as when all admitted most. For
    /// jobs that all decide on at once, each VM counts a different fraction, so that not
    /// every VM admits one.
    pub(super) fn admitted_since(
        &mut self,
        arrival: &JobArrival,
        made_at: BootTime,
        is_near_limit: bool,
        now: BootTime,
    ) -> EstimatedAdmissions {
        let validity = self.comparison_validity;
        let fraction = fraction_of(self.seed ^ made_at.as_millis());
        let customer = self.customer(arrival);
        let recent = customer.jobs.iter().filter(|job| job.at >= made_at);
        let work = recent.map(|job| AdmittedWork {
            priority: job.priority,
            latest_start: job.at.saturating_since(made_at) + job.latest_start,
            work: job.work as f64,
        });
        let mut work: Vec<AdmittedWork> = work.collect();
        let Some(comparison) = customer.comparison else {
            return EstimatedAdmissions { work, ratio: 1.0 };
        };
        let job = arrival.work.max(1) as f64;
        let added = job * ADDED_JOBS;
        let all = comparison.all + added * comparison.entry_count as f64;
        let ratio = (all / (comparison.own + added)).max(1.0);
        let refused_at = customer.refused_at;
        let was_refused = refused_at.is_some_and(|at| now.saturating_since(at) <= validity);
        if is_near_limit || was_refused {
            let own: f64 = work.iter().map(|work| work.work).sum();
            let others = (ratio - 1.0) * (own + job * fraction);
            // VMs that decide without each other admit a number that varies by its root.
            let deviation = (others * job).sqrt();
            work.push(AdmittedWork {
                priority: arrival.priority,
                latest_start: time::Duration::ZERO,
                work: others + deviation,
            });
        }
        EstimatedAdmissions { work, ratio }
    }
}

impl CustomerLedger {
    fn remove_older(&mut self, kept: time::Duration, now: BootTime) {
        while let Some(job) = self.jobs.front()
            && now.saturating_since(job.at) > kept
        {
            self.jobs.pop_front();
        }
    }
}
