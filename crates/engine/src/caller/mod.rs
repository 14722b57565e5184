//! Answers callers: accepts jobs, tells their state, cancels them.

pub mod answer;
pub mod listener;
mod offer;

pub use answer::{CallerDesk, CallerSettings};
