//! Reads a response and compares its body with the body that was sent.

use bytes::Bytes;
use redwing_model::RunOutcome;
use sha2::Digest;

use super::record::{BodyCheck, RequestResult};

/// Header of every response, with the outcome of the request.
const OUTCOME_HEADER: &str = "redwing-outcome";

/// Header with the SHA-256 digest of the body that the stand-in backend server
/// read.
const DIGEST_HEADER: &str = "redwing-standin-digest";

/// Bytes accepted beyond the expected length, to detect a body that is too long.
const BODY_SLACK_BYTES: usize = 64 * 1024;

/// Reads a response to its end and compares its body with `sent`.
pub(super) async fn read<S>(mut response: awc::ClientResponse<S>, sent: &Bytes) -> RequestResult
where
    S: futures_util::Stream<Item = std::result::Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let status = response.status().as_u16();
    let outcome = header(OUTCOME_HEADER).as_deref().and_then(parse_outcome);
    let retry_after = header("retry-after").is_some();
    let digest = header(DIGEST_HEADER);
    let body = response.body().limit(sent.len() + BODY_SLACK_BYTES);
    let received = match body.await {
        Ok(received) => received,
        Err(error) => {
            return RequestResult::Broken {
                after_headers: true,
                message: error.to_string(),
            };
        }
    };
    let is_echo = status == 200 && digest.is_some();
    RequestResult::Completed {
        status,
        outcome,
        retry_after,
        body: is_echo.then(|| check_body(&received, sent, digest.as_deref())),
    }
}

fn parse_outcome(text: &str) -> Option<RunOutcome> {
    [RunOutcome::Ran, RunOutcome::NotRun, RunOutcome::Unknown]
        .into_iter()
        .find(|outcome| outcome.as_str() == text)
}

/// Compares an echoed body and its digest with the body that was sent.
fn check_body(received: &[u8], sent: &[u8], digest: Option<&str>) -> BodyCheck {
    if received != sent {
        let prefix_length = received.len().min(16);
        let is_other_request =
            received.len() == sent.len() && received[..prefix_length] != sent[..prefix_length];
        return if is_other_request {
            BodyCheck::OtherRequest
        } else {
            BodyCheck::Corrupt
        };
    }
    let expected: String = sha2::Sha256::digest(sent)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    if digest.is_some_and(|digest| digest.eq_ignore_ascii_case(&expected)) {
        BodyCheck::Match
    } else {
        BodyCheck::DigestMismatch
    }
}
