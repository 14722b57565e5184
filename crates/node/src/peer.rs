//! Calls from other entry processes.

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

/// Configuration rows with the version of the configuration they make up.
#[derive(Clone, Debug, Default)]
pub struct ConfigCopy {
    /// Version of the configuration.
    pub version: u64,
    /// All its rows.
    pub rows: Vec<TableRow>,
}

/// What the process does with calls from peers.
pub trait PeerHandler {
    /// Returns the incarnation of this process, once it is registered.
    fn own(&self) -> Option<NodeIncarnation>;

    /// Returns whether the incarnation has ended or was replaced.
    fn is_ended(&self, peer: &NodeIncarnation) -> bool;

    /// Returns the configuration in force.
    fn config(&self) -> ConfigCopy;

    /// Returns the version of the configuration in force.
    fn config_version(&self) -> u64;

    /// Takes a scheduler message.
    fn exchange(&self, from: &NodeIncarnation, message: PeerMessage);

    /// Takes configuration rows that the table has accepted.
    fn announce(&self, rows: Vec<TableRow>);
}

/// Serves calls on `listener` until `stop` is closed.
///
/// # Errors
///
/// Fails if the listener cannot accept any more.
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
        // The peer reconnects after a broken connection; nothing else is lost.
        _ = system => {}
        _ = stop.changed() => {}
    }
}

/// Calls of one connection; the first must be a greeting.
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

    /// Returns the peer that greeted, unless it has ended since.
    fn greeted(&self) -> capnp::Result<NodeIncarnation> {
        let peer = self.peer.borrow().clone();
        let peer = peer.ok_or_else(|| refusal("the connection has not been greeted"))?;
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
            return Err(refusal("the protocol version differs"));
        }
        let from = convert::read_incarnation(params.get_from()?).map_err(refusal)?;
        self.check_present(&from)?;
        let own = self.handler.own();
        let own = own.ok_or_else(|| refusal("the process is not registered yet"))?;
        let mut reply = results.get();
        reply.set_protocol(PROTOCOL_VERSION);
        convert::write_incarnation(&own, reply.init_own());
        *self.peer.borrow_mut() = Some(from);
        Ok(())
    }

    async fn exchange(
        self: capability::Rc<Self>,
        params: peer_capnp::peer::ExchangeParams,
        _results: peer_capnp::peer::ExchangeResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let from = self.greeted()?;
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
        self.greeted()?;
        let rows = convert::read_rows(params.get_rows()?).map_err(refusal)?;
        self.handler.announce(rows);
        results.get().set_version(self.handler.config_version());
        Ok(())
    }

    /// Answers without a greeting too: a process that starts while the table
    /// is down has no incarnation yet.
    async fn fetch(
        self: capability::Rc<Self>,
        _params: peer_capnp::peer::FetchParams,
        mut results: peer_capnp::peer::FetchResults,
    ) -> capnp::Result<()> {
        let copy = self.handler.config();
        let mut reply = results.get();
        reply.set_version(copy.version);
        let length = convert::wire_u32(copy.rows.len());
        convert::write_rows(&copy.rows, reply.init_rows(length));
        Ok(())
    }

    async fn heartbeat(
        self: capability::Rc<Self>,
        _params: peer_capnp::peer::HeartbeatParams,
        mut results: peer_capnp::peer::HeartbeatResults,
    ) -> capnp::Result<()> {
        self.greeted()?;
        results.get().set_version(self.handler.config_version());
        Ok(())
    }
}

/// Returns the error that refuses a call for good.
fn refusal(reason: impl ToString) -> capnp::Error {
    capnp::Error::failed(reason.to_string())
}
