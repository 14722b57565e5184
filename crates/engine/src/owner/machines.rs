//! Drives the upkeep of machines and their moves between pools.

use std::collections::BTreeMap;
use std::fmt;
use std::rc;

use redwing_jobs::capacity::{CapacityAction, CapacityPlanner, PoolMachine, PoolState};
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceRecord, WavePlanner, WaveState, WorkerLoad,
};
use redwing_jobs::name::{MachineName, PoolName, WorkerId};
use redwing_jobs::{BootTime, JobScheduler};
use redwing_provider::Category;
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::row::{self, EncodedRow};
use crate::services::{ListedMachine, MachineClient, MachineHolder, MachineOutcome, MachineState};

use super::{OwnerParts, OwnerSettings};

/// What came of a call about machines.
#[derive(Debug)]
pub(super) enum MachineAnswer {
    /// The list, or nothing if there was no answer.
    Listed(Option<Vec<ListedMachine>>),
    /// What became of an order; nothing if that is not known.
    Ordered {
        machine: MachineName,
        order: MachineOrder,
        outcome: Option<MachineOutcome>,
    },
}

/// What a machine is ordered to do.
#[derive(Debug)]
pub(super) enum MachineOrder {
    /// Join a pool; the worker on it ends.
    Move {
        worker: Option<WorkerId>,
        pool: PoolName,
    },
    /// Have the upkeep of a wave.
    Upkeep(u64),
}

impl fmt::Display for MachineOrder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Move { pool, .. } => write!(formatter, "move to {pool}"),
            Self::Upkeep(wave) => write!(formatter, "upkeep of wave {wave}"),
        }
    }
}

/// Keeps the list of machines and gives the orders for their upkeep.
pub(super) struct MachineDesk {
    client: rc::Rc<dyn MachineClient>,
    answers: mpsc::UnboundedSender<MachineAnswer>,
    metrics: JobMetrics,
    planner: WavePlanner,
    capacity: CapacityPlanner,
    next_capacity: BootTime,
    node: String,
    fence: u64,
    machines: Vec<ListedMachine>,
    is_listing: bool,
    next_list: BootTime,
    /// Rows to store with the next change.
    rows: Vec<EncodedRow>,
    is_fenced: bool,
}

impl MachineDesk {
    pub(super) fn new(
        parts: &OwnerParts,
        fence: u64,
        answers: mpsc::UnboundedSender<MachineAnswer>,
    ) -> Self {
        Self {
            client: rc::Rc::clone(&parts.services.machines),
            answers,
            metrics: parts.metrics.clone(),
            planner: WavePlanner::new(parts.settings.upkeep.clone()),
            capacity: CapacityPlanner::new(parts.settings.capacity.clone()),
            next_capacity: BootTime::default(),
            node: parts.node.clone(),
            fence,
            machines: Vec::new(),
            is_listing: false,
            next_list: BootTime::default(),
            rows: Vec::new(),
            is_fenced: false,
        }
    }

    /// Returns whether the platform answered that a newer owner exists.
    pub(super) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes what the machines offer into `offer`.
    pub(super) fn add_offers(&self, offer: &mut FleetCapacity) {
        for machine in &self.machines {
            offer.add(&machine.capacity, &machine.labels);
        }
    }

    pub(super) fn has_rows(&self) -> bool {
        !self.rows.is_empty()
    }

    pub(super) fn take_rows(&mut self) -> Vec<EncodedRow> {
        std::mem::take(&mut self.rows)
    }

    /// Takes in the waves that operators asked for.
    pub(super) fn add_waves(
        &mut self,
        view: &OperatorView,
        kept: &BTreeMap<u64, MaintenanceRecord>,
        now: BootTime,
    ) {
        for wave in view.waves.iter() {
            let record = kept.get(&wave.number).cloned();
            self.planner.add(wave, record, now, clock::wall_now());
        }
    }

    /// Lists the machines and gives the orders that are due.
    pub(super) fn tick(&mut self, parts: &OwnerParts, scheduler: &mut JobScheduler, now: BootTime) {
        self.list_if_due(&parts.settings, now);
        if self.machines.is_empty() {
            return;
        }
        if self.planner.is_active() {
            let facts = self.facts(scheduler);
            for action in self.planner.plan(&facts, now) {
                self.act(parts, scheduler, action, now);
            }
        }
        if now >= self.next_capacity {
            self.next_capacity = now + parts.settings.capacity_interval;
            self.size_pools(parts, scheduler, now);
        }
    }

    /// Moves machines to where the demand is.
    fn size_pools(&mut self, parts: &OwnerParts, scheduler: &mut JobScheduler, now: BootTime) {
        let Some(manifest) = parts.operators.borrow().manifest.clone() else {
            return;
        };
        let demands = scheduler.pool_demands(clock::wall_now());
        let pools = manifest.pools().map(|pool| {
            let fact = PoolState {
                is_standby: pool.is_standby,
                demand: demands.get(&pool.name).copied().unwrap_or_default(),
            };
            (pool.name.clone(), fact)
        });
        let pools: BTreeMap<PoolName, PoolState> = pools.collect();
        let machines = self.pool_machines(scheduler);
        for action in self.capacity.plan(&pools, &machines, now) {
            match action {
                CapacityAction::Prepare(worker) => scheduler.block_worker(&worker, true),
                CapacityAction::Release(worker) => scheduler.block_worker(&worker, false),
                CapacityAction::Move {
                    machine,
                    worker,
                    pool,
                } => self.order(machine, MachineOrder::Move { worker, pool }),
            }
        }
    }

    fn pool_machines(&self, scheduler: &JobScheduler) -> BTreeMap<MachineName, PoolMachine> {
        let machines = self.machines.iter().map(|machine| {
            let is_busy = self.planner.is_under_maintenance(&machine.name);
            let entry = PoolMachine {
                pool: machine.pool.clone(),
                is_usable: matches!(machine.state, MachineState::Up | MachineState::Moving)
                    && !is_busy,
                is_movable: machine.state == MachineState::Up && !is_busy,
                worker: machine.worker.clone(),
                load: load_of(machine, scheduler),
                cpu_millis: machine.capacity.cpu_millis,
            };
            (machine.name.clone(), entry)
        });
        machines.collect()
    }

    /// Sends an order in a task of its own.
    fn order(&self, machine: MachineName, order: MachineOrder) {
        let client = rc::Rc::clone(&self.client);
        let answers = self.answers.clone();
        let node = self.node.clone();
        let fence = self.fence;
        tokio::task::spawn_local(async move {
            let holder = MachineHolder { name: &node, fence };
            let answer = match &order {
                MachineOrder::Move { pool, .. } => client.change_pool(holder, &machine, pool).await,
                MachineOrder::Upkeep(wave) => client.begin_upkeep(holder, &machine, *wave).await,
            };
            let outcome = known_outcome(&machine, &order, answer);
            // The session may have ended in the meantime.
            let _ = answers.send(MachineAnswer::Ordered {
                machine,
                order,
                outcome,
            });
        });
    }

    fn list_if_due(&mut self, settings: &OwnerSettings, now: BootTime) {
        if self.is_listing || now < self.next_list {
            return;
        }
        self.is_listing = true;
        self.next_list = now + settings.machine_interval;
        let client = rc::Rc::clone(&self.client);
        let answers = self.answers.clone();
        tokio::task::spawn_local(async move {
            let machines = match client.list().await {
                Ok(machines) => Some(machines),
                Err(error) => {
                    log_job_event!(warn, event::MACHINE_CALL_FAILED, error = error);
                    None
                }
            };
            // The session may have ended in the meantime.
            let _ = answers.send(MachineAnswer::Listed(machines));
        });
    }

    fn facts(&self, scheduler: &JobScheduler) -> BTreeMap<MachineName, MachineStatus> {
        let facts = self.machines.iter().map(|machine| {
            let fact = MachineStatus {
                is_up: machine.state == MachineState::Up,
                is_in_maintenance: machine.state == MachineState::Upkeep,
                worker: machine.worker.clone(),
                load: load_of(machine, scheduler),
            };
            (machine.name.clone(), fact)
        });
        facts.collect()
    }

    fn act(
        &mut self,
        parts: &OwnerParts,
        scheduler: &mut JobScheduler,
        action: MaintenanceAction,
        now: BootTime,
    ) {
        match action {
            MaintenanceAction::Prepare(worker) => {
                scheduler.block_worker(&worker, true);
                scheduler.evict_long_running(&worker, now);
            }
            MaintenanceAction::Release(worker) => scheduler.block_worker(&worker, false),
            MaintenanceAction::Order { wave, machine } => {
                self.order(machine, MachineOrder::Upkeep(wave));
            }
            MaintenanceAction::Store { wave, state } => self.store_wave(parts, wave, state),
        }
    }

    fn store_wave(&mut self, parts: &OwnerParts, wave: u64, state: WaveState) {
        log_job_event!(
            info,
            event::WAVE_CHANGED,
            wave = wave,
            state = format!("{state:?}")
        );
        let key = row::upkeep_key(wave);
        if let Some(record) = self.planner.record(wave) {
            match row::write(&key, record) {
                Ok(value) => self.rows.push(EncodedRow { key, value }),
                Err(error) => log_job_event!(error, event::ROW_MALFORMED, error = error),
            }
        }
        self.rows.push(parts.codec.wave_status(wave, state));
    }

    /// Takes in what came of a call.
    pub(super) fn answered(
        &mut self,
        scheduler: &mut JobScheduler,
        answer: MachineAnswer,
        now: BootTime,
    ) {
        match answer {
            MachineAnswer::Listed(machines) => {
                self.is_listing = false;
                self.machines = machines.unwrap_or_else(|| std::mem::take(&mut self.machines));
            }
            MachineAnswer::Ordered {
                machine,
                order: MachineOrder::Move { worker, pool },
                outcome,
            } => {
                self.capacity.handle_move_response(&machine);
                self.move_answered(scheduler, &machine, worker.as_ref(), &pool, outcome);
            }
            MachineAnswer::Ordered {
                machine,
                order: MachineOrder::Upkeep(wave),
                outcome,
            } => self.upkeep_answered(wave, &machine, outcome, now),
        }
    }

    fn move_answered(
        &mut self,
        scheduler: &mut JobScheduler,
        machine: &MachineName,
        worker: Option<&WorkerId>,
        pool: &PoolName,
        outcome: Option<MachineOutcome>,
    ) {
        match outcome {
            Some(MachineOutcome::Accepted) => {
                self.metrics.count_machine("move");
                let known = self
                    .machines
                    .iter_mut()
                    .find(|known| known.name == *machine);
                if let Some(known) = known {
                    known.pool = pool.clone();
                    known.state = MachineState::Moving;
                    known.worker = None;
                }
                if let Some(worker) = worker {
                    scheduler.worker_removed(worker);
                }
            }
            Some(MachineOutcome::Fenced) => self.is_fenced = true,
            // It may have moved: the next list tells.
            None => {}
            Some(_) => {
                if let Some(worker) = worker {
                    scheduler.block_worker(worker, false);
                }
            }
        }
    }

    fn upkeep_answered(
        &mut self,
        wave: u64,
        machine: &MachineName,
        outcome: Option<MachineOutcome>,
        now: BootTime,
    ) {
        match outcome {
            Some(MachineOutcome::Accepted) => {
                self.metrics.count_machine("upkeep");
                self.planner.order_accepted(wave, machine, now);
            }
            Some(MachineOutcome::Fenced) => self.is_fenced = true,
            Some(MachineOutcome::Busy | MachineOutcome::Throttled) => {
                self.planner.order_rejected(wave, machine);
            }
            Some(MachineOutcome::NotInWave | MachineOutcome::Invalid) => {
                self.planner.order_unneeded(wave, machine);
            }
            // The planner repeats an order that was not answered.
            None => {}
        }
    }
}

/// Returns what became of an order; nothing if it may still be carried out.
fn known_outcome(
    machine: &MachineName,
    order: &MachineOrder,
    answer: redwing_provider::Result<MachineOutcome>,
) -> Option<MachineOutcome> {
    match answer {
        Ok(outcome) => {
            log_job_event!(
                info,
                event::MACHINE_ORDERED,
                machine = machine,
                order = order,
                outcome = format!("{outcome:?}"),
            );
            Some(outcome)
        }
        Err(error) => {
            log_job_event!(
                warn,
                event::MACHINE_CALL_FAILED,
                machine = machine,
                order = order,
                error = error,
            );
            let is_void = error.classify() != Category::Unknown;
            is_void.then_some(MachineOutcome::Throttled)
        }
    }
}

/// Returns what the worker on a machine runs.
fn load_of(machine: &ListedMachine, scheduler: &JobScheduler) -> WorkerLoad {
    let worker = machine.worker.as_ref();
    let load = worker.map(|worker| scheduler.worker_load(worker));
    load.unwrap_or_default()
}
