//! Stand-in backend servers with injected faults.
//!
//! A stand-in backend server responds to `POST` with the body it received and
//! the body's SHA-256 in `Redwing-Standin-Digest`, and counts executions by the
//! identifier in `Redwing-Standin-Request`.
//!
//! | request header | effect |
//! | --- | --- |
//! | `Redwing-Standin-Delay: SECONDS` | duration of the execution |
//! | `Redwing-Standin-Fault: KIND` | the fault to inject, see [`BackendFault`] |
//! | `Redwing-Standin-Request: ID` | identifier by which executions are counted |
//!
//! `GET /standin/executions` returns the counts as JSON, and
//! `PUT /standin/fault` with a kind as body sets the fault of all requests
//! without a fault header.

use std::collections::BTreeMap;
use std::convert;
use std::fmt;
use std::io;
use std::net;
use std::pin;
use std::str;
use std::sync;
use std::task;
use std::time;

use actix_http::body::{self, BodySize, MessageBody};
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};
use sha2::Digest;

/// Header with the SHA-256 of the request body, in hexadecimal.
pub const DIGEST_HEADER: &str = "redwing-standin-digest";

/// Header with the duration of the execution, in seconds.
pub const DELAY_HEADER: &str = "redwing-standin-delay";

/// Header with the kind of fault to inject into the request.
pub const FAULT_HEADER: &str = "redwing-standin-fault";

/// Header with the identifier by which executions are counted.
pub const REQUEST_HEADER: &str = "redwing-standin-request";

/// Header by which a backend server reports that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "redwing-not-started";

/// Longest duration of an execution; also the duration of one with
/// [`BackendFault::Hang`].
const MAX_DELAY: time::Duration = time::Duration::from_secs(3_600);

/// Duration of an execution with [`BackendFault::Late`] if the request has no
/// delay header.
const LATE_DELAY: time::Duration = time::Duration::from_secs(5);

/// Largest number of identifiers by which executions are counted.
const MAX_COUNTED_REQUESTS: usize = 1_000_000;

/// Fault that is injected into a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendFault {
    /// No fault.
    #[default]
    None,
    /// The connection is closed before the request is read.
    Refuse,
    /// The request is executed, and the response is status 500.
    Fail,
    /// The request is executed, but no response is sent.
    Hang,
    /// The connection breaks in the middle of a response of known length.
    CutOff,
    /// The connection breaks in the middle of a chunked response.
    CutOffChunked,
    /// The connection breaks after the execution, before the response.
    Break,
    /// The response is delayed by some seconds.
    Late,
    /// The server reports that it did not start the request.
    NotStarted,
}

impl BackendFault {
    /// All faults with their names.
    pub const ALL: &[(&str, Self)] = &[
        ("none", Self::None),
        ("refuse", Self::Refuse),
        ("fail", Self::Fail),
        ("hang", Self::Hang),
        ("cut-off", Self::CutOff),
        ("cut-off-chunked", Self::CutOffChunked),
        ("break", Self::Break),
        ("late", Self::Late),
        ("not-started", Self::NotStarted),
    ];
}

/// Error for a text that is not the name of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownFault;

impl fmt::Display for UnknownFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = BackendFault::ALL.iter().map(|(name, _)| *name).collect();
        write!(formatter, "use one of: {}", names.join(", "))
    }
}

impl std::error::Error for UnknownFault {}

impl str::FromStr for BackendFault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or(UnknownFault)
    }
}

/// Numbers of executions on the stand-in backend servers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExecutionCounts {
    /// Executions that were started, by the identifier of their request.
    pub executions: BTreeMap<String, u64>,
    /// Executions in progress, with or without an identifier.
    pub running: u64,
    /// Largest number of executions in progress at the same time.
    pub most_running: u64,
}

/// State shared by all connections of a group of stand-in backend servers.
#[derive(Debug, Default)]
pub struct BackendState {
    fault: sync::Mutex<BackendFault>,
    counts: sync::Mutex<ExecutionCounts>,
}

impl BackendState {
    /// Returns the numbers of executions so far.
    pub fn counts(&self) -> ExecutionCounts {
        self.lock_counts().clone()
    }

    /// Returns the fault of all requests without a fault header.
    pub fn fault(&self) -> BackendFault {
        *self
            .fault
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the fault of all requests without a fault header.
    pub fn set_fault(&self, fault: BackendFault) {
        *self
            .fault
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = fault;
    }

    fn lock_counts(&self) -> sync::MutexGuard<'_, ExecutionCounts> {
        self.counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn start(&self, id: Option<&str>) {
        let mut counts = self.lock_counts();
        counts.running += 1;
        counts.most_running = counts.most_running.max(counts.running);
        let Some(id) = id else {
            return;
        };
        if counts.executions.len() < MAX_COUNTED_REQUESTS || counts.executions.contains_key(id) {
            *counts.executions.entry(id.to_owned()).or_default() += 1;
        }
    }

    fn finish(&self) {
        self.lock_counts().running -= 1;
    }
}

/// Starts stand-in backend servers on `listeners`, all on one thread.
///
/// The returned [`Server`] must be awaited or spawned; the handle stops it.
///
/// # Errors
///
/// Fails if a server cannot accept connections on a listener.
pub fn start(
    listeners: Vec<net::TcpListener>,
    state: sync::Arc<BackendState>,
) -> io::Result<(Server, ServerHandle)> {
    let mut builder = Server::build()
        .workers(1)
        .worker_max_blocking_threads(1)
        .disable_signals()
        .shutdown_timeout(1);
    for listener in listeners {
        let state = sync::Arc::clone(&state);
        builder = builder.listen("standin-backend", listener, move || {
            let state = sync::Arc::clone(&state);
            HttpService::build()
                .keep_alive(time::Duration::from_secs(75))
                .client_request_timeout(time::Duration::ZERO)
                .tcp_nodelay(true)
                .h1(move |request| handle(sync::Arc::clone(&state), request))
                .tcp()
        })?;
    }
    let server = builder.run();
    let handle = server.handle();
    Ok((server, handle))
}

/// Error that makes the server close a connection.
#[derive(Debug)]
struct InjectedBreak;

impl fmt::Display for InjectedBreak {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("connection broken by an injected fault")
    }
}

impl std::error::Error for InjectedBreak {}

/// Response body that breaks the connection after its content.
struct BrokenBody {
    content: Option<Bytes>,
    size: BodySize,
    /// Whether the content must be flushed before the connection breaks.
    needs_flush: bool,
}

impl MessageBody for BrokenBody {
    type Error = InjectedBreak;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, InjectedBreak>>> {
        if let Some(content) = self.content.take() {
            return task::Poll::Ready(Some(Ok(content)));
        }
        // Lets the server flush its write buffer before the connection breaks.
        if self.needs_flush {
            self.needs_flush = false;
            context.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        task::Poll::Ready(Some(Err(InjectedBreak)))
    }
}

type BackendResponse = Response<body::BoxBody>;

async fn handle(
    state: sync::Arc<BackendState>,
    request: Request,
) -> Result<BackendResponse, convert::Infallible> {
    let response = match (request.method(), request.path()) {
        (&Method::GET, "/standin/executions") => list_executions(&state),
        (&Method::PUT, "/standin/fault") => change_fault(&state, request).await,
        (&Method::POST, _) => execute(&state, request).await,
        _ => Response::with_body(StatusCode::NOT_FOUND, body::BoxBody::new(())),
    };
    Ok(response)
}

fn list_executions(state: &BackendState) -> BackendResponse {
    match serde_json::to_vec(&state.counts()) {
        Ok(json) => Response::with_body(StatusCode::OK, body::BoxBody::new(json)),
        Err(_) => Response::internal_server_error(),
    }
}

async fn change_fault(state: &BackendState, request: Request) -> BackendResponse {
    let Some(content) = read_body(request).await else {
        return Response::bad_request();
    };
    let parsed = str::from_utf8(&content).ok().map(str::trim);
    let Some(Ok(fault)) = parsed.map(str::parse) else {
        let help = UnknownFault.to_string();
        return Response::with_body(StatusCode::BAD_REQUEST, body::BoxBody::new(help));
    };
    state.set_fault(fault);
    Response::with_body(StatusCode::NO_CONTENT, body::BoxBody::new(()))
}

/// Guard that records the end of an execution when it is dropped, even if the
/// connection is closed by then.
struct ExecutionGuard {
    state: sync::Arc<BackendState>,
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        self.state.finish();
    }
}

async fn execute(state: &sync::Arc<BackendState>, request: Request) -> BackendResponse {
    let fault = requested_fault(request.headers()).unwrap_or_else(|| state.fault());
    match fault {
        BackendFault::Refuse => return breaking_response(Bytes::new(), None),
        BackendFault::NotStarted => return not_started_response(request).await,
        _ => {}
    }
    let delay = requested_delay(request.headers());
    let id = header_text(request.headers(), REQUEST_HEADER).map(str::to_owned);
    let Some(content) = read_body(request).await else {
        return Response::bad_request();
    };
    state.start(id.as_deref());
    let execution = ExecutionGuard {
        state: sync::Arc::clone(state),
    };
    run_detached(execution, fault, delay).await;
    respond(content, fault)
}

/// Runs the execution to its end, even if the connection is closed meanwhile.
async fn run_detached(
    execution: ExecutionGuard,
    fault: BackendFault,
    delay: Option<time::Duration>,
) {
    let duration = match (fault, delay) {
        (BackendFault::Hang, _) => Some(MAX_DELAY),
        (BackendFault::Late, None) => Some(LATE_DELAY),
        (_, delay) => delay,
    };
    let Some(duration) = duration else {
        return;
    };
    let task = actix_rt::spawn(async move {
        actix_rt::time::sleep(duration).await;
        drop(execution);
    });
    let _ = task.await;
}

fn respond(content: Bytes, fault: BackendFault) -> BackendResponse {
    let length = content.len() as u64;
    let half = content.slice(..content.len() / 2);
    match fault {
        BackendFault::CutOff => breaking_response(half, Some(BodySize::Sized(length.max(1)))),
        BackendFault::CutOffChunked => breaking_response(half, Some(BodySize::Stream)),
        BackendFault::Break => breaking_response(Bytes::new(), None),
        BackendFault::Fail => Response::internal_server_error(),
        _ => echo_response(content),
    }
}

fn echo_response(content: Bytes) -> BackendResponse {
    let digest = sha2::Sha256::digest(&content);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let mut response = Response::with_body(StatusCode::OK, body::BoxBody::new(content));
    if let Ok(value) = HeaderValue::from_str(&digest) {
        let name = actix_http::header::HeaderName::from_static(DIGEST_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Returns a response that breaks the connection after `content`; without a
/// size, the connection breaks before any of the response is sent.
fn breaking_response(content: Bytes, size: Option<BodySize>) -> BackendResponse {
    let body = BrokenBody {
        content: Some(content),
        size: size.unwrap_or(BodySize::Stream),
        needs_flush: size.is_some(),
    };
    Response::with_body(StatusCode::OK, body::BoxBody::new(body))
}

async fn not_started_response(request: Request) -> BackendResponse {
    let _ = read_body(request).await;
    let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, body::BoxBody::new(()));
    let name = actix_http::header::HeaderName::from_static(NOT_STARTED_HEADER);
    response
        .headers_mut()
        .insert(name, HeaderValue::from_static("true"));
    response
}

async fn read_body(mut request: Request) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut content = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        content.extend_from_slice(&chunk.ok()?);
    }
    Some(content.freeze())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn requested_fault(headers: &HeaderMap) -> Option<BackendFault> {
    header_text(headers, FAULT_HEADER)?.parse().ok()
}

fn requested_delay(headers: &HeaderMap) -> Option<time::Duration> {
    let seconds: f64 = header_text(headers, DELAY_HEADER)?.trim().parse().ok()?;
    let delay = time::Duration::try_from_secs_f64(seconds).ok()?;
    Some(delay.min(MAX_DELAY))
}
