//! Configuration in force: declaration, keys and operators' tokens.
//!
//! The table alone decides. Every change is one transaction under a condition
//! on the row `config/head`, whose version grows by one with each change.
//! Processes read what changed from the table and hear of it from peers; a
//! [`ConfigState`] installs a version only if it is higher than its own and
//! follows on it. A [`ConfigDesk`] makes changes and keeps the state current.

pub mod change;
pub mod desk;
pub mod history;
pub mod refresh;
mod reply;
pub mod row;
pub mod spread;
pub mod state;

pub use change::{ChangeDraft, ChangeId};
pub use desk::{ConfigDesk, DeskSettings};
pub use refresh::run;
pub use spread::PeerSpread;
pub use state::{ConfigState, InstallOutcome};
