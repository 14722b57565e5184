//! Links between entry processes over loopback.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use redwing_model::NodeIncarnation;
use redwing_node::link::{self, PeerAddress, PeerMesh};
use redwing_node::peer::{self, ConfigCopy, PeerHandler};
use redwing_policy::PeerMessage;
use redwing_provider::{RowKey, TableRow};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);

/// Process that records what peers tell it.
struct RecordingHandler {
    own: NodeIncarnation,
    ended: RefCell<Vec<NodeIncarnation>>,
    config: RefCell<ConfigCopy>,
    refuses_rows: Cell<bool>,
    messages: RefCell<Vec<(NodeIncarnation, u64)>>,
}

impl RecordingHandler {
    fn new(own: &str) -> Rc<Self> {
        Rc::new(Self {
            own: own.parse().unwrap(),
            ended: RefCell::default(),
            config: RefCell::default(),
            refuses_rows: Cell::new(false),
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

    fn config(&self) -> ConfigCopy {
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
        if self.refuses_rows.get() {
            return;
        }
        let version = rows.iter().map(|row| row.version).max().unwrap_or_default();
        *self.config.borrow_mut() = ConfigCopy { version, rows };
    }
}

/// Listening process; its listener closes when this is dropped.
struct ServedHandler {
    handler: Rc<RecordingHandler>,
    address: PeerAddress,
    _stop: watch::Sender<()>,
}

async fn serve_at(own: &str, address: &str) -> ServedHandler {
    let handler = RecordingHandler::new(own);
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(());
    actix_rt::spawn(peer::serve(listener, handler.clone(), stopped));
    ServedHandler {
        address: PeerAddress {
            incarnation: handler.own.clone(),
            address,
        },
        handler,
        _stop: stop,
    }
}

async fn serve(own: &str) -> ServedHandler {
    serve_at(own, "127.0.0.1:0").await
}

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "never happened: {what}");
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

fn mesh(own: &str, peers: &[&ServedHandler]) -> PeerMesh {
    let mesh = PeerMesh::new(own.parse().unwrap());
    let peers: Vec<PeerAddress> = peers.iter().map(|peer| peer.address.clone()).collect();
    mesh.set_peers(&peers);
    mesh
}

async fn connected(mesh: &PeerMesh, count: usize) {
    eventually("all links are up", || {
        mesh.reachable(PATIENCE).len() == count
    })
    .await;
}

#[actix_rt::test]
async fn messages_arrive_in_order() {
    let served = serve("entry-b.2").await;
    let mesh = mesh("entry-a.1", &[&served]);
    connected(&mesh, 1).await;
    for sequence in 1..=50 {
        mesh.send(&served.handler.own, message(sequence));
    }
    let messages = &served.handler.messages;
    eventually("all messages arrive", || messages.borrow().len() == 50).await;
    let expected: Vec<u64> = (1..=50).collect();
    let arrived: Vec<u64> = messages.borrow().iter().map(|entry| entry.1).collect();
    assert_eq!(arrived, expected);
    assert_eq!(messages.borrow()[0].0, "entry-a.1".parse().unwrap());
    assert!(mesh.bytes_sent() > 0);
}

#[actix_rt::test]
async fn an_ended_caller_is_refused() {
    let served = serve("entry-b.2").await;
    let ended = "entry-a.1".parse().unwrap();
    served.handler.ended.borrow_mut().push(ended);
    let old = mesh("entry-a.1", &[&served]);
    let new = mesh("entry-a.3", &[&served]);
    connected(&new, 1).await;
    old.send(&served.handler.own, message(1));
    new.send(&served.handler.own, message(2));
    let messages = &served.handler.messages;
    eventually("the message arrives", || !messages.borrow().is_empty()).await;
    assert_eq!(messages.borrow()[0].1, 2);
    assert!(old.reachable(PATIENCE).is_empty());
}

#[actix_rt::test]
async fn an_incarnation_that_ends_later_is_cut_off() {
    let served = serve("entry-b.2").await;
    let mesh = mesh("entry-a.1", &[&served]);
    connected(&mesh, 1).await;
    served
        .handler
        .ended
        .borrow_mut()
        .push("entry-a.1".parse().unwrap());
    mesh.send(&served.handler.own, message(1));
    assert_eq!(mesh.announce(&[row(4)], 4).await, 0);
    assert!(served.handler.messages.borrow().is_empty());
}

#[actix_rt::test]
async fn a_message_for_an_earlier_incarnation_is_not_taken() {
    let served = serve("entry-b.2").await;
    let earlier = PeerAddress {
        incarnation: "entry-b.1".parse().unwrap(),
        address: served.address.address,
    };
    let mesh = PeerMesh::new("entry-a.1".parse().unwrap());
    mesh.set_peers(std::slice::from_ref(&earlier));
    mesh.send(&earlier.incarnation, message(1));
    let probe = self::mesh("entry-c.1", &[&served]);
    connected(&probe, 1).await;
    probe.send(&served.handler.own, message(2));
    let messages = &served.handler.messages;
    eventually("the probe arrives", || !messages.borrow().is_empty()).await;
    assert_eq!(messages.borrow()[0].1, 2);
    assert!(mesh.reachable(PATIENCE).is_empty());
}

#[actix_rt::test]
async fn announcements_count_only_peers_that_have_the_version_in_force() {
    let first = serve("entry-b.1").await;
    let second = serve("entry-c.1").await;
    second.handler.refuses_rows.set(true);
    let mesh = mesh("entry-a.1", &[&first, &second]);
    connected(&mesh, 2).await;
    assert_eq!(mesh.announce(&[row(7)], 7).await, 1);
    assert_eq!(first.handler.config_version(), 7);
}

#[actix_rt::test]
async fn a_starting_process_reads_the_configuration_without_greeting() {
    let served = serve("entry-b.2").await;
    served.handler.announce(vec![row(9)]);
    let copy = link::fetch_config(served.address.address).await.unwrap();
    assert_eq!((copy.version, copy.rows), (9, vec![row(9)]));
}

#[actix_rt::test]
async fn a_link_outlives_a_broken_connection() {
    let served = serve("entry-b.2").await;
    let mesh = mesh("entry-a.1", &[&served]);
    connected(&mesh, 1).await;
    let address: SocketAddr = served.address.address;
    drop(served);
    eventually("the link breaks", || {
        mesh.reachable(Duration::from_millis(700)).is_empty()
    })
    .await;
    let again = serve_at("entry-b.2", &address.to_string()).await;
    eventually("the link is up again", || {
        mesh.reachable(Duration::from_millis(700)).len() == 1
    })
    .await;
    mesh.send(&again.handler.own, message(3));
    eventually("a message arrives", || {
        !again.handler.messages.borrow().is_empty()
    })
    .await;
}

#[actix_rt::test]
async fn a_link_to_a_member_that_left_is_closed() {
    let served = serve("entry-b.2").await;
    let mesh = mesh("entry-a.1", &[&served]);
    connected(&mesh, 1).await;
    mesh.set_peers(&[]);
    mesh.send(&served.handler.own, message(1));
    assert_eq!(mesh.peer_count(), Some(0));
    assert!(mesh.reachable(PATIENCE).is_empty());
}
