//! Machines follow the demand between pools.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::BootTime;
use redwing_jobs::capacity::{
    CapacityAction, CapacityPlanner, CapacitySettings, PoolDemand, PoolMachine, PoolState,
};
use redwing_jobs::maintenance::WorkerLoad;
use redwing_jobs::name::{MachineName, PoolName, WorkerId};

/// Processor of each machine, in thousandths of a core.
const MACHINE_CPU: u64 = 32_000;

/// Time between two plans.
const INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time that a move takes.
const MOVE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Machines and what is asked of pools, in simulated time.
struct FakePools {
    planner: CapacityPlanner,
    pools: BTreeMap<PoolName, PoolState>,
    machines: BTreeMap<MachineName, PoolMachine>,
    arriving: BTreeMap<MachineName, BootTime>,
    now: BootTime,
    moves: Vec<(MachineName, PoolName)>,
}

impl FakePools {
    fn new(sizes: &[(&str, usize)]) -> Self {
        let mut pools = BTreeMap::new();
        let mut machines = BTreeMap::new();
        for (pool, size) in sizes {
            let fact = PoolState {
                is_standby: *pool == "spare",
                ..PoolState::default()
            };
            pools.insert(PoolName::new(pool), fact);
            for number in 0..*size {
                let name = format!("{pool}-{number}");
                let machine = PoolMachine {
                    pool: PoolName::new(pool),
                    is_usable: true,
                    is_movable: true,
                    worker: Some(WorkerId::new(&name)),
                    load: WorkerLoad::default(),
                    cpu_millis: MACHINE_CPU,
                };
                machines.insert(MachineName::new(&name), machine);
            }
        }
        Self {
            planner: CapacityPlanner::new(CapacitySettings::default()),
            pools,
            machines,
            arriving: BTreeMap::new(),
            now: BootTime::from_millis(10_000),
            moves: Vec::new(),
        }
    }

    fn demand(&mut self, pool: &str) -> &mut PoolDemand {
        let fact = self.pools.get_mut(&PoolName::new(pool));
        &mut fact.expect("the pool exists").demand
    }

    fn load(&mut self, machine: &str) -> &mut WorkerLoad {
        let machine = self.machines.get_mut(&MachineName::new(machine));
        &mut machine.expect("the machine exists").load
    }

    /// Returns the number of machines that a pool has, or will have.
    fn size(&self, pool: &str) -> usize {
        let machines = self.machines.values();
        machines
            .filter(|machine| machine.pool.as_str() == pool)
            .count()
    }

    /// Plans once and carries out what the planner wants.
    fn plan(&mut self) -> Vec<CapacityAction> {
        self.now = self.now + INTERVAL;
        let now = self.now;
        for (name, machine) in &mut self.machines {
            if self.arriving.get(name).is_some_and(|at| *at <= now) {
                self.arriving.remove(name);
                machine.is_movable = true;
                machine.worker = Some(WorkerId::new(&format!("{name}-{}", now.as_millis())));
            }
        }
        let actions = self.planner.plan(&self.pools, &self.machines, now);
        for action in &actions {
            if let CapacityAction::Move { machine, pool, .. } = action {
                self.move_machine(machine, pool);
            }
        }
        actions
    }

    fn move_machine(&mut self, name: &MachineName, pool: &PoolName) {
        self.planner.handle_move_response(name);
        self.moves.push((name.clone(), pool.clone()));
        self.arriving.insert(name.clone(), self.now + MOVE_TIME);
        let machine = self.machines.get_mut(name).expect("the machine exists");
        assert_eq!(machine.load, WorkerLoad::default(), "{name} was not empty");
        machine.pool = pool.clone();
        machine.is_movable = false;
        machine.worker = None;
    }

    fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        while self.now < end {
            self.plan();
        }
    }
}

#[test]
fn a_pool_that_is_short_gets_machines_of_a_pool_that_is_idle() {
    let mut pools = FakePools::new(&[("builders", 4), ("printers", 8)]);
    pools.demand("builders").waiting = 6 * MACHINE_CPU;
    pools.plan();
    assert_eq!(pools.size("builders"), 6);
}

#[test]
fn machines_with_long_running_tasks_stay() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 3)]);
    for number in 0..3 {
        pools.load(&format!("printers-{number}")).long_running = 1;
    }
    pools.demand("builders").waiting = 6 * MACHINE_CPU;
    pools.run(time::Duration::from_secs(2));
    assert!(pools.moves.is_empty());
}

/// A machine that still works is emptied first, and goes once it is empty.
#[test]
fn a_busy_machine_is_emptied_before_it_moves() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    for number in 0..4 {
        pools.load(&format!("printers-{number}")).finite = 1;
    }
    pools.demand("builders").waiting = 2 * MACHINE_CPU;
    let actions = pools.plan();
    assert!(
        matches!(actions[..], [CapacityAction::Prepare(_)]),
        "{actions:?}"
    );
    assert!(pools.moves.is_empty());
    let CapacityAction::Prepare(worker) = &actions[0] else {
        unreachable!("the action was just matched");
    };
    pools.load(worker.as_str()).finite = 0;
    pools.plan();
    assert_eq!(pools.moves.len(), 1);
}

#[test]
fn a_machine_that_is_not_wanted_any_more_works_on() {
    let mut pools = FakePools::new(&[("builders", 1), ("printers", 4)]);
    for number in 0..4 {
        pools.load(&format!("printers-{number}")).finite = 1;
    }
    pools.demand("builders").waiting = 2 * MACHINE_CPU;
    pools.plan();
    pools.demand("builders").waiting = 0;
    let actions = pools.plan();
    assert!(
        matches!(actions[..], [CapacityAction::Release(_)]),
        "{actions:?}"
    );
}

#[test]
fn machines_that_no_pool_needs_are_parked_after_a_while() {
    let mut pools = FakePools::new(&[("builders", 9), ("spare", 2)]);
    pools.load("builders-0").long_running = 2;
    pools.run(time::Duration::from_secs(1));
    assert!(pools.moves.is_empty());
    pools.run(time::Duration::from_secs(5));
    // One with long-running tasks and one free machine are kept.
    assert_eq!(pools.size("builders"), 2);
}

/// One large job is no growth: its work is counted once, where it waits.
#[test]
fn a_single_large_job_is_not_taken_for_growth() {
    let mut pools = FakePools::new(&[("builders", 2), ("spare", 20)]);
    pools.run(time::Duration::from_secs(2));
    let demand = pools.demand("builders");
    demand.arrived_jobs = 1;
    demand.arrived_work = 4 * MACHINE_CPU * 2_000;
    demand.waiting = 4 * MACHINE_CPU;
    pools.run(time::Duration::from_secs(1));
    assert!(pools.size("builders") <= 10, "{}", pools.size("builders"));
}

/// A turn of demand as users have it: 2 jobs a second rise to 60 within
/// three seconds and fall again. With moves the pool's room is there when
/// the work is; without them most of the peak finds none.
#[test]
fn room_follows_a_turn_of_demand() {
    let short = |moves: bool| {
        let mut pools = FakePools::new(&[("builders", 9), ("printers", 12), ("spare", 8)]);
        let work = 11 * 1_000 * 1_000;
        let mut missing = 0.0;
        let mut wanted = 0.0;
        for tenth in 0..100_u64 {
            let rate = match tenth {
                0..30 => 2.0 + 58.0 * tenth as f64 / 30.0,
                30..70 => 60.0,
                _ => 2.0,
            };
            let demand = pools.demand("builders");
            demand.arrived_jobs += (rate / 10.0).round() as u64;
            demand.arrived_work = demand.arrived_jobs * work;
            let needed = rate * work as f64 / 1_000.0;
            demand.running = needed as u64;
            if moves && tenth % 2 == 0 {
                pools.plan();
            }
            let there = pools.machines.iter().filter(|(name, machine)| {
                machine.pool.as_str() == "builders" && !pools.arriving.contains_key(*name)
            });
            let room = (there.count() as u64 * MACHINE_CPU) as f64;
            wanted += needed;
            missing += (needed - room).max(0.0);
        }
        missing / wanted
    };
    let without = short(false);
    let with = short(true);
    assert!(without > 0.4, "{without}");
    assert!(with < 0.1, "{with}");
}

/// After a gap in the service much work is late; it must not hold the room
/// that the next queue's turn needs.
#[test]
fn late_work_gives_way_to_work_that_can_meet_its_objective() {
    let mut pools = FakePools::new(&[("builders", 8), ("printers", 1)]);
    pools.demand("builders").waiting_late = 40 * MACHINE_CPU;
    pools.run(time::Duration::from_secs(2));
    assert_eq!(pools.size("builders"), 8);
    pools.demand("printers").waiting = 6 * MACHINE_CPU;
    pools.run(time::Duration::from_secs(1));
    assert_eq!(pools.size("printers"), 6);
}

#[test]
fn late_work_gets_machines_that_nobody_needs() {
    let mut pools = FakePools::new(&[("builders", 2), ("spare", 6)]);
    pools.demand("builders").waiting_late = 5 * MACHINE_CPU;
    pools.run(time::Duration::from_secs(1));
    assert!(pools.size("builders") >= 5, "{}", pools.size("builders"));
}
