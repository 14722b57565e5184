//! One request and answer on a connection to a backend server.

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

use crate::connect::{self, ConnectionSeats, ExchangeProbe, ProbeConnector};
use crate::relay::AttemptBody;
use crate::settings::PathLimits;

/// Headers that concern one connection only, or that the process sets itself.
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

/// Header that old clients use beside `Connection`.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Header by which a backend server states that it did not start a request.
const NOT_STARTED_HEADER: &str = "redwing-not-started";

/// Payload of an answer, as the client library hands it out.
type AnswerPayload = awc::ClientResponse;

/// Client of one traffic thread for all backend servers.
#[derive(Clone)]
pub struct BackendClient {
    client: awc::Client,
    seats: ConnectionSeats,
}

impl BackendClient {
    /// Creates a client; `seats` are shared with the other threads.
    pub fn new(limits: &PathLimits, seats: ConnectionSeats) -> Self {
        let connector = awc::Connector::new()
            .connector(ProbeConnector)
            .timeout(limits.connect_timeout)
            .limit(0)
            .conn_keep_alive(limits.backend_idle_timeout);
        let client = awc::ClientBuilder::new()
            .connector(connector)
            .no_default_headers()
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, seats }
    }

    /// Begins an exchange with the backend server at `address`.
    pub fn begin(
        &self,
        address: net::SocketAddr,
        head: &RequestHead,
        body: AttemptBody,
    ) -> BackendExchange {
        let seat = self.seats.take(address);
        let uri = format!("http://{address}{}", head.uri.path());
        let mut request = self
            .client
            .request(Method::POST, uri)
            .address(address)
            .no_decompress();
        if seat.is_none() {
            request = request.force_close();
        }
        copy_headers(&head.headers, request.headers_mut());
        request.headers_mut().remove(header::AUTHORIZATION);
        let probe = rc::Rc::new(ExchangeProbe::new(seat));
        let sending = connect::probed(&probe, || request.send_body(body));
        BackendExchange {
            probe,
            state: ExchangeState::Sending(sending),
        }
    }
}

/// Copies the headers that pass from one connection to the next.
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
    let nominated = headers.get_all(header::CONNECTION);
    nominated
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
}

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeFault {
    /// No connection could be made, or nothing could be sent on it.
    Unreachable,
    /// The backend server stated that it did not start the request.
    NotStarted,
    /// The connection broke before the answer began.
    Broken,
    /// The answer broke off, or its end could not be told.
    Truncated,
    /// The answer is malformed.
    Malformed,
    /// The request body could not be read to its end.
    CallerBody,
}

impl ExchangeFault {
    /// Returns the name of the fault in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NotStarted => "not-started",
            Self::Broken => "broken",
            Self::Truncated => "truncated",
            Self::Malformed => "malformed",
            Self::CallerBody => "caller-body",
        }
    }

    /// Returns whether the fault lies with the backend server.
    pub fn is_faulty(self) -> bool {
        !matches!(self, Self::CallerBody | Self::NotStarted)
    }
}

impl fmt::Display for ExchangeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Failed exchange, with what is known of the execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeFailure {
    /// What went wrong.
    pub fault: ExchangeFault,
    /// What is known of the execution.
    pub outcome: RunOutcome,
}

/// Head of an answer that has begun.
#[derive(Debug)]
pub struct AnswerHead {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Size of its body.
    pub size: BodySize,
}

enum ExchangeState {
    Sending(awc::SendClientRequest),
    Receiving(AnswerPayload),
    Ended,
}

/// Exchange under way. Dropping it closes its connection.
pub struct BackendExchange {
    probe: rc::Rc<ExchangeProbe>,
    state: ExchangeState,
}

impl BackendExchange {
    /// Returns whether a byte of the request was sent.
    pub fn has_written(&self) -> bool {
        self.probe.has_written()
    }

    /// Waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer cannot begin; the exchange is over then.
    pub async fn head(&mut self) -> Result<AnswerHead, ExchangeFailure> {
        future::poll_fn(|context| self.poll_head(context)).await
    }

    /// Reads and discards the rest of the answer, its head included.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not come to its end.
    pub async fn discard(&mut self) -> Result<(), ExchangeFailure> {
        if matches!(self.state, ExchangeState::Sending(_)) {
            self.head().await?;
        }
        while let Some(chunk) = future::poll_fn(|context| self.poll_chunk(context)).await {
            chunk?;
        }
        Ok(())
    }

    /// Polls for the next piece of the answer body.
    ///
    /// The end is reported only if the answer is complete.
    pub fn poll_chunk(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Bytes, ExchangeFailure>>> {
        let ExchangeState::Receiving(payload) = &mut self.state else {
            return task::Poll::Ready(None);
        };
        let poll = || pin::Pin::new(payload).poll_next(context);
        let next = task::ready!(connect::probed(&self.probe, poll));
        let broke_off = next.is_none() && self.probe.is_closed();
        let result = match next {
            Some(Ok(chunk)) => return task::Poll::Ready(Some(Ok(chunk))),
            None if !broke_off => None,
            None => Some(Err(self.failure(ExchangeFault::Truncated))),
            Some(Err(error)) => Some(Err(self.failure(payload_fault(&error)))),
        };
        self.state = ExchangeState::Ended;
        task::Poll::Ready(result)
    }

    fn poll_head(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Result<AnswerHead, ExchangeFailure>> {
        let ExchangeState::Sending(sending) = &mut self.state else {
            return task::Poll::Ready(Err(self.failure(ExchangeFault::Broken)));
        };
        let poll = || future::Future::poll(pin::Pin::new(sending), context);
        let result = task::ready!(connect::probed(&self.probe, poll));
        self.state = ExchangeState::Ended;
        task::Poll::Ready(match result {
            Ok(response) => self.accept(response),
            Err(error) => Err(self.failure(self.send_fault(&error))),
        })
    }

    fn accept(&mut self, response: AnswerPayload) -> Result<AnswerHead, ExchangeFailure> {
        if is_not_started(&response) {
            return Err(ExchangeFailure {
                fault: ExchangeFault::NotStarted,
                outcome: RunOutcome::NotRun,
            });
        }
        let Some(size) = answer_size(&response) else {
            return Err(self.failure(ExchangeFault::Truncated));
        };
        let status = response.status();
        let mut headers = HeaderMap::with_capacity(response.headers().len());
        copy_headers(response.headers(), &mut headers);
        self.state = ExchangeState::Receiving(response);
        Ok(AnswerHead {
            status,
            headers,
            size,
        })
    }

    fn failure(&self, fault: ExchangeFault) -> ExchangeFailure {
        let outcome = if self.has_written() {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        };
        ExchangeFailure { fault, outcome }
    }

    fn send_fault(&self, error: &SendRequestError) -> ExchangeFault {
        match error {
            SendRequestError::Body(_) => ExchangeFault::CallerBody,
            SendRequestError::Response(_) => ExchangeFault::Malformed,
            _ if self.has_written() => ExchangeFault::Broken,
            _ => ExchangeFault::Unreachable,
        }
    }
}

fn payload_fault(error: &PayloadError) -> ExchangeFault {
    match error {
        PayloadError::EncodingCorrupted => ExchangeFault::Malformed,
        _ => ExchangeFault::Truncated,
    }
}

fn is_not_started(response: &AnswerPayload) -> bool {
    let stated = response.headers().get(NOT_STARTED_HEADER);
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && stated.is_some_and(|value| value.as_bytes() == b"true")
}

/// Returns the size of the body, or `None` if only the end of the connection
/// would end it, which cannot be told from a broken connection.
fn answer_size(response: &AnswerPayload) -> Option<BodySize> {
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
