//! Ejection of backend servers whose failure rate is an outlier.
//!
//! A failure is weighted by how rarely the same customer's work fails on all
//! backend servers, so that work that always fails ejects none of them.

use std::collections::{BTreeSet, HashMap};
use std::time;

use redwing_model::{ClassName, CustomerName, VmId};

use crate::clock::NodeTime;

/// Failure score at which a backend server is ejected.
const EJECTION_SCORE: f64 = 2.5;

/// Factor by which a success reduces the failure score.
const SUCCESS_FACTOR: f64 = 0.5;

/// Weight of a new result in the moving average of a workload's failure rate.
const RATE_GAIN: f64 = 0.1;

/// Number of ejected backend servers, of all classes, at which no further one of
/// a class is ejected, as a fraction of the backend servers of that class.
const MAX_EJECTED_FRACTION: f64 = 0.34;

/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION_TIME: time::Duration = time::Duration::from_secs(5);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(160);

/// Health of one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerHealth {
    /// In normal use.
    #[default]
    Healthy,
    /// Not used until the given time.
    Ejected(NodeTime),
    /// Probed with one request at a time.
    Probing,
}

/// Failure statistics of one backend server.
#[derive(Clone, Debug, Default)]
struct WorkerFailures {
    score: f64,
    ejections: u32,
    health: WorkerHealth,
}

/// Requests whose failures are compared across backend servers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct WorkloadKey {
    class: ClassName,
    customer: Option<CustomerName>,
}

/// Detects backend servers that fail more often than others with the same work.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    workers: HashMap<VmId, WorkerFailures>,
    failure_rates: HashMap<WorkloadKey, f64>,
    ejected: BTreeSet<(NodeTime, VmId)>,
}

impl OutlierDetector {
    /// Returns the health of the backend server on `vm`.
    pub fn health(&self, vm: &VmId) -> WorkerHealth {
        self.workers
            .get(vm)
            .map_or(WorkerHealth::Healthy, |failures| failures.health)
    }

    /// Returns the VMs of the ejected backend servers.
    pub fn ejected(&self) -> impl Iterator<Item = &VmId> {
        self.ejected.iter().map(|(_, vm)| vm)
    }

    /// Drops the backend servers for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(&VmId) -> bool) {
        self.workers.retain(|vm, _| is_listed(vm));
        self.ejected.retain(|(_, vm)| is_listed(vm));
    }

    /// Records the result of an attempt; returns whether the health changed.
    ///
    /// `class_workers` is the number of backend servers of the class.
    pub fn record(
        &mut self,
        now: NodeTime,
        vm: &VmId,
        class: &ClassName,
        customer: Option<&CustomerName>,
        failed: bool,
        class_workers: usize,
    ) -> bool {
        let expected = self.update_failure_rate(class, customer, failed);
        let failures = self.workers.entry(vm.clone()).or_default();
        let before = failures.health;
        match failed {
            true => failures.score += 1.0 - expected,
            false => failures.record_success(),
        }
        let allowed = (class_workers as f64 * MAX_EJECTED_FRACTION) as usize;
        let probe_failed = failed && before == WorkerHealth::Probing;
        let is_outlier = failures.score >= EJECTION_SCORE || probe_failed;
        if failed && is_outlier && !matches!(before, WorkerHealth::Ejected(_)) {
            if self.ejected.len() < allowed {
                let until = failures.eject(now);
                self.ejected.insert((until, vm.clone()));
            } else {
                failures.health = WorkerHealth::Healthy;
            }
        }
        failures.health != before
    }

    /// Retracts one failure of `vm`, since the same request failed on another
    /// backend server as well.
    pub fn retract_failure(&mut self, vm: &VmId) {
        if let Some(failures) = self.workers.get_mut(vm) {
            failures.score = (failures.score - 1.0).max(0.0);
        }
    }

    /// Starts to probe the backend servers whose ejection has expired, and returns them.
    pub fn end_ejections(&mut self, now: NodeTime) -> Vec<VmId> {
        let mut ended = Vec::new();
        while let Some((until, _)) = self.ejected.first()
            && *until <= now
            && let Some((_, vm)) = self.ejected.pop_first()
        {
            if let Some(failures) = self.workers.get_mut(&vm) {
                failures.health = WorkerHealth::Probing;
            }
            ended.push(vm);
        }
        ended
    }

    /// Updates the failure rate of a workload; returns the previous rate.
    fn update_failure_rate(
        &mut self,
        class: &ClassName,
        customer: Option<&CustomerName>,
        failed: bool,
    ) -> f64 {
        let key = WorkloadKey {
            class: class.clone(),
            customer: customer.cloned(),
        };
        let rate = self.failure_rates.entry(key).or_default();
        let before = *rate;
        let sample = f64::from(u8::from(failed));
        *rate += RATE_GAIN * (sample - *rate);
        before
    }
}

impl WorkerFailures {
    fn record_success(&mut self) {
        self.score *= SUCCESS_FACTOR;
        if self.health == WorkerHealth::Probing {
            self.health = WorkerHealth::Healthy;
            self.score = 0.0;
        }
    }

    /// Ejects the backend server; returns the end of the ejection.
    fn eject(&mut self, now: NodeTime) -> NodeTime {
        let factor = 1u32 << self.ejections.min(5);
        let duration = (BASE_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.score = 0.0;
        let until = now + duration;
        self.health = WorkerHealth::Ejected(until);
        until
    }
}
