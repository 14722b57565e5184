//! Maintenance of machines in waves.
//!
//! A wave names machines that are due for maintenance within a time, and how
//! many may be down at once. [`WavePlanner`] processes them in turn: it blocks
//! new tasks on a machine, moves long-running tasks off it within their
//! budgets, waits until the other tasks have finished, and then orders the
//! maintenance. When time runs short, it stops waiting.
//!
//! Load pattern: a wave over half of the fleet while demand exceeds capacity.
//! The machines with the fewest tasks left go first, so that little waiting is
//! needed and no work is lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use serde::{Deserialize, Serialize};

use crate::name::{MachineName, WorkerId};
use crate::time::{BootTime, WallTime};

/// Maintenance wave that an operator requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// Machines that are due for maintenance.
    pub machines: Vec<MachineName>,
    /// Time within which the maintenance of all machines must be done.
    pub duration: time::Duration,
    /// Largest number of machines that may be down for maintenance at once.
    pub max_down: u32,
}

/// State of a wave as operators see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// The maintenance of some machines is not done.
    Running,
    /// The maintenance of all machines is done, or they no longer exist.
    Completed,
}

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct MaintenanceRecord {
    /// When the wave was first received, by the clock of the VM that received it.
    pub begun: WallTime,
    /// Machines whose maintenance is done or that no longer exist.
    pub done: BTreeSet<MachineName>,
}

/// Tasks that a worker would lose by going down now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerLoad {
    /// Tasks that end on their own.
    pub finite: u32,
    /// Tasks that run until their job is cancelled.
    pub long_running: u32,
}

/// Status of one machine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineStatus {
    /// Whether it runs its worker.
    pub is_up: bool,
    /// Whether it is in maintenance.
    pub is_in_maintenance: bool,
    /// Worker on it.
    pub worker: Option<WorkerId>,
    /// Tasks that the worker runs.
    pub load: WorkerLoad,
}

/// Action that the planner requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MaintenanceAction {
    /// Block new tasks on a worker, and move long-running tasks off it.
    Prepare(WorkerId),
    /// Allow new tasks on a worker again.
    Release(WorkerId),
    /// Take a machine down for its maintenance.
    Order {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: MachineName,
    },
    /// Store the progress of a wave, and publish its state to operators.
    Store {
        /// The wave.
        wave: u64,
        /// Its state.
        state: WaveState,
    },
}

/// Limits and intervals of the planner.
#[derive(Clone, Debug)]
pub struct MaintenanceSettings {
    /// Time for which a machine is down for its maintenance.
    pub maintenance_time: time::Duration,
    /// Time from an order until the list shows the machine up again, beyond the
    /// maintenance itself.
    pub listing_lag: time::Duration,
    /// Time after which an order that got no response is repeated.
    pub order_retry_interval: time::Duration,
    /// Number of machines to prepare beyond those that may be down.
    pub prepared_ahead: u32,
    /// Part of the wave's time that is kept in reserve.
    pub reserve: time::Duration,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            maintenance_time: time::Duration::from_secs(2),
            listing_lag: time::Duration::from_millis(700),
            order_retry_interval: time::Duration::from_millis(1_500),
            prepared_ahead: 1,
            reserve: time::Duration::from_secs(2),
        }
    }
}

/// Stage of a machine in its wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum MachineStage {
    #[default]
    Waiting,
    /// New tasks are blocked.
    Prepared(Option<WorkerId>),
    /// Maintenance was ordered; whether it has begun is unknown.
    Ordered(BootTime),
    /// Maintenance has begun.
    Down(BootTime),
}

#[derive(Clone, Debug)]
struct WaveEntry {
    request: WaveRequest,
    record: MaintenanceRecord,
    started_at: BootTime,
    stages: BTreeMap<MachineName, MachineStage>,
    /// Whether the latest progress was passed on to be stored.
    is_reported: bool,
}

impl WaveEntry {
    fn down_count(&self) -> u32 {
        let stages = self.stages.values();
        let down = stages
            .filter(|stage| matches!(stage, MachineStage::Ordered(_) | MachineStage::Down(_)));
        down.count() as u32
    }

    fn prepared_count(&self) -> u32 {
        let stages = self.stages.values();
        let prepared = stages.filter(|stage| matches!(stage, MachineStage::Prepared(_)));
        prepared.count() as u32
    }

    fn is_completed(&self) -> bool {
        let mut machines = self.request.machines.iter();
        machines.all(|machine| self.record.done.contains(machine))
    }

    /// Returns whether there is no time left to wait for running tasks.
    fn is_behind_schedule(&self, settings: &MaintenanceSettings, now: BootTime) -> bool {
        let remaining = self.request.machines.len() - self.record.done.len();
        let rounds = (remaining as u32).div_ceil(self.request.max_down.max(1));
        let needed = (settings.maintenance_time + settings.listing_lag) * rounds + settings.reserve;
        let elapsed = now.saturating_since(self.started_at);
        elapsed + needed > self.request.duration
    }
}

/// Plans the maintenance of the machines of all waves.
#[derive(Debug, Default)]
pub struct WavePlanner {
    settings: MaintenanceSettings,
    waves: BTreeMap<u64, WaveEntry>,
}

impl WavePlanner {
    /// Creates a planner without waves.
    pub fn new(settings: MaintenanceSettings) -> Self {
        Self {
            settings,
            waves: BTreeMap::new(),
        }
    }

    /// Adds a wave, with the progress that an earlier owner stored.
    pub fn add(
        &mut self,
        request: &WaveRequest,
        record: Option<MaintenanceRecord>,
        now: BootTime,
        wall: WallTime,
    ) {
        if self.waves.contains_key(&request.number) {
            return;
        }
        let record = record.unwrap_or(MaintenanceRecord {
            begun: wall,
            done: BTreeSet::new(),
        });
        let age = wall.saturating_since(record.begun);
        let started_at = now.as_millis().saturating_sub(age.as_millis() as u64);
        let waiting = request
            .machines
            .iter()
            .filter(|name| !record.done.contains(name));
        let entry = WaveEntry {
            stages: waiting
                .map(|name| (name.clone(), MachineStage::default()))
                .collect(),
            request: request.clone(),
            record,
            started_at: BootTime::from_millis(started_at),
            is_reported: false,
        };
        self.waves.insert(request.number, entry);
    }

    /// Returns whether the list of machines is needed.
    pub fn is_active(&self) -> bool {
        self.waves
            .values()
            .any(|wave| !wave.stages.is_empty() || !wave.is_reported)
    }

    /// Returns whether a machine is being prepared for maintenance or is in it.
    pub fn is_under_maintenance(&self, machine: &MachineName) -> bool {
        let stages = self
            .waves
            .values()
            .filter_map(|wave| wave.stages.get(machine));
        stages
            .into_iter()
            .any(|stage| *stage != MachineStage::Waiting)
    }

    /// Returns the progress of a wave to store.
    pub fn record(&self, wave: u64) -> Option<&MaintenanceRecord> {
        self.waves.get(&wave).map(|entry| &entry.record)
    }

    /// Handles an accepted maintenance order.
    pub fn order_accepted(&mut self, wave: u64, machine: &MachineName, now: BootTime) {
        self.set_stage(wave, machine, MachineStage::Down(now));
    }

    /// Handles a rejected order; it may be sent again later.
    pub fn order_rejected(&mut self, wave: u64, machine: &MachineName) {
        self.set_stage(wave, machine, MachineStage::Waiting);
    }

    /// Handles an order for a machine that needs no maintenance: it is not part of
    /// the wave, or no longer exists.
    pub fn order_unneeded(&mut self, wave: u64, machine: &MachineName) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.stages.remove(machine);
            entry.record.done.insert(machine.clone());
            entry.is_reported = false;
        }
    }

    fn set_stage(&mut self, wave: u64, machine: &MachineName, stage: MachineStage) {
        let entry = self.waves.get_mut(&wave);
        if let Some(current) = entry.and_then(|entry| entry.stages.get_mut(machine)) {
            *current = stage;
        }
    }

    /// Returns the next actions, given the status of all machines.
    pub fn plan(
        &mut self,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
    ) -> Vec<MaintenanceAction> {
        let mut actions = Vec::new();
        for entry in self.waves.values_mut() {
            update_stages(entry, &self.settings, statuses, now, &mut actions);
            prepare_machines(entry, &self.settings, statuses, &mut actions);
            order_machines(entry, &self.settings, statuses, now, &mut actions);
            if !entry.is_reported {
                entry.is_reported = true;
                let state = if entry.is_completed() {
                    WaveState::Completed
                } else {
                    WaveState::Running
                };
                actions.push(MaintenanceAction::Store {
                    wave: entry.request.number,
                    state,
                });
            }
        }
        actions
    }
}

/// Updates the stages of machines that are down, up again or no longer listed, and
/// repeats orders that got no response.
fn update_stages(
    entry: &mut WaveEntry,
    settings: &MaintenanceSettings,
    statuses: &BTreeMap<MachineName, MachineStatus>,
    now: BootTime,
    actions: &mut Vec<MaintenanceAction>,
) {
    let mut done = Vec::new();
    for (machine, stage) in &mut entry.stages {
        let Some(status) = statuses.get(machine) else {
            if !statuses.is_empty() {
                done.push(machine.clone());
            }
            continue;
        };
        match stage {
            MachineStage::Waiting | MachineStage::Prepared(_) if status.is_in_maintenance => {
                // An earlier owner ordered it.
                *stage = MachineStage::Down(now);
            }
            MachineStage::Down(since) => {
                let elapsed = now.saturating_since(*since);
                if status.is_up && elapsed >= settings.maintenance_time {
                    done.push(machine.clone());
                }
            }
            MachineStage::Ordered(since)
                if now.saturating_since(*since) >= settings.order_retry_interval =>
            {
                *since = now;
                actions.push(MaintenanceAction::Order {
                    wave: entry.request.number,
                    machine: machine.clone(),
                });
            }
            _ => {}
        }
    }
    for machine in done {
        entry.stages.remove(&machine);
        entry.record.done.insert(machine);
        entry.is_reported = false;
    }
}

/// Blocks new tasks on the machines that go next.
fn prepare_machines(
    entry: &mut WaveEntry,
    settings: &MaintenanceSettings,
    statuses: &BTreeMap<MachineName, MachineStatus>,
    actions: &mut Vec<MaintenanceAction>,
) {
    let target_count = entry.request.max_down + settings.prepared_ahead;
    let in_progress = entry.down_count() + entry.prepared_count();
    let shortfall = target_count.saturating_sub(in_progress) as usize;
    let waiting = entry
        .stages
        .iter()
        .filter(|(_, stage)| **stage == MachineStage::Waiting);
    let mut next: Vec<(WorkerLoad, MachineName)> = waiting
        .filter_map(|(machine, _)| {
            let status = statuses.get(machine).filter(|status| status.is_up)?;
            Some((status.load, machine.clone()))
        })
        .collect();
    next.sort_by_key(|(load, machine)| (load.long_running, load.finite, machine.clone()));
    for (_, machine) in next.into_iter().take(shortfall) {
        let worker = statuses
            .get(&machine)
            .and_then(|status| status.worker.clone());
        if let Some(worker) = &worker {
            actions.push(MaintenanceAction::Prepare(worker.clone()));
        }
        entry.stages.insert(machine, MachineStage::Prepared(worker));
    }
}

/// Orders the maintenance of machines that have no tasks left to wait for.
fn order_machines(
    entry: &mut WaveEntry,
    settings: &MaintenanceSettings,
    statuses: &BTreeMap<MachineName, MachineStatus>,
    now: BootTime,
    actions: &mut Vec<MaintenanceAction>,
) {
    let is_behind = entry.is_behind_schedule(settings, now);
    let mut down = entry.down_count();
    let wave = entry.request.number;
    for (machine, stage) in &mut entry.stages {
        let MachineStage::Prepared(worker) = stage else {
            continue;
        };
        let Some(status) = statuses.get(machine) else {
            continue;
        };
        if !status.is_up || status.worker != *worker {
            // The worker moved or was replaced; the machine is prepared again.
            actions.extend(worker.take().map(MaintenanceAction::Release));
            *stage = MachineStage::Waiting;
            continue;
        }
        let is_ready = status.load.long_running == 0 && (status.load.finite == 0 || is_behind);
        if !is_ready {
            actions.extend(worker.clone().map(MaintenanceAction::Prepare));
            continue;
        }
        if down >= entry.request.max_down {
            continue;
        }
        down += 1;
        *stage = MachineStage::Ordered(now);
        actions.push(MaintenanceAction::Order {
            wave,
            machine: machine.clone(),
        });
    }
}
