//! Load files: fleet, manifest, traffic and faults of an experiment.

use redwing_jobs::manifest::{
    CallerAddress, CustomerPolicy, JobManifest, ManifestParts, PoolPolicy, QueuePolicy,
};
use redwing_jobs::name::{CustomerName, PoolName, QueueName};
use redwing_jobs::spec::{JobSpec, ResourceAmount, StepSpec};
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Whole number of a load file. It may be negative until it has been checked.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Count(pub i64);

impl Count {
    /// Returns the number; 0 if it is negative.
    pub fn get(self) -> u64 {
        self.0.max(0) as u64
    }
}

/// Load of one experiment, as read from TOML.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LoadFile {
    /// Time during which jobs arrive, in seconds.
    pub seconds: f64,
    /// Time after that in which accepted jobs may still end, in seconds.
    pub drain_seconds: f64,
    /// The fleet apart from its pools.
    pub fleet: FleetLoad,
    /// Pools with their workers.
    pub pools: Vec<PoolLoad>,
    /// Queues of the manifest.
    pub queues: Vec<QueueLoad>,
    /// Customers of the manifest.
    pub customers: Vec<CustomerLoad>,
    /// Mean arrivals of each customer at each queue.
    pub traffic: Vec<TrafficLoad>,
    /// Rotation of high demand over the queues, in their order.
    pub turns: Option<TurnLoad>,
    /// Customers that send more than usual for a time.
    pub floods: Vec<FloodLoad>,
    /// Racks whose machines are down for a time.
    pub lost_racks: Vec<LostRack>,
    /// Periods in which the table is slow.
    pub slow_table: Vec<SlowTable>,
    /// Behaviour of callers whose job is refused.
    pub callers: CallerLoad,
}

impl Default for LoadFile {
    fn default() -> Self {
        Self {
            seconds: 30.0,
            drain_seconds: 10.0,
            fleet: FleetLoad::default(),
            pools: Vec::new(),
            queues: Vec::new(),
            customers: Vec::new(),
            traffic: Vec::new(),
            turns: None,
            floods: Vec::new(),
            lost_racks: Vec::new(),
            slow_table: Vec::new(),
            callers: CallerLoad::default(),
        }
    }
}

/// Properties of the fleet that its pools have in common.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FleetLoad {
    /// Entry VMs that accept jobs.
    pub entry_vms: Count,
    /// Whether the capacity planner moves machines between pools.
    pub moves: bool,
    /// Duration of a move, in seconds.
    pub move_seconds: f64,
    /// Time that an order or its response takes, in milliseconds.
    pub order_ms: Count,
    /// Time that a write to the table takes, in milliseconds.
    pub table_ms: Count,
    /// Time between two publications of the backlogs, and between two reads of an
    /// entry VM, in milliseconds.
    pub publish_ms: Count,
}

impl Default for FleetLoad {
    fn default() -> Self {
        Self {
            entry_vms: Count(8),
            moves: false,
            move_seconds: 1.5,
            order_ms: Count(2),
            table_ms: Count(8),
            publish_ms: Count(500),
        }
    }
}

/// Pool with identical workers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PoolLoad {
    /// Name of the pool.
    pub name: String,
    /// Number of workers.
    pub workers: Count,
    /// Processor of a worker, in thousandths of a core.
    pub cpu_millis: Count,
    /// Memory of a worker, in megabytes.
    pub memory_mb: Count,
    /// Racks over which the workers are spread.
    pub racks: Count,
    /// Whether the machines of the pool are off until the planner moves them.
    pub standby: bool,
}

impl Default for PoolLoad {
    fn default() -> Self {
        Self {
            name: String::new(),
            workers: Count(0),
            cpu_millis: Count(8_000),
            memory_mb: Count(32_000),
            racks: Count(1),
            standby: false,
        }
    }
}

/// Queue of the manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct QueueLoad {
    /// Name of the queue.
    pub name: String,
    /// Pool whose workers run its tasks.
    pub pool: String,
    /// Priority; 0 comes first.
    pub priority: Count,
    /// Constant part of the time objective, in milliseconds.
    pub objective_ms: Count,
    /// Time objective as a multiple of the duration of the critical path.
    pub stretch: f64,
}

impl Default for QueueLoad {
    fn default() -> Self {
        Self {
            name: String::new(),
            pool: String::new(),
            priority: Count(0),
            objective_ms: Count(1_000),
            stretch: 2.0,
        }
    }
}

/// Customer of the manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct CustomerLoad {
    /// Name of the customer.
    pub name: String,
    /// Share relative to other customers.
    pub weight: f64,
    /// Largest amount of processor in use, in thousandths of a core; 0 for no limit.
    pub limit_cpu_millis: Count,
}

impl Default for CustomerLoad {
    fn default() -> Self {
        Self {
            name: String::new(),
            weight: 1.0,
            limit_cpu_millis: Count(0),
        }
    }
}

/// Jobs of one customer for one queue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TrafficLoad {
    /// Queue of the jobs.
    pub queue: String,
    /// Customer that sends them.
    pub customer: String,
    /// Mean arrivals, in jobs per second.
    pub rate: f64,
    /// Steps of each job; each begins when the one before has ended.
    pub steps: Vec<StepLoad>,
}

/// Step of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct StepLoad {
    /// Number of tasks.
    pub tasks: Count,
    /// Processor that each task needs, in thousandths of a core.
    pub cpu_millis: Count,
    /// Memory that each task needs, in megabytes.
    pub memory_mb: Count,
    /// Duration of a task as the caller estimates it, in milliseconds.
    pub estimate_ms: Count,
    /// Largest difference of a task's duration from the estimate, as a fraction of it.
    pub duration_spread: f64,
}

impl Default for StepLoad {
    fn default() -> Self {
        Self {
            tasks: Count(1),
            cpu_millis: Count(1_000),
            memory_mb: Count(0),
            estimate_ms: Count(500),
            duration_spread: 0.0,
        }
    }
}

/// High demand that rotates over the queues.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct TurnLoad {
    /// Time for which one queue has high demand, in seconds.
    pub period_seconds: f64,
    /// Rate of that queue, as a multiple of its mean.
    pub surge: f64,
    /// Rate of the other queues, as a multiple of their mean.
    pub lull: f64,
}

impl Default for TurnLoad {
    fn default() -> Self {
        Self {
            period_seconds: 5.0,
            surge: 4.0,
            lull: 0.25,
        }
    }
}

/// Flood of one customer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FloodLoad {
    /// The customer.
    pub customer: String,
    /// Queue of the flood; all queues of the customer if empty.
    pub queue: String,
    /// Begin, in seconds.
    pub from_seconds: f64,
    /// End, in seconds.
    pub to_seconds: f64,
    /// Rate as a multiple of the usual one.
    pub factor: f64,
}

/// Rack whose machines are down for a time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LostRack {
    /// Pool to which the rack belongs at the start.
    pub pool: String,
    /// Number of the rack in its pool, from 0.
    pub rack: Count,
    /// Begin, in seconds.
    pub from_seconds: f64,
    /// Duration, in seconds.
    pub for_seconds: f64,
}

/// Period in which the table is slow.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct SlowTable {
    /// Begin, in seconds.
    pub from_seconds: f64,
    /// End, in seconds.
    pub to_seconds: f64,
    /// Time that is added to each write, in milliseconds.
    pub delay_ms: Count,
}

/// Behaviour of callers whose job is refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct CallerLoad {
    /// How often a caller returns after a refusal before it gives up.
    pub retries: Count,
}

impl Default for CallerLoad {
    fn default() -> Self {
        Self { retries: Count(3) }
    }
}

impl LoadFile {
    /// Parses and checks a load file.
    ///
    /// # Errors
    ///
    /// Fails with the parser's message if the text is not well-formed or has an
    /// unknown field, or with the first field whose value is not supported and the
    /// values that are.
    pub fn from_toml(text: &str) -> Result<Self> {
        let load: Self = toml::from_str(text).map_err(|error| Error::Syntax(error.to_string()))?;
        load.check()?;
        Ok(load)
    }

    /// Returns the queue with the name.
    pub fn queue(&self, name: &str) -> Option<&QueueLoad> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the manifest that the file describes.
    pub fn manifest(&self) -> JobManifest {
        let queues = self.queues.iter().map(|queue| QueuePolicy {
            name: QueueName::new(&queue.name),
            address: CallerAddress {
                host: String::new(),
                path_prefix: format!("/{}/", queue.name),
            },
            pool: PoolName::new(&queue.pool),
            priority: queue.priority.get() as u32,
            max_attempts: 3,
            stretch: queue.stretch,
            objective_ms: queue.objective_ms.get(),
            is_public: false,
            is_advised: false,
        });
        let customers = self.customers.iter().map(|customer| CustomerPolicy {
            name: CustomerName::new(&customer.name),
            keys: vec![customer.name.clone()],
            weight: customer.weight,
            limit: ResourceAmount {
                cpu_millis: customer.limit_cpu_millis.get(),
                ..ResourceAmount::default()
            },
        });
        let pools = self.pools.iter().map(|pool| PoolPolicy {
            name: PoolName::new(&pool.name),
            is_standby: pool.standby,
            enforces_capacity: true,
            cold_start_ms: 0,
        });
        JobManifest::from(ManifestParts {
            version: 1,
            queues: queues.collect(),
            customers: customers.collect(),
            pools: pools.collect(),
        })
    }
}

impl TrafficLoad {
    /// Returns the specification of each job.
    pub fn spec(&self) -> JobSpec {
        let steps = self
            .steps
            .iter()
            .enumerate()
            .map(|(number, step)| StepSpec {
                count: step.tasks.get() as u32,
                needs: ResourceAmount {
                    cpu_millis: step.cpu_millis.get(),
                    memory_mb: step.memory_mb.get(),
                    accelerators: 0,
                },
                estimate_ms: step.estimate_ms.get(),
                after: number
                    .checked_sub(1)
                    .map(|earlier| earlier as u32)
                    .into_iter()
                    .collect(),
                ..StepSpec::default()
            });
        JobSpec {
            steps: steps.collect(),
            ..JobSpec::default()
        }
    }

    /// Returns the estimated processor work of each job, in core seconds.
    pub fn core_seconds(&self) -> f64 {
        self.spec().estimated_work() as f64 / 1e6
    }

    /// Returns the estimated duration of each job on free workers, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.steps.iter().map(|step| step.estimate_ms.get()).sum()
    }
}

impl FloodLoad {
    /// Returns whether the flood multiplies an entry of the traffic.
    pub fn applies_to(&self, traffic: &TrafficLoad) -> bool {
        self.customer == traffic.customer && (self.queue.is_empty() || self.queue == traffic.queue)
    }
}
