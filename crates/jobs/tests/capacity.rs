//! Moves of machines between pools according to demand.

use std::collections::BTreeMap;
use std::sync;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::block::WorkerBlocks;
use redwing_jobs::capacity::{
    CapacityPlanner, CapacitySettings, MachineMove, PoolDemand, PoolMachine, PoolState,
};
use redwing_jobs::maintenance::WorkerLoad;
use redwing_jobs::name::{DataCentre, MachineName, PoolName, WorkerId};

/// Processor of each machine, in thousandths of a core.
const MACHINE_CPU_MILLIS: u64 = 32_000;

/// Time between two plans.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time that a move takes.
const MOVE_DURATION: time::Duration = time::Duration::from_millis(1_500);

/// Capacity planner with pools and their machines, in simulated time.
struct FakePools {
    planner: CapacityPlanner,
    pools: BTreeMap<PoolName, PoolState>,
    machines: BTreeMap<MachineName, PoolMachine>,
    /// Arrival time of each machine on its way to a pool.
    arrival_times: BTreeMap<MachineName, BootTime>,
    now: BootTime,
    moves: Vec<(MachineName, PoolName)>,
    /// Whether orders are lost on their way.
    loses_orders: bool,
}

impl FakePools {
    fn new(machine_counts: &[(&str, usize)]) -> Self {
        let mut pools = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for (pool, machine_count) in machine_counts {
            let pool_state = PoolState {
                is_standby: *pool == "spare",
                ..PoolState::default()
            };
            pools.insert(PoolName::new(pool), pool_state);
            for number in 0..*machine_count {
                let name = format!("{pool}-{number}");
                let machine = PoolMachine {
                    pool: PoolName::new(pool),
                    is_usable: true,
                    is_movable: true,
                    data_centre: None,
                    worker: Some(WorkerId::new(&name)),
                    load: WorkerLoad::default(),
                    cpu_millis: MACHINE_CPU_MILLIS,
                };
                machines.insert(MachineName::new(&name), machine);
            }
        }
        Self {
            planner: CapacityPlanner::new(CapacitySettings::default()),
            pools,
            machines,
            arrival_times: BTreeMap::new(),
            now: BootTime::from_millis(10_000),
            moves: Vec::new(),
            loses_orders: false,
        }
    }

    fn demand(&mut self, pool: &str) -> &mut PoolDemand {
        let pool_state = self.pools.get_mut(&PoolName::new(pool));
        &mut pool_state.expect("the pool exists").demand
    }

    fn load(&mut self, machine: &str) -> &mut WorkerLoad {
        let machine = self.machines.get_mut(&MachineName::new(machine));
        &mut machine.expect("the machine exists").load
    }

    /// Returns the number of machines in a pool or on their way to it.
    fn machine_count(&self, pool: &str) -> usize {
        let machines = self.machines.values();
        machines
            .filter(|machine| machine.pool.as_str() == pool)
            .count()
    }

    /// Plans once, executes the moves and returns all planned actions.
    fn plan(&mut self) -> Vec<MachineMove> {
        self.now = self.now + PLAN_INTERVAL;
        let now = self.now;
        for (name, machine) in &mut self.machines {
            if self
                .arrival_times
                .get(name)
                .is_some_and(|arrival_time| *arrival_time <= now)
            {
                self.arrival_times.remove(name);
                machine.is_movable = true;
                machine.worker = Some(WorkerId::new(&format!("{name}-{}", now.as_millis())));
            }
        }
        let actions = self.planner.plan(&self.pools, &self.machines, now);
        for action in &actions {
            self.move_machine(&action.machine, &action.pool);
        }
        actions
    }

    fn move_machine(&mut self, name: &MachineName, pool: &PoolName) {
        if self.loses_orders {
            let worker = self.machines[name].worker.clone();
            let worker = worker.expect("the machine has a worker");
            self.planner.handle_lost_move(name, worker, pool.clone());
            return;
        }
        self.planner.handle_move_response(name);
        self.moves.push((name.clone(), pool.clone()));
        self.arrival_times
            .insert(name.clone(), self.now + MOVE_DURATION);
        let machine = self.machines.get_mut(name).expect("the machine exists");
        assert_eq!(machine.load, WorkerLoad::default(), "{name} was not empty");
        machine.pool = pool.clone();
        machine.is_movable = false;
        machine.worker = None;
    }

    /// Sets the data centres that are evacuated.
    fn evacuate(&mut self, names: &[&str]) {
        let names = names.iter().map(|name| DataCentre::new(name));
        self.planner
            .set_evacuations(sync::Arc::new(names.collect()));
    }

    /// Replaces the planner by that of a new owner, which has only the stored waits.
    fn take_over(&mut self) {
        let waits = self.planner.waits(self.now);
        let text = serde_json::to_string(&waits).expect("they are written");
        let waits = serde_json::from_str(&text).expect("they are read");
        self.planner = CapacityPlanner::new(CapacitySettings::default());
        self.planner.restore(waits, self.now);
    }

    /// Returns the workers whose machines are to be moved.
    fn blocked(&self) -> Vec<String> {
        let mut blocks = WorkerBlocks::default();
        self.planner.add_blocks(&mut blocks);
        blocks.workers().map(WorkerId::to_string).collect()
    }

    fn advance(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.plan();
        }
    }
}

#[test]
fn a_pool_that_is_short_of_machines_gets_those_of_an_idle_pool() {
    let mut pools = FakePools::new(&[("builders", 4), ("printers", 8)]);
    pools.demand("builders").waiting = 6 * MACHINE_CPU_MILLIS;
    pools.plan();
    assert_eq!(pools.machine_count("builders"), 6);
}

#[test]
fn machines_with_long_running_tasks_stay() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 3)]);
    for number in 0..3 {
        pools.load(&format!("printers-{number}")).long_running = 1;
    }
    pools.demand("builders").waiting = 6 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(2));
    assert!(pools.moves.is_empty());
}

/// A machine with running tasks is prepared first, and moves once it is empty.
#[test]
fn a_busy_machine_is_emptied_before_it_moves() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    for number in 0..4 {
        pools.load(&format!("printers-{number}")).finite = 1;
    }
    pools.demand("builders").waiting = 2 * MACHINE_CPU_MILLIS;
    assert_eq!(pools.plan(), []);
    let [worker] = &pools.blocked()[..] else {
        panic!("{:?}", pools.blocked());
    };
    pools.load(worker).finite = 0;
    pools.plan();
    assert_eq!(pools.moves.len(), 1);
}

#[test]
fn a_machine_that_is_no_longer_needed_elsewhere_is_released() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    for number in 0..4 {
        pools.load(&format!("printers-{number}")).finite = 1;
    }
    pools.demand("builders").waiting = 2 * MACHINE_CPU_MILLIS;
    pools.plan();
    assert_eq!(pools.blocked().len(), 1);
    pools.demand("builders").waiting = 0;
    assert_eq!(pools.plan(), []);
    assert!(pools.blocked().is_empty());
}

#[test]
fn machines_that_no_pool_needs_move_to_the_spare_pool_after_a_delay() {
    let mut pools = FakePools::new(&[("builders", 9), ("spare", 2)]);
    pools.load("builders-0").long_running = 2;
    pools.advance(time::Duration::from_secs(1));
    assert!(pools.moves.is_empty());
    pools.advance(time::Duration::from_secs(5));
    // The machine with long-running tasks and one free machine stay.
    assert_eq!(pools.machine_count("builders"), 2);
}

/// A single large job is no growth of demand: its work counts once, as waiting
/// work.
#[test]
fn a_single_large_job_does_not_count_as_growth() {
    let mut pools = FakePools::new(&[("builders", 2), ("spare", 20)]);
    pools.advance(time::Duration::from_secs(2));
    let demand = pools.demand("builders");
    demand.arrived_jobs = 1;
    demand.arrived_work = 4 * MACHINE_CPU_MILLIS * 2_000;
    demand.waiting = 4 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(1));
    assert!(
        pools.machine_count("builders") <= 10,
        "{}",
        pools.machine_count("builders")
    );
}

/// A peak of demand as users cause it: 2 jobs a second rise to 60 within three
/// seconds and fall again. With moves, the capacity of the pool is available
/// when the work arrives; without them, most of the peak finds none.
#[test]
fn capacity_follows_a_peak_of_demand() {
    let missing_fraction = |with_moves: bool| {
        let mut pools = FakePools::new(&[("builders", 9), ("printers", 12), ("spare", 8)]);
        let job_work = 11 * 1_000 * 1_000;
        let mut missing_cpu_sum = 0.0;
        let mut needed_cpu_sum = 0.0;
        for tenth_second in 0..100_u64 {
            let jobs_per_second = match tenth_second {
                0..30 => 2.0 + 58.0 * tenth_second as f64 / 30.0,
                30..70 => 60.0,
                _ => 2.0,
            };
            let demand = pools.demand("builders");
            demand.arrived_jobs += (jobs_per_second / 10.0).round() as u64;
            demand.arrived_work = demand.arrived_jobs * job_work;
            let needed_cpu_millis = jobs_per_second * job_work as f64 / 1_000.0;
            demand.running = needed_cpu_millis as u64;
            if with_moves && tenth_second % 2 == 0 {
                pools.plan();
            }
            let arrived_machines = pools.machines.iter().filter(|(name, machine)| {
                machine.pool.as_str() == "builders" && !pools.arrival_times.contains_key(*name)
            });
            let capacity_cpu_millis = (arrived_machines.count() as u64 * MACHINE_CPU_MILLIS) as f64;
            needed_cpu_sum += needed_cpu_millis;
            missing_cpu_sum += (needed_cpu_millis - capacity_cpu_millis).max(0.0);
        }
        missing_cpu_sum / needed_cpu_sum
    };
    let fraction_without_moves = missing_fraction(false);
    let fraction_with_moves = missing_fraction(true);
    assert!(fraction_without_moves > 0.4, "{fraction_without_moves}");
    assert!(fraction_with_moves < 0.1, "{fraction_with_moves}");
}

/// After an outage much work is late; it must not occupy the capacity that the
/// peak of the next queue needs.
#[test]
fn late_work_gives_way_to_work_that_can_meet_its_objective() {
    let mut pools = FakePools::new(&[("builders", 8), ("printers", 1)]);
    pools.demand("builders").waiting_late = 40 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(2));
    assert_eq!(pools.machine_count("builders"), 8);
    pools.demand("printers").waiting = 6 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(1));
    assert_eq!(pools.machine_count("printers"), 6);
}

#[test]
fn late_work_gets_machines_that_no_other_pool_needs() {
    let mut pools = FakePools::new(&[("builders", 2), ("spare", 6)]);
    pools.demand("builders").waiting_late = 5 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(1));
    assert!(
        pools.machine_count("builders") >= 5,
        "{}",
        pools.machine_count("builders")
    );
}

/// Owners end every second, before a machine has been surplus for long enough.
#[test]
fn a_surplus_machine_is_parked_although_owners_change() {
    let mut pools = FakePools::new(&[("builders", 9), ("spare", 2)]);
    for _ in 0..3 {
        pools.advance(time::Duration::from_secs(1));
        pools.take_over();
    }
    assert_eq!(pools.machine_count("builders"), 1);
}

/// The next owner has no demand history of its own; the demand before the change of
/// owners still keeps the machines in their pool.
#[test]
fn a_new_owner_parks_no_machine_that_was_needed_lately() {
    let mut pools = FakePools::new(&[("builders", 6), ("spare", 2)]);
    pools.demand("builders").running = 4 * MACHINE_CPU_MILLIS;
    pools.advance(time::Duration::from_secs(1));
    pools.take_over();
    pools.demand("builders").running = 0;
    pools.advance(time::Duration::from_secs(1));
    assert_eq!(pools.machine_count("builders"), 4);
}

/// Owners change while a machine is emptied: it stays blocked and moves once it is
/// empty, although another machine has fewer tasks by then.
#[test]
fn a_machine_that_is_being_emptied_moves_although_owners_change() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    for number in 0..4 {
        pools.load(&format!("printers-{number}")).finite = 2;
    }
    pools.load("printers-2").finite = 1;
    pools.demand("builders").waiting = 2 * MACHINE_CPU_MILLIS;
    assert_eq!(pools.plan(), []);
    assert_eq!(pools.blocked(), ["printers-2"]);
    pools.load("printers-1").finite = 0;
    pools.load("printers-1").long_running = 1;
    for number in [0, 3] {
        pools.load(&format!("printers-{number}")).finite = 1;
    }
    pools.take_over();
    assert_eq!(pools.blocked(), ["printers-2"]);
    assert_eq!(pools.plan(), []);
    assert_eq!(pools.blocked(), ["printers-2"]);
    pools.load("printers-2").finite = 0;
    pools.plan();
    let moves: Vec<&str> = pools.moves.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(moves, ["printers-2"]);
}

/// The stored waits are bounded whatever the number of machines.
#[test]
fn waits_of_many_machines_are_bounded() {
    let mut pools = FakePools::new(&[("builders", 300), ("spare", 2)]);
    pools.advance(time::Duration::from_secs(1));
    let waits = pools.planner.waits(pools.now);
    assert_eq!(waits.surplus.len(), 64);
}

/// The worker gets no new tasks from the order on.
#[test]
fn a_worker_whose_move_had_no_effect_is_released_once_it_is_not_needed_elsewhere() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    pools.demand("builders").waiting = 2 * MACHINE_CPU_MILLIS;
    pools.loses_orders = true;
    let actions = pools.plan();
    let [MachineMove { worker, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    let moved: Vec<String> = worker.iter().map(WorkerId::to_string).collect();
    assert_eq!(pools.blocked(), moved);
    pools.demand("builders").waiting = 0;
    pools.plan();
    assert!(!pools.blocked().contains(&moved[0]));
}

/// Returns pools whose machines are in the data centres `east` and `west` in turn, and
/// evacuates `east`.
fn evacuated_pools(machine_counts: &[(&str, usize)]) -> FakePools {
    let mut pools = FakePools::new(machine_counts);
    for (number, machine) in pools.machines.values_mut().enumerate() {
        let name = if number % 2 == 0 { "east" } else { "west" };
        machine.data_centre = Some(DataCentre::new(name));
    }
    pools.evacuate(&["east"]);
    pools
}

/// Returns the data centres of the machines that were moved to a pool.
fn moved_from(pools: &FakePools, pool: &str) -> Vec<String> {
    let moves = pools.moves.iter().filter(|(_, to)| to.as_str() == pool);
    let data_centres = moves.filter_map(|(name, _)| pools.machines[name].data_centre.clone());
    data_centres.map(String::from).collect()
}

/// Half of the pool is evacuated: what is missing comes from the other data centre, also out
/// of the standby pool.
#[test]
fn a_deficit_is_filled_from_the_other_data_centres() {
    let mut pools = evacuated_pools(&[("builders", 8), ("printers", 4), ("spare", 8)]);
    pools.demand("builders").running = 8 * MACHINE_CPU_MILLIS;
    for number in 0..8 {
        pools.load(&format!("builders-{number}")).finite = 1;
    }
    pools.advance(time::Duration::from_secs(3));
    let moved = moved_from(&pools, "builders");
    assert_eq!(moved.len(), 4, "{:?}", pools.moves);
    assert!(moved.iter().all(|name| name == "west"), "{moved:?}");
}

/// Machines of the data centre are parked after the usual delay once they are empty, also if
/// the pool lacks capacity; they return when the evacuation is undone.
#[test]
fn empty_machines_of_an_evacuated_data_centre_are_parked() {
    let mut pools = evacuated_pools(&[("builders", 4), ("spare", 0)]);
    pools.demand("builders").waiting = 4 * MACHINE_CPU_MILLIS;
    pools.load("builders-0").finite = 1;
    pools.advance(time::Duration::from_secs(1));
    assert_eq!(moved_from(&pools, "spare").len(), 0);
    pools.advance(time::Duration::from_secs(1));
    assert_eq!(moved_from(&pools, "spare"), ["east"]);
    pools.load("builders-0").finite = 0;
    pools.advance(time::Duration::from_secs(3));
    assert_eq!(moved_from(&pools, "spare"), ["east", "east"]);
    pools.evacuate(&[]);
    pools.advance(time::Duration::from_secs(1));
    assert_eq!(moved_from(&pools, "builders"), ["east", "east"]);
}

/// A machine was being emptied for another pool when its data centre was evacuated.
#[test]
fn a_machine_that_is_being_emptied_is_given_up() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 2)]);
    for machine in pools.machines.values_mut() {
        machine.data_centre = Some(DataCentre::new("east"));
    }
    pools.load("printers-0").finite = 1;
    pools.load("printers-1").finite = 1;
    pools.demand("builders").waiting = 2 * MACHINE_CPU_MILLIS;
    assert_eq!(pools.plan(), []);
    assert_eq!(pools.blocked().len(), 1);
    pools.evacuate(&["east"]);
    assert_eq!(pools.plan(), []);
    assert!(pools.blocked().is_empty());
    pools.load("printers-0").finite = 0;
    pools.load("printers-1").finite = 0;
    pools.advance(time::Duration::from_secs(3));
    assert!(pools.moves.is_empty(), "{:?}", pools.moves);
}
