//! Orders for machines, and the responses of the machine service.

use std::fmt;

use redwing_jobs::name::{MachineName, PoolName, WorkerId};
use redwing_provider::Category;

use crate::event;
use crate::log_job_event;
use crate::services::{ListedMachine, MachineOutcome};

/// Response to a call of the platform's machine service.
#[derive(Debug)]
pub(super) enum MachineResponse {
    /// List of machines; none if the call failed.
    Listed(Option<Vec<ListedMachine>>),
    /// Outcome of an order; none if it is unknown.
    Ordered {
        machine: MachineName,
        order: MachineOrder,
        outcome: Option<MachineOutcome>,
    },
}

/// Worker on a machine that is moved.
#[derive(Debug)]
pub(super) struct MovedWorker {
    pub(super) id: WorkerId,
    /// Incarnation that the move ends; 0 if unknown.
    pub(super) incarnation: u64,
}

/// Order for a machine.
#[derive(Debug)]
pub(super) enum MachineOrder {
    /// Join a pool; the worker on the machine ends.
    Move {
        worker: Option<MovedWorker>,
        pool: PoolName,
    },
    /// Start the maintenance of a wave, by its number.
    Maintenance(u64),
}

impl MachineOrder {
    /// Returns the wave whose rows must be stored before the order is sent.
    pub(super) fn wave(&self) -> Option<u64> {
        match self {
            Self::Move { .. } => None,
            Self::Maintenance(wave) => Some(*wave),
        }
    }

    /// Returns the worker that a move ends, if any.
    pub(super) fn moved_worker(&self) -> Option<&MovedWorker> {
        match self {
            Self::Move { worker, .. } => worker.as_ref(),
            Self::Maintenance(_) => None,
        }
    }
}

impl fmt::Display for MachineOrder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Move { pool, .. } => write!(formatter, "move to {pool}"),
            Self::Maintenance(wave) => write!(formatter, "upkeep of wave {wave}"),
        }
    }
}

/// Order that has not been sent yet.
#[derive(Debug)]
pub(super) struct PendingOrder {
    pub(super) machine: MachineName,
    pub(super) order: MachineOrder,
}

/// Move without a response, of a machine with a worker.
#[derive(Debug)]
pub(super) struct LostMove {
    pub(super) machine: MachineName,
    pub(super) worker: MovedWorker,
    pub(super) pool: PoolName,
    /// Whether a list was requested before, which need not show the outcome.
    pub(super) awaits_old_list: bool,
}

/// Logs the outcome of an order and returns it; none if the order may still
/// take effect. An order that failed without effect counts as throttled.
pub(super) fn order_outcome(
    machine: &MachineName,
    order: &MachineOrder,
    response: redwing_provider::Result<MachineOutcome>,
) -> Option<MachineOutcome> {
    match response {
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
            let has_no_effect = error.classify() != Category::Unknown;
            has_no_effect.then_some(MachineOutcome::Throttled)
        }
    }
}
