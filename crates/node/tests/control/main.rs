//! Tests of the configuration, the operator API, the audit trail and claims.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

mod admin;
mod audit;
mod claim;
mod config;
mod evacuation;
mod fleet;
mod property;
