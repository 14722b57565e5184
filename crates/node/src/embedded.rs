//! Stand-in fleet of `--platform embedded`.

use std::fmt;
use std::io;
use std::net;
use std::sync;

use actix_server::ServerHandle;
use redwing_model::admin::{ChangeKind, ChangeStatus};
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{
    AccessKey, CustomerName, FleetDeclaration, NodeId, PoolName, QueueName, declaration,
};
use redwing_provider::{
    ListedStatus, ListedVm, PlatformServices, RowKey, TableStore, TableTransaction, VmRole,
};
use redwing_standin::{MemoryPlatform, backend};

use crate::audit;
use crate::config::{ChangeDraft, ChangeId, ConfigService, service};
use crate::error::{Error, Result};
use crate::event;
use crate::fleet;

/// Declaration of the stand-in fleet; the settings replace the number of VMs of
/// the worker pool.
const DECLARATION: &str = r#"
spare-pool = "general"

[pools.general]
vms = 0
max-unavailable = 0

[pools.workers]
vms = 4
max-unavailable = 1

[queues.certificates]
pool = "workers"
shares = { inspectors = 0.6, owners = 0.4 }

[queues.notices]
pool = "workers"
open = true

[teams.inspectors]
limit = 16

[teams.owners]
limit = 16
"#;

/// Pool of the stand-in backend servers.
const WORKER_POOL: &str = "workers";

/// Access key granted in the stand-in fleet.
#[derive(Debug)]
pub struct GrantedKey {
    /// Customer that the key belongs to.
    pub customer: CustomerName,
    /// Queue that the key is valid for.
    pub queue: QueueName,
    /// The key itself.
    pub key: AccessKey,
}

/// Stand-in platform and backend servers in this process.
pub struct EmbeddedFleet {
    /// Stand-in platform.
    pub platform: MemoryPlatform,
    /// Handle that stops the stand-in backend servers.
    pub backends: ServerHandle,
    declaration: FleetDeclaration,
}

impl EmbeddedFleet {
    /// Starts `workers` stand-in backend servers beside the entry VM `node`.
    ///
    /// # Errors
    ///
    /// Fails if a backend server cannot listen.
    pub async fn start(workers: u32, node: &NodeId) -> Result<Self> {
        const STEP: &str = "start stand-in backend servers";
        let mut declaration = declaration::from_toml(DECLARATION)
            .map_err(|error| Error::start("read the embedded declaration", error))?;
        let pool = PoolName::new(WORKER_POOL).map_err(|error| Error::start(STEP, error))?;
        if let Some(target) = declaration.pools.get_mut(&pool) {
            target.vms = workers;
        }
        let platform = MemoryPlatform::default();
        let listeners = bind_listeners(workers).map_err(|error| Error::start(STEP, error))?;
        for (index, listener) in listeners.iter().enumerate() {
            let address = listener
                .local_addr()
                .map_err(|error| Error::start(STEP, error))?;
            let identity = identity(&format!("vm-{}", index + 1), address)?;
            log_event!(info, event::STANDIN_BACKEND, "{} at {address}", identity.vm);
            add_backend_server(&platform, identity, &pool).await?;
        }
        let entry = identity(node.as_str(), (net::Ipv4Addr::LOCALHOST, 0).into())?;
        put_vm(&platform, entry, VmRole::Entry(node.clone()));
        platform.skip_list_lag();
        let state = sync::Arc::new(backend::BackendState::default());
        let (server, backends) =
            backend::start(listeners, state).map_err(|error| Error::start(STEP, error))?;
        actix_rt::spawn(server);
        Ok(Self {
            platform,
            backends,
            declaration,
        })
    }

    /// Returns the services of the platform.
    pub fn services(&self) -> PlatformServices {
        self.platform.services()
    }

    /// Applies the declaration and grants a key for each share.
    ///
    /// # Errors
    ///
    /// Fails if a change is not accepted.
    pub async fn provision(&self, config_service: &ConfigService) -> Result<Vec<GrantedKey>> {
        let text = redwing_model::to_toml(&self.declaration)
            .map_err(|error| Error::start("write the embedded declaration", error))?;
        change(config_service, ChangeKind::Apply, Some(text)).await?;
        let mut keys = Vec::new();
        for (queue, target) in &self.declaration.queues {
            for customer in target.shares.keys() {
                let key = AccessKey::generate();
                let kind = ChangeKind::GrantKey {
                    hash: key.hash(),
                    customer: customer.clone(),
                    queue: Some(queue.clone()),
                };
                change(config_service, kind, None).await?;
                keys.push(GrantedKey {
                    customer: customer.clone(),
                    queue: queue.clone(),
                    key,
                });
            }
        }
        Ok(keys)
    }
}

/// Start banner with addresses and keys, one per line, for scripts and users.
pub struct EmbeddedBanner<'a> {
    /// Current declaration.
    pub declaration: &'a FleetDeclaration,
    /// Granted keys.
    pub keys: &'a [GrantedKey],
    /// Operator token.
    pub operator: &'a AccessKey,
    /// Address that serves callers.
    pub listen: net::SocketAddr,
    /// Address that serves operators.
    pub admin: net::SocketAddr,
}

impl fmt::Display for EmbeddedBanner<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "listen http://{}", self.listen)?;
        writeln!(formatter, "admin http://{}", self.admin)?;
        writeln!(formatter, "admin-token {}", self.operator.expose())?;
        for (name, target) in &self.declaration.queues {
            let access = if target.open { "open" } else { "keyed" };
            writeln!(formatter, "queue {name} {access}")?;
        }
        for granted in self.keys {
            let (customer, queue) = (&granted.customer, &granted.queue);
            writeln!(formatter, "key {customer} {queue} {}", granted.key.expose())?;
        }
        writeln!(formatter, "ready")?;
        self.fmt_example(formatter)
    }
}

impl EmbeddedBanner<'_> {
    fn fmt_example(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(granted) = self.keys.first() else {
            return Ok(());
        };
        writeln!(
            formatter,
            "curl -i -H 'Authorization: Bearer {}' -d 'hello' http://{}/v1/queues/{}/requests",
            granted.key.expose(),
            self.listen,
            granted.queue
        )
    }
}

/// Applies a change as the bootstrap operator.
async fn change(
    config_service: &ConfigService,
    kind: ChangeKind,
    declaration: Option<String>,
) -> Result<()> {
    let draft = ChangeDraft {
        id: ChangeId::generate(),
        id_chosen: false,
        operator: service::BOOTSTRAP_OPERATOR.to_owned(),
        base_version: None,
        kind,
        declaration,
        at_millis: audit::now_millis(),
    };
    let response = config_service.change(&draft).await;
    if response.status == ChangeStatus::Accepted {
        return Ok(());
    }
    let detail = format!("{:?}", response.status);
    Err(Error::start("configure the embedded fleet", detail))
}

fn bind_listeners(workers: u32) -> io::Result<Vec<net::TcpListener>> {
    (0..workers)
        .map(|_| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)))
        .collect()
}

fn identity(vm: &str, address: net::SocketAddr) -> Result<VmIdentity> {
    let identity_error = |error| Error::start("parse the identity of a VM", error);
    Ok(VmIdentity {
        vm: vm.parse().map_err(identity_error)?,
        address,
        rack: "rack-1".parse().map_err(identity_error)?,
        data_centre: "local".parse().map_err(identity_error)?,
    })
}

fn put_vm(platform: &MemoryPlatform, identity: VmIdentity, role: VmRole) {
    platform.put_vm(ListedVm {
        identity,
        role,
        status: ListedStatus::Live,
    });
}

/// Adds a backend server to the VM list and its VM to the pool.
async fn add_backend_server(
    platform: &MemoryPlatform,
    identity: VmIdentity,
    pool: &PoolName,
) -> Result<()> {
    const STEP: &str = "add a stand-in VM to its pool";
    put_vm(platform, identity.clone(), VmRole::BackendServer);
    let key = RowKey::new(format!("{}{}", fleet::VM_PREFIX, identity.vm));
    let record = VmRecord {
        identity,
        pool: pool.clone(),
        phase: VmPhase::Serving,
        revision: 1,
    };
    let value = serde_json::to_string(&record).map_err(|error| Error::start(STEP, error))?;
    let transaction = TableTransaction::default().put(key, value);
    let outcome = platform.commit(&transaction).await;
    outcome
        .map(|_| ())
        .map_err(|error| Error::start(STEP, error))
}
