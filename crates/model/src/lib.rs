//! Domain types and declarations of redwinglb.
//!
//! A [`FleetDeclaration`] holds the targets that an operator sets: the queues
//! with their capacity and deadlines, the pools with their availability
//! budgets, and the customers with their shares and limits. It is written in
//! TOML, kept in version control, and validated as a whole before any part of
//! it takes effect.
//!
//! # Examples
//!
//! ```
//! let text = r#"
//!     [teams.inspections]
//!     limit = 40
//!
//!     [pools.reports]
//!     vms = 10
//!     max-unavailable = 2
//!
//!     [queues.certificates]
//!     pool = "reports"
//!     shares = { inspections = 1.0 }
//! "#;
//! let fleet = redwing_model::from_toml(text)?;
//! assert_eq!(fleet.pools.len(), 1);
//! # Ok::<(), redwing_model::Error>(())
//! ```

pub mod access;
pub mod admin;
pub mod declaration;
pub mod diff;
pub mod error;
pub mod evacuation;
mod field;
pub mod name;
pub mod outcome;
pub mod vm;

pub use access::{AccessKey, KeyHash};
pub use declaration::{FleetDeclaration, from_toml, to_toml};
pub use error::{Category, Error, Result};
pub use name::{
    ClassName, CustomerName, DataCentre, NodeId, NodeIncarnation, PoolName, QueueName, RackName,
    VmId,
};
pub use outcome::RunOutcome;
