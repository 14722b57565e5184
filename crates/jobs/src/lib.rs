//! Jobs, their life cycle, and scheduling decisions.
//!
//! A job consists of steps, a step of tasks. Tasks run on workers, the
//! backend servers that run tasks under leases. This package decides when and
//! where each task runs; it does no I/O, and the time is passed in.
//!
//! The process that owns the scheduling passes the changes of jobs and workers
//! to a [`JobScheduler`], commits the rows that the scheduler returns, and then
//! sends the orders that the scheduler releases. No order is released before the
//! row that records it is stored, so that the next owner can tell where each
//! task may be running.
//!
//! # Examples
//!
//! ```
//! use redwing_jobs::spec;
//!
//! let job = spec::JobSpec {
//!     steps: vec![spec::StepSpec { count: 4, ..spec::StepSpec::default() }],
//!     ..spec::JobSpec::default()
//! };
//! assert!(job.check().is_ok());
//! ```

pub mod admission;
pub mod block;
pub mod capacity;
pub mod change_order;
pub mod error;
pub mod evacuation;
pub mod evidence;
pub mod feasibility;
pub mod fence;
pub mod maintenance;
pub mod manifest;
pub mod name;
pub mod record;
pub mod scheduler;
pub mod spec;
pub mod time;
pub mod wait;
pub mod worker;

pub use error::{Error, Result};
pub use manifest::JobManifest;
pub use name::{CustomerName, JobId, PoolName, QueueName, TaskId, WorkerId};
pub use record::{JobRecord, JobState, ProgressRecord};
pub use scheduler::{JobScheduler, SchedulerSettings};
pub use spec::JobSpec;
pub use time::BootTime;
