//! Dispatch of a request to a backend server, with retries.
//!
//! A request waits for the scheduler's verdict and is sent to a backend server.
//! It is retried only if it is repeatable or was certainly not executed. If the
//! caller disconnects or receives its response first, the exchange continues in
//! a detached task: the backend server's slot is free only once it has ended.

use std::future::Future;
use std::rc;
use std::time;

use actix_http::RequestHead;
use redwing_model::RunOutcome;
use redwing_policy::ticket::RequestRefusal;
use redwing_policy::{NodeTime, RequestTicket, TicketId};
use tokio::sync::oneshot;

use crate::admission::AdmittedRequest;
use crate::at_most_once::RequestClaim;
use crate::attempt::RunningAttempt;
use crate::control::{self, ControlCommand, ControlHandle, DispatchOrder, RequestVerdict};
use crate::exchange::{BackendClient, ExchangeFailure, FailureKind, ResponseHead};
use crate::metrics::RequestMetrics;
use crate::plane::ClaimHandleCell;
use crate::request_body::{BodyError, RequestBody};
use crate::response::{EntryResponse, ProblemKind, ProblemResponse};
use crate::settings::PathLimits;

/// Delay after which a caller may retry when backend servers failed.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Dispatches the requests of one traffic thread.
#[derive(Clone)]
pub struct RequestDispatcher {
    /// Handle of the scheduler.
    pub control: ControlHandle,
    /// Client for backend servers.
    pub client: BackendClient,
    /// Claims of requests that may run at most once.
    pub claims: ClaimHandleCell,
    /// Limits of the request path.
    pub limits: rc::Rc<PathLimits>,
    /// Counters of the request path.
    pub metrics: RequestMetrics,
}

/// Request in progress, with the combined outcome of its attempts so far.
struct RequestRun<'a> {
    dispatcher: &'a RequestDispatcher,
    head: &'a RequestHead,
    request: &'a AdmittedRequest,
    body: &'a RequestBody,
    id: TicketId,
    deadline: NodeTime,
    outcome: RunOutcome,
    attempts: u32,
}

impl RequestDispatcher {
    /// Runs a request and returns the response, whose body may still stream.
    pub async fn run(
        &self,
        head: &RequestHead,
        request: &AdmittedRequest,
        body: &RequestBody,
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
        match run.execute().await {
            Ok(response) => response,
            Err(response) => response.to_http(),
        }
    }
}

impl RequestRun<'_> {
    async fn execute(mut self) -> Result<EntryResponse, ProblemResponse> {
        let acquire = RequestClaim::acquire(&self.dispatcher.claims, self.request);
        let Some(claim) = self.before_deadline(acquire).await else {
            return Err(self.problem_response(ProblemKind::StoreUnavailable));
        };
        let claim = claim?;
        let mut pending = self.submit();
        loop {
            let order = match self.verdict(&mut pending).await? {
                RequestVerdict::Dispatch(order) => order,
                RequestVerdict::Refuse(refusal) => return Err(self.refusal_response(&refusal)),
            };
            self.attempts = order.attempt;
            let mut attempt = self.start_attempt(order, &claim);
            match self.head_before_deadline(&mut attempt).await? {
                Ok(head) => return Ok(attempt.into_response(head)),
                Err(failure) => pending = self.retry_or_fail(attempt, failure)?,
            }
        }
    }

    fn submit(&self) -> PendingVerdict {
        let ticket = RequestTicket {
            id: self.id,
            class: self.request.queue.clone(),
            customer: self.request.customer.clone(),
            deadline: self.deadline,
            repeatable: self.request.repeatable,
        };
        self.pending(self.dispatcher.control.submit(ticket))
    }

    fn pending(&self, receiver: oneshot::Receiver<RequestVerdict>) -> PendingVerdict {
        PendingVerdict {
            receiver: Some(receiver),
            control: self.dispatcher.control.clone(),
            id: self.id,
        }
    }

    async fn verdict(
        &self,
        pending: &mut PendingVerdict,
    ) -> Result<RequestVerdict, ProblemResponse> {
        match self.before_deadline(pending.wait()).await {
            Some(Some(verdict)) => Ok(verdict),
            Some(None) => Err(self.problem_response(self.final_kind())),
            None => Err(self.problem_response(ProblemKind::DeadlineUnmet)),
        }
    }

    /// Runs `future`; returns `None` if the deadline passes first.
    async fn before_deadline<F: Future>(&self, future: F) -> Option<F::Output> {
        let deadline = self.dispatcher.control.clock().instant(self.deadline);
        tokio::time::timeout_at(deadline.into(), future).await.ok()
    }

    fn start_attempt(&self, order: DispatchOrder, claim: &RequestClaim) -> RunningAttempt {
        let dispatcher = self.dispatcher;
        let exchange = dispatcher
            .client
            .start(order.address, self.head, self.body.attempt());
        RunningAttempt::new(dispatcher, self.id, order, exchange, claim.clone())
    }

    async fn head_before_deadline(
        &self,
        attempt: &mut RunningAttempt,
    ) -> Result<Result<ResponseHead, ExchangeFailure>, ProblemResponse> {
        if let Some(result) = self.before_deadline(attempt.head()).await {
            return Ok(result);
        }
        let may_have_started = attempt.has_written() || self.outcome == RunOutcome::Unknown;
        Err(match may_have_started {
            true => ProblemResponse::unknown(ProblemKind::LateResponse).retry_after(RETRY_AFTER),
            false => self.problem_response(ProblemKind::NotStarted),
        })
    }

    /// Requests another attempt, or returns the final response if none may follow.
    fn retry_or_fail(
        &mut self,
        attempt: RunningAttempt,
        failure: ExchangeFailure,
    ) -> Result<PendingVerdict, ProblemResponse> {
        if failure.outcome == RunOutcome::Unknown {
            self.outcome = RunOutcome::Unknown;
        }
        let may_repeat = self.request.repeatable || self.outcome == RunOutcome::NotRun;
        let is_caller_error = failure.kind == FailureKind::RequestBody;
        if may_repeat && !is_caller_error && self.body.is_replayable() {
            return Ok(self.pending(attempt.retry(failure)));
        }
        attempt.give_up(failure);
        Err(self.failure_response(failure))
    }

    fn failure_response(&self, failure: ExchangeFailure) -> ProblemResponse {
        let kind = match self.body.error() {
            Some(BodyError::TooLarge) => ProblemKind::BodyTooLarge,
            Some(BodyError::Slow) => ProblemKind::SlowBody,
            Some(BodyError::Broken) => ProblemKind::Malformed,
            None => self.final_kind(),
        };
        let mut response = self.problem_response(kind);
        if failure.kind == FailureKind::RequestBody {
            response.retry_after = None;
        }
        response
    }

    fn refusal_response(&self, refusal: &RequestRefusal) -> ProblemResponse {
        if self.outcome == RunOutcome::Unknown {
            let response = self.problem_response(ProblemKind::BrokenResponse);
            return response.retry_after(refusal.retry_after);
        }
        ProblemResponse::refused(refusal)
    }

    /// Returns the kind of the final response when no other attempt follows.
    fn final_kind(&self) -> ProblemKind {
        match (self.attempts, self.outcome) {
            (0, _) => ProblemKind::Stopping,
            (_, RunOutcome::NotRun) => ProblemKind::NotStarted,
            (_, _) => ProblemKind::BrokenResponse,
        }
    }

    fn problem_response(&self, kind: ProblemKind) -> ProblemResponse {
        ProblemResponse {
            outcome: self.outcome,
            ..ProblemResponse::not_run(kind)
        }
        .retry_after(RETRY_AFTER)
    }
}

/// Request waiting for a verdict; dropping it cancels the request.
struct PendingVerdict {
    receiver: Option<oneshot::Receiver<RequestVerdict>>,
    control: ControlHandle,
    id: TicketId,
}

impl PendingVerdict {
    /// Waits for the verdict; returns `None` if none follows, because no attempt
    /// may follow or the control thread has ended.
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
        // A dispatch order that has arrived in the meantime releases its slot.
        receiver.close();
        if let Ok(RequestVerdict::Dispatch(order)) = receiver.try_recv() {
            let report = control::undelivered_report(order.vm);
            self.control.finish(self.id, report);
        }
        self.control.send(ControlCommand::Cancel(self.id));
    }
}
