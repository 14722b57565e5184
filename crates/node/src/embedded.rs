//! The stand-in fleet of `--platform embedded`.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net;
use std::sync;

use actix_server::ServerHandle;
use redwing_model::{AccessKey, FleetDeclaration, KeyHash, QueueName, TeamName, VmId, declaration};
use redwing_policy::scheduler::WorkerView;
use redwing_policy::{FleetView, TokenId, TokenPool};
use redwing_standin::backend;

use crate::error::{Error, Result};
use crate::snapshot::KeyGrant;

/// Slots of each stand-in backend server.
const SLOTS: u32 = 8;

/// Targets of the stand-in fleet.
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

/// Key that the stand-in fleet has granted.
#[derive(Debug)]
pub struct GrantedKey {
    /// What the key gives a right to.
    pub team: TeamName,
    /// Queue that it is good for.
    pub queue: QueueName,
    /// The key itself.
    pub key: AccessKey,
}

/// Stand-in fleet of one process.
pub struct EmbeddedFleet {
    /// Targets in force.
    pub declaration: FleetDeclaration,
    /// Keys in force.
    pub keys: Vec<GrantedKey>,
    /// Backend servers with their slots.
    pub view: FleetView,
    /// Key of the operator.
    pub operator: AccessKey,
    /// Stops the stand-in backend servers.
    pub backends: ServerHandle,
}

impl EmbeddedFleet {
    /// Starts `workers` stand-in backend servers.
    ///
    /// # Errors
    ///
    /// Fails if a backend server cannot listen.
    pub fn start(workers: u32) -> Result<Self> {
        let step = "start stand-in backend servers";
        let declaration = declaration::from_toml(DECLARATION)
            .map_err(|error| Error::start("read the embedded declaration", error))?;
        let keys = grant_keys(&declaration);
        let listeners = bind(workers).map_err(|error| Error::start(step, error))?;
        let view = fleet_view(&declaration, &listeners)?;
        let state = sync::Arc::new(backend::BackendState::default());
        let (server, backends) =
            backend::start(listeners, state).map_err(|error| Error::start(step, error))?;
        actix_rt::spawn(server);
        Ok(Self {
            declaration,
            keys,
            view,
            operator: AccessKey::generate(),
            backends,
        })
    }

    /// Returns the keys as traffic threads look them up.
    pub fn grants(&self) -> HashMap<KeyHash, KeyGrant> {
        let grant = |granted: &GrantedKey| KeyGrant {
            team: granted.team.clone(),
            queue: Some(granted.queue.clone()),
        };
        self.keys
            .iter()
            .map(|granted| (granted.key.hash(), grant(granted)))
            .collect()
    }
}

/// Addresses and keys of a started process, for scripts and persons.
pub struct EmbeddedBanner<'a> {
    /// The fleet.
    pub fleet: &'a EmbeddedFleet,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
}

impl fmt::Display for EmbeddedBanner<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fleet = self.fleet;
        writeln!(formatter, "listen http://{}", self.listen)?;
        writeln!(formatter, "admin http://{}", self.admin)?;
        writeln!(formatter, "admin-token {}", fleet.operator.expose())?;
        for (name, target) in &fleet.declaration.queues {
            let access = if target.open { "open" } else { "keyed" };
            writeln!(formatter, "queue {name} {access}")?;
        }
        for granted in &fleet.keys {
            let (team, queue) = (&granted.team, &granted.queue);
            writeln!(formatter, "key {team} {queue} {}", granted.key.expose())?;
        }
        writeln!(formatter, "ready")?;
        self.fmt_example(formatter)
    }
}

impl EmbeddedBanner<'_> {
    fn fmt_example(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(granted) = self.fleet.keys.first() else {
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

/// Grants one key for each team with a share in a queue.
fn grant_keys(declaration: &FleetDeclaration) -> Vec<GrantedKey> {
    let mut keys = Vec::new();
    for (queue, target) in &declaration.queues {
        for team in target.shares.keys() {
            keys.push(GrantedKey {
                team: team.clone(),
                queue: queue.clone(),
                key: AccessKey::generate(),
            });
        }
    }
    keys
}

fn bind(workers: u32) -> io::Result<Vec<net::TcpListener>> {
    (0..workers)
        .map(|_| net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)))
        .collect()
}

fn fleet_view(declaration: &FleetDeclaration, listeners: &[net::TcpListener]) -> Result<FleetView> {
    let mut view = FleetView {
        declaration: declaration.clone(),
        ..FleetView::default()
    };
    for (number, listener) in listeners.iter().enumerate() {
        let name = format!("vm-{}", number + 1);
        let vm = VmId::new(&name).map_err(|error| Error::start("name a VM", error))?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::bind("read the address", &name, error))?;
        let pool = TokenPool::Slot(vm.clone());
        view.homes.extend((0..SLOTS).map(|number| TokenId {
            pool: pool.clone(),
            number,
        }));
        view.workers.push(WorkerView {
            vm,
            address,
            classes: declaration.queues.keys().cloned().collect(),
            serving: true,
        });
    }
    for (team, target) in &declaration.teams {
        let pool = TokenPool::Permit(team.clone());
        view.homes.extend((0..target.limit).map(|number| TokenId {
            pool: pool.clone(),
            number,
        }));
    }
    Ok(view)
}
