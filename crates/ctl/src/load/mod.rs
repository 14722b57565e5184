//! Open-loop load generator that checks every response of entry processes.
//!
//! Requests are sent at the times of a seeded schedule, whether or not earlier
//! ones were completed, and latency is measured from the scheduled time. This
//! corrects for coordinated omission: a slow server cannot reduce its own load.

mod check;
mod command;
mod experiment;
mod record;
mod report;
mod response;
mod schedule;
mod sender;
mod share;
mod startup;

pub use check::{GuaranteeViolation, check_guarantees};
pub use command::COMMAND;
pub use experiment::{DemandRotation, LoadExperiment, LoadStream};
pub use record::{BodyCheck, ExecutionCounts, RequestRecord, RequestResult};
pub use report::{LoadReport, StreamReport};
pub use schedule::{LoadArrival, LoadSchedule};
pub use share::{ShareWindow, max_min_entitlements, share_windows};
pub use startup::parse_startup;
