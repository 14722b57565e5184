//! Requests of callers: submits, reads and cancels jobs.

mod fleet_capacity;
pub mod listener;
pub mod service;

pub use service::{CallerService, CallerSettings};
