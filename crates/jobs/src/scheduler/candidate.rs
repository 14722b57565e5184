//! Workers that may get tasks, while tasks are placed.

use std::collections::BTreeSet;

use crate::name::{JobId, WorkerId, WorkerLabel};
use crate::spec::ResourceAmount;
use crate::time::BootTime;

use super::entry::StartCaution;
use super::fleet::WorkerEntry;
use super::free_capacity::FreeCapacity;

/// Jobs whose runs a worker has.
#[derive(Clone, Debug, Eq, PartialEq)]
enum WorkerOccupancy {
    /// None.
    Vacant,
    /// Any.
    Shared,
    /// Only those of one job whose tasks are isolated.
    Isolated(JobId),
}

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
    occupancy: WorkerOccupancy,
    /// Jobs of its runs under whose tasks workers crashed.
    suspect_jobs: BTreeSet<JobId>,
    /// Whether it may be kept for isolated tasks, if it is vacant.
    pub(super) may_isolate: bool,
    /// Whether it gets no new tasks so that it becomes vacant for isolated ones.
    is_vacated: bool,
}

impl PlacementCandidate {
    pub(super) fn new(id: &WorkerId, entry: &WorkerEntry, now: BootTime) -> Self {
        let view = entry.view.as_ref();
        let occupancy = match entry.isolated_job() {
            Some(job) => WorkerOccupancy::Isolated(job.clone()),
            None if entry.reservations.is_empty() => WorkerOccupancy::Vacant,
            None => WorkerOccupancy::Shared,
        };
        Self {
            worker: id.clone(),
            incarnation: entry.incarnation,
            rack: view.and_then(|view| view.rack.clone()),
            free_capacity: entry.free_capacity(),
            cpu_millis: view.map_or(1, |view| view.capacity.cpu_millis.max(1)),
            runs_long_running: entry.long_running_count > 0,
            is_excluded: false,
            occupancy,
            suspect_jobs: entry.suspect_jobs(),
            may_isolate: true,
            is_vacated: entry.vacated_until > now,
        }
    }

    /// Returns whether it has no runs.
    pub(super) fn is_vacant(&self) -> bool {
        self.occupancy == WorkerOccupancy::Vacant
    }

    /// Returns whether a run of a job that is kept apart by `caution` may get here.
    pub(super) fn admits(&self, job: &JobId, caution: StartCaution) -> bool {
        match &self.occupancy {
            WorkerOccupancy::Isolated(other) => caution == StartCaution::Isolated && other == job,
            WorkerOccupancy::Vacant if caution == StartCaution::Isolated => self.may_isolate,
            _ if self.is_vacated => false,
            WorkerOccupancy::Vacant | WorkerOccupancy::Shared => match caution {
                StartCaution::None | StartCaution::Spread => true,
                StartCaution::Apart => self.other_suspects(job) == 0,
                StartCaution::Isolated => false,
            },
        }
    }

    /// Returns the number of other jobs with runs under whose tasks workers crashed.
    pub(super) fn other_suspects(&self, job: &JobId) -> usize {
        self.suspect_jobs.len() - usize::from(self.suspect_jobs.contains(job))
    }

    /// Takes capacity for a run of a job that is kept apart by `caution`.
    pub(super) fn add_run(&mut self, job: &JobId, caution: StartCaution, amount: &ResourceAmount) {
        self.claim(amount);
        if caution != StartCaution::None {
            self.suspect_jobs.insert(job.clone());
        }
        if caution == StartCaution::Isolated {
            self.occupancy = WorkerOccupancy::Isolated(job.clone());
        } else if self.is_vacant() {
            self.occupancy = WorkerOccupancy::Shared;
        }
    }

    /// Returns what all jobs may use of its free capacity.
    fn shared_capacity(&self) -> ResourceAmount {
        if self.is_vacated || matches!(self.occupancy, WorkerOccupancy::Isolated(_)) {
            return ResourceAmount::default();
        }
        self.free_capacity
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

/// Returns the free capacity of the candidates that is not kept for isolated tasks.
pub(super) fn free_capacity(candidates: &[PlacementCandidate]) -> FreeCapacity {
    FreeCapacity::of(candidates.iter().map(PlacementCandidate::shared_capacity))
}

/// Ends the exclusion of workers.
pub(super) fn include_all(candidates: &mut [PlacementCandidate]) {
    for candidate in candidates {
        candidate.is_excluded = false;
    }
}
