//! Rows of pools in the platform's table.

use std::collections::BTreeMap;

use redwing_model::{PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::time::PlanTime;

/// Row of a pool; every change of a member's phase or pool writes this row.
///
/// Each transaction requires the version of this row that it was computed
/// from, so no two transactions can use the same headroom.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolRecord {
    /// Revision of the row; each change increments it by one.
    pub revision: u64,
    /// Target number of VMs: the declared size less lent VMs plus borrowed ones.
    pub assigned: u32,
    /// Declared size that `assigned` was computed from.
    pub declared: u32,
    /// Declared availability budget that changes are checked against.
    pub max_unavailable: u32,
    /// Version of the configuration with the declared size and budget. A planner
    /// with an older configuration does not change the pool.
    pub config_version: u64,
    /// Number of VMs whose rows name the pool.
    pub members: u32,
    /// Outages of members that are out of service.
    #[serde(rename = "out")]
    pub outages: BTreeMap<VmId, VmOutage>,
}

/// Outage of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VmOutage {
    /// Cause of the outage.
    pub cause: OutageCause,
    /// Time at which the VM went out of service.
    pub started: PlanTime,
    /// Time at which the current phase of the VM started.
    #[serde(rename = "since")]
    pub phase_started: PlanTime,
    /// Pool that the VM joins at the end of the outage, if it moves.
    pub move_to: Option<PoolName>,
    /// Reboot that is part of the outage, once requested.
    pub reboot: Option<RebootOperation>,
}

/// Cause of an outage.
///
/// The audit trail stores the `Debug` text of this type: the names of the type
/// and its variants must not change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageCause {
    /// Planned, by the roll-out of this number.
    Rollout(u64),
    /// Planned, to move the VM to another pool.
    Move,
    /// The platform removes the VM.
    Leaving,
    /// The VM failed or is missing from the VM list.
    Failure,
}

impl OutageCause {
    /// Returns whether the planner started the outage.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Rollout(_) | Self::Move)
    }
}

/// Reboot of a VM by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RebootOperation {
    /// Idempotency key of the reboot at the platform.
    pub id: String,
    /// Observed progress.
    pub progress: RebootProgress,
}

/// Observed progress of a reboot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RebootProgress {
    /// Requested; the platform has not confirmed it.
    Requested,
    /// Confirmed by the platform; repeating the call has no effect.
    Accepted,
    /// The VM was observed not responding after the confirmation.
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

    /// Returns the number of members that accept new requests.
    pub fn serving(&self) -> u32 {
        self.members.saturating_sub(self.unavailable())
    }

    /// Returns the number of members that are out of service for any cause.
    pub fn unavailable(&self) -> u32 {
        self.outages.len() as u32
    }

    /// Returns the number of members that move to another pool at the end of
    /// their outage.
    pub fn departing(&self) -> u32 {
        let moving = |outage: &&VmOutage| outage.move_to.is_some();
        self.outages.values().filter(moving).count() as u32
    }

    /// Returns the number of members in a planned outage.
    pub fn planned_outages(&self) -> u32 {
        let planned = |outage: &&VmOutage| outage.cause.is_planned();
        self.outages.values().filter(planned).count() as u32
    }
}
