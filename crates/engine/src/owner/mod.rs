//! Ownership of the scheduling: one process at a time decides.
//!
//! The owner is named by one row of the table. Each of its changes is
//! committed under the condition that the row is as it left it, so nobody
//! else can have become owner in between. Others watch the row; when it does
//! not change for longer than the owner's lease, one of them takes it over
//! with a higher fencing token. Workers refuse orders with a lower one.

mod advice;
mod campaign;
mod change;
mod cleanup;
mod lanes;
mod machines;
mod note;
mod record;
mod session;

use std::rc;
use std::sync;
use std::time;

use redwing_provider::TableClient;
use tokio::sync::watch;

use crate::codec::DeploymentCodec;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::services::DeploymentServices;

pub use campaign::OwnerLease;

/// Bounds of ownership.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Time without a change of the owner's row after which another process
    /// may take it over.
    pub lease: time::Duration,
    /// Longest time between two changes of the owner's row.
    pub renewal: time::Duration,
    /// Whether the VM is small: it takes over only if no larger one does.
    pub is_small: bool,
    /// Time for which a small VM leaves a free row to larger ones.
    pub small_delay: time::Duration,
    /// Time between two looks at the row of another owner.
    pub poll: time::Duration,
    /// Time after which a write that was not answered is sent again.
    pub attempt_limit: time::Duration,
    /// Time without a successful change after which the owner gives no more
    /// orders and leases until a change succeeds.
    pub order_limit: time::Duration,
    /// Time without a successful change after which the owner gives up.
    pub give_up: time::Duration,
    /// Pause after which the process looks at its row before it goes on.
    pub pause_limit: time::Duration,
    /// Time between two looks at what has expired.
    pub tick: time::Duration,
    /// Least time between two changes of the row of counts.
    pub board_interval: time::Duration,
    /// Time between two rounds of deleting the rows of finished jobs.
    pub cleanup_interval: time::Duration,
    /// Time between two lists of machines.
    pub machine_interval: time::Duration,
    /// Time between two looks at the sizes of pools.
    pub capacity_interval: time::Duration,
    /// Bounds of the scheduler.
    pub scheduler: redwing_jobs::SchedulerSettings,
    /// Bounds of the sizes of pools.
    pub capacity: redwing_jobs::capacity::CapacitySettings,
    /// Bounds of upkeep.
    pub upkeep: redwing_jobs::maintenance::MaintenanceSettings,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_millis(1_200),
            renewal: time::Duration::from_millis(350),
            is_small: false,
            small_delay: time::Duration::from_millis(2_000),
            poll: time::Duration::from_millis(350),
            attempt_limit: time::Duration::from_millis(700),
            order_limit: time::Duration::from_millis(2_500),
            give_up: time::Duration::from_secs(20),
            pause_limit: time::Duration::from_millis(1_000),
            tick: time::Duration::from_millis(50),
            board_interval: time::Duration::from_millis(700),
            cleanup_interval: time::Duration::from_secs(1),
            machine_interval: time::Duration::from_millis(600),
            capacity_interval: time::Duration::from_millis(200),
            scheduler: redwing_jobs::SchedulerSettings::default(),
            capacity: redwing_jobs::capacity::CapacitySettings::default(),
            upkeep: redwing_jobs::maintenance::MaintenanceSettings::default(),
        }
    }
}

/// What an owner needs.
#[derive(Clone)]
pub struct OwnerParts {
    /// Name of this VM.
    pub node: String,
    /// Life of this process, a random number.
    pub life: u64,
    /// Bounds.
    pub settings: rc::Rc<OwnerSettings>,
    /// The table.
    pub client: TableClient,
    /// Workers and machines.
    pub services: DeploymentServices,
    /// Formats of the deployment.
    pub codec: sync::Arc<dyn DeploymentCodec>,
    /// What operators declared.
    pub operators: watch::Receiver<OperatorView>,
    /// Metrics of the process.
    pub metrics: JobMetrics,
    /// Becomes true once the process is to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Campaigns for the ownership and exercises it, until the process stops.
pub async fn run(parts: OwnerParts) {
    let mut stopping = parts.stopping.clone();
    loop {
        let lease = tokio::select! {
            lease = campaign::win(&parts) => lease,
            _ = stopping.wait_for(|is_stopping| *is_stopping) => return,
        };
        session::exercise(&parts, lease).await;
        if *parts.stopping.borrow() {
            return;
        }
    }
}
