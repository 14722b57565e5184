//! What moves of machines wait for, as stored for the next owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::{MachineName, PoolName, WorkerId};
use crate::wait::ElapsedWait;

/// Machine that is being emptied for a move.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EmptyingMachine {
    /// Worker on it, which gets no new tasks.
    pub worker: WorkerId,
    /// Pool that it moves to.
    pub pool: PoolName,
}

/// What moves wait for, as stored for the next owner.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct MoveWaits {
    /// For how long machines have been surplus in their pool.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub surplus: BTreeMap<MachineName, ElapsedWait>,
    /// Machines that are being emptied.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub emptying: BTreeMap<MachineName, EmptyingMachine>,
    /// Highest demand for which each pool keeps its capacity, in thousandths of a core.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub required: BTreeMap<PoolName, u64>,
}

impl MoveWaits {
    /// Returns whether no move waits.
    pub fn is_empty(&self) -> bool {
        self.surplus.is_empty() && self.emptying.is_empty()
    }
}
