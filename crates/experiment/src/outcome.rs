//! Outcomes of jobs, counted for each customer and each second.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::arrival::JobArrival;
use crate::load::{LoadFile, TrafficLoad};

/// Outcome of one job; each job has exactly one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// It ended within its objective, counted from its acceptance.
    InTime,
    /// It ended after its objective, but was still of use.
    Late,
    /// It was refused, and its caller gave up or had not returned by the end.
    Refused,
    /// It was accepted and did not end while it was of use: within
    /// [`redwing_jobs::admission::LATEST_FACTOR`] times its objective.
    Unserved,
}

/// Number of jobs with each outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OutcomeCounts {
    /// Jobs that callers submitted.
    pub arrived: u64,
    /// Jobs that ended within their objective.
    pub in_time: u64,
    /// Those of them that were never refused.
    pub in_time_at_once: u64,
    /// Jobs that ended after their objective and were still of use.
    pub late: u64,
    /// Jobs that were refused for good.
    pub refused: u64,
    /// Jobs that were accepted and did not end while they were of use.
    pub unserved: u64,
}

impl OutcomeCounts {
    /// Adds one job, which may have been refused before it was accepted.
    pub fn add(&mut self, outcome: JobOutcome, was_refused: bool) {
        self.arrived += 1;
        self.in_time_at_once += u64::from(outcome == JobOutcome::InTime && !was_refused);
        match outcome {
            JobOutcome::InTime => self.in_time += 1,
            JobOutcome::Late => self.late += 1,
            JobOutcome::Refused => self.refused += 1,
            JobOutcome::Unserved => self.unserved += 1,
        }
    }

    /// Returns the fraction of the jobs that ended within their objective; 1 if
    /// there were none.
    pub fn in_time_fraction(&self) -> f64 {
        self.fraction(self.in_time, 1.0)
    }

    /// Returns the fraction of the jobs that ended within their objective and were
    /// never refused; 1 if there were none.
    pub fn at_once_fraction(&self) -> f64 {
        self.fraction(self.in_time_at_once, 1.0)
    }

    /// Returns the fraction of the jobs that ended after their objective.
    pub fn late_fraction(&self) -> f64 {
        self.fraction(self.late, 0.0)
    }

    /// Returns the fraction of the jobs that were refused for good.
    pub fn refused_fraction(&self) -> f64 {
        self.fraction(self.refused, 0.0)
    }

    /// Returns the fraction of the jobs that were accepted and did not end while they
    /// were of use.
    pub fn unserved_fraction(&self) -> f64 {
        self.fraction(self.unserved, 0.0)
    }

    fn fraction(&self, count: u64, none: f64) -> f64 {
        if self.arrived == 0 {
            return none;
        }
        count as f64 / self.arrived as f64
    }
}

/// Outcomes of one customer.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CustomerOutcome {
    /// Name of the customer.
    pub name: String,
    /// Weight of the customer.
    pub weight: f64,
    /// Outcomes of its jobs.
    pub counts: OutcomeCounts,
    /// Estimated work of its jobs, in core seconds.
    pub requested_work: f64,
    /// Estimated work of its jobs that ended within their objective, in core seconds.
    pub served_work: f64,
    /// Outcomes of its jobs by the second in which they arrived.
    pub seconds: Vec<OutcomeCounts>,
}

/// Result of one policy with one seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunResult {
    /// Seed of the arrivals and durations.
    pub seed: u64,
    /// Outcomes of all jobs.
    pub total: OutcomeCounts,
    /// Jobs that ended before the experiment did, also those that were of no use then.
    pub completed: u64,
    /// Refusals, also of jobs that were accepted later.
    pub refusals: u64,
    /// Moves of machines between pools.
    pub moves: u64,
    /// Weighted fairness index, see [`fairness_index`].
    pub fairness: f64,
    /// Outcomes of each customer, in the order of the load file.
    pub customers: Vec<CustomerOutcome>,
    /// Outcomes of all jobs by the second in which they arrived.
    pub seconds: Vec<OutcomeCounts>,
}

impl RunResult {
    /// Counts the outcomes of all jobs of a load that passes its check, each with
    /// whether it was refused at first.
    pub(crate) fn count<'a>(
        load: &LoadFile,
        seed: u64,
        jobs: impl Iterator<Item = (&'a JobArrival, JobOutcome, bool)>,
    ) -> Self {
        let seconds = vec![OutcomeCounts::default(); load.seconds.ceil() as usize];
        let customers = load.customers.iter().map(|customer| CustomerOutcome {
            name: customer.name.clone(),
            weight: customer.weight,
            counts: OutcomeCounts::default(),
            requested_work: 0.0,
            served_work: 0.0,
            seconds: seconds.clone(),
        });
        let mut result = Self {
            seed,
            total: OutcomeCounts::default(),
            completed: 0,
            refusals: 0,
            moves: 0,
            fairness: 1.0,
            customers: customers.collect(),
            seconds,
        };
        let names = load.customers.iter().enumerate();
        let numbers: BTreeMap<&str, usize> = names
            .map(|(number, customer)| (customer.name.as_str(), number))
            .collect();
        let works: Vec<f64> = load.traffic.iter().map(TrafficLoad::core_seconds).collect();
        for (arrival, outcome, was_refused) in jobs {
            let name = &load.traffic[arrival.traffic].customer;
            let second = (arrival.at_ms / 1_000) as usize;
            let work = works[arrival.traffic];
            result.total.add(outcome, was_refused);
            result.seconds[second].add(outcome, was_refused);
            result.customers[numbers[name.as_str()]].add(second, work, outcome, was_refused);
        }
        result.fairness = fairness_index(&result.customers);
        result
    }
}

impl CustomerOutcome {
    fn add(&mut self, second: usize, work: f64, outcome: JobOutcome, was_refused: bool) {
        self.counts.add(outcome, was_refused);
        self.seconds[second].add(outcome, was_refused);
        self.requested_work += work;
        if outcome == JobOutcome::InTime {
            self.served_work += work;
        }
    }
}

/// Returns Jain's fairness index of the work that customers got in time, relative
/// to their weighted max-min shares of the sum: 1 if each got its share, and 1/n
/// if one of n customers got all. A customer's share is at most what it requested.
pub fn fairness_index(customers: &[CustomerOutcome]) -> f64 {
    let served: f64 = customers.iter().map(|customer| customer.served_work).sum();
    let shares = max_min_shares(served, customers);
    let pairs = customers.iter().zip(shares);
    let ratios: Vec<f64> = pairs
        .filter(|(_, share)| *share > 0.0)
        .map(|(customer, share)| customer.served_work / share)
        .collect();
    let sum: f64 = ratios.iter().sum();
    let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (ratios.len() as f64 * squares)
}

/// Splits `amount` by weighted max-min fairness; the customers are served in the
/// order in which their requests are met as the level rises.
fn max_min_shares(amount: f64, customers: &[CustomerOutcome]) -> Vec<f64> {
    let mut shares = vec![0.0; customers.len()];
    let level_of = |index: usize| customers[index].requested_work / customers[index].weight;
    let mut order: Vec<usize> = (0..customers.len()).collect();
    order.sort_by(|one, other| level_of(*one).total_cmp(&level_of(*other)));
    let mut remaining = amount;
    let mut weights: f64 = customers.iter().map(|customer| customer.weight).sum();
    for index in order {
        let customer = &customers[index];
        let share = remaining * customer.weight / weights.max(f64::MIN_POSITIVE);
        shares[index] = share.min(customer.requested_work);
        remaining -= shares[index];
        weights -= customer.weight;
    }
    shares
}
