//! The way of a request from the queue to a backend server and back.
//!
//! A request waits for the scheduler's verdict, is sent, and is sent again
//! only while that cannot execute it twice against the caller's will. When
//! its caller has gone or got its answer, the exchange goes on unseen, since
//! only its end tells that the backend server's slot is free again.

use std::future::Future;
use std::rc;
use std::time;

use actix_http::RequestHead;
use redwing_model::RunOutcome;
use redwing_policy::ticket::RequestRefusal;
use redwing_policy::{NodeTime, RequestTicket, TicketId};
use tokio::sync::oneshot;

use crate::answer::{EntryResponse, ProblemAnswer, ProblemKind};
use crate::attempt::RunningAttempt;
use crate::control::{self, ControlCommand, ControlHandle, DispatchOrder, RequestVerdict};
use crate::exchange::{AnswerHead, BackendClient, ExchangeFailure, ExchangeFault};
use crate::gate::AdmittedRequest;
use crate::metrics::RequestMetrics;
use crate::once::RequestClaim;
use crate::plane::ClaimHandleCell;
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
    /// Claims of requests that may run at most once.
    pub claims: ClaimHandleCell,
    /// Bounds of the request path.
    pub limits: rc::Rc<PathLimits>,
    /// Counters of the request path.
    pub metrics: RequestMetrics,
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
        let claiming = RequestClaim::take(&self.dispatcher.claims, self.request);
        let Some(claim) = self.in_time(claiming).await else {
            return Err(self.problem(ProblemKind::StoreUnavailable));
        };
        let claim = claim?;
        let mut pending = self.submit();
        loop {
            let order = match self.verdict(&mut pending).await? {
                RequestVerdict::Dispatch(order) => order,
                RequestVerdict::Refuse(refusal) => return Err(self.refused(&refusal)),
            };
            self.attempts = order.attempt;
            let mut attempt = self.begin(order, &claim);
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

    fn begin(&self, order: DispatchOrder, claim: &RequestClaim) -> RunningAttempt {
        let dispatcher = self.dispatcher;
        let exchange = dispatcher
            .client
            .begin(order.address, self.head, self.body.attempt());
        RunningAttempt::new(dispatcher, self.id, order, exchange, claim.clone())
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
            return Ok(self.pending(attempt.retry(failure)));
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
            let report = control::undelivered_report(order.vm);
            self.control.finish(self.id, report);
        }
        self.control.send(ControlCommand::Cancel(self.id));
    }
}
