//! One attempt at a backend server, from its dispatch to its report.

use std::rc;
use std::task;

use actix_http::Response;
use actix_http::body::{self, BodySize, BoxBody};
use bytes::Bytes;
use redwing_model::{RunOutcome, VmId};
use redwing_policy::{AttemptReport, TicketId};
use tokio::sync::oneshot;

use crate::answer::{self, EntryResponse};
use crate::control::{ControlCommand, ControlHandle, DispatchOrder, RequestVerdict};
use crate::dispatch::RequestDispatcher;
use crate::event;
use crate::exchange::{AnswerHead, BackendExchange, ExchangeFailure, ExchangeFault};
use crate::metrics::RequestMetrics;
use crate::once::RequestClaim;
use crate::settings::PathLimits;
use crate::stream::AnswerBody;

/// Attempt at a backend server. If it is dropped before its end, its request
/// is cancelled and the exchange goes on unseen.
pub struct RunningAttempt {
    exchange: Option<BackendExchange>,
    claim: RequestClaim,
    control: ControlHandle,
    metrics: RequestMetrics,
    limits: rc::Rc<PathLimits>,
    id: TicketId,
    vm: VmId,
    attempt: u32,
    server_error: bool,
    unseen: bool,
}

impl RunningAttempt {
    /// Creates an attempt for a request of `dispatcher`.
    pub fn new(
        dispatcher: &RequestDispatcher,
        id: TicketId,
        order: DispatchOrder,
        exchange: BackendExchange,
        claim: RequestClaim,
    ) -> Self {
        Self {
            exchange: Some(exchange),
            claim,
            control: dispatcher.control.clone(),
            metrics: dispatcher.metrics.clone(),
            limits: rc::Rc::clone(&dispatcher.limits),
            id,
            vm: order.vm,
            attempt: order.attempt,
            server_error: false,
            unseen: false,
        }
    }

    /// Returns whether a byte of the request was sent.
    pub fn has_written(&self) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(BackendExchange::has_written)
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer cannot begin; the attempt must be reported then.
    pub async fn head(&mut self) -> Result<AnswerHead, ExchangeFailure> {
        match &mut self.exchange {
            Some(exchange) => exchange.head().await,
            None => Err(ExchangeFailure {
                fault: ExchangeFault::Broken,
                outcome: RunOutcome::Unknown,
            }),
        }
    }

    /// Returns the response whose body is the rest of this attempt.
    pub fn into_response(mut self, head: AnswerHead) -> EntryResponse {
        self.server_error = head.status.is_server_error();
        let body = match head.size {
            BodySize::None => self.into_empty_body(BoxBody::new(body::None::new())),
            BodySize::Sized(0) => self.into_empty_body(BoxBody::new(())),
            size => {
                let limit = self.limits.answer_timeout;
                BoxBody::new(AnswerBody::new(self, size, limit))
            }
        };
        let mut response = Response::with_body(head.status, body);
        *response.headers_mut() = head.headers;
        answer::mark_outcome(&mut response, RunOutcome::Ran);
        response
    }

    /// Ends the attempt itself, since nobody reads an empty body to its end.
    fn into_empty_body(mut self, body: BoxBody) -> BoxBody {
        if let Some(exchange) = self.exchange.take() {
            self.follow_unseen(exchange);
        }
        body
    }

    /// Polls for the next piece of the answer body; reports the end.
    ///
    /// # Errors
    ///
    /// Fails if the answer broke off.
    pub fn poll_chunk(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, ExchangeFailure>>> {
        let Some(exchange) = self.exchange.as_mut() else {
            return task::Poll::Ready(None);
        };
        let next = task::ready!(exchange.poll_chunk(context));
        match &next {
            Some(Ok(_)) => {}
            Some(Err(failure)) => self.truncate(*failure),
            None => self.end_complete(),
        }
        task::Poll::Ready(next)
    }

    /// Reports an answer that broke off.
    pub fn truncate(&mut self, failure: ExchangeFailure) {
        log_event!(
            warn,
            event::ANSWER_TRUNCATED,
            "request {} at {}: {}",
            self.id.0,
            self.vm,
            failure.fault
        );
        self.end_failed(failure);
    }

    /// Reports the failure and returns where the next verdict arrives.
    pub fn retry(mut self, failure: ExchangeFailure) -> oneshot::Receiver<RequestVerdict> {
        self.note_failure(failure);
        self.exchange = None;
        let report = self.report(failure, false);
        self.control.retry(self.id, report)
    }

    /// Reports the failure; no other attempt follows.
    pub fn give_up(mut self, failure: ExchangeFailure) {
        self.end_failed(failure);
    }

    fn end_failed(&mut self, failure: ExchangeFailure) {
        self.note_failure(failure);
        self.exchange = None;
        self.claim.end(failure.outcome);
        let report = self.report(failure, true);
        self.control.finish(self.id, report);
    }

    fn end_complete(&mut self) {
        self.claim.end(RunOutcome::Ran);
        self.metrics.count_attempt("complete");
        self.exchange = None;
        let report = AttemptReport {
            vm: self.vm.clone(),
            outcome: RunOutcome::Ran,
            faulty: self.server_error,
            ended: true,
            response_started: true,
        };
        self.control.finish(self.id, report);
    }

    fn report(&self, failure: ExchangeFailure, answered: bool) -> AttemptReport {
        AttemptReport {
            vm: self.vm.clone(),
            outcome: failure.outcome,
            faulty: failure.fault.is_faulty(),
            ended: failure.outcome == RunOutcome::NotRun,
            response_started: answered,
        }
    }

    fn note_failure(&self, failure: ExchangeFailure) {
        self.metrics.count_attempt(failure.fault.as_str());
        log_event!(
            debug,
            event::ATTEMPT_FAILED,
            "request {} attempt {} at {}: {}, outcome {}",
            self.id.0,
            self.attempt,
            self.vm,
            failure.fault,
            failure.outcome
        );
    }

    /// Lets the exchange go on without the caller.
    fn follow_unseen(&self, exchange: BackendExchange) {
        let attempt = Self {
            exchange: Some(exchange),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
            limits: rc::Rc::clone(&self.limits),
            vm: self.vm.clone(),
            claim: self.claim.clone(),
            unseen: true,
            ..*self
        };
        actix_rt::spawn(attempt.follow());
    }

    /// Follows the exchange to its end, for as long as it may run on.
    async fn follow(mut self) {
        let lease = self.limits.task_lease;
        let Some(exchange) = self.exchange.as_mut() else {
            return;
        };
        let result = tokio::time::timeout(lease, exchange.discard()).await;
        match result {
            Ok(Ok(())) => self.end_complete(),
            Ok(Err(failure)) => self.end_failed(failure),
            Err(_) => self.end_failed(ExchangeFailure {
                fault: ExchangeFault::Broken,
                outcome: RunOutcome::Unknown,
            }),
        }
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        self.control.send(ControlCommand::Cancel(self.id));
        if self.unseen || !exchange.has_written() {
            let failure = ExchangeFailure {
                fault: ExchangeFault::Unreachable,
                outcome: match exchange.has_written() {
                    true => RunOutcome::Unknown,
                    false => RunOutcome::NotRun,
                },
            };
            drop(exchange);
            self.claim.end(failure.outcome);
            let mut report = self.report(failure, true);
            report.faulty = false;
            self.control.finish(self.id, report);
            return;
        }
        self.metrics.count_attempt("abandoned");
        self.follow_unseen(exchange);
    }
}
