//! Entry listener with a fleet view that the test supplies.

use std::collections::HashMap;
use std::net;
use std::sync;
use std::thread;
use std::time;

use redwing_model::{FleetDeclaration, NodeId, NodeIncarnation, VmId, declaration};
use redwing_node::connection::ConnectionLimiter;
use redwing_node::control::{ControlChannel, ControlCommand, ControlHandle, NodeClock};
use redwing_node::ingress::{self, IngressContext};
use redwing_node::metrics::{MetricsRegistry, RequestMetrics};
use redwing_node::settings::{self, CommandChoice, NodeSettings};
use redwing_node::{KeyGrant, NodeSnapshot};
use redwing_policy::scheduler::WorkerView;
use redwing_policy::{FleetView, SchedulerSettings, TokenId, TokenPool};
use redwing_standin::backend::{self, BackendState};
use tokio::sync::{mpsc, watch};
use tokio::time as timer;

/// Time between two rounds of the membership.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Slots of each backend server.
const SLOTS: u32 = 8;

/// Declaration, backend servers and flags of a test fleet.
#[derive(Default)]
pub(crate) struct FleetSetup {
    pub(crate) declaration: &'static str,
    /// Number of running stand-in backend servers.
    pub(crate) live: usize,
    /// Number of backend server addresses at which nothing listens.
    pub(crate) dead: usize,
    /// Command line flags of the entry process.
    pub(crate) flags: &'static [&'static str],
}

/// Entry listener and its backend servers, on threads of the test process.
pub(crate) struct TestFleet {
    pub(crate) listen: net::SocketAddr,
    pub(crate) state: sync::Arc<BackendState>,
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl TestFleet {
    pub(crate) fn start(setup: FleetSetup) -> Self {
        let listener = bind();
        let listen = listener.local_addr().unwrap();
        let state = sync::Arc::new(BackendState::default());
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let (ready, started) = std::sync::mpsc::channel();
        let shared = sync::Arc::clone(&state);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                run(setup, listener, shared);
                ready.send(()).unwrap();
                let _ = stopped.await;
            });
        });
        started.recv().unwrap();
        Self {
            listen,
            state,
            _stop: stop,
        }
    }
}

fn bind() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").unwrap()
}

fn run(setup: FleetSetup, listener: net::TcpListener, state: sync::Arc<BackendState>) {
    let settings = node_settings(setup.flags);
    let declaration = declaration::from_toml(setup.declaration).unwrap();
    let backends: Vec<net::TcpListener> = (0..setup.live).map(|_| bind()).collect();
    let mut addresses: Vec<net::SocketAddr> = (0..setup.dead)
        .map(|_| bind().local_addr().unwrap())
        .collect();
    addresses.extend(backends.iter().map(|backend| backend.local_addr().unwrap()));
    if !backends.is_empty() {
        let (server, _) = backend::start(backends, state).unwrap();
        actix_rt::spawn(server);
    }
    let view = fleet_view(&declaration, &addresses);
    let snapshot = NodeSnapshot {
        version: 1,
        declaration: sync::Arc::new(declaration),
        keys: sync::Arc::new(HashMap::<_, KeyGrant>::new()),
        accepts_keyed: true,
        freshness_deadline: None,
        ready: true,
    };
    let (sender, snapshots) = watch::channel(sync::Arc::new(snapshot));
    let (outbox, _) = mpsc::unbounded_channel();
    let node = NodeIncarnation {
        node: NodeId::new("entry-1").unwrap(),
        epoch: 1,
    };
    let channel = ControlChannel::open(NodeClock::start());
    let scheduler = SchedulerSettings {
        task_lease: settings.limits.task_lease,
        ..SchedulerSettings::default()
    };
    let control = channel.start(node, scheduler, outbox);
    control.send(ControlCommand::Install(Box::new(view)));
    actix_rt::spawn(resume_in_rounds(control.clone()));
    let registry = MetricsRegistry::default();
    let context = IngressContext {
        snapshots,
        control,
        claims: redwing_node::plane::ClaimHandleCell::default(),
        connections: ConnectionLimiter::new(settings.limits.backend_connections),
        limits: sync::Arc::new(settings.limits.clone()),
        metrics: RequestMetrics::register(&registry).unwrap(),
        registry,
    };
    let server = ingress::start(listener, &settings, context).unwrap();
    actix_rt::spawn(async move {
        let _sender = sender;
        server.await
    });
}

/// Resumes a scheduler that has noticed a pause, as the rounds of the membership do: this
/// process is never replaced.
async fn resume_in_rounds(control: ControlHandle) {
    loop {
        timer::sleep(ROUND_INTERVAL).await;
        control.call(|scheduler, now| scheduler.resume(now)).await;
    }
}

fn node_settings(flags: &[&'static str]) -> NodeSettings {
    let line = ["redwinglb", "serve", "--platform", "embedded"];
    let line = line.iter().chain(flags);
    let matches = settings::command().try_get_matches_from(line).unwrap();
    match settings::from_matches(&matches) {
        Some(CommandChoice::Serve(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

fn fleet_view(declaration: &FleetDeclaration, addresses: &[net::SocketAddr]) -> FleetView {
    let mut view = FleetView {
        declaration: declaration.clone(),
        ..FleetView::default()
    };
    for (number, address) in addresses.iter().enumerate() {
        let vm = VmId::new(&format!("vm-{number}")).unwrap();
        let pool = TokenPool::Slot(vm.clone());
        view.owned_tokens.extend((0..SLOTS).map(|number| TokenId {
            pool: pool.clone(),
            number,
        }));
        view.workers.push(WorkerView {
            vm,
            address: *address,
            classes: declaration.queues.keys().cloned().collect(),
            serving: true,
        });
    }
    view
}
