//! Ended attempts: their tokens, their charge and what follows.

use std::cmp;

use redwing_model::RunOutcome;

use crate::clock::NodeTime;
use crate::fair_queue::duration_micros;
use crate::scheduler::NodeScheduler;
use crate::scheduler::request::{RequestState, RunningAttempt};
use crate::ticket::{AttemptReport, AttemptVerdict, RefusalReason, TicketId};

impl NodeScheduler {
    /// Processes the report of an ended attempt; returns whether another action
    /// for the request follows.
    pub fn finish(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> AttemptVerdict {
        let customer = self
            .requests
            .get(&id)
            .and_then(|request| request.ticket.customer.as_ref());
        let blocked = customer.is_some_and(|customer| self.blocked_customers.contains(customer));
        let Some(attempt) = self.end_attempt(now, id, report) else {
            return AttemptVerdict::Final;
        };
        let verdict = self.decide_next(now, id, report);
        self.dispatch_to_worker(now, &attempt.vm);
        if blocked && let Some(permit) = &attempt.permit {
            self.dispatch_customer(now, &permit.pool);
        }
        self.flush(now);
        verdict
    }

    /// Releases the tokens of an ended attempt and corrects its charge.
    fn end_attempt(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> Option<RunningAttempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        let class = request.ticket.class.clone();
        let (customer, tried) = (request.customer, request.tried.clone());
        self.running -= 1;
        let used = now.saturating_since(attempt.started);
        if let Some(state) = self.classes.get_mut(&class) {
            let name = state.queue.name(customer).cloned();
            if report.outcome == RunOutcome::Ran && !report.faulty {
                state.estimate.record(name.as_ref(), used);
            }
            state.queue.stop(customer);
            let correction = duration_micros(used) - attempt.charged;
            state.queue.charge(customer, correction);
            self.reporter.charge(&class, customer, correction);
            let class_workers = self.workers.total(&class);
            let failed = report.faulty;
            let vm = &attempt.vm;
            if failed {
                for earlier in tried.iter().filter(|earlier| *earlier != vm) {
                    self.detector.retract_failure(earlier);
                }
            }
            if self
                .detector
                .record(now, vm, &class, name.as_ref(), failed, class_workers)
            {
                self.workers.set_health(vm, self.detector.health(vm));
            }
        }
        self.workers.stop(&attempt.vm);
        self.release_tokens(now, &attempt, report.ended);
        Some(attempt)
    }

    fn release_tokens(&mut self, now: NodeTime, attempt: &RunningAttempt, ended: bool) {
        let until = now + self.settings.task_lease;
        for token in [Some(&attempt.slot), attempt.permit.as_ref()]
            .into_iter()
            .flatten()
        {
            match ended {
                true => self.ledger.release(now, token),
                false => self.ledger.quarantine(until, token),
            }
            self.refresh_pool(&token.pool);
        }
    }

    /// Requeues or refuses the request, or leaves the attempt's result as final.
    fn decide_next(
        &mut self,
        now: NodeTime,
        id: TicketId,
        report: &AttemptReport,
    ) -> AttemptVerdict {
        let Some(mut request) = self.requests.remove(&id) else {
            return AttemptVerdict::Final;
        };
        request.maybe_ran |= report.outcome != RunOutcome::NotRun;
        let is_lost = report.faulty && report.outcome == RunOutcome::Unknown;
        request.lost_attempts += u32::from(is_lost);
        let failed = report.faulty || report.outcome != RunOutcome::Ran;
        let allowed = !request.maybe_ran || request.ticket.repeatable;
        if request.cancelled || report.response_started || !failed || !allowed {
            return AttemptVerdict::Final;
        }
        let in_time = request.ticket.deadline > now;
        let exhausted = request.attempts >= self.settings.max_attempts
            || request.lost_attempts >= self.settings.max_lost_attempts;
        if in_time && !exhausted && self.budget.spend() {
            self.enqueue(now, request);
            return AttemptVerdict::Pending;
        }
        if report.outcome != RunOutcome::NotRun {
            return AttemptVerdict::Final;
        }
        let reason = match in_time {
            true => RefusalReason::AttemptsExhausted,
            false => RefusalReason::DeadlineUnmet,
        };
        self.refuse(now, &request, reason);
        AttemptVerdict::Pending
    }

    /// Charges attempts that run longer than expected for the time used so far.
    pub(super) fn charge_overruns(&mut self, now: NodeTime) {
        while let Some(cmp::Reverse((due, id))) = self.overrun_checks.peek().copied() {
            if due > now {
                break;
            }
            self.overrun_checks.pop();
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let Some(attempt) = &mut request.attempt else {
                continue;
            };
            let used = now.saturating_since(attempt.started);
            let extra = duration_micros(used) - attempt.charged;
            if extra <= 0 {
                continue;
            }
            attempt.charged += extra;
            let class = &request.ticket.class;
            if let Some(state) = self.classes.get_mut(class) {
                state.queue.charge(request.customer, extra);
                self.reporter.charge(class, request.customer, extra);
            }
            self.overrun_checks.push(cmp::Reverse((now + used, id)));
        }
    }

    /// Returns the latest start time at which a request is expected to end
    /// before its deadline.
    pub(super) fn last_start(&self, request: &RequestState) -> Option<NodeTime> {
        let state = self.classes.get(&request.ticket.class)?;
        let run = state
            .estimate
            .expected_run(request.ticket.customer.as_ref());
        let deadline = request.ticket.deadline.since_start();
        let has_enough_runs = state.estimate.has_enough_runs();
        has_enough_runs.then(|| deadline.saturating_sub(run).into())
    }
}
