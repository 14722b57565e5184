//! Maintenance as one process carries it out.
//!
//! Every entry process runs a [`MaintenanceRunner`] on its control thread. A
//! round reads what changed in the table and in the platform's VM list,
//! computes a plan and commits its steps. Each step names the versions of the
//! rows it was computed from, so that rounds of several processes, late rounds
//! and rounds whose replies were lost do no harm.

pub mod desk;
pub mod observe;
pub mod pace;
pub mod route;
pub mod rows;
pub mod run;

pub use desk::MaintenanceDesk;
pub use observe::{SchedulerUsage, UsageReport};
pub use route::MaintenanceRoutes;
pub use run::{MaintenanceRunner, MaintenanceSettings, RoundReport};

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc;
use std::sync;

use redwing_model::vm::VmIdentity;
use redwing_model::{ClassName, FleetDeclaration, VmId};
use redwing_planner::{FleetRows, PlannerSettings, PlannerView, VmObservation};

/// What the last round of a process knew, for its operators.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceState {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Rows of the table.
    pub rows: rc::Rc<FleetRows>,
    /// What was observed of VMs.
    pub observations: BTreeMap<VmId, VmObservation>,
    /// Listed VMs that have no row.
    pub unassigned: Vec<VmIdentity>,
    /// Sustained demand of classes.
    pub demand: BTreeMap<ClassName, f64>,
    /// Whether the VM list is recent.
    pub list_recent: bool,
    /// Settings of the planner.
    pub settings: PlannerSettings,
}

impl MaintenanceState {
    /// Returns the state as the planner takes it.
    pub fn view(&self) -> PlannerView<'_> {
        PlannerView {
            declaration: &self.declaration,
            config_version: self.config_version,
            rows: &self.rows,
            observations: &self.observations,
            unassigned: &self.unassigned,
            demand: &self.demand,
            list_recent: self.list_recent,
        }
    }
}

/// State shared between the runner and the operator API of one process.
pub type SharedState = rc::Rc<RefCell<MaintenanceState>>;
