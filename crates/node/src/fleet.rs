//! Backend servers from the table's VM rows and the platform's VM list.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time;

use redwing_model::vm::VmPhase;
use redwing_model::vm::VmRecord;
use redwing_model::{ClassName, DataCentre, FleetDeclaration, NodeId, PoolName, VmId};
use redwing_policy::scheduler::WorkerView;
use redwing_provider::{ListedStatus, ListedVm, VmRole};

use crate::table_cache::TableCache;

/// Key prefix of VM rows.
pub const VM_PREFIX: &str = "vm/";

/// Status of backend servers and set of entry VMs in the platform's last VM list.
#[derive(Clone, Debug, Default)]
pub struct VmListing {
    statuses: BTreeMap<VmId, ListedStatus>,
    entry_nodes: BTreeSet<NodeId>,
}

impl VmListing {
    /// Creates a listing from the platform's VM list.
    pub fn new(list: &[ListedVm]) -> Self {
        let mut listing = Self::default();
        for entry in list {
            match &entry.role {
                VmRole::BackendServer => {
                    let vm = entry.identity.vm.clone();
                    listing.statuses.insert(vm, entry.status);
                }
                VmRole::Entry(node) => {
                    listing.entry_nodes.insert(node.clone());
                }
            }
        }
        listing
    }

    /// Returns whether the VM is listed and not about to leave.
    pub fn is_live(&self, vm: &VmId) -> bool {
        let status = self.statuses.get(vm);
        status.is_some_and(|status| status.is_live())
    }

    /// Returns the cold VMs, with the time for which each remains cold.
    pub fn cold_vms(&self) -> HashMap<VmId, time::Duration> {
        let cold = self
            .statuses
            .iter()
            .filter_map(|(vm, status)| match status {
                ListedStatus::Cold { left_millis } if *left_millis > 0 => {
                    Some((vm.clone(), time::Duration::from_millis(*left_millis)))
                }
                _ => None,
            });
        cold.collect()
    }

    /// Returns the listed entry VMs.
    pub fn entry_nodes(&self) -> &BTreeSet<NodeId> {
        &self.entry_nodes
    }
}

/// Returns the records of all VMs in `cache`; malformed rows are skipped.
pub fn vm_records(cache: &TableCache) -> Vec<VmRecord> {
    cache
        .rows()
        .filter_map(|row| serde_json::from_str(row.value.as_deref()?).ok())
        .collect()
}

/// Returns the data centres of the VMs.
pub fn data_centres(records: &[VmRecord]) -> HashMap<VmId, DataCentre> {
    let identities = records.iter().map(|record| &record.identity);
    identities
        .map(|identity| (identity.vm.clone(), identity.data_centre.clone()))
        .collect()
}

/// Returns the scheduler's view of the backend servers, each with the classes of
/// its pool.
///
/// A VM gets new requests only while its row has phase `Serving` and the
/// platform lists it as live.
pub fn worker_views(
    records: &[VmRecord],
    listing: &VmListing,
    declaration: &FleetDeclaration,
) -> Vec<WorkerView> {
    let classes = classes_by_pool(declaration);
    records
        .iter()
        .map(|record| WorkerView {
            vm: record.identity.vm.clone(),
            address: record.identity.address,
            classes: classes.get(&record.pool).cloned().unwrap_or_default(),
            serving: record.phase == VmPhase::Serving && listing.is_live(&record.identity.vm),
        })
        .collect()
}

fn classes_by_pool(declaration: &FleetDeclaration) -> BTreeMap<PoolName, Vec<ClassName>> {
    let mut classes: BTreeMap<PoolName, Vec<ClassName>> = BTreeMap::new();
    for (name, queue) in &declaration.queues {
        let entry = classes.entry(queue.pool.clone()).or_default();
        entry.push(name.clone());
    }
    classes
}
