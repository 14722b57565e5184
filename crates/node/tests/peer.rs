//! Links between entry processes over loopback.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use redwing_model::NodeIncarnation;
use redwing_node::link::{self, PeerAddress, PeerLinks};
use redwing_node::peer::{self, ConfigSnapshot, PeerHandler};
use redwing_policy::PeerMessage;
use redwing_provider::{RowKey, TableRow};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Handler that records the calls of peers.
struct RecordingHandler {
    own: NodeIncarnation,
    ended: RefCell<Vec<NodeIncarnation>>,
    config: RefCell<ConfigSnapshot>,
    ignores_rows: Cell<bool>,
    messages: RefCell<Vec<(NodeIncarnation, u64)>>,
}

impl RecordingHandler {
    fn new(own: &str) -> Rc<Self> {
        Rc::new(Self {
            own: own.parse().unwrap(),
            ended: RefCell::default(),
            config: RefCell::default(),
            ignores_rows: Cell::new(false),
            messages: RefCell::default(),
        })
    }
}

impl PeerHandler for RecordingHandler {
    fn own(&self) -> Option<NodeIncarnation> {
        Some(self.own.clone())
    }

    fn is_ended(&self, peer: &NodeIncarnation) -> bool {
        self.ended.borrow().contains(peer)
    }

    fn config(&self) -> ConfigSnapshot {
        self.config.borrow().clone()
    }

    fn config_version(&self) -> u64 {
        self.config.borrow().version
    }

    fn exchange(&self, from: &NodeIncarnation, message: PeerMessage) {
        let entry = (from.clone(), message.sequence);
        self.messages.borrow_mut().push(entry);
    }

    fn announce(&self, rows: Vec<TableRow>) {
        if self.ignores_rows.get() {
            return;
        }
        let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
        *self.config.borrow_mut() = ConfigSnapshot { version, rows };
    }
}

/// Running peer server; dropping it closes the listener.
struct TestServer {
    handler: Rc<RecordingHandler>,
    address: PeerAddress,
    _stop: watch::Sender<()>,
}

async fn serve_at(own: &str, address: &str) -> TestServer {
    let handler = RecordingHandler::new(own);
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(());
    actix_rt::spawn(peer::serve(listener, handler.clone(), stopped));
    TestServer {
        address: PeerAddress {
            incarnation: handler.own.clone(),
            address,
        },
        handler,
        _stop: stop,
    }
}

async fn serve(own: &str) -> TestServer {
    serve_at(own, "127.0.0.1:0").await
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting: {what}");
}

fn message(sequence: u64) -> PeerMessage {
    PeerMessage {
        sequence,
        ..PeerMessage::default()
    }
}

fn row(version: u64) -> TableRow {
    TableRow {
        key: RowKey::new("config/head"),
        version,
        value: Some("{}".to_owned()),
    }
}

fn links(own: &str, peers: &[&TestServer]) -> PeerLinks {
    let links = PeerLinks::new(own.parse().unwrap());
    let peers: Vec<PeerAddress> = peers.iter().map(|peer| peer.address.clone()).collect();
    links.set_peers(&peers);
    links
}

async fn wait_connected(links: &PeerLinks, count: usize) {
    eventually("all links are up", || {
        links.reachable(WAIT_TIMEOUT).len() == count
    })
    .await;
}

#[actix_rt::test]
async fn messages_arrive_in_order() {
    let server = serve("entry-b.2").await;
    let links = links("entry-a.1", &[&server]);
    wait_connected(&links, 1).await;
    for sequence in 1..=50 {
        links.send(&server.handler.own, message(sequence));
    }
    let messages = &server.handler.messages;
    eventually("all messages arrive", || messages.borrow().len() == 50).await;
    let expected: Vec<u64> = (1..=50).collect();
    let arrived: Vec<u64> = messages.borrow().iter().map(|entry| entry.1).collect();
    assert_eq!(arrived, expected);
    assert_eq!(messages.borrow()[0].0, "entry-a.1".parse().unwrap());
    assert!(links.bytes_sent() > 0);
}

#[actix_rt::test]
async fn an_ended_caller_is_refused() {
    let server = serve("entry-b.2").await;
    let ended = "entry-a.1".parse().unwrap();
    server.handler.ended.borrow_mut().push(ended);
    let old = links("entry-a.1", &[&server]);
    let new = links("entry-a.3", &[&server]);
    wait_connected(&new, 1).await;
    old.send(&server.handler.own, message(1));
    new.send(&server.handler.own, message(2));
    let messages = &server.handler.messages;
    eventually("the message arrives", || !messages.borrow().is_empty()).await;
    assert_eq!(messages.borrow()[0].1, 2);
    assert!(old.reachable(WAIT_TIMEOUT).is_empty());
}

#[actix_rt::test]
async fn calls_of_an_incarnation_that_ends_later_are_refused() {
    let server = serve("entry-b.2").await;
    let links = links("entry-a.1", &[&server]);
    wait_connected(&links, 1).await;
    server
        .handler
        .ended
        .borrow_mut()
        .push("entry-a.1".parse().unwrap());
    links.send(&server.handler.own, message(1));
    assert_eq!(links.announce(&[row(4)], 4).await, 0);
    assert!(server.handler.messages.borrow().is_empty());
}

#[actix_rt::test]
async fn a_message_for_an_earlier_incarnation_is_refused() {
    let server = serve("entry-b.2").await;
    let earlier = PeerAddress {
        incarnation: "entry-b.1".parse().unwrap(),
        address: server.address.address,
    };
    let links = PeerLinks::new("entry-a.1".parse().unwrap());
    links.set_peers(std::slice::from_ref(&earlier));
    links.send(&earlier.incarnation, message(1));
    let other_links = self::links("entry-c.1", &[&server]);
    wait_connected(&other_links, 1).await;
    other_links.send(&server.handler.own, message(2));
    let messages = &server.handler.messages;
    eventually("the message for the current incarnation arrives", || {
        !messages.borrow().is_empty()
    })
    .await;
    assert_eq!(messages.borrow()[0].1, 2);
    assert!(links.reachable(WAIT_TIMEOUT).is_empty());
}

#[actix_rt::test]
async fn announcements_count_only_peers_that_have_the_version_in_force() {
    let first = serve("entry-b.1").await;
    let second = serve("entry-c.1").await;
    second.handler.ignores_rows.set(true);
    let links = links("entry-a.1", &[&first, &second]);
    wait_connected(&links, 2).await;
    assert_eq!(links.announce(&[row(7)], 7).await, 1);
    assert_eq!(first.handler.config_version(), 7);
}

#[actix_rt::test]
async fn a_starting_process_fetches_the_configuration_without_greet() {
    let server = serve("entry-b.2").await;
    server.handler.announce(vec![row(9)]);
    let snapshot = link::fetch_config(server.address.address).await.unwrap();
    assert_eq!((snapshot.version, snapshot.rows), (9, vec![row(9)]));
}

#[actix_rt::test]
async fn a_link_reconnects_after_a_broken_connection() {
    let server = serve("entry-b.2").await;
    let links = links("entry-a.1", &[&server]);
    wait_connected(&links, 1).await;
    let address: SocketAddr = server.address.address;
    drop(server);
    eventually("the link breaks", || {
        links.reachable(Duration::from_millis(700)).is_empty()
    })
    .await;
    let restarted = serve_at("entry-b.2", &address.to_string()).await;
    eventually("the link is up again", || {
        links.reachable(Duration::from_millis(700)).len() == 1
    })
    .await;
    links.send(&restarted.handler.own, message(3));
    eventually("a message arrives", || {
        !restarted.handler.messages.borrow().is_empty()
    })
    .await;
}

#[actix_rt::test]
async fn a_link_to_a_member_that_left_is_closed() {
    let server = serve("entry-b.2").await;
    let links = links("entry-a.1", &[&server]);
    wait_connected(&links, 1).await;
    links.set_peers(&[]);
    links.send(&server.handler.own, message(1));
    assert_eq!(links.peer_count(), Some(0));
    assert!(links.reachable(WAIT_TIMEOUT).is_empty());
}
