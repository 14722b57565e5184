//! Steps of a plan: table transactions and calls to the platform.

use redwing_model::vm::VmRecord;
use redwing_model::{NodeId, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::record::{OutageCause, PoolRecord};
use crate::rollout::RolloutRecord;

/// Names one row of the table.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RowReference {
    /// Row of a VM.
    Vm(VmId),
    /// Row of a pool.
    Pool(PoolName),
    /// Row of the roll-out of a pool.
    Rollout(PoolName),
    /// Confirmation of an entry VM that it is done with a draining VM.
    DrainAck {
        /// The draining VM.
        vm: VmId,
        /// The entry VM.
        node: NodeId,
    },
}

impl RowReference {
    /// Returns the key of the row.
    pub fn key(&self) -> String {
        match self {
            Self::Vm(vm) => format!("vm/{vm}"),
            Self::Pool(pool) => format!("pool/{pool}"),
            Self::Rollout(pool) => format!("rollout/{pool}"),
            Self::DrainAck { vm, node } => format!("drain/{vm}/{node}"),
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowContent {
    /// Content of a VM's row.
    Vm(VmRecord),
    /// Content of a pool's row.
    Pool(PoolRecord),
    /// Content of a roll-out's row.
    Rollout(RolloutRecord),
}

/// What a transaction expects of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowExpectation {
    /// The row.
    pub row: RowReference,
    /// Version that it must have; `None` if it must not exist.
    pub version: Option<u64>,
}

/// What a transaction writes to one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowUpdate {
    /// The row.
    pub row: RowReference,
    /// New content; `None` deletes the row.
    pub content: Option<RowContent>,
}

/// Table transaction of a step; it takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepCommit {
    /// What it expects.
    pub expectations: Vec<RowExpectation>,
    /// What it writes.
    pub updates: Vec<RowUpdate>,
}

/// One change of one VM, pool or roll-out, as the audit trail names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum StepChange {
    /// A new VM was taken into the pool.
    Adopt {
        /// The VM.
        vm: VmId,
    },
    /// A VM takes no new requests.
    Drain {
        /// The VM.
        vm: VmId,
        /// Why.
        cause: OutageCause,
        /// Pool that it joins afterwards.
        move_to: Option<PoolName>,
    },
    /// A drain was called off and the VM serves again.
    CancelDrain {
        /// The VM.
        vm: VmId,
    },
    /// A drained VM is rebooted.
    Reboot {
        /// The VM.
        vm: VmId,
    },
    /// More is known of a running reboot.
    RebootProgress {
        /// The VM.
        vm: VmId,
    },
    /// A VM is back and being checked.
    Check {
        /// The VM.
        vm: VmId,
    },
    /// A VM serves again.
    Return {
        /// The VM.
        vm: VmId,
    },
    /// A VM serves in another pool.
    Move {
        /// The VM.
        vm: VmId,
        /// Its new pool.
        to: PoolName,
    },
    /// A VM did not come back.
    Fail {
        /// The VM.
        vm: VmId,
    },
    /// A VM is not seen any more.
    Silence {
        /// The VM.
        vm: VmId,
    },
    /// The row of a VM that is gone was deleted.
    Forget {
        /// The VM.
        vm: VmId,
    },
    /// The row of a pool was created or follows a new declared size.
    Resize {
        /// Number of VMs that the pool is to hold.
        assigned: u32,
    },
    /// A roll-out stopped itself because VMs did not come back.
    StopRollout,
    /// A roll-out is complete.
    FinishRollout,
}

impl StepChange {
    /// Returns the name of the change in the audit trail.
    pub fn action(&self) -> &'static str {
        match self {
            Self::Adopt { .. } => "adopt",
            Self::Drain { .. } => "drain",
            Self::CancelDrain { .. } => "cancel-drain",
            Self::Reboot { .. } => "reboot",
            Self::RebootProgress { .. } => "reboot-progress",
            Self::Check { .. } => "check",
            Self::Return { .. } => "return",
            Self::Move { .. } => "move",
            Self::Fail { .. } => "fail",
            Self::Silence { .. } => "silence",
            Self::Forget { .. } => "forget",
            Self::Resize { .. } => "resize",
            Self::StopRollout => "stop-roll-out",
            Self::FinishRollout => "finish-roll-out",
        }
    }

    /// Returns the VM that is changed, if it is one.
    pub fn vm(&self) -> Option<&VmId> {
        match self {
            Self::Adopt { vm }
            | Self::Drain { vm, .. }
            | Self::CancelDrain { vm }
            | Self::Reboot { vm }
            | Self::RebootProgress { vm }
            | Self::Check { vm }
            | Self::Return { vm }
            | Self::Move { vm, .. }
            | Self::Fail { vm }
            | Self::Silence { vm }
            | Self::Forget { vm } => Some(vm),
            Self::Resize { .. } | Self::StopRollout | Self::FinishRollout => None,
        }
    }
}

/// One transaction of a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanStep {
    /// Pool whose budget it touches.
    pub pool: PoolName,
    /// What it changes.
    pub changes: Vec<StepChange>,
    /// The transaction.
    pub commit: StepCommit,
}

/// Call to the platform that any planner may repeat.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlatformCall {
    /// Reboot a drained VM.
    Reboot {
        /// The VM.
        vm: VmId,
        /// Idempotency key.
        operation: String,
    },
    /// Checkpoint what runs on a VM beyond its drain time.
    Checkpoint {
        /// The VM.
        vm: VmId,
        /// Idempotency key.
        operation: String,
    },
}
