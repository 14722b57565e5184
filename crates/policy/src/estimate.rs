//! Run time and dispatch rate estimates from ended attempts.

use std::collections::HashMap;
use std::time;

use redwing_model::CustomerName;

use crate::clock::NodeTime;

/// Run time assumed before any attempt of a class has ended.
const INITIAL_RUN_TIME: time::Duration = time::Duration::from_millis(100);

/// Lowest weight of a new run time in a mean.
const MEAN_GAIN: f64 = 0.1;

/// Minimum number of ended attempts before a customer's own mean is used, and
/// before requests are refused based on the mean of the class.
const MIN_RUNS: u32 = 5;

/// Number of standard deviations above the mean that covers nearly all run times.
const SPREAD_FACTOR: f64 = 3.0;

/// Exponentially weighted mean and variance of run times.
#[derive(Clone, Copy, Debug, Default)]
struct RunMean {
    runs: u32,
    seconds: f64,
    /// Mean of the squared distance from the mean.
    variance: f64,
}

/// Run time estimates of one class.
#[derive(Debug, Default)]
pub struct RunEstimate {
    class: RunMean,
    customers: HashMap<Option<CustomerName>, RunMean>,
}

impl RunEstimate {
    /// Returns the mean run time of the class.
    pub fn class_mean(&self) -> time::Duration {
        match self.class.runs {
            0 => INITIAL_RUN_TIME,
            _ => self.class.mean(),
        }
    }

    /// Returns the expected run time of a request of `customer`.
    pub fn expected_run(&self, customer: Option<&CustomerName>) -> time::Duration {
        match self.customers.get(&customer.cloned()) {
            Some(mean) if mean.runs >= MIN_RUNS => mean.mean(),
            _ => self.class_mean(),
        }
    }

    /// Returns a run time that nearly all requests of `customer` stay within.
    pub fn longest_run(&self, customer: Option<&CustomerName>) -> time::Duration {
        let mean = match self.customers.get(&customer.cloned()) {
            Some(mean) if mean.runs >= MIN_RUNS => mean,
            _ => &self.class,
        };
        let seconds = mean.seconds + SPREAD_FACTOR * mean.variance.sqrt();
        time::Duration::from_secs_f64(seconds)
    }

    /// Returns whether enough attempts ended to refuse requests based on the estimates.
    pub fn has_enough_runs(&self) -> bool {
        self.class.runs >= MIN_RUNS
    }

    /// Records the run time of an ended attempt.
    pub fn record(&mut self, customer: Option<&CustomerName>, run: time::Duration) {
        self.class.record(run);
        match self.customers.get_mut(&customer.cloned()) {
            Some(mean) => mean.record(run),
            None => {
                let mut mean = RunMean::default();
                mean.record(run);
                self.customers.insert(customer.cloned(), mean);
            }
        }
    }
}

impl RunMean {
    fn mean(self) -> time::Duration {
        time::Duration::from_secs_f64(self.seconds)
    }

    fn record(&mut self, run: time::Duration) {
        self.runs = self.runs.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.runs));
        let distance = run.as_secs_f64() - self.seconds;
        self.seconds += gain * distance;
        self.variance = (1.0 - gain) * (self.variance + gain * distance * distance);
    }
}

/// Length of the measurement that the initial rate counts as when it is
/// averaged with the measured rate.
const INITIAL_RATE_WEIGHT: time::Duration = time::Duration::from_millis(20);

/// Backlog time after which the weight of older dispatches is halved.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Rate at which requests of one customer are dispatched while some wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct BacklogRate {
    since: NodeTime,
    dispatches: f64,
    seconds: f64,
}

impl BacklogRate {
    /// Starts a backlog and discards the measurements of an earlier one.
    pub fn start(&mut self, now: NodeTime) {
        *self = Self {
            since: now,
            ..Self::default()
        };
    }

    /// Records that a request was dispatched.
    pub fn dispatch(&mut self, now: NodeTime) {
        self.dispatches += 1.0;
        let elapsed = now.saturating_since(self.since);
        if elapsed >= HALF_LIFE {
            self.dispatches /= 2.0;
            self.seconds = (self.seconds + elapsed.as_secs_f64()) / 2.0;
            self.since = now;
        }
    }

    /// Returns the dispatches per second; `initial_rate` is the estimate for a
    /// new backlog.
    pub fn per_second(&self, now: NodeTime, initial_rate: f64) -> f64 {
        let weight = INITIAL_RATE_WEIGHT.as_secs_f64();
        let seconds = self.seconds + now.saturating_since(self.since).as_secs_f64();
        (self.dispatches + initial_rate * weight) / (seconds + weight)
    }
}
