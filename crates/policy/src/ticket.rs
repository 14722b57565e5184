//! Requests as the decisions see them.

use std::time;

use redwing_model::{ClassName, CustomerName, RunOutcome, VmId};
use serde::{Deserialize, Serialize};

use crate::clock::NodeTime;

/// Number of a request within one entry process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// What the decisions need to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestTicket {
    /// Number of the request.
    pub id: TicketId,
    /// Class of work, named after its queue.
    pub class: ClassName,
    /// Customer that submitted it; `None` for a caller without a key on an open queue.
    pub customer: Option<CustomerName>,
    /// When its answer is due.
    pub deadline: NodeTime,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
}

/// Why a request is refused without having been executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its deadline passed, or cannot be met, while it was waiting.
    DeadlineUnmet,
    /// Too many requests of the customer are waiting.
    QueueFull,
    /// The class is not declared, or has no backend server at all.
    NoCapacity,
    /// Attempts on several backend servers failed before they ran.
    AttemptsExhausted,
    /// The process is stopping.
    Stopping,
}

/// What follows the report of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptVerdict {
    /// Nothing: the attempt's own result is the answer.
    Final,
    /// A dispatch or a refusal of the same request.
    Pending,
}

/// A refusal, with the time after which the caller may ask again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// When asking again makes sense, from now.
    pub retry_after: time::Duration,
    /// `NotRun`, unless an earlier attempt of the request may have run.
    pub outcome: RunOutcome,
}

/// How one attempt at a backend server ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptReport {
    /// VM whose backend server was asked.
    pub vm: VmId,
    /// What is known of the execution.
    pub outcome: RunOutcome,
    /// Whether the answer is evidence that the backend server is faulty.
    pub faulty: bool,
    /// Whether the request surely runs no longer on the backend server.
    pub ended: bool,
    /// Whether an answer has begun to reach the caller, so that no other
    /// attempt may follow.
    pub response_started: bool,
}
