//! Numbered tokens that stand for what may run at once.
//!
//! Each token is used by at most one process at any moment. Its home is
//! recorded in the platform's table; processes pass it on among themselves,
//! the giver letting go of it before the receiver can have it.

use std::fmt;

use redwing_model::{CustomerName, VmId};
use serde::{Deserialize, Serialize};

/// What a token gives a right to.
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
    /// What the token gives a right to.
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
