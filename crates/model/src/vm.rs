//! VMs that run backend servers, as the platform and the table describe them.

use std::net;

use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, PoolName, RackName, VmId};

/// What a VM is and where it stands; it does not change during the VM's life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct VmIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Address of the backend server on it.
    pub address: net::SocketAddr,
    /// Rack that holds it.
    pub rack: RackName,
    /// Data centre that holds it.
    pub data_centre: DataCentre,
}

/// Where a VM stands in its life cycle, as stored in the table.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhase {
    /// Takes new requests.
    Serving,
    /// Takes no new requests and finishes what it runs.
    Draining,
    /// Is being rebooted by the platform.
    Rebooting,
    /// Is back and being checked before it serves.
    Returning,
    /// Is drained in order to change its pool.
    Moving,
    /// Was reported failed by the platform.
    Failed,
    /// Has not been seen for longer than the silence limit.
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
    /// What the VM is.
    pub identity: VmIdentity,
    /// The one pool that the VM belongs to.
    pub pool: PoolName,
    /// Where it stands in its life cycle.
    pub phase: VmPhase,
    /// Number of the phase change that led here; grows by one with each.
    pub revision: u64,
}
