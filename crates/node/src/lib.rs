//! The `redwinglb` entry process.
//!
//! One thread holds all control state and makes every decision; others carry
//! traffic. The control thread publishes a [`NodeSnapshot`] that the traffic
//! threads read on each request, and answers their submissions.

pub mod event;
pub mod fleet;
pub mod homes;
pub mod link;
pub mod membership;
pub mod mirror;
pub mod peer;
pub mod register;
pub mod snapshot;

pub use snapshot::{KeyGrant, NodeSnapshot};
