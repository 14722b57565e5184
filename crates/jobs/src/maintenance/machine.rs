//! Machines of a wave: their stages, and the order in which they are maintained.

use crate::block::WorkerBlock;
use crate::name::WorkerId;
use crate::time::BootTime;

use super::{MachineStatus, MaintenanceSettings};

/// Stage of a machine in its wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) enum MachineStage {
    #[default]
    Waiting,
    /// New tasks are blocked on the worker, if the machine has one.
    Prepared,
    /// Maintenance was ordered, and whether it has begun is unknown; with the time
    /// of the latest order of this owner, if any.
    Ordered(Option<BootTime>),
    /// Maintenance has begun.
    Down(BootTime),
}

/// Machine of a wave whose maintenance is not done.
#[derive(Clone, Debug, Default)]
pub(super) struct MachineEntry {
    pub(super) stage: MachineStage,
    /// Worker on the machine from the time on at which it is prepared, if known.
    pub(super) worker: Option<WorkerId>,
    /// Latest known incarnation of that worker before the maintenance began.
    pub(super) incarnation: u64,
    /// Since when the list has left the machine out.
    pub(super) absent_since: Option<BootTime>,
    /// Since when the machine is listed as not up.
    pub(super) unavailable_since: Option<BootTime>,
    /// When the machine may be ordered again after a rejected order.
    pub(super) not_before: BootTime,
    /// Whether an order before the latest one had no response, so that a rejection of
    /// the latest one does not tell whether maintenance has begun.
    pub(super) may_have_begun: bool,
}

impl MachineEntry {
    /// Returns whether the machine is down, or may be.
    pub(super) fn counts_as_down(&self) -> bool {
        matches!(self.stage, MachineStage::Ordered(_) | MachineStage::Down(_))
    }

    pub(super) fn is_prepared(&self) -> bool {
        self.stage == MachineStage::Prepared
    }

    /// Returns the worker that gets no new tasks for the sake of the maintenance, if any.
    pub(super) fn block(&self) -> Option<(&WorkerId, WorkerBlock)> {
        let block = match self.stage {
            MachineStage::Waiting => return None,
            MachineStage::Prepared | MachineStage::Ordered(_) => WorkerBlock::All,
            MachineStage::Down(_) => WorkerBlock::One(self.incarnation),
        };
        self.worker.as_ref().map(|worker| (worker, block))
    }

    /// Returns the machine to those that wait for their maintenance.
    pub(super) fn wait_again(&mut self) {
        self.stage = MachineStage::Waiting;
        self.worker = None;
    }

    /// Updates which incarnation of the worker the maintenance would end.
    pub(super) fn update_worker(&mut self, status: &MachineStatus) {
        if !matches!(
            self.stage,
            MachineStage::Prepared | MachineStage::Ordered(_)
        ) {
            return;
        }
        if self.worker.is_none() {
            self.worker.clone_from(&status.worker);
        }
        if self.worker == status.worker {
            self.incarnation = status.incarnation;
        }
    }

    pub(super) fn is_waiting(&self, now: BootTime) -> bool {
        self.stage == MachineStage::Waiting && self.not_before <= now
    }

    /// Updates the stage of a listed machine; returns whether its maintenance is done.
    ///
    /// An order is recorded before it is sent, so a machine that is in maintenance
    /// without one is so for another wave.
    pub(super) fn update_listed(
        &mut self,
        status: &MachineStatus,
        settings: &MaintenanceSettings,
        now: BootTime,
    ) -> bool {
        self.absent_since = None;
        self.update_worker(status);
        match status.is_up {
            true => self.unavailable_since = None,
            false => {
                self.unavailable_since.get_or_insert(now);
            }
        }
        match &self.stage {
            MachineStage::Down(since) => {
                status.is_up && now.saturating_since(*since) >= settings.maintenance_time
            }
            _ => false,
        }
    }

    /// Updates the stage of a machine that the list leaves out; returns whether its
    /// maintenance is done.
    pub(super) fn update_absent(&mut self, settings: &MaintenanceSettings, now: BootTime) -> bool {
        self.absent_since.get_or_insert(now);
        self.unavailable_since = None;
        match &self.stage {
            MachineStage::Down(since) => {
                let down_time = settings.maintenance_time + settings.listing_lag;
                now.saturating_since(*since) >= down_time
            }
            _ => false,
        }
    }
}

/// Rank of a machine among those that wait for their maintenance; lower goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct MachineRank {
    long_running: u32,
    is_in_use: bool,
    finite: u32,
}

impl MachineRank {
    pub(super) fn of(status: &MachineStatus) -> Self {
        Self {
            long_running: status.load.long_running,
            is_in_use: !status.is_evacuated,
            finite: status.load.finite,
        }
    }
}
