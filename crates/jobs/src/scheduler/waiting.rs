//! Jobs with ready tasks that have no run, in the order in which they are placed.
//!
//! Load pattern: a backlog of thousands of jobs while each change frees capacity
//! for a few tasks only. The order is kept, not computed: a change costs what the
//! jobs that it concerns cost, and jobs that cannot fit are skipped without a look
//! at any worker. A customer's queue is not looked at if the free capacity holds not
//! even the least amounts that its jobs need, as in a full pool between two ends of
//! runs.
//!
//! Load pattern: five times the mean demand for seconds. By due time, each job
//! would begin just before it is late and lack the time for its later steps; by
//! least work, small and nearly finished jobs end in time.

use std::cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::ops::Bound;

use crate::name::{CustomerName, JobId, PoolName};
use crate::spec::ResourceAmount;
use crate::time::WallTime;

use super::free_capacity::FreeCapacity;

/// Rank of a job among those of its customer that wait for the same pool; lower
/// goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct JobRank {
    /// Whether all of its waiting tasks are best-effort.
    pub(super) is_best_effort: bool,
    pub(super) is_finite: bool,
    pub(super) is_late: bool,
    /// Whether the job can no longer be of use.
    pub(super) is_expired: bool,
    pub(super) priority: u32,
    /// Estimated work of its tasks that have no run, in thousandths of a core times
    /// milliseconds; zero if the job is late, so that late jobs go by due time.
    pub(super) unplaced_work: u64,
    pub(super) due_ms: u64,
}

/// Waiting job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct WaitingEntry {
    pub(super) pool: PoolName,
    pub(super) customer: Option<CustomerName>,
    pub(super) rank: JobRank,
    /// Last time at which the job can still meet its objective if it is placed
    /// then, in milliseconds since the Unix epoch.
    pub(super) latest_start_ms: u64,
    /// Last time at which the job can still be of use if it is placed then, in
    /// milliseconds since the Unix epoch.
    pub(super) expiry_ms: u64,
    /// Least amount of each resource that a waiting task needs.
    pub(super) smallest_need: ResourceAmount,
    /// Number of ready tasks that have no run.
    pub(super) waiting_tasks: u64,
    /// Processor that these request, in thousandths of a core.
    pub(super) waiting_cpu: u64,
}

impl WaitingEntry {
    /// Returns the next time after which the job goes behind others, in milliseconds
    /// since the Unix epoch.
    fn next_deadline_ms(&self) -> Option<u64> {
        if !self.rank.is_late {
            return Some(self.latest_start_ms);
        }
        (!self.rank.is_expired).then_some(self.expiry_ms)
    }
}

/// Position of a job in the order of its customer.
type WaitingKey = (JobRank, JobId);

/// Amounts of one resource, each with the number of jobs that need it.
type AmountCounts = BTreeMap<u64, usize>;

/// Needs of the waiting jobs of one customer, in their order.
#[derive(Debug, Default)]
struct CustomerQueue {
    needs: BTreeMap<WaitingKey, ResourceAmount>,
    cpu_millis: AmountCounts,
    memory_mb: AmountCounts,
    accelerators: AmountCounts,
}

impl CustomerQueue {
    fn is_empty(&self) -> bool {
        self.needs.is_empty()
    }

    fn insert(&mut self, key: WaitingKey, need: ResourceAmount) {
        self.remove(&key);
        self.needs.insert(key, need);
        add_amount(&mut self.cpu_millis, need.cpu_millis);
        add_amount(&mut self.memory_mb, need.memory_mb);
        add_amount(&mut self.accelerators, need.accelerators);
    }

    fn remove(&mut self, key: &WaitingKey) {
        if let Some(need) = self.needs.remove(key) {
            remove_amount(&mut self.cpu_millis, need.cpu_millis);
            remove_amount(&mut self.memory_mb, need.memory_mb);
            remove_amount(&mut self.accelerators, need.accelerators);
        }
    }

    /// Returns the least amount of each resource that a job needs.
    fn least_need(&self) -> ResourceAmount {
        ResourceAmount {
            cpu_millis: least_amount(&self.cpu_millis),
            memory_mb: least_amount(&self.memory_mb),
            accelerators: least_amount(&self.accelerators),
        }
    }
}

fn add_amount(counts: &mut AmountCounts, amount: u64) {
    *counts.entry(amount).or_default() += 1;
}

fn remove_amount(counts: &mut AmountCounts, amount: u64) {
    if let Some(count) = counts.get_mut(&amount) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&amount);
        }
    }
}

fn least_amount(counts: &AmountCounts) -> u64 {
    counts.keys().next().copied().unwrap_or(0)
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    entries: HashMap<JobId, WaitingEntry>,
    pools: BTreeMap<PoolName, BTreeMap<Option<CustomerName>, CustomerQueue>>,
    /// Jobs that are not late or not expired yet, by their next deadline.
    deadlines: BTreeSet<(u64, JobId)>,
    /// Pools whose capacity or waiting jobs changed since their last placement.
    changed_pools: BTreeSet<PoolName>,
    /// Whether all pools count as changed.
    has_all_changed: bool,
    /// Number of jobs whose needs were compared with the free capacity.
    examined: cell::Cell<u64>,
}

impl WaitingJobs {
    /// Takes the number of jobs whose needs were compared with the free capacity.
    pub(super) fn take_examined(&mut self) -> u64 {
        self.examined.take()
    }

    /// Returns the jobs that wait, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &WaitingEntry)> {
        self.entries.iter()
    }

    /// Returns the pool for which a job waits.
    pub(super) fn pool(&self, id: &JobId) -> Option<&PoolName> {
        self.entries.get(id).map(|entry| &entry.pool)
    }

    /// Records that capacity or jobs of a pool changed.
    pub(super) fn mark_changed(&mut self, pool: &PoolName) {
        if !self.changed_pools.contains(pool) {
            self.changed_pools.insert(pool.clone());
        }
    }

    /// Records that capacity or jobs of any pool may have changed.
    pub(super) fn mark_all_changed(&mut self) {
        self.has_all_changed = true;
    }

    /// Takes the pools that changed and for which jobs wait.
    pub(super) fn take_changed(&mut self) -> Vec<PoolName> {
        let changed = mem::take(&mut self.changed_pools);
        let has_all_changed = mem::take(&mut self.has_all_changed);
        let pools = self.pools.keys();
        let pools = pools.filter(|pool| has_all_changed || changed.contains(*pool));
        pools.cloned().collect()
    }

    /// Adds a job, or updates its entry.
    pub(super) fn insert(&mut self, id: &JobId, entry: WaitingEntry) {
        if self.entries.get(id) == Some(&entry) {
            return;
        }
        self.remove(id);
        let customers = self.pools.entry(entry.pool.clone()).or_default();
        let queue = customers.entry(entry.customer.clone()).or_default();
        queue.insert((entry.rank, id.clone()), entry.smallest_need);
        if let Some(deadline_ms) = entry.next_deadline_ms() {
            self.deadlines.insert((deadline_ms, id.clone()));
        }
        self.entries.insert(id.clone(), entry);
    }

    /// Removes a job; does nothing if it does not wait.
    pub(super) fn remove(&mut self, id: &JobId) {
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        self.remove_from_queue(&entry, id);
        if let Some(deadline_ms) = entry.next_deadline_ms() {
            self.deadlines.remove(&(deadline_ms, id.clone()));
        }
    }

    fn remove_from_queue(&mut self, entry: &WaitingEntry, id: &JobId) {
        let Some(customers) = self.pools.get_mut(&entry.pool) else {
            return;
        };
        if let Some(queue) = customers.get_mut(&entry.customer) {
            queue.remove(&(entry.rank, id.clone()));
            if queue.is_empty() {
                customers.remove(&entry.customer);
            }
        }
        if customers.is_empty() {
            self.pools.remove(&entry.pool);
        }
    }

    /// Returns a job whose next deadline has passed.
    pub(super) fn next_overdue(&self, wall: WallTime) -> Option<JobId> {
        let (deadline_ms, id) = self.deadlines.first()?;
        (*deadline_ms < wall.as_millis()).then(|| id.clone())
    }

    /// Ranks a job whose deadline has passed: late behind those in time, or of no use
    /// behind late ones.
    pub(super) fn rank_overdue(&mut self, id: &JobId, wall: WallTime) {
        let entry = self.entries.get(id);
        let overdue = entry.filter(|entry| entry.latest_start_ms < wall.as_millis());
        if let Some(mut entry) = overdue.cloned() {
            entry.rank.is_late = true;
            entry.rank.is_expired = entry.expiry_ms < wall.as_millis();
            entry.rank.unplaced_work = 0;
            self.insert(id, entry);
        }
    }

    /// Returns the customers whose jobs wait for a pool.
    pub(super) fn customers(&self, pool: &PoolName) -> impl Iterator<Item = &Option<CustomerName>> {
        self.pools.get(pool).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns the least amount of each resource that a job needs that waits for a pool.
    pub(super) fn least_need(&self, pool: &PoolName) -> ResourceAmount {
        let customers = self.pools.get(pool).into_iter().flat_map(BTreeMap::values);
        let needs = customers.map(CustomerQueue::least_need);
        let least = needs.reduce(|one, other| one.component_min(&other));
        least.unwrap_or_default()
    }

    /// Returns a customer's first job after `last` of which a task may fit into
    /// `free`.
    fn next_fitting(
        &self,
        pool: &PoolName,
        customer: &Option<CustomerName>,
        last: Option<&WaitingKey>,
        free: &FreeCapacity,
    ) -> Option<WaitingKey> {
        let queue = self.pools.get(pool)?.get(customer)?;
        if !free.fits(&queue.least_need()) {
            return None;
        }
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = queue.needs.range((start, Bound::Unbounded));
        let mut examined = rest.inspect(|_| self.examined.set(self.examined.get() + 1));
        let next = examined.find(|(_, need)| free.fits(need));
        next.map(|(key, _)| key.clone())
    }

    /// Returns whether a task of the job may fit into the free capacity.
    fn fits(&self, id: &JobId, free: &FreeCapacity) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| free.fits(&entry.smallest_need))
    }
}

/// Next job of one customer in a visit; lower goes first.
///
/// Best-effort tasks go last. Long-running jobs go before others, those that can
/// meet their objective before those that cannot, these before those that can no longer
/// be of use, and among them the jobs of customers that have not used their share up.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct VisitHead {
    is_best_effort: bool,
    is_finite: bool,
    is_late: bool,
    is_expired: bool,
    is_share_used_up: bool,
    key: WaitingKey,
    customer: Option<CustomerName>,
}

/// Visit of the jobs that wait for a pool, each once.
#[derive(Debug)]
pub(super) struct PoolVisit {
    pool: PoolName,
    heads: BTreeSet<VisitHead>,
}

impl PoolVisit {
    /// Begins with the first job of each customer.
    pub(super) fn new(
        waiting: &WaitingJobs,
        pool: &PoolName,
        free: &FreeCapacity,
        is_used_up: impl Fn(&Option<CustomerName>) -> bool,
    ) -> Self {
        let mut visit = Self {
            pool: pool.clone(),
            heads: BTreeSet::new(),
        };
        for customer in waiting.customers(pool) {
            visit.add_next(waiting, customer, None, free, &is_used_up);
        }
        visit
    }

    fn add_next(
        &mut self,
        waiting: &WaitingJobs,
        customer: &Option<CustomerName>,
        last: Option<&WaitingKey>,
        free: &FreeCapacity,
        is_used_up: &impl Fn(&Option<CustomerName>) -> bool,
    ) {
        let next = waiting.next_fitting(&self.pool, customer, last, free);
        self.heads.extend(next.map(|key| VisitHead {
            is_best_effort: key.0.is_best_effort,
            is_finite: key.0.is_finite,
            is_late: key.0.is_late,
            is_expired: key.0.is_expired,
            is_share_used_up: is_used_up(customer),
            key,
            customer: customer.clone(),
        }));
    }

    /// Returns the next job of which a task may fit into the free capacity.
    pub(super) fn next(
        &mut self,
        waiting: &WaitingJobs,
        free: &FreeCapacity,
        is_used_up: impl Fn(&Option<CustomerName>) -> bool,
    ) -> Option<JobId> {
        loop {
            let mut head = self.heads.pop_first()?;
            let is_share_used_up = is_used_up(&head.customer);
            if is_share_used_up != head.is_share_used_up {
                head.is_share_used_up = is_share_used_up;
                self.heads.insert(head);
                continue;
            }
            let customer = &head.customer;
            let last = Some(&head.key);
            self.add_next(waiting, customer, last, free, &is_used_up);
            if waiting.fits(&head.key.1, free) {
                return Some(head.key.1);
            }
        }
    }
}
