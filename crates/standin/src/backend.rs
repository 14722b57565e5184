//! Stand-in backend servers, with faults on request.
//!
//! A stand-in backend server answers `POST` with the body it received, its
//! SHA-256 in `Redwing-Standin-Digest`, and keeps count of executions under
//! the identifier in `Redwing-Standin-Request`.
//!
//! | request header | effect |
//! | --- | --- |
//! | `Redwing-Standin-Delay: SECONDS` | the execution takes this long |
//! | `Redwing-Standin-Fault: KIND` | one of the faults of [`BackendFault`] |
//! | `Redwing-Standin-Request: ID` | executions are counted under this identifier |
//!
//! `GET /standin/executions` lists the counts as JSON, and
//! `PUT /standin/fault` with a kind as body sets the fault of all requests.

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

/// Header with the time an execution takes, in seconds.
pub const DELAY_HEADER: &str = "redwing-standin-delay";

/// Header with the fault that a request meets.
pub const FAULT_HEADER: &str = "redwing-standin-fault";

/// Header with the identifier under which executions are counted.
pub const REQUEST_HEADER: &str = "redwing-standin-request";

/// Header by which a backend server states that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "redwing-not-started";

/// Longest execution that a request may ask for.
const MAX_DELAY: time::Duration = time::Duration::from_secs(3_600);

/// Delay of an answer that comes late, if the request asks for none.
const LATE_DELAY: time::Duration = time::Duration::from_secs(5);

/// Largest number of identifiers under which executions are counted.
const MAX_COUNTED_REQUESTS: usize = 1_000_000;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendFault {
    /// Nothing goes wrong.
    #[default]
    None,
    /// The connection is closed before the request is read.
    Refuse,
    /// The answer is status 500, at once.
    Fail,
    /// The request is executed, but no answer ever comes.
    Hang,
    /// The connection breaks in the middle of an answer of known length.
    CutOff,
    /// The connection breaks in the middle of an answer sent in chunks.
    CutOffChunked,
    /// The connection breaks after the execution, before the answer.
    Break,
    /// The answer comes some seconds late.
    Late,
    /// The server states that it did not start the request.
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

/// Error for a text that names no fault.
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

/// Executions that the stand-in backend servers saw.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExecutionCounts {
    /// Executions that began, by the identifier of their request.
    pub executions: BTreeMap<String, u64>,
    /// Executions under way now, with or without an identifier.
    pub running: u64,
    /// Largest number of executions under way at once.
    pub most_running: u64,
}

/// State that all connections of some stand-in backend servers share.
#[derive(Debug, Default)]
pub struct BackendState {
    fault: sync::Mutex<BackendFault>,
    counts: sync::Mutex<ExecutionCounts>,
}

impl BackendState {
    /// Returns the executions seen so far.
    pub fn counts(&self) -> ExecutionCounts {
        self.lock_counts().clone()
    }

    /// Returns the fault of all requests.
    pub fn fault(&self) -> BackendFault {
        *self
            .fault
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the fault of all requests.
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
/// Fails if a listener cannot be used.
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

/// Reason for which a connection is closed without an answer.
#[derive(Debug)]
struct ConnectionBreak;

impl fmt::Display for ConnectionBreak {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the fault asks for a broken connection")
    }
}

impl std::error::Error for ConnectionBreak {}

/// Body that ends with a broken connection after its content.
struct BrokenBody {
    content: Option<Bytes>,
    size: BodySize,
    waits: bool,
}

impl MessageBody for BrokenBody {
    type Error = ConnectionBreak;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, ConnectionBreak>>> {
        if let Some(content) = self.content.take() {
            return task::Poll::Ready(Some(Ok(content)));
        }
        // Lets the connection flush what it holds before it breaks.
        if self.waits {
            self.waits = false;
            context.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        task::Poll::Ready(Some(Err(ConnectionBreak)))
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

/// Counts the end of an execution, also when its connection has gone.
struct RunningExecution {
    state: sync::Arc<BackendState>,
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        self.state.finish();
    }
}

async fn execute(state: &sync::Arc<BackendState>, request: Request) -> BackendResponse {
    let fault = requested_fault(request.headers()).unwrap_or_else(|| state.fault());
    match fault {
        BackendFault::Refuse => return broken(Bytes::new(), None),
        BackendFault::NotStarted => return not_started(request).await,
        _ => {}
    }
    let delay = requested_delay(request.headers());
    let id = header_text(request.headers(), REQUEST_HEADER).map(str::to_owned);
    let Some(content) = read_body(request).await else {
        return Response::bad_request();
    };
    state.start(id.as_deref());
    let execution = RunningExecution {
        state: sync::Arc::clone(state),
    };
    run_detached(execution, fault, delay).await;
    answer(content, fault)
}

/// Executes to the end even if the connection goes away meanwhile.
async fn run_detached(
    execution: RunningExecution,
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

fn answer(content: Bytes, fault: BackendFault) -> BackendResponse {
    let length = content.len() as u64;
    let half = content.slice(..content.len() / 2);
    match fault {
        BackendFault::CutOff => broken(half, Some(BodySize::Sized(length.max(1)))),
        BackendFault::CutOffChunked => broken(half, Some(BodySize::Stream)),
        BackendFault::Break => broken(Bytes::new(), None),
        BackendFault::Fail => Response::internal_server_error(),
        _ => echo(content),
    }
}

fn echo(content: Bytes) -> BackendResponse {
    let digest = sha2::Sha256::digest(&content);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let mut response = Response::with_body(StatusCode::OK, body::BoxBody::new(content));
    if let Ok(value) = HeaderValue::from_str(&digest) {
        let name = actix_http::header::HeaderName::from_static(DIGEST_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

/// Answers with `content` and breaks the connection; without a size, before
/// anything of the answer was sent.
fn broken(content: Bytes, size: Option<BodySize>) -> BackendResponse {
    let body = BrokenBody {
        content: Some(content),
        size: size.unwrap_or(BodySize::Stream),
        waits: size.is_some(),
    };
    Response::with_body(StatusCode::OK, body::BoxBody::new(body))
}

async fn not_started(request: Request) -> BackendResponse {
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
