//! Calls to other entry processes.

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

use crate::peer::ConfigCopy;

/// Longest time for one call to a peer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time between heartbeats on one link.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Shortest and longest time between attempts to connect.
const RECONNECT_DELAY_MIN: time::Duration = time::Duration::from_millis(50);
const RECONNECT_DELAY_MAX: time::Duration = time::Duration::from_secs(1);

/// Messages that may wait for one peer; further ones are dropped, since the
/// scheduler sends again what was not acknowledged.
const QUEUE_CAPACITY: usize = 1_024;

/// Where to reach another entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The process.
    pub incarnation: NodeIncarnation,
    /// Its peer listener.
    pub address: net::SocketAddr,
}

/// What is known of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerStanding {
    /// The process.
    pub incarnation: NodeIncarnation,
    /// Highest version of the configuration that it told.
    pub version: u64,
    /// Whether it answered lately.
    pub reachable: bool,
}

/// Size of a heartbeat: its empty parameters in one word.
const HEARTBEAT_SIZE: capnp::MessageSize = capnp::MessageSize {
    word_count: 1,
    cap_count: 0,
};

/// What a link is asked to do.
enum LinkCommand {
    Exchange(PeerMessage),
    Announce {
        rows: Vec<TableRow>,
        reply: oneshot::Sender<u64>,
    },
}

/// What is known of a peer through its link.
#[derive(Debug, Default)]
struct LinkState {
    last_answer: Cell<Option<time::Instant>>,
    version: Cell<u64>,
    bytes_sent: Cell<u64>,
}

impl LinkState {
    fn record_answer(&self, version: u64) {
        self.last_answer.set(Some(time::Instant::now()));
        self.version.set(self.version.get().max(version));
    }

    fn record_sent(&self, size: capnp::MessageSize) {
        let bytes = size.word_count * size_of::<u64>() as u64;
        self.bytes_sent.set(self.bytes_sent.get() + bytes);
    }
}

/// One link: dropping it closes its channel and so ends its task.
struct PeerLink {
    peer: PeerAddress,
    commands: mpsc::Sender<LinkCommand>,
    state: rc::Rc<LinkState>,
}

/// Links to all other entry processes.
pub struct PeerMesh {
    own: NodeIncarnation,
    links: RefCell<BTreeMap<NodeIncarnation, PeerLink>>,
    is_known: Cell<bool>,
    bytes_of_closed: Cell<u64>,
}

impl PeerMesh {
    /// Creates a mesh without links for the process `own`.
    pub fn new(own: NodeIncarnation) -> Self {
        Self {
            own,
            links: RefCell::new(BTreeMap::new()),
            is_known: Cell::new(false),
            bytes_of_closed: Cell::new(0),
        }
    }

    /// Returns how many peers there are, reachable or not; `None` before they
    /// were first set.
    pub fn peer_count(&self) -> Option<usize> {
        self.is_known.get().then(|| self.links.borrow().len())
    }

    /// Returns the name of this process.
    pub fn own(&self) -> &NodeIncarnation {
        &self.own
    }

    /// Returns what is known of each peer; one counts as reachable if it
    /// answered within `limit`.
    pub fn peers(&self, limit: time::Duration) -> Vec<PeerStanding> {
        let links = self.links.borrow();
        let standing = |link: &PeerLink| {
            let last = link.state.last_answer.get();
            PeerStanding {
                incarnation: link.peer.incarnation.clone(),
                version: link.state.version.get(),
                reachable: last.is_some_and(|instant| instant.elapsed() <= limit),
            }
        };
        links.values().map(standing).collect()
    }

    /// Returns the peers that answered within `limit`.
    pub fn reachable(&self, limit: time::Duration) -> Vec<NodeIncarnation> {
        let peers = self.peers(limit).into_iter();
        peers
            .filter(|peer| peer.reachable)
            .map(|peer| peer.incarnation)
            .collect()
    }

    /// Returns the highest version of the configuration that a peer was heard
    /// to have in force.
    pub fn highest_version(&self) -> u64 {
        let links = self.links.borrow();
        let versions = links.values().map(|link| link.state.version.get());
        versions.max().unwrap_or_default()
    }

    /// Asks every peer for the configuration that it has in force.
    pub async fn fetch_copies(&self) -> Vec<ConfigCopy> {
        let addresses: Vec<net::SocketAddr> = {
            let links = self.links.borrow();
            links.values().map(|link| link.peer.address).collect()
        };
        let calls = addresses.into_iter().map(fetch_config);
        let answers = future::join_all(calls).await;
        answers.into_iter().filter_map(Result::ok).collect()
    }

    /// Returns the bytes of all calls sent so far, without framing.
    pub fn bytes_sent(&self) -> u64 {
        let links = self.links.borrow();
        let open: u64 = links.values().map(|link| link.state.bytes_sent.get()).sum();
        open + self.bytes_of_closed.get()
    }

    /// Opens links to new peers and closes those to peers that are gone.
    pub fn set_peers(&self, peers: &[PeerAddress]) {
        self.is_known.set(true);
        let mut links = self.links.borrow_mut();
        let mut closed = 0;
        links.retain(|_, link| {
            let kept = peers.contains(&link.peer);
            if !kept {
                closed += link.state.bytes_sent.get();
            }
            kept
        });
        self.bytes_of_closed
            .set(self.bytes_of_closed.get() + closed);
        for peer in peers {
            if peer.incarnation == self.own || links.contains_key(&peer.incarnation) {
                continue;
            }
            let link = PeerLink::open(self.own.clone(), peer.clone());
            links.insert(peer.incarnation.clone(), link);
        }
    }

    /// Sends a scheduler message; it may be lost.
    pub fn send(&self, to: &NodeIncarnation, message: PeerMessage) {
        let links = self.links.borrow();
        if let Some(link) = links.get(to) {
            // A full queue drops the message; the scheduler sends again.
            let _ = link.commands.try_send(LinkCommand::Exchange(message));
        }
    }

    /// Spreads configuration rows; returns how many peers then had `version`
    /// or a later one in force.
    pub async fn announce(&self, rows: &[TableRow], version: u64) -> usize {
        let mut replies = Vec::new();
        for link in self.links.borrow().values() {
            let (reply, answer) = oneshot::channel();
            let rows = rows.to_vec();
            let command = LinkCommand::Announce { rows, reply };
            if link.commands.try_send(command).is_ok() {
                replies.push(tokio::time::timeout(CALL_TIMEOUT, answer));
            }
        }
        let answers = future::join_all(replies).await;
        let informed = |answer: &&Result<Result<u64, _>, _>| matches!(answer, Ok(Ok(installed)) if *installed >= version);
        answers.iter().filter(informed).count()
    }
}

impl PeerLink {
    fn open(own: NodeIncarnation, peer: PeerAddress) -> Self {
        let (commands, inbox) = mpsc::channel(QUEUE_CAPACITY);
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

/// Why a conversation with a peer ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum TalkEnd {
    /// The link was closed.
    Closed,
    /// The connection broke or the peer refused.
    Broken,
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
                if self.talk(client).await == TalkEnd::Closed {
                    return;
                }
            }
            if self.discard_for(jittered(delay)).await == TalkEnd::Closed {
                return;
            }
            delay = (delay * 2).min(RECONNECT_DELAY_MAX);
        }
    }

    /// Connects and greets.
    async fn connect(&self) -> capnp::Result<peer_capnp::peer::Client> {
        let client = open_client(self.peer.address).await?;
        let mut request = client.greet_request();
        let mut params = request.get();
        params.set_protocol(PROTOCOL_VERSION);
        convert::write_incarnation(&self.own, params.init_from());
        let answer = within(request.send().promise).await?;
        let own = answer.get()?.get_own()?;
        let own = convert::read_incarnation(own).map_err(broken)?;
        if own != self.peer.incarnation {
            return Err(broken("another incarnation answered"));
        }
        self.state.record_answer(0);
        Ok(client)
    }

    /// Carries commands and heartbeats until the link closes or breaks.
    async fn talk(&mut self, client: peer_capnp::peer::Client) -> TalkEnd {
        let failure = rc::Rc::new(tokio::sync::Notify::new());
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.carry(&client, command, &failure),
                    None => return TalkEnd::Closed,
                },
                _ = heartbeat.tick() => self.beat(&client, &failure),
                () = failure.notified() => return TalkEnd::Broken,
            }
        }
    }

    fn carry(
        &self,
        client: &peer_capnp::peer::Client,
        command: LinkCommand,
        failure: &rc::Rc<tokio::sync::Notify>,
    ) {
        match command {
            LinkCommand::Exchange(message) => self.exchange(client, &message, failure),
            LinkCommand::Announce { rows, reply } => {
                self.announce(client, &rows, reply, failure);
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
            if within(request.send().promise).await.is_err() {
                failure.notify_one();
            }
        });
    }

    fn announce(
        &self,
        client: &peer_capnp::peer::Client,
        rows: &[TableRow],
        reply: oneshot::Sender<u64>,
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
            let answer = within(request.send().promise).await;
            let version = answer.and_then(|answer| Ok(answer.get()?.get_version()));
            match version {
                Ok(version) => {
                    state.record_answer(version);
                    // The caller may have stopped waiting.
                    let _ = reply.send(version);
                }
                Err(_) => failure.notify_one(),
            }
        });
    }

    fn beat(&self, client: &peer_capnp::peer::Client, failure: &rc::Rc<tokio::sync::Notify>) {
        let request = client.heartbeat_request();
        self.state.record_sent(HEARTBEAT_SIZE);
        let state = rc::Rc::clone(&self.state);
        let failure = rc::Rc::clone(failure);
        actix_rt::spawn(async move {
            let answer = within(request.send().promise).await;
            match answer.and_then(|answer| Ok(answer.get()?.get_version())) {
                Ok(version) => state.record_answer(version),
                Err(_) => failure.notify_one(),
            }
        });
    }

    /// Drops commands while the peer cannot be reached.
    async fn discard_for(&mut self, delay: time::Duration) -> TalkEnd {
        let deadline = tokio::time::Instant::now() + delay;
        loop {
            tokio::select! {
                command = self.inbox.recv() => {
                    if command.is_none() {
                        return TalkEnd::Closed;
                    }
                }
                () = tokio::time::sleep_until(deadline) => return TalkEnd::Broken,
            }
        }
    }
}

/// Asks the process at `address` for the configuration that it has in force.
///
/// # Errors
///
/// Fails if the process does not answer in time or its answer is malformed.
pub async fn fetch_config(address: net::SocketAddr) -> capnp::Result<ConfigCopy> {
    let client = open_client(address).await?;
    let answer = within(client.fetch_request().send().promise).await?;
    let answer = answer.get()?;
    let version = answer.get_version();
    let rows = convert::read_rows(answer.get_rows()?).map_err(broken)?;
    Ok(ConfigCopy { version, rows })
}

/// Opens a connection; its task ends once the client is dropped.
async fn open_client(address: net::SocketAddr) -> capnp::Result<peer_capnp::peer::Client> {
    let connecting = tokio::net::TcpStream::connect(address);
    let stream = tokio::time::timeout(CALL_TIMEOUT, connecting)
        .await
        .map_err(broken)??;
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    actix_rt::spawn(async move {
        // The next call on a broken connection fails and opens a new one.
        let _ = system.await;
    });
    Ok(client)
}

/// Waits for the answer to a call, for a bounded time.
async fn within<T>(promise: impl Future<Output = capnp::Result<T>>) -> capnp::Result<T> {
    match tokio::time::timeout(CALL_TIMEOUT, promise).await {
        Ok(answer) => answer,
        Err(error) => Err(broken(error)),
    }
}

fn broken(reason: impl ToString) -> capnp::Error {
    capnp::Error::disconnected(reason.to_string())
}

/// Returns a random time between half of `delay` and all of it.
pub(crate) fn jittered(delay: time::Duration) -> time::Duration {
    delay.mul_f64(rand::random_range(0.5..=1.0))
}
