//! The platform's list of VMs and its control of them.

use redwing_model::vm;
use redwing_model::{NodeId, VmId};
use serde::{Deserialize, Serialize};

use crate::LocalFuture;
use crate::error::Result;

/// Role of a listed VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// The VM runs a backend server.
    BackendServer,
    /// The VM runs the entry process of this name.
    Entry(NodeId),
}

/// Status of a listed VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListedStatus {
    /// The platform considers the VM live.
    Live,
    /// The VM is live, and its backend server is slow for some time after its start.
    #[serde(rename_all = "kebab-case")]
    Cold {
        /// Time for which it remains slow, in milliseconds.
        left_millis: u64,
    },
    /// The platform is about to remove the VM.
    Leaving,
}

impl ListedStatus {
    /// Returns whether the platform considers the VM live.
    pub fn is_live(self) -> bool {
        self != Self::Leaving
    }
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedVm {
    /// Identity of the VM; the address of an entry VM is that of its peer listener.
    pub identity: vm::VmIdentity,
    /// Role of the VM.
    pub role: VmRole,
    /// Status of the VM.
    pub status: ListedStatus,
}

/// List of live and leaving VMs, which lags; a removed VM is not listed.
pub trait VmDirectory {
    /// Reads the list, which may be some seconds old.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond in time.
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedVm>>>;
}

/// Control of VMs and of the requests running on them.
pub trait VmControl {
    /// Starts a reboot; repeating it with the same `operation_id` has no effect.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the reboot may have been started.
    fn reboot<'a>(&'a self, vm: &'a VmId, operation_id: &'a str) -> LocalFuture<'a, Result<()>>;

    /// Checkpoints all requests running on the VM, to be resumed elsewhere.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the checkpoint may have been taken.
    fn checkpoint<'a>(&'a self, vm: &'a VmId, operation_id: &'a str)
    -> LocalFuture<'a, Result<()>>;
}
