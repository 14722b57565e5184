//! Admission control: validates path, access key, headers and limits of a
//! request before it is queued.

use std::str;
use std::time;

use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, Version};
use redwing_model::declaration::QueueTarget;
use redwing_model::{CustomerName, KeyHash, QueueName};

use crate::response::{ProblemKind, ProblemResponse};
use crate::settings::PathLimits;
use crate::snapshot::NodeSnapshot;

/// Header that states whether a request may run more than once.
pub const REPEATABLE_HEADER: &str = "redwing-repeatable";

/// Header with the caller's timeout, in seconds.
pub const TIMEOUT_HEADER: &str = "redwing-timeout";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_BYTES: usize = 255;

/// Delay after which a caller may retry while the process is not ready.
const NOT_READY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Prefix and suffix of the path of a queue.
const QUEUE_PATH_PREFIX: &str = "/v1/queues/";
const QUEUE_PATH_SUFFIX: &str = "/requests";

/// Request that passed admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmittedRequest {
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// Customer that submitted it; `None` without an access key.
    pub customer: Option<CustomerName>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time within which the response head must arrive.
    pub timeout: time::Duration,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Largest body that the queue accepts, in bytes.
    pub max_body_bytes: u64,
    /// Declared size of the body, in bytes, if any.
    pub declared_bytes: Option<u64>,
}

/// Result of a check; the error is the response to the caller.
pub type AdmissionResult<T> = Result<T, ProblemResponse>;

/// Validates the head of a request against the current configuration.
///
/// # Errors
///
/// Fails with the response to the caller; the request did not run.
pub fn admit(
    head: &RequestHead,
    snapshot: &NodeSnapshot,
    limits: &PathLimits,
) -> AdmissionResult<AdmittedRequest> {
    let queue = queue_from_path(head.uri.path())?;
    if head.method != Method::POST {
        return Err(ProblemResponse::not_run(ProblemKind::WrongMethod));
    }
    // HTTP/1.0 marks the end of a streamed response only by closing the
    // connection, which looks the same as a lost connection.
    if head.version < Version::HTTP_11 {
        return Err(ProblemResponse::not_run(ProblemKind::OldVersion));
    }
    check_header_bytes(&head.headers, limits.header_bytes)?;
    if snapshot.version == 0 {
        return Err(not_ready("the configuration has not been read yet"));
    }
    let Some(target) = snapshot.declaration.queues.get(&queue) else {
        return Err(ProblemResponse::not_run(ProblemKind::NoSuchQueue));
    };
    let customer = authorize(&head.headers, snapshot, &queue, target)?;
    let declared_bytes = declared_bytes(&head.headers)?;
    if declared_bytes.is_some_and(|bytes| bytes > target.max_body_bytes) {
        return Err(ProblemResponse::not_run(ProblemKind::BodyTooLarge));
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

fn malformed(detail: &'static str) -> ProblemResponse {
    ProblemResponse::not_run(ProblemKind::Malformed).detail(detail)
}

fn not_ready(detail: &'static str) -> ProblemResponse {
    ProblemResponse::not_run(ProblemKind::NotReady)
        .detail(detail)
        .retry_after(NOT_READY_RETRY_AFTER)
}

fn queue_from_path(path: &str) -> AdmissionResult<QueueName> {
    let name = path
        .strip_prefix(QUEUE_PATH_PREFIX)
        .and_then(|rest| rest.strip_suffix(QUEUE_PATH_SUFFIX));
    let Some(name) = name.filter(|name| !name.contains('/')) else {
        return Err(ProblemResponse::not_run(ProblemKind::NoSuchPath));
    };
    QueueName::new(name).map_err(|_| ProblemResponse::not_run(ProblemKind::NoSuchQueue))
}

fn check_header_bytes(headers: &HeaderMap, max_bytes: usize) -> AdmissionResult<()> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > max_bytes {
        return Err(ProblemResponse::not_run(ProblemKind::HeadersTooLarge));
    }
    Ok(())
}

fn authorize(
    headers: &HeaderMap,
    snapshot: &NodeSnapshot,
    queue: &QueueName,
    target: &QueueTarget,
) -> AdmissionResult<Option<CustomerName>> {
    let Some(secret) = bearer_key(headers)? else {
        if target.open {
            return Ok(None);
        }
        return Err(ProblemResponse::not_run(ProblemKind::BadKey));
    };
    if !snapshot.accepts_keyed_at(time::Instant::now()) {
        return Err(not_ready(
            "the entry process cannot check whether the key was withdrawn",
        ));
    }
    let Some(grant) = snapshot.keys.get(&KeyHash::of(secret)) else {
        return Err(ProblemResponse::not_run(ProblemKind::BadKey));
    };
    if grant.queue.as_ref().is_some_and(|granted| granted != queue) {
        return Err(ProblemResponse::not_run(ProblemKind::WrongKey));
    }
    Ok(Some(grant.customer.clone()))
}

/// Returns the access key; refuses a repeated or malformed header.
fn bearer_key(headers: &HeaderMap) -> AdmissionResult<Option<&str>> {
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
        _ => Err(ProblemResponse::not_run(ProblemKind::BadKey)),
    }
}

/// Returns the value of a header that may occur once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
    detail: &'static str,
) -> AdmissionResult<Option<&'a str>> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        _ => Err(malformed(detail)),
    }
}

fn declared_bytes(headers: &HeaderMap) -> AdmissionResult<Option<u64>> {
    let detail = "Content-Length is not a number";
    let text = single_value(headers, header::CONTENT_LENGTH.as_str(), detail)?;
    text.map(|text| text.parse().map_err(|_| malformed(detail)))
        .transpose()
}

fn repeatable(headers: &HeaderMap) -> AdmissionResult<bool> {
    let detail = "Redwing-Repeatable is neither true nor false";
    match single_value(headers, REPEATABLE_HEADER, detail)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(malformed(detail)),
    }
}

fn timeout(headers: &HeaderMap, target: &QueueTarget) -> AdmissionResult<time::Duration> {
    let max_timeout = time::Duration::from_secs(u64::from(target.max_timeout_seconds));
    let detail = "Redwing-Timeout is not a positive decimal number of seconds";
    let Some(text) = single_value(headers, TIMEOUT_HEADER, detail)? else {
        return Ok(max_timeout);
    };
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        Ok(seconds) if is_decimal && seconds > 0.0 => {
            let requested = time::Duration::try_from_secs_f64(seconds).unwrap_or(max_timeout);
            Ok(requested.min(max_timeout))
        }
        _ => Err(malformed(detail)),
    }
}

fn idempotency_key(headers: &HeaderMap) -> AdmissionResult<Option<String>> {
    let detail = "Idempotency-Key is not 1 to 255 visible characters";
    let Some(text) = single_value(headers, IDEMPOTENCY_HEADER, detail)? else {
        return Ok(None);
    };
    let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_BYTES || !is_visible {
        return Err(malformed(detail));
    }
    Ok(Some(text.to_owned()))
}
