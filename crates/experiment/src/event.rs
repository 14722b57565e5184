//! Events in simulated time, in their order.

use std::cmp::{self, Reverse};
use std::collections::BinaryHeap;
use std::sync;

use redwing_jobs::admission::BacklogSummary;
use redwing_jobs::scheduler::ChangeSet;
use redwing_jobs::worker::{OrderOutcome, RenewalReport, WorkerOrder};
use redwing_jobs::{BootTime, TaskId, WorkerId};

/// Something that happens at a point in time.
#[derive(Debug)]
pub(crate) enum SimulationEvent {
    /// A caller submits a job, after a number of refusals.
    Submit(usize, u64),
    /// The owner reads the row of an accepted job.
    JobRead(usize),
    /// A run ends if it was not stopped or lost.
    RunEnd(WorkerId, TaskId, u32),
    /// The longest wait of a held renewal ends.
    HoldEnd(WorkerId, BootTime),
    /// An order arrives at its worker.
    Order(WorkerOrder),
    /// The owner gets a response, or gives up waiting for it.
    Response(WorkerOrder, OrderOutcome, Option<RenewalReport>),
    /// Rows are stored.
    Stored(ChangeSet),
    /// An entry VM reads the published backlogs.
    BacklogRead(usize, sync::Arc<BacklogSummary>),
    /// A lost rack of the load goes down.
    RackLost(usize),
    /// A lost rack of the load comes back.
    RackBack(usize),
    /// A machine has moved.
    MoveEnd(usize),
}

/// Event in the queue; earlier ones go first, then those added first.
#[derive(Debug)]
struct QueuedEvent {
    at_ms: u64,
    number: u64,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// Events that have not happened yet.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    events: BinaryHeap<Reverse<QueuedEvent>>,
    added: u64,
}

impl EventQueue {
    /// Adds an event; those of one time happen in the order in which they were added.
    pub(crate) fn push(&mut self, at_ms: u64, event: SimulationEvent) {
        self.added += 1;
        self.events.push(Reverse(QueuedEvent {
            at_ms,
            number: self.added,
            event,
        }));
    }

    /// Takes the first event if it happens by `end_ms`, with its time.
    pub(crate) fn pop_until(&mut self, end_ms: u64) -> Option<(u64, SimulationEvent)> {
        self.events.peek().filter(|next| next.0.at_ms <= end_ms)?;
        let Reverse(next) = self.events.pop()?;
        Some((next.at_ms, next.event))
    }
}
