//! VM maintenance by the entry processes.
//!
//! Every entry process runs a [`MaintenanceRunner`] on its control thread. A
//! round reads the changes in the table and in the platform's VM list,
//! computes a plan and commits its steps. Each step requires the versions of
//! the rows that it was computed from. Concurrent rounds of several processes,
//! delayed rounds and lost replies therefore cannot apply a step twice or
//! apply an outdated one.

pub mod observe;
pub mod route;
pub mod rows;
pub mod runner;
pub mod service;
pub mod turn;

pub use observe::{SchedulerUsage, UsageReport};
pub use route::MaintenanceRoutes;
pub use runner::{MaintenanceRunner, MaintenanceSettings, RoundReport};
pub use service::MaintenanceService;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc;
use std::sync;

use redwing_model::vm::VmIdentity;
use redwing_model::{ClassName, DataCentre, FleetDeclaration, VmId};
use redwing_planner::{FleetRows, PlannerSettings, PlannerView, VmObservation};

use crate::evacuation::EvacuationReceiver;

/// Inputs of the last maintenance round of one process, read by the operator API.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceState {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Cached rows of the table.
    pub rows: rc::Rc<FleetRows>,
    /// Observations of VMs that are not in normal service.
    pub observations: BTreeMap<VmId, VmObservation>,
    /// Listed VMs that have no row.
    pub unassigned: Vec<VmIdentity>,
    /// Sustained demand of each class, in slots.
    pub demand: BTreeMap<ClassName, f64>,
    /// Evacuated data centres.
    pub evacuated: sync::Arc<BTreeSet<DataCentre>>,
    /// Whether the VM list is recent enough to plan with.
    pub list_recent: bool,
    /// Settings of the planner.
    pub settings: PlannerSettings,
}

impl MaintenanceState {
    /// Takes over the evacuations in force.
    pub(crate) fn follow(&mut self, evacuations: &EvacuationReceiver) {
        self.evacuated = sync::Arc::clone(&evacuations.borrow().evacuated);
    }

    /// Returns the state as input of the planner.
    pub fn view(&self) -> PlannerView<'_> {
        PlannerView {
            declaration: &self.declaration,
            config_version: self.config_version,
            rows: &self.rows,
            observations: &self.observations,
            unassigned: &self.unassigned,
            demand: &self.demand,
            evacuated: &self.evacuated,
            list_recent: self.list_recent,
        }
    }
}

/// State shared between the runner and the operator API of one process.
pub type SharedState = rc::Rc<RefCell<MaintenanceState>>;
