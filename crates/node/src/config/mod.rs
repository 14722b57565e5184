//! Configuration in force: declaration, keys and operators' tokens.
//!
//! The table is the source of truth. Every change is one transaction that is
//! conditional on the row `config/head`, whose version grows by one with each
//! change. Processes poll the table for changes and receive them from peers; a
//! [`ConfigState`] installs a version only if it is higher than its own, and the
//! rows of a single change only if it directly follows. A [`ConfigService`] makes
//! changes and keeps the state current.

pub mod change;
pub mod evacuation;
pub mod history;
pub mod propagation;
pub mod refresh;
mod response;
pub mod row;
pub mod service;
pub mod state;

pub use change::{ChangeDraft, ChangeId};
pub use propagation::ConfigPropagation;
pub use refresh::run;
pub use service::{ConfigService, ConfigSettings};
pub use state::{ConfigState, InstallOutcome};
