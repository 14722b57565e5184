//! Runs jobs on a fleet of workers.
//!
//! Every entry process runs [`run::serve`]. It accepts jobs of callers and
//! stores them in the table ([`caller`]); one process at a time owns the
//! scheduling ([`owner`]) and sends orders to the workers. The traits of
//! [`services`] abstract external services, and [`codec::DeploymentCodec`]
//! abstracts the formats of a deployment.

pub mod caller;
pub mod clock;
pub mod codec;
pub mod error;
pub mod event;
pub mod follow;
pub mod manifest;
pub mod metrics;
pub mod owner;
pub mod product;
pub mod row;
pub mod run;
pub mod services;
pub mod stop;

pub use codec::DeploymentCodec;
pub use error::{Error, Result};
pub use run::EngineSettings;
pub use services::{DeploymentServices, ServicesFactory};
