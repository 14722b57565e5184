//! Numbered tokens that bound what may run concurrently.
//!
//! Each token is usable by at most one process at any time. Its owner is
//! recorded in the platform's table. Processes transfer tokens among
//! themselves; the sender stops using a token before the receiver can get it.

use std::fmt;

use redwing_model::{CustomerName, VmId};
use serde::{Deserialize, Serialize};

/// Pool of tokens that grant the same right.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenPool {
    /// One unit of a customer's limit.
    Permit(CustomerName),
    /// One slot of the backend server on a VM.
    Slot(VmId),
}

/// One token; numbers count from 0 within a pool.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TokenId {
    /// Pool that the token belongs to.
    pub pool: TokenPool,
    /// Number of the token within its pool.
    pub number: u32,
}

impl fmt::Display for TokenId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.pool {
            TokenPool::Permit(customer) => write!(formatter, "permit {customer}/{}", self.number),
            TokenPool::Slot(vm) => write!(formatter, "slot {vm}/{}", self.number),
        }
    }
}
