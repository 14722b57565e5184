//! Declarations of a fleet: the targets that operators set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use toml::Spanned;
use toml::de::DeTable;

use crate::error::{DeclarationError, Error, Result};
use crate::field::{self, FieldTree};
use crate::name::{CustomerName, PoolName, QueueName};

/// Sum of the shares of a queue must stay at or below this.
const MAX_SHARE_SUM: f64 = 1.0;

/// Tolerance when shares are added up.
const SHARE_EPSILON: f64 = 1e-9;

/// Largest number of VMs in a pool.
const MAX_POOL_VMS: u32 = 100_000;

/// Largest limit of a customer, which bounds the number of permits.
const MAX_CUSTOMER_LIMIT: u32 = 100_000;

/// Longest drain and longest request timeout, in seconds.
const MAX_SECONDS: u32 = 24 * 60 * 60;

/// Largest request body that a queue may allow, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

/// Largest number of waiting requests of one customer at one entry VM.
const MAX_QUEUE_DEPTH: u32 = 1_000_000;

/// Targets of a whole fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FleetDeclaration {
    /// Which costs the planner keeps lowest.
    pub profile: PolicyProfile,
    /// Pool that serves as the reserve of all others.
    pub spare_pool: Option<PoolName>,
    /// Pools of VMs by name.
    pub pools: BTreeMap<PoolName, PoolTarget>,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueTarget>,
    /// Customers by name.
    #[serde(rename = "teams")]
    pub customers: BTreeMap<CustomerName, CustomerTarget>,
}

/// Which costs the planner keeps lowest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyProfile {
    /// Share fidelity and few VM moves come first.
    #[default]
    ShareFirst,
    /// A small buffer and a short roll-out come first.
    BufferFirst,
}

/// Targets of one pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolTarget {
    /// Number of VMs that the pool should hold.
    pub vms: u32,
    /// Largest number of VMs out of service at once, planned or not.
    pub max_unavailable: u32,
    /// Longest time a VM may take to finish its running requests, in seconds.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u32,
    /// What happens to requests that outlast the drain time.
    #[serde(default, rename = "long-jobs")]
    pub long_requests: LongRequestPolicy,
}

/// What happens to requests that outlast the drain time of their pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LongRequestPolicy {
    /// The drain waits until they end.
    #[default]
    Wait,
    /// The platform checkpoints them and resumes them elsewhere.
    Checkpoint,
}

/// Targets of one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct QueueTarget {
    /// Pool whose VMs run the queue's requests.
    pub pool: PoolName,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Longest time a caller may ask to wait, in seconds.
    #[serde(default = "default_timeout_seconds")]
    pub max_timeout_seconds: u32,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: u64,
    /// Largest number of waiting requests of one customer at one entry VM.
    #[serde(default = "default_queue_depth", rename = "max-waiting-per-team")]
    pub max_waiting_per_customer: u32,
    /// Share of each customer when demand exceeds capacity, as fractions of one.
    #[serde(default)]
    pub shares: BTreeMap<CustomerName, f64>,
}

/// Targets of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CustomerTarget {
    /// Largest number of requests running at once across the fleet.
    pub limit: u32,
}

fn default_drain_seconds() -> u32 {
    30
}

fn default_timeout_seconds() -> u32 {
    60
}

fn default_body_bytes() -> u64 {
    32 * 1024 * 1024
}

fn default_queue_depth() -> u32 {
    1_000
}

/// Reads and checks a declaration in TOML.
///
/// # Errors
///
/// Fails with a place if the text is not well-formed, and with the whole list
/// of faults if it names unknown fields or its content cannot hold.
pub fn from_toml(text: &str) -> Result<FleetDeclaration> {
    let root = DeTable::parse(text).map_err(|error| syntax_error(text, &error))?;
    let root_span = root.span();
    let mut tree = FieldTree::new(text, root.into_inner());
    let mut faults = tree.remove_unknown();
    let root = Spanned::new(root_span, tree.clone().into_root());
    let fleet = match FleetDeclaration::deserialize(toml::Deserializer::from(root)) {
        Ok(fleet) => fleet,
        Err(error) if faults.is_empty() => return Err(syntax_error(text, &error)),
        Err(error) => {
            faults.push(DeclarationError {
                position: error
                    .span()
                    .map(|span| field::text_position(text, span.start)),
                field: String::new(),
                message: error.message().to_owned(),
            });
            return Err(Error::faults(faults));
        }
    };
    for mut fault in fleet.faults() {
        fault.position = tree.position(&fault.field);
        faults.push(fault);
    }
    if faults.is_empty() {
        return Ok(fleet);
    }
    Err(Error::faults(faults))
}

fn syntax_error(text: &str, error: &toml::de::Error) -> Error {
    let offset = error.span().map_or(0, |span| span.start);
    Error::syntax(
        field::text_position(text, offset),
        error.message().to_owned(),
    )
}

/// Writes a declaration in TOML.
///
/// # Errors
///
/// Fails if a value has no TOML form, for example a share that is not a number.
pub fn to_toml(fleet: &FleetDeclaration) -> Result<String> {
    toml::to_string_pretty(fleet).map_err(|error| Error::encode(error.to_string()))
}

impl FleetDeclaration {
    /// Checks everything that single fields cannot show.
    ///
    /// # Errors
    ///
    /// Fails with the list of all faults found.
    pub fn check(&self) -> Result<()> {
        let faults = self.faults();
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::faults(faults))
    }

    fn faults(&self) -> Vec<DeclarationError> {
        let mut faults = Vec::new();
        self.check_pools(&mut faults);
        self.check_queues(&mut faults);
        self.check_customers(&mut faults);
        faults
    }

    fn check_pools(&self, faults: &mut Vec<DeclarationError>) {
        for (name, pool) in &self.pools {
            let field = |name_of_field| format!("pools.{name}.{name_of_field}");
            check_count(
                field("vms"),
                pool.vms.into(),
                0,
                MAX_POOL_VMS.into(),
                faults,
            );
            let drain = pool.drain_seconds.into();
            check_count(field("drain-seconds"), drain, 1, MAX_SECONDS.into(), faults);
            if pool.max_unavailable > pool.vms {
                let message = format!(
                    "{} is larger than the pool's {} VMs; lower it",
                    pool.max_unavailable, pool.vms
                );
                faults.push(fault(field("max-unavailable"), message));
            }
        }
        if let Some(spare) = &self.spare_pool
            && !self.pools.contains_key(spare)
        {
            let message = format!("pool {spare} is not declared; add [pools.{spare}]");
            faults.push(fault("spare-pool".to_owned(), message));
        }
    }

    fn check_queues(&self, faults: &mut Vec<DeclarationError>) {
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let message = format!("pool {0} is not declared; add [pools.{0}]", queue.pool);
                faults.push(fault(format!("queues.{name}.pool"), message));
            }
            check_queue_bounds(name, queue, faults);
            self.check_shares(name, queue, faults);
        }
    }

    fn check_shares(
        &self,
        name: &QueueName,
        queue: &QueueTarget,
        faults: &mut Vec<DeclarationError>,
    ) {
        let field = format!("queues.{name}.shares");
        for (customer, share) in &queue.shares {
            if !self.customers.contains_key(customer) {
                let message = format!(
                    "customer {customer} has no limit; add [teams.{customer}] with a limit"
                );
                faults.push(fault(format!("{field}.{customer}"), message));
            }
            if !(share.is_finite() && *share > 0.0) {
                let message = format!("{share} is not a share; use a number above 0, up to 1");
                faults.push(fault(format!("{field}.{customer}"), message));
            }
        }
        let sum: f64 = queue.shares.values().sum();
        if sum > MAX_SHARE_SUM + SHARE_EPSILON {
            let message = format!("the shares add up to {sum}; they may add up to 1 at most");
            faults.push(fault(field, message));
        }
    }

    fn check_customers(&self, faults: &mut Vec<DeclarationError>) {
        for (name, customer) in &self.customers {
            let field = format!("teams.{name}.limit");
            check_count(
                field,
                customer.limit.into(),
                1,
                MAX_CUSTOMER_LIMIT.into(),
                faults,
            );
        }
    }
}

fn check_queue_bounds(name: &QueueName, queue: &QueueTarget, faults: &mut Vec<DeclarationError>) {
    let field = |name_of_field| format!("queues.{name}.{name_of_field}");
    let timeout = queue.max_timeout_seconds.into();
    check_count(
        field("max-timeout-seconds"),
        timeout,
        1,
        MAX_SECONDS.into(),
        faults,
    );
    check_count(
        field("max-body-bytes"),
        queue.max_body_bytes,
        1,
        MAX_BODY_BYTES,
        faults,
    );
    let waiting = queue.max_waiting_per_customer.into();
    check_count(
        field("max-waiting-per-team"),
        waiting,
        1,
        MAX_QUEUE_DEPTH.into(),
        faults,
    );
}

fn check_count(field: String, value: u64, low: u64, high: u64, faults: &mut Vec<DeclarationError>) {
    if !(low..=high).contains(&value) {
        let message = format!("{value} is out of range; use {low} to {high}");
        faults.push(fault(field, message));
    }
}

fn fault(field: String, message: String) -> DeclarationError {
    DeclarationError {
        position: None,
        field,
        message,
    }
}
