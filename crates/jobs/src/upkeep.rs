//! Upkeep of machines in waves.
//!
//! A wave names machines that are due for upkeep within a time, and how many
//! may be down at once. [`WavePlanner`] takes them in turn: it keeps new work
//! away from a machine, moves long-running tasks off it within their
//! budgets, waits until what runs has finished, and then orders the upkeep.
//! When time runs short, it stops waiting.
//!
//! Load pattern: a wave over half of the fleet while demand exceeds room.
//! The machines with the least work left go first, so that little is waited
//! for and nothing is thrown away.

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use serde::{Deserialize, Serialize};

use crate::name::{MachineName, WorkerId};
use crate::time::{BootTime, WallTime};

/// Wave of upkeep that an operator asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// Machines that are due.
    pub machines: Vec<MachineName>,
    /// Time within which all must have had their upkeep.
    pub duration: time::Duration,
    /// Largest number of machines that may be down for it at once.
    pub max_down: u32,
}

/// State of a wave as operators see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// Some machines have not had their upkeep.
    Running,
    /// All machines have had their upkeep or are gone.
    Completed,
}

/// What is kept of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpkeepRecord {
    /// When the wave was first seen, by the clock of the VM that saw it.
    pub begun: WallTime,
    /// Machines that have had their upkeep or are gone.
    pub done: BTreeSet<MachineName>,
}

/// What a worker would lose by going down now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerLoad {
    /// Tasks that end by themselves.
    pub finite: u32,
    /// Tasks that run until their job is cancelled.
    pub long_running: u32,
}

/// What is known of one machine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineFact {
    /// Whether it runs its worker.
    pub is_up: bool,
    /// Whether it is in upkeep.
    pub is_in_upkeep: bool,
    /// Worker on it.
    pub worker: Option<WorkerId>,
    /// What the worker runs.
    pub load: WorkerLoad,
}

/// What the planner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpkeepAction {
    /// Keep new work away from a worker, and move long-running tasks off it.
    Prepare(WorkerId),
    /// Let a worker have new work again.
    Release(WorkerId),
    /// Take a machine down for its upkeep.
    Order {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: MachineName,
    },
    /// Store what is kept of a wave, and tell operators its state.
    Store {
        /// The wave.
        wave: u64,
        /// Its state.
        state: WaveState,
    },
}

/// Bounds of the planner.
#[derive(Clone, Debug)]
pub struct UpkeepSettings {
    /// Time that a machine is down for its upkeep.
    pub upkeep_time: time::Duration,
    /// Time from an order to the moment at which the list shows the machine up
    /// again, beyond the upkeep itself.
    pub listing_lag: time::Duration,
    /// Time after which an order that was not answered is repeated.
    pub order_retry: time::Duration,
    /// Machines that are prepared beyond those that may be down.
    pub prepared_ahead: u32,
    /// Part of the wave's time that is kept in reserve.
    pub reserve: time::Duration,
}

impl Default for UpkeepSettings {
    fn default() -> Self {
        Self {
            upkeep_time: time::Duration::from_secs(2),
            listing_lag: time::Duration::from_millis(700),
            order_retry: time::Duration::from_millis(1_500),
            prepared_ahead: 1,
            reserve: time::Duration::from_secs(2),
        }
    }
}

/// Where a machine stands in its wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum MachineStage {
    #[default]
    Waiting,
    /// New work is kept away.
    Prepared(Option<WorkerId>),
    /// Upkeep was ordered; whether it has begun is not known.
    Ordered(BootTime),
    /// Upkeep has begun.
    Down(BootTime),
}

#[derive(Clone, Debug)]
struct WaveEntry {
    request: WaveRequest,
    record: UpkeepRecord,
    first_seen: BootTime,
    stages: BTreeMap<MachineName, MachineStage>,
    is_announced: bool,
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

    /// Returns whether what runs cannot be waited for any more.
    fn is_short_of_time(&self, settings: &UpkeepSettings, now: BootTime) -> bool {
        let left = self.request.machines.len() - self.record.done.len();
        let rounds = (left as u32).div_ceil(self.request.max_down.max(1));
        let needed = (settings.upkeep_time + settings.listing_lag) * rounds + settings.reserve;
        let used = now.saturating_since(self.first_seen);
        used + needed > self.request.duration
    }
}

/// Takes the machines of waves through their upkeep.
#[derive(Debug, Default)]
pub struct WavePlanner {
    settings: UpkeepSettings,
    waves: BTreeMap<u64, WaveEntry>,
}

impl WavePlanner {
    /// Creates a planner that knows no wave.
    pub fn new(settings: UpkeepSettings) -> Self {
        Self {
            settings,
            waves: BTreeMap::new(),
        }
    }

    /// Takes in a wave, with what an earlier owner kept of it.
    pub fn add(
        &mut self,
        request: &WaveRequest,
        record: Option<UpkeepRecord>,
        now: BootTime,
        wall: WallTime,
    ) {
        if self.waves.contains_key(&request.number) {
            return;
        }
        let record = record.unwrap_or(UpkeepRecord {
            begun: wall,
            done: BTreeSet::new(),
        });
        let age = wall.saturating_since(record.begun);
        let first_seen = now.as_millis().saturating_sub(age.as_millis() as u64);
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
            first_seen: BootTime::from_millis(first_seen),
            is_announced: false,
        };
        self.waves.insert(request.number, entry);
    }

    /// Returns whether the list of machines is needed.
    pub fn is_active(&self) -> bool {
        self.waves
            .values()
            .any(|wave| !wave.stages.is_empty() || !wave.is_announced)
    }

    /// Returns whether a machine is being prepared for upkeep or in it.
    pub fn is_taken(&self, machine: &MachineName) -> bool {
        let stages = self
            .waves
            .values()
            .filter_map(|wave| wave.stages.get(machine));
        stages
            .into_iter()
            .any(|stage| *stage != MachineStage::Waiting)
    }

    /// Returns what is kept of a wave.
    pub fn record(&self, wave: u64) -> Option<&UpkeepRecord> {
        self.waves.get(&wave).map(|entry| &entry.record)
    }

    /// Notes that an order was carried out.
    pub fn order_accepted(&mut self, wave: u64, machine: &MachineName, now: BootTime) {
        self.set_stage(wave, machine, MachineStage::Down(now));
    }

    /// Notes that an order was rejected and may be given again later.
    pub fn order_rejected(&mut self, wave: u64, machine: &MachineName) {
        self.set_stage(wave, machine, MachineStage::Waiting);
    }

    /// Notes that a machine needs no upkeep: it is not part of the wave, or gone.
    pub fn order_needless(&mut self, wave: u64, machine: &MachineName) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.stages.remove(machine);
            entry.record.done.insert(machine.clone());
            entry.is_announced = false;
        }
    }

    fn set_stage(&mut self, wave: u64, machine: &MachineName, stage: MachineStage) {
        let entry = self.waves.get_mut(&wave);
        if let Some(current) = entry.and_then(|entry| entry.stages.get_mut(machine)) {
            *current = stage;
        }
    }

    /// Decides what to do next, by what is known of all machines.
    pub fn plan(
        &mut self,
        facts: &BTreeMap<MachineName, MachineFact>,
        now: BootTime,
    ) -> Vec<UpkeepAction> {
        let mut actions = Vec::new();
        for entry in self.waves.values_mut() {
            follow_machines(entry, &self.settings, facts, now, &mut actions);
            prepare_machines(entry, &self.settings, facts, &mut actions);
            order_machines(entry, &self.settings, facts, now, &mut actions);
            if !entry.is_announced {
                entry.is_announced = true;
                let state = if entry.is_completed() {
                    WaveState::Completed
                } else {
                    WaveState::Running
                };
                actions.push(UpkeepAction::Store {
                    wave: entry.request.number,
                    state,
                });
            }
        }
        actions
    }
}

/// Takes in which machines are down, back or gone.
fn follow_machines(
    entry: &mut WaveEntry,
    settings: &UpkeepSettings,
    facts: &BTreeMap<MachineName, MachineFact>,
    now: BootTime,
    actions: &mut Vec<UpkeepAction>,
) {
    let mut done = Vec::new();
    for (machine, stage) in &mut entry.stages {
        let Some(fact) = facts.get(machine) else {
            if !facts.is_empty() {
                done.push(machine.clone());
            }
            continue;
        };
        match stage {
            MachineStage::Waiting | MachineStage::Prepared(_) if fact.is_in_upkeep => {
                // An earlier owner ordered it.
                *stage = MachineStage::Down(now);
            }
            MachineStage::Down(since) => {
                let passed = now.saturating_since(*since);
                if fact.is_up && passed >= settings.upkeep_time {
                    done.push(machine.clone());
                }
            }
            MachineStage::Ordered(since)
                if now.saturating_since(*since) >= settings.order_retry =>
            {
                *since = now;
                actions.push(UpkeepAction::Order {
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
        entry.is_announced = false;
    }
}

/// Keeps new work away from the machines that go next.
fn prepare_machines(
    entry: &mut WaveEntry,
    settings: &UpkeepSettings,
    facts: &BTreeMap<MachineName, MachineFact>,
    actions: &mut Vec<UpkeepAction>,
) {
    let wanted = entry.request.max_down + settings.prepared_ahead;
    let under_way = entry.down_count() + entry.prepared_count();
    let missing = wanted.saturating_sub(under_way) as usize;
    let waiting = entry
        .stages
        .iter()
        .filter(|(_, stage)| **stage == MachineStage::Waiting);
    let mut next: Vec<(WorkerLoad, MachineName)> = waiting
        .filter_map(|(machine, _)| {
            let fact = facts.get(machine).filter(|fact| fact.is_up)?;
            Some((fact.load, machine.clone()))
        })
        .collect();
    next.sort_by_key(|(load, machine)| (load.long_running, load.finite, machine.clone()));
    for (_, machine) in next.into_iter().take(missing) {
        let worker = facts.get(&machine).and_then(|fact| fact.worker.clone());
        if let Some(worker) = &worker {
            actions.push(UpkeepAction::Prepare(worker.clone()));
        }
        entry.stages.insert(machine, MachineStage::Prepared(worker));
    }
}

/// Orders the upkeep of machines that have nothing to lose any more.
fn order_machines(
    entry: &mut WaveEntry,
    settings: &UpkeepSettings,
    facts: &BTreeMap<MachineName, MachineFact>,
    now: BootTime,
    actions: &mut Vec<UpkeepAction>,
) {
    let is_short = entry.is_short_of_time(settings, now);
    let mut down = entry.down_count();
    let wave = entry.request.number;
    for (machine, stage) in &mut entry.stages {
        let MachineStage::Prepared(worker) = stage else {
            continue;
        };
        let Some(fact) = facts.get(machine) else {
            continue;
        };
        if !fact.is_up || fact.worker != *worker {
            // It moved or was replaced; it is prepared anew.
            actions.extend(worker.take().map(UpkeepAction::Release));
            *stage = MachineStage::Waiting;
            continue;
        }
        let is_free = fact.load.long_running == 0 && (fact.load.finite == 0 || is_short);
        if !is_free {
            actions.extend(worker.clone().map(UpkeepAction::Prepare));
            continue;
        }
        if down >= entry.request.max_down {
            continue;
        }
        down += 1;
        *stage = MachineStage::Ordered(now);
        actions.push(UpkeepAction::Order {
            wave,
            machine: machine.clone(),
        });
    }
}
