//! The entry listener: serves callers and the balancer.

use std::convert;
use std::net;
use std::rc;
use std::sync;
use std::time;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::{self, HeaderValue};
use actix_http::{ConnectionType, HttpService, Method, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerBuilder};
use actix_service::{ServiceFactoryExt, fn_factory};
use redwing_model::RunOutcome;

use crate::admission;
use crate::connection::ConnectionLimiter;
use crate::control::ControlHandle;
use crate::dispatch::RequestDispatcher;
use crate::error::{Error, Result};
use crate::exchange::BackendClient;
use crate::inbound::CallerStream;
use crate::metrics::{MetricsRegistry, RequestMetrics};
use crate::plane::ClaimHandleCell;
use crate::request_body::{BodyError, BodyLimits, RequestBody};
use crate::response::{EntryResponse, OUTCOME_HEADER, ProblemKind, ProblemResponse};
use crate::settings::{NodeSettings, PathLimits};
use crate::snapshot::{NodeSnapshot, SnapshotReceiver};

/// Delay before idle connections are closed, so that a request on a connection
/// that was just accepted can still arrive.
const DRAIN_DELAY: time::Duration = time::Duration::from_millis(500);

/// Media type of the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// State shared by the traffic threads.
#[derive(Clone)]
pub struct IngressContext {
    /// Published snapshots.
    pub snapshots: SnapshotReceiver,
    /// Handle of the scheduler.
    pub control: ControlHandle,
    /// Claims of requests that may run at most once.
    pub claims: ClaimHandleCell,
    /// Limiter of the connections kept open to backend servers.
    pub connections: ConnectionLimiter,
    /// Limits of the request path.
    pub limits: sync::Arc<PathLimits>,
    /// Metrics of the process.
    pub registry: MetricsRegistry,
    /// Counters of the request path.
    pub metrics: RequestMetrics,
}

/// State of one traffic thread.
struct TrafficThread {
    snapshots: SnapshotReceiver,
    registry: MetricsRegistry,
    dispatcher: RequestDispatcher,
}

/// Starts the traffic threads on `listener`.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn start(
    listener: net::TcpListener,
    settings: &NodeSettings,
    context: IngressContext,
) -> Result<Server> {
    let threads = settings.traffic_threads;
    let builder = ServerBuilder::new()
        .workers(threads)
        .worker_max_blocking_threads(1)
        .max_concurrent_connections(settings.limits.max_connections.div_ceil(threads))
        .shutdown_timeout(settings.stop_timeout.as_secs().max(1))
        .disable_signals();
    let draining = builder.graceful_shutdown_signal();
    let limits = settings.limits.clone();
    let address = settings.listen;
    let factory = move || {
        let context = context.clone();
        let draining = draining.clone();
        let wake_interval = limits.idle_timeout.min(limits.head_timeout);
        let http = HttpService::build()
            .keep_alive(limits.idle_timeout)
            .client_request_timeout(limits.head_timeout)
            .client_disconnect_timeout(limits.head_timeout)
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                let draining = draining.clone();
                async move {
                    draining.notified().await;
                    tokio::time::sleep(DRAIN_DELAY).await;
                }
            })
            .h1(fn_factory(move || {
                let thread = rc::Rc::new(TrafficThread::new(&context));
                async move {
                    Ok::<_, ()>(actix_service::fn_service(move |request| {
                        serve(rc::Rc::clone(&thread), request)
                    }))
                }
            }));
        actix_service::fn_service(move |stream: TcpStream| async move {
            let peer = stream.peer_addr().ok();
            stream.set_nodelay(true)?;
            Ok::<_, DispatchError>((CallerStream::new(stream, wake_interval), peer))
        })
        .and_then(http)
    };
    let server = builder
        .listen("entry", listener, factory)
        .map_err(|error| Error::bind("listen for callers", address, error))?;
    Ok(server.run())
}

async fn serve(
    thread: rc::Rc<TrafficThread>,
    request: Request,
) -> std::result::Result<EntryResponse, convert::Infallible> {
    Ok(thread.serve(request).await)
}

impl TrafficThread {
    fn new(context: &IngressContext) -> Self {
        let limits = rc::Rc::new(context.limits.as_ref().clone());
        Self {
            snapshots: context.snapshots.clone(),
            registry: context.registry.clone(),
            dispatcher: RequestDispatcher {
                control: context.control.clone(),
                client: BackendClient::new(&limits, context.connections.clone()),
                claims: sync::Arc::clone(&context.claims),
                limits,
                metrics: context.metrics.clone(),
            },
        }
    }

    fn snapshot(&self) -> sync::Arc<NodeSnapshot> {
        sync::Arc::clone(&self.snapshots.borrow())
    }

    async fn serve(&self, request: Request) -> EntryResponse {
        match (request.method(), request.path()) {
            (&Method::GET | &Method::HEAD, "/healthz") => plain_text(StatusCode::OK, "live\n"),
            (&Method::GET | &Method::HEAD, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics(),
            _ => self.serve_queue(request).await,
        }
    }

    fn readiness(&self) -> EntryResponse {
        if self.snapshot().ready {
            return plain_text(StatusCode::OK, "ready\n");
        }
        plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }

    fn metrics(&self) -> EntryResponse {
        self.dispatcher.metrics.update_snapshot(&self.snapshot());
        let Ok(text) = self.registry.text() else {
            return Response::internal_server_error();
        };
        let mut response = Response::with_body(StatusCode::OK, BoxBody::new(text));
        let media_type = HeaderValue::from_static(METRICS_MEDIA_TYPE);
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, media_type);
        response
    }

    async fn serve_queue(&self, request: Request) -> EntryResponse {
        let open = self.dispatcher.metrics.open_request();
        let clock = self.dispatcher.control.clock();
        let arrived = clock.now();
        let mut response = match self.run(request).await {
            Ok(response) => response,
            Err(response) => response.to_http(),
        };
        drop(open);
        // Makes callers reconnect elsewhere before the process stops.
        if !self.snapshot().ready {
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        let elapsed = clock.now().saturating_since(arrived);
        let status = response.status().as_u16();
        self.dispatcher
            .metrics
            .count_request(outcome_of(&response), status, elapsed);
        response
    }

    async fn run(
        &self,
        mut request: Request,
    ) -> std::result::Result<EntryResponse, ProblemResponse> {
        let dispatcher = &self.dispatcher;
        let arrived = dispatcher.control.clock().now();
        let admitted = admission::admit(request.head(), &self.snapshot(), &dispatcher.limits)?;
        let limits = BodyLimits {
            max_bytes: admitted.max_body_bytes,
            buffered_bytes: dispatcher.limits.buffer_bytes,
            idle_timeout: dispatcher.limits.body_timeout,
            declared_bytes: admitted.declared_bytes,
        };
        let body = RequestBody::read(request.take_payload(), limits)
            .await
            .map_err(body_problem)?;
        let deadline = arrived + admitted.timeout;
        let head = request.head();
        Ok(dispatcher.run(head, &admitted, &body, deadline).await)
    }
}

fn body_problem(error: BodyError) -> ProblemResponse {
    ProblemResponse::not_run(match error {
        BodyError::TooLarge => ProblemKind::BodyTooLarge,
        BodyError::Slow => ProblemKind::SlowBody,
        BodyError::Broken => ProblemKind::Malformed,
    })
}

fn plain_text(status: StatusCode, text: &'static str) -> EntryResponse {
    Response::with_body(status, BoxBody::new(text))
}

fn outcome_of(response: &EntryResponse) -> RunOutcome {
    let value = response.headers().get(OUTCOME_HEADER);
    let text = value.map(HeaderValue::as_bytes);
    [RunOutcome::Ran, RunOutcome::NotRun]
        .into_iter()
        .find(|outcome| text == Some(outcome.as_str().as_bytes()))
        .unwrap_or(RunOutcome::Unknown)
}
