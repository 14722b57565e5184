//! Configuration services of several processes over one stand-in platform.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use redwing_model::admin::{ChangeKind, ChangeResponse, MemberStatus};
use redwing_model::{AccessKey, CustomerName, KeyHash, NodeId, NodeIncarnation};
use redwing_node::NodeSnapshot;
use redwing_node::audit::{AuditLog, AuditSettings};
use redwing_node::config::{
    ChangeDraft, ChangeId, ConfigPropagation, ConfigService, ConfigSettings,
};
use redwing_node::peer::ConfigSnapshot;
use redwing_provider::backoff::BackoffSettings;
use redwing_provider::{ClientSettings, LocalFuture, TableClient, TableRow};
use redwing_standin::MemoryPlatform;
use tokio::sync::watch;

/// Time between attempts, short to keep the tests fast.
const RETRY_INTERVAL: time::Duration = time::Duration::from_micros(100);

/// Delayed message: index of the receiver and the rows.
pub(crate) type DelayedMessage = (usize, Vec<TableRow>);

/// Processes of one fleet.
pub(crate) struct TestFleet {
    pub(crate) platform: MemoryPlatform,
    pub(crate) nodes: Vec<TestNode>,
    pub(crate) network: rc::Rc<cell::RefCell<TestNetwork>>,
}

/// One process of the fleet.
pub(crate) struct TestNode {
    pub(crate) platform: MemoryPlatform,
    pub(crate) client: TableClient,
    pub(crate) config: rc::Rc<ConfigService>,
}

/// Network between the processes, with isolated ones and delayed messages.
#[derive(Default)]
pub(crate) struct TestNetwork {
    pub(crate) services: Vec<rc::Weak<ConfigService>>,
    pub(crate) isolated: Vec<bool>,
    pub(crate) delays_messages: bool,
    pub(crate) delayed: Vec<DelayedMessage>,
}

/// Propagation that calls the other services directly.
struct DirectPropagation {
    own: usize,
    network: rc::Rc<cell::RefCell<TestNetwork>>,
}

impl DirectPropagation {
    fn reachable_peers(&self) -> Vec<(usize, rc::Rc<ConfigService>)> {
        let network = self.network.borrow();
        let open = |peer: &usize| {
            *peer != self.own && !network.isolated[*peer] && !network.isolated[self.own]
        };
        let peers = (0..network.services.len()).filter(open);
        peers
            .filter_map(|peer| Some((peer, network.services[peer].upgrade()?)))
            .collect()
    }
}

impl ConfigPropagation for DirectPropagation {
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize> {
        Box::pin(async move {
            let mut installed = 0;
            for (peer, config) in self.reachable_peers() {
                let mut network = self.network.borrow_mut();
                if network.delays_messages {
                    network.delayed.push((peer, rows.to_vec()));
                    continue;
                }
                drop(network);
                config.announce(rows);
                installed += usize::from(config.version() >= version);
            }
            installed
        })
    }

    fn peer_count(&self) -> Option<usize> {
        Some(self.network.borrow().services.len() - 1)
    }

    fn reachable(&self, _: time::Duration) -> usize {
        self.reachable_peers().len()
    }

    fn highest_version(&self) -> u64 {
        let versions = self
            .reachable_peers()
            .into_iter()
            .map(|(_, config)| config.version());
        versions.max().unwrap_or(0)
    }

    fn members(&self) -> Vec<MemberStatus> {
        Vec::new()
    }

    fn fetch_snapshots(&self) -> LocalFuture<'_, Vec<ConfigSnapshot>> {
        Box::pin(async {
            self.reachable_peers()
                .iter()
                .map(|(_, config)| config.config_snapshot())
                .collect()
        })
    }
}

impl TestFleet {
    pub(crate) fn new(size: usize) -> Self {
        let network = rc::Rc::new(cell::RefCell::new(TestNetwork {
            isolated: vec![false; size],
            ..TestNetwork::default()
        }));
        let mut fleet = Self {
            platform: MemoryPlatform::default(),
            nodes: Vec::new(),
            network,
        };
        for number in 0..size {
            let node = fleet.start(number, 1);
            let config = rc::Rc::downgrade(&node.config);
            fleet.network.borrow_mut().services.push(config);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Replaces a process with a new one without any state.
    pub(crate) fn restart(&mut self, number: usize) {
        let node = self.start(number, 2);
        let faults = self.nodes[number].platform.faults();
        node.platform.set_faults(|fault_plan| *fault_plan = faults);
        self.network.borrow_mut().services[number] = rc::Rc::downgrade(&node.config);
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
        let propagation = DirectPropagation {
            own: number,
            network: self.network.clone(),
        };
        let client = TableClient::new(platform.services().table, fast_client());
        let (snapshots, _) = watch::channel(sync::Arc::new(NodeSnapshot::default()));
        let settings = ConfigSettings {
            propagation_timeout: RETRY_INTERVAL * 2,
            propagation_interval: RETRY_INTERVAL,
            freshness_limit: time::Duration::from_millis(500),
            bootstrap: Some(KeyHash::of("bootstrap-token")),
            ..ConfigSettings::default()
        };
        let (propagation, snapshots) = (rc::Rc::new(propagation), rc::Rc::new(snapshots));
        let config = ConfigService::new(client.clone(), propagation, snapshots, audit, settings);
        let config = rc::Rc::new(config);
        TestNode {
            platform,
            client,
            config,
        }
    }
}

/// Settings of a client with short delays and without a circuit breaker.
pub(crate) fn fast_client() -> ClientSettings {
    let mut settings = ClientSettings {
        commit_interval: RETRY_INTERVAL,
        read_interval: RETRY_INTERVAL,
        resolve_timeout: time::Duration::ZERO,
        backoff: BackoffSettings {
            initial_delay: RETRY_INTERVAL,
            max_delay: RETRY_INTERVAL,
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
        self.config.change(&apply_draft(id, limit, base)).await
    }

    /// Returns the number of table calls so far.
    pub(crate) fn calls(&self) -> u64 {
        let counts = self.client.counts().into_iter();
        counts.map(|count| count.commits + count.reads).sum()
    }

    /// Returns the limit of the customer `sales` in force here.
    pub(crate) fn limit(&self) -> Option<u32> {
        let view = self.config.view();
        let customer = view.declaration.customers.values().next()?;
        Some(customer.limit)
    }
}
