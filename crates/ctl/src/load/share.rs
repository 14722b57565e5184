//! Deviation of the service of each customer from weighted max-min fairness.

use std::collections::BTreeMap;

use redwing_model::{CustomerName, QueueName, RunOutcome};
use serde::Serialize;

use super::experiment::LoadExperiment;
use super::record::{RequestRecord, RequestResult};

/// Length of the slices in which entitlements are computed, in seconds.
const SLICE_SECONDS: f64 = 1.0;

/// Minimum number of customers in a window for a comparison of shares.
const MIN_CUSTOMERS: usize = 2;

/// Comparison of shares for one queue in one window of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareWindow {
    /// Queue that the customers shared.
    pub queue: QueueName,
    /// Start of the window, in seconds.
    pub from_seconds: f64,
    /// Slot time delivered to all customers, in seconds.
    pub delivered: f64,
    /// Slot time that all customers demanded, in seconds.
    #[serde(rename = "wanted")]
    pub demand: f64,
    /// Largest relative deviation of a customer from its entitlement.
    pub error: f64,
}

impl ShareWindow {
    /// Returns whether demand exceeded delivery by more than 5 %, so that the
    /// shares decide what each customer receives.
    pub fn is_contended(&self) -> bool {
        self.demand > self.delivered * 1.05
    }
}

/// Demand, service and entitlement of one customer of a queue in some period.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerUsage {
    weight: f64,
    run_seconds: f64,
    limit: u32,
    demand: f64,
    received: f64,
    entitlement: f64,
}

/// Splits `capacity` by weighted max-min fairness.
///
/// No entry receives more than its demand; the remaining capacity goes to the
/// others in proportion to their weights.
pub fn max_min_entitlements(capacity: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut entitlements = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len())
        .filter(|index| demands[*index] > 0.0 && weights[*index] > 0.0)
        .collect();
    let mut remaining = capacity;
    while !unsatisfied.is_empty() && remaining > 0.0 {
        let total: f64 = unsatisfied.iter().map(|index| weights[*index]).sum();
        let level = remaining / total;
        let is_satisfied = |index: &usize| demands[*index] <= level * weights[*index];
        let (satisfied, limited): (Vec<usize>, Vec<usize>) =
            unsatisfied.iter().partition(|index| is_satisfied(index));
        if satisfied.is_empty() {
            for index in limited {
                entitlements[index] = level * weights[index];
            }
            return entitlements;
        }
        for index in satisfied {
            entitlements[index] = demands[index];
            remaining -= demands[index];
        }
        unsatisfied = limited;
    }
    entitlements
}

/// Compares each whole window of the experiment with weighted max-min fairness.
///
/// Entitlements are computed for slices of a second, in which demand and limits
/// are taken as constant, and added up over the window. A request adds to the
/// demand in each slice in which it was outstanding, up to its running time; a
/// refused request adds its whole running time when it arrives. A request counts
/// as running for its running time before its end. The demand of a customer is
/// capped at what its limit allows to run.
pub fn share_windows(experiment: &LoadExperiment, records: &[RequestRecord]) -> Vec<ShareWindow> {
    let length = experiment.window_seconds;
    let count = (experiment.seconds / length) as usize;
    let mut windows = Vec::new();
    for queue in experiment.queue_names() {
        let is_compared = |record: &&RequestRecord| {
            experiment.streams[record.stream].queue == *queue
                && record.result != RequestResult::Cancelled
        };
        let records: Vec<&RequestRecord> = records.iter().filter(is_compared).collect();
        for index in 0..count {
            let from = index as f64 * length;
            let customers = sum_slices(experiment, &records, from, from + length);
            windows.extend(compare_shares(
                experiment.min_compared_requests,
                queue,
                from,
                &customers,
            ));
        }
    }
    windows
}

/// Adds up the slices of one window.
fn sum_slices(
    experiment: &LoadExperiment,
    records: &[&RequestRecord],
    from: f64,
    to: f64,
) -> BTreeMap<CustomerName, CustomerUsage> {
    let mut window: BTreeMap<CustomerName, CustomerUsage> = BTreeMap::new();
    let slices = ((to - from) / SLICE_SECONDS).ceil() as usize;
    for index in 0..slices {
        let start = from + index as f64 * SLICE_SECONDS;
        let slice = measure_slice(experiment, records, start, (start + SLICE_SECONDS).min(to));
        let demands: Vec<f64> = slice.values().map(|customer| customer.demand).collect();
        let weights: Vec<f64> = slice.values().map(|customer| customer.weight).collect();
        let delivered: f64 = slice.values().map(|customer| customer.received).sum();
        let entitlements = max_min_entitlements(delivered, &demands, &weights);
        for ((name, usage), entitlement) in slice.into_iter().zip(entitlements) {
            let customer = window.entry(name).or_default();
            customer.run_seconds = usage.run_seconds;
            customer.demand += usage.demand;
            customer.received += usage.received;
            customer.entitlement += entitlement;
        }
    }
    window
}

/// Returns the demand and service of each customer in one slice.
fn measure_slice(
    experiment: &LoadExperiment,
    records: &[&RequestRecord],
    from: f64,
    to: f64,
) -> BTreeMap<CustomerName, CustomerUsage> {
    let mut customers: BTreeMap<CustomerName, CustomerUsage> = BTreeMap::new();
    for record in records {
        let stream = &experiment.streams[record.stream];
        let arrived = record.scheduled.as_secs_f64();
        let ended = record.ended.as_secs_f64();
        if arrived >= to || ended <= from {
            continue;
        }
        let customer = customers.entry(stream.customer.clone()).or_default();
        customer.weight = stream.share;
        customer.run_seconds = stream.run_seconds;
        customer.limit = stream.limit;
        if record.outcome() == Some(RunOutcome::Ran) {
            let started = (ended - stream.run_seconds).max(from);
            customer.received += (ended.min(to) - started).max(0.0);
        }
        let outstanding = ended.min(to) - arrived.max(from);
        customer.demand += if record.outcome() == Some(RunOutcome::NotRun) && arrived >= from {
            stream.run_seconds
        } else {
            outstanding.min(stream.run_seconds)
        };
    }
    for customer in customers.values_mut() {
        if customer.limit > 0 {
            customer.demand = customer.demand.min(f64::from(customer.limit) * (to - from));
        }
    }
    customers
}

/// Compares the service of each customer with its entitlement.
///
/// Leaves out customers that are entitled to fewer than `min_requests`. Returns
/// `None` if fewer than two customers remain.
fn compare_shares(
    min_requests: f64,
    queue: &QueueName,
    from: f64,
    customers: &BTreeMap<CustomerName, CustomerUsage>,
) -> Option<ShareWindow> {
    let delivered: f64 = customers.values().map(|customer| customer.received).sum();
    let errors: Vec<f64> = customers
        .values()
        .filter(|customer| customer.entitlement >= min_requests * customer.run_seconds)
        .filter(|customer| customer.entitlement > 0.0)
        .map(|customer| (customer.received - customer.entitlement).abs() / customer.entitlement)
        .collect();
    if errors.len() < MIN_CUSTOMERS {
        return None;
    }
    Some(ShareWindow {
        queue: queue.clone(),
        from_seconds: from,
        delivered,
        demand: customers.values().map(|customer| customer.demand).sum(),
        error: errors.into_iter().fold(0.0, f64::max),
    })
}
