//! Machines and the workers on them, which execute orders in simulated time.
//!
//! A worker runs each task for its duration. It lists ended runs until they are
//! acknowledged, and holds the response to a renewal until a run ends. A machine
//! that is down gives no response, and its worker's runs are lost. The owner in the
//! model never stops, so leases expire only on machines that are down.

use std::collections::{BTreeMap, HashMap};
use std::net;

use redwing_jobs::capacity::PoolMachine;
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::{MachineName, PoolName, WorkerLabel};
use redwing_jobs::spec::ResourceAmount;
use redwing_jobs::worker::{
    ActiveRun, EndedRun, ExitKind, OrderAction, OrderOutcome, RenewalReport, WorkerOrder,
    WorkerView,
};
use redwing_jobs::{BootTime, JobScheduler, TaskId, WorkerId};

use crate::load::{LoadFile, LostRack};

/// Run on a worker.
#[derive(Clone, Copy, Debug)]
struct SimulatedRun {
    run: u32,
    started_at: BootTime,
    finishes_at: BootTime,
}

impl SimulatedRun {
    /// Returns the progress of the run at `now`, from 0 to 100.
    fn percent(&self, now: BootTime) -> u32 {
        let duration = self.finishes_at.saturating_since(self.started_at);
        let elapsed = now.saturating_since(self.started_at);
        (elapsed.as_millis() * 100 / duration.as_millis().max(1)).min(100) as u32
    }
}

/// Worker on a machine.
#[derive(Clone, Debug)]
struct SimulatedWorker {
    view: WorkerView,
    running: BTreeMap<TaskId, SimulatedRun>,
    ended: Vec<EndedRun>,
    /// Ended runs of this incarnation so far.
    ended_count: u64,
    /// Renewal whose response waits for a run to end.
    held_renewal: Option<WorkerOrder>,
}

impl SimulatedWorker {
    fn new(view: WorkerView) -> Self {
        Self {
            view,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ended_count: 0,
            held_renewal: None,
        }
    }

    fn end_run(&mut self, task: &TaskId, run: u32, kind: ExitKind) -> bool {
        if self.running.get(task).is_none_or(|entry| entry.run != run) {
            return false;
        }
        self.running.remove(task);
        self.ended_count += 1;
        self.ended.push(EndedRun {
            number: self.ended_count,
            task: task.clone(),
            run,
            kind,
            checkpoint: None,
        });
        true
    }

    fn report(&self, now: BootTime) -> RenewalReport {
        let running = self.running.iter().map(|(task, entry)| ActiveRun {
            task: task.clone(),
            run: entry.run,
            checkpoint: None,
            percent: entry.percent(now),
            metric: 0,
        });
        RenewalReport {
            incarnation: self.view.incarnation,
            clock_ms: now.as_millis(),
            running: running.collect(),
            ended: self.ended.clone(),
            is_complete: true,
            malformed: 0,
        }
    }

    fn used(&self, reserved: impl Fn(&TaskId) -> ResourceAmount) -> ResourceAmount {
        let mut used = ResourceAmount::default();
        for task in self.running.keys() {
            used += reserved(task);
        }
        used
    }
}

/// Machine, which runs one worker at a time.
#[derive(Clone, Debug)]
struct SimulatedMachine {
    name: MachineName,
    pool: PoolName,
    rack: WorkerLabel,
    capacity: ResourceAmount,
    is_down: bool,
    is_moving: bool,
    /// Workers that it has started.
    starts: u64,
    /// None while it moves, and in a standby pool.
    worker: Option<SimulatedWorker>,
}

/// What follows from an order.
#[derive(Clone, Debug)]
pub(crate) enum OrderEffect {
    /// The worker responds.
    Response(OrderOutcome, Option<RenewalReport>),
    /// The worker responds, and the run that it has started ends at this time.
    Started(BootTime),
    /// The response waits for a run to end.
    Held,
    /// There is no response.
    Silence,
}

/// All machines.
#[derive(Debug)]
pub(crate) struct SimulatedFleet {
    machines: Vec<SimulatedMachine>,
    numbers: HashMap<MachineName, usize>,
    workers: HashMap<WorkerId, usize>,
}

impl SimulatedFleet {
    /// Creates the machines of a load's pools, with workers except in standby pools.
    pub(crate) fn new(load: &LoadFile, now: BootTime) -> Self {
        let mut fleet = Self {
            machines: Vec::new(),
            numbers: HashMap::new(),
            workers: HashMap::new(),
        };
        for pool in &load.pools {
            for number in 0..pool.workers.get() {
                let rack = number % pool.racks.get().max(1);
                let name = MachineName::new(&format!("m{:05}", fleet.machines.len()));
                fleet.numbers.insert(name.clone(), fleet.machines.len());
                fleet.machines.push(SimulatedMachine {
                    name,
                    pool: PoolName::new(&pool.name),
                    rack: rack_label(&pool.name, rack),
                    capacity: ResourceAmount {
                        cpu_millis: pool.cpu_millis.get(),
                        memory_mb: pool.memory_mb.get(),
                        accelerators: 0,
                    },
                    is_down: false,
                    is_moving: false,
                    starts: 0,
                    worker: None,
                });
                if !pool.standby {
                    fleet.start_worker(fleet.machines.len() - 1, now);
                }
            }
        }
        fleet
    }

    /// Starts a worker on a machine; it gets an id of its own.
    fn start_worker(&mut self, number: usize, now: BootTime) -> Option<WorkerView> {
        let machine = self.machines.get_mut(number)?;
        machine.starts += 1;
        let id = WorkerId::new(&format!("{}-{}", machine.name, machine.starts));
        let view = WorkerView {
            id: id.clone(),
            pool: machine.pool.clone(),
            address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1)),
            incarnation: now.as_millis(),
            capacity: machine.capacity,
            labels: vec![machine.rack.clone()],
            rack: Some(machine.rack.clone()),
            data_centre: None,
            cold_ms: 0,
            is_draining: false,
            remaining_ms: None,
        };
        machine.worker = Some(SimulatedWorker::new(view.clone()));
        self.workers.insert(id, number);
        Some(view)
    }

    /// Returns the entries of all workers.
    pub(crate) fn views(&self) -> Vec<WorkerView> {
        let workers = self
            .machines
            .iter()
            .filter_map(|machine| machine.worker.as_ref());
        workers.map(|worker| worker.view.clone()).collect()
    }

    fn worker_mut(&mut self, id: &WorkerId) -> Option<&mut SimulatedWorker> {
        let number = *self.workers.get(id)?;
        let machine = self.machines.get_mut(number)?;
        machine
            .worker
            .as_mut()
            .filter(|worker| worker.view.id == *id)
    }

    /// Executes an order that arrives now. `duration_ms` and `reserved` return the
    /// duration and the needs of a task.
    pub(crate) fn execute(
        &mut self,
        order: &WorkerOrder,
        now: BootTime,
        duration_ms: impl Fn(&TaskId) -> u64,
        reserved: impl Fn(&TaskId) -> ResourceAmount,
    ) -> OrderEffect {
        let number = self.workers.get(&order.worker);
        if number.is_some_and(|number| self.machines[*number].is_down) {
            return OrderEffect::Silence;
        }
        let Some(worker) = self.worker_mut(&order.worker) else {
            return OrderEffect::Response(OrderOutcome::Replaced, None);
        };
        match &order.action {
            OrderAction::Start { task, run, .. } => {
                let mut free = worker.view.capacity;
                free -= worker.used(&reserved);
                if !reserved(task).fits_in(&free) {
                    return OrderEffect::Response(OrderOutcome::Full, None);
                }
                let finishes_at = BootTime::from_millis(now.as_millis() + duration_ms(task));
                let entry = SimulatedRun {
                    run: *run,
                    started_at: now,
                    finishes_at,
                };
                worker.running.insert(task.clone(), entry);
                OrderEffect::Started(finishes_at)
            }
            OrderAction::Stop { task, run } => {
                worker.end_run(task, *run, ExitKind::Stopped);
                OrderEffect::Response(OrderOutcome::Accepted, None)
            }
            OrderAction::Renew {
                acknowledged_number,
                wait_ms,
                ..
            } => {
                worker
                    .ended
                    .retain(|ended| ended.number > *acknowledged_number);
                if *wait_ms > 0 && worker.ended.is_empty() {
                    worker.held_renewal = Some(order.clone());
                    return OrderEffect::Held;
                }
                OrderEffect::Response(OrderOutcome::Accepted, Some(worker.report(now)))
            }
            OrderAction::Pace { .. } => OrderEffect::Response(OrderOutcome::Accepted, None),
        }
    }

    /// Ends a run that is done, unless it was stopped or lost; returns whether the
    /// worker's held renewal is to be answered.
    pub(crate) fn finish_run(&mut self, worker: &WorkerId, task: &TaskId, run: u32) -> bool {
        let Some(worker) = self.worker_mut(worker) else {
            return false;
        };
        worker.end_run(task, run, ExitKind::Done) && worker.held_renewal.is_some()
    }

    /// Takes a held renewal with its response; only the one issued at `issued_at` if
    /// that is given.
    pub(crate) fn answer_held(
        &mut self,
        worker: &WorkerId,
        issued_at: Option<BootTime>,
        now: BootTime,
    ) -> Option<(WorkerOrder, RenewalReport)> {
        let worker = self.worker_mut(worker)?;
        let held = worker.held_renewal.as_ref()?;
        if issued_at.is_some_and(|issued_at| held.issued_at != issued_at) {
            return None;
        }
        let order = worker.held_renewal.take()?;
        Some((order, worker.report(now)))
    }

    /// Takes the machines of a rack down; returns the held renewals, which get no
    /// response.
    pub(crate) fn lose_rack(&mut self, lost: &LostRack) -> Vec<WorkerOrder> {
        let rack = rack_label(&lost.pool, lost.rack.get());
        let mut unanswered = Vec::new();
        for machine in self.machines.iter_mut().filter(|entry| entry.rack == rack) {
            machine.is_down = true;
            if let Some(worker) = &mut machine.worker {
                worker.running.clear();
                unanswered.extend(worker.held_renewal.take());
            }
        }
        unanswered
    }

    /// Brings the machines of a rack back; returns the entries of their workers, which
    /// are new incarnations.
    pub(crate) fn return_rack(&mut self, lost: &LostRack, now: BootTime) -> Vec<WorkerView> {
        let rack = rack_label(&lost.pool, lost.rack.get());
        let mut views = Vec::new();
        for machine in self.machines.iter_mut().filter(|entry| entry.rack == rack) {
            machine.is_down = false;
            if let Some(worker) = &mut machine.worker {
                worker.view.incarnation = now.as_millis();
                *worker = SimulatedWorker::new(worker.view.clone());
                views.push(worker.view.clone());
            }
        }
        views
    }

    /// Begins the move of a machine to a pool: its worker is gone.
    pub(crate) fn begin_move(&mut self, name: &MachineName, pool: &PoolName) -> Option<usize> {
        let number = *self.numbers.get(name)?;
        let machine = self.machines.get_mut(number)?;
        if machine.is_down || machine.is_moving {
            return None;
        }
        machine.is_moving = true;
        machine.pool = pool.clone();
        if let Some(worker) = machine.worker.take() {
            self.workers.remove(&worker.view.id);
        }
        Some(number)
    }

    /// Returns the pool of a machine, or the one to which it moves.
    pub(crate) fn pool_of(&self, number: usize) -> &PoolName {
        &self.machines[number].pool
    }

    /// Ends the move of a machine; returns the entry of its new worker, if its pool
    /// has one.
    pub(crate) fn end_move(
        &mut self,
        number: usize,
        is_standby: bool,
        now: BootTime,
    ) -> Option<WorkerView> {
        self.machines.get_mut(number)?.is_moving = false;
        if is_standby {
            return None;
        }
        self.start_worker(number, now)
    }

    /// Returns the processor of the machines in standby pools that could be moved, in
    /// thousandths of a core.
    pub(crate) fn standby_cpu_millis(&self, manifest: &JobManifest) -> u64 {
        let is_standby = |machine: &&SimulatedMachine| {
            let pool = manifest.pool(&machine.pool);
            pool.is_some_and(|pool| pool.is_standby) && !machine.is_down && !machine.is_moving
        };
        let machines = self.machines.iter().filter(is_standby);
        machines.map(|machine| machine.capacity.cpu_millis).sum()
    }

    /// Returns the machines as the capacity planner sees them.
    pub(crate) fn pool_machines(
        &self,
        scheduler: &JobScheduler,
    ) -> BTreeMap<MachineName, PoolMachine> {
        let machines = self.machines.iter().map(|machine| {
            let worker = machine.worker.as_ref().map(|worker| worker.view.id.clone());
            let load = worker.as_ref().map(|worker| scheduler.worker_load(worker));
            let entry = PoolMachine {
                pool: machine.pool.clone(),
                is_usable: !machine.is_down,
                is_movable: !machine.is_down && !machine.is_moving,
                data_centre: None,
                worker,
                load: load.unwrap_or_default(),
                cpu_millis: machine.capacity.cpu_millis,
            };
            (machine.name.clone(), entry)
        });
        machines.collect()
    }
}

fn rack_label(pool: &str, rack: u64) -> WorkerLabel {
    WorkerLabel::new(&format!("{pool}-rack-{rack}"))
}
