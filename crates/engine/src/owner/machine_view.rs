//! Machines as the planners of maintenance and capacity see them.

use redwing_jobs::JobScheduler;
use redwing_jobs::capacity::PoolMachine;
use redwing_jobs::maintenance::{MachineStatus, WorkerLoad};

use crate::services::{ListedMachine, MachineState};

/// Returns the status of a machine for the planner of maintenance.
pub(super) fn machine_status(
    machine: &ListedMachine,
    is_evacuated: bool,
    scheduler: &JobScheduler,
) -> MachineStatus {
    MachineStatus {
        is_up: machine.state == MachineState::Up,
        is_evacuated,
        worker: machine.worker.clone(),
        incarnation: incarnation_of(machine, scheduler),
        load: load_of(machine, scheduler),
    }
}

/// Returns a machine for the planner of capacity.
pub(super) fn pool_machine(
    machine: &ListedMachine,
    is_under_maintenance: bool,
    scheduler: &JobScheduler,
) -> PoolMachine {
    let is_there = matches!(machine.state, MachineState::Up | MachineState::Moving);
    PoolMachine {
        pool: machine.pool.clone(),
        is_usable: is_there && !is_under_maintenance,
        is_movable: machine.state == MachineState::Up && !is_under_maintenance,
        data_centre: machine.data_centre.clone(),
        worker: machine.worker.clone(),
        load: load_of(machine, scheduler),
        cpu_millis: machine.capacity.cpu_millis,
    }
}

/// Returns the incarnation of the worker on a machine, or 0 if it is not known.
fn incarnation_of(machine: &ListedMachine, scheduler: &JobScheduler) -> u64 {
    let worker = machine.worker.as_ref();
    let incarnation = worker.and_then(|worker| scheduler.incarnation(worker));
    incarnation.unwrap_or_default()
}

/// Returns the load of the worker on a machine.
fn load_of(machine: &ListedMachine, scheduler: &JobScheduler) -> WorkerLoad {
    let worker = machine.worker.as_ref();
    let load = worker.map(|worker| scheduler.worker_load(worker));
    load.unwrap_or_default()
}
