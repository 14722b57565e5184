//! Results of one policy over several seeds.

use serde::Serialize;

use crate::outcome::{OutcomeCounts, RunResult};
use crate::policy::ExperimentPolicy;

/// Mean and range of a value over the seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ValueRange {
    /// Mean.
    pub mean: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl ValueRange {
    /// Returns mean and range of `values`; zeros if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let values: Vec<f64> = values.into_iter().collect();
        if values.is_empty() {
            return Self::default();
        }
        let sum: f64 = values.iter().sum();
        Self {
            mean: sum / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// Results of one customer over the seeds, as fractions of its jobs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CustomerSummary {
    /// Name of the customer.
    pub name: String,
    /// Jobs that arrived.
    pub arrived: ValueRange,
    /// Served in time.
    pub in_time: ValueRange,
    /// Served in time and never refused.
    pub at_once: ValueRange,
    /// Refused.
    pub refused: ValueRange,
    /// Not served.
    pub unserved: ValueRange,
}

/// Results of one policy over the seeds; fractions are of all jobs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PolicySummary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Jobs that arrived.
    pub arrived: ValueRange,
    /// Served in time.
    pub in_time: ValueRange,
    /// Served in time and never refused.
    pub at_once: ValueRange,
    /// Served late.
    pub late: ValueRange,
    /// Refused.
    pub refused: ValueRange,
    /// Not served.
    pub unserved: ValueRange,
    /// Number of refusals, also of jobs that were accepted later.
    pub refusals: ValueRange,
    /// Weighted fairness index.
    pub fairness: ValueRange,
    /// Customers, in the order of the load file.
    pub customers: Vec<CustomerSummary>,
    /// Results with each seed.
    pub runs: Vec<RunResult>,
}

impl PolicySummary {
    /// Summarizes the results of a policy.
    pub fn new(policy: ExperimentPolicy, runs: Vec<RunResult>) -> Self {
        let total = |value: fn(&OutcomeCounts) -> f64| {
            ValueRange::of(runs.iter().map(|run| value(&run.total)))
        };
        Self {
            policy: policy.name(),
            arrived: total(|counts| counts.arrived as f64),
            in_time: total(OutcomeCounts::in_time_fraction),
            at_once: total(OutcomeCounts::at_once_fraction),
            late: total(OutcomeCounts::late_fraction),
            refused: total(OutcomeCounts::refused_fraction),
            unserved: total(OutcomeCounts::unserved_fraction),
            refusals: ValueRange::of(runs.iter().map(|run| run.refusals as f64)),
            fairness: ValueRange::of(runs.iter().map(|run| run.fairness)),
            customers: customer_summaries(&runs),
            runs,
        }
    }

    /// Returns the mean number of jobs with each outcome by the second of arrival, as
    /// pairs of the arrived jobs and those served in time.
    pub fn mean_seconds(&self) -> Vec<(f64, f64)> {
        let count = self.runs.iter().map(|run| run.seconds.len()).max();
        let seconds = 0..count.unwrap_or(0);
        let mean = |second: usize, value: fn(&OutcomeCounts) -> u64| {
            let runs = self.runs.iter();
            let counts = runs.filter_map(|run| run.seconds.get(second));
            ValueRange::of(counts.map(|counts| value(counts) as f64)).mean
        };
        seconds
            .map(|second| {
                let arrived = mean(second, |counts| counts.arrived);
                (arrived, mean(second, |counts| counts.in_time))
            })
            .collect()
    }
}

fn customer_summaries(runs: &[RunResult]) -> Vec<CustomerSummary> {
    let Some(first) = runs.first() else {
        return Vec::new();
    };
    let customers = first.customers.iter().enumerate();
    customers
        .map(|(number, customer)| {
            let range = |value: fn(&OutcomeCounts) -> f64| {
                ValueRange::of(runs.iter().map(|run| value(&run.customers[number].counts)))
            };
            CustomerSummary {
                name: customer.name.clone(),
                arrived: range(|counts| counts.arrived as f64),
                in_time: range(OutcomeCounts::in_time_fraction),
                at_once: range(OutcomeCounts::at_once_fraction),
                refused: range(OutcomeCounts::refused_fraction),
                unserved: range(OutcomeCounts::unserved_fraction),
            }
        })
        .collect()
}
