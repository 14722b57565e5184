//! Control plane of one process: everything that runs on its control thread.

use std::net;
use std::rc;
use std::sync;

use redwing_model::{KeyHash, NodeIncarnation};
use redwing_policy::SchedulerSettings;
use redwing_provider::client::ClientSettings;
use redwing_provider::{CallCause, PlatformServices, TableClient};
use tokio::sync::mpsc;
use tokio::task;

use crate::admin::{self, AdminRouter};
use crate::audit::{self, AuditLog, AuditSettings};
use crate::claim::{self, ClaimHandle, ClaimSettings};
use crate::cluster::{self, ClusterNode};
use crate::config::{self, ConfigService, ConfigSettings};
use crate::control::{ControlChannel, NodeServices};
use crate::error::{Error, Result};
use crate::event;
use crate::link::PeerLinks;
use crate::maintenance::{
    MaintenanceDesk, MaintenanceRoutes, MaintenanceRunner, MaintenanceSettings,
};
use crate::propagation::LinkPropagation;
use crate::sample::{self, ClusterMetrics, SampleSources};
use crate::stop::StopReceiver;

/// Claims, set once the process has registered.
pub type ClaimSlot = sync::Arc<sync::OnceLock<ClaimHandle>>;

/// What the control plane is started with.
pub struct PlaneParts {
    /// Services of the process.
    pub services: NodeServices,
    /// Channel of the scheduler, not yet started.
    pub channel: ControlChannel,
    /// Listener for other entry processes.
    pub peer_listener: net::TcpListener,
    /// Listener for operators.
    pub admin_listener: net::TcpListener,
    /// Where the claims are put for the traffic threads.
    pub claims: ClaimSlot,
    /// Metrics of what surrounds the control thread.
    pub metrics: ClusterMetrics,
    /// Digest of the operator's token from the settings, if any.
    pub bootstrap: Option<KeyHash>,
}

/// Control plane of a registered process.
pub struct ControlPlane {
    /// Configuration in force.
    pub desk: rc::Rc<ConfigService>,
    /// Audit trail.
    pub audit: AuditLog,
    /// Membership rounds; ends when the process has left or was replaced.
    pub cluster: task::JoinHandle<Result<()>>,
    audit_task: task::JoinHandle<()>,
}

impl ControlPlane {
    /// Registers the process and starts the control plane.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be used, or if the process is told to stop
    /// before the table has answered.
    pub async fn start(parts: PlaneParts) -> Result<Self> {
        let listener = async_listener(parts.peer_listener)?;
        let address = peer_address(&parts.services, &listener)?;
        let client = TableClient::new(
            rc::Rc::clone(&parts.services.platform.table),
            ClientSettings::default(),
        );
        let services = with_cause(&parts.services, &client, CallCause::Membership);
        let own = cluster::join(&services, address).await?;
        let (outbox_sender, outbox) = mpsc::unbounded_channel();
        let scheduler = SchedulerSettings {
            task_lease: services.settings.limits.task_lease,
            ..SchedulerSettings::default()
        };
        parts.channel.start(own.clone(), scheduler, outbox_sender);
        let maintained = with_cause(&services, &client, CallCause::Maintenance);
        let mesh = rc::Rc::new(PeerLinks::new(own.clone()));
        let objects = rc::Rc::clone(&services.platform.objects);
        let audit = AuditLog::new(own.clone(), objects, AuditSettings::default());
        let spread = LinkPropagation::new(rc::Rc::clone(&mesh), rc::Rc::clone(&services.snapshots));
        let desk = rc::Rc::new(ConfigService::new(
            client.clone(),
            rc::Rc::new(spread),
            rc::Rc::clone(&services.snapshots),
            audit.clone(),
            ConfigSettings {
                bootstrap: parts.bootstrap,
                ..ConfigSettings::default()
            },
        ));
        let maintenance = start_maintenance(&maintained, own.clone(), &audit);
        let stop = services.stop.clone();
        let sources = SampleSources {
            client: client.clone(),
            mesh: rc::Rc::clone(&mesh),
        };
        task::spawn_local(sample::run(parts.metrics, sources, stop.clone()));
        let port = rc::Rc::clone(&desk) as _;
        let cluster = ClusterNode::start(services, own.clone(), listener, outbox, mesh, port);
        let view = cluster.view();
        let is_ended = rc::Rc::new(move |node: &_| view.borrow().ended.contains(node));
        let claims = claim::start(
            client,
            own,
            is_ended,
            ClaimSettings::default(),
            stop.clone(),
        );
        // The slot is empty: a process registers once.
        let _ = parts.claims.set(claims);
        task::spawn_local(config::run(rc::Rc::clone(&desk), stop.clone()));
        let router = AdminRouter::new(rc::Rc::clone(&desk)).with(maintenance);
        task::spawn_local(serve_operators(parts.admin_listener, router, stop.clone()));
        Ok(Self {
            desk,
            audit_task: task::spawn_local(audit::run(audit.clone(), stop)),
            audit,
            cluster: task::spawn_local(cluster.run()),
        })
    }

    /// Waits until the process has left and the audit trail is written.
    ///
    /// # Errors
    ///
    /// Fails if the process was replaced meanwhile.
    pub async fn finish(self) -> Result<()> {
        let left = self.cluster.await;
        // The task of the audit trail has nothing more to report.
        let _ = self.audit_task.await;
        left.unwrap_or_else(|error| Err(Error::stop("leave the members", error)))
    }
}

/// Returns the services with calls of the table counted under `cause`.
pub fn with_cause(services: &NodeServices, client: &TableClient, cause: CallCause) -> NodeServices {
    NodeServices {
        platform: PlatformServices {
            table: client.store(cause),
            ..services.platform.clone()
        },
        ..services.clone()
    }
}

/// Starts the rounds of maintenance and returns their routes for operators.
fn start_maintenance(
    services: &NodeServices,
    own: NodeIncarnation,
    audit: &AuditLog,
) -> rc::Rc<MaintenanceRoutes> {
    let runner = MaintenanceRunner::new(
        MaintenanceSettings::default(),
        services.platform.clone(),
        rc::Rc::new(services.control.clone()),
        own,
    );
    let runner = runner.with_audit(audit.clone());
    let table = rc::Rc::clone(&services.platform.table);
    let desk = MaintenanceDesk::new(runner.state(), table);
    let snapshots = services.snapshots.subscribe();
    task::spawn_local(runner.run(snapshots, services.stop.clone()));
    rc::Rc::new(MaintenanceRoutes::new(desk, audit.clone()))
}

/// Serves operators; callers are served on even if that fails.
async fn serve_operators(listener: net::TcpListener, router: AdminRouter, stop: StopReceiver) {
    if let Err(error) = admin::serve(listener, router, stop).await {
        log_event!(error, event::ADMIN_FAILED, "{error}");
    }
}

fn async_listener(listener: net::TcpListener) -> Result<tokio::net::TcpListener> {
    const STEP: &str = "listen for peers";
    listener
        .set_nonblocking(true)
        .map_err(|error| Error::start(STEP, error))?;
    tokio::net::TcpListener::from_std(listener).map_err(|error| Error::start(STEP, error))
}

fn peer_address(
    services: &NodeServices,
    listener: &tokio::net::TcpListener,
) -> Result<net::SocketAddr> {
    if let Some(address) = services.settings.peer_advertise {
        return Ok(address);
    }
    listener
        .local_addr()
        .map_err(|error| Error::start("read the peer listener's address", error))
}
