//! Configuration desks of several processes over one stand-in platform.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use redwing_model::admin::{ChangeKind, ChangeResponse, MemberStatus};
use redwing_model::{AccessKey, CustomerName, KeyHash, NodeId, NodeIncarnation};
use redwing_node::NodeSnapshot;
use redwing_node::audit::{AuditLog, AuditSettings};
use redwing_node::config::{ChangeDraft, ChangeId, ConfigDesk, DeskSettings, PeerSpread};
use redwing_node::peer::ConfigCopy;
use redwing_provider::backoff::BackoffSettings;
use redwing_provider::{ClientSettings, LocalFuture, TableClient, TableRow};
use redwing_standin::MemoryPlatform;
use tokio::sync::watch;

/// Pause between attempts, short so that tests are fast.
const PAUSE: time::Duration = time::Duration::from_micros(100);

/// Message that was delayed on its way.
pub(crate) type DelayedMessage = (usize, Vec<TableRow>);

/// Processes of one fleet.
pub(crate) struct TestFleet {
    pub(crate) platform: MemoryPlatform,
    pub(crate) nodes: Vec<TestNode>,
    pub(crate) links: rc::Rc<cell::RefCell<LinkTable>>,
}

/// One process of the fleet.
pub(crate) struct TestNode {
    pub(crate) platform: MemoryPlatform,
    pub(crate) client: TableClient,
    pub(crate) desk: rc::Rc<ConfigDesk>,
}

/// Who reaches whom, and what was delayed.
#[derive(Default)]
pub(crate) struct LinkTable {
    pub(crate) desks: Vec<rc::Weak<ConfigDesk>>,
    pub(crate) cut: Vec<bool>,
    pub(crate) delays: bool,
    pub(crate) delayed: Vec<DelayedMessage>,
}

/// Spreads by calling the other desks directly.
struct DirectSpread {
    own: usize,
    links: rc::Rc<cell::RefCell<LinkTable>>,
}

impl DirectSpread {
    fn reached(&self) -> Vec<(usize, rc::Rc<ConfigDesk>)> {
        let links = self.links.borrow();
        let open = |peer: &usize| *peer != self.own && !links.cut[*peer] && !links.cut[self.own];
        let peers = (0..links.desks.len()).filter(open);
        peers
            .filter_map(|peer| Some((peer, links.desks[peer].upgrade()?)))
            .collect()
    }
}

impl PeerSpread for DirectSpread {
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize> {
        Box::pin(async move {
            let mut informed = 0;
            for (peer, desk) in self.reached() {
                let mut links = self.links.borrow_mut();
                if links.delays {
                    links.delayed.push((peer, rows.to_vec()));
                    continue;
                }
                drop(links);
                desk.announce(rows);
                informed += usize::from(desk.version() >= version);
            }
            informed
        })
    }

    fn peer_count(&self) -> Option<usize> {
        Some(self.links.borrow().desks.len() - 1)
    }

    fn reachable(&self, _: time::Duration) -> usize {
        self.reached().len()
    }

    fn highest_version(&self) -> u64 {
        let versions = self.reached().into_iter().map(|(_, desk)| desk.version());
        versions.max().unwrap_or(0)
    }

    fn members(&self) -> Vec<MemberStatus> {
        Vec::new()
    }

    fn fetch_copies(&self) -> LocalFuture<'_, Vec<ConfigCopy>> {
        Box::pin(async { self.reached().iter().map(|(_, desk)| desk.copy()).collect() })
    }
}

impl TestFleet {
    pub(crate) fn new(size: usize) -> Self {
        let links = rc::Rc::new(cell::RefCell::new(LinkTable {
            cut: vec![false; size],
            ..LinkTable::default()
        }));
        let mut fleet = Self {
            platform: MemoryPlatform::default(),
            nodes: Vec::new(),
            links,
        };
        for number in 0..size {
            let node = fleet.start(number, 1);
            let desk = rc::Rc::downgrade(&node.desk);
            fleet.links.borrow_mut().desks.push(desk);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Replaces a process by a new one, which knows nothing.
    pub(crate) fn restart(&mut self, number: usize) {
        let node = self.start(number, 2);
        let faults = self.nodes[number].platform.faults();
        node.platform.set_faults(|plan| *plan = faults);
        self.links.borrow_mut().desks[number] = rc::Rc::downgrade(&node.desk);
        self.nodes[number] = node;
    }

    fn start(&self, number: usize, epoch: u64) -> TestNode {
        let platform = self.platform.new_client();
        let node = NodeId::new(&format!("node-{number}")).unwrap();
        let audit = AuditLog::new(
            NodeIncarnation { node, epoch },
            platform.services().objects,
            AuditSettings::default(),
        );
        let spread = DirectSpread {
            own: number,
            links: self.links.clone(),
        };
        let client = TableClient::new(platform.services().table, fast_client());
        let (snapshots, _) = watch::channel(sync::Arc::new(NodeSnapshot::default()));
        let settings = DeskSettings {
            spread_limit: PAUSE * 2,
            spread_interval: PAUSE,
            trust_limit: time::Duration::from_millis(500),
            bootstrap: Some(KeyHash::of("bootstrap-token")),
            ..DeskSettings::default()
        };
        let (spread, snapshots) = (rc::Rc::new(spread), rc::Rc::new(snapshots));
        let desk = ConfigDesk::new(client.clone(), spread, snapshots, audit, settings);
        let desk = rc::Rc::new(desk);
        TestNode {
            platform,
            client,
            desk,
        }
    }
}

/// Settings of a client that neither waits long nor gives up early.
pub(crate) fn fast_client() -> ClientSettings {
    let mut settings = ClientSettings {
        commit_interval: PAUSE,
        read_interval: PAUSE,
        resolve_timeout: time::Duration::ZERO,
        backoff: BackoffSettings {
            initial_delay: PAUSE,
            max_delay: PAUSE,
        },
        ..ClientSettings::default()
    };
    settings.breaker.failure_threshold = u32::MAX;
    settings
}

/// Returns a declaration in which the customer `sales` has this limit.
pub(crate) fn declaration(limit: u32) -> String {
    format!(
        "[pools.a]\nvms = 4\nmax-unavailable = 1\n\
         [queues.q]\npool = \"a\"\n[teams.sales]\nlimit = {limit}\n"
    )
}

pub(crate) fn draft(id: &str, kind: ChangeKind) -> ChangeDraft {
    ChangeDraft {
        id: id.parse::<ChangeId>().unwrap(),
        id_chosen: true,
        operator: "alice".to_owned(),
        base_version: None,
        kind,
        declaration: None,
        at_millis: 0,
    }
}

pub(crate) fn apply_draft(id: &str, limit: u32, base: Option<u64>) -> ChangeDraft {
    ChangeDraft {
        base_version: base,
        declaration: Some(declaration(limit)),
        ..draft(id, ChangeKind::Apply)
    }
}

pub(crate) fn grant_draft(id: &str, key: &AccessKey) -> ChangeDraft {
    let kind = ChangeKind::GrantKey {
        hash: key.hash(),
        customer: CustomerName::new("sales").unwrap(),
        queue: None,
    };
    draft(id, kind)
}

impl TestNode {
    pub(crate) async fn apply(&self, id: &str, limit: u32, base: Option<u64>) -> ChangeResponse {
        self.desk.change(&apply_draft(id, limit, base)).await
    }

    /// Returns the number of calls of the table so far.
    pub(crate) fn calls(&self) -> u64 {
        let counts = self.client.counts().into_iter();
        counts.map(|count| count.commits + count.reads).sum()
    }

    /// Returns the limit of the customer `sales` in force here.
    pub(crate) fn limit(&self) -> Option<u32> {
        let view = self.desk.view();
        let customer = view.declaration.customers.values().next()?;
        Some(customer.limit)
    }
}
