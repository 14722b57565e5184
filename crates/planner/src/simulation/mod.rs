//! Discrete-time simulations of the planner and two baselines.
//!
//! A simulation runs the planner on its real state, the rows of the table, in
//! steps of one second under a given demand. It models only the properties of
//! VMs that the planner observes: the duration of a drain and of a reboot, and
//! whether a VM responds.

pub mod baseline;
pub mod demand;
pub mod fleet;
pub mod run;

pub use demand::RotatingDemand;
pub use fleet::{FleetLayout, InvariantViolation, SimulatedFleet};
pub use run::{SimulationPoint, SimulationPolicy, SimulationResult, SimulationSettings, run};
