//! Links that carry calls to other entry processes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net;
use std::rc;
use std::time;

use capnp_rpc::twoparty;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use futures_util::{AsyncReadExt, future};
use redwing_model::NodeIncarnation;
use redwing_policy::PeerMessage;
use redwing_protocol::{PROTOCOL_VERSION, convert, peer_capnp};
use redwing_provider::TableRow;
use tokio::sync::{mpsc, oneshot};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::peer::ConfigSnapshot;

/// Timeout of one call to a peer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time between heartbeats on one link.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Shortest and longest time between attempts to connect.
const RECONNECT_DELAY_MIN: time::Duration = time::Duration::from_millis(50);
const RECONNECT_DELAY_MAX: time::Duration = time::Duration::from_secs(1);

/// Commands queued for one peer; further ones are dropped, since the scheduler
/// retransmits unacknowledged messages.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Address of another entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Incarnation of the process.
    pub incarnation: NodeIncarnation,
    /// Address of its peer listener.
    pub address: net::SocketAddr,
}

/// Status of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// Incarnation of the process.
    pub incarnation: NodeIncarnation,
    /// Highest version of the configuration that it reported.
    pub version: u64,
    /// Whether it responded recently.
    pub reachable: bool,
}

/// Size of a heartbeat message: one word for the empty parameters.
const HEARTBEAT_SIZE: capnp::MessageSize = capnp::MessageSize {
    word_count: 1,
    cap_count: 0,
};

/// Command for the task of a link.
enum LinkCommand {
    Exchange(PeerMessage),
    Announce {
        rows: Vec<TableRow>,
        version_sender: oneshot::Sender<u64>,
    },
}

/// State of a link, shared with its task.
#[derive(Debug, Default)]
struct LinkState {
    last_response: Cell<Option<time::Instant>>,
    version: Cell<u64>,
    bytes_sent: Cell<u64>,
}

impl LinkState {
    fn record_response(&self, version: u64) {
        self.last_response.set(Some(time::Instant::now()));
        self.version.set(self.version.get().max(version));
    }

    fn record_sent(&self, size: capnp::MessageSize) {
        let bytes = size.word_count * size_of::<u64>() as u64;
        self.bytes_sent.set(self.bytes_sent.get() + bytes);
    }
}

/// Link to one peer; dropping it closes the channel, which ends the task.
struct PeerLink {
    peer: PeerAddress,
    commands: mpsc::Sender<LinkCommand>,
    state: rc::Rc<LinkState>,
}

/// Links to all other entry processes.
pub struct PeerLinks {
    own: NodeIncarnation,
    links: RefCell<BTreeMap<NodeIncarnation, PeerLink>>,
    peers_set: Cell<bool>,
    closed_link_bytes: Cell<u64>,
}

impl PeerLinks {
    /// Creates an empty set of links for the process `own`.
    pub fn new(own: NodeIncarnation) -> Self {
        Self {
            own,
            links: RefCell::new(BTreeMap::new()),
            peers_set: Cell::new(false),
            closed_link_bytes: Cell::new(0),
        }
    }

    /// Returns the number of peers, reachable or not; `None` until they were
    /// first set.
    pub fn peer_count(&self) -> Option<usize> {
        self.peers_set.get().then(|| self.links.borrow().len())
    }

    /// Returns the incarnation of this process.
    pub fn own(&self) -> &NodeIncarnation {
        &self.own
    }

    /// Returns the status of each peer; a peer is reachable if its last response
    /// is at most `max_age` old.
    pub fn peers(&self, max_age: time::Duration) -> Vec<PeerStatus> {
        let links = self.links.borrow();
        let status = |link: &PeerLink| {
            let last = link.state.last_response.get();
            PeerStatus {
                incarnation: link.peer.incarnation.clone(),
                version: link.state.version.get(),
                reachable: last.is_some_and(|instant| instant.elapsed() <= max_age),
            }
        };
        links.values().map(status).collect()
    }

    /// Returns the peers whose last response is at most `max_age` old.
    pub fn reachable(&self, max_age: time::Duration) -> Vec<NodeIncarnation> {
        let peers = self.peers(max_age).into_iter();
        peers
            .filter(|peer| peer.reachable)
            .map(|peer| peer.incarnation)
            .collect()
    }

    /// Returns the highest version of the configuration that a peer reported to
    /// have in force.
    pub fn highest_version(&self) -> u64 {
        let links = self.links.borrow();
        let versions = links.values().map(|link| link.state.version.get());
        versions.max().unwrap_or_default()
    }

    /// Fetches the configuration in force from every peer that responds.
    pub async fn fetch_snapshots(&self) -> Vec<ConfigSnapshot> {
        let addresses: Vec<net::SocketAddr> = {
            let links = self.links.borrow();
            links.values().map(|link| link.peer.address).collect()
        };
        let calls = addresses.into_iter().map(fetch_config);
        let responses = future::join_all(calls).await;
        responses.into_iter().filter_map(Result::ok).collect()
    }

    /// Returns the number of bytes sent in calls so far, without framing.
    pub fn bytes_sent(&self) -> u64 {
        let links = self.links.borrow();
        let open: u64 = links.values().map(|link| link.state.bytes_sent.get()).sum();
        open + self.closed_link_bytes.get()
    }

    /// Opens links to new peers and closes those to removed peers.
    pub fn set_peers(&self, peers: &[PeerAddress]) {
        self.peers_set.set(true);
        let mut links = self.links.borrow_mut();
        let mut closed_bytes = 0;
        links.retain(|_, link| {
            let is_kept = peers.contains(&link.peer);
            if !is_kept {
                closed_bytes += link.state.bytes_sent.get();
            }
            is_kept
        });
        self.closed_link_bytes
            .set(self.closed_link_bytes.get() + closed_bytes);
        for peer in peers {
            if peer.incarnation == self.own || links.contains_key(&peer.incarnation) {
                continue;
            }
            let link = PeerLink::open(self.own.clone(), peer.clone());
            links.insert(peer.incarnation.clone(), link);
        }
    }

    /// Queues a scheduler message; it may be lost.
    pub fn send(&self, to: &NodeIncarnation, message: PeerMessage) {
        let links = self.links.borrow();
        if let Some(link) = links.get(to) {
            // A full queue drops the message; the scheduler retransmits it.
            let _ = link.commands.try_send(LinkCommand::Exchange(message));
        }
    }

    /// Sends configuration rows to all peers; returns how many of them then have
    /// `version` or a later one in force.
    pub async fn announce(&self, rows: &[TableRow], version: u64) -> usize {
        let mut pending_responses = Vec::new();
        for link in self.links.borrow().values() {
            let (version_sender, response) = oneshot::channel();
            let rows = rows.to_vec();
            let command = LinkCommand::Announce {
                rows,
                version_sender,
            };
            if link.commands.try_send(command).is_ok() {
                pending_responses.push(tokio::time::timeout(CALL_TIMEOUT, response));
            }
        }
        let responses = future::join_all(pending_responses).await;
        let has_version = |response: &&Result<Result<u64, _>, _>| matches!(response, Ok(Ok(installed)) if *installed >= version);
        responses.iter().filter(has_version).count()
    }
}

impl PeerLink {
    fn open(own: NodeIncarnation, peer: PeerAddress) -> Self {
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let state = rc::Rc::new(LinkState::default());
        let runner = LinkRunner {
            own,
            peer: peer.clone(),
            inbox,
            state: rc::Rc::clone(&state),
        };
        actix_rt::spawn(runner.run());
        Self {
            peer,
            commands,
            state,
        }
    }
}

/// Reason why a session with a peer ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum SessionEnd {
    /// The link was closed.
    Closed,
    /// The connection failed or the peer refused a call.
    Disconnected,
}

/// Task that keeps one link connected.
struct LinkRunner {
    own: NodeIncarnation,
    peer: PeerAddress,
    inbox: mpsc::Receiver<LinkCommand>,
    state: rc::Rc<LinkState>,
}

impl LinkRunner {
    async fn run(mut self) {
        let mut delay = RECONNECT_DELAY_MIN;
        loop {
            if let Ok(client) = self.connect().await {
                delay = RECONNECT_DELAY_MIN;
                if self.run_session(client).await == SessionEnd::Closed {
                    return;
                }
            }
            if self.discard_commands(jittered(delay)).await == SessionEnd::Closed {
                return;
            }
            delay = (delay * 2).min(RECONNECT_DELAY_MAX);
        }
    }

    /// Connects to the peer and calls `greet`.
    async fn connect(&self) -> capnp::Result<peer_capnp::peer::Client> {
        let client = open_client(self.peer.address).await?;
        let mut request = client.greet_request();
        let mut params = request.get();
        params.set_protocol(PROTOCOL_VERSION);
        convert::write_incarnation(&self.own, params.init_from());
        let response = with_timeout(request.send().promise).await?;
        let own = response.get()?.get_own()?;
        let own = convert::read_incarnation(own).map_err(disconnected)?;
        if own != self.peer.incarnation {
            return Err(disconnected("another incarnation of the peer responded"));
        }
        self.state.record_response(0);
        Ok(client)
    }

    /// Sends commands and heartbeats until the link is closed or disconnected.
    async fn run_session(&mut self, client: peer_capnp::peer::Client) -> SessionEnd {
        let failure = rc::Rc::new(tokio::sync::Notify::new());
        let mut heartbeat_timer = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.run_command(&client, command, &failure),
                    None => return SessionEnd::Closed,
                },
                _ = heartbeat_timer.tick() => self.send_heartbeat(&client, &failure),
                () = failure.notified() => return SessionEnd::Disconnected,
            }
        }
    }

    fn run_command(
        &self,
        client: &peer_capnp::peer::Client,
        command: LinkCommand,
        failure: &rc::Rc<tokio::sync::Notify>,
    ) {
        match command {
            LinkCommand::Exchange(message) => self.exchange(client, &message, failure),
            LinkCommand::Announce {
                rows,
                version_sender,
            } => {
                self.announce(client, &rows, version_sender, failure);
            }
        }
    }

    fn exchange(
        &self,
        client: &peer_capnp::peer::Client,
        message: &PeerMessage,
        failure: &rc::Rc<tokio::sync::Notify>,
    ) {
        let mut request = client.exchange_request();
        let mut params = request.get();
        convert::write_incarnation(&self.peer.incarnation, params.reborrow().init_to());
        convert::write_message(message, params.reborrow().init_message());
        if let Ok(size) = params.into_reader().total_size() {
            self.state.record_sent(size);
        }
        let failure = rc::Rc::clone(failure);
        actix_rt::spawn(async move {
            if with_timeout(request.send().promise).await.is_err() {
                failure.notify_one();
            }
        });
    }

    fn announce(
        &self,
        client: &peer_capnp::peer::Client,
        rows: &[TableRow],
        version_sender: oneshot::Sender<u64>,
        failure: &rc::Rc<tokio::sync::Notify>,
    ) {
        let mut request = client.announce_request();
        let mut params = request.get();
        let length = convert::wire_u32(rows.len());
        convert::write_rows(rows, params.reborrow().init_rows(length));
        if let Ok(size) = params.into_reader().total_size() {
            self.state.record_sent(size);
        }
        let state = rc::Rc::clone(&self.state);
        let failure = rc::Rc::clone(failure);
        actix_rt::spawn(async move {
            let response = with_timeout(request.send().promise).await;
            let version = response.and_then(|response| Ok(response.get()?.get_version()));
            match version {
                Ok(version) => {
                    state.record_response(version);
                    // The caller may have timed out.
                    let _ = version_sender.send(version);
                }
                Err(_) => failure.notify_one(),
            }
        });
    }

    fn send_heartbeat(
        &self,
        client: &peer_capnp::peer::Client,
        failure: &rc::Rc<tokio::sync::Notify>,
    ) {
        let request = client.heartbeat_request();
        self.state.record_sent(HEARTBEAT_SIZE);
        let state = rc::Rc::clone(&self.state);
        let failure = rc::Rc::clone(failure);
        actix_rt::spawn(async move {
            let response = with_timeout(request.send().promise).await;
            match response.and_then(|response| Ok(response.get()?.get_version())) {
                Ok(version) => state.record_response(version),
                Err(_) => failure.notify_one(),
            }
        });
    }

    /// Discards commands for `delay`, while the peer cannot be reached.
    async fn discard_commands(&mut self, delay: time::Duration) -> SessionEnd {
        let deadline = tokio::time::Instant::now() + delay;
        loop {
            tokio::select! {
                command = self.inbox.recv() => {
                    if command.is_none() {
                        return SessionEnd::Closed;
                    }
                }
                () = tokio::time::sleep_until(deadline) => return SessionEnd::Disconnected,
            }
        }
    }
}

/// Fetches the configuration in force from the process at `address`.
///
/// # Errors
///
/// Fails if the process does not respond in time or its response is malformed.
pub async fn fetch_config(address: net::SocketAddr) -> capnp::Result<ConfigSnapshot> {
    let client = open_client(address).await?;
    let response = with_timeout(client.fetch_request().send().promise).await?;
    let response = response.get()?;
    let version = response.get_version();
    let rows = convert::read_rows(response.get_rows()?).map_err(disconnected)?;
    Ok(ConfigSnapshot { version, rows })
}

/// Opens a connection; its task ends once the client is dropped.
async fn open_client(address: net::SocketAddr) -> capnp::Result<peer_capnp::peer::Client> {
    let connecting = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CALL_TIMEOUT, connecting)
        .await
        .map_err(disconnected)??;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    actix_rt::spawn(async move {
        // The next call on a broken connection fails, and the link reconnects.
        let _ = system.await;
    });
    Ok(client)
}

/// Waits for the response to a call, at most [`CALL_TIMEOUT`].
async fn with_timeout<T>(promise: impl Future<Output = capnp::Result<T>>) -> capnp::Result<T> {
    match tokio::time::timeout(CALL_TIMEOUT, promise).await {
        Ok(response) => response,
        Err(error) => Err(disconnected(error)),
    }
}

fn disconnected(reason: impl ToString) -> capnp::Error {
    capnp::Error::disconnected(reason.to_string())
}

/// Returns a random duration between half of `delay` and `delay`.
pub(crate) fn jittered(delay: time::Duration) -> time::Duration {
    delay.mul_f64(rand::random_range(0.5..=1.0))
}
