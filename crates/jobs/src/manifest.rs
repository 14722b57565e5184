//! Declared queues, customers and pools of the job service.

use std::collections::{BTreeMap, HashMap};
use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::name::{CustomerName, PoolName, QueueName};
use crate::spec::ResourceAmount;

/// Weights that a customer may have. Wider ratios than these would leave one
/// customer nothing.
const WEIGHT_RANGE: ops::RangeInclusive<f64> = 0.001..=1_000_000.0;

/// Weight of jobs whose customer the manifest does not name.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Smallest weight that counts, so that shares can be computed with any manifest.
const MIN_WEIGHT: f64 = 1e-6;

/// Address at which callers reach a queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct CallerAddress {
    /// Host name of the requests; any if empty.
    pub host: String,
    /// Prefix of the path; the job's id follows it.
    pub path_prefix: String,
}

/// Policy of one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: QueueName,
    /// Where callers reach it.
    pub address: CallerAddress,
    /// Pool whose workers run its tasks.
    pub pool: PoolName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub max_attempts: u32,
    /// Time objective as a multiple of the duration of the critical path.
    pub stretch: f64,
    /// Constant part of the time objective, in milliseconds.
    pub objective_ms: u64,
    /// Whether jobs need no key.
    pub is_public: bool,
    /// Whether an advisor must permit each worker that runs a step.
    pub is_advised: bool,
}

impl QueuePolicy {
    /// Returns the time objective of a job with the given critical path.
    pub fn objective(&self, critical_path: time::Duration) -> time::Duration {
        let stretched_ms = self.stretch.max(0.0) * critical_path.as_millis() as f64;
        time::Duration::from_millis(self.objective_ms.saturating_add(stretched_ms as u64))
    }
}

/// Limits and keys of one customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CustomerPolicy {
    /// Name of the customer.
    pub name: CustomerName,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Share relative to other customers when there is no free capacity.
    pub weight: f64,
    /// Largest amounts in use at a time; 0 for no limit.
    pub limit: ResourceAmount,
}

/// Policy of one pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PoolPolicy {
    /// Name of the pool.
    pub name: PoolName,
    /// Whether the machines of the pool are off and cost nothing.
    pub is_standby: bool,
    /// Whether its workers reject tasks beyond their capacity.
    pub enforces_capacity: bool,
    /// Time for which a worker is slow after its start, in milliseconds; 0 if workers are
    /// warm at once.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_start_ms: u64,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// One version of the declared queues, customers and pools.
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

/// Serialized form of a manifest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ManifestParts {
    /// Version; increases with each change.
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
    /// Checks the weights of customers.
    ///
    /// # Errors
    ///
    /// Fails with the first customer whose weight is outside the range that is
    /// supported.
    pub fn check(&self) -> Result<()> {
        for customer in self.customers.values() {
            if !WEIGHT_RANGE.contains(&customer.weight) {
                let field = format!("customers.{}.weight", customer.name);
                let problem = format!(
                    "{} is not from {} to {}",
                    customer.weight,
                    WEIGHT_RANGE.start(),
                    WEIGHT_RANGE.end()
                );
                return Err(Error::Manifest(field, problem));
            }
        }
        Ok(())
    }

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

    /// Returns the weight of a customer's share; jobs without a customer count as one.
    pub fn weight(&self, customer: Option<&CustomerName>) -> f64 {
        let policy = customer.and_then(|name| self.customer(name));
        let weight = policy.map_or(DEFAULT_WEIGHT, |policy| policy.weight);
        weight.max(MIN_WEIGHT)
    }

    /// Returns the customer that owns `key`, if the key is valid.
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

    /// Returns the queue that serves `host` and `path`, and the rest of the path
    /// after the queue's prefix; the longest prefix wins.
    pub fn resolve<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<ResolvedPath<'a, 'b>> {
        let matching = self.queues.values().filter(|queue| {
            let expected_host = &queue.address.host;
            (expected_host.is_empty() || expected_host.eq_ignore_ascii_case(host))
                && path.starts_with(&queue.address.path_prefix)
        });
        let queue = matching.max_by_key(|queue| queue.address.path_prefix.len())?;
        let rest = &path[queue.address.path_prefix.len()..];
        Some(ResolvedPath { queue, rest })
    }
}

/// Queue that serves a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResolvedPath<'a, 'b> {
    /// The queue.
    pub queue: &'a QueuePolicy,
    /// Rest of the path after the queue's prefix.
    pub rest: &'b str,
}
