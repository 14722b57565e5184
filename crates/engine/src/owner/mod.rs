//! Ownership of the scheduling: one process at a time schedules jobs.
//!
//! One row of the table names the owner. Each change of the owner commits only
//! if that row still has the version that the owner last wrote, so no other
//! process can have become owner in between. Other processes poll the row;
//! when it does not change for longer than the owner's lease, one of them
//! claims it with a higher fencing token. Workers reject orders with a lower
//! fencing token.

mod advice;
mod change;
mod cleanup;
mod election;
mod evacuation_board;
mod inherited;
mod late_leases;
mod machine_order;
mod machine_view;
mod machines;
mod order_queues;
mod record;
mod scheduler_event;
mod session;
mod wave_rows;

use std::rc;
use std::sync;
use std::time;

use redwing_provider::TableClient;
use tokio::sync::watch;

use crate::codec::DeploymentCodec;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::services::DeploymentServices;
use crate::stop::StopPhase;

pub use election::OwnerLease;

/// Settings of the ownership.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// Time without a change of the owner row after which another process may
    /// claim it.
    pub lease: time::Duration,
    /// Maximum time between two changes of the owner row.
    pub renewal_interval: time::Duration,
    /// Whether the VM is small: it claims the ownership only if no larger VM
    /// does.
    pub is_small: bool,
    /// Time for which a small VM delays its claim in favour of larger VMs.
    pub small_delay: time::Duration,
    /// Mean time between two reads of the owner row while another process is
    /// owner.
    pub poll_interval: time::Duration,
    /// Time after which a write without a response is sent again.
    pub attempt_timeout: time::Duration,
    /// Time without a successful change after which the owner sends no more
    /// orders and lease renewals until a change succeeds.
    pub unconfirmed_limit: time::Duration,
    /// Time without a successful change after which the owner gives the
    /// ownership up.
    pub give_up_after: time::Duration,
    /// Pause of the process after which a change must succeed before it sends
    /// more orders.
    pub pause_limit: time::Duration,
    /// Time between two checks for expired leases and timeouts.
    pub tick_interval: time::Duration,
    /// Minimum time between two writes of the pending counts.
    pub pending_interval: time::Duration,
    /// Whether the backlogs of pools are published.
    pub publishes_backlogs: bool,
    /// Minimum time between two writes of the backlogs of pools.
    pub backlog_interval: time::Duration,
    /// Time between two rounds of cleanup, which deletes the rows of finished
    /// jobs.
    pub cleanup_interval: time::Duration,
    /// Time between two requests for the list of machines.
    pub machine_interval: time::Duration,
    /// Time between two runs of the capacity planner.
    pub capacity_interval: time::Duration,
    /// Settings of the scheduler.
    pub scheduler: redwing_jobs::SchedulerSettings,
    /// Settings of the capacity planner.
    pub capacity: redwing_jobs::capacity::CapacitySettings,
    /// Settings of maintenance.
    pub maintenance: redwing_jobs::maintenance::MaintenanceSettings,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease: time::Duration::from_millis(1_200),
            renewal_interval: time::Duration::from_millis(350),
            is_small: false,
            small_delay: time::Duration::from_millis(2_000),
            poll_interval: time::Duration::from_millis(350),
            attempt_timeout: time::Duration::from_millis(700),
            unconfirmed_limit: time::Duration::from_millis(2_500),
            give_up_after: time::Duration::from_secs(20),
            pause_limit: time::Duration::from_millis(1_000),
            tick_interval: time::Duration::from_millis(50),
            pending_interval: time::Duration::from_millis(700),
            publishes_backlogs: false,
            backlog_interval: time::Duration::from_millis(500),
            cleanup_interval: time::Duration::from_secs(1),
            machine_interval: time::Duration::from_millis(600),
            capacity_interval: time::Duration::from_millis(200),
            scheduler: redwing_jobs::SchedulerSettings::default(),
            capacity: redwing_jobs::capacity::CapacitySettings::default(),
            maintenance: redwing_jobs::maintenance::MaintenanceSettings::default(),
        }
    }
}

/// Dependencies of the owner task.
#[derive(Clone)]
pub struct OwnerDependencies {
    /// Name of this VM.
    pub node: String,
    /// Incarnation of this process, a random number.
    pub incarnation: u64,
    /// Settings of the ownership.
    pub settings: rc::Rc<OwnerSettings>,
    /// Client of the table.
    pub client: TableClient,
    /// Clients of workers, machines and the advisor.
    pub services: DeploymentServices,
    /// Formats of the deployment.
    pub codec: sync::Arc<dyn DeploymentCodec>,
    /// Manifest and waves of the operators.
    pub operators: watch::Receiver<OperatorView>,
    /// Metrics of the process.
    pub metrics: JobMetrics,
    /// Whether the process is stopping.
    pub stop_phase: watch::Receiver<StopPhase>,
}

/// Acquires the ownership and runs a session, repeatedly, until the process
/// stops.
pub async fn run(dependencies: OwnerDependencies) {
    let mut stop_phase = dependencies.stop_phase.clone();
    loop {
        let acquired = tokio::select! {
            acquired = election::acquire(&dependencies) => acquired,
            _ = stop_phase.wait_for(StopPhase::is_stopping) => return,
        };
        session::run(&dependencies, acquired).await;
        if dependencies.stop_phase.borrow().is_stopping() {
            return;
        }
    }
}
