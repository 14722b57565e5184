//! Requests that may run at most once, under a claim in the table.

use std::cell;
use std::rc;
use std::time;

use redwing_model::RunOutcome;

use crate::answer::{ProblemAnswer, ProblemKind};
use crate::claim::{ClaimAnswer, ClaimKey, HeldClaim};
use crate::gate::AdmittedRequest;
use crate::plane::ClaimHandleCell;

/// When to ask again while the table does not answer or another process has
/// the request.
const CLAIM_DELAY: time::Duration = time::Duration::from_secs(1);

/// Claim of one request, shared with its attempts; without a claim it does
/// nothing. A claim that no attempt has ended is given up, since then no byte
/// of the request was sent.
#[derive(Clone, Debug, Default)]
pub struct RequestClaim(rc::Rc<ClaimCell>);

#[derive(Debug, Default)]
struct ClaimCell(cell::RefCell<Option<HeldClaim>>);

impl Drop for ClaimCell {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.release();
        }
    }
}

impl RequestClaim {
    /// Claims `request` if it may run at most once and has a key by which
    /// another process would know it again.
    ///
    /// # Errors
    ///
    /// Fails with the answer to give if the request was claimed before, or if
    /// the table cannot tell.
    pub async fn take(
        slot: &ClaimHandleCell,
        request: &AdmittedRequest,
    ) -> Result<Self, ProblemAnswer> {
        let (false, Some(key)) = (request.repeatable, &request.idempotency_key) else {
            return Ok(Self::default());
        };
        let Some(claims) = slot.get() else {
            return Err(unavailable());
        };
        let key = ClaimKey {
            customer: request.customer.clone(),
            queue: request.queue.clone(),
            key: key.clone(),
        };
        match claims.claim(key).await {
            ClaimAnswer::Claimed(claim) => {
                let cell = cell::RefCell::new(Some(claim));
                Ok(Self(rc::Rc::new(ClaimCell(cell))))
            }
            ClaimAnswer::InProgress => Err(conflict(RunOutcome::Unknown)
                .detail("a request with this key is under way")
                .retry_after(CLAIM_DELAY)),
            ClaimAnswer::Done(outcome) => {
                Err(conflict(outcome).detail("a request with this key has ended"))
            }
            ClaimAnswer::Unavailable => Err(unavailable()),
        }
    }

    /// Ends the claim with what is known after the last attempt.
    pub fn end(&self, outcome: RunOutcome) {
        let Some(claim) = self.0.0.take() else {
            return;
        };
        match outcome {
            RunOutcome::NotRun => claim.release(),
            outcome => claim.complete(outcome),
        }
    }
}

fn unavailable() -> ProblemAnswer {
    ProblemAnswer::not_run(ProblemKind::StoreUnavailable).retry_after(CLAIM_DELAY)
}

fn conflict(outcome: RunOutcome) -> ProblemAnswer {
    ProblemAnswer {
        outcome,
        ..ProblemAnswer::not_run(ProblemKind::Conflict)
    }
}
