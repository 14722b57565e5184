//! Capacity planning: moves machines between pools to follow the demand.
//!
//! Load pattern: demand rotates among the queues; each in its turn requests
//! several times its mean for some seconds, more than its pool holds, and
//! almost nothing in between. [`CapacityPlanner`] sizes each pool by its running
//! and waiting tasks and by the growth of its arrivals, takes idle machines from
//! pools with a surplus, and parks machines that no pool needs in a standby pool,
//! which costs nothing.
//!
//! Work that can no longer meet its objective gets machines only while no pool
//! lacks capacity for work that can.
//!
//! Free capacity on workers that the advisor denies to a waiting step does not count
//! for it: the pool gets machines until a worker is permitted.
//!
//! A machine with long-running tasks is never moved, and one with other
//! tasks only after they have finished.
//!
//! A machine of an evacuated data centre is no capacity of its pool. It is parked once it
//! is empty, and moved into no other pool.
//!
//! Owners may end every few seconds. What a move waits for is stored as
//! [`MoveWaits`], and the next owner counts on from there.

mod history;
mod waits;

use std::collections::{BTreeMap, BTreeSet};
use std::sync;
use std::time;

use crate::block::{WorkerBlock, WorkerBlocks};
use crate::maintenance::WorkerLoad;
use crate::name::{DataCentre, MachineName, PoolName, WorkerId};
use crate::time::BootTime;
use crate::wait::ElapsedWait;

use history::{DemandHistory, RequirementSample};

pub use waits::{EmptyingMachine, MoveWaits};

/// Limits and intervals of the planner.
#[derive(Clone, Debug)]
pub struct CapacitySettings {
    /// Capacity kept above the arriving work, as a share of it.
    pub headroom: f64,
    /// Time over which the growth of arrivals is extrapolated: the duration of a move.
    pub lead_time: time::Duration,
    /// Time over which arrivals are counted.
    pub rate_window: time::Duration,
    /// Standard deviations by which arrivals must rise to count as growing.
    pub growth_confidence: f64,
    /// Time for which a pool keeps the capacity of its highest demand.
    pub peak_window: time::Duration,
    /// Time for which a machine must be surplus before it is parked.
    pub park_delay: time::Duration,
    /// Machines of a pool that are kept beyond those with long-running tasks.
    pub min_free_machines: u32,
    /// Time after which a move that got no response is given up.
    pub move_timeout: time::Duration,
    /// Largest number of machines, and of pools, in stored waits.
    pub max_waits: usize,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            headroom: 0.25,
            lead_time: time::Duration::from_millis(1_500),
            rate_window: time::Duration::from_millis(1_000),
            growth_confidence: 1.5,
            peak_window: time::Duration::from_millis(1_200),
            park_delay: time::Duration::from_millis(1_200),
            min_free_machines: 1,
            move_timeout: time::Duration::from_secs(4),
            max_waits: 64,
        }
    }
}

/// Demand of one pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolDemand {
    /// Processor reserved by running tasks that end on their own, in thousandths of
    /// a core.
    pub running: u64,
    /// Processor needed by waiting tasks that can meet their objective, in
    /// thousandths of a core.
    pub waiting: u64,
    /// Processor needed by waiting tasks that can no longer meet their objective, in
    /// thousandths of a core.
    pub waiting_late: u64,
    /// Free processor of the workers that the advisor denies to a waiting step that can
    /// meet its objective or is long-running, the most of any such step, in thousandths
    /// of a core.
    pub denied: u64,
    /// The same for steps that can no longer meet their objective.
    pub denied_late: u64,
    /// Processor reserved by long-running tasks, in thousandths of a core.
    pub long_running: u64,
    /// Long-running tasks that wait for capacity; each may need a machine of its own.
    pub waiting_long_running: u64,
    /// Jobs that arrived since the scheduler started, except long-running ones.
    pub arrived_jobs: u64,
    /// Estimated work of these jobs, in thousandths of a core times milliseconds.
    pub arrived_work: u64,
}

/// Machine of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMachine {
    /// Pool that it belongs to, or is moving to.
    pub pool: PoolName,
    /// Whether its worker accepts tasks, or will without further orders.
    pub is_usable: bool,
    /// Whether it may be moved now: up, and not under maintenance.
    pub is_movable: bool,
    /// Its data centre, if known.
    pub data_centre: Option<DataCentre>,
    /// Worker on it.
    pub worker: Option<WorkerId>,
    /// Tasks that the worker runs.
    pub load: WorkerLoad,
    /// Its processor, in thousandths of a core.
    pub cpu_millis: u64,
}

/// Demand and kind of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolState {
    /// Whether its machines are off and cost nothing.
    pub is_standby: bool,
    /// Demand of the pool.
    pub demand: PoolDemand,
}

/// Move of a machine that the planner requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineMove {
    /// The machine.
    pub machine: MachineName,
    /// Worker that runs on it.
    pub worker: Option<WorkerId>,
    /// Pool that it joins.
    pub pool: PoolName,
}

/// Returns the mean work of a job, in thousandths of a core times seconds.
fn mean_work(demand: &PoolDemand) -> f64 {
    if demand.arrived_jobs == 0 {
        return 0.0;
    }
    demand.arrived_work as f64 / demand.arrived_jobs as f64 / 1_000.0
}

/// Requirement and allocation of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct PoolBalance {
    is_standby: bool,
    /// Requirement now and in the near future.
    required: u64,
    /// Additional requirement of late work, met if no other pool has a deficit.
    late: u64,
    /// Capacity that it keeps before it gives up machines.
    retained: u64,
    /// Capacity that it has, including machines that are moving to it.
    allocated: u64,
}

/// Move that was ordered.
#[derive(Clone, Debug)]
struct OrderedMove {
    ordered_at: BootTime,
    /// Worker that runs on the machine.
    worker: Option<WorkerId>,
}

/// Sizes pools by their demand.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    settings: CapacitySettings,
    history: BTreeMap<PoolName, DemandHistory>,
    /// Since when machines have been surplus in their pool.
    idle_since: BTreeMap<MachineName, BootTime>,
    emptying: BTreeMap<MachineName, EmptyingMachine>,
    /// Moves that were ordered and have no response yet.
    ordered: BTreeMap<MachineName, OrderedMove>,
    /// Data centres that are evacuated.
    evacuations: sync::Arc<BTreeSet<DataCentre>>,
}

impl CapacityPlanner {
    /// Creates a planner without demand history.
    pub fn new(settings: CapacitySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the data centres that are evacuated. Their machines are no capacity of any
    /// pool.
    pub fn set_evacuations(&mut self, evacuations: sync::Arc<BTreeSet<DataCentre>>) {
        self.evacuations = evacuations;
    }

    fn is_evacuated(&self, machine: &PoolMachine) -> bool {
        let data_centre = machine.data_centre.as_ref();
        data_centre.is_some_and(|name| self.evacuations.contains(name))
    }

    /// Returns what moves wait for, to be stored for the next owner; of more machines
    /// than are stored, those that have been surplus for longest.
    pub fn waits(&self, now: BootTime) -> MoveWaits {
        let limit = self.settings.max_waits;
        let mut surplus: Vec<(BootTime, &MachineName)> = self
            .idle_since
            .iter()
            .map(|(name, at)| (*at, name))
            .collect();
        surplus.sort();
        let surplus = surplus.into_iter().take(limit);
        let emptying = self.emptying.iter().take(limit);
        let mut waits = MoveWaits {
            surplus: surplus
                .map(|(at, name)| (name.clone(), ElapsedWait::since(at, now)))
                .collect(),
            emptying: emptying
                .map(|(name, machine)| (name.clone(), machine.clone()))
                .collect(),
            required: BTreeMap::new(),
        };
        if !waits.is_empty() {
            let pools = self.history.iter().take(limit);
            let required =
                pools.map(|(name, history)| (name.clone(), history.highest_requirement()));
            waits.required = required.filter(|(_, required)| *required > 0).collect();
        }
        waits
    }

    /// Continues the waits of an earlier owner, which were stored by the time
    /// `stored_by`.
    pub fn restore(&mut self, waits: MoveWaits, stored_by: BootTime) {
        for (name, wait) in waits.surplus {
            self.idle_since.insert(name, wait.began(stored_by));
        }
        for (name, cpu_millis) in waits.required {
            let sample = RequirementSample {
                at: stored_by,
                cpu_millis,
            };
            let history = self.history.entry(name).or_default();
            history.required.push_back(sample);
        }
        self.emptying = waits.emptying;
    }

    /// Adds the workers that get no new tasks because their machines are to be moved.
    pub fn add_blocks(&self, blocks: &mut WorkerBlocks) {
        let emptying = self.emptying.values().map(|machine| &machine.worker);
        let ordered = self.ordered.values();
        let ordered = ordered.filter_map(|ordered| ordered.worker.as_ref());
        for worker in emptying.chain(ordered) {
            blocks.add(worker, WorkerBlock::All);
        }
    }

    /// Handles the response to a move.
    pub fn handle_move_response(&mut self, machine: &MachineName) {
        self.ordered.remove(machine);
    }

    /// Handles that a move of a machine with a worker had no response, once the machines
    /// were listed after it: if the worker is still listed on the machine, the move is
    /// ordered again, or the worker is released.
    pub fn handle_lost_move(&mut self, machine: &MachineName, worker: WorkerId, pool: PoolName) {
        self.ordered.remove(machine);
        let emptying = EmptyingMachine { worker, pool };
        self.emptying.insert(machine.clone(), emptying);
    }

    /// Returns the moves of machines that follow the demand.
    pub fn plan(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        now: BootTime,
    ) -> Vec<MachineMove> {
        let timeout = self.settings.move_timeout;
        self.ordered
            .retain(|_, ordered| now.saturating_since(ordered.ordered_at) < timeout);
        let mut moves = Vec::new();
        self.release_evacuated(machines);
        let mut balances = self.balances(pools, machines, now);
        self.move_emptied(machines, &balances, now, &mut moves);
        self.fill_deficits(machines, &mut balances, now, &mut moves);
        let has_deficit = balances
            .values()
            .any(|balance| !balance.is_standby && balance.required > balance.allocated);
        if !has_deficit {
            for balance in balances.values_mut() {
                balance.required += balance.late;
                balance.retained += balance.late;
            }
            self.fill_deficits(machines, &mut balances, now, &mut moves);
        }
        self.park_idle(machines, &mut balances, now, &mut moves);
        moves
    }

    fn balances(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        now: BootTime,
    ) -> BTreeMap<PoolName, PoolBalance> {
        let settings = self.settings.clone();
        let mut balances = BTreeMap::new();
        for (name, state) in pools {
            let demand = state.demand;
            let history = self.history.entry(name.clone()).or_default();
            history.record(now, demand.arrived_jobs, &settings);
            let rate = history.expected_rate(now, &settings);
            let arriving = rate * mean_work(&demand) * (1.0 + settings.headroom);
            let current = demand.running + demand.waiting + demand.denied;
            let required = current.max(arriving as u64) + demand.long_running;
            let balance = PoolBalance {
                is_standby: state.is_standby,
                required,
                late: demand.waiting_late + demand.denied_late.saturating_sub(demand.denied),
                retained: history.peak_requirement(now, required, settings.peak_window),
                allocated: 0,
            };
            balances.insert(name.clone(), balance);
        }
        for (name, machine) in machines {
            let is_emptying = self.emptying.contains_key(name);
            if let Some(balance) = balances.get_mut(&machine.pool)
                && machine.is_usable
                && !self.is_evacuated(machine)
                && !is_emptying
            {
                balance.allocated += machine.cpu_millis;
            }
        }
        for emptying in self.emptying.values() {
            let cpu = machines.values().map(|machine| machine.cpu_millis).max();
            if let Some(balance) = balances.get_mut(&emptying.pool) {
                balance.allocated += cpu.unwrap_or(0);
            }
        }
        self.raise_to_minimum(pools, machines, &mut balances);
        balances
    }

    /// Raises the requirement of each pool to its machines with long-running tasks,
    /// one more for each such task that waits, and a few free ones that are not denied to
    /// waiting steps.
    fn raise_to_minimum(
        &self,
        pools: &BTreeMap<PoolName, PoolState>,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &mut BTreeMap<PoolName, PoolBalance>,
    ) {
        let mut minimum: BTreeMap<&PoolName, u64> = BTreeMap::new();
        let mut machine_size = 0;
        for machine in machines.values() {
            machine_size = machine_size.max(machine.cpu_millis);
            if machine.load.long_running > 0 && !self.is_evacuated(machine) {
                *minimum.entry(&machine.pool).or_default() += machine.cpu_millis;
            }
        }
        for (name, balance) in balances {
            if balance.is_standby {
                continue;
            }
            let occupied = minimum.get(name).copied().unwrap_or(0);
            let demand = pools.get(name).map(|state| state.demand);
            let demand = demand.unwrap_or_default();
            let free = u64::from(self.settings.min_free_machines) + demand.waiting_long_running;
            let free = free * machine_size + demand.denied;
            balance.required = balance.required.max(occupied + free);
            balance.retained = balance.retained.max(occupied + free);
        }
    }

    /// Gives up the moves of machines whose data centre is evacuated.
    fn release_evacuated(&mut self, machines: &BTreeMap<MachineName, PoolMachine>) {
        let emptying = std::mem::take(&mut self.emptying).into_iter();
        let kept = emptying.filter(|(name, _)| {
            let machine = machines.get(name);
            machine.is_none_or(|machine| !self.is_evacuated(machine))
        });
        self.emptying = kept.collect();
    }

    /// Moves the machines that have become empty, and releases those that are no
    /// longer needed.
    fn move_emptied(
        &mut self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &BTreeMap<PoolName, PoolBalance>,
        now: BootTime,
        moves: &mut Vec<MachineMove>,
    ) {
        let mut still_emptying = BTreeMap::new();
        for (name, emptying) in std::mem::take(&mut self.emptying) {
            let machine = machines.get(&name);
            let worker = machine.and_then(|machine| machine.worker.as_ref());
            let is_same = worker == Some(&emptying.worker);
            // A machine that has moved may have a worker with the same id.
            let is_there = |machine: &&PoolMachine| is_same && machine.pool != emptying.pool;
            let Some(machine) = machine.filter(is_there) else {
                continue;
            };
            let target = balances.get(&emptying.pool).copied().unwrap_or_default();
            let is_needed = target.required + machine.cpu_millis > target.allocated;
            if !is_needed || !machine.is_movable || machine.load.long_running > 0 {
                continue;
            }
            if machine.load.finite > 0 {
                still_emptying.insert(name, emptying);
                continue;
            }
            self.order_move(&name, machine, &emptying.pool, now, moves);
        }
        self.emptying = still_emptying;
    }

    /// Orders the move of an empty machine.
    fn order_move(
        &mut self,
        name: &MachineName,
        machine: &PoolMachine,
        pool: &PoolName,
        now: BootTime,
        moves: &mut Vec<MachineMove>,
    ) {
        let ordered = OrderedMove {
            ordered_at: now,
            worker: machine.worker.clone(),
        };
        self.ordered.insert(name.clone(), ordered);
        self.idle_since.remove(name);
        moves.push(MachineMove {
            machine: name.clone(),
            worker: machine.worker.clone(),
            pool: pool.clone(),
        });
    }

    /// Moves machines from pools with a surplus to pools with a deficit.
    fn fill_deficits(
        &mut self,
        machines: &BTreeMap<MachineName, PoolMachine>,
        balances: &mut BTreeMap<PoolName, PoolBalance>,
        now: BootTime,
        moves: &mut Vec<MachineMove>,
    ) {
        let mut deficits: Vec<(u64, PoolName)> = balances
            .iter()
            .filter(|(_, balance)| !balance.is_standby && balance.required > balance.allocated)
            .map(|(name, balance)| (balance.required - balance.allocated, name.clone()))
            .collect();
        deficits.sort_by(|one, other| other.cmp(one));
        for (deficit, pool) in deficits {
            let mut shortfall = deficit;
            while shortfall > 0 {
                let Some(name) = self.best_candidate(machines, balances, &pool) else {
                    break;
                };
                let machine = &machines[&name];
                shortfall = shortfall.saturating_sub(machine.cpu_millis);
                transfer(balances, &machine.pool, &pool, machine.cpu_millis);
                match &machine.worker {
                    Some(worker) if machine.load.finite > 0 => {
                        let emptying = EmptyingMachine {
                            worker: worker.clone(),
                            pool: pool.clone(),
                        };
                        self.emptying.insert(name, emptying);
                    }
                    _ => self.order_move(&name, machine, &pool, now, moves),
                }
            }
        }
    }

    /// Returns the machine whose pool can best spare it.
    fn best_candidate(
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
                || balance.allocated.saturating_sub(balance.retained) >= machine.cpu_millis;
            let is_candidate = machine.pool != *pool && !self.is_evacuated(machine);
            is_candidate && has_surplus && self.is_available(name, machine)
        });
        let best = candidates.min_by_key(|(name, machine)| {
            let is_parked = balances
                .get(&machine.pool)
                .is_some_and(|balance| balance.is_standby);
            // A machine that costs money anyway is preferred to a parked one.
            (machine.load.finite, is_parked, (*name).clone())
        });
        best.map(|(name, _)| name.clone())
    }

    fn is_available(&self, name: &MachineName, machine: &PoolMachine) -> bool {
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
        moves: &mut Vec<MachineMove>,
    ) {
        let standby = balances.iter().find(|(_, balance)| balance.is_standby);
        let Some(standby) = standby.map(|(name, _)| name.clone()) else {
            self.idle_since.clear();
            return;
        };
        self.idle_since
            .retain(|name, _| machines.contains_key(name));
        for (name, machine) in machines {
            let Some(balance) = balances.get(&machine.pool).copied() else {
                continue;
            };
            let is_evacuated = self.is_evacuated(machine);
            let is_surplus = is_evacuated
                || balance.allocated.saturating_sub(balance.retained) >= machine.cpu_millis;
            let is_spare = !balance.is_standby
                && is_surplus
                && machine.load.finite == 0
                && self.is_available(name, machine);
            if !is_spare {
                self.idle_since.remove(name);
                continue;
            }
            let since = *self.idle_since.entry(name.clone()).or_insert(now);
            if now.saturating_since(since) < self.settings.park_delay {
                continue;
            }
            if !is_evacuated {
                transfer(balances, &machine.pool, &standby, machine.cpu_millis);
            }
            self.order_move(name, machine, &standby, now, moves);
        }
    }
}

/// Counts a machine's processor to the pool that it moves to.
fn transfer(
    balances: &mut BTreeMap<PoolName, PoolBalance>,
    from: &PoolName,
    to: &PoolName,
    cpu_millis: u64,
) {
    if let Some(balance) = balances.get_mut(from) {
        balance.allocated = balance.allocated.saturating_sub(cpu_millis);
    }
    if let Some(balance) = balances.get_mut(to) {
        balance.allocated += cpu_millis;
    }
}
