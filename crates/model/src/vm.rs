//! Identity, phase and table row of a VM that runs a backend server.

use std::net;

use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, PoolName, RackName, VmId};

/// Name, address and failure domains of a VM, which are fixed while the VM exists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Address of the backend server on it.
    pub address: net::SocketAddr,
    /// Rack that the VM is in.
    pub rack: RackName,
    /// Data centre that the VM is in.
    pub data_centre: DataCentre,
}

/// Phase of a VM's life cycle, as stored in the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhase {
    /// Accepts new requests.
    Serving,
    /// Accepts no new requests and finishes the running ones.
    Draining,
    /// Is being rebooted by the platform.
    Rebooting,
    /// Is up again and being checked before it serves.
    Returning,
    /// Is drained in order to change its pool.
    Moving,
    /// Did not return from a reboot, or stopped responding while it was checked.
    Failed,
    /// Has been absent from the platform's VM list for longer than the
    /// planner's limit.
    #[serde(rename = "silent")]
    Missing,
}

impl VmPhase {
    /// Returns whether the VM counts against its pool's availability budget.
    pub fn is_unavailable(self) -> bool {
        self != Self::Serving
    }
}

/// Row of a VM in the platform's table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VmRecord {
    /// Identity of the VM.
    pub identity: VmIdentity,
    /// The only pool that the VM belongs to.
    pub pool: PoolName,
    /// Phase of its life cycle.
    pub phase: VmPhase,
    /// Number of the latest phase change; each change adds one.
    pub revision: u64,
}
