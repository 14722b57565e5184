//! Permits of an advisor for the workers of a step.
//!
//! On some queues only an advisor decides which workers may run a step. It
//! accepts one request at a time and responds after a delay for each worker
//! in it, so requests name few workers, and permits are reused until they expire.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time;

use crate::name::{JobId, WorkerId};
use crate::time::BootTime;

use super::JobScheduler;
use super::placement::PlacementCandidate;

/// Largest number of workers in one request.
const MAX_WORKERS_PER_REQUEST: usize = 20;

/// Time for which a permit must still be valid when an order is sent.
const PERMIT_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Time after which a request that got no response is repeated.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Step of a job in one of its occurrences, written `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Request to the advisor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// Step that is to run.
    pub step: StepId,
    /// Candidate workers.
    pub workers: Vec<WorkerId>,
}

/// Permission to run a step on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPermit {
    /// The worker.
    pub worker: WorkerId,
    /// Ticket that start orders to the worker must carry.
    pub ticket: String,
}

/// Response of the advisor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceResponse {
    /// Workers that may run the step.
    pub permits: Vec<WorkerPermit>,
    /// How long the permits are valid.
    pub valid_for: time::Duration,
}

#[derive(Clone, Debug)]
struct CachedPermit {
    ticket: String,
    /// Incarnation of the worker that the permit is for.
    incarnation: u64,
    valid_until: BootTime,
}

/// Permits and denials of one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    requested_at: Option<BootTime>,
    permits: HashMap<WorkerId, CachedPermit>,
    /// Workers that may not run the step; a denial is final.
    denied: BTreeSet<WorkerId>,
}

/// Permits of all steps, and the requests to send.
#[derive(Debug, Default)]
pub(super) struct AdviceCache {
    steps: BTreeMap<StepId, StepAdvice>,
    requests: Vec<AdviceRequest>,
}

impl AdviceCache {
    /// Returns the ticket for a worker's incarnation, if the permit is valid for long enough.
    pub(super) fn ticket(
        &self,
        step: &StepId,
        worker: &WorkerId,
        incarnation: u64,
        now: BootTime,
    ) -> Option<String> {
        let permit = self.steps.get(step)?.permits.get(worker)?;
        let is_valid =
            permit.incarnation == incarnation && permit.valid_until > now + PERMIT_MARGIN;
        is_valid.then(|| permit.ticket.clone())
    }

    /// Requests permits for workers without a permit or denial, unless a request is
    /// pending.
    fn request(&mut self, step: &StepId, candidates: &[PlacementCandidate], now: BootTime) {
        let advice = self.steps.entry(step.clone()).or_default();
        let is_pending = advice
            .requested_at
            .is_some_and(|requested| now.saturating_since(requested) < RESPONSE_TIMEOUT);
        if is_pending {
            return;
        }
        let undecided = candidates.iter().filter(|candidate| {
            let permit = advice.permits.get(&candidate.worker);
            let is_valid = permit.is_some_and(|permit| {
                permit.incarnation == candidate.incarnation
                    && permit.valid_until > now + PERMIT_MARGIN
            });
            !is_valid && !advice.denied.contains(&candidate.worker)
        });
        let workers = undecided.take(MAX_WORKERS_PER_REQUEST);
        let workers: Vec<WorkerId> = workers.map(|candidate| candidate.worker.clone()).collect();
        if workers.is_empty() {
            return;
        }
        advice.requested_at = Some(now);
        self.requests.push(AdviceRequest {
            step: step.clone(),
            workers,
        });
    }

    /// Drops a permit that a worker rejected.
    pub(super) fn drop_permit(&mut self, step: &StepId, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.permits.remove(worker);
        }
    }

    /// Removes the steps of a job.
    pub(super) fn remove_job(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }
}

impl JobScheduler {
    /// Returns the requests to send to the advisor, one after the other.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice.requests)
    }

    /// Handles the advisor's response; none if it did not respond.
    pub fn handle_advice_response(
        &mut self,
        request: &AdviceRequest,
        response: Option<&AdviceResponse>,
        now: BootTime,
    ) {
        let incarnations: HashMap<&WorkerId, u64> = request
            .workers
            .iter()
            .filter_map(|worker| Some((worker, self.fleet.get(worker)?.incarnation)))
            .collect();
        let Some(advice) = self.advice.steps.get_mut(&request.step) else {
            return;
        };
        advice.requested_at = None;
        self.waiting.mark_all_changed();
        let Some(response) = response else {
            return;
        };
        for permit in &response.permits {
            let cached = CachedPermit {
                ticket: permit.ticket.clone(),
                incarnation: incarnations.get(&permit.worker).copied().unwrap_or(0),
                valid_until: now + response.valid_for,
            };
            advice.permits.insert(permit.worker.clone(), cached);
        }
        let denied = request.workers.iter();
        let denied = denied.filter(|worker| {
            !response
                .permits
                .iter()
                .any(|permit| permit.worker == **worker)
        });
        advice.denied.extend(denied.cloned());
    }

    /// Returns whether an advisor must permit the workers of a job.
    pub(super) fn is_advised(&self, job: &JobId) -> bool {
        let job = self.jobs.get(job);
        let queue = job.and_then(|job| self.manifest.queue(&job.record.queue));
        queue.is_some_and(|queue| queue.is_advised)
    }

    /// Requests permits for the workers that a step might run on.
    pub(super) fn request_advice(
        &mut self,
        step: &StepId,
        candidates: &[PlacementCandidate],
        now: BootTime,
    ) {
        self.advice.request(step, candidates, now);
    }
}
