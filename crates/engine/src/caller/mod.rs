//! Answers callers: accepts jobs, tells their state, cancels them.

pub mod answer;
pub mod listener;

pub use answer::{CallerDesk, CallerSettings};
