//! Start, operation and graceful stop of an entry process.

use std::io::{self, Write};
use std::net;
use std::rc;
use std::sync;
use std::time;

use actix_server::ServerHandle;
use redwing_model::AccessKey;
use redwing_provider::PlatformServices;
use redwing_standin::HttpPlatform;
use tokio::sync::watch;
use tokio::task;

use crate::connection::ConnectionLimiter;
use crate::control::{ControlChannel, ControlHandle, NodeClock, NodeServices};
use crate::embedded::{EmbeddedBanner, EmbeddedFleet};
use crate::error::{Error, Result};
use crate::event;
use crate::ingress::{self, IngressContext};
use crate::metrics::{MetricsRegistry, RequestMetrics, SchedulerMetrics};
use crate::plane::{ClaimHandleCell, ControlPlane, PlaneDependencies};
use crate::sample::ClusterMetrics;
use crate::settings::{NodeSettings, PlatformAddress};
use crate::snapshot::SnapshotSender;
use crate::stop::{SignalListener, StopPhase, StopSignal};

/// Longest time to return borrowed tokens, and transfer owned ones, to reachable
/// peers.
const RETURN_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time between two checks whether all tokens were returned or transferred.
const RETURN_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Runs an entry process until it receives a stop signal.
///
/// # Errors
///
/// Fails if the process cannot start, cannot finish its requests in time, or
/// is replaced by a newer process on its VM.
pub async fn serve(settings: NodeSettings) -> Result<()> {
    let mut signals = SignalListener::open().map_err(signal_error)?;
    let (process, dependencies) = EntryProcess::open(settings).await?;
    let mut plane = tokio::select! {
        started = ControlPlane::start(dependencies) => started?,
        _ = signals.next() => return Err(early_stop_error()),
    };
    tokio::select! {
        printed = process.print_banner(&mut plane) => printed?,
        _ = signals.next() => return Err(early_stop_error()),
    }
    log_event!(
        info,
        event::PROCESS_READY,
        "serving callers at {}",
        process.listen
    );
    let signal = tokio::select! {
        signal = signals.next() => signal,
        ended = &mut plane.cluster => return Err(membership_error(ended)),
    };
    process.finish(signal, &mut signals, plane).await
}

/// Entry process with open listeners.
struct EntryProcess {
    services: NodeServices,
    source: PlatformSource,
    stop: watch::Sender<StopPhase>,
    entry: ServerHandle,
    server_task: task::JoinHandle<io::Result<()>>,
    listen: net::SocketAddr,
    admin: net::SocketAddr,
    /// Operator token of an embedded platform.
    operator: AccessKey,
}

impl EntryProcess {
    /// Opens the listeners and starts the traffic threads, which refuse requests
    /// until the control plane has started.
    async fn open(settings: NodeSettings) -> Result<(Self, PlaneDependencies)> {
        let listeners = EntryListeners::bind(&settings)?;
        let listen = local_address(&listeners.entry)?;
        let admin = local_address(&listeners.admin)?;
        let source = PlatformSource::open(&settings).await?;
        let (stop, stopped) = watch::channel(StopPhase::Running);
        let (snapshots, receiver) = watch::channel(sync::Arc::default());
        let registry = MetricsRegistry::default();
        let mut channel = ControlChannel::open(NodeClock::start());
        channel.metrics = Some(SchedulerMetrics::register(&registry)?);
        let cluster_metrics = ClusterMetrics::register(&registry)?;
        let claims = ClaimHandleCell::default();
        let context = IngressContext {
            snapshots: receiver,
            control: channel.handle.clone(),
            claims: sync::Arc::clone(&claims),
            connections: ConnectionLimiter::new(settings.limits.backend_connections),
            limits: sync::Arc::new(settings.limits.clone()),
            metrics: RequestMetrics::register(&registry)?,
            registry,
        };
        let server = ingress::start(listeners.entry, &settings, context)?;
        let operator = AccessKey::generate();
        let generated_hash = source.fleet().map(|_| operator.hash());
        let bootstrap = settings.bootstrap_hash.or(generated_hash);
        let services = NodeServices {
            settings: rc::Rc::new(settings),
            platform: source.services(),
            snapshots: rc::Rc::new(snapshots),
            control: channel.handle.clone(),
            stop: stopped,
        };
        let dependencies = PlaneDependencies {
            services: services.clone(),
            channel,
            peer_listener: listeners.peer,
            admin_listener: listeners.admin,
            claims,
            metrics: cluster_metrics,
            bootstrap,
        };
        if source.fleet().is_none() {
            print(&format!("listen http://{listen}\nadmin http://{admin}\n"))?;
        }
        let process = Self {
            services,
            source,
            stop,
            entry: server.handle(),
            server_task: actix_rt::spawn(server),
            listen,
            admin,
            operator,
        };
        Ok((process, dependencies))
    }

    /// Waits until the process is ready for the balancer, then prints `ready`.
    /// An embedded platform is configured first, and its addresses and keys are
    /// printed too.
    async fn print_banner(&self, plane: &mut ControlPlane) -> Result<()> {
        let Some(fleet) = self.source.fleet() else {
            wait_until_ready(&self.services, plane).await?;
            return print("ready\n");
        };
        let keys = fleet.provision(&plane.config_service).await?;
        wait_until_ready(&self.services, plane).await?;
        let snapshot = sync::Arc::clone(&self.services.snapshots.borrow());
        let banner = EmbeddedBanner {
            declaration: &snapshot.declaration,
            keys: &keys,
            operator: &self.operator,
            listen: self.listen,
            admin: self.admin,
        };
        print(&banner.to_string())
    }

    /// Stops the process gracefully, then the stand-ins of an embedded platform.
    async fn finish(
        self,
        signal: StopSignal,
        signals: &mut SignalListener,
        plane: ControlPlane,
    ) -> Result<()> {
        let stopping = StoppingProcess {
            settings: &self.services.settings,
            snapshots: &self.services.snapshots,
            stop: &self.stop,
            entry: self.entry,
            control: self.services.control.clone(),
        };
        stopping.finish(signal, signals, plane).await?;
        // The server has stopped; the result of its threads does not matter.
        let _ = self.server_task.await;
        if let Some(fleet) = self.source.fleet() {
            fleet.backends.stop(false).await;
        }
        log_event!(info, event::PROCESS_STOPPED, "all requests are finished");
        Ok(())
    }
}

fn early_stop_error() -> Error {
    Error::stop("start", "received a stop signal before it was ready")
}

/// Listeners of an entry process.
struct EntryListeners {
    entry: net::TcpListener,
    admin: net::TcpListener,
    peer: net::TcpListener,
}

impl EntryListeners {
    fn bind(settings: &NodeSettings) -> Result<Self> {
        Ok(Self {
            entry: bind("listen for callers", settings.listen)?,
            admin: bind("listen for operators", settings.admin_listen)?,
            peer: bind("listen for peers", settings.peer_listen)?,
        })
    }
}

/// Source of the platform's services.
enum PlatformSource {
    Embedded(EmbeddedFleet),
    Http(PlatformServices),
}

impl PlatformSource {
    async fn open(settings: &NodeSettings) -> Result<Self> {
        match settings.platform {
            PlatformAddress::Embedded => {
                let fleet = EmbeddedFleet::start(settings.embedded_workers, &settings.node);
                fleet.await.map(Self::Embedded)
            }
            PlatformAddress::Http(address) => {
                let url = format!("http://{address}");
                let platform = HttpPlatform::new(&url, settings.node.as_str());
                Ok(Self::Http(platform.services()))
            }
        }
    }

    fn services(&self) -> PlatformServices {
        match self {
            Self::Embedded(fleet) => fleet.services(),
            Self::Http(services) => services.clone(),
        }
    }

    fn fleet(&self) -> Option<&EmbeddedFleet> {
        match self {
            Self::Embedded(fleet) => Some(fleet),
            Self::Http(_) => None,
        }
    }
}

/// Waits until the process is ready for the balancer.
async fn wait_until_ready(services: &NodeServices, plane: &mut ControlPlane) -> Result<()> {
    let mut snapshots = services.snapshots.subscribe();
    tokio::select! {
        ready = snapshots.wait_for(|snapshot| snapshot.ready) => {
            ready.map(|_| ()).map_err(|error| Error::start("wait until ready", error))
        }
        ended = &mut plane.cluster => Err(membership_error(ended)),
    }
}

/// Returns the error for membership rounds that ended before the stop.
fn membership_error(ended: std::result::Result<Result<()>, task::JoinError>) -> Error {
    const STEP: &str = "run membership rounds";
    match ended {
        Ok(Err(error)) => error,
        Ok(Ok(())) => Error::stop(STEP, "the rounds ended before the process stopped"),
        Err(error) => Error::stop(STEP, error),
    }
}

/// Process that received a stop signal.
struct StoppingProcess<'a> {
    settings: &'a NodeSettings,
    snapshots: &'a SnapshotSender,
    stop: &'a watch::Sender<StopPhase>,
    entry: ServerHandle,
    control: ControlHandle,
}

impl StoppingProcess<'_> {
    /// Reports not ready to the balancer, accepts requests for the leave delay
    /// (after SIGTERM only), finishes queued and running requests, and returns or
    /// transfers its tokens.
    async fn finish(
        &self,
        signal: StopSignal,
        signals: &mut SignalListener,
        plane: ControlPlane,
    ) -> Result<()> {
        log_event!(
            info,
            event::PROCESS_STOPPING,
            "reporting not ready to the balancer"
        );
        self.stop.send_replace(StopPhase::Leaving);
        self.snapshots
            .send_modify(|snapshot| sync::Arc::make_mut(snapshot).ready = false);
        if signal == StopSignal::Terminate {
            let delay = tokio::time::sleep(self.settings.leave_delay);
            tokio::select! {
                () = delay => {}
                _ = signals.next() => {}
            }
        }
        self.stop.send_replace(StopPhase::Draining);
        self.entry.stop(true).await;
        let drained = tokio::time::timeout(self.settings.stop_timeout, self.control.leave());
        let drained = drained.await.is_ok();
        if drained {
            self.return_tokens().await;
        }
        self.stop.send_replace(StopPhase::Ended);
        let result = plane.finish().await;
        if !drained {
            let detail = "requests are still running on backend servers";
            log_event!(warn, event::STOP_INCOMPLETE, "{detail}");
            return Err(Error::stop("finish requests", detail));
        }
        result
    }

    /// Waits for at most [`RETURN_TIMEOUT`] until all borrowed tokens are returned
    /// to their owners and owned ones are transferred to peers.
    async fn return_tokens(&self) {
        let returned = async {
            loop {
                let drained = self.control.call(|scheduler, _| scheduler.is_drained());
                if drained.await.unwrap_or(true) {
                    return;
                }
                tokio::time::sleep(RETURN_INTERVAL).await;
            }
        };
        if tokio::time::timeout(RETURN_TIMEOUT, returned)
            .await
            .is_err()
        {
            let detail = "tokens were not returned or transferred to peers in time";
            log_event!(warn, event::STOP_INCOMPLETE, "{detail}");
        }
    }
}

pub(crate) fn signal_error(error: io::Error) -> Error {
    Error::start("listen for signals", error)
}

pub(crate) fn bind(step: &'static str, address: net::SocketAddr) -> Result<net::TcpListener> {
    net::TcpListener::bind(address).map_err(|error| Error::bind(step, address, error))
}

pub(crate) fn local_address(listener: &net::TcpListener) -> Result<net::SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| Error::start("read a listener's address", error))
}

/// Writes to standard output and flushes it.
pub(crate) fn print(text: &str) -> Result<()> {
    let mut output = io::stdout().lock();
    output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
        .map_err(|error| Error::start("write to standard output", error))
}
