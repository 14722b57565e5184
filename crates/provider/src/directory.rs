//! The platform's list of VMs and its control of them.

use redwing_model::vm;
use redwing_model::{NodeId, VmId};
use serde::{Deserialize, Serialize};

use crate::LocalFuture;
use crate::error::Result;

/// What a listed VM is for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Runs a backend server.
    BackendServer,
    /// Runs an entry process of this name.
    Entry(NodeId),
}

/// Whether a listed VM is to stay.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedStatus {
    /// Live, as far as the platform knows.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedVm {
    /// What the VM is; for an entry VM the address is that of its peer listener.
    pub identity: vm::VmIdentity,
    /// What the VM is for.
    pub role: VmRole,
    /// Whether it is to stay.
    pub status: ListedStatus,
}

/// Lagging list of live and leaving VMs; a VM that is gone is not listed.
pub trait VmDirectory {
    /// Reads the list as it was some seconds ago.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer in time.
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedVm>>>;
}

/// What the platform does to VMs and to the requests running on them.
pub trait VmControl {
    /// Starts a reboot; repeating it with the same `operation` has no effect.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the reboot may have been started.
    fn reboot<'a>(&'a self, vm: &'a VmId, operation: &'a str) -> LocalFuture<'a, Result<()>>;

    /// Checkpoints all requests running on the VM, to be resumed elsewhere.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the checkpoint may have been taken.
    fn checkpoint<'a>(&'a self, vm: &'a VmId, operation: &'a str) -> LocalFuture<'a, Result<()>>;
}
