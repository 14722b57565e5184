//! Backend servers as the table and the platform's list describe them.

use std::collections::{BTreeMap, BTreeSet};

use redwing_model::vm::VmPhase;
use redwing_model::vm::VmRecord;
use redwing_model::{ClassName, FleetDeclaration, NodeId, PoolName, VmId};
use redwing_policy::scheduler::WorkerView;
use redwing_provider::{ListedStatus, ListedVm, VmRole};

use crate::table_cache::TableCache;

/// Prefix of the rows of VMs.
pub const VM_PREFIX: &str = "vm/";

/// What the last list of the platform said.
#[derive(Clone, Debug, Default)]
pub struct VmListing {
    statuses: BTreeMap<VmId, ListedStatus>,
    entries: BTreeSet<NodeId>,
}

impl VmListing {
    /// Creates a listing from the platform's list.
    pub fn new(list: &[ListedVm]) -> Self {
        let mut listing = Self::default();
        for entry in list {
            match &entry.role {
                VmRole::BackendServer => {
                    let vm = entry.identity.vm.clone();
                    listing.statuses.insert(vm, entry.status);
                }
                VmRole::Entry(node) => {
                    listing.entries.insert(node.clone());
                }
            }
        }
        listing
    }

    /// Returns whether the VM is listed and is to stay.
    pub fn is_live(&self, vm: &VmId) -> bool {
        self.statuses.get(vm) == Some(&ListedStatus::Live)
    }

    /// Returns the listed entry VMs.
    pub fn entries(&self) -> &BTreeSet<NodeId> {
        &self.entries
    }
}

/// Returns the records of all VMs in `mirror`; malformed rows are left out.
pub fn vm_records(mirror: &TableCache) -> Vec<VmRecord> {
    mirror
        .rows()
        .filter_map(|row| serde_json::from_str(row.value.as_deref()?).ok())
        .collect()
}

/// Returns the backend servers, each with the classes of its pool.
///
/// A VM takes new requests only while its row says that it serves and the
/// platform lists it as live.
pub fn workers(
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
