//! Experiments: the job scheduler and the capacity planner in simulated time,
//! against a load from a file.
//!
//! Every decision is made by `redwing-jobs`. This package models what the decisions
//! act on: callers, the table's delay, and machines with workers. The same load and
//! seed give the same arrivals and durations with each policy, so that policies can
//! be compared.
//!
//! # Examples
//!
//! ```
//! use redwing_experiment::{ExperimentPolicy, LoadFile, run};
//!
//! let load = LoadFile::from_toml(
//!     r#"
//!     seconds = 2.0
//!     pools = [{ name = "printers", workers = 2 }]
//!     queues = [{ name = "labels", pool = "printers" }]
//!     customers = [{ name = "housing" }]
//!     traffic = [
//!         { queue = "labels", customer = "housing", rate = 5.0, steps = [{ estimate-ms = 200 }] },
//!     ]
//!     "#,
//! )?;
//! let result = run(&load, ExperimentPolicy::Shares, 1);
//! assert_eq!(result.total.arrived, result.total.in_time);
//! # Ok::<(), redwing_experiment::Error>(())
//! ```

mod arrival;
mod check;
mod entry;
pub mod error;
mod event;
mod fleet;
pub mod load;
pub mod outcome;
pub mod policy;
mod run;
pub mod summary;

pub use arrival::{JobArrival, arrivals};
pub use error::{Error, Result};
pub use load::LoadFile;
pub use outcome::{CustomerOutcome, JobOutcome, OutcomeCounts, RunResult, fairness_index};
pub use policy::ExperimentPolicy;
pub use run::run;
pub use summary::{CustomerSummary, PolicySummary, ValueRange};
