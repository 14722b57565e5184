//! Permits of an advisor for the workers of a step.
//!
//! On some queues only an advisor knows which workers may run a step. It
//! takes one question at a time and answers after a while for each worker
//! named, so few workers are named, and permits are used until they expire.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time;

use crate::name::{JobId, WorkerId};
use crate::time::BootTime;

use super::JobScheduler;
use super::place::PlaceOption;

/// Workers named in one question.
const WORKERS_PER_QUESTION: usize = 20;

/// Time for which a permit must still be valid when an order is given.
const PERMIT_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Time after which a question that was not answered is asked again.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

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

/// Question to the advisor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceQuestion {
    /// Step that is to run.
    pub step: StepId,
    /// Workers that might run it.
    pub workers: Vec<WorkerId>,
}

/// Permission to run a step on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPermit {
    /// The worker.
    pub worker: WorkerId,
    /// Text that orders to the worker must carry.
    pub ticket: String,
}

/// Answer of the advisor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// Workers that may run the step.
    pub permits: Vec<WorkerPermit>,
    /// How long the permits are valid.
    pub valid_for: time::Duration,
}

#[derive(Clone, Debug)]
struct HeldPermit {
    ticket: String,
    /// Life of the worker that the permit is for.
    born: u64,
    until: BootTime,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    asked_at: Option<BootTime>,
    permits: HashMap<WorkerId, HeldPermit>,
    /// Workers that may not run the step; that does not change.
    denied: BTreeSet<WorkerId>,
}

/// Permits of all steps, and the questions to ask.
#[derive(Debug, Default)]
pub(super) struct AdviceBook {
    steps: BTreeMap<StepId, StepAdvice>,
    questions: Vec<AdviceQuestion>,
}

impl AdviceBook {
    /// Returns the ticket for a worker's life, if the permit is valid for long enough.
    pub(super) fn ticket(
        &self,
        step: &StepId,
        worker: &WorkerId,
        born: u64,
        now: BootTime,
    ) -> Option<String> {
        let permit = self.steps.get(step)?.permits.get(worker)?;
        let is_valid = permit.born == born && permit.until > now + PERMIT_MARGIN;
        is_valid.then(|| permit.ticket.clone())
    }

    /// Asks about workers that are not known, unless a question is open.
    fn ask(&mut self, step: &StepId, options: &[PlaceOption], now: BootTime) {
        let advice = self.steps.entry(step.clone()).or_default();
        let is_open = advice
            .asked_at
            .is_some_and(|asked| now.saturating_since(asked) < ANSWER_TIMEOUT);
        if is_open {
            return;
        }
        let unknown = options.iter().filter(|option| {
            let permit = advice.permits.get(&option.worker);
            let is_valid = permit.is_some_and(|permit| {
                permit.born == option.born && permit.until > now + PERMIT_MARGIN
            });
            !is_valid && !advice.denied.contains(&option.worker)
        });
        let workers = unknown.take(WORKERS_PER_QUESTION);
        let workers: Vec<WorkerId> = workers.map(|option| option.worker.clone()).collect();
        if workers.is_empty() {
            return;
        }
        advice.asked_at = Some(now);
        self.questions.push(AdviceQuestion {
            step: step.clone(),
            workers,
        });
    }

    /// Forgets a permit that a worker did not accept.
    pub(super) fn drop_permit(&mut self, step: &StepId, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.permits.remove(worker);
        }
    }

    /// Forgets the steps of a job.
    pub(super) fn forget(&mut self, job: &JobId) {
        self.steps.retain(|step, _| step.job != *job);
    }
}

impl JobScheduler {
    /// Returns the questions to ask the advisor, one after the other.
    pub fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.advice.questions)
    }

    /// Takes in the advisor's answer; none if there was none.
    pub fn advice_answered(
        &mut self,
        question: &AdviceQuestion,
        answer: Option<&AdviceAnswer>,
        now: BootTime,
    ) {
        let lives: HashMap<&WorkerId, u64> = question
            .workers
            .iter()
            .filter_map(|worker| Some((worker, self.fleet.get(worker)?.born)))
            .collect();
        let Some(advice) = self.advice.steps.get_mut(&question.step) else {
            return;
        };
        advice.asked_at = None;
        self.may_place = true;
        let Some(answer) = answer else {
            return;
        };
        for permit in &answer.permits {
            let held = HeldPermit {
                ticket: permit.ticket.clone(),
                born: lives.get(&permit.worker).copied().unwrap_or(0),
                until: now + answer.valid_for,
            };
            advice.permits.insert(permit.worker.clone(), held);
        }
        let denied = question.workers.iter();
        let denied = denied.filter(|worker| {
            !answer
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

    /// Asks the advisor about the workers that a step might run on.
    pub(super) fn ask_advice(&mut self, step: &StepId, options: &[PlaceOption], now: BootTime) {
        self.advice.ask(step, options, now);
    }
}
