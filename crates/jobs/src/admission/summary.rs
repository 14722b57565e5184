//! Published summary of the work that waits for each pool.
//!
//! Load pattern: a flood at many entry VMs at once, of which each sees a part. The
//! owner sees all of it, and its summary is small enough to be read by each entry VM
//! several times a second.

use std::cmp;
use std::collections::BTreeMap;
use std::time;

use serde::{Deserialize, Serialize, Serializer};

use crate::name::{CustomerName, PoolName};
use crate::time::WallTime;

/// Largest number of pools in a summary; those with the longest backlog are kept.
pub const MAX_POOLS: usize = 8;

/// Largest number of customers of a pool that a summary lists one by one; the others
/// share one entry.
pub const MAX_CUSTOMERS: usize = 8;

/// Largest number of levels of one customer.
pub const MAX_LEVELS: usize = 16;

/// Time over which rates of work are averaged.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Latest start, counted from the publication, up to which work is in the first
/// level of its priority, in milliseconds.
const FIRST_EDGE_MS: f64 = 250.0;

/// Levels per doubling of the latest start.
const LEVELS_PER_DOUBLING: f64 = 4.0;

/// Positions of latest starts in one level.
const POSITIONS_PER_LEVEL: f64 = 8.0;

/// Time after which the first machine that a pool gets can run tasks.
const MOVE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Work that waits for the pools with the longest backlogs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct BacklogSummary {
    /// When it was made, by the clock of the owner.
    pub published: WallTime,
    /// Backlogs of the pools; a pool that is not listed has none worth mentioning.
    ///
    /// Its name in the row belongs to the form of the levels: a process that knows
    /// another one reads no pools, and admits.
    #[serde(rename = "pool-backlogs")]
    pub pools: BTreeMap<PoolName, PoolBacklog>,
}

/// Capacity of one pool, and the work that waits for it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct PoolBacklog {
    /// Estimated work that its workers do if all are busy, in core-milliseconds a
    /// second.
    pub work_rate: u64,
    /// The same of idle machines that the pool may get.
    pub reachable_work_rate: u64,
    /// Customers with the largest backlogs.
    pub customers: Vec<CustomerBacklog>,
    /// Sum of the other customers that use the pool, if there are any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rest: Option<CustomerBacklog>,
}

/// Work of one customer in one pool.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct CustomerBacklog {
    /// The customer; jobs without one count as one customer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// Weight of its share.
    pub weight: f64,
    /// Estimated remaining work of its running tasks, in core-milliseconds.
    pub running: u64,
    /// Estimated work of its waiting tasks that can still be done in time.
    pub levels: Vec<BacklogLevel>,
    /// Estimated work of the waiting tasks that can no longer be done in time, in
    /// core-milliseconds. Entry VMs need it for nothing, so that it is not in the row.
    #[serde(skip)]
    pub expired: u64,
    /// Estimated work of the jobs that arrive, in core-milliseconds a second.
    pub arrival_rate: u64,
    /// Estimated work that is done, in core-milliseconds a second.
    pub drain_rate: u64,
    /// Estimated number of entry VMs that get its jobs.
    #[serde(rename = "vms")]
    pub entry_count: u64,
}

/// Waiting work of one priority that must start at about the same time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct BacklogLevel {
    /// Priority; 0 comes first.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Mean position of the latest starts on a logarithmic scale, published as a whole
    /// number.
    #[serde(rename = "s", serialize_with = "serialize_rounded")]
    pub position: f64,
    /// Estimated work, in core-milliseconds.
    #[serde(rename = "w")]
    pub work: u64,
}

impl BacklogLevel {
    /// Creates a level for work that must start within `latest_start` of the
    /// publication.
    pub fn new(priority: u32, latest_start: time::Duration, work: u64) -> Self {
        let doublings = (latest_start.as_millis() as f64 / FIRST_EDGE_MS).log2();
        let position = doublings * LEVELS_PER_DOUBLING * POSITIONS_PER_LEVEL;
        Self {
            priority,
            position: position.max(0.0),
            work,
        }
    }

    /// Returns the number of the interval of the latest starts.
    fn interval(&self) -> u32 {
        (self.position / POSITIONS_PER_LEVEL).ceil() as u32
    }

    /// Returns the mean latest start of its work; in the first interval this is at once.
    pub(super) fn start_ms(&self) -> f64 {
        if self.interval() == 0 {
            return 0.0;
        }
        let doublings = self.position / POSITIONS_PER_LEVEL / LEVELS_PER_DOUBLING;
        FIRST_EDGE_MS * doublings.exp2()
    }

    fn begin_ms(&self) -> f64 {
        match self.interval() {
            0 => 0.0,
            interval => FIRST_EDGE_MS * (f64::from(interval - 1) / LEVELS_PER_DOUBLING).exp2(),
        }
    }

    /// Returns the work that must start within `start_ms`, in core-milliseconds; all
    /// latest starts are taken for their mean.
    fn due_within(&self, start_ms: f64) -> f64 {
        if self.start_ms() <= start_ms {
            self.work as f64
        } else {
            0.0
        }
    }

    /// Adds the work of another level.
    fn merge(&mut self, other: &Self) {
        let work = self.work.saturating_add(other.work);
        let fraction = other.work as f64 / work.max(1) as f64;
        self.position += (other.position - self.position) * fraction;
        self.work = work;
    }
}

fn serialize_rounded<S: Serializer>(position: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(position.round() as u64)
}

/// Returns the rate after a period of `seconds` in which `work` came, given the rate
/// before it, in core-milliseconds a second.
pub(crate) fn averaged_rate(rate: f64, work: u64, seconds: f64) -> f64 {
    let weight = (seconds / RATE_WINDOW.as_secs_f64()).min(1.0);
    rate + weight * (work as f64 / seconds - rate)
}

/// Returns the work of `priority` and of those before it that must start within
/// `start_ms`, in core-milliseconds.
pub(super) fn work_due(levels: &[BacklogLevel], priority: u32, start_ms: f64) -> f64 {
    let ahead = levels.iter().filter(|level| level.priority <= priority);
    ahead.map(|level| level.due_within(start_ms)).sum()
}

/// Returns the work that is placed before a job of `priority` that must start within
/// `start_ms`, in core-milliseconds: all of the priorities before it, and what must
/// start earlier of its own. The work of its own interval counts, since jobs of one
/// kind follow each other.
pub(super) fn work_ahead(levels: &[BacklogLevel], priority: u32, start_ms: f64) -> f64 {
    let works = levels.iter().map(|level| {
        let is_ahead =
            level.priority < priority || level.priority == priority && level.begin_ms() < start_ms;
        if is_ahead { level.work as f64 } else { 0.0 }
    });
    works.sum()
}

impl CustomerBacklog {
    /// Returns the estimated work of the waiting tasks that can be done in time, in
    /// core-milliseconds.
    pub fn waiting(&self) -> u64 {
        self.levels.iter().map(|level| level.work).sum()
    }

    /// Returns the estimated work that is not done, in core-milliseconds.
    pub fn unfinished(&self) -> u64 {
        self.running + self.waiting() + self.expired
    }

    /// Adds waiting work to the level that it belongs to.
    pub fn add_level(&mut self, added: BacklogLevel) {
        let mut levels = self.levels.iter_mut();
        let same = levels
            .find(|level| (level.priority, level.interval()) == (added.priority, added.interval()));
        match same {
            Some(level) => level.merge(&added),
            None => self.levels.push(added),
        }
    }

    /// Merges the levels that come last until there are at most [`MAX_LEVELS`].
    pub fn limit_levels(&mut self) {
        self.levels
            .sort_by_key(|level| (level.priority, level.interval()));
        while self.levels.len() > MAX_LEVELS {
            let Some(last) = self.levels.pop() else {
                return;
            };
            if let Some(level) = self.levels.last_mut() {
                level.priority = last.priority;
                level.merge(&last);
            }
        }
        for level in &mut self.levels {
            level.position = level.position.round();
        }
    }

    /// Returns the work that the customer claims of its pool within `span_ms`, in
    /// core-milliseconds.
    fn claim(&self, span_ms: f64) -> f64 {
        let arriving = self.arrival_rate as f64 * span_ms / 1_000.0;
        self.running as f64 + self.waiting() as f64 + arriving
    }

    /// Adds another customer's work.
    fn merge(&mut self, other: &Self) {
        self.weight += other.weight;
        self.running += other.running;
        self.expired += other.expired;
        self.arrival_rate += other.arrival_rate;
        self.drain_rate += other.drain_rate;
        self.entry_count = self.entry_count.max(other.entry_count);
        for level in &other.levels {
            self.add_level(*level);
        }
    }
}

impl PoolBacklog {
    /// Returns the entry of a customer, if it is listed.
    pub fn customer(&self, name: &Option<CustomerName>) -> Option<&CustomerBacklog> {
        let mut customers = self.customers.iter();
        customers.find(|entry| entry.customer == *name)
    }

    /// Returns whether no worker can run its jobs, and no machine can be moved to it.
    pub(super) fn has_no_capacity(&self) -> bool {
        self.work_rate == 0 && self.reachable_work_rate == 0
    }

    /// Returns the estimated work of all waiting tasks that can be done in time, in
    /// core-milliseconds.
    pub fn waiting(&self) -> u64 {
        let customers = self.customers.iter().chain(&self.rest);
        customers.map(CustomerBacklog::waiting).sum()
    }

    /// Returns the work that the pool can do within `span_ms`, in core-milliseconds.
    fn capacity(&self, span_ms: f64) -> f64 {
        let moved_ms = span_ms - MOVE_TIME.as_millis() as f64;
        let present = self.work_rate as f64 * span_ms;
        let moved = self.reachable_work_rate as f64 * moved_ms.max(0.0);
        (present + moved) / 1_000.0
    }

    /// Returns the work that the pool does for a customer within `span_ms` if the
    /// customer claims as much as it can get, in core-milliseconds: its share by
    /// weight, and what the others do not claim of theirs.
    pub(super) fn allotment(&self, customer: &CustomerBacklog, span_ms: f64) -> f64 {
        let others = self.customers.iter().chain(&self.rest);
        let others = others.filter(|other| !std::ptr::eq(*other, customer));
        let mut claims: Vec<(f64, f64)> = others
            .map(|other| (other.claim(span_ms), other.weight))
            .filter(|(claim, weight)| *claim > 0.0 && *weight > 0.0)
            .collect();
        claims.sort_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
        let mut capacity = self.capacity(span_ms);
        let weights = claims.iter().map(|(_, weight)| weight);
        let mut weight: f64 = customer.weight + weights.sum::<f64>();
        for (claim, other_weight) in claims {
            if claim / other_weight >= capacity / weight {
                break;
            }
            capacity -= claim;
            weight -= other_weight;
        }
        capacity * customer.weight / weight
    }

    /// Keeps the customers with the largest backlogs and merges the others.
    pub fn limit_customers(&mut self) {
        self.customers
            .sort_by_key(|entry| cmp::Reverse(entry.unfinished()));
        for entry in self.customers.iter().skip(MAX_CUSTOMERS) {
            self.rest.get_or_insert_default().merge(entry);
        }
        self.customers.truncate(MAX_CUSTOMERS);
        for entry in self.customers.iter_mut().chain(&mut self.rest) {
            entry.limit_levels();
        }
    }
}

impl BacklogSummary {
    /// Keeps the pools whose backlogs take longest, within the bounds of a summary.
    pub fn limit(&mut self) {
        for pool in self.pools.values_mut() {
            pool.limit_customers();
        }
        let delay = |pool: &PoolBacklog| pool.waiting() as f64 / pool.work_rate.max(1) as f64;
        while self.pools.len() > MAX_POOLS {
            let shortest = self
                .pools
                .iter()
                .min_by(|(_, one), (_, other)| delay(one).total_cmp(&delay(other)));
            let Some(name) = shortest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.pools.remove(&name);
        }
    }
}
