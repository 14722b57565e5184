//! HTTP API for operators, on its own listener.
//!
//! Every request carries an operator's token. The routes come from a list of
//! [`AdminHandler`]s that are tried in order, so that each module of the process
//! adds its own. The API runs on the control thread.

mod change;
pub mod evacuation;
pub mod message;
mod read;

use std::convert;
use std::io;
use std::net;
use std::rc;
use std::time;

use actix_http::header::{self, HeaderMap};
use actix_http::{HttpMessage, HttpService, Payload, Request, StatusCode};
use actix_service::{Service, ServiceFactory};
use futures_util::StreamExt;
use redwing_provider::LocalFuture;
use tokio::sync::Semaphore;
use tokio::{task, time as timer};

pub use evacuation::{EvacuationRoutes, PlaceSource};
pub use message::{AdminProblem, AdminRequest, AdminResponse};

use crate::audit;
use crate::config::ConfigService;
use crate::error::{Error, Result};
use crate::event;
use crate::stop::{StopPhase, StopReceiver};

/// Prefix of all paths.
const PATH_PREFIX: &str = "/v1/admin/";

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Timeout for receiving a request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest number of open connections.
const MAX_CONNECTIONS: usize = 64;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Handler of some routes of the operator API.
pub trait AdminHandler {
    /// Handles a request, or returns `None` if the path is not one of its routes.
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>>;
}

/// Operator API of one process.
pub struct AdminRouter {
    service: rc::Rc<ConfigService>,
    handlers: Vec<rc::Rc<dyn AdminHandler>>,
}

impl AdminRouter {
    /// Creates a router with the routes of the configuration and the audit trail.
    pub fn new(service: rc::Rc<ConfigService>) -> Self {
        let change = change::ChangeRoutes::new(service.clone());
        let read = read::ReadRoutes::new(service.clone());
        let handlers: Vec<rc::Rc<dyn AdminHandler>> = vec![rc::Rc::new(change), rc::Rc::new(read)];
        Self { service, handlers }
    }

    /// Adds the routes of another handler.
    pub fn with_handler(mut self, handler: rc::Rc<dyn AdminHandler>) -> Self {
        self.handlers.push(handler);
        self
    }

    /// Routes an authenticated request to its handler.
    pub async fn route(&self, request: &AdminRequest) -> AdminResponse {
        for handler in &self.handlers {
            if let Some(response) = handler.handle(request) {
                return response.await;
            }
        }
        AdminProblem::NoSuchPath.response(&request.path)
    }

    async fn handle(&self, mut request: Request) -> AdminResponse {
        let token = bearer_token(request.headers());
        let Some(operator) = token.and_then(|token| self.service.operator_of(token)) else {
            return AdminProblem::BadToken
                .response("a valid bearer token of an operator is required");
        };
        let Some(path) = request.path().strip_prefix(PATH_PREFIX).map(str::to_owned) else {
            return AdminProblem::NoSuchPath.response(request.path());
        };
        let body = timer::timeout(REQUEST_TIMEOUT, read_body(request.take_payload())).await;
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(problem)) => return problem.response("the body could not be read"),
            Err(_) => return AdminProblem::Malformed.response("the body did not arrive in time"),
        };
        let request = AdminRequest {
            method: request.method().clone(),
            query: request.uri().query().unwrap_or_default().to_owned(),
            headers: request.headers().clone(),
            path,
            operator,
            body,
        };
        self.route(&request).await
    }
}

/// Serves the operator API on `listener` until the process has stopped.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub async fn serve(
    listener: net::TcpListener,
    router: AdminRouter,
    mut stop: StopReceiver,
) -> Result<()> {
    let start_error = |error: io::Error| Error::start("listen for operators", error);
    listener.set_nonblocking(true).map_err(start_error)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(start_error)?;
    tokio::select! {
        result = accept(listener, rc::Rc::new(router)) => result,
        // A closed channel ends the listener as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => Ok(()),
    }
}

async fn accept(listener: tokio::net::TcpListener, router: rc::Rc<AdminRouter>) -> Result<()> {
    let service = HttpService::build()
        .client_request_timeout(REQUEST_TIMEOUT)
        .client_disconnect_timeout(REQUEST_TIMEOUT)
        .h1(move |request| {
            let router = router.clone();
            async move { Ok::<_, convert::Infallible>(router.handle(request).await.into_http()) }
        })
        .tcp();
    let service = service.new_service(()).await;
    let service =
        service.map_err(|()| Error::start("listen for operators", "HTTP service failed"))?;
    let service = rc::Rc::new(service);
    let slots = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return Ok(());
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = service.clone();
                task::spawn_local(async move {
                    // The operator's client reports a broken connection itself.
                    let _ = service.call(stream).await;
                    drop(slot);
                });
            }
            Err(error) => {
                log_event!(
                    warn,
                    event::ADMIN_FAILED,
                    "connection not accepted: {error}"
                );
                timer::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

async fn read_body(mut payload: Payload) -> std::result::Result<Vec<u8>, AdminProblem> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| AdminProblem::Malformed)?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(AdminProblem::BodyTooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Returns the time of a change, in milliseconds since the Unix epoch.
fn now_millis() -> u64 {
    audit::now_millis()
}

/// Status of a successful read.
const OK: StatusCode = StatusCode::OK;
