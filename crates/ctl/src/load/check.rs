//! Checks of what the callers saw against what the backend servers saw.

use std::collections::HashMap;

use redwing_model::RunOutcome;
use serde::Serialize;

use super::experiment::LoadExperiment;
use super::record::{self, BodyCheck, ExecutionCounts, RequestEnd, RequestRecord};

/// Breaches kept word for word; the others are only counted.
const MAX_EXAMPLES: usize = 20;

/// Statuses that must say when to come back.
const RETRY_STATUSES: [u16; 2] = [429, 503];

/// One promise that was broken, with examples.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PromiseBreach {
    /// Which promise.
    pub promise: &'static str,
    /// How often.
    pub count: usize,
    /// Identifiers of some of the requests, with what was seen.
    pub examples: Vec<String>,
}

/// Checks every record and returns the promises that were broken.
///
/// Without `counts` the checks against the backend servers are left out.
pub fn check_promises(
    experiment: &LoadExperiment,
    run: u32,
    records: &[RequestRecord],
    counts: Option<&ExecutionCounts>,
) -> Vec<PromiseBreach> {
    let mut ledger = BreachLedger::default();
    for record in records {
        check_answer(&mut ledger, run, record);
    }
    if let Some(counts) = counts {
        check_executions(&mut ledger, experiment, run, records, counts);
    }
    ledger.breaches
}

/// Breaches found so far.
#[derive(Default)]
struct BreachLedger {
    breaches: Vec<PromiseBreach>,
}

impl BreachLedger {
    fn note(&mut self, promise: &'static str, run: u32, record: &RequestRecord, seen: &str) {
        let known = self.breaches.iter().position(|b| b.promise == promise);
        let index = known.unwrap_or_else(|| {
            self.breaches.push(PromiseBreach {
                promise,
                ..PromiseBreach::default()
            });
            self.breaches.len() - 1
        });
        let breach = &mut self.breaches[index];
        breach.count += 1;
        if breach.examples.len() < MAX_EXAMPLES {
            let identifier = record::identifier(run, record.request);
            breach.examples.push(format!("{identifier}: {seen}"));
        }
    }
}

/// Checks one answer by itself.
fn check_answer(ledger: &mut BreachLedger, run: u32, record: &RequestRecord) {
    let (status, outcome, retry_after, body) = match &record.end {
        RequestEnd::Answered {
            status,
            outcome,
            retry_after,
            body,
        } => (*status, *outcome, *retry_after, *body),
        RequestEnd::Broken {
            after_head,
            message,
        } => {
            let promise = if *after_head {
                "answers are complete"
            } else {
                "every request is answered"
            };
            ledger.note(promise, run, record, message);
            return;
        }
        RequestEnd::Cancelled | RequestEnd::NotSent => return,
    };
    if outcome.is_none() {
        let seen = format!("status {status} without a valid outcome");
        ledger.note("every answer states its outcome", run, record, &seen);
    }
    if RETRY_STATUSES.contains(&status) && !retry_after {
        let seen = format!("status {status} without Retry-After");
        ledger.note("a refusal says when to come back", run, record, &seen);
    }
    match body {
        Some(BodyCheck::Foreign) => {
            let seen = "the body names another request";
            ledger.note("answers reach their own caller", run, record, seen);
        }
        Some(BodyCheck::Damaged) => {
            let seen = "the body is not the one sent";
            ledger.note("answers are complete", run, record, seen);
        }
        Some(BodyCheck::DigestMismatch) => {
            let seen = "the backend server read another body";
            ledger.note("requests arrive whole", run, record, seen);
        }
        Some(BodyCheck::Own) | None => {}
    }
}

/// All sendings of one request.
#[derive(Default)]
struct SendingGroup<'a> {
    records: Vec<&'a RequestRecord>,
}

impl SendingGroup<'_> {
    /// Returns whether every sending was answered with `outcome`.
    fn all(&self, outcome: RunOutcome) -> bool {
        self.records.iter().all(|r| r.outcome() == Some(outcome))
    }

    /// Returns whether a sending was answered with `outcome`.
    fn any(&self, outcome: RunOutcome) -> bool {
        self.records.iter().any(|r| r.outcome() == Some(outcome))
    }
}

/// Checks the outcomes against the starts that the backend servers counted.
fn check_executions(
    ledger: &mut BreachLedger,
    experiment: &LoadExperiment,
    run: u32,
    records: &[RequestRecord],
    counts: &ExecutionCounts,
) {
    let mut groups: HashMap<u32, SendingGroup<'_>> = HashMap::new();
    for record in records {
        groups
            .entry(record.request)
            .or_default()
            .records
            .push(record);
    }
    for (request, group) in &groups {
        let identifier = record::identifier(run, *request);
        let starts = counts.executions.get(&identifier).copied().unwrap_or(0);
        let Some(first) = group.records.first() else {
            continue;
        };
        let stream = &experiment.streams[first.stream];
        // A refused duplicate may say `not-run` while the original ran.
        if starts > 0 && group.all(RunOutcome::NotRun) {
            let seen = format!("started {starts} times");
            ledger.note("not-run is true", run, first, &seen);
        }
        if starts == 0 && group.any(RunOutcome::Ran) {
            let seen = "no backend server started it";
            ledger.note("ran is true", run, first, seen);
        }
        if starts > 1 && !stream.repeatable {
            let seen = format!("started {starts} times");
            ledger.note(
                "a non-repeatable request runs at most once",
                run,
                first,
                &seen,
            );
        }
    }
}
