//! Requests of callers: submits, reads and cancels jobs.

mod board;
pub mod body;
pub mod listener;
mod row_writer;
pub mod service;
pub mod withdrawal;

pub use body::BodySettings;
pub use service::{CallerService, CallerSettings};
