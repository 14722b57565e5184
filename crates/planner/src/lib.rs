//! Maintenance and capacity planning of redwinglb, without I/O.
//!
//! This package does no I/O and reads no clock: the time and the state of the
//! fleet are passed in, and [`plan`](plan::plan) returns table transactions
//! that carry the row versions they were computed from. Any entry VM may plan:
//! if two planners commit concurrently, the table accepts one transaction, and
//! a transaction computed from old rows is rejected as a whole.
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
mod builder;
pub mod capacity;
pub mod demand;
pub mod error;
pub mod explain;
pub mod lifecycle;
mod moves;
pub mod plan;
pub mod profile;
pub mod record;
pub mod report;
pub mod rollout;
pub mod simulation;
pub mod step;
pub mod svg;
pub mod time;
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
