//! What the planner knows of a fleet.

use std::collections::BTreeMap;
use std::time;

use redwing_model::vm::{VmIdentity, VmRecord};
use redwing_model::{ClassName, FleetDeclaration, NodeId, PoolName, VmId};

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
    /// Rows of roll-outs, one a pool.
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

    /// Applies a transaction to these rows, as the table would.
    ///
    /// # Errors
    ///
    /// Fails without any effect if a row is not as the transaction expects.
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

/// How the platform lists a VM.
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

/// What has been observed of a VM, as far as it is out of the ordinary.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmObservation {
    /// How the platform lists it.
    pub listing: Listing,
    /// How long it has been absent from the list.
    pub absent_for: time::Duration,
    /// Whether it was ejected for failing requests.
    pub ejected: bool,
    /// Whether it answers; observed only while it is out of service.
    pub answering: bool,
    /// Whether each entry VM has confirmed, for the present revision of the
    /// VM's row, that it runs nothing there and sends nothing more.
    pub quiet: bool,
    /// Entry VMs that have written such a confirmation.
    pub acknowledged_by: Vec<NodeId>,
    /// Whether the platform has confirmed the present reboot.
    pub reboot_accepted: bool,
    /// Longest expected remaining time of what runs on it.
    pub expected_drain: time::Duration,
}

/// Everything that a plan is computed from.
#[derive(Clone, Copy, Debug)]
pub struct PlannerView<'a> {
    /// Declaration in force.
    pub declaration: &'a FleetDeclaration,
    /// Version of the configuration that holds the declaration.
    pub config_version: u64,
    /// Rows of the table.
    pub rows: &'a FleetRows,
    /// What was observed of VMs. A VM without an entry is listed as live,
    /// not ejected, and carries requests of ordinary length.
    pub observations: &'a BTreeMap<VmId, VmObservation>,
    /// Listed VMs that have no row yet.
    pub unassigned: &'a [VmIdentity],
    /// Sustained demand of each class, in slots in use; a class is missing
    /// until it was observed for long enough.
    pub demand: &'a BTreeMap<ClassName, f64>,
    /// Whether the VM list is recent; nothing is taken out of service if not.
    pub list_recent: bool,
}

impl<'a> PlannerView<'a> {
    /// Creates a view without observations, demand and new VMs.
    pub fn new(declaration: &'a FleetDeclaration, rows: &'a FleetRows) -> Self {
        const NO_OBSERVATIONS: &BTreeMap<VmId, VmObservation> = &BTreeMap::new();
        const NO_DEMAND: &BTreeMap<ClassName, f64> = &BTreeMap::new();
        Self {
            declaration,
            config_version: 0,
            rows,
            observations: NO_OBSERVATIONS,
            unassigned: &[],
            demand: NO_DEMAND,
            list_recent: true,
        }
    }

    /// Returns whether a VM that its row has as serving is in doubt.
    pub fn is_suspect(&self, vm: &VmId) -> bool {
        let suspect = |seen: &VmObservation| seen.ejected || seen.listing != Listing::Live;
        self.observations.get(vm).is_some_and(suspect)
    }
}
