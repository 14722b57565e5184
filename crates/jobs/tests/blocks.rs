//! Workers whose machines are wanted by waves of maintenance and by moves.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use common::{FakeFleet, FakeWorker, step_spec};
use redwing_jobs::block::{WorkerBlock, WorkerBlocks};
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceSettings, WavePlanner, WaveRequest,
};
use redwing_jobs::name::MachineName;
use redwing_jobs::time::WallTime;
use redwing_jobs::{BootTime, SchedulerSettings, WorkerId};
use rstest::rstest;

/// Time between two plans of a wave, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;

/// Time for which a machine is down, in milliseconds.
const MAINTENANCE_MS: u64 = 2_000;

/// Time from the end of a worker until its entry is removed, in milliseconds.
const UNLIST_MS: u64 = 3_000;

/// Processor of a machine, in thousandths of a core.
const MACHINE_CPU_MILLIS: u64 = 4_000;

fn blocks_of(worker: &WorkerId, block: WorkerBlock) -> WorkerBlocks {
    let mut blocks = WorkerBlocks::default();
    blocks.add(worker, block);
    blocks
}

/// Machine with its worker.
struct FakeMachine {
    worker: WorkerId,
    incarnation: u64,
    /// Until when it is down, and the worker that it had before.
    down: Option<(BootTime, WorkerId)>,
}

/// Fleet on machines that a wave maintains, with more work than the workers have capacity for.
struct FakePlant {
    fleet: FakeFleet,
    planner: WavePlanner,
    machines: BTreeMap<MachineName, FakeMachine>,
    keeps_ids: bool,
    job_count: usize,
    /// Time and worker of each end by maintenance.
    ends: Vec<(BootTime, WorkerId)>,
    /// Time and worker of each return.
    returns: Vec<(BootTime, WorkerId)>,
    /// When each worker was blocked first.
    blocked_at: BTreeMap<WorkerId, BootTime>,
    /// Workers that are removed from the list, and when.
    unlisted: Vec<(BootTime, WorkerId)>,
}

impl FakePlant {
    fn new(count: usize, keeps_ids: bool) -> Self {
        let fleet = FakeFleet::of_size(count, MACHINE_CPU_MILLIS);
        let machines = (0..count).map(|number| {
            let machine = FakeMachine {
                worker: WorkerId::new(&format!("w{number}")),
                incarnation: 1,
                down: None,
            };
            (MachineName::new(&format!("m{number}")), machine)
        });
        Self {
            fleet,
            planner: WavePlanner::new(MaintenanceSettings::default()),
            machines: machines.collect(),
            keeps_ids,
            job_count: 0,
            ends: Vec::new(),
            returns: Vec::new(),
            blocked_at: BTreeMap::new(),
            unlisted: Vec::new(),
        }
    }

    fn request_wave(&mut self, machines: &[&str]) {
        let request = WaveRequest {
            number: 1,
            machines: machines.iter().map(|name| MachineName::new(name)).collect(),
            duration: time::Duration::from_secs(20),
            max_down: 2,
        };
        let now = self.fleet.now;
        let added = self
            .planner
            .add(&request, None, now, WallTime::from_millis(now.as_millis()));
        added.expect("the wave fits");
    }

    fn advance(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / PLAN_INTERVAL_MS {
            let tasks = self.machines.len() as u32 * 8;
            self.job_count += 1;
            let name = format!("j{}", self.job_count);
            self.fleet.submit(&name, vec![step_spec(tasks, 1_000)], 100);
            self.fleet.advance(PLAN_INTERVAL_MS);
            self.return_workers();
            self.plan();
        }
    }

    fn plan(&mut self) {
        let scheduler = &self.fleet.scheduler;
        let statuses = self.machines.iter().map(|(name, machine)| {
            let is_up = machine.down.is_none();
            let status = MachineStatus {
                is_up,
                is_evacuated: false,
                worker: is_up.then(|| machine.worker.clone()),
                incarnation: scheduler.incarnation(&machine.worker).unwrap_or_default(),
                load: scheduler.worker_load(&machine.worker),
            };
            (name.clone(), status)
        });
        let statuses = statuses.collect();
        let now = self.fleet.now;
        for action in self.planner.plan(&statuses, now) {
            match action {
                MaintenanceAction::Order { wave, machine } => {
                    self.take_down(&machine);
                    self.planner.order_accepted(wave, &machine, now);
                }
                MaintenanceAction::Remove {
                    worker,
                    incarnation,
                } => self.fleet.scheduler.worker_removed(&worker, incarnation),
                _ => {}
            }
        }
        let mut blocks = WorkerBlocks::default();
        self.planner.add_blocks(&mut blocks);
        for worker in blocks.workers() {
            self.blocked_at.entry(worker.clone()).or_insert(now);
        }
        self.fleet.scheduler.set_blocks(blocks);
    }

    fn take_down(&mut self, name: &MachineName) {
        let now = self.fleet.now;
        let machine = self.machines.get_mut(name).expect("the machine exists");
        if machine.down.is_some() {
            return;
        }
        let until = now + time::Duration::from_millis(MAINTENANCE_MS);
        machine.down = Some((until, machine.worker.clone()));
        let worker = self.fleet.workers.get_mut(&machine.worker);
        let worker = worker.expect("the worker exists");
        worker.is_unresponsive = true;
        worker.running.clear();
        self.ends.push((now, machine.worker.clone()));
    }

    fn return_workers(&mut self) {
        let now = self.fleet.now;
        for machine in self.machines.values_mut() {
            let is_over = |down: &(BootTime, WorkerId)| down.0 <= now;
            let Some((_, old)) = machine.down.take_if(|down| is_over(down)) else {
                continue;
            };
            machine.incarnation += 1;
            let mut worker = self.fleet.workers[&old].clone();
            worker.restart(now);
            worker.is_unresponsive = false;
            if !self.keeps_ids {
                worker.view.id = WorkerId::new(&format!("{old}-next"));
                let unlisted_at = now + time::Duration::from_millis(UNLIST_MS - MAINTENANCE_MS);
                self.unlisted.push((unlisted_at, old));
            }
            machine.worker = worker.view.id.clone();
            self.fleet.scheduler.worker_listed(worker.view.clone(), now);
            self.returns.push((now, machine.worker.clone()));
            self.fleet.workers.insert(machine.worker.clone(), worker);
        }
        let due = self.unlisted.iter().filter(|(at, _)| *at <= now);
        for (_, worker) in due {
            self.fleet.scheduler.worker_unlisted(worker, now);
        }
        self.unlisted.retain(|(at, _)| *at > now);
    }

    /// Returns whether a run has started on a worker after `from` and until `to`.
    fn has_start(&self, worker: &WorkerId, from: BootTime, to: BootTime) -> bool {
        let mut starts = self.fleet.starts.iter();
        starts.any(|(_, _, on, at)| on == worker && *at > from && *at <= to)
    }
}

/// Guards against workers that stay blocked after the maintenance of their machines (LOST), and
/// against tasks that start on a machine that is about to be taken down.
#[rstest]
fn workers_get_tasks_before_and_after_their_maintenance_only(
    #[values(true, false)] keeps_ids: bool,
) {
    let mut plant = FakePlant::new(6, keeps_ids);
    plant.advance(1_000);
    plant.request_wave(&["m0", "m1", "m2", "m3"]);
    plant.advance(20_000);
    assert_eq!(plant.ends.len(), 4, "{:?}", plant.ends);
    for (ended_at, worker) in &plant.ends {
        let blocked_at = plant.blocked_at[worker];
        assert!(
            !plant.has_start(worker, blocked_at, *ended_at),
            "{worker} got a task after it was blocked"
        );
    }
    for (returned_at, worker) in &plant.returns {
        let limit = *returned_at + time::Duration::from_secs(3);
        assert!(
            plant.has_start(worker, *returned_at, limit),
            "{worker} got no task within 3 s"
        );
    }
}

/// Guards against a block that a worker loses with a crash: its machine is still to be taken
/// down.
#[test]
fn a_worker_that_crashes_while_it_is_emptied_stays_blocked() {
    let mut fleet = FakeFleet::of_size(2, MACHINE_CPU_MILLIS);
    fleet.advance(100);
    let worker = WorkerId::new("w0");
    fleet
        .scheduler
        .set_blocks(blocks_of(&worker, WorkerBlock::All));
    fleet.restart_worker("w0");
    fleet.submit("j", vec![step_spec(8, 1_000)], 60_000);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 4);
    assert!(fleet.starts.iter().all(|start| start.2 != worker));
    fleet.scheduler.set_blocks(WorkerBlocks::default());
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), 8);
}

/// Guards against a block that the next incarnation inherits although the machine was taken from
/// under the one before.
#[test]
fn a_block_of_one_incarnation_ends_with_it() {
    let mut fleet = FakeFleet::of_size(1, MACHINE_CPU_MILLIS);
    fleet.advance(100);
    let worker = WorkerId::new("w0");
    fleet
        .scheduler
        .set_blocks(blocks_of(&worker, WorkerBlock::One(1)));
    fleet.submit("j", vec![step_spec(4, 1_000)], 60_000);
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty());
    fleet.restart_worker("w0");
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), 4);
}

/// Guards against a worker that gets tasks because it was blocked before it was listed.
#[test]
fn a_worker_that_is_listed_after_its_block_gets_no_task() {
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), Vec::new());
    let worker = FakeWorker::new("w0", "builders", MACHINE_CPU_MILLIS);
    let view = worker.view.clone();
    fleet
        .scheduler
        .set_blocks(blocks_of(&view.id, WorkerBlock::All));
    fleet.workers.insert(view.id.clone(), worker);
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.submit("j", vec![step_spec(2, 1_000)], 200);
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty());
}

/// Guards against a move that ends and releases a worker which a wave still wants, or the other
/// way round.
#[test]
fn a_worker_that_a_wave_and_a_move_want_is_blocked_until_both_are_over() {
    let worker = WorkerId::new("w0");
    let mut both = blocks_of(&worker, WorkerBlock::One(7));
    both.add(&worker, WorkerBlock::All);
    assert_eq!(both.get(&worker), Some(WorkerBlock::All));
    both.add(&worker, WorkerBlock::One(8));
    assert_eq!(both.get(&worker), Some(WorkerBlock::All));
    let workers: BTreeSet<&WorkerId> = both.workers().collect();
    assert_eq!(workers, BTreeSet::from([&worker]));
}

/// Guards against a new owner that starts tasks on machines whose maintenance its predecessor
/// had ordered, before it has listed any machine.
#[test]
fn a_new_owner_blocks_the_workers_whose_maintenance_was_ordered() {
    let mut plant = FakePlant::new(3, true);
    plant.request_wave(&["m0"]);
    let now = plant.fleet.now;
    let status = MachineStatus {
        is_up: true,
        worker: Some(WorkerId::new("w0")),
        incarnation: 1,
        ..MachineStatus::default()
    };
    let statuses = BTreeMap::from([(MachineName::new("m0"), status)]);
    let actions = plant.planner.plan(&statuses, now);
    let is_order = |action: &MaintenanceAction| matches!(action, MaintenanceAction::Order { .. });
    assert!(actions.iter().any(is_order), "{actions:?}");
    let record = plant.planner.record(1).cloned();
    let request = WaveRequest {
        number: 1,
        machines: vec![MachineName::new("m0")],
        duration: time::Duration::from_secs(20),
        max_down: 2,
    };
    let mut next = WavePlanner::new(MaintenanceSettings::default());
    let added = next.add(&request, record, now, WallTime::default());
    added.expect("the wave fits");
    let mut blocks = WorkerBlocks::default();
    next.add_blocks(&mut blocks);
    assert_eq!(blocks, blocks_of(&WorkerId::new("w0"), WorkerBlock::All));
    // Once the platform has accepted the order, the next incarnation is free.
    next.plan(&statuses, now);
    next.order_accepted(1, &MachineName::new("m0"), now);
    let mut blocks = WorkerBlocks::default();
    next.add_blocks(&mut blocks);
    assert_eq!(blocks, blocks_of(&WorkerId::new("w0"), WorkerBlock::One(1)));
}

/// Guards against a machine that is released when its order is throttled, fills with tasks and
/// has to be emptied again; and against one that is busy and holds the turn of the others.
#[test]
fn a_machine_stays_blocked_while_its_order_is_throttled_but_not_while_it_is_busy() {
    let mut plant = FakePlant::new(2, true);
    plant.request_wave(&["m0", "m1"]);
    let now = plant.fleet.now;
    let statuses = ["0", "1"].map(|number| {
        let status = MachineStatus {
            is_up: true,
            worker: Some(WorkerId::new(&format!("w{number}"))),
            incarnation: 1,
            ..MachineStatus::default()
        };
        (MachineName::new(&format!("m{number}")), status)
    });
    let statuses = BTreeMap::from(statuses);
    plant.planner.plan(&statuses, now);
    plant
        .planner
        .order_rejected(1, &MachineName::new("m0"), now);
    plant.planner.machine_busy(1, &MachineName::new("m1"), now);
    let mut blocks = WorkerBlocks::default();
    plant.planner.add_blocks(&mut blocks);
    assert_eq!(blocks, blocks_of(&WorkerId::new("w0"), WorkerBlock::All));
    let later = now + time::Duration::from_secs(1);
    let actions = plant.planner.plan(&statuses, later);
    let is_order = |action: &&MaintenanceAction| matches!(action, MaintenanceAction::Order { .. });
    assert_eq!(actions.iter().filter(is_order).count(), 2, "{actions:?}");
}
