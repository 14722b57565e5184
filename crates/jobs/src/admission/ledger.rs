//! Work that one entry VM has admitted, to estimate what all have.
//!
//! Load pattern: a flood spread over many entry VMs, each of which would fill the
//! same capacity between two publications.

use std::collections::{HashMap, VecDeque};
use std::time;

use crate::name::{CustomerName, JobId, PoolName};
use crate::time::BootTime;

use super::summary::{BacklogSummary, averaged_rate};
use super::{AdmissionSettings, AdmittedWork, JobArrival};

/// Largest assumed ratio between what all VMs admit and what this one does.
const MAX_RATIO: f64 = 200.0;

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
    comparison: Option<Comparison>,
}

/// Comparison of what all VMs admitted with what this one did.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    ratio: f64,
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
        for ((pool, customer), entry) in &mut self.customers {
            let jobs = entry.jobs.iter();
            let covered = jobs.filter(|job| (previous..made_at).contains(&job.at));
            let work = covered.map(|job| job.work).sum();
            entry.rate = averaged_rate(entry.rate, work, seconds);
            let pool = summary.pools.get(pool);
            let all = pool.and_then(|pool| pool.customer(customer));
            let all = all.filter(|all| all.waiting() > 0 && all.arrival_rate > 0);
            if let Some(all) = all.filter(|_| entry.rate >= 1.0) {
                let ratio = all.arrival_rate as f64 / entry.rate;
                entry.comparison = Some(Comparison {
                    ratio: ratio.clamp(1.0, MAX_RATIO),
                    made_at,
                });
            }
        }
    }

    /// Returns the estimated work that all VMs admitted for the customer of `arrival`
    /// since `made_at`, with latest starts counted from then.
    ///
    /// The other VMs decide on jobs like this one at the same time. They count by a
    /// fraction that differs from VM to VM, so that as many are admitted in all as fit,
    /// even if fewer fit than there are VMs.
    pub(super) fn admitted_since(
        &mut self,
        arrival: &JobArrival,
        made_at: BootTime,
        now: BootTime,
    ) -> EstimatedAdmissions {
        let validity = self.comparison_validity;
        let fraction = fraction_of(self.seed, made_at);
        let customer = self.customer(arrival);
        let comparison = customer.comparison;
        let valid = comparison.filter(|entry| now.saturating_since(entry.made_at) <= validity);
        let ratio = valid.map_or(1.0, |entry| entry.ratio);
        let recent = customer.jobs.iter().filter(|job| job.at >= made_at);
        let work = recent.map(|job| AdmittedWork {
            priority: job.priority,
            latest_start: job.at.saturating_since(made_at) + job.latest_start,
            work: job.work as f64 * ratio,
        });
        let mut work: Vec<AdmittedWork> = work.collect();
        if ratio > 1.0 {
            work.push(AdmittedWork {
                priority: arrival.priority,
                latest_start: time::Duration::ZERO,
                work: arrival.work as f64 * (ratio - 1.0) * fraction,
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

/// Returns a number from 0 to 1 that is evenly distributed over VMs and publications
/// (the generator SplitMix64).
fn fraction_of(seed: u64, made_at: BootTime) -> f64 {
    let state = seed ^ made_at.as_millis().wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
