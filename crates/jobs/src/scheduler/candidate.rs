//! Workers that may get tasks, while tasks are placed.

use crate::name::{WorkerId, WorkerLabel};
use crate::spec::ResourceAmount;

use super::fleet::WorkerEntry;
use super::free_capacity::FreeCapacity;

/// Worker that may get tasks, with its remaining free capacity.
#[derive(Clone, Debug)]
pub(super) struct PlacementCandidate {
    pub(super) worker: WorkerId,
    pub(super) incarnation: u64,
    pub(super) rack: Option<WorkerLabel>,
    pub(super) free_capacity: ResourceAmount,
    /// Processor of the worker, in thousandths of a core.
    pub(super) cpu_millis: u64,
    /// Whether the worker already has long-running tasks.
    pub(super) runs_long_running: bool,
    /// Whether the current step must not run there.
    pub(super) is_excluded: bool,
}

impl PlacementCandidate {
    pub(super) fn new(id: &WorkerId, entry: &WorkerEntry) -> Self {
        let view = entry.view.as_ref();
        Self {
            worker: id.clone(),
            incarnation: entry.incarnation,
            rack: view.and_then(|view| view.rack.clone()),
            free_capacity: entry.free_capacity(),
            cpu_millis: view.map_or(1, |view| view.capacity.cpu_millis.max(1)),
            runs_long_running: entry.long_running_count > 0,
            is_excluded: false,
        }
    }

    /// Takes capacity that is to be kept free.
    pub(super) fn claim(&mut self, amount: &ResourceAmount) {
        self.free_capacity -= *amount;
    }

    /// Returns the share of the worker's processor that is in use.
    pub(super) fn used_share(&self) -> f64 {
        1.0 - self.free_capacity.cpu_millis as f64 / self.cpu_millis as f64
    }
}

/// Returns the free capacity of the candidates.
pub(super) fn free_capacity(candidates: &[PlacementCandidate]) -> FreeCapacity {
    FreeCapacity::of(candidates.iter().map(|candidate| &candidate.free_capacity))
}

/// Ends the exclusion of workers.
pub(super) fn include_all(candidates: &mut [PlacementCandidate]) {
    for candidate in candidates {
        candidate.is_excluded = false;
    }
}
