//! Cold backend servers.

use std::collections::HashMap;
use std::time;

use redwing_model::{ClassName, VmId};

use crate::clock::NodeTime;
use crate::scheduler::NodeScheduler;
use crate::slow_start::ClassSupply;

/// Shortest time between two updates of what cold servers may get.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl NodeScheduler {
    /// Replaces the cold backend servers, with the time for which each remains cold.
    pub fn set_cold(&mut self, now: NodeTime, cold: &HashMap<VmId, time::Duration>) {
        for vm in self.slow_start.set_cold(now, cold) {
            self.workers.set_withheld(&vm, false);
        }
        self.last_cold_update = None;
        self.update_cold(now);
        self.dispatch_all(now);
        self.flush(now);
    }

    /// Updates which cold servers may get requests, if that is due.
    pub(super) fn update_cold(&mut self, now: NodeTime) {
        if self.slow_start.is_empty() {
            return;
        }
        let last = self.last_cold_update;
        if last.is_some_and(|last| now.saturating_since(last) < UPDATE_INTERVAL) {
            return;
        }
        self.last_cold_update = Some(now);
        for vm in self.slow_start.take_warm(now) {
            self.workers.set_withheld(&vm, false);
        }
        let (workers, state) = (&self.workers, &self.classes);
        let mut cold: HashMap<&ClassName, usize> = HashMap::new();
        for vm in self.slow_start.vms() {
            for class in workers.serving_classes(vm) {
                *cold.entry(class).or_default() += 1;
            }
        }
        let supply = |class: &ClassName| {
            let waiting = state.get(class).map_or(0, |state| state.queue.waiting());
            ClassSupply {
                serving: workers.serving(class),
                cold: cold.get(class).copied().unwrap_or(0),
                is_starving: waiting > 0 && !workers.has_free(class),
            }
        };
        let processes = self.view.peers.len() + 1;
        let classes = |vm: &VmId| workers.serving_classes(vm);
        let verdicts = self.slow_start.update(now, processes, classes, supply);
        for verdict in verdicts {
            self.workers.set_withheld(&verdict.vm, verdict.is_withheld);
        }
    }

    /// Counts a dispatch for the slow start of cold servers.
    pub(super) fn count_cold(&mut self, class: &ClassName, vm: &VmId) {
        if self.slow_start.is_empty() {
            return;
        }
        if self.slow_start.count(class, vm) {
            self.workers.set_withheld(vm, true);
        }
    }

    /// Withholds the cold servers again after the index of servers was replaced.
    pub(super) fn withhold_cold(&mut self) {
        let vms: Vec<VmId> = self.slow_start.vms().cloned().collect();
        for vm in vms {
            self.workers.set_withheld(&vm, true);
        }
        self.last_cold_update = None;
    }
}
