//! Start and stop of the control plane: the tasks on the control thread.

use std::net;
use std::rc;
use std::sync;

use redwing_model::{KeyHash, NodeIncarnation};
use redwing_policy::SchedulerSettings;
use redwing_provider::client::ClientSettings;
use redwing_provider::{CallCause, PlatformServices, TableClient};
use tokio::sync::mpsc;
use tokio::task;

use crate::admin::{self, AdminRouter, EvacuationRoutes};
use crate::audit::{self, AuditLog, AuditSettings};
use crate::claim::{self, ClaimHandle, ClaimSettings};
use crate::cluster::{self, ClusterNode};
use crate::config::{self, ConfigService, ConfigSettings};
use crate::control::{ControlChannel, NodeServices};
use crate::error::{Error, Result};
use crate::evacuation::EvacuationSender;
use crate::event;
use crate::link::PeerLinks;
use crate::maintenance::{
    MaintenanceRoutes, MaintenanceRunner, MaintenanceService, MaintenanceSettings,
};
use crate::propagation::LinkPropagation;
use crate::sample::{self, ClusterMetrics, SampleSources};
use crate::stop::StopReceiver;

/// Handle of the claim service, set once the process has registered.
pub type ClaimHandleCell = sync::Arc<sync::OnceLock<ClaimHandle>>;

/// Dependencies of the control plane.
pub struct PlaneDependencies {
    /// Services shared by the tasks of the control thread.
    pub services: NodeServices,
    /// Channel of the scheduler task, which is not started yet.
    pub channel: ControlChannel,
    /// Listener for other entry processes.
    pub peer_listener: net::TcpListener,
    /// Listener for operators.
    pub admin_listener: net::TcpListener,
    /// Cell that passes the claim handle to the traffic threads.
    pub claims: ClaimHandleCell,
    /// Metrics of peers and of calls to the table.
    pub metrics: ClusterMetrics,
    /// Digest of the bootstrap operator token from the settings, if any.
    pub bootstrap: Option<KeyHash>,
}

/// Control plane of a registered process.
pub struct ControlPlane {
    /// Configuration service.
    pub config_service: rc::Rc<ConfigService>,
    /// Audit trail.
    pub audit: AuditLog,
    /// Membership task; ends when the process has left or was replaced.
    pub cluster: task::JoinHandle<Result<()>>,
    audit_task: task::JoinHandle<()>,
}

impl ControlPlane {
    /// Registers the process and starts the control plane.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be used, or if the process is asked to stop
    /// before the table has responded.
    pub async fn start(mut dependencies: PlaneDependencies) -> Result<Self> {
        let evacuations = EvacuationSender::default();
        dependencies.channel.evacuations = Some(evacuations.subscribe());
        let listener = async_listener(dependencies.peer_listener)?;
        let address = peer_address(&dependencies.services, &listener)?;
        let client = TableClient::new(
            rc::Rc::clone(&dependencies.services.platform.table),
            ClientSettings::default(),
        );
        let services = with_cause(&dependencies.services, &client, CallCause::Membership);
        let incarnation = cluster::join(&services, address).await?;
        let (outbox_sender, outbox) = mpsc::unbounded_channel();
        let scheduler = SchedulerSettings {
            task_lease: services.settings.limits.task_lease,
            ..SchedulerSettings::default()
        };
        dependencies
            .channel
            .start(incarnation.clone(), scheduler, outbox_sender);
        let maintenance_services = with_cause(&services, &client, CallCause::Maintenance);
        let links = rc::Rc::new(PeerLinks::new(incarnation.clone()));
        let objects = rc::Rc::clone(&services.platform.objects);
        let audit = AuditLog::new(incarnation.clone(), objects, AuditSettings::default());
        let propagation =
            LinkPropagation::new(rc::Rc::clone(&links), rc::Rc::clone(&services.snapshots));
        let config_service = ConfigService::new(
            client.clone(),
            rc::Rc::new(propagation),
            rc::Rc::clone(&services.snapshots),
            audit.clone(),
            ConfigSettings {
                bootstrap: dependencies.bootstrap,
                evacuation_bound: services.settings.evacuation_bound,
                ..ConfigSettings::default()
            },
        );
        let config_service = rc::Rc::new(config_service.with_evacuations(evacuations));
        let maintenance = start_maintenance(
            &maintenance_services,
            incarnation.clone(),
            &audit,
            &config_service,
        );
        let stop = services.stop.clone();
        let sources = SampleSources {
            client: client.clone(),
            links: rc::Rc::clone(&links),
        };
        task::spawn_local(sample::run(dependencies.metrics, sources, stop.clone()));
        let config_port = rc::Rc::clone(&config_service) as _;
        let cluster = ClusterNode::start(
            services,
            incarnation.clone(),
            listener,
            outbox,
            links,
            config_port,
        );
        let view = cluster.view();
        let is_ended = rc::Rc::new(move |node: &_| view.borrow().ended.contains(node));
        let claims = claim::start(
            client,
            incarnation,
            is_ended,
            ClaimSettings::default(),
            stop.clone(),
        );
        // The cell is empty, since a process registers once.
        let _ = dependencies.claims.set(claims);
        task::spawn_local(config::run(rc::Rc::clone(&config_service), stop.clone()));
        let places = rc::Rc::new(maintenance.clone());
        let evacuation_routes = EvacuationRoutes::new(rc::Rc::clone(&config_service), places);
        let maintenance_routes = MaintenanceRoutes::new(maintenance, audit.clone());
        let router = AdminRouter::new(rc::Rc::clone(&config_service))
            .with_handler(rc::Rc::new(maintenance_routes))
            .with_handler(rc::Rc::new(evacuation_routes));
        task::spawn_local(serve_operators(
            dependencies.admin_listener,
            router,
            stop.clone(),
        ));
        Ok(Self {
            config_service,
            audit_task: task::spawn_local(audit::run(audit.clone(), stop)),
            audit,
            cluster: task::spawn_local(cluster.run()),
        })
    }

    /// Waits until the process has left the membership and the audit trail is
    /// written.
    ///
    /// # Errors
    ///
    /// Fails if the process was replaced in the meantime.
    pub async fn finish(self) -> Result<()> {
        let result = self.cluster.await;
        // The audit task logs its own errors.
        let _ = self.audit_task.await;
        result.unwrap_or_else(|error| Err(Error::stop("leave the membership", error)))
    }
}

/// Returns the services with table calls counted under `cause`.
pub fn with_cause(services: &NodeServices, client: &TableClient, cause: CallCause) -> NodeServices {
    NodeServices {
        platform: PlatformServices {
            table: client.store(cause),
            ..services.platform.clone()
        },
        ..services.clone()
    }
}

/// Starts the maintenance rounds and returns the service that reads their state.
fn start_maintenance(
    services: &NodeServices,
    incarnation: NodeIncarnation,
    audit: &AuditLog,
    config: &ConfigService,
) -> MaintenanceService {
    let runner = MaintenanceRunner::new(
        MaintenanceSettings::default(),
        services.platform.clone(),
        rc::Rc::new(services.control.clone()),
        incarnation,
    );
    let runner = runner
        .with_audit(audit.clone())
        .with_evacuations(config.evacuations());
    let table = rc::Rc::clone(&services.platform.table);
    let service = MaintenanceService::new(runner.state(), table);
    let service = service.with_evacuations(config.evacuations());
    let snapshots = services.snapshots.subscribe();
    task::spawn_local(runner.run(snapshots, services.stop.clone()));
    service
}

/// Serves the operator API; if that fails, the process still serves callers.
async fn serve_operators(listener: net::TcpListener, router: AdminRouter, stop: StopReceiver) {
    if let Err(error) = admin::serve(listener, router, stop).await {
        log_event!(
            error,
            event::ADMIN_FAILED,
            "the operator API is not available: {error}"
        );
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
