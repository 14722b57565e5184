//! Records of requests.

use std::collections::HashMap;
use std::time;

use redwing_model::RunOutcome;
use serde::{Deserialize, Serialize};

/// Result of a request, as observed by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestResult {
    /// A complete response was received.
    Completed {
        /// HTTP status.
        status: u16,
        /// Value of the `Redwing-Outcome` header, if present and valid.
        outcome: Option<RunOutcome>,
        /// Whether the response has a `Retry-After` header.
        retry_after: bool,
        /// Check of the body; `None` for a response of the entry process itself.
        body: Option<BodyCheck>,
    },
    /// The connection failed or timed out before the response was complete.
    Broken {
        /// Whether the headers of a response were received.
        after_headers: bool,
        /// Error message.
        message: String,
    },
    /// The caller cancelled the request, as scheduled.
    Cancelled,
    /// The request was not sent, because too many were in flight.
    NotSent,
}

/// Result of comparing an echoed body with the body that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyCheck {
    /// The body and the digest match the body that was sent.
    Match,
    /// The body belongs to another request.
    OtherRequest,
    /// The body has another length than the one sent, or is corrupt.
    Corrupt,
    /// The digest of the body that the backend server read does not match.
    DigestMismatch,
}

/// One request and its result.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Number of the request; a duplicate has the number of its original.
    pub request: u32,
    /// Index of the stream.
    pub stream: usize,
    /// Index of the target.
    pub target: usize,
    /// Scheduled time, since the start of the experiment.
    pub scheduled: time::Duration,
    /// Time at which the request was sent, since the start of the experiment.
    pub sent: time::Duration,
    /// Time at which the request ended, since the start of the experiment.
    pub ended: time::Duration,
    /// Result of the request.
    pub result: RequestResult,
}

impl RequestRecord {
    /// Returns the outcome that the response states.
    pub fn outcome(&self) -> Option<RunOutcome> {
        match &self.result {
            RequestResult::Completed { outcome, .. } => *outcome,
            _ => None,
        }
    }

    /// Returns the time from the scheduled time to the end of the request.
    pub fn latency(&self) -> time::Duration {
        self.ended.saturating_sub(self.scheduled)
    }
}

/// Number of times that backend servers executed each request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExecutionCounts {
    /// Number of started executions by identifier of the request.
    pub executions: HashMap<String, u64>,
}

impl ExecutionCounts {
    /// Adds the counts of another backend server.
    pub fn merge(&mut self, other: Self) {
        for (request, count) in other.executions {
            *self.executions.entry(request).or_default() += count;
        }
    }
}

/// Returns the identifier that is sent with a request to the backend server.
///
/// `run_id` distinguishes experiments that use the same backend servers.
pub(super) fn request_id(run_id: u32, request: u32) -> String {
    format!("{run_id:08x}{request:08x}")
}

/// Returns a body of `length` bytes that repeats the identifier of its request.
pub(super) fn request_body(request_id: &str, length: usize) -> Vec<u8> {
    request_id.bytes().cycle().take(length).collect()
}
