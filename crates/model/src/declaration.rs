//! Fleet declarations: the targets that operators set.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use toml::Spanned;
use toml::de::DeTable;

use crate::error::{DeclarationError, Error, Result};
use crate::field::{self, FieldTree};
use crate::name::{CustomerName, PoolName, QueueName};

/// Largest sum of the shares of a queue.
const MAX_SHARE_SUM: f64 = 1.0;

/// Tolerance for rounding errors in the sum of shares.
const SHARE_EPSILON: f64 = 1e-9;

/// Largest number of VMs in a pool.
const MAX_POOL_VMS: u32 = 100_000;

/// Largest limit of a customer, which bounds the number of permits.
const MAX_CUSTOMER_LIMIT: u32 = 100_000;

/// Longest drain and longest request timeout, in seconds.
const MAX_DURATION_SECONDS: u32 = 24 * 60 * 60;

/// Largest request body that a queue may allow, in bytes.
const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

/// Largest number of waiting requests of one customer at one entry VM.
const MAX_QUEUE_DEPTH: u32 = 1_000_000;

/// Targets of the whole fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FleetDeclaration {
    /// Priorities of the planner.
    pub profile: PolicyProfile,
    /// Pool that serves as the reserve for all other pools.
    pub spare_pool: Option<PoolName>,
    /// Pools of VMs by name.
    pub pools: BTreeMap<PoolName, PoolTarget>,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueTarget>,
    /// Customers by name.
    #[serde(rename = "teams")]
    pub customers: BTreeMap<CustomerName, CustomerTarget>,
}

/// Priorities of the planner: which costs it keeps lowest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyProfile {
    /// Prefers accurate shares and few VM moves.
    #[default]
    ShareFirst,
    /// Prefers a small buffer and a short roll-out.
    BufferFirst,
}

/// Targets of one pool.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PoolTarget {
    /// Number of VMs that the pool should have.
    pub vms: u32,
    /// Largest number of VMs out of service at once, planned or not.
    pub max_unavailable: u32,
    /// Time that a draining VM has to finish its running requests, in seconds;
    /// `long_requests` sets what happens to those that run longer.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u32,
    /// Handling of requests that run longer than the drain time.
    #[serde(default, rename = "long-jobs")]
    pub long_requests: LongRequestPolicy,
}

/// Handling of requests that run longer than the drain time of their pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LongRequestPolicy {
    /// The drain waits for them to finish.
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
    /// Whether requests are accepted without a key.
    #[serde(default)]
    pub open: bool,
    /// Longest timeout that a caller may request, in seconds.
    #[serde(default = "default_timeout_seconds")]
    pub max_timeout_seconds: u32,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_body_bytes: u64,
    /// Largest number of waiting requests of one customer at one entry VM.
    #[serde(default = "default_queue_depth", rename = "max-waiting-per-team")]
    pub max_waiting_per_customer: u32,
    /// Share of each customer when demand exceeds capacity, as a fraction of 1.
    #[serde(default)]
    pub shares: BTreeMap<CustomerName, f64>,
}

/// Targets of one customer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CustomerTarget {
    /// Largest number of concurrently running requests across the fleet.
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

/// Parses and validates a declaration in TOML.
///
/// # Errors
///
/// Fails with a position if the text is not well-formed, and with the list of
/// all errors if it has unknown fields or invalid content.
pub fn from_toml(text: &str) -> Result<FleetDeclaration> {
    let root = DeTable::parse(text).map_err(|error| syntax_error(text, &error))?;
    let root_span = root.span();
    let mut tree = FieldTree::new(text, root.into_inner());
    let mut errors = tree.remove_unknown_fields();
    let root = Spanned::new(root_span, tree.clone().into_root());
    let fleet = match FleetDeclaration::deserialize(toml::Deserializer::from(root)) {
        Ok(fleet) => fleet,
        Err(error) if errors.is_empty() => return Err(syntax_error(text, &error)),
        Err(error) => {
            errors.push(DeclarationError {
                position: error
                    .span()
                    .map(|span| field::text_position(text, span.start)),
                field: String::new(),
                message: error.message().to_owned(),
            });
            return Err(Error::declaration(errors));
        }
    };
    for mut error in fleet.errors() {
        error.position = tree.position(&error.field);
        errors.push(error);
    }
    if errors.is_empty() {
        return Ok(fleet);
    }
    Err(Error::declaration(errors))
}

fn syntax_error(text: &str, error: &toml::de::Error) -> Error {
    let offset = error.span().map_or(0, |span| span.start);
    Error::syntax(
        field::text_position(text, offset),
        error.message().to_owned(),
    )
}

/// Encodes a declaration in TOML.
///
/// # Errors
///
/// Fails if a value cannot be represented in TOML.
pub fn to_toml(fleet: &FleetDeclaration) -> Result<String> {
    toml::to_string_pretty(fleet).map_err(|error| Error::encode(error.to_string()))
}

impl FleetDeclaration {
    /// Validates ranges, references between sections and the sums of shares.
    ///
    /// # Errors
    ///
    /// Fails with the list of all errors found.
    pub fn check(&self) -> Result<()> {
        let errors = self.errors();
        if errors.is_empty() {
            return Ok(());
        }
        Err(Error::declaration(errors))
    }

    fn errors(&self) -> Vec<DeclarationError> {
        let mut errors = Vec::new();
        self.check_pools(&mut errors);
        self.check_queues(&mut errors);
        self.check_customers(&mut errors);
        errors
    }

    fn check_pools(&self, errors: &mut Vec<DeclarationError>) {
        for (name, pool) in &self.pools {
            let field = |field_name| format!("pools.{name}.{field_name}");
            check_count(
                field("vms"),
                pool.vms.into(),
                0,
                MAX_POOL_VMS.into(),
                errors,
            );
            let drain = pool.drain_seconds.into();
            check_count(
                field("drain-seconds"),
                drain,
                1,
                MAX_DURATION_SECONDS.into(),
                errors,
            );
            if pool.max_unavailable > pool.vms {
                let message = format!(
                    "{} is larger than the pool's {} VMs; lower it",
                    pool.max_unavailable, pool.vms
                );
                errors.push(declaration_error(field("max-unavailable"), message));
            }
        }
        if let Some(spare) = &self.spare_pool
            && !self.pools.contains_key(spare)
        {
            let message = format!("pool {spare} is not declared; add [pools.{spare}]");
            errors.push(declaration_error("spare-pool".to_owned(), message));
        }
    }

    fn check_queues(&self, errors: &mut Vec<DeclarationError>) {
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let message = format!("pool {0} is not declared; add [pools.{0}]", queue.pool);
                errors.push(declaration_error(format!("queues.{name}.pool"), message));
            }
            check_queue_bounds(name, queue, errors);
            self.check_shares(name, queue, errors);
        }
    }

    fn check_shares(
        &self,
        name: &QueueName,
        queue: &QueueTarget,
        errors: &mut Vec<DeclarationError>,
    ) {
        let field = format!("queues.{name}.shares");
        for (customer, share) in &queue.shares {
            if !self.customers.contains_key(customer) {
                let message = format!(
                    "customer {customer} has no limit; add [teams.{customer}] with a limit"
                );
                errors.push(declaration_error(format!("{field}.{customer}"), message));
            }
            if !(share.is_finite() && *share > 0.0) {
                let message = format!("{share} is not a share; use a number above 0, up to 1");
                errors.push(declaration_error(format!("{field}.{customer}"), message));
            }
        }
        let sum: f64 = queue.shares.values().sum();
        if sum > MAX_SHARE_SUM + SHARE_EPSILON {
            let message = format!("the shares add up to {sum}; they may add up to 1 at most");
            errors.push(declaration_error(field, message));
        }
    }

    fn check_customers(&self, errors: &mut Vec<DeclarationError>) {
        for (name, customer) in &self.customers {
            let field = format!("teams.{name}.limit");
            check_count(
                field,
                customer.limit.into(),
                1,
                MAX_CUSTOMER_LIMIT.into(),
                errors,
            );
        }
    }
}

fn check_queue_bounds(name: &QueueName, queue: &QueueTarget, errors: &mut Vec<DeclarationError>) {
    let field = |field_name| format!("queues.{name}.{field_name}");
    let timeout = queue.max_timeout_seconds.into();
    check_count(
        field("max-timeout-seconds"),
        timeout,
        1,
        MAX_DURATION_SECONDS.into(),
        errors,
    );
    check_count(
        field("max-body-bytes"),
        queue.max_body_bytes,
        1,
        MAX_BODY_BYTES,
        errors,
    );
    let waiting = queue.max_waiting_per_customer.into();
    check_count(
        field("max-waiting-per-team"),
        waiting,
        1,
        MAX_QUEUE_DEPTH.into(),
        errors,
    );
}

fn check_count(field: String, value: u64, low: u64, high: u64, errors: &mut Vec<DeclarationError>) {
    if !(low..=high).contains(&value) {
        let message = format!("{value} is out of range; use {low} to {high}");
        errors.push(declaration_error(field, message));
    }
}

fn declaration_error(field: String, message: String) -> DeclarationError {
    DeclarationError {
        position: None,
        field,
        message,
    }
}
