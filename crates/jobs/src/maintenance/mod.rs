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
//! needed and no work is lost; before them, those of evacuated data centres, which do no
//! further work. Owners may end meanwhile: which machines are being
//! emptied and how long others have been down is stored, and the next owner goes on
//! from there.

mod machine;
mod record;
mod wave;

use std::collections::{BTreeMap, BTreeSet};
use std::time;

use serde::{Deserialize, Serialize};

use crate::block::WorkerBlocks;
use crate::error::Result;
use crate::name::{MachineName, WorkerId};
use crate::time::{BootTime, WallTime};
use crate::wait::ElapsedWait;

use wave::WaveEntry;

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
    /// Machines whose maintenance may have been ordered and is not known to be
    /// done.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub ordered: BTreeSet<MachineName>,
    /// Machines whose maintenance has begun, and how long ago.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub down: BTreeMap<MachineName, ElapsedWait>,
    /// Machines whose workers were being emptied, or that were ordered, with these workers.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub prepared: BTreeMap<MachineName, WorkerId>,
}

impl MaintenanceRecord {
    /// Returns the record as it is a while after it was stored.
    pub fn after(mut self, elapsed: time::Duration) -> Self {
        for wait in self.down.values_mut() {
            *wait = wait.after(elapsed);
        }
        self
    }
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
    /// Whether its data centre is evacuated: its maintenance takes no capacity from a pool.
    pub is_evacuated: bool,
    /// Worker on it.
    pub worker: Option<WorkerId>,
    /// Incarnation of the worker; 0 if unknown.
    pub incarnation: u64,
    /// Tasks that the worker runs.
    pub load: WorkerLoad,
}

/// Action that the planner requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MaintenanceAction {
    /// Move long-running tasks off a worker, on which new ones are blocked.
    Evict(WorkerId),
    /// Remove a worker that its machine has no more after the maintenance.
    Remove {
        /// The worker.
        worker: WorkerId,
        /// Its latest incarnation before the maintenance.
        incarnation: u64,
    },
    /// Take a machine down for its maintenance; to be sent only once the progress
    /// of the wave is stored.
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
    /// Tell operators what keeps a wave from being completed.
    Report(WaveDelay),
}

/// What keeps a wave from being completed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveDelay {
    /// Number of the wave.
    pub wave: u64,
    /// Whether the time of the wave is over.
    pub is_overdue: bool,
    /// Number of machines whose maintenance is not done.
    pub remaining: usize,
    /// Those of them that are listed and have not been up for longer than a move or their
    /// maintenance takes: without a repair, or their removal from the wave or the list,
    /// the wave is not completed.
    pub unavailable: Vec<MachineName>,
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
    /// Time after which a machine whose order was rejected may be ordered again.
    pub rejection_delay: time::Duration,
    /// Time for which a machine must be missing from the list before its
    /// maintenance is ordered nevertheless.
    pub absence_limit: time::Duration,
    /// Time for which a machine that is busy must be missing from the list before it counts
    /// as gone. A list that was read page by page lacks a machine for one interval only.
    pub departure_limit: time::Duration,
    /// Time for which a machine must not be up before operators are told, beyond the
    /// maintenance itself: longer than a move takes.
    pub unavailability_limit: time::Duration,
    /// Number of machines to prepare beyond those that may be down.
    pub prepared_ahead: u32,
    /// Part of the wave's time that is kept in reserve.
    pub reserve: time::Duration,
    /// Time after which it is stored again which machines are being emptied and how long
    /// others have been down.
    pub record_interval: time::Duration,
    /// Largest size of the record of a wave, in bytes: what a row of the table holds.
    pub max_record_bytes: usize,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            maintenance_time: time::Duration::from_secs(2),
            listing_lag: time::Duration::from_millis(700),
            order_retry_interval: time::Duration::from_millis(1_500),
            rejection_delay: time::Duration::from_millis(300),
            absence_limit: time::Duration::from_millis(1_500),
            departure_limit: time::Duration::from_secs(5),
            unavailability_limit: time::Duration::from_secs(10),
            prepared_ahead: 1,
            reserve: time::Duration::from_secs(2),
            record_interval: time::Duration::from_secs(1),
            max_record_bytes: usize::MAX,
        }
    }
}

/// Plans the maintenance of the machines of all waves.
#[derive(Debug, Default)]
pub struct WavePlanner {
    settings: MaintenanceSettings,
    waves: BTreeMap<u64, WaveEntry>,
    /// Latest requests that were refused, by the numbers of their waves.
    refused: BTreeMap<u64, WaveRequest>,
}

impl WavePlanner {
    /// Creates a planner without waves.
    pub fn new(settings: MaintenanceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a wave, with the progress that an earlier owner stored, as it is `now`. If
    /// the wave is known, applies the operator's changes to it.
    ///
    /// # Errors
    ///
    /// Fails once for each version of a wave whose progress may not fit into a row. That
    /// version is not applied.
    pub fn add(
        &mut self,
        request: &WaveRequest,
        record: Option<MaintenanceRecord>,
        now: BootTime,
        wall: WallTime,
    ) -> Result<()> {
        if self.refused.get(&request.number) == Some(request) {
            return Ok(());
        }
        let known = self.record(request.number).or(record.as_ref());
        if let Err(error) = record::check_size(request, known, self.settings.max_record_bytes) {
            self.refused.insert(request.number, request.clone());
            return Err(error);
        }
        self.refused.remove(&request.number);
        if let Some(entry) = self.waves.get_mut(&request.number) {
            entry.update_request(request);
            return Ok(());
        }
        let record = record.unwrap_or(MaintenanceRecord {
            begun: wall,
            ..MaintenanceRecord::default()
        });
        let age = wall.saturating_since(record.begun);
        let started_at = now.as_millis().saturating_sub(age.as_millis() as u64);
        let started_at = BootTime::from_millis(started_at);
        let entry = WaveEntry::new(request, record, started_at, now);
        self.waves.insert(request.number, entry);
        Ok(())
    }

    /// Returns whether the list of machines is needed.
    pub fn is_active(&self) -> bool {
        self.waves.values().any(WaveEntry::is_active)
    }

    /// Returns whether a machine is being prepared for maintenance or is in it.
    pub fn is_under_maintenance(&self, machine: &MachineName) -> bool {
        let mut waves = self.waves.values();
        waves.any(|entry| entry.is_under_maintenance(machine))
    }

    /// Returns the progress of a wave to store.
    pub fn record(&self, wave: u64) -> Option<&MaintenanceRecord> {
        self.waves.get(&wave).map(WaveEntry::record)
    }

    /// Adds the workers that get no new tasks because of maintenance.
    pub fn add_blocks(&self, blocks: &mut WorkerBlocks) {
        for entry in self.waves.values() {
            entry.add_blocks(blocks);
        }
    }

    /// Updates what the records state of machines that are being emptied or down, for
    /// the last change of an owner; returns the waves whose records are to be stored
    /// for that.
    pub fn prepare_release(&mut self, now: BootTime) -> Vec<u64> {
        let mut updated = Vec::new();
        for (wave, entry) in &mut self.waves {
            if entry.prepare_release(&self.settings, now) {
                updated.push(*wave);
            }
        }
        updated
    }

    /// Handles an accepted maintenance order.
    pub fn order_accepted(&mut self, wave: u64, machine: &MachineName, now: BootTime) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.order_accepted(machine, now);
        }
    }

    /// Handles a rejected order, which had no effect; it may be sent again later.
    pub fn order_rejected(&mut self, wave: u64, machine: &MachineName, now: BootTime) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.order_rejected(machine, now + self.settings.rejection_delay);
        }
    }

    /// Handles an order that was rejected because the machine is not up, or leaving. It
    /// may be sent again later, unless the machine has left.
    pub fn machine_busy(&mut self, wave: u64, machine: &MachineName, now: BootTime) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.machine_busy(machine, &self.settings, now);
        }
    }

    /// Handles an order for a machine that needs no maintenance: it is not part of
    /// the wave, or does not exist.
    pub fn order_unneeded(&mut self, wave: u64, machine: &MachineName) {
        if let Some(entry) = self.waves.get_mut(&wave) {
            entry.finish_machine(machine);
        }
    }

    /// Returns the next actions, given the status of all machines.
    pub fn plan(
        &mut self,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
    ) -> Vec<MaintenanceAction> {
        let mut actions = Vec::new();
        let numbers: Vec<u64> = self.waves.keys().copied().collect();
        for number in numbers {
            let down_elsewhere = self.down_in_other_waves(number);
            if let Some(entry) = self.waves.get_mut(&number) {
                entry.set_down_elsewhere(down_elsewhere);
                entry.plan(&self.settings, statuses, now, &mut actions);
            }
        }
        actions
    }

    /// Returns the machines that are down, or may be, for waves other than `number`.
    fn down_in_other_waves(&self, number: u64) -> BTreeSet<MachineName> {
        let others = self.waves.iter().filter(|(other, _)| **other != number);
        others
            .flat_map(|(_, entry)| entry.down_machines().cloned())
            .collect()
    }
}
