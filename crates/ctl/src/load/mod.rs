//! Open-loop load on real entry processes, with a check of every answer.
//!
//! Requests leave at the times of a seeded schedule, whether or not earlier
//! ones were answered, and latency is counted from the scheduled time. That
//! corrects for coordinated omission: a slow server cannot slow its load down.

mod answer;
mod check;
mod command;
mod experiment;
mod record;
mod report;
mod schedule;
mod sender;
mod share;
mod startup;

pub use check::{PromiseBreach, check_promises};
pub use command::COMMAND;
pub use experiment::{DemandRotation, LoadExperiment, LoadStream};
pub use record::{BodyCheck, ExecutionCounts, RequestEnd, RequestRecord};
pub use report::{LoadReport, StreamReport};
pub use schedule::{LoadArrival, LoadSchedule};
pub use share::{ShareWindow, max_min_entitlements, share_windows};
pub use startup::parse_startup;
