//! Stand-in machine service: lists machines, moves them between pools and takes
//! them down for maintenance, under fencing tokens.
//!
//! Faults are set for the whole service: orders are executed after a delay and
//! without a response, and chosen machines are missing from the list.

use std::cell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc;
use std::time;

use redwing_engine::product;
use redwing_engine::services::{
    LeaseHolder, ListedMachine, MachineClient, MachineOutcome, MachineState,
};
use redwing_jobs::name::{DataCentre, MachineName, PoolName, WorkerId};
use redwing_jobs::spec::ResourceAmount;
use redwing_provider::{Error, LocalFuture, Result, TableStore, TableTransaction};
use tokio::time as timer;

use crate::memory::MemoryPlatform;
use crate::worker::MemoryWorkers;

/// Injected faults of the service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineFault {
    /// Delay after which orders are executed, without a response.
    pub execution_delay: Option<time::Duration>,
    /// Machines that the list leaves out, although they exist.
    pub unlisted: BTreeSet<MachineName>,
}

/// Under which id a worker returns after the maintenance of its machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerReturn {
    /// Its own.
    SameId,
    /// Another one; its entry is removed.
    NewId,
}

/// Workers that run on the machines, with the table that lists them.
#[derive(Clone)]
struct HostedWorkers {
    workers: MemoryWorkers,
    table: MemoryPlatform,
    returns: WorkerReturn,
}

impl fmt::Debug for HostedWorkers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HostedWorkers")
            .field("workers", &self.workers)
            .field("returns", &self.returns)
            .finish_non_exhaustive()
    }
}

impl HostedWorkers {
    /// Starts the next incarnation of a worker; returns its id.
    async fn bring_back(&self, worker: &WorkerId) -> Option<WorkerId> {
        let id = match self.returns {
            WorkerReturn::SameId => worker.clone(),
            WorkerReturn::NewId => WorkerId::new(&format!("{worker}-next")),
        };
        let view = self.workers.bring_back(worker, &id)?;
        let value = serde_json::to_string(&view).ok()?;
        let mut change = TableTransaction::default().put(product::worker_key(&id), value);
        if id != *worker {
            change = change.delete(product::worker_key(worker));
        }
        self.table.commit(&change).await.ok()?;
        Some(id)
    }
}

/// Machine with the state that orders change.
#[derive(Debug)]
struct StandinMachine {
    /// Worker on it, while the machine is up.
    worker: Option<WorkerId>,
    pool: PoolName,
    fencing_token: u64,
    /// When its latest maintenance ends.
    down_until: Option<timer::Instant>,
    /// Waves whose maintenance has begun.
    maintained: BTreeSet<u64>,
}

impl StandinMachine {
    fn is_down(&self) -> bool {
        self.down_until
            .is_some_and(|end| timer::Instant::now() < end)
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    machines: BTreeMap<MachineName, StandinMachine>,
    fault: MachineFault,
    most_down: usize,
    orders: Vec<MachineName>,
    moves: Vec<MachineName>,
    data_centre: Option<DataCentre>,
    capacity: ResourceAmount,
}

/// Machine service in memory; clones share the machines.
#[derive(Clone, Debug, Default)]
pub struct MemoryMachines {
    maintenance_time: time::Duration,
    state: rc::Rc<cell::RefCell<ServiceState>>,
    hosted: Option<HostedWorkers>,
}

impl MemoryMachines {
    /// Creates machines `m-0`, `m-1` and so on in one pool, whose maintenance takes
    /// `maintenance_time`.
    pub fn new(pool: &str, count: usize, maintenance_time: time::Duration) -> Self {
        let machines = (0..count).map(|number| {
            let machine = StandinMachine {
                worker: None,
                pool: PoolName::new(pool),
                fencing_token: 0,
                down_until: None,
                maintained: BTreeSet::new(),
            };
            (MachineName::new(&format!("m-{number}")), machine)
        });
        let state = ServiceState {
            machines: machines.collect(),
            ..ServiceState::default()
        };
        Self {
            maintenance_time,
            state: rc::Rc::new(cell::RefCell::new(state)),
            hosted: None,
        }
    }

    /// Runs one of the workers on each machine, in their order; `table` lists them.
    pub fn host(&mut self, workers: &MemoryWorkers, table: &MemoryPlatform, returns: WorkerReturn) {
        let mut state = self.state.borrow_mut();
        for (machine, id) in state.machines.values_mut().zip(workers.ids()) {
            machine.worker = Some(id);
        }
        drop(state);
        self.hosted = Some(HostedWorkers {
            workers: workers.clone(),
            table: table.clone(),
            returns,
        });
    }

    /// Ends the worker of a machine, which returns after the maintenance.
    fn take_worker_down(&self, name: &MachineName) {
        let Some(hosted) = self.hosted.clone() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let machine = state.machines.get_mut(name);
        let Some(worker) = machine.and_then(|machine| machine.worker.take()) else {
            return;
        };
        hosted.workers.take_down(&worker);
        let (state, name) = (rc::Rc::clone(&self.state), name.clone());
        let maintenance_time = self.maintenance_time;
        tokio::task::spawn_local(async move {
            timer::sleep(maintenance_time).await;
            let id = hosted.bring_back(&worker).await;
            if let Some(machine) = state.borrow_mut().machines.get_mut(&name) {
                machine.worker = id;
            }
        });
    }

    /// Sets the data centre and the capacity of all machines.
    pub fn set_machines(&self, data_centre: Option<DataCentre>, capacity: ResourceAmount) {
        let mut state = self.state.borrow_mut();
        state.data_centre = data_centre;
        state.capacity = capacity;
    }

    /// Returns the machines of all orders to move, in the order of arrival.
    pub fn moves(&self) -> Vec<MachineName> {
        self.state.borrow().moves.clone()
    }

    /// Sets the faults of the service.
    pub fn set_fault(&self, fault: MachineFault) {
        self.state.borrow_mut().fault = fault;
    }

    /// Returns the machines whose maintenance of a wave has begun.
    pub fn maintained(&self, wave: u64) -> Vec<MachineName> {
        let state = self.state.borrow();
        let machines = state.machines.iter();
        machines
            .filter(|(_, machine)| machine.maintained.contains(&wave))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the largest number of machines that were down for maintenance at
    /// once.
    pub fn most_down(&self) -> usize {
        self.state.borrow().most_down
    }

    /// Returns the machines of all maintenance orders, in the order of arrival.
    pub fn orders(&self) -> Vec<MachineName> {
        self.state.borrow().orders.clone()
    }

    fn list_all(&self) -> Vec<ListedMachine> {
        let state = self.state.borrow();
        let listed = state
            .machines
            .iter()
            .filter(|(name, _)| !state.fault.unlisted.contains(*name));
        let listed = listed.map(|(name, machine)| ListedMachine {
            name: name.clone(),
            pool: machine.pool.clone(),
            data_centre: state.data_centre.clone(),
            state: if machine.is_down() {
                MachineState::Maintenance
            } else {
                MachineState::Up
            },
            worker: machine.worker.clone(),
            capacity: state.capacity,
            labels: Vec::new(),
        });
        listed.collect()
    }

    fn execute(
        &self,
        fencing_token: u64,
        name: &MachineName,
        change: impl FnOnce(&mut StandinMachine) -> MachineOutcome,
    ) -> MachineOutcome {
        let mut state = self.state.borrow_mut();
        let Some(machine) = state.machines.get_mut(name) else {
            return MachineOutcome::Invalid;
        };
        if fencing_token < machine.fencing_token {
            return MachineOutcome::Fenced;
        }
        machine.fencing_token = fencing_token;
        let outcome = change(machine);
        let down = state.machines.values().filter(|machine| machine.is_down());
        state.most_down = state.most_down.max(down.count());
        outcome
    }

    fn maintain(&self, fencing_token: u64, name: &MachineName, wave: u64) -> MachineOutcome {
        let end = timer::Instant::now() + self.maintenance_time;
        let mut has_begun = false;
        let outcome = self.execute(fencing_token, name, |machine| {
            if machine.maintained.contains(&wave) {
                return MachineOutcome::Accepted;
            }
            if machine.is_down() {
                return MachineOutcome::Busy;
            }
            machine.down_until = Some(end);
            machine.maintained.insert(wave);
            has_begun = true;
            MachineOutcome::Accepted
        });
        if has_begun {
            self.take_worker_down(name);
        }
        outcome
    }

    /// Executes an order now, or after the delay of the fault without a response.
    async fn order(&self, execute: impl FnOnce(&Self) -> MachineOutcome) -> Result<MachineOutcome> {
        let delay = self.state.borrow().fault.execution_delay;
        let Some(delay) = delay else {
            return Ok(execute(self));
        };
        timer::sleep(delay).await;
        execute(self);
        Err(Error::unknown("order", "machines", "no response"))
    }
}

impl MachineClient for MemoryMachines {
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedMachine>>> {
        Box::pin(async { Ok(self.list_all()) })
    }

    fn change_pool<'a>(
        &'a self,
        holder: LeaseHolder<'a>,
        machine: &'a MachineName,
        pool: &'a PoolName,
    ) -> LocalFuture<'a, Result<MachineOutcome>> {
        self.state.borrow_mut().moves.push(machine.clone());
        let token = holder.fencing_token;
        Box::pin(self.order(move |service| {
            service.execute(token, machine, |entry| {
                entry.pool = pool.clone();
                MachineOutcome::Accepted
            })
        }))
    }

    fn begin_maintenance<'a>(
        &'a self,
        holder: LeaseHolder<'a>,
        machine: &'a MachineName,
        wave: u64,
    ) -> LocalFuture<'a, Result<MachineOutcome>> {
        self.state.borrow_mut().orders.push(machine.clone());
        let token = holder.fencing_token;
        Box::pin(self.order(move |service| service.maintain(token, machine, wave)))
    }
}
