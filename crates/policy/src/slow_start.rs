//! Slow start of backend servers that the platform lists as cold.
//!
//! Load pattern: backend servers return together, after an evacuation or a roll-out, slow
//! and without any running request, so that the shortest queue would send them most of the
//! load. A cold server earns requests in proportion to its speed, which grows with the time
//! since its start. It gets what it has earned, and more only while no other server of its
//! class has a free slot.

use std::collections::{BTreeMap, HashMap};
use std::time;

use redwing_model::{ClassName, VmId};

use crate::clock::NodeTime;

/// Speed of a server that has just started.
const MIN_SPEED: f64 = 0.2;

/// Factor up to which a cold server may get more than it has earned.
const COLD_OVERAGE: f64 = 1.5;

/// Number of requests that a cold server may get in addition, from all processes together.
const COLD_SLACK: f64 = 5.0;

/// Cold server and its share of the requests since it was first listed.
#[derive(Clone, Copy, Debug)]
struct ColdWorker {
    warm_at: NodeTime,
    /// Longest time until then that was listed.
    duration: time::Duration,
    /// Number of requests that it has earned.
    earned: f64,
    /// Number of requests that it got.
    sent: u32,
    /// Number of requests that it may get until the next update.
    limit: f64,
}

impl ColdWorker {
    fn speed(&self, now: NodeTime) -> f64 {
        let left = self.warm_at.saturating_since(now).as_secs_f64();
        let progress = 1.0 - left / self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        progress.clamp(MIN_SPEED, 1.0)
    }

    /// Returns whether it gets no request for now.
    fn is_withheld(&self) -> bool {
        f64::from(self.sent) + 1.0 > self.limit
    }
}

/// Servers of one class, as far as the slow start needs them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassSupply {
    /// Number of serving servers, cold ones included.
    pub serving: usize,
    /// Number of serving servers that are cold.
    pub cold: usize,
    /// Whether requests wait although each server with a free slot is withheld.
    pub is_starving: bool,
}

/// Whether a cold server may get a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ColdVerdict {
    /// VM of the server.
    pub vm: VmId,
    /// Whether it gets no request for now.
    pub is_withheld: bool,
}

/// Cold servers, and the requests sent since the last update.
#[derive(Debug, Default)]
pub struct SlowStart {
    workers: BTreeMap<VmId, ColdWorker>,
    dispatched: HashMap<ClassName, u32>,
}

impl SlowStart {
    /// Returns whether no server is cold.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether the server on `vm` is cold.
    pub fn is_cold(&self, vm: &VmId) -> bool {
        self.workers.contains_key(vm)
    }

    /// Returns the VMs of the cold servers.
    pub fn vms(&self) -> impl Iterator<Item = &VmId> {
        self.workers.keys()
    }

    /// Replaces the cold servers, with the time for which each remains cold; returns those
    /// that are no longer cold.
    pub fn set_cold(&mut self, now: NodeTime, cold: &HashMap<VmId, time::Duration>) -> Vec<VmId> {
        let is_gone = |vm: &&VmId| !cold.contains_key(*vm);
        let gone: Vec<VmId> = self.workers.keys().filter(is_gone).cloned().collect();
        self.workers.retain(|vm, _| cold.contains_key(vm));
        for (vm, left) in cold {
            let worker = self.workers.entry(vm.clone()).or_insert(ColdWorker {
                warm_at: now,
                duration: *left,
                earned: 0.0,
                sent: 0,
                limit: 0.0,
            });
            worker.warm_at = now + *left;
            worker.duration = worker.duration.max(*left);
        }
        gone
    }

    /// Removes the servers that are warm by now and returns them.
    pub fn take_warm(&mut self, now: NodeTime) -> Vec<VmId> {
        let is_warm = |worker: &ColdWorker| worker.warm_at <= now;
        let warm = self.workers.iter().filter(|(_, worker)| is_warm(worker));
        let warm: Vec<VmId> = warm.map(|(vm, _)| vm.clone()).collect();
        self.workers.retain(|_, worker| !is_warm(worker));
        warm
    }

    /// Counts a request of `class` that is sent to `vm`; returns whether that server gets no
    /// more requests until the next update.
    pub fn count(&mut self, class: &ClassName, vm: &VmId) -> bool {
        *self.dispatched.entry(class.clone()).or_default() += 1;
        let Some(worker) = self.workers.get_mut(vm) else {
            return false;
        };
        worker.sent += 1;
        worker.is_withheld()
    }

    /// Credits the cold servers for the requests sent since the last update, and decides
    /// which of them may get requests. `classes` returns the classes of a server and `supply`
    /// the servers of a class; `processes` is the number of entry processes.
    pub fn update<'a>(
        &mut self,
        now: NodeTime,
        processes: usize,
        classes: impl Fn(&VmId) -> &'a [ClassName],
        supply: impl Fn(&ClassName) -> ClassSupply,
    ) -> Vec<ColdVerdict> {
        let mut cold_speeds: HashMap<&ClassName, f64> = HashMap::new();
        for (vm, worker) in &self.workers {
            for class in classes(vm) {
                *cold_speeds.entry(class).or_default() += worker.speed(now);
            }
        }
        let dispatched = std::mem::take(&mut self.dispatched);
        let slack = (COLD_SLACK / processes.max(1) as f64).max(1.0);
        let mut verdicts = Vec::with_capacity(self.workers.len());
        for (vm, worker) in &mut self.workers {
            let speed = worker.speed(now);
            let (mut has_warm, mut is_starving) = (false, false);
            for class in classes(vm) {
                let supply = supply(class);
                let warm = supply.serving.saturating_sub(supply.cold);
                let total = warm as f64 + cold_speeds.get(class).copied().unwrap_or(0.0);
                let sent = f64::from(dispatched.get(class).copied().unwrap_or(0));
                worker.earned += sent * speed / total.max(speed);
                has_warm |= warm > 0;
                is_starving |= supply.is_starving;
            }
            worker.limit = match (has_warm, is_starving) {
                // Servers that are all cold have the shares that the shortest queue gives them.
                (false, _) => f64::INFINITY,
                (true, true) => worker.earned * COLD_OVERAGE + slack,
                (true, false) => worker.earned,
            };
            verdicts.push(ColdVerdict {
                vm: vm.clone(),
                is_withheld: worker.is_withheld(),
            });
        }
        verdicts
    }
}
