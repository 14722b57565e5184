//! HTTP listeners for callers and for the balancer.

use std::convert;
use std::net;
use std::rc;
use std::sync;
use std::time;

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{
    ConnectionType, HttpMessage, HttpService, Method, Payload, Request, Response, StatusCode,
};
use actix_server::{Server, ServerBuilder};
use actix_service::fn_factory;
use bytes::Bytes;
use redwing_provider::{ClientSettings, TableClient};
use tokio::sync::watch;
use tokio::time as timer;

use crate::codec::{CallerHead, CallerResponse, DeploymentCodec};
use crate::error::{Error, Result};
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::metrics::JobMetrics;
use crate::services::ServicesFactory;
use crate::stop::{CLOSING_TIME, StopPhase};

use super::body::{BodyError, BodyReader, UnreadBody};
use super::service::{CallerService, CallerSettings, CallerVerb};

/// Time limit for the head of a request on a new connection.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time for which a caller may still send to a connection that is being closed, so that it can
/// read the response.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Authorization scheme that may precede a key.
const KEY_SCHEME: &str = "Bearer ";

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 3_000;

/// Age of the operator view from which the process reports that it is not ready.
const MAX_READY_AGE: time::Duration = time::Duration::from_millis(2_500);

/// Listening sockets of an entry process.
#[derive(Debug)]
pub struct EngineListeners {
    /// Listener for callers.
    pub callers: net::TcpListener,
    /// Listener for the balancer; none if it uses the listener for callers.
    pub balancer: Option<net::TcpListener>,
}

impl EngineListeners {
    /// Listens on the addresses for callers and for the balancer.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound to its address.
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
    /// Fails if the operating system cannot report it.
    pub fn address(&self) -> Result<net::SocketAddr> {
        let address = self.callers.local_addr();
        address.map_err(|error| Error::start("listen", "callers", error))
    }
}

/// Dependencies of the traffic thread.
#[derive(Clone)]
pub struct ListenerDependencies {
    /// Settings of the responses to callers.
    pub settings: CallerSettings,
    /// Settings of the table client.
    pub client: ClientSettings,
    /// Factory of the services of the thread.
    pub factory: sync::Arc<dyn ServicesFactory>,
    /// Manifest and waves of the operators.
    pub operators: watch::Receiver<OperatorView>,
    /// Metrics of the process.
    pub metrics: JobMetrics,
    /// Whether the process is stopping.
    pub stop_phase: watch::Receiver<StopPhase>,
}

/// Starts the traffic thread.
///
/// # Errors
///
/// Fails if a listener cannot be used.
pub fn start(listeners: EngineListeners, dependencies: &ListenerDependencies) -> Result<Server> {
    let builder = ServerBuilder::new()
        .workers(1)
        .worker_max_blocking_threads(1)
        .max_concurrent_connections(MAX_CONNECTIONS)
        .shutdown_timeout(CLOSING_TIME.as_secs())
        .disable_signals();
    let bodies = BodyReader::new(dependencies.settings.body);
    let builder = listen(builder, "callers", listeners.callers, dependencies, &bodies)?;
    let builder = match listeners.balancer {
        Some(balancer) => listen(builder, "balancer", balancer, dependencies, &bodies)?,
        None => builder,
    };
    Ok(builder.run())
}

fn listen(
    builder: ServerBuilder,
    name: &'static str,
    listener: net::TcpListener,
    dependencies: &ListenerDependencies,
    bodies: &BodyReader,
) -> Result<ServerBuilder> {
    let dependencies = dependencies.clone();
    let bodies = bodies.clone();
    let factory = move || {
        let dependencies = dependencies.clone();
        let bodies = bodies.clone();
        HttpService::build()
            .keep_alive(IDLE_TIMEOUT)
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(CLOSE_TIMEOUT)
            .tcp_nodelay(true)
            .h1(fn_factory(move || {
                let thread = rc::Rc::new(TrafficThread::new(&dependencies, bodies.clone()));
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

/// State of the traffic thread.
struct TrafficThread {
    service: CallerService,
    bodies: BodyReader,
    /// Time after which callers may retry while no memory is left for their body.
    retry_after: time::Duration,
    codec: sync::Arc<dyn DeploymentCodec>,
    operators: watch::Receiver<OperatorView>,
    metrics: JobMetrics,
    stop_phase: watch::Receiver<StopPhase>,
}

impl TrafficThread {
    fn new(dependencies: &ListenerDependencies, bodies: BodyReader) -> Self {
        let services = dependencies.factory.services();
        let client = TableClient::new(services.table, dependencies.client.clone());
        let codec = dependencies.factory.codec();
        Self {
            service: CallerService::new(
                dependencies.settings.clone(),
                client,
                sync::Arc::clone(&codec),
                dependencies.operators.clone(),
            ),
            bodies,
            retry_after: dependencies.settings.retry_after,
            codec,
            operators: dependencies.operators.clone(),
            metrics: dependencies.metrics.clone(),
            stop_phase: dependencies.stop_phase.clone(),
        }
    }

    async fn serve(&self, mut request: Request) -> Response<BoxBody> {
        let mut payload = request.take_payload();
        if request.method() == Method::GET && request.path() == self.codec.readiness_path() {
            return with_unread(self.readiness(), payload);
        }
        if request.method() == Method::GET && request.path() == METRICS_PATH {
            return with_unread(self.metrics(), payload);
        }
        let response = self.serve_caller(&request, &mut payload).await;
        let mut response = with_unread(self.encode(&response), payload);
        if self.stop_phase.borrow().is_stopping() {
            // Callers should reconnect to a process that is not stopping.
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }

    fn readiness(&self) -> Response<Bytes> {
        let view = self.operators.borrow();
        let is_stopping = self.stop_phase.borrow().is_stopping();
        let is_ready = view.manifest.is_some() && view.age() < MAX_READY_AGE && !is_stopping;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Response::with_body(status, Bytes::new())
    }

    fn metrics(&self) -> Response<Bytes> {
        match self.metrics.text() {
            Ok(text) => Response::with_body(StatusCode::OK, text.into()),
            Err(error) => {
                log_job_event!(error, event::METRICS_UNWRITTEN, error = error);
                Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }

    async fn serve_caller(&self, request: &Request, payload: &mut Payload) -> CallerResponse {
        let verb = match *request.method() {
            Method::POST | Method::PUT => CallerVerb::Submit,
            Method::GET => CallerVerb::Read,
            Method::DELETE => CallerVerb::Cancel,
            _ => return CallerResponse::NotAllowed,
        };
        let head = self.head(request);
        let declared_bytes = header_text(request.headers(), header::CONTENT_LENGTH.as_str());
        let declared_bytes = declared_bytes.and_then(|text| text.parse().ok());
        let body = match self.bodies.read(payload, declared_bytes).await {
            Ok(body) => body,
            Err(error) => return self.refuse_body(&error),
        };
        let started = time::Instant::now();
        let response = self.service.respond(verb, &head, body.bytes()).await;
        self.metrics
            .count_call(verb.name(), response.name(), started.elapsed());
        response
    }

    /// Returns the response to a request whose body was not read to its end.
    fn refuse_body(&self, error: &BodyError) -> CallerResponse {
        match error {
            BodyError::Full => CallerResponse::Unavailable {
                retry_after: self.retry_after,
            },
            _ => CallerResponse::Malformed(error.to_string()),
        }
    }

    fn head(&self, request: &Request) -> CallerHead {
        let headers = request.headers();
        let host = header_text(headers, header::HOST.as_str());
        let timeout = header_text(headers, self.codec.timeout_header());
        let timeout = timeout.and_then(|text| text.parse().ok());
        let timeout = timeout.map(time::Duration::from_millis);
        let limit = self
            .stop_phase
            .borrow()
            .response_limit(timer::Instant::now());
        CallerHead {
            host: host.unwrap_or_default(),
            path: request.path().to_owned(),
            key: header_text(headers, self.codec.key_header()).map(|text| bare_key(&text)),
            timeout: timeout.into_iter().chain(limit).min(),
        }
    }

    fn encode(&self, caller_response: &CallerResponse) -> Response<Bytes> {
        let encoded = self.codec.encode_response(caller_response);
        let status =
            StatusCode::from_u16(encoded.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::with_body(status, Bytes::from(encoded.body));
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let CallerResponse::Unavailable { retry_after }
        | CallerResponse::Overloaded { retry_after } = caller_response
        {
            let seconds = retry_after.as_secs_f64().ceil() as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}

/// Returns a response that keeps what is unread of its request.
fn with_unread(response: Response<Bytes>, unread: Payload) -> Response<BoxBody> {
    let response = response.map_body(|_, body| UnreadBody::new(body, unread));
    response.map_into_boxed_body()
}

/// Returns a key without its authorization scheme, if it has one.
fn bare_key(text: &str) -> String {
    text.strip_prefix(KEY_SCHEME).unwrap_or(text).to_owned()
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let name = HeaderName::try_from(name).ok()?;
    let value = headers.get(name)?;
    value.to_str().ok().map(str::to_owned)
}
