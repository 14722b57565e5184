//! Pure maintenance and capacity decisions of redwinglb.
//!
//! Nothing here does I/O or reads a clock: the time and everything that is
//! known of the fleet are passed in, and [`plan`](plan::plan) returns table
//! transactions that carry the row versions they were computed from. Any
//! entry VM may plan: of two planners that decide at once, the table accepts
//! one, and a plan computed from old rows is rejected as a whole.
//!
//! # Examples
//!
//! ```
//! use redwing_planner::{FleetRows, PlanTime, PlannerSettings, PlannerView, plan};
//!
//! let fleet = redwing_model::from_toml("[pools.reports]\nvms = 4\nmax-unavailable = 1\n")?;
//! let rows = FleetRows::default();
//! let view = PlannerView::new(&fleet, &rows);
//! let result = plan::plan(PlanTime::from_millis(0), &PlannerSettings::default(), &view);
//! // The first plan of a new fleet creates the row of its pool.
//! assert_eq!(result.steps.len(), 1);
//! # Ok::<(), redwing_model::Error>(())
//! ```

pub mod budget;
pub mod capacity;
pub mod demand;
mod draft;
pub mod error;
pub mod explain;
pub mod lifecycle;
mod moves;
pub mod plan;
pub mod profile;
pub mod record;
pub mod report;
pub mod rollout;
pub mod step;
mod svg;
pub mod time;
pub mod trial;
pub mod view;

pub use budget::PoolBudget;
pub use demand::DemandTracker;
pub use error::{Error, Result};
pub use explain::{Explanation, Subject};
pub use plan::{FleetPlan, PlannerSettings};
pub use profile::ProfileTargets;
pub use record::{OutageCause, PoolRecord, VmOutage};
pub use rollout::{RolloutRecord, RolloutState};
pub use step::{PlanStep, PlatformCall, StepCommit};
pub use time::PlanTime;
pub use view::{FleetRows, PlannerView, Versioned, VmObservation};
