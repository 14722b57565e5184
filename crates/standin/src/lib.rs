//! Stand-ins for the platform, the workers and the backend servers.
//!
//! A [`MemoryPlatform`] keeps the table, objects and VM list in memory and
//! injects faults on request. [`server::serve`] exposes it over HTTP to other
//! processes, which call it through an [`HttpPlatform`]. A [`LinkedTable`] limits the
//! bandwidth to the table. [`MemoryWorkers`]
//! simulate the workers of one pool, [`MemoryMachines`] the platform's machine
//! service, and [`backend::start`] starts backend servers.
//!
//! # Examples
//!
//! ```
//! use redwing_provider::{RowKey, TableStore, TableTransaction};
//!
//! # actix_rt::System::new().block_on(async {
//! let platform = redwing_standin::MemoryPlatform::default();
//! let change = TableTransaction::default().put(RowKey::new("a/1"), "{}");
//! platform.commit(&change).await?;
//! assert_eq!(platform.scan("a/").await?.rows.len(), 1);
//! # Ok::<(), redwing_provider::Error>(())
//! # }).unwrap();
//! ```

pub mod backend;
pub mod client;
pub mod fault;
pub mod link;
pub mod machine;
pub mod memory;
pub mod server;
pub mod worker;

pub use client::HttpPlatform;
pub use fault::FaultPlan;
pub use link::{LinkSettings, LinkedTable};
pub use machine::{MachineFault, MemoryMachines, WorkerReturn};
pub use memory::{MemoryPlatform, MemorySettings};
pub use worker::{MemoryWorkers, WorkerFault};
