//! Maintenance of machines and their moves between pools.

use std::collections::{BTreeMap, BTreeSet};
use std::rc;
use std::sync;

use redwing_jobs::block::{WorkerBlock, WorkerBlocks};
use redwing_jobs::capacity::{CapacityPlanner, MachineMove, MoveWaits, PoolMachine, PoolState};
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::{
    MachineStatus, MaintenanceAction, MaintenanceRecord, MaintenanceSettings, WaveDelay,
    WavePlanner, WaveState,
};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::{DataCentre, MachineName, PoolName};
use redwing_jobs::{BootTime, JobScheduler};
use tokio::sync::mpsc;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::row::{self, EncodedRow};
use crate::services::{LeaseHolder, ListedMachine, MachineClient, MachineOutcome, MachineState};

use super::change::ChangeFill;
use super::machine_order::{
    self, LostMove, MachineOrder, MachineResponse, MovedWorker, PendingOrder,
};
use super::machine_view;
use super::wave_rows::WaveRowQueue;
use super::{OwnerDependencies, OwnerSettings};

/// Maximum number of machines that one event names.
const MACHINES_PER_EVENT: usize = 10;

/// Keeps the list of machines and orders their maintenance and moves.
///
/// A maintenance order passes through three queues: until the rows that record it
/// are taken, until they are stored, and until the ownership is confirmed. A move
/// only waits for the confirmation.
pub(super) struct MachineService {
    client: rc::Rc<dyn MachineClient>,
    responses: mpsc::UnboundedSender<MachineResponse>,
    metrics: JobMetrics,
    wave_planner: WavePlanner,
    /// Latest state of each wave that was logged.
    wave_states: BTreeMap<u64, WaveState>,
    capacity_planner: CapacityPlanner,
    next_plan_at: BootTime,
    node: String,
    fencing_token: u64,
    machines: Vec<ListedMachine>,
    is_listing: bool,
    next_list_at: BootTime,
    /// Moves without a response, until a list shows their outcome.
    lost_moves: Vec<LostMove>,
    /// Rows of waves to store.
    rows: WaveRowQueue,
    /// Orders whose rows are not taken to be stored.
    unstored_orders: Vec<PendingOrder>,
    /// Orders whose rows are being stored.
    storing_orders: Vec<PendingOrder>,
    /// Orders to be sent while the ownership is confirmed.
    ready_orders: Vec<PendingOrder>,
    /// Whether an order was rejected because a newer owner exists.
    is_fenced: bool,
    /// Data centres that are evacuated.
    evacuations: sync::Arc<BTreeSet<DataCentre>>,
}

impl MachineService {
    pub(super) fn new(
        dependencies: &OwnerDependencies,
        fencing_token: u64,
        responses: mpsc::UnboundedSender<MachineResponse>,
    ) -> Self {
        let maintenance_settings = MaintenanceSettings {
            max_record_bytes: dependencies.client.limits().row_bytes,
            ..dependencies.settings.maintenance.clone()
        };
        Self {
            client: rc::Rc::clone(&dependencies.services.machines),
            responses,
            metrics: dependencies.metrics.clone(),
            wave_planner: WavePlanner::new(maintenance_settings),
            wave_states: BTreeMap::new(),
            capacity_planner: CapacityPlanner::new(dependencies.settings.capacity.clone()),
            next_plan_at: BootTime::default(),
            node: dependencies.node.clone(),
            fencing_token,
            machines: Vec::new(),
            is_listing: false,
            next_list_at: BootTime::default(),
            lost_moves: Vec::new(),
            rows: WaveRowQueue::default(),
            unstored_orders: Vec::new(),
            storing_orders: Vec::new(),
            ready_orders: Vec::new(),
            is_fenced: false,
            evacuations: sync::Arc::default(),
        }
    }

    /// Returns whether the platform rejected an order because a newer owner
    /// exists.
    pub(super) fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Adds the capacity and labels of the machines to `fleet`.
    pub(super) fn add_capacity(&self, fleet: &mut FleetCapacity) {
        for machine in &self.machines {
            fleet.add(&machine.capacity, &machine.labels);
        }
    }

    /// Returns the processor of the machines that are in a standby pool or move, in
    /// thousandths of a core.
    pub(super) fn standby_cpu_millis(&self, manifest: &JobManifest) -> u64 {
        let machines = self.machines.iter().filter(|machine| {
            let pool = manifest.pool(&machine.pool);
            let is_reserve =
                machine.state == MachineState::Moving || pool.is_some_and(|pool| pool.is_standby);
            is_reserve && !self.is_in_evacuated(machine)
        });
        machines.map(|machine| machine.capacity.cpu_millis).sum()
    }

    pub(super) fn has_rows(&self) -> bool {
        !self.rows.is_empty()
    }

    /// Adds the rows to store next to a change. The previous ones must have been
    /// stored or refused.
    pub(super) fn add_rows(&mut self, fill: &mut ChangeFill) {
        self.rows.add_to(fill);
        let unstored = std::mem::take(&mut self.unstored_orders).into_iter();
        let (waiting, storing): (Vec<_>, Vec<_>) = unstored.partition(|pending| {
            let wave = pending.order.wave();
            wave.is_some_and(|wave| self.rows.is_waiting(wave))
        });
        self.unstored_orders = waiting;
        self.storing_orders.extend(storing);
    }

    /// Handles that the rows taken last are stored.
    pub(super) fn rows_stored(&mut self) {
        self.rows.stored();
        self.ready_orders.append(&mut self.storing_orders);
    }

    /// Handles that the rows taken last were refused: they wait again, except those of
    /// waves that have changed.
    pub(super) fn rows_refused(&mut self) {
        self.unstored_orders.append(&mut self.storing_orders);
        self.rows.refused();
    }

    /// Leaves the rows of a wave out until they change.
    pub(super) fn set_wave_aside(&mut self, wave: u64) {
        self.rows.set_aside(wave);
    }

    /// Sends the orders that are ready; the ownership must be confirmed.
    pub(super) fn send_ready_orders(&mut self) {
        for pending in std::mem::take(&mut self.ready_orders) {
            self.send_order(pending.machine, pending.order);
        }
    }

    /// Adds the waves that operators requested, with their stored records.
    pub(super) fn add_waves(
        &mut self,
        view: &OperatorView,
        records: &BTreeMap<u64, MaintenanceRecord>,
        now: BootTime,
    ) {
        for wave in view.waves.iter() {
            let record = records.get(&wave.number).cloned();
            let added = self.wave_planner.add(wave, record, now, clock::wall_now());
            if let Err(error) = added {
                log_job_event!(error, event::WAVE_REFUSED, error = error);
            }
        }
    }

    /// Sets the data centres that are evacuated. Moves of their machines into pools that
    /// are in use are not ordered any more.
    pub(super) fn set_evacuations(&mut self, scheduler: &mut JobScheduler, view: &OperatorView) {
        if self.evacuations == view.evacuations {
            return;
        }
        self.evacuations = sync::Arc::clone(&view.evacuations);
        self.capacity_planner
            .set_evacuations(sync::Arc::clone(&view.evacuations));
        let orders = std::mem::take(&mut self.ready_orders).into_iter();
        let (withdrawn, kept): (Vec<_>, Vec<_>) = orders.partition(|pending| {
            let MachineOrder::Move { pool, .. } = &pending.order else {
                return false;
            };
            let manifest = view.manifest.as_ref();
            let pool = manifest.and_then(|manifest| manifest.pool(pool));
            let is_parked = pool.is_some_and(|pool| pool.is_standby);
            self.is_evacuated(&pending.machine) && !is_parked
        });
        self.ready_orders = kept;
        for pending in withdrawn {
            self.capacity_planner.handle_move_response(&pending.machine);
        }
        self.update_blocks(scheduler);
    }

    /// Blocks the workers whose machines waves and moves want now, and no others.
    fn update_blocks(&self, scheduler: &mut JobScheduler) {
        let mut blocks = WorkerBlocks::default();
        self.wave_planner.add_blocks(&mut blocks);
        self.capacity_planner.add_blocks(&mut blocks);
        let lost = self.lost_moves.iter().map(|lost| &lost.worker.id);
        let ready = self.ready_orders.iter();
        let ready = ready.filter_map(|pending| pending.order.moved_worker());
        for worker in lost.chain(ready.map(|moved| &moved.id)) {
            blocks.add(worker, WorkerBlock::All);
        }
        scheduler.set_blocks(blocks);
    }

    fn is_evacuated(&self, machine: &MachineName) -> bool {
        let mut machines = self.machines.iter();
        let listed = machines.find(|listed| listed.name == *machine);
        listed.is_some_and(|listed| self.is_in_evacuated(listed))
    }

    fn is_in_evacuated(&self, machine: &ListedMachine) -> bool {
        let data_centre = machine.data_centre.as_ref();
        data_centre.is_some_and(|name| self.evacuations.contains(name))
    }

    /// Lists the machines and plans the orders that are due.
    pub(super) fn tick(
        &mut self,
        dependencies: &OwnerDependencies,
        scheduler: &mut JobScheduler,
        now: BootTime,
    ) {
        self.list_if_due(&dependencies.settings, now);
        if self.machines.is_empty() || !self.ready_orders.is_empty() {
            return;
        }
        if self.wave_planner.is_active() {
            let statuses = self.machine_statuses(scheduler);
            let actions = self.wave_planner.plan(&statuses, now);
            // Evicted tasks must find another worker.
            self.update_blocks(scheduler);
            for action in actions {
                self.apply_action(dependencies, scheduler, action, now);
            }
        }
        if now >= self.next_plan_at {
            self.next_plan_at = now + dependencies.settings.capacity_interval;
            self.plan_capacity(dependencies, scheduler, now);
        }
        self.update_blocks(scheduler);
    }

    /// Moves machines to the pools with demand.
    fn plan_capacity(
        &mut self,
        dependencies: &OwnerDependencies,
        scheduler: &mut JobScheduler,
        now: BootTime,
    ) {
        let Some(manifest) = dependencies.operators.borrow().manifest.clone() else {
            return;
        };
        let demands = scheduler.pool_demands(clock::wall_now());
        let pools = manifest.pools().map(|pool| {
            let state = PoolState {
                is_standby: pool.is_standby,
                demand: demands.get(&pool.name).copied().unwrap_or_default(),
            };
            (pool.name.clone(), state)
        });
        let pools: BTreeMap<PoolName, PoolState> = pools.collect();
        let machines = self.pool_machines(scheduler);
        for action in self.capacity_planner.plan(&pools, &machines, now) {
            let MachineMove {
                machine,
                worker,
                pool,
            } = action;
            let worker = worker.map(|id| MovedWorker {
                incarnation: scheduler.incarnation(&id).unwrap_or_default(),
                id,
            });
            self.ready_orders.push(PendingOrder {
                machine,
                order: MachineOrder::Move { worker, pool },
            });
        }
    }

    /// Returns what moves wait for, to be stored for the next owner.
    pub(super) fn move_waits(&self, now: BootTime) -> MoveWaits {
        self.capacity_planner.waits(now)
    }

    /// Continues the waits of an earlier owner, which were stored by the time
    /// `stored_by`, with the waves that were added; the workers must be listed already.
    pub(super) fn restore_waits(
        &mut self,
        scheduler: &mut JobScheduler,
        waits: MoveWaits,
        stored_by: BootTime,
    ) {
        self.capacity_planner.restore(waits, stored_by);
        self.update_blocks(scheduler);
    }

    fn pool_machines(&self, scheduler: &JobScheduler) -> BTreeMap<MachineName, PoolMachine> {
        let machines = self.machines.iter().map(|machine| {
            let is_under_maintenance = self.wave_planner.is_under_maintenance(&machine.name);
            let pool_machine = machine_view::pool_machine(machine, is_under_maintenance, scheduler);
            (machine.name.clone(), pool_machine)
        });
        machines.collect()
    }

    /// Sends an order in a separate task.
    fn send_order(&self, machine: MachineName, order: MachineOrder) {
        let client = rc::Rc::clone(&self.client);
        let responses = self.responses.clone();
        let node = self.node.clone();
        let fencing_token = self.fencing_token;
        tokio::task::spawn_local(async move {
            let holder = LeaseHolder {
                name: &node,
                fencing_token,
            };
            let response = match &order {
                MachineOrder::Move { pool, .. } => client.change_pool(holder, &machine, pool).await,
                MachineOrder::Maintenance(wave) => {
                    client.begin_maintenance(holder, &machine, *wave).await
                }
            };
            let outcome = machine_order::order_outcome(&machine, &order, response);
            // The receiver is gone if the session has ended.
            let _ = responses.send(MachineResponse::Ordered {
                machine,
                order,
                outcome,
            });
        });
    }

    fn list_if_due(&mut self, settings: &OwnerSettings, now: BootTime) {
        if self.is_listing || now < self.next_list_at {
            return;
        }
        self.is_listing = true;
        self.next_list_at = now + settings.machine_interval;
        let client = rc::Rc::clone(&self.client);
        let responses = self.responses.clone();
        tokio::task::spawn_local(async move {
            let machines = match client.list().await {
                Ok(machines) => Some(machines),
                Err(error) => {
                    log_job_event!(warn, event::MACHINE_CALL_FAILED, error = error);
                    None
                }
            };
            // The receiver is gone if the session has ended.
            let _ = responses.send(MachineResponse::Listed(machines));
        });
    }

    fn machine_statuses(&self, scheduler: &JobScheduler) -> BTreeMap<MachineName, MachineStatus> {
        let statuses = self.machines.iter().map(|machine| {
            let is_evacuated = self.is_in_evacuated(machine);
            let status = machine_view::machine_status(machine, is_evacuated, scheduler);
            (machine.name.clone(), status)
        });
        statuses.collect()
    }

    fn apply_action(
        &mut self,
        dependencies: &OwnerDependencies,
        scheduler: &mut JobScheduler,
        action: MaintenanceAction,
        now: BootTime,
    ) {
        match action {
            MaintenanceAction::Evict(worker) => scheduler.evict_long_running(&worker, now),
            MaintenanceAction::Remove {
                worker,
                incarnation,
            } => scheduler.worker_removed(&worker, incarnation),
            MaintenanceAction::Order { wave, machine } => {
                self.add_maintenance_order(machine, wave);
            }
            MaintenanceAction::Store { wave, state } => self.store_wave(dependencies, wave, state),
            MaintenanceAction::Report(delay) => log_delay(&delay),
        }
    }

    /// Queues a maintenance order, unless an earlier one for the machine still waits
    /// for its row.
    fn add_maintenance_order(&mut self, machine: MachineName, wave: u64) {
        let mut waiting = self.unstored_orders.iter().chain(&self.storing_orders);
        if waiting.any(|pending| pending.machine == machine) {
            return;
        }
        self.unstored_orders.push(PendingOrder {
            machine,
            order: MachineOrder::Maintenance(wave),
        });
    }

    fn store_wave(&mut self, dependencies: &OwnerDependencies, wave: u64, state: WaveState) {
        if self.wave_states.insert(wave, state) != Some(state) {
            log_job_event!(
                info,
                event::WAVE_CHANGED,
                wave = wave,
                state = format!("{state:?}")
            );
        }
        self.add_wave_record(wave);
        self.rows
            .push(wave, dependencies.codec.wave_status(wave, state));
    }

    fn add_wave_record(&mut self, wave: u64) {
        let key = row::maintenance_key(wave);
        if let Some(record) = self.wave_planner.record(wave) {
            match row::write(&key, record) {
                Ok(value) => self.rows.push(wave, EncodedRow { key, value }),
                Err(error) => log_job_event!(error, event::ROW_MALFORMED, error = error),
            }
        }
    }

    /// Adds the records of the waves with machines that are being emptied or down to the
    /// next rows, the last ones of this owner.
    pub(super) fn prepare_release(&mut self, now: BootTime) {
        for wave in self.wave_planner.prepare_release(now) {
            self.add_wave_record(wave);
        }
    }

    /// Applies the response to a call.
    pub(super) fn handle_response(
        &mut self,
        scheduler: &mut JobScheduler,
        response: MachineResponse,
        now: BootTime,
    ) {
        match response {
            MachineResponse::Listed(machines) => {
                self.is_listing = false;
                self.apply_list(machines);
            }
            MachineResponse::Ordered {
                machine,
                order:
                    MachineOrder::Move {
                        worker: Some(worker),
                        pool,
                    },
                outcome: None,
            } => self.lost_moves.push(LostMove {
                machine,
                worker,
                pool,
                awaits_old_list: self.is_listing,
            }),
            MachineResponse::Ordered {
                machine,
                order: MachineOrder::Move { worker, pool },
                outcome,
            } => {
                self.capacity_planner.handle_move_response(&machine);
                self.handle_move_response(scheduler, &machine, worker.as_ref(), &pool, outcome);
            }
            MachineResponse::Ordered {
                machine,
                order: MachineOrder::Maintenance(wave),
                outcome,
            } => self.handle_maintenance_response(wave, &machine, outcome, now),
        }
        self.update_blocks(scheduler);
    }

    /// Applies a list of the machines; none if there was no response.
    fn apply_list(&mut self, machines: Option<Vec<ListedMachine>>) {
        let is_listed = machines.is_some();
        self.machines = machines.unwrap_or_else(|| std::mem::take(&mut self.machines));
        for mut lost in std::mem::take(&mut self.lost_moves) {
            if is_listed && !lost.awaits_old_list {
                self.capacity_planner
                    .handle_lost_move(&lost.machine, lost.worker.id, lost.pool);
            } else {
                lost.awaits_old_list = false;
                self.lost_moves.push(lost);
            }
        }
    }

    fn handle_move_response(
        &mut self,
        scheduler: &mut JobScheduler,
        machine: &MachineName,
        worker: Option<&MovedWorker>,
        pool: &PoolName,
        outcome: Option<MachineOutcome>,
    ) {
        match outcome {
            Some(MachineOutcome::Accepted) => {
                self.metrics.count_machine_order("move");
                let listed = self
                    .machines
                    .iter_mut()
                    .find(|listed| listed.name == *machine);
                if let Some(listed) = listed {
                    listed.pool = pool.clone();
                    listed.state = MachineState::Moving;
                    listed.worker = None;
                }
                if let Some(worker) = worker {
                    scheduler.worker_removed(&worker.id, worker.incarnation);
                }
            }
            Some(MachineOutcome::Fenced) => self.is_fenced = true,
            // It had no effect, or the machine has no worker: the next list shows its pool.
            Some(_) | None => {}
        }
    }

    fn handle_maintenance_response(
        &mut self,
        wave: u64,
        machine: &MachineName,
        outcome: Option<MachineOutcome>,
        now: BootTime,
    ) {
        match outcome {
            Some(MachineOutcome::Accepted) => {
                self.metrics.count_machine_order("upkeep");
                self.wave_planner.order_accepted(wave, machine, now);
            }
            Some(MachineOutcome::Fenced) => self.is_fenced = true,
            Some(MachineOutcome::Busy) => self.wave_planner.machine_busy(wave, machine, now),
            Some(MachineOutcome::Throttled) => {
                self.wave_planner.order_rejected(wave, machine, now);
            }
            Some(MachineOutcome::NotInWave | MachineOutcome::Invalid) => {
                self.wave_planner.order_unneeded(wave, machine);
            }
            // The planner repeats an order without a response.
            None => {}
        }
    }
}

/// Logs what keeps a wave from being completed.
fn log_delay(delay: &WaveDelay) {
    let named = delay.unavailable.iter().take(MACHINES_PER_EVENT);
    let named: Vec<&str> = named.map(MachineName::as_str).collect();
    log_job_event!(
        warn,
        event::WAVE_DELAYED,
        wave = delay.wave,
        overdue = delay.is_overdue,
        remaining = delay.remaining,
        unavailable = delay.unavailable.len(),
        machines = named.join(","),
    );
}
