//! The way of a request from the queue to a backend server and back.
//!
//! A request waits for the scheduler's verdict, is sent, and is sent again
//! only while that cannot execute it twice against the caller's will. When
//! its caller has gone or got its answer, the exchange goes on unseen, since
//! only its end tells that the backend server's slot is free again.

use std::future::Future;
use std::pin;
use std::rc;
use std::task;
use std::time;

use actix_http::body::{self, BodySize, BoxBody, MessageBody};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, Response, StatusCode};
use bytes::Bytes;
use redwing_model::{RunOutcome, VmId};
use redwing_policy::ticket::RequestRefusal;
use redwing_policy::{AttemptReport, NodeTime, RequestTicket, TicketId};
use tokio::sync::oneshot;

use crate::answer::{self, EntryResponse, ProblemAnswer, ProblemKind};
use crate::control::{self, ControlCommand, ControlHandle, DispatchOrder, RequestVerdict};
use crate::event;
use crate::exchange::{AnswerHead, BackendClient, BackendExchange, ExchangeFailure, ExchangeFault};
use crate::gate::AdmittedRequest;
use crate::metrics::PathMetrics;
use crate::relay::{BodyFault, CallerBody};
use crate::settings::PathLimits;

/// When to ask again after backend servers failed.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// What a traffic thread needs to dispatch requests.
#[derive(Clone)]
pub struct RequestDispatcher {
    /// Way to the scheduler.
    pub control: ControlHandle,
    /// Client for backend servers.
    pub client: BackendClient,
    /// Bounds of the request path.
    pub limits: rc::Rc<PathLimits>,
    /// Counters of the request path.
    pub metrics: PathMetrics,
}

/// Request on its way, with what its attempts brought so far.
struct RequestRun<'a> {
    dispatcher: &'a RequestDispatcher,
    head: &'a RequestHead,
    request: &'a AdmittedRequest,
    body: &'a CallerBody,
    id: TicketId,
    deadline: NodeTime,
    outcome: RunOutcome,
    attempts: u32,
}

impl RequestDispatcher {
    /// Runs a request and returns the answer, whose body may still stream.
    pub async fn run(
        &self,
        head: &RequestHead,
        request: &AdmittedRequest,
        body: &CallerBody,
        deadline: NodeTime,
    ) -> EntryResponse {
        let run = RequestRun {
            dispatcher: self,
            head,
            request,
            body,
            id: self.control.next_ticket(),
            deadline,
            outcome: RunOutcome::NotRun,
            attempts: 0,
        };
        match run.answer().await {
            Ok(response) => response,
            Err(problem) => problem.response(),
        }
    }
}

impl RequestRun<'_> {
    async fn answer(mut self) -> Result<EntryResponse, ProblemAnswer> {
        let mut pending = self.submit();
        loop {
            let order = match self.verdict(&mut pending).await? {
                RequestVerdict::Dispatch(order) => order,
                RequestVerdict::Refuse(refusal) => return Err(self.refused(&refusal)),
            };
            self.attempts = order.attempt;
            let mut attempt = self.begin(order);
            match self.head_in_time(&mut attempt).await? {
                Ok(head) => return Ok(attempt.into_response(head)),
                Err(failure) => pending = self.after_failure(attempt, failure)?,
            }
        }
    }

    fn submit(&self) -> PendingVerdict {
        let ticket = RequestTicket {
            id: self.id,
            class: self.request.queue.clone(),
            team: self.request.team.clone(),
            deadline: self.deadline,
            repeatable: self.request.repeatable,
        };
        let control = &self.dispatcher.control;
        PendingVerdict {
            receiver: Some(control.submit(ticket)),
            control: control.clone(),
            id: self.id,
        }
    }

    async fn verdict(&self, pending: &mut PendingVerdict) -> Result<RequestVerdict, ProblemAnswer> {
        match self.in_time(pending.wait()).await {
            Some(Some(verdict)) => Ok(verdict),
            Some(None) => Err(self.problem(self.last_kind())),
            None => Err(self.problem(ProblemKind::DeadlineUnmet)),
        }
    }

    /// Runs `future` until the deadline; returns `None` if that passes.
    async fn in_time<F: Future>(&self, future: F) -> Option<F::Output> {
        let deadline = self.dispatcher.control.clock().instant(self.deadline);
        tokio::time::timeout_at(deadline.into(), future).await.ok()
    }

    fn begin(&self, order: DispatchOrder) -> RunningAttempt {
        let client = &self.dispatcher.client;
        let exchange = client.begin(order.address, self.head, self.body.attempt());
        RunningAttempt {
            exchange: Some(exchange),
            control: self.dispatcher.control.clone(),
            metrics: self.dispatcher.metrics.clone(),
            limits: rc::Rc::clone(&self.dispatcher.limits),
            id: self.id,
            vm: order.vm,
            attempt: order.attempt,
            server_error: false,
            unseen: false,
        }
    }

    async fn head_in_time(
        &self,
        attempt: &mut RunningAttempt,
    ) -> Result<Result<AnswerHead, ExchangeFailure>, ProblemAnswer> {
        if let Some(result) = self.in_time(attempt.head()).await {
            return Ok(result);
        }
        let started = attempt.has_written() || self.outcome == RunOutcome::Unknown;
        Err(match started {
            true => ProblemAnswer::unknown(ProblemKind::LateAnswer).retry_after(RETRY_DELAY),
            false => self.problem(ProblemKind::NotStarted),
        })
    }

    /// Asks for another attempt, or gives up with the final answer.
    fn after_failure(
        &mut self,
        attempt: RunningAttempt,
        failure: ExchangeFailure,
    ) -> Result<PendingVerdict, ProblemAnswer> {
        if failure.outcome == RunOutcome::Unknown {
            self.outcome = RunOutcome::Unknown;
        }
        let may_repeat = self.request.repeatable || self.outcome == RunOutcome::NotRun;
        let caller_fault = failure.fault == ExchangeFault::CallerBody;
        if may_repeat && !caller_fault && self.body.is_replayable() {
            return Ok(attempt.retry(failure));
        }
        attempt.give_up(failure);
        Err(self.failed(failure))
    }

    fn failed(&self, failure: ExchangeFailure) -> ProblemAnswer {
        let kind = match self.body.fault() {
            Some(BodyFault::TooLarge) => ProblemKind::BodyTooLarge,
            Some(BodyFault::Slow) => ProblemKind::SlowBody,
            Some(BodyFault::Broken) => ProblemKind::Malformed,
            None => self.last_kind(),
        };
        let mut problem = self.problem(kind);
        if failure.fault == ExchangeFault::CallerBody {
            problem.retry_after = None;
        }
        problem
    }

    fn refused(&self, refusal: &RequestRefusal) -> ProblemAnswer {
        if self.outcome == RunOutcome::Unknown {
            let problem = self.problem(ProblemKind::BrokenAnswer);
            return problem.retry_after(refusal.retry_after);
        }
        ProblemAnswer::refused(refusal)
    }

    /// Returns the kind of the final answer when no other attempt follows.
    fn last_kind(&self) -> ProblemKind {
        match (self.attempts, self.outcome) {
            (0, _) => ProblemKind::Stopping,
            (_, RunOutcome::NotRun) => ProblemKind::NotStarted,
            (_, _) => ProblemKind::BrokenAnswer,
        }
    }

    fn problem(&self, kind: ProblemKind) -> ProblemAnswer {
        ProblemAnswer {
            outcome: self.outcome,
            ..ProblemAnswer::not_run(kind)
        }
        .retry_after(RETRY_DELAY)
    }
}

/// Request that waits for a verdict; dropping it cancels the request.
struct PendingVerdict {
    receiver: Option<oneshot::Receiver<RequestVerdict>>,
    control: ControlHandle,
    id: TicketId,
}

impl PendingVerdict {
    /// Waits for the verdict; `None` if the control thread has ended.
    async fn wait(&mut self) -> Option<RequestVerdict> {
        let receiver = self.receiver.as_mut()?;
        let verdict = receiver.await.ok();
        self.receiver = None;
        verdict
    }
}

impl Drop for PendingVerdict {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        // A verdict that came meanwhile gives its place back.
        receiver.close();
        if let Ok(RequestVerdict::Dispatch(order)) = receiver.try_recv() {
            let report = control::undelivered(order.vm);
            self.control.finish(self.id, report);
        }
        self.control.send(ControlCommand::Cancel(self.id));
    }
}

/// Attempt at a backend server. If it is dropped before its end, its request
/// is cancelled and the exchange goes on unseen.
struct RunningAttempt {
    exchange: Option<BackendExchange>,
    control: ControlHandle,
    metrics: PathMetrics,
    limits: rc::Rc<PathLimits>,
    id: TicketId,
    vm: VmId,
    attempt: u32,
    server_error: bool,
    unseen: bool,
}

impl RunningAttempt {
    fn has_written(&self) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(BackendExchange::has_written)
    }

    async fn head(&mut self) -> Result<AnswerHead, ExchangeFailure> {
        match &mut self.exchange {
            Some(exchange) => exchange.head().await,
            None => Err(ExchangeFailure {
                fault: ExchangeFault::Broken,
                outcome: RunOutcome::Unknown,
            }),
        }
    }

    /// Returns the response whose body is the rest of this attempt.
    fn into_response(mut self, head: AnswerHead) -> EntryResponse {
        self.server_error = head.status.is_server_error();
        if matches!(head.size, BodySize::None | BodySize::Sized(0)) {
            return self.into_empty_response(head);
        }
        let body = AnswerBody {
            size: head.size,
            limits: rc::Rc::clone(&self.limits),
            timer: None,
            attempt: self,
        };
        ran(head.status, head.headers, BoxBody::new(body))
    }

    /// Returns a response without a body, which nobody would read to its end.
    fn into_empty_response(mut self, head: AnswerHead) -> EntryResponse {
        if let Some(exchange) = self.exchange.take() {
            self.follow_unseen(exchange);
        }
        let body = match head.size {
            BodySize::None => BoxBody::new(body::None::new()),
            _ => BoxBody::new(()),
        };
        ran(head.status, head.headers, body)
    }

    /// Reports the failure and waits for another attempt.
    fn retry(mut self, failure: ExchangeFailure) -> PendingVerdict {
        self.note_failure(failure);
        self.exchange = None;
        let report = self.report(failure, false);
        PendingVerdict {
            receiver: Some(self.control.retry(self.id, report)),
            control: self.control.clone(),
            id: self.id,
        }
    }

    /// Reports the failure; no other attempt follows.
    fn give_up(mut self, failure: ExchangeFailure) {
        self.end_failed(failure);
    }

    fn end_failed(&mut self, failure: ExchangeFailure) {
        self.note_failure(failure);
        self.exchange = None;
        let report = self.report(failure, true);
        self.control.finish(self.id, report);
    }

    fn end_complete(&mut self) {
        self.metrics.count_attempt("complete");
        self.exchange = None;
        let report = AttemptReport {
            vm: self.vm.clone(),
            outcome: RunOutcome::Ran,
            faulty: self.server_error,
            ended: true,
            answered: true,
        };
        self.control.finish(self.id, report);
    }

    fn report(&self, failure: ExchangeFailure, answered: bool) -> AttemptReport {
        AttemptReport {
            vm: self.vm.clone(),
            outcome: failure.outcome,
            faulty: failure.fault.is_faulty(),
            ended: failure.outcome == RunOutcome::NotRun,
            answered,
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
            let mut report = self.report(failure, true);
            report.faulty = false;
            self.control.finish(self.id, report);
            return;
        }
        self.metrics.count_attempt("abandoned");
        self.follow_unseen(exchange);
    }
}

fn ran(status: StatusCode, headers: HeaderMap, body: BoxBody) -> EntryResponse {
    let mut response = Response::with_body(status, body);
    *response.headers_mut() = headers;
    answer::mark_outcome(&mut response, RunOutcome::Ran);
    response
}

/// Body of an answer, passed on as it comes from the backend server.
struct AnswerBody {
    attempt: RunningAttempt,
    limits: rc::Rc<PathLimits>,
    size: BodySize,
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl AnswerBody {
    /// Returns whether the backend server has been silent for too long.
    fn poll_silence(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let limit = self.limits.answer_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        timer.as_mut().poll(context)
    }

    fn truncate(&mut self, failure: ExchangeFailure) -> AnswerTruncated {
        log_event!(
            warn,
            event::ANSWER_TRUNCATED,
            "request {} at {}: {}",
            self.attempt.id.0,
            self.attempt.vm,
            failure.fault
        );
        self.attempt.end_failed(failure);
        AnswerTruncated
    }
}

/// Aborts the caller's connection, so that no truncated answer looks whole.
#[derive(Debug)]
struct AnswerTruncated;

impl std::fmt::Display for AnswerTruncated {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer of the backend server broke off")
    }
}

impl std::error::Error for AnswerTruncated {}

impl MessageBody for AnswerBody {
    type Error = AnswerTruncated;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, AnswerTruncated>>> {
        let Some(exchange) = self.attempt.exchange.as_mut() else {
            return task::Poll::Ready(None);
        };
        match exchange.poll_chunk(context) {
            task::Poll::Ready(Some(Ok(chunk))) => {
                self.timer = None;
                task::Poll::Ready(Some(Ok(chunk)))
            }
            task::Poll::Ready(Some(Err(failure))) => {
                let error = self.truncate(failure);
                task::Poll::Ready(Some(Err(error)))
            }
            task::Poll::Ready(None) => {
                self.attempt.end_complete();
                task::Poll::Ready(None)
            }
            task::Poll::Pending => {
                task::ready!(self.poll_silence(context));
                let error = self.truncate(ExchangeFailure {
                    fault: ExchangeFault::Truncated,
                    outcome: RunOutcome::Unknown,
                });
                task::Poll::Ready(Some(Err(error)))
            }
        }
    }
}
