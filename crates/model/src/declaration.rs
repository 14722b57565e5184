//! Declarations of a fleet: the targets that operators set.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::error::{DeclarationFault, Error, Place, Result};
use crate::name::{PoolName, QueueName, TeamName};

/// Sum of the shares of a queue must stay at or below this.
const MAX_SHARE_SUM: f64 = 1.0;

/// Tolerance when shares are added up.
const SHARE_EPSILON: f64 = 1e-9;

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
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamTarget>,
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
    #[serde(default)]
    pub long_jobs: LongJobs,
}

/// What happens to requests that outlast the drain time of their pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LongJobs {
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
    /// Largest number of waiting requests of one team at one entry VM.
    #[serde(default = "default_queue_depth")]
    pub max_waiting_per_team: u32,
    /// Share of each team when demand exceeds capacity, as fractions of one.
    #[serde(default)]
    pub shares: BTreeMap<TeamName, f64>,
}

/// Targets of one team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TeamTarget {
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
/// Fails with a place if the text is not well-formed or names an unknown
/// field, and with the whole list of faults if its content cannot hold.
pub fn from_toml(text: &str) -> Result<FleetDeclaration> {
    let fleet: FleetDeclaration = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        Error::syntax(place_of(text, offset), error.message().to_owned())
    })?;
    fleet.check()?;
    Ok(fleet)
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
        let mut faults = Vec::new();
        self.check_pools(&mut faults);
        self.check_queues(&mut faults);
        self.check_teams(&mut faults);
        if faults.is_empty() {
            return Ok(());
        }
        Err(Error::faults(faults))
    }

    fn check_pools(&self, faults: &mut Vec<DeclarationFault>) {
        for (name, pool) in &self.pools {
            if pool.max_unavailable > pool.vms {
                let message = format!(
                    "{} is larger than the pool's {} VMs; lower it",
                    pool.max_unavailable, pool.vms
                );
                faults.push(fault(format!("pools.{name}.max-unavailable"), message));
            }
        }
        if let Some(spare) = &self.spare_pool
            && !self.pools.contains_key(spare)
        {
            let message = format!("pool {spare} is not declared; add [pools.{spare}]");
            faults.push(fault("spare-pool".to_owned(), message));
        }
    }

    fn check_queues(&self, faults: &mut Vec<DeclarationFault>) {
        for (name, queue) in &self.queues {
            if !self.pools.contains_key(&queue.pool) {
                let message = format!("pool {0} is not declared; add [pools.{0}]", queue.pool);
                faults.push(fault(format!("queues.{name}.pool"), message));
            }
            self.check_shares(name, queue, faults);
        }
    }

    fn check_shares(
        &self,
        name: &QueueName,
        queue: &QueueTarget,
        faults: &mut Vec<DeclarationFault>,
    ) {
        let field = format!("queues.{name}.shares");
        for (team, share) in &queue.shares {
            if !self.teams.contains_key(team) {
                let message = format!("team {team} has no limit; add [teams.{team}] with a limit");
                faults.push(fault(format!("{field}.{team}"), message));
            }
            if !(share.is_finite() && *share > 0.0) {
                let message = format!("{share} is not a share; use a number above 0, up to 1");
                faults.push(fault(format!("{field}.{team}"), message));
            }
        }
        let sum: f64 = queue.shares.values().sum();
        if sum > MAX_SHARE_SUM + SHARE_EPSILON {
            let message = format!("the shares add up to {sum}; they may add up to 1 at most");
            faults.push(fault(field, message));
        }
    }

    fn check_teams(&self, faults: &mut Vec<DeclarationFault>) {
        let mut unlimited = BTreeSet::new();
        for (name, team) in &self.teams {
            if team.limit == 0 {
                unlimited.insert(name);
            }
        }
        for name in unlimited {
            let message = "a limit of 0 lets the team run nothing; use 1 or more".to_owned();
            faults.push(fault(format!("teams.{name}.limit"), message));
        }
    }
}

fn fault(field: String, message: String) -> DeclarationFault {
    DeclarationFault { field, message }
}

/// Returns the line and column of the byte at `offset`.
fn place_of(text: &str, offset: usize) -> Place {
    let before = &text[..offset.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let column = before[line_start..].chars().count() + 1;
    Place { line, column }
}
