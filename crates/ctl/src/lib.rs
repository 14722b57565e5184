//! The `redwingctl` command line.
//!
//! Every subcommand is a [`CommandEntry`]: its name, its flags, and the
//! function that runs it. [`command::COMMANDS`] lists them all; a new
//! subcommand is one module and one line there.
//!
//! # Examples
//!
//! ```
//! let status = redwing_ctl::run(["redwingctl", "load", "--seconds", "0"]);
//! assert_eq!(status, redwing_ctl::ExitStatus::Usage);
//! ```

mod apply;
mod audit;
mod client;
pub mod command;
pub mod error;
mod evacuate;
mod experiment;
pub mod explain;
mod grant;
mod inspect;
mod job;
pub mod load;
pub mod option;
pub mod output;
mod platform;
pub mod report;
pub mod rollout;
mod transport;
mod value;

pub use command::{CommandEntry, ExitStatus, run};
pub use error::{Category, Error, Result};
