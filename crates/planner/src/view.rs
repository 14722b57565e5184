//! Input of the planner: table rows, observations and the declaration.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::vm::{VmIdentity, VmRecord};
use redwing_model::{ClassName, DataCentre, FleetDeclaration, NodeId, PoolName, VmId};

use crate::error::{Error, Result};
use crate::record::PoolRecord;
use crate::rollout::RolloutRecord;
use crate::step::{RowContent, RowReference, StepCommit};

/// Content of a row with the number of the commit that last wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// Number of the commit.
    pub version: u64,
    /// Content of the row.
    pub value: T,
}

/// Rows of the table that concern maintenance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetRows {
    /// Rows of VMs.
    pub vms: BTreeMap<VmId, Versioned<VmRecord>>,
    /// Rows of pools.
    pub pools: BTreeMap<PoolName, Versioned<PoolRecord>>,
    /// Rows of roll-outs, one for each pool.
    pub rollouts: BTreeMap<PoolName, Versioned<RolloutRecord>>,
}

impl FleetRows {
    /// Returns the version of a row, or `None` if there is no such row.
    pub fn version(&self, row: &RowReference) -> Option<u64> {
        match row {
            RowReference::Vm(vm) => self.vms.get(vm).map(|row| row.version),
            RowReference::Pool(pool) => self.pools.get(pool).map(|row| row.version),
            RowReference::Rollout(pool) => self.rollouts.get(pool).map(|row| row.version),
            RowReference::DrainAck { .. } => None,
        }
    }

    /// Applies a transaction to these rows with the semantics of the table.
    ///
    /// # Errors
    ///
    /// Fails without any effect if a row does not have its required version.
    pub fn apply(&mut self, commit: &StepCommit, version: u64) -> Result<()> {
        for expectation in &commit.expectations {
            if self.version(&expectation.row) != expectation.version {
                return Err(Error::stale_row("apply", expectation.row.key()));
            }
        }
        for update in &commit.updates {
            self.put(&update.row, update.content.clone(), version);
        }
        Ok(())
    }

    /// Replaces the content of one row, or deletes it.
    pub fn put(&mut self, row: &RowReference, content: Option<RowContent>, version: u64) {
        match content {
            Some(RowContent::Vm(value)) => {
                let vm = value.identity.vm.clone();
                self.vms.insert(vm, Versioned { version, value });
            }
            Some(RowContent::Pool(value)) => {
                if let RowReference::Pool(pool) = row {
                    self.pools
                        .insert(pool.clone(), Versioned { version, value });
                }
            }
            Some(RowContent::Rollout(value)) => {
                if let RowReference::Rollout(pool) = row {
                    self.rollouts
                        .insert(pool.clone(), Versioned { version, value });
                }
            }
            None => self.delete(row),
        }
    }

    fn delete(&mut self, row: &RowReference) {
        match row {
            RowReference::Vm(vm) => {
                self.vms.remove(vm);
            }
            RowReference::Pool(pool) => {
                self.pools.remove(pool);
            }
            RowReference::Rollout(pool) => {
                self.rollouts.remove(pool);
            }
            RowReference::DrainAck { .. } => {}
        }
    }
}

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Listing {
    /// Listed as live.
    #[default]
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not listed.
    Absent,
}

/// Observed state of a VM. The default is the state of a VM without an entry in
/// the observations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmObservation {
    /// State in the platform's VM list.
    pub listing: Listing,
    /// Time since the VM became absent from the list.
    pub absent_for: time::Duration,
    /// Whether the VM is ejected because requests to it failed.
    pub ejected: bool,
    /// Whether the VM responds; observed only while it is out of service.
    pub responding: bool,
    /// Whether each entry VM has confirmed, for the current revision of the VM's
    /// row, that it has no requests on the VM and sends it no more.
    pub drained: bool,
    /// Entry VMs that have written a drain confirmation.
    pub acknowledged_by: Vec<NodeId>,
    /// Whether the platform has confirmed the current reboot.
    pub reboot_accepted: bool,
    /// Longest expected remaining time of the requests on the VM.
    pub expected_drain: time::Duration,
}

/// Input of one plan.
#[derive(Clone, Copy, Debug)]
pub struct PlannerView<'a> {
    /// Declaration in force.
    pub declaration: &'a FleetDeclaration,
    /// Version of the configuration that holds the declaration.
    pub config_version: u64,
    /// Rows of the table.
    pub rows: &'a FleetRows,
    /// Observations of VMs. A VM without an entry is listed as live, not
    /// ejected, and has requests of ordinary length (expected drain zero).
    pub observations: &'a BTreeMap<VmId, VmObservation>,
    /// Listed VMs that have no row yet.
    pub unassigned: &'a [VmIdentity],
    /// Sustained demand of each class, in slots; a class is missing until it has
    /// been observed for a whole demand window.
    pub demand: &'a BTreeMap<ClassName, f64>,
    /// Evacuated data centres, whose VMs get no requests.
    pub evacuated: &'a BTreeSet<DataCentre>,
    /// Whether the VM list is recent; if not, no planned drain starts.
    pub list_recent: bool,
}

impl<'a> PlannerView<'a> {
    /// Creates a view without observations, demand and new VMs.
    pub fn new(declaration: &'a FleetDeclaration, rows: &'a FleetRows) -> Self {
        const NO_OBSERVATIONS: &BTreeMap<VmId, VmObservation> = &BTreeMap::new();
        const NO_DEMAND: &BTreeMap<ClassName, f64> = &BTreeMap::new();
        const NO_DATA_CENTRES: &BTreeSet<DataCentre> = &BTreeSet::new();
        Self {
            declaration,
            config_version: 0,
            rows,
            observations: NO_OBSERVATIONS,
            unassigned: &[],
            demand: NO_DEMAND,
            evacuated: NO_DATA_CENTRES,
            list_recent: true,
        }
    }

    /// Returns whether a VM is in an evacuated data centre.
    pub fn is_evacuated(&self, identity: &VmIdentity) -> bool {
        self.evacuated.contains(&identity.data_centre)
    }

    /// Returns whether a VM is a suspect: ejected or not listed as live. This is
    /// meant for VMs whose rows are in phase serving.
    pub fn is_suspect(&self, vm: &VmId) -> bool {
        let suspect = |observation: &VmObservation| {
            observation.ejected || observation.listing != Listing::Live
        };
        self.observations.get(vm).is_some_and(suspect)
    }
}
