//! Distance of what each customer received from weighted max-min fairness.

use std::collections::BTreeMap;

use redwing_model::{CustomerName, QueueName, RunOutcome};
use serde::Serialize;

use super::experiment::LoadExperiment;
use super::record::{RequestEnd, RequestRecord};

/// Length of the slices in which entitlements are worked out, in seconds.
const SLICE_SECONDS: f64 = 1.0;

/// Customers below which a window says nothing about shares.
const MIN_CUSTOMERS: usize = 2;

/// One queue in one window of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShareWindow {
    /// Queue that the customers shared.
    pub queue: QueueName,
    /// Start of the window, in seconds.
    pub from_seconds: f64,
    /// Slot time delivered to all customers, in seconds.
    pub delivered: f64,
    /// Slot time that was wanted, in seconds.
    pub wanted: f64,
    /// Largest relative distance of a customer from its entitlement.
    pub error: f64,
}

impl ShareWindow {
    /// Returns whether more was wanted than delivered, so that shares decide.
    pub fn is_contended(&self) -> bool {
        self.wanted > self.delivered * 1.05
    }
}

/// What one customer wanted and received of one queue in some time.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerDemand {
    weight: f64,
    run_seconds: f64,
    limit: u32,
    wanted: f64,
    received: f64,
    entitled: f64,
}

/// Splits `capacity` by weighted max-min fairness.
///
/// No entry receives more than its demand; what one leaves goes to the others
/// in proportion to their weights.
pub fn max_min_entitlements(capacity: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut entitled = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len())
        .filter(|index| demands[*index] > 0.0 && weights[*index] > 0.0)
        .collect();
    let mut rest = capacity;
    while !open.is_empty() && rest > 0.0 {
        let total: f64 = open.iter().map(|index| weights[*index]).sum();
        let level = rest / total;
        let is_met = |index: &usize| demands[*index] <= level * weights[*index];
        let (met, unmet): (Vec<usize>, Vec<usize>) = open.iter().partition(|index| is_met(index));
        if met.is_empty() {
            for index in unmet {
                entitled[index] = level * weights[index];
            }
            return entitled;
        }
        for index in met {
            entitled[index] = demands[index];
            rest -= demands[index];
        }
        open = unmet;
    }
    entitled
}

/// Compares each whole window of the experiment with weighted max-min fairness.
///
/// Entitlements are worked out for slices of a second, in which demand and
/// limits hold as they are, and added up over the window. A request is wanted
/// in each slice in which it was outstanding, up to its running time; one that
/// was refused is wanted in full when it arrives. It counts as running for its
/// running time before its end. No customer wants more than its limit lets it run.
pub fn share_windows(experiment: &LoadExperiment, records: &[RequestRecord]) -> Vec<ShareWindow> {
    let length = experiment.window_seconds;
    let count = (experiment.seconds / length) as usize;
    let mut windows = Vec::new();
    for queue in experiment.queue_names() {
        let of_queue = |record: &&RequestRecord| {
            experiment.streams[record.stream].queue == *queue && record.end != RequestEnd::Cancelled
        };
        let records: Vec<&RequestRecord> = records.iter().filter(of_queue).collect();
        for index in 0..count {
            let from = index as f64 * length;
            let customers = window_of(experiment, &records, from, from + length);
            windows.extend(compare(
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
fn window_of(
    experiment: &LoadExperiment,
    records: &[&RequestRecord],
    from: f64,
    to: f64,
) -> BTreeMap<CustomerName, CustomerDemand> {
    let mut window: BTreeMap<CustomerName, CustomerDemand> = BTreeMap::new();
    let slices = ((to - from) / SLICE_SECONDS).ceil() as usize;
    for index in 0..slices {
        let start = from + index as f64 * SLICE_SECONDS;
        let slice = slice_of(experiment, records, start, (start + SLICE_SECONDS).min(to));
        let wanted: Vec<f64> = slice.values().map(|customer| customer.wanted).collect();
        let weights: Vec<f64> = slice.values().map(|customer| customer.weight).collect();
        let delivered: f64 = slice.values().map(|customer| customer.received).sum();
        let entitled = max_min_entitlements(delivered, &wanted, &weights);
        for ((name, part), entitled) in slice.into_iter().zip(entitled) {
            let customer = window.entry(name).or_default();
            customer.run_seconds = part.run_seconds;
            customer.wanted += part.wanted;
            customer.received += part.received;
            customer.entitled += entitled;
        }
    }
    window
}

/// Returns what each customer wanted and received in one slice.
fn slice_of(
    experiment: &LoadExperiment,
    records: &[&RequestRecord],
    from: f64,
    to: f64,
) -> BTreeMap<CustomerName, CustomerDemand> {
    let mut customers: BTreeMap<CustomerName, CustomerDemand> = BTreeMap::new();
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
        customer.wanted += if record.outcome() == Some(RunOutcome::NotRun) && arrived >= from {
            stream.run_seconds
        } else {
            outstanding.min(stream.run_seconds)
        };
    }
    for customer in customers.values_mut() {
        if customer.limit > 0 {
            customer.wanted = customer.wanted.min(f64::from(customer.limit) * (to - from));
        }
    }
    customers
}

/// Returns the largest distance of a customer from what it was entitled to.
///
/// A customer that is entitled to fewer than `min_requests` is left out.
fn compare(
    min_requests: f64,
    queue: &QueueName,
    from: f64,
    customers: &BTreeMap<CustomerName, CustomerDemand>,
) -> Option<ShareWindow> {
    let delivered: f64 = customers.values().map(|customer| customer.received).sum();
    let errors: Vec<f64> = customers
        .values()
        .filter(|customer| customer.entitled >= min_requests * customer.run_seconds)
        .filter(|customer| customer.entitled > 0.0)
        .map(|customer| (customer.received - customer.entitled).abs() / customer.entitled)
        .collect();
    if errors.len() < MIN_CUSTOMERS {
        return None;
    }
    Some(ShareWindow {
        queue: queue.clone(),
        from_seconds: from,
        delivered,
        wanted: customers.values().map(|customer| customer.wanted).sum(),
        error: errors.into_iter().fold(0.0, f64::max),
    })
}
