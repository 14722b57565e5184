//! One request and response on a connection to a backend server.

use std::fmt;
use std::future;
use std::net;
use std::pin;
use std::rc;
use std::task;

use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap};
use actix_http::{Method, RequestHead, StatusCode};
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_core::Stream;
use redwing_model::RunOutcome;

use crate::connection::{self, ConnectionLimiter, ConnectionMonitor, MonitoredConnector};
use crate::request_body::AttemptBody;
use crate::settings::PathLimits;

/// Hop-by-hop headers, and headers that the process sets itself.
const CONNECTION_HEADERS: &[header::HeaderName] = &[
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Hop-by-hop header of HTTP/1.0 clients.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Header by which a backend server states that it did not start a request.
const NOT_STARTED_HEADER: &str = "redwing-not-started";

/// Response type of the client library.
type BackendResponse = awc::ClientResponse;

/// HTTP client of one traffic thread for all backend servers.
#[derive(Clone)]
pub struct BackendClient {
    client: awc::Client,
    limiter: ConnectionLimiter,
}

impl BackendClient {
    /// Creates a client; `limiter` is shared with the other threads.
    pub fn new(limits: &PathLimits, limiter: ConnectionLimiter) -> Self {
        let connector = awc::Connector::new()
            .connector(MonitoredConnector)
            .timeout(limits.connect_timeout)
            .limit(0)
            .conn_keep_alive(limits.backend_idle_timeout);
        let client = awc::ClientBuilder::new()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, limiter }
    }

    /// Starts an exchange with the backend server at `address`.
    pub fn start(
        &self,
        address: net::SocketAddr,
        head: &RequestHead,
        body: AttemptBody,
    ) -> BackendExchange {
        let guard = self.limiter.try_acquire(address);
        let uri = format!("http://{address}{}", head.uri.path());
        let mut request = self
            .client
            .request(Method::POST, uri)
            .address(address)
            .no_decompress();
        if guard.is_none() {
            request = request.force_close();
        }
        copy_headers(&head.headers, request.headers_mut());
        request.headers_mut().remove(header::AUTHORIZATION);
        let monitor = rc::Rc::new(ConnectionMonitor::new(guard));
        let sending = connection::with_monitor(&monitor, || request.send_body(body));
        BackendExchange {
            monitor,
            state: ExchangeState::Sending(sending),
        }
    }
}

/// Copies the end-to-end headers.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !is_connection_header(from, name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_connection_header(headers: &HeaderMap, name: &header::HeaderName) -> bool {
    if CONNECTION_HEADERS.contains(name) || name.as_str() == KEEP_ALIVE_HEADER {
        return true;
    }
    let connection_options = headers.get_all(header::CONNECTION);
    connection_options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No connection could be opened, or nothing could be sent on it.
    Unreachable,
    /// The backend server stated that it did not start the request.
    NotStarted,
    /// The connection was lost before the response head arrived.
    Broken,
    /// The response was truncated, or the end of its body is not marked.
    Truncated,
    /// The response is malformed.
    Malformed,
    /// The caller's request body could not be read to its end.
    RequestBody,
}

impl FailureKind {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NotStarted => "not-started",
            Self::Broken => "broken",
            Self::Truncated => "truncated",
            Self::Malformed => "malformed",
            Self::RequestBody => "caller-body",
        }
    }

    /// Returns whether the failure counts against the backend server.
    pub fn is_backend_error(self) -> bool {
        !matches!(self, Self::RequestBody | Self::NotStarted)
    }
}

impl fmt::Display for FailureKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Failed exchange, with the execution outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeFailure {
    /// Why the exchange failed.
    pub kind: FailureKind,
    /// Whether the request was executed.
    pub outcome: RunOutcome,
}

/// Head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Size of the body.
    pub size: BodySize,
}

enum ExchangeState {
    Sending(awc::SendClientRequest),
    Receiving(BackendResponse),
    Ended,
}

/// Exchange in progress. Dropping it closes its connection.
pub struct BackendExchange {
    monitor: rc::Rc<ConnectionMonitor>,
    state: ExchangeState,
}

impl BackendExchange {
    /// Returns whether a byte of the request was sent.
    pub fn has_written(&self) -> bool {
        self.monitor.has_written()
    }

    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if no response head arrives, which ends the exchange.
    pub async fn head(&mut self) -> Result<ResponseHead, ExchangeFailure> {
        future::poll_fn(|context| self.poll_head(context)).await
    }

    /// Reads and discards the rest of the response, including its head.
    ///
    /// # Errors
    ///
    /// Fails if the response is incomplete.
    pub async fn discard(&mut self) -> Result<(), ExchangeFailure> {
        if matches!(self.state, ExchangeState::Sending(_)) {
            self.head().await?;
        }
        while let Some(chunk) = future::poll_fn(|context| self.poll_chunk(context)).await {
            chunk?;
        }
        Ok(())
    }

    /// Polls for the next chunk of the response body.
    ///
    /// Returns `None` only if the response is complete.
    pub fn poll_chunk(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, ExchangeFailure>>> {
        let ExchangeState::Receiving(payload) = &mut self.state else {
            return task::Poll::Ready(None);
        };
        let poll = || pin::Pin::new(payload).poll_next(context);
        let next = task::ready!(connection::with_monitor(&self.monitor, poll));
        let truncated = next.is_none() && self.monitor.is_closed();
        let result = match next {
            Some(Ok(chunk)) => return task::Poll::Ready(Some(Ok(chunk))),
            None if !truncated => None,
            None => Some(Err(self.failure(FailureKind::Truncated))),
            Some(Err(error)) => Some(Err(self.failure(payload_failure_kind(&error)))),
        };
        self.state = ExchangeState::Ended;
        task::Poll::Ready(result)
    }

    fn poll_head(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<ResponseHead, ExchangeFailure>> {
        let ExchangeState::Sending(sending) = &mut self.state else {
            return task::Poll::Ready(Err(self.failure(FailureKind::Broken)));
        };
        let poll = || future::Future::poll(pin::Pin::new(sending), context);
        let result = task::ready!(connection::with_monitor(&self.monitor, poll));
        self.state = ExchangeState::Ended;
        task::Poll::Ready(match result {
            Ok(response) => self.accept_response(response),
            Err(error) => Err(self.failure(self.send_failure_kind(&error))),
        })
    }

    fn accept_response(
        &mut self,
        response: BackendResponse,
    ) -> Result<ResponseHead, ExchangeFailure> {
        if is_not_started(&response) {
            return Err(ExchangeFailure {
                kind: FailureKind::NotStarted,
                outcome: RunOutcome::NotRun,
            });
        }
        let Some(size) = response_size(&response) else {
            return Err(self.failure(FailureKind::Truncated));
        };
        let status = response.status();
        let mut headers = HeaderMap::with_capacity(response.headers().len());
        copy_headers(response.headers(), &mut headers);
        self.state = ExchangeState::Receiving(response);
        Ok(ResponseHead {
            status,
            headers,
            size,
        })
    }

    fn failure(&self, kind: FailureKind) -> ExchangeFailure {
        let outcome = if self.has_written() {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        ExchangeFailure { kind, outcome }
    }

    fn send_failure_kind(&self, error: &SendRequestError) -> FailureKind {
        match error {
            SendRequestError::Body(_) => FailureKind::RequestBody,
            SendRequestError::Response(_) => FailureKind::Malformed,
            _ if self.has_written() => FailureKind::Broken,
            _ => FailureKind::Unreachable,
        }
    }
}

fn payload_failure_kind(error: &PayloadError) -> FailureKind {
    match error {
        PayloadError::EncodingCorrupted => FailureKind::Malformed,
        _ => FailureKind::Truncated,
    }
}

fn is_not_started(response: &BackendResponse) -> bool {
    let header = response.headers().get(NOT_STARTED_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && header.is_some_and(|value| value.as_bytes() == b"true")
}

/// Returns the size of the body, or `None` if the end of the body is marked
/// only by closing the connection, which looks the same as a lost connection.
fn response_size(response: &BackendResponse) -> Option<BodySize> {
    let status = response.status();
    if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Some(BodySize::None);
    }
    let headers = response.headers();
    let encodings = headers.get_all(header::TRANSFER_ENCODING);
    let chunked = encodings
        .filter_map(|value| value.to_str().ok())
        .any(|text| text.trim().eq_ignore_ascii_case("chunked"));
    if chunked {
        return Some(BodySize::Stream);
    }
    let length = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    length.trim().parse().ok().map(BodySize::Sized)
}
