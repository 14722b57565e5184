//! Machines for steps that run only on workers which the advisor permits.

mod common;

use std::collections::BTreeMap;
use std::sync;

use common::{FakeFleet, FakeWorker, manifest_parts_with_limit, step_spec, task_id};
use redwing_jobs::block::WorkerBlocks;
use redwing_jobs::capacity::{
    CapacityPlanner, CapacitySettings, MachineMove, PoolMachine, PoolState,
};
use redwing_jobs::manifest::PoolPolicy;
use redwing_jobs::name::{MachineName, PoolName};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobManifest, JobState, SchedulerSettings, WorkerId};

/// Processor of each machine, in thousandths of a core.
const MACHINE_CPU_MILLIS: u64 = 8_000;

/// Simulated time between two plans.
const PLAN_INTERVAL_MS: u64 = 200;

/// Fleet with advised queues whose machines the capacity planner moves at once.
struct FakePlant {
    fleet: FakeFleet,
    planner: CapacityPlanner,
    /// Pool of each machine; its worker has the same name.
    machines: BTreeMap<MachineName, PoolName>,
    moves: usize,
}

impl FakePlant {
    /// Creates so many machines in the pool `builders` and in standby.
    fn new(used: usize, parked: usize) -> Self {
        let mut fleet = FakeFleet::new(SchedulerSettings::default(), Vec::new());
        let mut parts = manifest_parts_with_limit(0);
        for queue in &mut parts.queues {
            queue.is_advised = true;
        }
        parts.pools.push(PoolPolicy {
            name: PoolName::new("standby"),
            is_standby: true,
            enforces_capacity: false,
            cold_start_ms: 0,
        });
        parts.version = 2;
        let manifest = sync::Arc::new(JobManifest::from(parts));
        fleet.scheduler.set_manifest(manifest);
        let machines = (0..used + parked).map(|number| {
            let pool = if number < used { "builders" } else { "standby" };
            (MachineName::new(&format!("m{number}")), PoolName::new(pool))
        });
        let mut plant = Self {
            fleet,
            planner: CapacityPlanner::new(CapacitySettings::default()),
            machines: machines.collect(),
            moves: 0,
        };
        for (machine, pool) in plant.machines.clone() {
            if pool.as_str() == "builders" {
                plant.start_worker(&machine);
            }
        }
        plant.fleet.advance(PLAN_INTERVAL_MS);
        plant
    }

    fn start_worker(&mut self, machine: &MachineName) {
        let worker = FakeWorker::new(machine.as_str(), "builders", MACHINE_CPU_MILLIS);
        let now = self.fleet.now;
        self.fleet.scheduler.worker_listed(worker.view.clone(), now);
        self.fleet.workers.insert(worker.view.id.clone(), worker);
    }

    fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / PLAN_INTERVAL_MS {
            self.fleet.advance(PLAN_INTERVAL_MS);
            self.plan();
        }
    }

    fn plan(&mut self) {
        let wall = self.fleet.wall_time();
        let demands = self.fleet.scheduler.pool_demands(wall);
        let pools = ["builders", "standby"].map(|name| {
            let pool = PoolName::new(name);
            let state = PoolState {
                is_standby: name == "standby",
                demand: demands.get(&pool).copied().unwrap_or_default(),
            };
            (pool, state)
        });
        let machines = self.machines.iter().map(|(name, pool)| {
            let worker = WorkerId::new(name.as_str());
            let machine = PoolMachine {
                pool: pool.clone(),
                is_usable: true,
                is_movable: true,
                data_centre: None,
                load: self.fleet.scheduler.worker_load(&worker),
                worker: Some(worker).filter(|_| pool.as_str() == "builders"),
                cpu_millis: MACHINE_CPU_MILLIS,
            };
            (name.clone(), machine)
        });
        let machines = machines.collect();
        let now = self.fleet.now;
        for action in self.planner.plan(&BTreeMap::from(pools), &machines, now) {
            let MachineMove { machine, pool, .. } = action;
            self.move_machine(&machine, &pool);
        }
        let mut blocks = WorkerBlocks::default();
        self.planner.add_blocks(&mut blocks);
        self.fleet.scheduler.set_blocks(blocks);
    }

    fn move_machine(&mut self, machine: &MachineName, pool: &PoolName) {
        self.planner.handle_move_response(machine);
        self.moves += 1;
        self.machines.insert(machine.clone(), pool.clone());
        let worker = WorkerId::new(machine.as_str());
        self.fleet.scheduler.worker_removed(&worker, 1);
        self.fleet.workers.remove(&worker);
        if pool.as_str() == "builders" {
            self.start_worker(machine);
        }
    }
}

/// The free capacity of the pool is on a worker that the advisor denies; the one that
/// it permits is on a parked machine.
#[test]
fn machines_are_woken_until_the_advisor_permits_a_worker() {
    let mut plant = FakePlant::new(1, 3);
    plant.fleet.permitted_worker = Some(WorkerId::new("m3"));
    let job = plant.fleet.submit("j", vec![step_spec(3, 500)], 300);
    plant.advance(5_000);
    assert_eq!(plant.fleet.state(&job), JobState::Completed);
}

/// A job that waits for so long that it is late is not given up.
#[test]
fn a_late_job_gets_the_machine_that_the_advisor_permits() {
    let mut plant = FakePlant::new(1, 3);
    plant.fleet.permitted_worker = Some(WorkerId::new("m3"));
    let job = plant.fleet.submit("j", vec![step_spec(3, 500)], 300);
    plant.fleet.advance(10_000);
    plant.advance(3_000);
    assert_eq!(plant.fleet.state(&job), JobState::Completed);
}

#[test]
fn a_long_running_task_gets_the_machine_that_the_advisor_permits() {
    let mut plant = FakePlant::new(3, 3);
    plant.fleet.permitted_worker = Some(WorkerId::new("m5"));
    let step = StepSpec {
        long_running: true,
        ..step_spec(1, 500)
    };
    let job = plant.fleet.submit("j", vec![step], 0);
    plant.advance(5_000);
    assert_eq!(plant.fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// Free capacity on a permitted worker is enough.
#[test]
fn no_machine_is_woken_while_a_permitted_worker_has_capacity() {
    let mut plant = FakePlant::new(2, 2);
    plant.fleet.permitted_worker = Some(WorkerId::new("m1"));
    let job = plant.fleet.submit("j", vec![step_spec(3, 500)], 300);
    plant.advance(1_000);
    assert_eq!(plant.fleet.state(&job), JobState::Completed);
    assert_eq!(plant.moves, 0);
}

/// Guards against a denial that outlives the incarnation that it was for: the next one may be of
/// another kind, and the job waits for ever.
#[test]
fn the_advisor_is_asked_again_about_a_worker_that_has_started_again() {
    let mut plant = FakePlant::new(1, 0);
    let job = plant.fleet.submit("j", vec![step_spec(1, 500)], 300);
    plant.fleet.advance(1_000);
    assert!(plant.fleet.starts.is_empty());
    let asked = plant.fleet.advice_requests.len();
    plant.fleet.permitted_worker = Some(WorkerId::new("m0"));
    plant.fleet.advance(1_000);
    assert_eq!(plant.fleet.advice_requests.len(), asked, "it was denied");
    plant.fleet.restart_worker("m0");
    plant.fleet.advance(1_000);
    assert_eq!(plant.fleet.state(&job), JobState::Completed);
}
