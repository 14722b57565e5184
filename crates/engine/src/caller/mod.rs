//! Requests of callers: submits, reads and cancels jobs.

mod board;
pub mod listener;
pub mod service;

pub use service::{CallerService, CallerSettings};
