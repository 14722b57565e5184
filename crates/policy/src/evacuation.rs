//! Backend servers of evacuated data centres.
//!
//! Load pattern: a data centre is taken out of service as a whole while requests wait and
//! run in it, and later comes back as a whole. A change of the evacuations yields only the
//! VMs that it concerns.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use redwing_model::{DataCentre, VmId};

/// Data centres of VMs, and which of them are evacuated.
#[derive(Debug, Default)]
pub struct EvacuationMap {
    places: HashMap<VmId, DataCentre>,
    members: BTreeMap<DataCentre, BTreeSet<VmId>>,
    evacuated: BTreeSet<DataCentre>,
}

impl EvacuationMap {
    /// Returns whether the VM is in an evacuated data centre.
    pub fn is_evacuated(&self, vm: &VmId) -> bool {
        let place = self.places.get(vm);
        place.is_some_and(|place| self.evacuated.contains(place))
    }

    /// Returns the VMs of evacuated data centres.
    fn evacuated_vms(&self) -> impl Iterator<Item = &VmId> {
        let members = self.evacuated.iter();
        members.filter_map(|name| self.members.get(name)).flatten()
    }

    /// Replaces the data centres of the VMs; returns the VMs whose evacuation began or ended.
    pub fn set_places(&mut self, places: HashMap<VmId, DataCentre>) -> Vec<VmId> {
        let before: BTreeSet<VmId> = self.evacuated_vms().cloned().collect();
        self.members.clear();
        for (vm, place) in &places {
            let members = self.members.entry(place.clone()).or_default();
            members.insert(vm.clone());
        }
        self.places = places;
        let after: BTreeSet<VmId> = self.evacuated_vms().cloned().collect();
        before.symmetric_difference(&after).cloned().collect()
    }

    /// Replaces the evacuated data centres; returns the VMs whose evacuation began or ended.
    pub fn set_evacuated(&mut self, evacuated: &BTreeSet<DataCentre>) -> Vec<VmId> {
        let changed = self.evacuated.symmetric_difference(evacuated);
        let members = changed.filter_map(|name| self.members.get(name)).flatten();
        let vms = members.cloned().collect();
        self.evacuated = evacuated.clone();
        vms
    }
}
