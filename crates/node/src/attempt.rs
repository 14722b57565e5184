//! One attempt to run a request on a backend server, from dispatch to report.

use std::rc;
use std::task;

use actix_http::Response;
use actix_http::body::{self, BodySize, BoxBody};
use bytes::Bytes;
use redwing_model::{RunOutcome, VmId};
use redwing_policy::{AttemptReport, TicketId};
use tokio::sync::oneshot;

use crate::at_most_once::RequestClaim;
use crate::control::{ControlCommand, ControlHandle, DispatchOrder, RequestVerdict};
use crate::dispatch::RequestDispatcher;
use crate::event;
use crate::exchange::{BackendExchange, ExchangeFailure, FailureKind, ResponseHead};
use crate::metrics::RequestMetrics;
use crate::response::{self, EntryResponse};
use crate::response_body::ResponseBody;
use crate::settings::PathLimits;

/// Attempt to run a request on a backend server.
///
/// If it is dropped early, its request is cancelled. If bytes of the request
/// were already sent, the exchange continues in a detached task.
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
    detached: bool,
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
            detached: false,
        }
    }

    /// Returns whether a byte of the request was sent.
    pub fn has_written(&self) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(BackendExchange::has_written)
    }

    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives; the caller must then call
    /// [`retry`](Self::retry) or [`give_up`](Self::give_up).
    pub async fn head(&mut self) -> Result<ResponseHead, ExchangeFailure> {
        match &mut self.exchange {
            Some(exchange) => exchange.head().await,
            None => Err(ExchangeFailure {
                kind: FailureKind::Broken,
                outcome: RunOutcome::Unknown,
            }),
        }
    }

    /// Returns the response, whose body streams the rest of this attempt.
    pub fn into_response(mut self, head: ResponseHead) -> EntryResponse {
        self.server_error = head.status.is_server_error();
        let body = match head.size {
            BodySize::None => self.into_empty_body(BoxBody::new(body::None::new())),
            BodySize::Sized(0) => self.into_empty_body(BoxBody::new(())),
            size => {
                let idle_timeout = self.limits.answer_timeout;
                BoxBody::new(ResponseBody::new(self, size, idle_timeout))
            }
        };
        let mut response = Response::with_body(head.status, body);
        *response.headers_mut() = head.headers;
        response::set_outcome_header(&mut response, RunOutcome::Ran);
        response
    }

    /// Finishes the attempt in a detached task, since the HTTP library does not
    /// poll an empty body to its end.
    fn into_empty_body(mut self, body: BoxBody) -> BoxBody {
        if let Some(exchange) = self.exchange.take() {
            self.spawn_detached(exchange);
        }
        body
    }

    /// Polls for the next chunk of the response body; reports the attempt when
    /// the body ends.
    ///
    /// # Errors
    ///
    /// Fails if the response is truncated.
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
            Some(Err(failure)) => self.fail_truncated(*failure),
            None => self.end_complete(),
        }
        task::Poll::Ready(next)
    }

    /// Reports a truncated response.
    pub fn fail_truncated(&mut self, failure: ExchangeFailure) {
        log_event!(
            warn,
            event::ANSWER_TRUNCATED,
            "request {} at {}: response truncated ({}); aborting the caller's connection",
            self.id.0,
            self.vm,
            failure.kind
        );
        self.end_failed(failure);
    }

    /// Reports the failure and returns the receiver of the next verdict.
    pub fn retry(mut self, failure: ExchangeFailure) -> oneshot::Receiver<RequestVerdict> {
        self.record_failure(failure);
        self.exchange = None;
        let report = self.report(failure, false);
        self.control.retry(self.id, report)
    }

    /// Reports the failure as final; the request is not retried.
    pub fn give_up(mut self, failure: ExchangeFailure) {
        self.end_failed(failure);
    }

    fn end_failed(&mut self, failure: ExchangeFailure) {
        self.record_failure(failure);
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

    fn report(&self, failure: ExchangeFailure, is_final: bool) -> AttemptReport {
        AttemptReport {
            vm: self.vm.clone(),
            outcome: failure.outcome,
            faulty: failure.kind.is_backend_error(),
            ended: failure.outcome == RunOutcome::NotRun,
            response_started: is_final,
        }
    }

    fn record_failure(&self, failure: ExchangeFailure) {
        self.metrics.count_attempt(failure.kind.as_str());
        log_event!(
            debug,
            event::ATTEMPT_FAILED,
            "request {} attempt {} at {} failed: {}, outcome {}",
            self.id.0,
            self.attempt,
            self.vm,
            failure.kind,
            failure.outcome
        );
    }

    /// Continues the exchange in a task of its own, without the caller.
    fn spawn_detached(&self, exchange: BackendExchange) {
        let attempt = Self {
            exchange: Some(exchange),
            control: self.control.clone(),
            metrics: self.metrics.clone(),
            limits: rc::Rc::clone(&self.limits),
            vm: self.vm.clone(),
            claim: self.claim.clone(),
            detached: true,
            ..*self
        };
        actix_rt::spawn(attempt.run_detached());
    }

    /// Discards the response up to its end, for at most the task lease.
    async fn run_detached(mut self) {
        let lease = self.limits.task_lease;
        let Some(exchange) = self.exchange.as_mut() else {
            return;
        };
        let result = tokio::time::timeout(lease, exchange.discard()).await;
        match result {
            Ok(Ok(())) => self.end_complete(),
            Ok(Err(failure)) => self.end_failed(failure),
            Err(_) => self.end_failed(ExchangeFailure {
                kind: FailureKind::Broken,
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
        if self.detached || !exchange.has_written() {
            let failure = ExchangeFailure {
                kind: FailureKind::Unreachable,
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
        self.spawn_detached(exchange);
    }
}
