//! Lifecycle of this process as a member of the cluster of entry processes.
//!
//! A process registers in the table, exchanges calls with its peers, and runs
//! membership rounds until it leaves or detects that it was replaced.

use std::collections::HashMap;
use std::net;
use std::rc;
use std::time;

use redwing_membership::EndedSettings;
use redwing_model::{DataCentre, NodeIncarnation, VmId};
use redwing_policy::{FleetView, PeerMessage, TokenId};
use redwing_provider::{LocalFuture, TableRow};
use tokio::sync::{mpsc, watch};

use crate::config::ConfigService;
use crate::control::{ControlCommand, ControlHandle, NodeServices, PeerEnvelope};
use crate::error::{Error, Result};
use crate::event;
use crate::link::{self, PeerLinks};
use crate::membership::{
    MembershipRunner, MembershipSettings, RegistrationStatus, SchedulerPort, SharedView,
};
use crate::peer::{self, ConfigSnapshot, PeerHandler};
use crate::register::{self, MemberIdentity};
use crate::stop::StopPhase;

/// Time between two membership rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Shortest and longest time between attempts to register.
const REGISTER_DELAY_MIN: time::Duration = time::Duration::from_millis(100);
const REGISTER_DELAY_MAX: time::Duration = time::Duration::from_secs(5);

/// Maximum time that a leaving process spends on transferring its tokens.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Access of peers to the configuration of this process.
pub trait ConfigPort {
    /// Returns the rows of the configuration in force.
    fn config_snapshot(&self) -> ConfigSnapshot;

    /// Returns the version of the configuration in force.
    fn version(&self) -> u64;

    /// Installs committed rows that a peer sent.
    fn announce(&self, rows: &[TableRow]);
}

impl ConfigPort for ConfigService {
    fn config_snapshot(&self) -> ConfigSnapshot {
        ConfigService::config_snapshot(self)
    }

    fn version(&self) -> u64 {
        ConfigService::version(self)
    }

    fn announce(&self, rows: &[TableRow]) {
        ConfigService::announce(self, rows);
    }
}

/// Registers this process, retrying until the table responds.
///
/// # Errors
///
/// Fails if the process is stopped before it is registered.
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
                log_event!(
                    info,
                    event::MEMBER_REGISTERED,
                    "registered as {}",
                    record.incarnation
                );
                return Ok(record.incarnation);
            }
            Err(error) => error,
        };
        log_event!(
            warn,
            event::MEMBER_UNREGISTERED,
            "cannot register: {error}; retrying"
        );
        tokio::select! {
            () = tokio::time::sleep(link::jittered(delay)) => {}
            _ = stop.wait_for(|phase| *phase != StopPhase::Running) => {
                return Err(Error::start("register", "stopped before the table responded"));
            }
        }
        delay = (delay * 2).min(REGISTER_DELAY_MAX);
    }
}

/// Registered member of the cluster.
pub struct ClusterNode {
    services: NodeServices,
    own: NodeIncarnation,
    runner: MembershipRunner,
    links: rc::Rc<PeerLinks>,
    _stop_peers: watch::Sender<()>,
}

impl ClusterNode {
    /// Starts to serve and call peers; `outbox` receives the scheduler's messages.
    pub fn start(
        services: NodeServices,
        own: NodeIncarnation,
        listener: tokio::net::TcpListener,
        outbox: mpsc::UnboundedReceiver<PeerEnvelope>,
        links: rc::Rc<PeerLinks>,
        config: rc::Rc<dyn ConfigPort>,
    ) -> Self {
        let runner = start_membership(&services, own.clone());
        let handler = ClusterHandler {
            own: own.clone(),
            control: services.control.clone(),
            view: runner.view(),
            config,
        };
        let (stop_sender, stopped) = watch::channel(());
        actix_rt::spawn(peer::serve(listener, rc::Rc::new(handler), stopped));
        actix_rt::spawn(forward_messages(outbox, rc::Rc::clone(&links)));
        Self {
            services,
            own,
            runner,
            links,
            _stop_peers: stop_sender,
        }
    }

    /// Returns the membership view that other tasks read.
    pub fn view(&self) -> SharedView {
        self.runner.view()
    }

    /// Runs rounds until the process has drained, then transfers its tokens to
    /// the other members.
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
        let outcome = self.runner.round(started, &snapshot.declaration).await;
        if outcome.is_ok() {
            self.links.set_peers(&self.runner.view().borrow().peers);
        }
        match outcome {
            Ok(RegistrationStatus::Current) => {
                // A process that was paused during the round may have read its
                // row before the pause, so it stays suspended until the next round.
                let elapsed = clock.now().saturating_since(started);
                if elapsed < self.services.settings.limits.pause_limit() {
                    self.resume(snapshot.version).await;
                }
                Ok(())
            }
            Ok(RegistrationStatus::Replaced) => Err(self.stop_replaced().await),
            Err(error) => {
                log_event!(warn, event::ROUND_FAILED, "{error}; the next round retries");
                Ok(())
            }
        }
    }

    /// Resumes the scheduler and, once it has the configuration in force and
    /// keyed requests are accepted, marks the process as ready for the balancer.
    async fn resume(&self, version: u64) {
        let control = &self.services.control;
        control.call(|scheduler, now| scheduler.resume(now)).await;
        let running = *self.services.stop.borrow() == StopPhase::Running;
        self.services.snapshots.send_if_modified(|snapshot| {
            let is_current = version > 0 && version == snapshot.version;
            let becomes_ready = running && is_current && snapshot.accepts_keyed && !snapshot.ready;
            if becomes_ready {
                std::sync::Arc::make_mut(snapshot).ready = true;
            }
            becomes_ready
        });
    }

    /// Suspends the scheduler, because another process has replaced this one, and
    /// returns the error that ends the process.
    async fn stop_replaced(&self) -> Error {
        let control = &self.services.control;
        control.call(|scheduler, now| scheduler.suspend(now)).await;
        log_event!(
            error,
            event::MEMBER_REPLACED,
            "{} was replaced; the process stops",
            self.own
        );
        Error::replaced("run membership round", &self.own)
    }

    /// Transfers the tokens to the other members, for a bounded time.
    async fn leave(&mut self) {
        let leaving = tokio::time::timeout(LEAVE_TIMEOUT, self.runner.leave());
        match leaving.await {
            Ok(Ok(())) => log_event!(info, event::MEMBER_LEFT, "{} left the table", self.own),
            Ok(Err(error)) => log_event!(
                warn,
                event::LEAVE_FAILED,
                "{error}; the other members recover the tokens"
            ),
            Err(_) => log_event!(
                warn,
                event::LEAVE_FAILED,
                "the table did not respond in time; the other members recover the tokens"
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

/// Forwards the scheduler's messages to the links.
async fn forward_messages(
    mut outbox: mpsc::UnboundedReceiver<PeerEnvelope>,
    links: rc::Rc<PeerLinks>,
) {
    while let Some(envelope) = outbox.recv().await {
        links.send(&envelope.to, envelope.message);
    }
}

/// Access to the scheduler through the control handle.
struct ControlPort(ControlHandle);

impl SchedulerPort for ControlPort {
    fn place(&self, places: HashMap<VmId, DataCentre>) {
        self.0
            .run(move |scheduler, now| scheduler.set_places(now, places));
    }

    fn set_cold(&self, cold: HashMap<VmId, time::Duration>) {
        self.0
            .run(move |scheduler, now| scheduler.set_cold(now, &cold));
    }

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

    fn release_ownership<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool> {
        let token = token.clone();
        Box::pin(async move {
            let released = self
                .0
                .call(move |scheduler, _| scheduler.release_ownership(&token));
            released.await.unwrap_or_default()
        })
    }
}

/// Handler that passes calls from peers to the tasks of the control thread.
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

    fn config(&self) -> ConfigSnapshot {
        self.config.config_snapshot()
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
