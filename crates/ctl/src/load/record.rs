//! What happened to each request.

use std::collections::HashMap;
use std::time;

use redwing_model::RunOutcome;
use serde::{Deserialize, Serialize};

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    /// A whole answer came.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of the `Redwing-Outcome` header, if it was there and valid.
        outcome: Option<RunOutcome>,
        /// Whether the answer says when to come back.
        retry_after: bool,
        /// What the body shows; `None` for an answer of the entry process itself.
        body: Option<BodyCheck>,
    },
    /// The connection ended, or stayed silent, before a whole answer came.
    Broken {
        /// Whether the head of an answer had come.
        after_head: bool,
        /// Message of the client library.
        message: String,
    },
    /// The caller gave up, as the schedule asked.
    Cancelled,
    /// The request was not sent, because too many were in flight.
    NotSent,
}

/// What the body of an answer shows about its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyCheck {
    /// It is the body that was sent, and the digest agrees.
    Own,
    /// It belongs to another request.
    Foreign,
    /// It is shorter or longer than what was sent, or damaged.
    Damaged,
    /// The digest of what the backend server read is not that of what was sent.
    DigestMismatch,
}

/// One request and its end.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Number of the request; a duplicate has the number of its original.
    pub request: u32,
    /// Index of the stream.
    pub stream: usize,
    /// Index of the target.
    pub target: usize,
    /// Scheduled time, from the start of the experiment.
    pub scheduled: time::Duration,
    /// Time at which it was sent.
    pub sent: time::Duration,
    /// Time at which it ended.
    pub ended: time::Duration,
    /// How it ended.
    pub end: RequestEnd,
}

impl RequestRecord {
    /// Returns the outcome that the answer states.
    pub fn outcome(&self) -> Option<RunOutcome> {
        match &self.end {
            RequestEnd::Answered { outcome, .. } => *outcome,
            _ => None,
        }
    }

    /// Returns the time from the scheduled time to the end.
    pub fn latency(&self) -> time::Duration {
        self.ended.saturating_sub(self.scheduled)
    }
}

/// How often the backend servers started each request.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ExecutionCounts {
    /// Number of starts by identifier of the request.
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

/// Returns the identifier that a request carries to the backend server.
///
/// `run` tells experiments apart that use the same backend servers.
pub(super) fn identifier(run: u32, request: u32) -> String {
    format!("{run:08x}{request:08x}")
}

/// Returns a body of `length` bytes in which every part names its request.
pub(super) fn body_of(identifier: &str, length: usize) -> Vec<u8> {
    identifier.bytes().cycle().take(length).collect()
}
