//! Step-by-step trials of the planner against two baselines.
//!
//! A trial drives the planner's own state, the rows of the table, through
//! time with a given demand. It models VMs only as far as the planner sees
//! them: how long a drain and a reboot take, and whether a VM answers.

pub mod baseline;
pub mod demand;
pub mod fleet;
pub mod run;

pub use demand::RotatingDemand;
pub use fleet::{BrokenRule, TrialFleet, TrialLayout};
pub use run::{TrialPoint, TrialPolicy, TrialResult, TrialSettings, run};
