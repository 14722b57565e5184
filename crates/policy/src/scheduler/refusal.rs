//! Refusals and cancellations of requests that wait.

use std::cmp;
use std::time;

use redwing_model::{ClassName, RunOutcome};

use crate::clock::NodeTime;
use crate::scheduler::request::RequestState;
use crate::scheduler::{NodeScheduler, SchedulerAction};
use crate::ticket::{RefusalReason, RequestRefusal, TicketId};

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);

impl NodeScheduler {
    /// Cancels a request whose caller disconnected. The end of a running
    /// attempt must still be reported through [`finish`](Self::finish).
    pub fn cancel(&mut self, now: NodeTime, id: TicketId) {
        match self.requests.get_mut(&id) {
            Some(request) if request.is_waiting() => {
                self.remove_waiting(id);
            }
            Some(request) => request.cancelled = true,
            None => {}
        }
        self.flush(now);
    }

    /// Refuses every waiting request whose deadline has passed, or would pass
    /// before its end while other requests need the slots.
    pub(super) fn refuse_overdue(&mut self, now: NodeTime) {
        while let Some(cmp::Reverse((deadline, id))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            let Some(request) = self
                .requests
                .get(&id)
                .filter(|request| request.is_waiting())
            else {
                continue;
            };
            let class = request.ticket.class.clone();
            if self.will_miss_deadline(now, &class, id) {
                self.refuse_waiting(now, id, RefusalReason::DeadlineUnmet);
            }
        }
    }

    /// Removes a waiting request from its queue.
    pub(super) fn remove_waiting(&mut self, id: TicketId) -> Option<RequestState> {
        let request = self.requests.remove(&id)?;
        let requests = &self.requests;
        let still_waiting = |id| requests.get(&id).is_some_and(RequestState::is_waiting);
        if let Some(state) = self.classes.get_mut(&request.ticket.class) {
            state.queue.remove_waiting(request.customer, still_waiting);
        }
        self.reporter.mark(&request.ticket.class, request.customer);
        Some(request)
    }

    pub(super) fn refuse_waiting(&mut self, now: NodeTime, id: TicketId, reason: RefusalReason) {
        if let Some(request) = self.remove_waiting(id) {
            self.refuse(now, &request, reason);
        }
    }

    pub(super) fn refuse(&mut self, now: NodeTime, request: &RequestState, reason: RefusalReason) {
        let outcome = match request.maybe_ran {
            true => RunOutcome::Unknown,
            false => RunOutcome::NotRun,
        };
        let wait = self.expected_wait(now, &request.ticket.class, request.customer);
        self.push_refusal(request.ticket.id, reason, wait, outcome);
    }

    pub(super) fn refuse_new(&mut self, id: TicketId, class: &ClassName, reason: RefusalReason) {
        let wait = self.classes.get(class).map(|state| {
            let slots = f64::from(state.queue.slots());
            let ahead = state.queue.waiting() as f64;
            state.estimate.class_mean().mul_f64(ahead / slots)
        });
        self.push_refusal(id, reason, wait.unwrap_or_default(), RunOutcome::NotRun);
    }

    fn push_refusal(
        &mut self,
        id: TicketId,
        reason: RefusalReason,
        wait: time::Duration,
        outcome: RunOutcome,
    ) {
        let refusal = RequestRefusal {
            reason,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            outcome,
        };
        self.actions.push(SchedulerAction::Refuse { id, refusal });
    }
}
