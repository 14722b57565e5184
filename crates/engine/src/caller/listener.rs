//! The listeners for callers and for the balancer.

use std::convert;
use std::net;
use std::rc;
use std::sync;
use std::time;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{ConnectionType, HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_server::{Server, ServerBuilder};
use actix_service::fn_factory;
use futures_util::StreamExt;
use redwing_provider::{ClientSettings, TableClient};
use tokio::sync::watch;

use crate::codec::{CallerAnswer, CallerHead, DeploymentCodec};
use crate::error::{Error, Result};
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::services::ServicesFactory;

use super::answer::{CallerDesk, CallerSettings, CallerVerb};

/// Largest body of a caller's request, in bytes.
const MAX_BODY_BYTES: usize = 512 * 1024;

/// Longest time for the head of a request on a new connection.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Longest time that a connection may be idle.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Path at which metrics are read.
const METRICS_PATH: &str = "/metrics";

/// Scheme that may stand before a key.
const KEY_SCHEME: &str = "Bearer ";

/// Largest number of connections of callers.
const MAX_CONNECTIONS: usize = 3_000;

/// Age of the operators' view above which the process takes no callers.
const READY_AGE: time::Duration = time::Duration::from_millis(2_500);

/// Listeners of an entry process.
#[derive(Debug)]
pub struct EngineListeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For the balancer; none if it uses that for callers.
    pub balancer: Option<net::TcpListener>,
}

impl EngineListeners {
    /// Listens on the addresses for callers and for the balancer.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    pub fn bind(callers: net::SocketAddr, balancer: net::SocketAddr) -> Result<Self> {
        let listen = |address: net::SocketAddr| {
            let bound = net::TcpListener::bind(address);
            bound.map_err(|error| Error::start("listen", address, error))
        };
        let balancer = (balancer != callers).then(|| listen(balancer));
        Ok(Self {
            callers: listen(callers)?,
            balancer: balancer.transpose()?,
        })
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn address(&self) -> Result<net::SocketAddr> {
        let address = self.callers.local_addr();
        address.map_err(|error| Error::start("listen", "callers", error))
    }
}

/// What the traffic thread needs.
#[derive(Clone)]
pub struct ListenerParts {
    /// Bounds of the answers.
    pub settings: CallerSettings,
    /// Bounds of the table's client.
    pub client: ClientSettings,
    /// Creates the thread's services.
    pub factory: sync::Arc<dyn ServicesFactory>,
    /// What operators declared.
    pub operators: watch::Receiver<OperatorView>,
    /// Metrics of the process.
    pub metrics: JobMetrics,
    /// Becomes true once the process is to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Starts the traffic thread.
///
/// # Errors
///
/// Fails if a listener cannot be used.
pub fn start(listeners: EngineListeners, parts: &ListenerParts) -> Result<Server> {
    let builder = ServerBuilder::new()
        .workers(1)
        .worker_max_blocking_threads(1)
        .max_concurrent_connections(MAX_CONNECTIONS)
        .shutdown_timeout(1)
        .disable_signals();
    let builder = listen(builder, "callers", listeners.callers, parts)?;
    let builder = match listeners.balancer {
        Some(balancer) => listen(builder, "balancer", balancer, parts)?,
        None => builder,
    };
    Ok(builder.run())
}

fn listen(
    builder: ServerBuilder,
    name: &'static str,
    listener: net::TcpListener,
    parts: &ListenerParts,
) -> Result<ServerBuilder> {
    let parts = parts.clone();
    let factory = move || {
        let parts = parts.clone();
        HttpService::build()
            .keep_alive(IDLE_TIMEOUT)
            .client_request_timeout(HEAD_TIMEOUT)
            .tcp_nodelay(true)
            .h1(fn_factory(move || {
                let thread = rc::Rc::new(TrafficThread::new(&parts));
                async move {
                    Ok::<_, ()>(actix_service::fn_service(move |request| {
                        serve(rc::Rc::clone(&thread), request)
                    }))
                }
            }))
            .tcp()
    };
    let listening = builder.listen(name, listener, factory);
    listening.map_err(|error| Error::start("listen", name, error))
}

async fn serve(
    thread: rc::Rc<TrafficThread>,
    request: Request,
) -> std::result::Result<Response<BoxBody>, convert::Infallible> {
    Ok(thread.serve(request).await)
}

struct TrafficThread {
    desk: CallerDesk,
    codec: sync::Arc<dyn DeploymentCodec>,
    operators: watch::Receiver<OperatorView>,
    metrics: JobMetrics,
    stopping: watch::Receiver<bool>,
}

impl TrafficThread {
    fn new(parts: &ListenerParts) -> Self {
        let services = parts.factory.services();
        let client = TableClient::new(services.table, parts.client.clone());
        let codec = parts.factory.codec();
        Self {
            desk: CallerDesk::new(
                parts.settings.clone(),
                client,
                sync::Arc::clone(&codec),
                parts.operators.clone(),
            ),
            codec,
            operators: parts.operators.clone(),
            metrics: parts.metrics.clone(),
            stopping: parts.stopping.clone(),
        }
    }

    async fn serve(&self, request: Request) -> Response<BoxBody> {
        if request.method() == Method::GET && request.path() == self.codec.readiness_path() {
            return self.readiness();
        }
        if request.method() == Method::GET && request.path() == METRICS_PATH {
            return self.metrics();
        }
        let mut response = self.serve_caller(request).await;
        if *self.stopping.borrow() {
            // Moves callers away from a process that is about to stop.
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }

    fn readiness(&self) -> Response<BoxBody> {
        let view = self.operators.borrow();
        let is_ready =
            view.manifest.is_some() && view.age() < READY_AGE && !*self.stopping.borrow();
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Response::new(status)
    }

    fn metrics(&self) -> Response<BoxBody> {
        match self.metrics.text() {
            Ok(text) => Response::with_body(StatusCode::OK, text.boxed()),
            Err(error) => {
                log_job_event!(error, event::METRICS_UNWRITTEN, error = error);
                Response::internal_server_error()
            }
        }
    }

    async fn serve_caller(&self, mut request: Request) -> Response<BoxBody> {
        let verb = match *request.method() {
            Method::POST | Method::PUT => CallerVerb::Submit,
            Method::GET => CallerVerb::Read,
            Method::DELETE => CallerVerb::Cancel,
            _ => return self.encode(&CallerAnswer::NotAllowed),
        };
        let head = self.head(&request);
        match read_body(&mut request).await {
            Ok(body) => {
                let begun = time::Instant::now();
                let answer = self.desk.answer(verb, &head, &body).await;
                self.metrics
                    .count_call(verb.name(), answer.name(), begun.elapsed());
                self.encode(&answer)
            }
            Err(problem) => self.encode(&CallerAnswer::Malformed(problem)),
        }
    }

    fn head(&self, request: &Request) -> CallerHead {
        let headers = request.headers();
        let host = header_text(headers, header::HOST.as_str());
        let patience = header_text(headers, self.codec.patience_header());
        let patience = patience.and_then(|text| text.parse().ok());
        CallerHead {
            host: host.unwrap_or_default(),
            path: request.path().to_owned(),
            key: header_text(headers, self.codec.key_header()).map(|text| bare_key(&text)),
            patience: patience.map(time::Duration::from_millis),
        }
    }

    fn encode(&self, answer: &CallerAnswer) -> Response<BoxBody> {
        let encoded = self.codec.answer(answer);
        let status =
            StatusCode::from_u16(encoded.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::with_body(status, encoded.body.boxed());
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let CallerAnswer::Unavailable { retry_after } = answer {
            let seconds = retry_after.as_secs_f64().ceil() as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}

/// Returns a key without the scheme that may stand before it.
fn bare_key(text: &str) -> String {
    text.strip_prefix(KEY_SCHEME).unwrap_or(text).to_owned()
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let name = HeaderName::try_from(name).ok()?;
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn read_body(request: &mut Request) -> std::result::Result<Vec<u8>, String> {
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|error| error.to_string())?;
        if body.len() + piece.len() > MAX_BODY_BYTES {
            return Err(format!("the body has more than {MAX_BODY_BYTES} bytes"));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}
