//! Ejection of backend servers that fail more than the work explains.
//!
//! A failure counts against a backend server only as far as the same customer's
//! work does not fail elsewhere too: work that always fails ejects nobody.

use std::collections::{BTreeSet, HashMap};
use std::time;

use redwing_model::{ClassName, CustomerName, VmId};

use crate::clock::NodeTime;

/// Evidence at which a backend server is ejected.
const EJECT_SCORE: f64 = 2.5;

/// Factor that a success applies to the evidence.
const SUCCESS_FACTOR: f64 = 0.5;

/// Weight of a new result in the failure rate of a customer's work.
const RATE_GAIN: f64 = 0.1;

/// Largest part of the backend servers of a class that may be ejected.
const MAX_EJECTED_FRACTION: f64 = 0.34;

/// Time out of use after the first ejection; doubles with each further one.
const BASE_EJECTION: time::Duration = time::Duration::from_secs(5);

/// Longest time out of use.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(160);

/// Standing of one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerStanding {
    /// In normal use.
    #[default]
    Good,
    /// Out of use until the given time.
    Ejected(NodeTime),
    /// Being tried with one request at a time.
    Probing,
}

/// Evidence about one backend server.
#[derive(Clone, Debug, Default)]
struct WorkerEvidence {
    score: f64,
    ejections: u32,
    standing: WorkerStanding,
}

/// Work whose failures are compared across backend servers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct JobKind {
    class: ClassName,
    customer: Option<CustomerName>,
}

/// Finds backend servers that fail more than others do with the same work.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    workers: HashMap<VmId, WorkerEvidence>,
    rates: HashMap<JobKind, f64>,
    ejected: BTreeSet<(NodeTime, VmId)>,
}

impl OutlierDetector {
    /// Returns the standing of the backend server on `vm`.
    pub fn standing(&self, vm: &VmId) -> WorkerStanding {
        self.workers
            .get(vm)
            .map_or(WorkerStanding::Good, |evidence| evidence.standing)
    }

    /// Returns the backend servers that are ejected now.
    pub fn ejected(&self) -> impl Iterator<Item = &VmId> {
        self.ejected.iter().map(|(_, vm)| vm)
    }

    /// Forgets backend servers for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&VmId) -> bool) {
        self.workers.retain(|vm, _| known(vm));
        self.ejected.retain(|(_, vm)| known(vm));
    }

    /// Takes the result of an attempt; returns whether the standing changed.
    ///
    /// `fleet` is the number of backend servers that serve the class.
    pub fn record(
        &mut self,
        now: NodeTime,
        vm: &VmId,
        class: &ClassName,
        customer: Option<&CustomerName>,
        failed: bool,
        fleet: usize,
    ) -> bool {
        let expected = self.learn_rate(class, customer, failed);
        let evidence = self.workers.entry(vm.clone()).or_default();
        let before = evidence.standing;
        match failed {
            true => evidence.score += 1.0 - expected,
            false => evidence.pass(),
        }
        let allowed = (fleet as f64 * MAX_EJECTED_FRACTION) as usize;
        let probe_failed = failed && before == WorkerStanding::Probing;
        let guilty = evidence.score >= EJECT_SCORE || probe_failed;
        if failed && guilty && !matches!(before, WorkerStanding::Ejected(_)) {
            if self.ejected.len() < allowed {
                let until = evidence.eject(now);
                self.ejected.insert((until, vm.clone()));
            } else {
                evidence.standing = WorkerStanding::Good;
            }
        }
        evidence.standing != before
    }

    /// Takes back one failure of `vm`, since the same request failed on
    /// another backend server as well.
    pub fn absolve(&mut self, vm: &VmId) {
        if let Some(evidence) = self.workers.get_mut(vm) {
            evidence.score = (evidence.score - 1.0).max(0.0);
        }
    }

    /// Lets ejected backend servers be tried again once their time is over,
    /// and returns them.
    pub fn end_ejections(&mut self, now: NodeTime) -> Vec<VmId> {
        let mut ended = Vec::new();
        while let Some((until, _)) = self.ejected.first()
            && *until <= now
            && let Some((_, vm)) = self.ejected.pop_first()
        {
            if let Some(evidence) = self.workers.get_mut(&vm) {
                evidence.standing = WorkerStanding::Probing;
            }
            ended.push(vm);
        }
        ended
    }

    /// Updates the failure rate of a customer's work; returns the rate before.
    fn learn_rate(
        &mut self,
        class: &ClassName,
        customer: Option<&CustomerName>,
        failed: bool,
    ) -> f64 {
        let kind = JobKind {
            class: class.clone(),
            customer: customer.cloned(),
        };
        let rate = self.rates.entry(kind).or_default();
        let before = *rate;
        let sample = f64::from(u8::from(failed));
        *rate += RATE_GAIN * (sample - *rate);
        before
    }
}

impl WorkerEvidence {
    fn pass(&mut self) {
        self.score *= SUCCESS_FACTOR;
        if self.standing == WorkerStanding::Probing {
            self.standing = WorkerStanding::Good;
            self.score = 0.0;
        }
    }

    /// Takes the backend server out of use; returns until when.
    fn eject(&mut self, now: NodeTime) -> NodeTime {
        let factor = 1u32 << self.ejections.min(5);
        let pause = (BASE_EJECTION * factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.score = 0.0;
        let until = now + pause;
        self.standing = WorkerStanding::Ejected(until);
        until
    }
}
