//! The `redwinglb` entry process.
//!
//! One thread holds all control state and makes every decision; others carry
//! traffic. The control thread publishes a [`NodeSnapshot`] that the traffic
//! threads read on each request, and answers their submissions.
//!
//! A request passes these modules in turn: [`ingress`] accepts it, [`gate`]
//! checks it, [`relay`] holds its body, [`control`] asks the scheduler,
//! [`dispatch`] makes an [`attempt`] as an [`exchange`] on a connection of
//! [`connect`], [`stream`] passes the answer on, and [`answer`] says what the process itself has to say.

#[macro_use]
pub mod event;

pub mod admin;
pub mod answer;
pub mod attempt;
pub mod audit;
pub mod claim;
pub mod cluster;
pub mod config;
pub mod connect;
pub mod control;
pub mod dispatch;
pub mod embedded;
pub mod error;
pub mod exchange;
mod flag;
pub mod fleet;
pub mod gate;
pub mod inbound;
pub mod ingress;
pub mod jobs;
pub mod link;
pub mod log;
pub mod maintenance;
pub mod membership;
pub mod metrics;
pub mod once;
pub mod output;
pub mod ownership;
pub mod peer;
pub mod plane;
pub mod propagation;
pub mod register;
pub mod relay;
pub mod sample;
pub mod serve;
pub mod settings;
pub mod snapshot;
pub mod standin;
pub mod stop;
pub mod stream;
pub mod table_cache;

pub use error::{Category, Error, Result};
pub use snapshot::{KeyGrant, NodeSnapshot};
