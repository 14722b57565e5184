//! Checks of the responses, and of their outcomes against the execution counts of
//! the backend servers.

use std::collections::HashMap;

use redwing_model::RunOutcome;
use serde::Serialize;

use super::experiment::LoadExperiment;
use super::record::{self, BodyCheck, ExecutionCounts, RequestRecord, RequestResult};

/// Maximum number of examples of a violated guarantee; further violations are
/// only counted.
const MAX_EXAMPLES: usize = 20;

/// Statuses of responses that must have a `Retry-After` header.
const RETRY_STATUSES: [u16; 2] = [429, 503];

/// One guarantee that was violated, with examples.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct GuaranteeViolation {
    /// Guarantee that was violated.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Number of violations.
    pub count: usize,
    /// Identifiers of some of the requests, with the observation.
    pub examples: Vec<String>,
}

/// Checks every record and returns the guarantees that were violated.
///
/// Without `counts`, outcomes are not checked against execution counts.
pub fn check_guarantees(
    experiment: &LoadExperiment,
    run_id: u32,
    records: &[RequestRecord],
    counts: Option<&ExecutionCounts>,
) -> Vec<GuaranteeViolation> {
    let mut log = ViolationLog::default();
    for record in records {
        check_response(&mut log, run_id, record);
    }
    if let Some(counts) = counts {
        check_executions(&mut log, experiment, run_id, records, counts);
    }
    log.violations
}

/// Violations found so far.
#[derive(Default)]
struct ViolationLog {
    violations: Vec<GuaranteeViolation>,
}

impl ViolationLog {
    fn record_violation(
        &mut self,
        guarantee: &'static str,
        run_id: u32,
        record: &RequestRecord,
        observation: &str,
    ) {
        let existing = self
            .violations
            .iter()
            .position(|violation| violation.guarantee == guarantee);
        let index = existing.unwrap_or_else(|| {
            self.violations.push(GuaranteeViolation {
                guarantee,
                ..GuaranteeViolation::default()
            });
            self.violations.len() - 1
        });
        let violation = &mut self.violations[index];
        violation.count += 1;
        if violation.examples.len() < MAX_EXAMPLES {
            let request_id = record::request_id(run_id, record.request);
            violation
                .examples
                .push(format!("{request_id}: {observation}"));
        }
    }
}

/// Checks one response without execution counts.
fn check_response(log: &mut ViolationLog, run_id: u32, record: &RequestRecord) {
    let (status, outcome, retry_after, body) = match &record.result {
        RequestResult::Completed {
            status,
            outcome,
            retry_after,
            body,
        } => (*status, *outcome, *retry_after, *body),
        RequestResult::Broken {
            after_headers,
            message,
        } => {
            let guarantee = if *after_headers {
                "answers are complete"
            } else {
                "every request is answered"
            };
            log.record_violation(guarantee, run_id, record, message);
            return;
        }
        RequestResult::Cancelled | RequestResult::NotSent => return,
    };
    if outcome.is_none() {
        let observation = format!("status {status} without a valid outcome");
        log.record_violation(
            "every answer states its outcome",
            run_id,
            record,
            &observation,
        );
    }
    if RETRY_STATUSES.contains(&status) && !retry_after {
        let observation = format!("status {status} without Retry-After");
        log.record_violation(
            "a refusal says when to come back",
            run_id,
            record,
            &observation,
        );
    }
    match body {
        Some(BodyCheck::OtherRequest) => {
            let observation = "the body belongs to another request";
            log.record_violation(
                "answers reach their own caller",
                run_id,
                record,
                observation,
            );
        }
        Some(BodyCheck::Corrupt) => {
            let observation = "the body differs from the one sent";
            log.record_violation("answers are complete", run_id, record, observation);
        }
        Some(BodyCheck::DigestMismatch) => {
            let observation = "the backend server read a different body";
            log.record_violation("requests arrive whole", run_id, record, observation);
        }
        Some(BodyCheck::Match) | None => {}
    }
}

/// Records of one request and its duplicates.
#[derive(Default)]
struct RequestCopies<'a> {
    records: Vec<&'a RequestRecord>,
}

impl RequestCopies<'_> {
    /// Returns whether every copy has `outcome`.
    fn all(&self, outcome: RunOutcome) -> bool {
        self.records.iter().all(|r| r.outcome() == Some(outcome))
    }

    /// Returns whether any copy has `outcome`.
    fn any(&self, outcome: RunOutcome) -> bool {
        self.records.iter().any(|r| r.outcome() == Some(outcome))
    }
}

/// Checks the outcomes against the execution counts of the backend servers.
fn check_executions(
    log: &mut ViolationLog,
    experiment: &LoadExperiment,
    run_id: u32,
    records: &[RequestRecord],
    counts: &ExecutionCounts,
) {
    let mut requests: HashMap<u32, RequestCopies<'_>> = HashMap::new();
    for record in records {
        requests
            .entry(record.request)
            .or_default()
            .records
            .push(record);
    }
    for (request, copies) in &requests {
        let request_id = record::request_id(run_id, *request);
        let executions = counts.executions.get(&request_id).copied().unwrap_or(0);
        let Some(first) = copies.records.first() else {
            continue;
        };
        let stream = &experiment.streams[first.stream];
        // A refused duplicate may have outcome `not-run` while the original ran.
        if executions > 0 && copies.all(RunOutcome::NotRun) {
            let observation = format!("executed {executions} times");
            log.record_violation("not-run is true", run_id, first, &observation);
        }
        if executions == 0 && copies.any(RunOutcome::Ran) {
            let observation = "no backend server executed it";
            log.record_violation("ran is true", run_id, first, observation);
        }
        if executions > 1 && !stream.repeatable {
            let observation = format!("executed {executions} times");
            log.record_violation(
                "a non-repeatable request runs at most once",
                run_id,
                first,
                &observation,
            );
        }
    }
}
