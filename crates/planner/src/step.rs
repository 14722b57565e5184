//! Steps of a plan: table transactions and calls to the platform.

use redwing_model::vm::VmRecord;
use redwing_model::{NodeId, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::record::{OutageCause, PoolRecord};
use crate::rollout::RolloutRecord;

/// Reference to one row of the table.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RowReference {
    /// Row of a VM.
    Vm(VmId),
    /// Row of a pool.
    Pool(PoolName),
    /// Row of the roll-out of a pool.
    Rollout(PoolName),
    /// Confirmation of an entry VM that it has no requests on a draining VM and
    /// sends it no more.
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

/// Row version that a transaction requires.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowExpectation {
    /// The row.
    pub row: RowReference,
    /// Required version; `None` if the row must not exist.
    pub version: Option<u64>,
}

/// Write of one row in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowUpdate {
    /// The row.
    pub row: RowReference,
    /// New content; `None` deletes the row.
    pub content: Option<RowContent>,
}

/// Table transaction of a step; it is applied atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StepCommit {
    /// Required row versions.
    pub expectations: Vec<RowExpectation>,
    /// Rows to write.
    pub updates: Vec<RowUpdate>,
}

/// Change of one VM, pool or roll-out.
///
/// The audit trail stores the `Debug` text of this type: the names of the
/// variants, their fields and the types inside must not change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum StepChange {
    /// A new VM was added to the pool.
    Adopt {
        /// The VM.
        vm: VmId,
    },
    /// A VM accepts no new requests.
    Drain {
        /// The VM.
        vm: VmId,
        /// Cause of the outage.
        cause: OutageCause,
        /// Pool that the VM joins afterwards.
        move_to: Option<PoolName>,
    },
    /// A drain was cancelled and the VM serves again.
    CancelDrain {
        /// The VM.
        vm: VmId,
    },
    /// A drained VM is rebooted.
    Reboot {
        /// The VM.
        vm: VmId,
    },
    /// A running reboot has made progress.
    RebootProgress {
        /// The VM.
        vm: VmId,
    },
    /// A VM has returned and is being checked.
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
        /// New pool of the VM.
        to: PoolName,
    },
    /// A VM did not return from its reboot or failed its check.
    Fail {
        /// The VM.
        vm: VmId,
    },
    /// A VM is missing from the VM list.
    Silence {
        /// The VM.
        vm: VmId,
    },
    /// The row of a VM that no longer exists was deleted.
    Forget {
        /// The VM.
        vm: VmId,
    },
    /// The row of a pool was created, or updated to a new declared size or budget.
    Resize {
        /// Target number of VMs of the pool.
        assigned: u32,
    },
    /// A roll-out was stopped because too many VMs failed to return.
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

    /// Returns the changed VM, or `None` if a pool or roll-out is changed.
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
    /// Pool whose budget the step uses.
    pub pool: PoolName,
    /// Changes that the transaction makes.
    pub changes: Vec<StepChange>,
    /// The transaction.
    pub commit: StepCommit,
}

/// Idempotent call to the platform; any planner may repeat it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlatformCall {
    /// Reboot a drained VM.
    Reboot {
        /// The VM.
        vm: VmId,
        /// Idempotency key.
        operation: String,
    },
    /// Checkpoint the requests that run on a VM beyond its drain time.
    Checkpoint {
        /// The VM.
        vm: VmId,
        /// Idempotency key.
        operation: String,
    },
}
