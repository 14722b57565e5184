//! What operators declare of queues, customers and pools of the job service.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::name::{CustomerName, PoolName, QueueName};
use crate::spec::ResourceAmount;

/// Where callers reach a queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct CallerAddress {
    /// Host name in the requests; any if it is empty.
    pub host: String,
    /// Start of the path; the job's id follows it.
    pub path_prefix: String,
}

/// How the jobs of one queue are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: QueueName,
    /// Where callers reach it.
    pub address: CallerAddress,
    /// Pool whose workers run its tasks.
    pub pool: PoolName,
    /// Importance; 0 comes first.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub max_attempts: u32,
    /// Time objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// Part of the time objective that is the same for each job, in milliseconds.
    pub objective_ms: u64,
    /// Whether jobs need no key.
    pub is_public: bool,
    /// Whether an advisor must permit each worker that runs a step.
    pub is_advised: bool,
}

/// What one customer may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CustomerPolicy {
    /// Name of the customer.
    pub name: CustomerName,
    /// Keys that are good now.
    pub keys: Vec<String>,
    /// Share relative to other customers when all is full.
    pub weight: f64,
    /// Largest amounts running at a time; 0 stands for no limit.
    pub limit: ResourceAmount,
}

/// Properties of one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolPolicy {
    /// Name of the pool.
    pub name: PoolName,
    /// Whether the machines of the pool are off and cost nothing.
    pub is_standby: bool,
    /// Whether its workers reject what does not fit.
    pub enforces_capacity: bool,
}

/// One version of what operators declare.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(
    rename_all = "kebab-case",
    from = "ManifestParts",
    into = "ManifestParts"
)]
pub struct JobManifest {
    version: u64,
    queues: BTreeMap<QueueName, QueuePolicy>,
    customers: BTreeMap<CustomerName, CustomerPolicy>,
    pools: BTreeMap<PoolName, PoolPolicy>,
    owners_of_keys: HashMap<String, CustomerName>,
}

/// Parts of which a manifest is made.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ManifestParts {
    /// Version; grows with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueuePolicy>,
    /// All customers.
    pub customers: Vec<CustomerPolicy>,
    /// All pools.
    pub pools: Vec<PoolPolicy>,
}

impl From<ManifestParts> for JobManifest {
    fn from(parts: ManifestParts) -> Self {
        let mut owners_of_keys = HashMap::new();
        for customer in &parts.customers {
            for key in &customer.keys {
                owners_of_keys.insert(key.clone(), customer.name.clone());
            }
        }
        let queues = parts.queues.into_iter();
        let customers = parts.customers.into_iter();
        let pools = parts.pools.into_iter();
        Self {
            version: parts.version,
            queues: queues.map(|queue| (queue.name.clone(), queue)).collect(),
            customers: customers.map(|entry| (entry.name.clone(), entry)).collect(),
            pools: pools.map(|pool| (pool.name.clone(), pool)).collect(),
            owners_of_keys,
        }
    }
}

impl From<JobManifest> for ManifestParts {
    fn from(manifest: JobManifest) -> Self {
        Self {
            version: manifest.version,
            queues: manifest.queues.into_values().collect(),
            customers: manifest.customers.into_values().collect(),
            pools: manifest.pools.into_values().collect(),
        }
    }
}

impl JobManifest {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a queue by name.
    pub fn queue(&self, name: &QueueName) -> Option<&QueuePolicy> {
        self.queues.get(name)
    }

    /// Returns all queues, in the order of their names.
    pub fn queues(&self) -> impl Iterator<Item = &QueuePolicy> {
        self.queues.values()
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerPolicy> {
        self.customers.get(name)
    }

    /// Returns the customer that holds `key`, if the key is good.
    pub fn owner_of_key(&self, key: &str) -> Option<&CustomerName> {
        self.owners_of_keys.get(key)
    }

    /// Returns all pools, in the order of their names.
    pub fn pools(&self) -> impl Iterator<Item = &PoolPolicy> {
        self.pools.values()
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolPolicy> {
        self.pools.get(name)
    }

    /// Returns the queue that callers mean with `host` and `path`, and what
    /// follows the queue's prefix in the path; the longest prefix wins.
    pub fn resolve<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<ResolvedPath<'a, 'b>> {
        let matching = self.queues.values().filter(|queue| {
            let wanted = &queue.address.host;
            (wanted.is_empty() || wanted.eq_ignore_ascii_case(host))
                && path.starts_with(&queue.address.path_prefix)
        });
        let queue = matching.max_by_key(|queue| queue.address.path_prefix.len())?;
        let rest = &path[queue.address.path_prefix.len()..];
        Some(ResolvedPath { queue, rest })
    }
}

/// Queue that a path leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResolvedPath<'a, 'b> {
    /// The queue.
    pub queue: &'a QueuePolicy,
    /// Rest of the path after the queue's prefix.
    pub rest: &'b str,
}
