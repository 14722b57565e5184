//! Permits of an advisor for the workers of a step.
//!
//! On some queues only an advisor decides which workers may run a step. It
//! accepts one request at a time and responds after a delay for each worker
//! in it, so requests name few workers, and permits are reused until they expire.
//! Owners may end every few seconds; what the advisor has decided is stored for the
//! next one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time;

use serde::{Deserialize, Serialize};

use crate::name::{JobId, WorkerId};
use crate::time::BootTime;
use crate::wait::RemainingWait;

use super::JobScheduler;
use super::candidate::PlacementCandidate;

/// Largest number of workers in one request.
const MAX_WORKERS_PER_REQUEST: usize = 20;

/// Time for which a permit must still be valid when an order is sent.
const PERMIT_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Time after which a request that got no response is repeated.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Length of the longest ticket that is stored for the next owner, in bytes.
const MAX_STORED_TICKET_BYTES: usize = 512;

/// Step of a job in one of its occurrences, written `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
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

/// Permit, as stored for the next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoredPermit {
    /// The worker.
    pub worker: WorkerId,
    /// Incarnation of the worker.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Ticket that start orders to the worker must carry.
    pub ticket: String,
    /// Time for which it is valid.
    pub valid: RemainingWait,
}

/// Permits and denials of a step, as stored for the next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoredAdvice {
    /// The step.
    pub step: StepId,
    /// Its permits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub permits: Vec<StoredPermit>,
    /// Workers that may not run it.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub denied: BTreeSet<WorkerId>,
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

impl StepAdvice {
    /// Returns the permits that are still valid and short enough to be stored, by worker.
    fn valid_permits(&self, now: BootTime) -> Vec<StoredPermit> {
        let permits = self.permits.iter();
        let valid = permits.filter(|(_, permit)| {
            permit.valid_until > now + PERMIT_MARGIN
                && permit.ticket.len() <= MAX_STORED_TICKET_BYTES
        });
        let mut valid: Vec<StoredPermit> = valid
            .map(|(worker, permit)| StoredPermit {
                worker: worker.clone(),
                incarnation: permit.incarnation,
                ticket: permit.ticket.clone(),
                valid: RemainingWait::until(permit.valid_until, now),
            })
            .collect();
        valid.sort_by(|one, other| one.worker.cmp(&other.worker));
        valid
    }
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

    /// Returns the workers that may not run a step, as far as is known.
    fn denied(&self, step: &StepId) -> impl Iterator<Item = &WorkerId> {
        let advice = self.steps.get(step);
        advice.into_iter().flat_map(|advice| &advice.denied)
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

    /// Returns the permits and denials of the steps of waiting jobs, to be stored for the
    /// next owner, for as many workers as are stored.
    pub fn stored_advice(&self, now: BootTime) -> Vec<StoredAdvice> {
        let mut left = self.settings.max_stored_advice;
        let mut stored = Vec::new();
        for (step, advice) in &self.advice.steps {
            let job = self.jobs.get(&step.job);
            if job.is_none_or(|job| job.smallest_need().is_none()) {
                continue;
            }
            let mut permits = advice.valid_permits(now);
            permits.truncate(left);
            left -= permits.len();
            let denied: BTreeSet<WorkerId> = advice.denied.iter().take(left).cloned().collect();
            left -= denied.len();
            if !permits.is_empty() || !denied.is_empty() {
                stored.push(StoredAdvice {
                    step: step.clone(),
                    permits,
                    denied,
                });
            }
        }
        stored
    }

    /// Restores the permits and denials that an earlier owner had stored by the time
    /// `stored_by`; the jobs must be restored already.
    ///
    /// Permits count as expired earlier than they are, by the time for which the row
    /// may have been on its way. A worker rejects a start with an expired permit.
    pub fn restore_advice(&mut self, advice: &[StoredAdvice], stored_by: BootTime) {
        let delay = self.settings.max_row_delay;
        for stored in advice {
            if !self.jobs.contains_key(&stored.step.job) {
                continue;
            }
            let step = self.advice.steps.entry(stored.step.clone()).or_default();
            step.denied.clone_from(&stored.denied);
            for permit in &stored.permits {
                let cached = CachedPermit {
                    ticket: permit.ticket.clone(),
                    incarnation: permit.incarnation,
                    valid_until: permit.valid.earliest_end(stored_by, delay),
                };
                step.permits.insert(permit.worker.clone(), cached);
            }
        }
    }

    /// Returns whether an advisor must permit the workers of a job.
    pub(super) fn is_advised(&self, job: &JobId) -> bool {
        let job = self.jobs.get(job);
        let queue = job.and_then(|job| self.manifest.queue(&job.record.queue));
        queue.is_some_and(|queue| queue.is_advised)
    }

    /// Returns the free processor of the workers that are denied to a waiting step of a
    /// job, the most of any of its steps, in thousandths of a core.
    ///
    /// Workers that the advisor has not been asked about count as permitted.
    pub(super) fn denied_cpu(&self, id: &JobId) -> u64 {
        let Some(job) = self.jobs.get(id).filter(|_| self.is_advised(id)) else {
            return 0;
        };
        let pool = self.pool_of(job);
        let denied = job.waiting_steps().map(|waiting| {
            let step = StepId {
                job: id.clone(),
                occurrence: waiting.occurrence,
                step: waiting.number,
            };
            let workers = self.advice.denied(&step);
            let workers = workers.filter_map(|worker| self.fleet.get(worker));
            let open = workers.filter(|entry| entry.is_open_in(pool));
            open.map(|entry| entry.free_capacity().cpu_millis).sum()
        });
        denied.max().unwrap_or(0)
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
