//! Evacuated data centres, and dispatches that are held back.

use std::collections::{BTreeSet, HashMap};

use redwing_model::{DataCentre, VmId};

use crate::clock::NodeTime;
use crate::scheduler::NodeScheduler;

impl NodeScheduler {
    /// Replaces the data centres of the VMs.
    pub fn set_places(&mut self, now: NodeTime, places: HashMap<VmId, DataCentre>) {
        let changed = self.evacuations.set_places(places);
        self.apply_evacuations(now, &changed);
    }

    /// Replaces the evacuated data centres. Their backend servers get no new requests, and
    /// their slots are neither used nor lent; running requests end by themselves.
    pub fn set_evacuations(&mut self, now: NodeTime, evacuated: &BTreeSet<DataCentre>) {
        let changed = self.evacuations.set_evacuated(evacuated);
        self.apply_evacuations(now, &changed);
    }

    /// Holds back all dispatches and transfers of slots, and refuses new requests at once,
    /// while the process cannot know which data centres are evacuated.
    pub fn set_held(&mut self, now: NodeTime, is_held: bool) {
        let was_held = std::mem::replace(&mut self.is_held, is_held);
        if was_held && !is_held {
            self.dispatch_all(now);
            self.flush(now);
        }
    }

    /// Returns the number of backend servers of evacuated data centres.
    pub fn evacuated_workers(&self) -> usize {
        self.workers.evacuated_total()
    }

    /// Returns the number of attempts of this process that run in evacuated data centres.
    pub fn evacuated_running(&self) -> usize {
        self.workers.evacuated_running()
    }

    fn apply_evacuations(&mut self, now: NodeTime, changed: &[VmId]) {
        if changed.is_empty() {
            return;
        }
        for vm in changed {
            let is_evacuated = self.evacuations.is_evacuated(vm);
            self.workers.set_evacuated(vm, is_evacuated);
        }
        self.update_slots();
        self.dispatch_all(now);
        self.flush(now);
    }
}
