//! Usage of VMs and classes, for maintenance.

use std::collections::{BTreeMap, BTreeSet};

use redwing_model::{ClassName, VmId};

use crate::scheduler::NodeScheduler;

/// Demand of one class as seen by this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClassUsage {
    /// Class of work.
    pub class: ClassName,
    /// Attempts dispatched by this process that are running.
    pub running: u32,
    /// Requests waiting at this process and, as last reported, at its peers.
    pub waiting: u32,
    /// Slot time used through other processes, in microseconds. It grows,
    /// except that it falls when a process ends.
    pub peer_service_micros: u64,
}

impl NodeScheduler {
    /// Returns the VMs that accept no new requests and on which no request
    /// dispatched by this process can still be running.
    ///
    /// An attempt whose end is unknown counts as running until the task lease expires.
    pub fn drained_vms(&self) -> BTreeSet<VmId> {
        let busy = self.ledger.busy_vms();
        let draining = self.view.workers.iter().filter(|worker| !worker.serving);
        let drained = draining.filter(|worker| !busy.contains(&worker.vm));
        drained.map(|worker| worker.vm.clone()).collect()
    }

    /// Returns the demand of each class.
    pub fn class_usage(&self) -> Vec<ClassUsage> {
        let mut running: BTreeMap<&ClassName, u32> = BTreeMap::new();
        for request in self.requests.values() {
            if request.attempt.is_some() {
                *running.entry(&request.ticket.class).or_default() += 1;
            }
        }
        let mut usages = Vec::with_capacity(self.classes.len());
        for (class, state) in &self.classes {
            let customers = state.queue.customers();
            let remote: u32 = customers
                .map(|customer| state.queue.remote_of(customer))
                .sum();
            let local = u32::try_from(state.queue.waiting()).unwrap_or(u32::MAX);
            usages.push(ClassUsage {
                class: class.clone(),
                running: running.get(class).copied().unwrap_or(0),
                waiting: local.saturating_add(remote),
                peer_service_micros: state.remote.service_micros(),
            });
        }
        usages
    }
}
