//! Claims that make a request run at most once.

use std::cell;
use std::rc;
use std::time;

use redwing_model::RunOutcome;

use crate::admission::AdmittedRequest;
use crate::claim::{ClaimGuard, ClaimKey, ClaimResponse};
use crate::plane::ClaimHandleCell;
use crate::response::{ProblemKind, ProblemResponse};

/// Delay after which a caller may retry while the table does not respond or the
/// request is in progress.
const CLAIM_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Claim of one request, shared with its attempts; empty for a request that
/// needs none.
///
/// A claim that no attempt has ended is released on drop, since then no byte of
/// the request was sent.
#[derive(Clone, Debug, Default)]
pub struct RequestClaim(rc::Rc<ClaimCell>);

#[derive(Debug, Default)]
struct ClaimCell(cell::RefCell<Option<ClaimGuard>>);

impl Drop for ClaimCell {
    fn drop(&mut self) {
        if let Some(claim) = self.0.take() {
            claim.release();
        }
    }
}

impl RequestClaim {
    /// Claims `request` if it is not repeatable and has an idempotency key, by
    /// which other processes recognize it.
    ///
    /// # Errors
    ///
    /// Fails with the response to the caller if the request was claimed before,
    /// or if the table does not respond.
    pub async fn acquire(
        slot: &ClaimHandleCell,
        request: &AdmittedRequest,
    ) -> Result<Self, ProblemResponse> {
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
            ClaimResponse::Claimed(claim) => {
                let cell = cell::RefCell::new(Some(claim));
                Ok(Self(rc::Rc::new(ClaimCell(cell))))
            }
            ClaimResponse::InProgress => Err(conflict(RunOutcome::Unknown)
                .detail("a request with this key is in progress")
                .retry_after(CLAIM_RETRY_AFTER)),
            ClaimResponse::Done(outcome) => {
                Err(conflict(outcome).detail("a request with this key has ended"))
            }
            ClaimResponse::Unavailable => Err(unavailable()),
        }
    }

    /// Ends the claim with the outcome of the last attempt.
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

fn unavailable() -> ProblemResponse {
    ProblemResponse::not_run(ProblemKind::StoreUnavailable).retry_after(CLAIM_RETRY_AFTER)
}

fn conflict(outcome: RunOutcome) -> ProblemResponse {
    ProblemResponse {
        outcome,
        ..ProblemResponse::not_run(ProblemKind::Conflict)
    }
}
