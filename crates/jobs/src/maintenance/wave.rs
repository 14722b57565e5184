//! Progress of one wave: the stages of its machines.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use crate::block::{WorkerBlock, WorkerBlocks};
use crate::name::{MachineName, WorkerId};
use crate::time::BootTime;
use crate::wait::ElapsedWait;

use super::machine::{MachineEntry, MachineRank, MachineStage};
use super::{
    MachineStatus, MaintenanceAction, MaintenanceRecord, MaintenanceSettings, WaveDelay,
    WaveRequest, WaveState, record,
};

/// Wave with the stages of the machines whose maintenance is not done.
#[derive(Clone, Debug)]
pub(super) struct WaveEntry {
    request: WaveRequest,
    record: MaintenanceRecord,
    started_at: BootTime,
    machines: BTreeMap<MachineName, MachineEntry>,
    /// Whether the latest progress was passed on to be stored.
    is_reported: bool,
    /// When the progress was last passed on.
    reported_at: BootTime,
    /// What operators were told last about what keeps the wave from being completed.
    delay: WaveDelay,
    /// Machines that are down, or may be, for other waves.
    down_elsewhere: BTreeSet<MachineName>,
}

impl WaveEntry {
    /// Creates the entry of a wave that started at `started_at`, with its stored
    /// progress.
    pub(super) fn new(
        request: &WaveRequest,
        record: MaintenanceRecord,
        started_at: BootTime,
        now: BootTime,
    ) -> Self {
        let ordered = record.ordered.iter().chain(record.down.keys());
        let ordered = ordered.map(|name| {
            let down = record.down.get(name);
            let stage = down.map_or(MachineStage::Ordered(None), |wait| {
                MachineStage::Down(wait.began(now))
            });
            let entry = MachineEntry {
                stage,
                may_have_begun: true,
                ..MachineEntry::default()
            };
            (name.clone(), entry)
        });
        let mut entry = Self {
            machines: ordered.collect(),
            request: request.clone(),
            record,
            started_at,
            is_reported: false,
            reported_at: BootTime::default(),
            delay: WaveDelay::default(),
            down_elsewhere: BTreeSet::new(),
        };
        entry.add_requested_machines();
        entry.restore_prepared();
        entry
    }

    /// Applies an operator's changes to the wave. Machines that were removed and
    /// may be down stay until their maintenance is done.
    pub(super) fn update_request(&mut self, request: &WaveRequest) {
        if self.request == *request {
            return;
        }
        self.request = request.clone();
        self.is_reported = false;
        let requested: BTreeSet<&MachineName> = request.machines.iter().collect();
        self.machines
            .retain(|name, machine| requested.contains(name) || machine.counts_as_down());
        self.add_requested_machines();
    }

    fn add_requested_machines(&mut self) {
        for name in &self.request.machines {
            if !self.record.done.contains(name) {
                self.machines.entry(name.clone()).or_default();
            }
        }
    }

    /// Goes on with the machines that an earlier owner was emptying, or had ordered.
    fn restore_prepared(&mut self) {
        for (name, worker) in &self.record.prepared {
            let entry = self.machines.get_mut(name);
            let Some(entry) = entry.filter(|entry| !matches!(entry.stage, MachineStage::Down(_)))
            else {
                continue;
            };
            if entry.stage == MachineStage::Waiting {
                entry.stage = MachineStage::Prepared;
            }
            entry.worker = Some(worker.clone());
        }
    }

    pub(super) fn record(&self) -> &MaintenanceRecord {
        &self.record
    }

    pub(super) fn is_active(&self) -> bool {
        !self.machines.is_empty() || !self.is_reported
    }

    pub(super) fn is_under_maintenance(&self, machine: &MachineName) -> bool {
        let entry = self.machines.get(machine);
        entry.is_some_and(|entry| entry.stage != MachineStage::Waiting)
    }

    pub(super) fn order_accepted(&mut self, machine: &MachineName, now: BootTime) {
        if let Some(entry) = self.machines.get_mut(machine) {
            entry.stage = MachineStage::Down(now);
        }
    }

    /// Handles that an order had no effect: the machine stays prepared if its worker is known,
    /// or waits, and may be ordered again from `retry_at`.
    pub(super) fn order_rejected(&mut self, machine: &MachineName, retry_at: BootTime) {
        let Some(entry) = self.take_back_order(machine, retry_at) else {
            return;
        };
        match entry.worker {
            Some(_) => entry.stage = MachineStage::Prepared,
            None => entry.wait_again(),
        }
    }

    /// Takes an order back that had no effect, unless an earlier one may have been carried
    /// out; returns the machine, which may be ordered again from `retry_at`.
    fn take_back_order(
        &mut self,
        machine: &MachineName,
        retry_at: BootTime,
    ) -> Option<&mut MachineEntry> {
        let entry = self.machines.get_mut(machine)?;
        if !matches!(entry.stage, MachineStage::Ordered(_)) || entry.may_have_begun {
            return None;
        }
        entry.not_before = retry_at;
        self.record.ordered.remove(machine);
        Some(entry)
    }

    /// Returns a machine that is busy to the waiting ones, or removes it if it has left:
    /// the list has left it out for long.
    pub(super) fn machine_busy(
        &mut self,
        machine: &MachineName,
        settings: &MaintenanceSettings,
        now: BootTime,
    ) {
        let entry = self.machines.get(machine);
        match entry.and_then(|entry| entry.absent_since) {
            Some(since) if now.saturating_since(since) >= settings.departure_limit => {
                self.finish_machine(machine);
            }
            Some(_) => self.wait_for_busy(machine, now + settings.absence_limit),
            None => self.wait_for_busy(machine, now + settings.rejection_delay),
        }
    }

    /// Returns a busy machine to the waiting ones, so that another one goes first.
    fn wait_for_busy(&mut self, machine: &MachineName, retry_at: BootTime) {
        if let Some(entry) = self.take_back_order(machine, retry_at) {
            entry.wait_again();
        }
    }

    /// Removes a machine whose maintenance is done or that needs none.
    pub(super) fn finish_machine(&mut self, machine: &MachineName) {
        self.machines.remove(machine);
        self.record.ordered.remove(machine);
        self.record.done.insert(machine.clone());
        self.is_reported = false;
    }

    /// Adds the next actions for the wave.
    pub(super) fn plan(
        &mut self,
        settings: &MaintenanceSettings,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        if !statuses.is_empty() {
            self.update_stages(settings, statuses, now, actions);
            self.prepare_machines(settings, statuses, now);
            self.order_prepared(settings, statuses, now, actions);
            self.order_absent(settings, now, actions);
            self.repeat_orders(settings, now, actions);
            self.report_delay(settings, now, actions);
        }
        if !self.is_reported || self.has_old_waits(settings, now) {
            self.is_reported = true;
            self.record_waits(settings, now);
            actions.push(MaintenanceAction::Store {
                wave: self.request.number,
                state: self.state(),
            });
        }
    }

    /// Tells operators what keeps the wave from being completed, if that has changed.
    fn report_delay(
        &mut self,
        settings: &MaintenanceSettings,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        let delay = self.current_delay(settings, now);
        let is_known = delay.is_overdue == self.delay.is_overdue
            && delay.unavailable == self.delay.unavailable;
        if !is_known && delay.remaining > 0 {
            actions.push(MaintenanceAction::Report(delay.clone()));
        }
        self.delay = delay;
    }

    fn current_delay(&self, settings: &MaintenanceSettings, now: BootTime) -> WaveDelay {
        let limit = settings.maintenance_time + settings.unavailability_limit;
        let unavailable = self.machines.iter().filter(|(_, entry)| {
            let since = entry.unavailable_since;
            since.is_some_and(|since| now.saturating_since(since) >= limit)
        });
        WaveDelay {
            wave: self.request.number,
            is_overdue: now.saturating_since(self.started_at) > self.request.duration,
            remaining: self.remaining_count(),
            unavailable: unavailable.map(|(name, _)| name.clone()).collect(),
        }
    }

    /// Returns whether machines are being emptied or down, and what is stored of them is
    /// to be stored again.
    fn has_old_waits(&self, settings: &MaintenanceSettings, now: BootTime) -> bool {
        now.saturating_since(self.reported_at) >= settings.record_interval && self.has_waits()
    }

    fn has_waits(&self) -> bool {
        self.down_since().next().is_some() || self.prepared().next().is_some()
    }

    /// Updates what the record states of machines that are being emptied or down;
    /// returns whether there are any.
    pub(super) fn prepare_release(
        &mut self,
        settings: &MaintenanceSettings,
        now: BootTime,
    ) -> bool {
        self.record_waits(settings, now);
        self.has_waits()
    }

    fn record_waits(&mut self, settings: &MaintenanceSettings, now: BootTime) {
        let mut record = mem::take(&mut self.record);
        let down = self.down_since();
        let down = down.map(|(name, since)| (name.clone(), ElapsedWait::since(since, now)));
        let prepared = self.prepared();
        let prepared = prepared.map(|(name, worker)| (name.clone(), worker.clone()));
        record::set_waits(&mut record, down, prepared, settings.max_record_bytes);
        self.record = record;
        self.reported_at = now;
    }

    /// Returns the machines whose maintenance has begun, and since when.
    fn down_since(&self) -> impl Iterator<Item = (&MachineName, BootTime)> {
        let machines = self.machines.iter();
        machines.filter_map(|(name, entry)| match entry.stage {
            MachineStage::Down(since) => Some((name, since)),
            _ => None,
        })
    }

    /// Returns the machines whose workers are being emptied, or that were ordered, with
    /// these workers.
    fn prepared(&self) -> impl Iterator<Item = (&MachineName, &WorkerId)> {
        let machines = self.machines.iter();
        machines.filter_map(|(name, entry)| match entry.block()? {
            (worker, WorkerBlock::All) => Some((name, worker)),
            (_, WorkerBlock::One(_)) => None,
        })
    }

    /// Adds the workers that get no new tasks because of the wave.
    pub(super) fn add_blocks(&self, blocks: &mut WorkerBlocks) {
        for (worker, block) in self.machines.values().filter_map(MachineEntry::block) {
            blocks.add(worker, block);
        }
    }

    fn state(&self) -> WaveState {
        if self.remaining_count() == 0 {
            WaveState::Completed
        } else {
            WaveState::Running
        }
    }

    /// Returns the number of requested machines whose maintenance is not done.
    fn remaining_count(&self) -> usize {
        let requested: BTreeSet<&MachineName> = self.request.machines.iter().collect();
        let done = &self.record.done;
        let remaining = requested.into_iter().filter(|name| !done.contains(*name));
        remaining.count()
    }

    /// Returns the machines that are down for this wave, or may be.
    pub(super) fn down_machines(&self) -> impl Iterator<Item = &MachineName> {
        let down = self.machines.iter();
        down.filter(|(_, entry)| entry.counts_as_down())
            .map(|(name, _)| name)
    }

    /// Sets which machines are down for other waves.
    pub(super) fn set_down_elsewhere(&mut self, machines: BTreeSet<MachineName>) {
        self.down_elsewhere = machines;
    }

    /// Returns how many machines of the wave are down, or may be, for any wave.
    fn down_count(&self) -> u32 {
        let requested = self.request.machines.iter();
        let elsewhere = requested.filter(|name| self.down_elsewhere.contains(*name));
        let down: BTreeSet<&MachineName> = self.down_machines().chain(elsewhere).collect();
        down.len() as u32
    }

    /// Returns whether there is no time left to wait for running tasks.
    fn is_behind_schedule(&self, settings: &MaintenanceSettings, now: BootTime) -> bool {
        let rounds = (self.remaining_count() as u32).div_ceil(self.request.max_down.max(1));
        let needed = (settings.maintenance_time + settings.listing_lag) * rounds + settings.reserve;
        let elapsed = now.saturating_since(self.started_at);
        elapsed + needed > self.request.duration
    }

    /// Updates the stages of machines that are down, up again or not listed.
    fn update_stages(
        &mut self,
        settings: &MaintenanceSettings,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        let mut done = Vec::new();
        for (name, machine) in &mut self.machines {
            let status = statuses.get(name);
            let is_done = match status {
                Some(status) => machine.update_listed(status, settings, now),
                None => machine.update_absent(settings, now),
            };
            if !is_done {
                continue;
            }
            done.push(name.clone());
            let present = status.and_then(|status| status.worker.as_ref());
            if let Some(worker) = machine.worker.take().filter(|old| Some(old) != present) {
                actions.push(MaintenanceAction::Remove {
                    worker,
                    incarnation: machine.incarnation,
                });
            }
        }
        for name in done {
            self.finish_machine(&name);
        }
    }

    /// Blocks new tasks on the machines that go next.
    fn prepare_machines(
        &mut self,
        settings: &MaintenanceSettings,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
    ) {
        let target_count = self.request.max_down + settings.prepared_ahead;
        let prepared = self.machines.values().filter(|entry| entry.is_prepared());
        let in_progress = self.down_count() + prepared.count() as u32;
        let shortfall = target_count.saturating_sub(in_progress) as usize;
        let waiting = self
            .machines
            .iter()
            .filter(|(_, entry)| entry.is_waiting(now));
        let mut next: Vec<(MachineRank, MachineName)> = waiting
            .filter_map(|(name, _)| {
                let status = statuses.get(name).filter(|status| status.is_up)?;
                Some((MachineRank::of(status), name.clone()))
            })
            .collect();
        next.sort();
        for (_, name) in next.into_iter().take(shortfall) {
            let status = statuses.get(&name);
            if let (Some(entry), Some(status)) = (self.machines.get_mut(&name), status) {
                entry.stage = MachineStage::Prepared;
                entry.update_worker(status);
            }
        }
    }

    /// Orders the maintenance of prepared machines that have no tasks left to wait
    /// for.
    fn order_prepared(
        &mut self,
        settings: &MaintenanceSettings,
        statuses: &BTreeMap<MachineName, MachineStatus>,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        let is_behind = self.is_behind_schedule(settings, now);
        let mut ready = Vec::new();
        for (name, machine) in &mut self.machines {
            if !machine.is_prepared() {
                continue;
            }
            let status = statuses.get(name);
            let status = status.filter(|status| status.is_up && status.worker == machine.worker);
            let Some(status) = status else {
                // The worker moved or was replaced; the machine is prepared again.
                machine.wait_again();
                continue;
            };
            let load = status.load;
            if load.long_running == 0 && (load.finite == 0 || is_behind) {
                if machine.not_before <= now {
                    ready.push(name.clone());
                }
            } else {
                actions.extend(machine.worker.clone().map(MaintenanceAction::Evict));
            }
        }
        self.order_within_limit(ready, now, actions);
    }

    /// Orders the maintenance of machines that the list has left out for long: the
    /// response shows whether they exist.
    fn order_absent(
        &mut self,
        settings: &MaintenanceSettings,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        let is_due = |entry: &MachineEntry| {
            let absent = entry.absent_since;
            let is_absent =
                absent.is_some_and(|since| now.saturating_since(since) >= settings.absence_limit);
            is_absent && entry.is_waiting(now)
        };
        let absent = self.machines.iter().filter(|(_, entry)| is_due(entry));
        let absent: Vec<MachineName> = absent.map(|(name, _)| name.clone()).collect();
        self.order_within_limit(absent, now, actions);
    }

    /// Orders as many of the machines as the limit allows, and records them first.
    fn order_within_limit(
        &mut self,
        names: Vec<MachineName>,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        let free = self.request.max_down.saturating_sub(self.down_count());
        for name in names.into_iter().take(free as usize) {
            if let Some(entry) = self.machines.get_mut(&name) {
                entry.stage = MachineStage::Ordered(Some(now));
                entry.may_have_begun = false;
            }
            self.record.ordered.insert(name.clone());
            self.is_reported = false;
            actions.push(MaintenanceAction::Order {
                wave: self.request.number,
                machine: name,
            });
        }
    }

    /// Repeats the orders that got no response, and those of an earlier owner.
    fn repeat_orders(
        &mut self,
        settings: &MaintenanceSettings,
        now: BootTime,
        actions: &mut Vec<MaintenanceAction>,
    ) {
        for (name, entry) in &mut self.machines {
            let MachineStage::Ordered(latest) = &mut entry.stage else {
                continue;
            };
            let is_pending =
                latest.is_some_and(|at| now.saturating_since(at) < settings.order_retry_interval);
            if is_pending {
                continue;
            }
            *latest = Some(now);
            entry.may_have_begun = true;
            actions.push(MaintenanceAction::Order {
                wave: self.request.number,
                machine: name.clone(),
            });
        }
    }
}
