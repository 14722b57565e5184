//! Rows of pools in the platform's table.

use std::collections::BTreeMap;

use redwing_model::{PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::time::PlanTime;

/// Row of a pool; every change of a member's phase or pool writes it.
///
/// Because each transaction requires the version of this row that it was
/// computed from, no two changes can spend the same headroom.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolRecord {
    /// Number of the change that led here; grows by one with each.
    pub revision: u64,
    /// Number of VMs that the pool is to hold, lent and borrowed ones included.
    pub assigned: u32,
    /// Declared size that `assigned` was computed from.
    pub declared: u32,
    /// Declared budget that changes of the row were last checked against.
    pub max_unavailable: u32,
    /// Version of the configuration that declared size and budget come from;
    /// a planner that knows only an older one leaves the pool alone.
    pub config_version: u64,
    /// Number of VMs that belong to the pool.
    pub members: u32,
    /// Members that are out of service, and why.
    pub out: BTreeMap<VmId, VmOutage>,
}

/// Why and since when a VM is out of service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VmOutage {
    /// Why it was taken, or went, out of service.
    pub cause: OutageCause,
    /// When it went out of service.
    pub started: PlanTime,
    /// When its present phase began.
    pub since: PlanTime,
    /// Pool that it joins when it comes back, if it changes pool.
    pub move_to: Option<PoolName>,
    /// Reboot that the outage includes, once it was decided.
    pub reboot: Option<RebootOperation>,
}

/// Why a VM is out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageCause {
    /// Taken out by the roll-out of this number.
    Rollout(u64),
    /// Taken out to change its pool.
    Move,
    /// The platform takes it away.
    Leaving,
    /// It failed or is not seen any more.
    Failure,
}

impl OutageCause {
    /// Returns whether the planner itself decided the outage.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Rollout(_) | Self::Move)
    }
}

/// A reboot and how far it is known to have come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RebootOperation {
    /// Idempotency key of the reboot at the platform.
    pub id: String,
    /// How far it has come.
    pub progress: RebootProgress,
}

/// How far a reboot is known to have come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RebootProgress {
    /// Decided; the platform has not confirmed it.
    Requested,
    /// Confirmed by the platform; repeating the call has no effect.
    Accepted,
    /// The VM was seen not answering after the confirmation.
    Down,
}

impl PoolRecord {
    /// Creates the row of a pool of `declared` VMs that has no members yet.
    pub fn new(declared: u32) -> Self {
        Self {
            assigned: declared,
            declared,
            ..Self::default()
        }
    }

    /// Returns how many members take new requests.
    pub fn serving(&self) -> u32 {
        self.members.saturating_sub(self.unavailable())
    }

    /// Returns how many members are out of service for any cause.
    pub fn unavailable(&self) -> u32 {
        self.out.len() as u32
    }

    /// Returns how many members leave for another pool when they come back.
    pub fn departing(&self) -> u32 {
        let moving = |outage: &&VmOutage| outage.move_to.is_some();
        self.out.values().filter(moving).count() as u32
    }

    /// Returns how many members are out of service by the planner's decision.
    pub fn planned(&self) -> u32 {
        let planned = |outage: &&VmOutage| outage.cause.is_planned();
        self.out.values().filter(planned).count() as u32
    }
}
