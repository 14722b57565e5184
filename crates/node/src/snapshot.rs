//! What the control thread publishes to the traffic threads.

use std::collections::HashMap;
use std::sync;

use redwing_model::{FleetDeclaration, KeyHash, QueueName, TeamName};
use tokio::sync::watch;

/// What one access key gives a right to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyGrant {
    /// Team that the key belongs to.
    pub team: TeamName,
    /// Queue that it is good for; `None` for every queue.
    pub queue: Option<QueueName>,
}

/// State that traffic threads read on each request, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct NodeSnapshot {
    /// Version of the configuration in force; 0 before the first was read.
    pub version: u64,
    /// Declaration in force.
    pub declaration: sync::Arc<FleetDeclaration>,
    /// Keys in force, by digest.
    pub keys: sync::Arc<HashMap<KeyHash, KeyGrant>>,
    /// Whether keyed requests may be accepted; false once the process can no
    /// longer tell whether a key was withdrawn.
    pub accepts_keyed: bool,
    /// Whether the process is ready for the balancer.
    pub ready: bool,
}

/// Receiving end of the published state.
pub type SnapshotReceiver = watch::Receiver<sync::Arc<NodeSnapshot>>;

/// Publishing end of the published state.
pub type SnapshotSender = watch::Sender<sync::Arc<NodeSnapshot>>;
