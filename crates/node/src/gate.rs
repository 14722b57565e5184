//! Checks a request before it is queued: path, key, headers and bounds.

use std::str;
use std::time;

use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, Version};
use redwing_model::declaration::QueueTarget;
use redwing_model::{CustomerName, KeyHash, QueueName};

use crate::answer::{ProblemAnswer, ProblemKind};
use crate::settings::PathLimits;
use crate::snapshot::NodeSnapshot;

/// Header that marks a request that may run at most once.
pub const REPEATABLE_HEADER: &str = "redwing-repeatable";

/// Header with the time that the caller waits, in seconds.
pub const TIMEOUT_HEADER: &str = "redwing-timeout";

/// Header with the caller's identifier of the request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest identifier of a request, in bytes.
const MAX_IDEMPOTENCY_BYTES: usize = 255;

/// When to ask again after the process could not check keys.
const NOT_READY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Start and end of the path of a queue.
const QUEUE_PREFIX: &str = "/v1/queues/";
const QUEUE_SUFFIX: &str = "/requests";

/// A request that may be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedRequest {
    /// Queue that it is for.
    pub queue: QueueName,
    /// Customer that submitted it; `None` without a key.
    pub customer: Option<CustomerName>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How long the caller waits for the answer to begin.
    pub timeout: time::Duration,
    /// The caller's identifier of the request.
    pub idempotency_key: Option<String>,
    /// Largest body that the queue takes, in bytes.
    pub max_body_bytes: u64,
    /// Size of the body, if the caller declared it.
    pub declared_bytes: Option<u64>,
}

/// Result of a check; the error is the answer.
pub type GateResult<T> = Result<T, ProblemAnswer>;

/// Checks the head of a request against the state in force.
///
/// # Errors
///
/// Fails with the answer to give; the request did not run.
pub fn admit(
    head: &RequestHead,
    snapshot: &NodeSnapshot,
    limits: &PathLimits,
) -> GateResult<AdmittedRequest> {
    let queue = queue_of(head.uri.path())?;
    if head.method != Method::POST {
        return Err(ProblemAnswer::not_run(ProblemKind::WrongMethod));
    }
    // The end of a streamed answer cannot be told from a broken connection.
    if head.version < Version::HTTP_11 {
        return Err(ProblemAnswer::not_run(ProblemKind::OldVersion));
    }
    check_header_bytes(&head.headers, limits.header_bytes)?;
    if snapshot.version == 0 {
        return Err(not_ready("the configuration has not been read yet"));
    }
    let Some(target) = snapshot.declaration.queues.get(&queue) else {
        return Err(ProblemAnswer::not_run(ProblemKind::NoSuchQueue));
    };
    let customer = customer_of(&head.headers, snapshot, &queue, target)?;
    let declared_bytes = declared_bytes(&head.headers)?;
    if declared_bytes.is_some_and(|bytes| bytes > target.max_body_bytes) {
        return Err(ProblemAnswer::not_run(ProblemKind::BodyTooLarge));
    }
    Ok(AdmittedRequest {
        customer,
        repeatable: repeatable(&head.headers)?,
        timeout: timeout(&head.headers, target)?,
        idempotency_key: idempotency_key(&head.headers)?,
        max_body_bytes: target.max_body_bytes,
        declared_bytes,
        queue,
    })
}

fn malformed(detail: &'static str) -> ProblemAnswer {
    ProblemAnswer::not_run(ProblemKind::Malformed).detail(detail)
}

fn not_ready(detail: &'static str) -> ProblemAnswer {
    ProblemAnswer::not_run(ProblemKind::NotReady)
        .detail(detail)
        .retry_after(NOT_READY_DELAY)
}

fn queue_of(path: &str) -> GateResult<QueueName> {
    let name = path
        .strip_prefix(QUEUE_PREFIX)
        .and_then(|rest| rest.strip_suffix(QUEUE_SUFFIX));
    let Some(name) = name.filter(|name| !name.contains('/')) else {
        return Err(ProblemAnswer::not_run(ProblemKind::NoSuchPath));
    };
    QueueName::new(name).map_err(|_| ProblemAnswer::not_run(ProblemKind::NoSuchQueue))
}

fn check_header_bytes(headers: &HeaderMap, allowed: usize) -> GateResult<()> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > allowed {
        return Err(ProblemAnswer::not_run(ProblemKind::HeadersTooLarge));
    }
    Ok(())
}

fn customer_of(
    headers: &HeaderMap,
    snapshot: &NodeSnapshot,
    queue: &QueueName,
    target: &QueueTarget,
) -> GateResult<Option<CustomerName>> {
    let Some(secret) = bearer_key(headers)? else {
        if target.open {
            return Ok(None);
        }
        return Err(ProblemAnswer::not_run(ProblemKind::BadKey));
    };
    if !snapshot.accepts_keyed_at(time::Instant::now()) {
        return Err(not_ready("it cannot tell whether the key was withdrawn"));
    }
    let Some(grant) = snapshot.keys.get(&KeyHash::of(secret)) else {
        return Err(ProblemAnswer::not_run(ProblemKind::BadKey));
    };
    if grant.queue.as_ref().is_some_and(|granted| granted != queue) {
        return Err(ProblemAnswer::not_run(ProblemKind::WrongKey));
    }
    Ok(Some(grant.customer.clone()))
}

/// Returns the presented key; a repeated or malformed header is refused.
fn bearer_key(headers: &HeaderMap) -> GateResult<Option<&str>> {
    let mut values = headers.get_all(header::AUTHORIZATION);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed("there is more than one Authorization header"));
    }
    let parts = value.to_str().ok().and_then(|text| text.split_once(' '));
    match parts {
        Some((scheme, secret)) if scheme.eq_ignore_ascii_case("bearer") => Ok(Some(secret.trim())),
        _ => Err(ProblemAnswer::not_run(ProblemKind::BadKey)),
    }
}

/// Returns the value of a header that may stand once.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
    fault: &'static str,
) -> GateResult<Option<&'a str>> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        _ => Err(malformed(fault)),
    }
}

fn declared_bytes(headers: &HeaderMap) -> GateResult<Option<u64>> {
    let fault = "Content-Length is not a number";
    let text = single(headers, header::CONTENT_LENGTH.as_str(), fault)?;
    text.map(|text| text.parse().map_err(|_| malformed(fault)))
        .transpose()
}

fn repeatable(headers: &HeaderMap) -> GateResult<bool> {
    let fault = "Redwing-Repeatable is neither true nor false";
    match single(headers, REPEATABLE_HEADER, fault)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(malformed(fault)),
    }
}

fn timeout(headers: &HeaderMap, target: &QueueTarget) -> GateResult<time::Duration> {
    let longest = time::Duration::from_secs(u64::from(target.max_timeout_seconds));
    let fault = "Redwing-Timeout is not a positive decimal number of seconds";
    let Some(text) = single(headers, TIMEOUT_HEADER, fault)? else {
        return Ok(longest);
    };
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        Ok(seconds) if is_decimal && seconds > 0.0 => {
            let wanted = time::Duration::try_from_secs_f64(seconds).unwrap_or(longest);
            Ok(wanted.min(longest))
        }
        _ => Err(malformed(fault)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> GateResult<Option<String>> {
    let fault = "Idempotency-Key is not 1 to 255 visible characters";
    let Some(text) = single(headers, IDEMPOTENCY_HEADER, fault)? else {
        return Ok(None);
    };
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_BYTES || !visible {
        return Err(malformed(fault));
    }
    Ok(Some(text.to_owned()))
}
