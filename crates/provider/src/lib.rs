//! Interfaces to the platform's services and their clients.
//!
//! An adapter to a protocol of the platform implements the traits of this
//! package: [`TableStore`], [`ObjectStore`], [`VmDirectory`] and
//! [`VmControl`]. The code that makes decisions depends on the traits only.
//!
//! # Examples
//!
//! ```
//! use redwing_provider::table;
//!
//! let key = table::RowKey::new("config/head");
//! let change = table::TableTransaction::default()
//!     .require_absent(key.clone())
//!     .put(key, "{}");
//! assert_eq!(change.writes().len(), 1);
//! ```

pub mod backoff;
pub mod batch;
pub mod breaker;
pub mod builder;
mod calls;
pub mod client;
mod clock;
pub mod counters;
pub mod directory;
pub mod error;
pub mod limits;
pub mod object;
pub mod progress;
pub mod rate_limiter;
pub mod scan;
pub mod table;
mod writer;

pub use client::{ClientSettings, TableClient};
pub use counters::{CallCause, CauseCounts};
pub use directory::{ListedStatus, ListedVm, VmControl, VmDirectory, VmRole};
pub use error::{Category, Error, Result};
pub use limits::{TableLimits, TransactionSize};
pub use object::ObjectStore;
pub use progress::ReadProgress;
pub use table::{CommitOutcome, RowKey, TableRow, TableStore, TableTransaction};

use std::future;
use std::pin;
use std::rc;

/// Future of a platform call, bound to the thread that made it.
pub type LocalFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + 'a>>;

/// All services of the platform that a process uses.
#[derive(Clone)]
pub struct PlatformServices {
    /// Transactional table.
    pub table: rc::Rc<dyn TableStore>,
    /// Object store.
    pub objects: rc::Rc<dyn ObjectStore>,
    /// List of VMs.
    pub directory: rc::Rc<dyn VmDirectory>,
    /// Control of VMs and their requests.
    pub control: rc::Rc<dyn VmControl>,
}
