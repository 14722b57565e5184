//! Requests, refusals and attempt reports as the scheduler handles them.

use std::time;

use redwing_model::{ClassName, CustomerName, RunOutcome, VmId};
use serde::{Deserialize, Serialize};

use crate::clock::NodeTime;

/// Number of a request within one entry process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Properties of a request that the scheduler uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestTicket {
    /// Number of the request.
    pub id: TicketId,
    /// Class of work, named after its queue.
    pub class: ClassName,
    /// Customer that submitted the request; `None` for a caller without a key
    /// on an open queue.
    pub customer: Option<CustomerName>,
    /// When the response is due.
    pub deadline: NodeTime,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The deadline passed or cannot be met.
    DeadlineUnmet,
    /// Too many requests of the customer are waiting.
    QueueFull,
    /// The class is not declared, or has no backend server at all.
    NoCapacity,
    /// The last attempt did not run, and the maximum number of attempts or the
    /// retry budget is used up.
    AttemptsExhausted,
    /// The process is stopping.
    Stopping,
}

/// Next step of a request after the report of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptVerdict {
    /// The attempt's result is the response; no further action follows.
    Final,
    /// A dispatch or a refusal of the same request follows.
    Pending,
}

/// A refusal, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Time from now after which a retry makes sense.
    pub retry_after: time::Duration,
    /// `NotRun`, unless an earlier attempt of the request may have run.
    pub outcome: RunOutcome,
}

/// Report of an ended attempt on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptReport {
    /// VM of the backend server.
    pub vm: VmId,
    /// Whether the request ran, as far as could be determined.
    pub outcome: RunOutcome,
    /// Whether the result indicates that the backend server is faulty.
    pub faulty: bool,
    /// Whether the request is certain to run no longer on the backend server.
    pub ended: bool,
    /// Whether sending a response to the caller has started, so that no other
    /// attempt may follow.
    pub response_started: bool,
}
