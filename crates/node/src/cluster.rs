//! Life of this process among the other entry processes.
//!
//! A process registers in the table, serves and calls its peers, and runs
//! membership rounds until it leaves or finds that it was replaced.

use std::net;
use std::rc;
use std::time;

use redwing_membership::EndedSettings;
use redwing_model::NodeIncarnation;
use redwing_policy::{FleetView, PeerMessage, TokenId};
use redwing_provider::{LocalFuture, TableRow};
use tokio::sync::{mpsc, watch};

use crate::config::ConfigDesk;
use crate::control::{ControlCommand, ControlHandle, NodeServices, PeerEnvelope};
use crate::error::{Error, Result};
use crate::event;
use crate::link::{self, PeerMesh};
use crate::membership::{
    MemberStanding, MembershipRunner, MembershipSettings, SchedulerPort, SharedView,
};
use crate::peer::{self, ConfigCopy, PeerHandler};
use crate::register::{self, MemberIdentity};
use crate::stop::StopPhase;

/// Time between two membership rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Shortest and longest time between attempts to register.
const REGISTER_DELAY_MIN: time::Duration = time::Duration::from_millis(100);
const REGISTER_DELAY_MAX: time::Duration = time::Duration::from_secs(5);

/// Longest time that a leaving process tries to give its tokens back.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Configuration as the peers of this process see it.
pub trait ConfigPort {
    /// Returns the configuration in force.
    fn copy(&self) -> ConfigCopy;

    /// Returns the version of the configuration in force.
    fn version(&self) -> u64;

    /// Takes rows that the table has accepted, from a peer.
    fn announce(&self, rows: &[TableRow]);
}

impl ConfigPort for ConfigDesk {
    fn copy(&self) -> ConfigCopy {
        ConfigDesk::copy(self)
    }

    fn version(&self) -> u64 {
        ConfigDesk::version(self)
    }

    fn announce(&self, rows: &[TableRow]) {
        ConfigDesk::announce(self, rows);
    }
}

/// Registers this process, trying again until the table answers.
///
/// # Errors
///
/// Fails if the process was told to stop first.
pub async fn join(
    services: &NodeServices,
    peer_address: net::SocketAddr,
) -> Result<NodeIncarnation> {
    let identity = MemberIdentity {
        node: services.settings.node.clone(),
        data_centre: services.settings.data_centre.clone(),
        peer_address,
    };
    let mut stop = services.stop.clone();
    let mut delay = REGISTER_DELAY_MIN;
    loop {
        let error = match register::register(&*services.platform.table, &identity).await {
            Ok(record) => {
                log_event!(info, event::MEMBER_REGISTERED, "as {}", record.incarnation);
                return Ok(record.incarnation);
            }
            Err(error) => error,
        };
        log_event!(warn, event::MEMBER_UNREGISTERED, "{error}");
        tokio::select! {
            () = tokio::time::sleep(link::jittered(delay)) => {}
            _ = stop.wait_for(|phase| *phase != StopPhase::Running) => {
                return Err(Error::start("register", "told to stop before the table answered"));
            }
        }
        delay = (delay * 2).min(REGISTER_DELAY_MAX);
    }
}

/// A registered process among its peers.
pub struct ClusterNode {
    services: NodeServices,
    own: NodeIncarnation,
    runner: MembershipRunner,
    mesh: rc::Rc<PeerMesh>,
    _peers: watch::Sender<()>,
}

impl ClusterNode {
    /// Starts to serve and call peers; `outbox` holds what the scheduler sends.
    pub fn start(
        services: NodeServices,
        own: NodeIncarnation,
        listener: tokio::net::TcpListener,
        outbox: mpsc::UnboundedReceiver<PeerEnvelope>,
        mesh: rc::Rc<PeerMesh>,
        config: rc::Rc<dyn ConfigPort>,
    ) -> Self {
        let runner = start_membership(&services, own.clone());
        let handler = ClusterHandler {
            own: own.clone(),
            control: services.control.clone(),
            view: runner.view(),
            config,
        };
        let (stop_peers, stopped) = watch::channel(());
        actix_rt::spawn(peer::serve(listener, rc::Rc::new(handler), stopped));
        actix_rt::spawn(forward(outbox, rc::Rc::clone(&mesh)));
        Self {
            services,
            own,
            runner,
            mesh,
            _peers: stop_peers,
        }
    }

    /// Returns the membership view that other tasks read.
    pub fn view(&self) -> SharedView {
        self.runner.view()
    }

    /// Runs rounds until the process has drained, then gives its tokens back.
    ///
    /// # Errors
    ///
    /// Fails if the process was replaced by a newer one on its VM.
    pub async fn run(mut self) -> Result<()> {
        let mut snapshots = self.services.snapshots.subscribe();
        let mut stop = self.services.stop.clone();
        while *stop.borrow_and_update() < StopPhase::Ended {
            self.round().await?;
            tokio::select! {
                () = tokio::time::sleep(link::jittered(ROUND_INTERVAL)) => {}
                _ = snapshots.changed() => {}
                _ = stop.changed() => {}
            }
        }
        self.leave().await;
        Ok(())
    }

    async fn round(&mut self) -> Result<()> {
        let clock = self.services.control.clock();
        let started = clock.now();
        let snapshot = std::sync::Arc::clone(&self.services.snapshots.borrow());
        let standing = self.runner.round(started, &snapshot.declaration).await;
        if standing.is_ok() {
            self.mesh.set_peers(&self.runner.view().borrow().peers);
        }
        match standing {
            Ok(MemberStanding::Current) => {
                // A process that was paused during the round has read its row
                // before the pause, so it stays suspended until the next one.
                let taken = clock.now().saturating_since(started);
                if taken < self.services.settings.limits.pause_limit() {
                    self.confirm(snapshot.version).await;
                }
                Ok(())
            }
            Ok(MemberStanding::Replaced) => Err(self.replaced().await),
            Err(error) => {
                log_event!(warn, event::ROUND_FAILED, "{error}");
                Ok(())
            }
        }
    }

    /// Lets the scheduler go on and, once it knows the configuration in force
    /// and keys can be trusted, the balancer send callers.
    async fn confirm(&self, version: u64) {
        let control = &self.services.control;
        control.call(|scheduler, now| scheduler.resume(now)).await;
        let running = *self.services.stop.borrow() == StopPhase::Running;
        self.services.snapshots.send_if_modified(|snapshot| {
            let is_known = version > 0 && version == snapshot.version;
            let becomes_ready = running && is_known && snapshot.accepts_keyed && !snapshot.ready;
            if becomes_ready {
                std::sync::Arc::make_mut(snapshot).ready = true;
            }
            becomes_ready
        });
    }

    /// Stops everything: another process holds this one's place.
    async fn replaced(&self) -> Error {
        let control = &self.services.control;
        control.call(|scheduler, now| scheduler.suspend(now)).await;
        log_event!(error, event::MEMBER_REPLACED, "{} has ended", self.own);
        Error::replaced("run membership round", &self.own)
    }

    /// Gives the tokens to the other members, for a bounded time.
    async fn leave(&mut self) {
        let leaving = tokio::time::timeout(LEAVE_TIMEOUT, self.runner.leave());
        match leaving.await {
            Ok(Ok(())) => log_event!(info, event::MEMBER_LEFT, "{} left the table", self.own),
            Ok(Err(error)) => log_event!(warn, event::LEAVE_FAILED, "{error}"),
            Err(_) => log_event!(
                warn,
                event::LEAVE_FAILED,
                "the table did not answer in time"
            ),
        }
    }
}

fn start_membership(services: &NodeServices, own: NodeIncarnation) -> MembershipRunner {
    let settings = MembershipSettings {
        ended: EndedSettings {
            task_lease: services.settings.limits.task_lease,
            list_lag: services.settings.list_lag,
        },
        ..MembershipSettings::default()
    };
    let port = ControlPort(services.control.clone());
    MembershipRunner::new(settings, services.platform.clone(), rc::Rc::new(port), own)
}

/// Passes the scheduler's messages to the links.
async fn forward(mut outbox: mpsc::UnboundedReceiver<PeerEnvelope>, mesh: rc::Rc<PeerMesh>) {
    while let Some(envelope) = outbox.recv().await {
        mesh.send(&envelope.to, envelope.message);
    }
}

/// Scheduler behind the control handle.
struct ControlPort(ControlHandle);

impl SchedulerPort for ControlPort {
    fn install(&self, view: FleetView) {
        self.0.send(ControlCommand::Install(Box::new(view)));
    }

    fn settle<'a>(&'a self, ended: &'a NodeIncarnation) -> LocalFuture<'a, Vec<TokenId>> {
        let ended = ended.clone();
        Box::pin(async move {
            let settled = self
                .0
                .call(move |scheduler, now| scheduler.settle(now, &ended));
            settled.await.unwrap_or_default()
        })
    }

    fn release_home<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool> {
        let token = token.clone();
        Box::pin(async move {
            let released = self
                .0
                .call(move |scheduler, _| scheduler.release_ownership(&token));
            released.await.unwrap_or_default()
        })
    }
}

/// Calls from peers, passed to the tasks of the control thread.
struct ClusterHandler {
    own: NodeIncarnation,
    control: ControlHandle,
    view: SharedView,
    config: rc::Rc<dyn ConfigPort>,
}

impl PeerHandler for ClusterHandler {
    fn own(&self) -> Option<NodeIncarnation> {
        Some(self.own.clone())
    }

    fn is_ended(&self, peer: &NodeIncarnation) -> bool {
        self.view.borrow().ended.contains(peer)
    }

    fn config(&self) -> ConfigCopy {
        self.config.copy()
    }

    fn config_version(&self) -> u64 {
        self.config.version()
    }

    fn exchange(&self, from: &NodeIncarnation, message: PeerMessage) {
        self.control.send(ControlCommand::Receive {
            from: from.clone(),
            message: Box::new(message),
        });
    }

    fn announce(&self, rows: Vec<TableRow>) {
        self.config.announce(&rows);
    }
}
