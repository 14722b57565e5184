//! Small stand-ins for the platform and the backend servers.
//!
//! A [`MemoryPlatform`] keeps table, objects and VM list in memory and shows
//! faults on demand. [`server::serve`] offers it over HTTP to other
//! processes, which reach it through a [`HttpPlatform`].
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
pub mod memory;
pub mod server;
pub mod worker;

pub use client::HttpPlatform;
pub use fault::FaultPlan;
pub use memory::{MemoryPlatform, MemorySettings};
pub use worker::{MemoryWorkers, WorkerFault};
