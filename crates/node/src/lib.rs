//! The `redwinglb` entry process.
//!
//! The control thread owns all control state and runs the scheduler; the
//! traffic threads serve requests. The control thread publishes a
//! [`NodeSnapshot`] that the traffic threads read on each request, and replies
//! to the requests that they submit.
//!
//! A request passes these modules in order: [`ingress`] accepts it,
//! [`admission`] validates it, [`request_body`] buffers its body, [`control`]
//! submits it to the scheduler, [`dispatch`] makes an [`attempt`] as an
//! [`exchange`] on a connection of [`connection`], and [`response_body`] streams
//! the response to the caller. [`response`] builds the responses that the
//! process generates itself.

#[macro_use]
pub mod event;

pub mod admin;
pub mod admission;
pub mod at_most_once;
pub mod attempt;
pub mod audit;
pub mod claim;
pub mod cluster;
pub mod config;
pub mod connection;
pub mod control;
pub mod dispatch;
pub mod embedded;
pub mod error;
pub mod evacuation;
pub mod exchange;
mod flag;
pub mod fleet;
pub mod inbound;
pub mod ingress;
pub mod jobs;
pub mod link;
pub mod log;
pub mod maintenance;
pub mod membership;
pub mod metrics;
pub mod output;
pub mod ownership;
pub mod peer;
pub mod plane;
pub mod propagation;
pub mod register;
pub mod request_body;
pub mod response;
pub mod response_body;
pub mod sample;
pub mod serve;
pub mod settings;
pub mod snapshot;
pub mod standin;
pub mod stop;
pub mod table_cache;

pub use error::{Category, Error, Result};
pub use snapshot::{KeyGrant, NodeSnapshot};
