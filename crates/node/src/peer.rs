//! Server for calls from other entry processes.

use std::cell::RefCell;
use std::io;
use std::rc;

use capnp::capability;
use capnp_rpc::twoparty;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp};
use futures_util::AsyncReadExt;
use redwing_model::NodeIncarnation;
use redwing_policy::PeerMessage;
use redwing_protocol::{PROTOCOL_VERSION, convert, peer_capnp};
use redwing_provider::TableRow;
use tokio::net;
use tokio::sync::watch;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Rows of the configuration at one version.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: u64,
    /// All rows of the configuration.
    pub rows: Vec<TableRow>,
}

/// Handler of calls from peers.
pub trait PeerHandler {
    /// Returns the incarnation of this process, once it is registered.
    fn own(&self) -> Option<NodeIncarnation>;

    /// Returns whether the incarnation has ended or was replaced.
    fn is_ended(&self, peer: &NodeIncarnation) -> bool;

    /// Returns the rows of the configuration in force.
    fn config(&self) -> ConfigSnapshot;

    /// Returns the version of the configuration in force.
    fn config_version(&self) -> u64;

    /// Handles a scheduler message.
    fn exchange(&self, from: &NodeIncarnation, message: PeerMessage);

    /// Installs committed configuration rows.
    fn announce(&self, rows: Vec<TableRow>);
}

/// Serves calls on `listener` until `stop` is closed.
///
/// # Errors
///
/// Fails if the listener can no longer accept connections.
pub async fn serve(
    listener: net::TcpListener,
    handler: rc::Rc<dyn PeerHandler>,
    mut stop: watch::Receiver<()>,
) -> io::Result<()> {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted?.0,
            _ = stop.changed() => return Ok(()),
        };
        let service = PeerService::new(rc::Rc::clone(&handler));
        actix_rt::spawn(serve_connection(stream, service, stop.clone()));
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection(
    stream: net::TcpStream,
    service: PeerService,
    mut stop: watch::Receiver<()>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.compat().split();
    let side = rpc_twoparty_capnp::Side::Server;
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    let client: peer_capnp::peer::Client = capnp_rpc::new_client(service);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        // The peer reconnects after a broken connection; no state is lost with it.
        _ = system => {}
        _ = stop.changed() => {}
    }
}

/// Service for the calls of one connection; `greet` must be called first.
struct PeerService {
    handler: rc::Rc<dyn PeerHandler>,
    peer: RefCell<Option<NodeIncarnation>>,
}

impl PeerService {
    fn new(handler: rc::Rc<dyn PeerHandler>) -> Self {
        Self {
            handler,
            peer: RefCell::new(None),
        }
    }

    /// Returns the peer that called `greet`, unless it has ended since.
    fn greeted_peer(&self) -> capnp::Result<NodeIncarnation> {
        let peer = self.peer.borrow().clone();
        let peer = peer.ok_or_else(|| refusal("`greet` has not been called on the connection"))?;
        self.check_present(&peer)?;
        Ok(peer)
    }

    fn check_present(&self, peer: &NodeIncarnation) -> capnp::Result<()> {
        if self.handler.is_ended(peer) {
            return Err(refusal("the calling incarnation has ended"));
        }
        Ok(())
    }
}

impl peer_capnp::peer::Server for PeerService {
    async fn greet(
        self: capability::Rc<Self>,
        params: peer_capnp::peer::GreetParams,
        mut results: peer_capnp::peer::GreetResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        if params.get_protocol() != PROTOCOL_VERSION {
            return Err(refusal("the protocol versions differ"));
        }
        let from = convert::read_incarnation(params.get_from()?).map_err(refusal)?;
        self.check_present(&from)?;
        let own = self.handler.own();
        let own = own.ok_or_else(|| refusal("the process is not registered yet"))?;
        let mut response = results.get();
        response.set_protocol(PROTOCOL_VERSION);
        convert::write_incarnation(&own, response.init_own());
        *self.peer.borrow_mut() = Some(from);
        Ok(())
    }

    async fn exchange(
        self: capability::Rc<Self>,
        params: peer_capnp::peer::ExchangeParams,
        _results: peer_capnp::peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let from = self.greeted_peer()?;
        let to = convert::read_incarnation(params.get_to()?).map_err(refusal)?;
        if self.handler.own() != Some(to) {
            return Err(refusal("the message is for another incarnation"));
        }
        let message = convert::read_message(params.get_message()?).map_err(refusal)?;
        self.handler.exchange(&from, message);
        Ok(())
    }

    async fn announce(
        self: capability::Rc<Self>,
        params: peer_capnp::peer::AnnounceParams,
        mut results: peer_capnp::peer::AnnounceResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        self.greeted_peer()?;
        let rows = convert::read_rows(params.get_rows()?).map_err(refusal)?;
        self.handler.announce(rows);
        results.get().set_version(self.handler.config_version());
        Ok(())
    }

    /// Does not require `greet`: a process that starts while the table is down
    /// has no incarnation yet.
    async fn fetch(
        self: capability::Rc<Self>,
        _params: peer_capnp::peer::FetchParams,
        mut results: peer_capnp::peer::FetchResults,
    ) -> capnp::Result<()> {
        let snapshot = self.handler.config();
        let mut response = results.get();
        response.set_version(snapshot.version);
        let length = convert::wire_u32(snapshot.rows.len());
        convert::write_rows(&snapshot.rows, response.init_rows(length));
        Ok(())
    }

    async fn heartbeat(
        self: capability::Rc<Self>,
        _params: peer_capnp::peer::HeartbeatParams,
        mut results: peer_capnp::peer::HeartbeatResults,
    ) -> capnp::Result<()> {
        self.greeted_peer()?;
        results.get().set_version(self.handler.config_version());
        Ok(())
    }
}

/// Returns the error for a call that must not be retried.
fn refusal(reason: impl ToString) -> capnp::Error {
    capnp::Error::failed(reason.to_string())
}
