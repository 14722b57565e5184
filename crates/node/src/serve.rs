//! Life of an entry process, from its settings to its graceful stop.

use std::io::{self, Write};
use std::net;
use std::sync;

use actix_server::ServerHandle;
use redwing_model::NodeIncarnation;
use redwing_policy::SchedulerSettings;
use redwing_standin::backend;
use tokio::sync::{mpsc, watch};

use crate::connect::ConnectionSeats;
use crate::control::{ControlChannel, ControlCommand, ControlHandle, NodeClock};
use crate::embedded::{EmbeddedBanner, EmbeddedFleet};
use crate::error::{Error, Result};
use crate::event;
use crate::ingress::{self, IngressContext};
use crate::metrics::{MetricsRegistry, PathMetrics};
use crate::settings::{BackendSettings, NodeSettings};
use crate::snapshot::{NodeSnapshot, SnapshotSender};
use crate::stop::{SignalListener, StopSignal};

/// Epoch of a process that no table has numbered.
const FIRST_EPOCH: u64 = 1;

/// Runs an entry process until it is told to stop.
///
/// # Errors
///
/// Fails if the process cannot start, or cannot finish in time what runs.
pub async fn serve(settings: NodeSettings) -> Result<()> {
    let mut signals = SignalListener::open().map_err(signal_error)?;
    let entry_listener = bind("listen for callers", settings.listen)?;
    let admin_listener = bind("listen for operators", settings.admin_listen)?;
    let fleet = EmbeddedFleet::start(settings.embedded_workers)?;
    let (snapshots, receiver) = watch::channel(sync::Arc::new(first_snapshot(&fleet)));
    let control = start_control(&settings);
    control.send(ControlCommand::Install(Box::new(fleet.view.clone())));
    let registry = MetricsRegistry::default();
    let context = IngressContext {
        snapshots: receiver,
        control: control.clone(),
        seats: ConnectionSeats::new(settings.limits.backend_connections),
        limits: sync::Arc::new(settings.limits.clone()),
        metrics: PathMetrics::register(&registry)?,
        registry,
    };
    let banner = EmbeddedBanner {
        fleet: &fleet,
        listen: local_address(&entry_listener)?,
        admin: local_address(&admin_listener)?,
    };
    let server = ingress::start(entry_listener, &settings, context)?;
    let entry = server.handle();
    let serving = actix_rt::spawn(server);
    print(&banner.to_string())?;
    for worker in &fleet.view.workers {
        let (vm, address) = (&worker.vm, worker.address);
        log_event!(info, event::STANDIN_BACKEND, "{vm} at {address}");
    }
    log_event!(info, event::PROCESS_READY, "callers at {}", banner.listen);
    let leaving = LeavingProcess {
        settings: &settings,
        snapshots: &snapshots,
        entry,
        control,
    };
    let signal = signals.next().await;
    leaving.finish(signal, &mut signals).await?;
    let _ = serving.await;
    fleet.backends.stop(false).await;
    log_event!(info, event::PROCESS_STOPPED, "everything is finished");
    Ok(())
}

/// Runs stand-in backend servers until the process is told to stop.
///
/// # Errors
///
/// Fails if an address cannot be used.
pub async fn serve_backends(settings: BackendSettings) -> Result<()> {
    let mut signals = SignalListener::open().map_err(signal_error)?;
    let step = "listen as a backend server";
    let mut listeners = Vec::new();
    let mut addresses = String::new();
    for address in settings.listen {
        let listener = bind(step, address)?;
        addresses.push_str(&format!("backend http://{}\n", local_address(&listener)?));
        listeners.push(listener);
    }
    let state = sync::Arc::new(backend::BackendState::default());
    state.set_fault(settings.fault);
    let (server, handle) =
        backend::start(listeners, state).map_err(|error| Error::start(step, error))?;
    let serving = actix_rt::spawn(server);
    print(&format!("{addresses}ready\n"))?;
    signals.next().await;
    handle.stop(true).await;
    let _ = serving.await;
    Ok(())
}

/// Process that was told to stop.
struct LeavingProcess<'a> {
    settings: &'a NodeSettings,
    snapshots: &'a SnapshotSender,
    entry: ServerHandle,
    control: ControlHandle,
}

impl LeavingProcess<'_> {
    /// Tells the balancer, goes on accepting for a while, then finishes what
    /// is queued or runs.
    async fn finish(&self, signal: StopSignal, signals: &mut SignalListener) -> Result<()> {
        log_event!(info, event::PROCESS_STOPPING, "the balancer is told");
        self.snapshots.send_modify(|snapshot| {
            let leaving = NodeSnapshot {
                ready: false,
                ..NodeSnapshot::clone(snapshot)
            };
            *snapshot = sync::Arc::new(leaving);
        });
        if signal == StopSignal::Terminate {
            let delay = tokio::time::sleep(self.settings.leave_delay);
            tokio::select! {
                () = delay => {}
                _ = signals.next() => {}
            }
        }
        self.entry.stop(true).await;
        let drained = self.control.leave();
        if tokio::time::timeout(self.settings.stop_timeout, drained)
            .await
            .is_err()
        {
            let detail = "requests still run on backend servers";
            log_event!(warn, event::STOP_INCOMPLETE, "{detail}");
            return Err(Error::stop("finish requests", detail));
        }
        Ok(())
    }
}

fn signal_error(error: io::Error) -> Error {
    Error::start("listen for signals", error)
}

fn bind(step: &'static str, address: net::SocketAddr) -> Result<net::TcpListener> {
    net::TcpListener::bind(address).map_err(|error| Error::bind(step, address, error))
}

fn local_address(listener: &net::TcpListener) -> Result<net::SocketAddr> {
    listener
        .local_addr()
        .map_err(|error| Error::start("read a listener's address", error))
}

fn first_snapshot(fleet: &EmbeddedFleet) -> NodeSnapshot {
    NodeSnapshot {
        version: 1,
        declaration: sync::Arc::new(fleet.declaration.clone()),
        keys: sync::Arc::new(fleet.grants()),
        accepts_keyed: true,
        ready: true,
    }
}

fn start_control(settings: &NodeSettings) -> ControlHandle {
    let node = NodeIncarnation {
        node: settings.node.clone(),
        epoch: FIRST_EPOCH,
    };
    let scheduler = SchedulerSettings {
        task_lease: settings.limits.task_lease,
        ..SchedulerSettings::default()
    };
    let (outbox, _) = mpsc::unbounded_channel();
    ControlChannel::open(NodeClock::start()).start(node, scheduler, outbox)
}

/// Writes to standard output at once.
fn print(text: &str) -> Result<()> {
    let mut output = io::stdout().lock();
    output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
        .map_err(|error| Error::start("write to standard output", error))
}
