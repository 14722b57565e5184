//! Capacity of pools: machines follow the demand.
//!
//! Load pattern: demand goes round between the queues; each in its turn asks
//! for several times its mean for some seconds, more than its pool holds, and
//! for almost nothing in between. [`CapacityPlanner`] sizes each pool by what
//! runs and waits there and by how that grows, takes machines that have
//! nothing to do from pools that hold too many, and parks those that no pool
//! needs in a pool that costs nothing.
//!
//! Work that cannot meet its objective any more gets machines only while no
//! pool is short of room for work that can.
//!
//! A machine with long-running tasks is never moved, and one with other
//! tasks only after they have finished.

use std::collections::{BTreeMap, VecDeque};
use std::time;

use crate::name::{MachineName, PoolName, WorkerId};
use crate::time::BootTime;
use crate::upkeep::WorkerLoad;

/// Bounds of the planner.
#[derive(Clone, Debug)]
pub struct CapacitySettings {
    /// Room kept above the work that arrives, as a share of it.
    pub headroom: f64,
    /// Time for which the growth of the arrivals is carried on: that of a move.
    pub lead_time: time::Duration,
    /// Time over which arrivals are counted.
    pub rate_window: time::Duration,
    /// Standard deviations by which arrivals must rise to count as growing.
    pub growth_confidence: f64,
    /// Time for which a pool keeps the room of its highest demand.
    pub hold_time: time::Duration,
    /// Time for which a machine must be of no use before it is parked.
    pub park_delay: time::Duration,
    /// Machines of a pool that are kept beyond those with long-running tasks.
    pub least_free: u32,
    /// Time after which a move that was not answered is given up.
    pub move_timeout: time::Duration,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            headroom: 0.25,
            lead_time: time::Duration::from_millis(1_500),
            rate_window: time::Duration::from_millis(1_000),
            growth_confidence: 1.5,
            hold_time: time::Duration::from_millis(1_200),
            park_delay: time::Duration::from_millis(1_200),
            least_free: 1,
            move_timeout: time::Duration::from_secs(4),
        }
    }
}

/// Demand of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolDemand {
    /// Processor of tasks that end by themselves and run, in thousandths of a core.
    pub running: u64,
    /// Processor of tasks that wait for room and can meet their objective.
    pub waiting: u64,
    /// Processor of tasks that wait although they cannot meet it any more.
    pub waiting_late: u64,
    /// Processor of long-running tasks.
    pub long_running: u64,
    /// Long-running tasks that wait for room; each may need a machine of its own.
    pub waiting_long_running: u64,
    /// Jobs that arrived since the scheduler began, long-running ones aside.
    pub arrived_jobs: u64,
    /// Work of these jobs by its estimate, in thousandths of a core times
    /// milliseconds.
    pub arrived_work: u64,
}

/// Machine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMachine {
    /// Pool that it belongs to, or is on the way to.
    pub pool: PoolName,
    /// Whether its worker takes work, or will without further orders.
    pub is_sound: bool,
    /// Whether it may be moved now: up, and not part of upkeep.
    pub is_movable: bool,
    /// Worker on it.
    pub worker: Option<WorkerId>,
    /// What the worker runs.
    pub load: WorkerLoad,
    /// Its processor, in thousandths of a core.
    pub cpu_millis: u64,
}

/// Pool as the planner sees it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolFact {
    /// Whether its machines are off and cost nothing.
    pub is_standby: bool,
    /// What is asked of it.
    pub demand: PoolDemand,
}

/// What the planner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CapacityAction {
    /// Keep new work away from a worker, so that its machine can be moved.
    Prepare(WorkerId),
    /// Let a worker have new work again.
    Release(WorkerId),
    /// Move a machine to a pool.
    Move {
        /// The machine.
        machine: MachineName,
        /// Worker that runs on it.
        worker: Option<WorkerId>,
        /// The pool.
        pool: PoolName,
    },
}

/// Demand of a pool over the last seconds.
#[derive(Clone, Debug, Default)]
struct DemandHistory {
    samples: VecDeque<DemandSample>,
    /// What was wanted lately.
    wanted: VecDeque<WantedSample>,
}

#[derive(Clone, Copy, Debug)]
struct DemandSample {
    at: BootTime,
    arrived_jobs: u64,
}

#[derive(Clone, Copy, Debug)]
struct WantedSample {
    at: BootTime,
    /// In thousandths of a core.
    cpu_millis: u64,
}

impl DemandHistory {
    fn record(&mut self, at: BootTime, arrived_jobs: u64, settings: &CapacitySettings) {
        self.samples.push_back(DemandSample { at, arrived_jobs });
        let keep = settings.rate_window * 2;
        while let Some(oldest) = self.samples.front() {
            if at.saturating_since(oldest.at) <= keep {
                break;
            }
            self.samples.pop_front();
        }
    }

    fn arrived_at(&self, now: BootTime, age: time::Duration) -> Option<u64> {
        let mut samples = self.samples.iter();
        let sample = samples.find(|sample| now.saturating_since(sample.at) <= age);
        sample.map(|sample| sample.arrived_jobs)
    }

    /// Returns the jobs a second that are expected when a move that begins
    /// now is over.
    ///
    /// Few arrivals scatter; only a rise that scatter does not explain is
    /// carried on.
    fn expected_rate(&self, now: BootTime, settings: &CapacitySettings) -> f64 {
        let window = settings.rate_window;
        let (Some(before), Some(middle), Some(last)) = (
            self.arrived_at(now, window * 2),
            self.arrived_at(now, window),
            self.samples.back().map(|sample| sample.arrived_jobs),
        ) else {
            return 0.0;
        };
        let former = middle.saturating_sub(before) as f64;
        let latest = last.saturating_sub(middle) as f64;
        let seconds = window.as_secs_f64();
        let rise = latest - former;
        let scatter = settings.growth_confidence * (latest + former).sqrt();
        let growth = if rise > scatter { rise / seconds } else { 0.0 };
        let ahead = growth / seconds * settings.lead_time.as_secs_f64();
        latest / seconds + ahead
    }

    /// Notes what is wanted now; returns the most that was wanted lately.
    fn hold(&mut self, at: BootTime, cpu_millis: u64, keep: time::Duration) -> u64 {
        self.wanted.push_back(WantedSample { at, cpu_millis });
        while let Some(oldest) = self.wanted.front() {
            if at.saturating_since(oldest.at) <= keep {
                break;
            }
            self.wanted.pop_front();
        }
        let wanted = self.wanted.iter().map(|sample| sample.cpu_millis);
        wanted.max().unwrap_or(0)
    }
}

/// Returns the mean work of a job, in thousandths of a core times seconds.
fn mean_work(demand: &PoolDemand) -> f64 {
    if demand.arrived_jobs == 0 {
        return 0.0;
    }
    demand.arrived_work as f64 / demand.arrived_jobs as f64 / 1_000.0
}

/// How a pool stands against its demand, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct PoolBalance {
    is_standby: bool,
    /// What it needs now and in the near future.
    wanted: u64,
    /// What its late work needs besides, if no other pool is short.
    late: u64,
    /// What it keeps before it gives machines away.
    kept: u64,
    /// What it has, machines on the way to it included.
    held: u64,
}

/// Machine that is being emptied for a move.
#[derive(Clone, Debug)]
struct EmptyingMachine {
    worker: WorkerId,
    pool: PoolName,
}

/// Sizes pools by their demand.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    settings: CapacitySettings,
    history: BTreeMap<PoolName, DemandHistory>,
    /// Since when machines have been of no use where they are.
    idle_since: BTreeMap<MachineName, BootTime>,
    emptying: BTreeMap<MachineName, EmptyingMachine>,
    /// Moves that were ordered and are not answered.
    ordered: BTreeMap<MachineName, BootTime>,
}

impl CapacityPlanner {
    /// Creates a planner without a past.
    pub fn new(settings: CapacitySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that a move was answered.
    pub fn move_answered(&mut self, machine: &MachineName) {
        self.ordered.remove(machine);
    }

    /// Decides which machines to move.
    pub fn plan(
        &mut self,
        pools: &BTreeMap<PoolName, PoolFact>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        now: BootTime,
    ) -> Vec<CapacityAction> {
        let timeout = self.settings.move_timeout;
        self.ordered
            .retain(|_, since| now.saturating_since(*since) < timeout);
        let mut balances = self.balances(pools, machines, now);
        let mut actions = Vec::new();
        self.move_emptied(machines, &balances, now, &mut actions);
        self.fill_deficits(machines, &mut balances, now, &mut actions);
        let is_any_short = balances
            .values()
            .any(|balance| !balance.is_standby && balance.wanted > balance.held);
        if !is_any_short {
            for balance in balances.values_mut() {
                balance.wanted += balance.late;
                balance.kept += balance.late;
            }
            self.fill_deficits(machines, &mut balances, now, &mut actions);
        }
        self.park_idle(machines, &mut balances, now, &mut actions);
        actions
    }

    fn balances(
        &mut self,
        pools: &BTreeMap<PoolName, PoolFact>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        now: BootTime,
    ) -> BTreeMap<PoolName, PoolBalance> {
        let settings = self.settings.clone();
        let mut balances = BTreeMap::new();
        for (name, fact) in pools {
            let demand = fact.demand;
            let history = self.history.entry(name.clone()).or_default();
            history.record(now, demand.arrived_jobs, &settings);
            let rate = history.expected_rate(now, &settings);
            let arriving = rate * mean_work(&demand) * (1.0 + settings.headroom);
            let present = demand.running + demand.waiting;
            let wanted = present.max(arriving as u64) + demand.long_running;
            let balance = PoolBalance {
                is_standby: fact.is_standby,
                wanted,
                late: demand.waiting_late,
                kept: history.hold(now, wanted, settings.hold_time),
                held: 0,
            };
            balances.insert(name.clone(), balance);
        }
        for (name, machine) in machines {
            let leaves = self.emptying.contains_key(name);
            if let Some(balance) = balances.get_mut(&machine.pool)
                && machine.is_sound
                && !leaves
            {
                balance.held += machine.cpu_millis;
            }
        }
        for emptying in self.emptying.values() {
            let cpu = machines.values().map(|machine| machine.cpu_millis).max();
            if let Some(balance) = balances.get_mut(&emptying.pool) {
                balance.held += cpu.unwrap_or(0);
            }
        }
        self.keep_least(pools, machines, &mut balances);
        balances
    }

    /// Raises what pools want to the machines with long-running tasks, one for
    /// each such task that waits, and a few more.
    fn keep_least(
        &self,
        pools: &BTreeMap<PoolName, PoolFact>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &mut BTreeMap<PoolName, PoolBalance>,
    ) {
        let mut least: BTreeMap<&PoolName, u64> = BTreeMap::new();
        let mut size = 0;
        for machine in machines.values() {
            size = size.max(machine.cpu_millis);
            if machine.load.long_running > 0 {
                *least.entry(&machine.pool).or_default() += machine.cpu_millis;
            }
        }
        for (name, balance) in balances {
            if balance.is_standby {
                continue;
            }
            let bound = least.get(name).copied().unwrap_or(0);
            let waiting = pools
                .get(name)
                .map_or(0, |fact| fact.demand.waiting_long_running);
            let free = (u64::from(self.settings.least_free) + waiting) * size;
            balance.wanted = balance.wanted.max(bound + free);
            balance.kept = balance.kept.max(bound + free);
        }
    }

    /// Moves the machines that have become empty, and releases those that are
    /// not wanted any more.
    fn move_emptied(
        &mut self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &BTreeMap<PoolName, PoolBalance>,
        now: BootTime,
        actions: &mut Vec<CapacityAction>,
    ) {
        let mut left = BTreeMap::new();
        for (name, emptying) in std::mem::take(&mut self.emptying) {
            let machine = machines.get(&name);
            let worker = machine.and_then(|machine| machine.worker.as_ref());
            let Some(machine) = machine.filter(|_| worker == Some(&emptying.worker)) else {
                actions.push(CapacityAction::Release(emptying.worker));
                continue;
            };
            let target = balances.get(&emptying.pool).copied().unwrap_or_default();
            let is_wanted = target.wanted + machine.cpu_millis > target.held;
            if !is_wanted || !machine.is_movable || machine.load.long_running > 0 {
                actions.push(CapacityAction::Release(emptying.worker));
                continue;
            }
            if machine.load.finite > 0 {
                left.insert(name, emptying);
                continue;
            }
            self.order(&name, machine, &emptying.pool, now, actions);
        }
        self.emptying = left;
    }

    fn order(
        &mut self,
        name: &MachineName,
        machine: &PoolMachine,
        pool: &PoolName,
        now: BootTime,
        actions: &mut Vec<CapacityAction>,
    ) {
        self.ordered.insert(name.clone(), now);
        self.idle_since.remove(name);
        actions.extend(machine.worker.clone().map(CapacityAction::Prepare));
        actions.push(CapacityAction::Move {
            machine: name.clone(),
            worker: machine.worker.clone(),
            pool: pool.clone(),
        });
    }

    /// Takes machines from pools that hold too many to those that need them.
    fn fill_deficits(
        &mut self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &mut BTreeMap<PoolName, PoolBalance>,
        now: BootTime,
        actions: &mut Vec<CapacityAction>,
    ) {
        let mut short: Vec<(u64, PoolName)> = balances
            .iter()
            .filter(|(_, balance)| !balance.is_standby && balance.wanted > balance.held)
            .map(|(name, balance)| (balance.wanted - balance.held, name.clone()))
            .collect();
        short.sort_by(|one, other| other.cmp(one));
        for (deficit, pool) in short {
            let mut missing = deficit;
            while missing > 0 {
                let Some(name) = self.best_donor(machines, balances, &pool) else {
                    break;
                };
                let machine = &machines[&name];
                missing = missing.saturating_sub(machine.cpu_millis);
                take(balances, &machine.pool, &pool, machine.cpu_millis);
                match &machine.worker {
                    Some(worker) if machine.load.finite > 0 => {
                        actions.push(CapacityAction::Prepare(worker.clone()));
                        let emptying = EmptyingMachine {
                            worker: worker.clone(),
                            pool: pool.clone(),
                        };
                        self.emptying.insert(name, emptying);
                    }
                    _ => self.order(&name, machine, &pool, now, actions),
                }
            }
        }
    }

    /// Returns the machine that is missed least where it is.
    fn best_donor(
        &self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &BTreeMap<PoolName, PoolBalance>,
        pool: &PoolName,
    ) -> Option<MachineName> {
        let candidates = machines.iter().filter(|(name, machine)| {
            let Some(balance) = balances.get(&machine.pool) else {
                return false;
            };
            let has_surplus = balance.is_standby
                || balance.held.saturating_sub(balance.kept) >= machine.cpu_millis;
            machine.pool != *pool && has_surplus && self.is_free(name, machine)
        });
        let best = candidates.min_by_key(|(name, machine)| {
            let is_parked = balances
                .get(&machine.pool)
                .is_some_and(|balance| balance.is_standby);
            // One that is paid for anyway goes before one that is parked.
            (machine.load.finite, is_parked, (*name).clone())
        });
        best.map(|(name, _)| name.clone())
    }

    fn is_free(&self, name: &MachineName, machine: &PoolMachine) -> bool {
        machine.is_movable
            && machine.load.long_running == 0
            && !self.ordered.contains_key(name)
            && !self.emptying.contains_key(name)
    }

    /// Parks machines that no pool has needed for a while.
    fn park_idle(
        &mut self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &mut BTreeMap<PoolName, PoolBalance>,
        now: BootTime,
        actions: &mut Vec<CapacityAction>,
    ) {
        let standby = balances.iter().find(|(_, balance)| balance.is_standby);
        let Some(standby) = standby.map(|(name, _)| name.clone()) else {
            return;
        };
        for (name, machine) in machines {
            let Some(balance) = balances.get(&machine.pool).copied() else {
                continue;
            };
            let is_spare = !balance.is_standby
                && balance.held.saturating_sub(balance.kept) >= machine.cpu_millis
                && machine.load.finite == 0
                && self.is_free(name, machine);
            if !is_spare {
                self.idle_since.remove(name);
                continue;
            }
            let since = *self.idle_since.entry(name.clone()).or_insert(now);
            if now.saturating_since(since) < self.settings.park_delay {
                continue;
            }
            take(balances, &machine.pool, &standby, machine.cpu_millis);
            self.order(name, machine, &standby, now, actions);
        }
    }
}

fn take(
    balances: &mut BTreeMap<PoolName, PoolBalance>,
    from: &PoolName,
    to: &PoolName,
    cpu_millis: u64,
) {
    if let Some(balance) = balances.get_mut(from) {
        balance.held = balance.held.saturating_sub(cpu_millis);
    }
    if let Some(balance) = balances.get_mut(to) {
        balance.held += cpu_millis;
    }
}
