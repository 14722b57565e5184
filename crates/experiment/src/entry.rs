//! Entry VMs that decide on the admission of jobs, and the callers' choice of them.

use std::sync;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use redwing_jobs::admission::{
    self, AdmissionDecision, AdmissionSettings, BacklogSummary, JobAdmission,
};
use redwing_jobs::time::WallTime;
use redwing_jobs::{BootTime, JobId};

use crate::arrival::JobArrival;

/// All entry VMs; each decides by the latest summary and by what it has admitted.
#[derive(Debug)]
pub(crate) struct EntryFleet {
    admissions: Vec<JobAdmission>,
}

impl EntryFleet {
    pub(crate) fn new(count: u64) -> Self {
        let admissions =
            (0..count).map(|seed| JobAdmission::new(AdmissionSettings::default(), seed));
        Self {
            admissions: admissions.collect(),
        }
    }

    /// Passes a summary of the owner to an entry VM.
    pub(crate) fn receive(
        &mut self,
        entry: usize,
        summary: &sync::Arc<BacklogSummary>,
        now: BootTime,
        wall: WallTime,
    ) {
        self.admissions[entry].receive(summary, now, wall);
    }

    /// Returns the entry VM that the caller of a job happens to reach with this attempt.
    pub(crate) fn choose(&self, arrival: &JobArrival, attempt: u64) -> usize {
        let mut random = StdRng::seed_from_u64(arrival.seed.wrapping_add(attempt));
        random.random_range(0..self.admissions.len())
    }

    /// Decides on a job at an entry VM.
    pub(crate) fn decide(
        &mut self,
        entry: usize,
        id: &JobId,
        asked: &admission::JobArrival,
        now: BootTime,
    ) -> AdmissionDecision {
        self.admissions[entry].decide(id, asked, now)
    }
}
