//! Operator API on its own listener.
//!
//! Every request carries an operator's token. The routes come from
//! [`AdminHandler`]s, asked in turn, so that each part of the process brings
//! its own. It runs on the control thread.

mod change;
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

pub use message::{AdminProblem, AdminRequest, AdminResponse};

use crate::audit;
use crate::config::ConfigService;
use crate::error::{Error, Result};
use crate::event;
use crate::stop::{StopPhase, StopReceiver};

/// Start of all paths.
const PATH_PREFIX: &str = "/v1/admin/";

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Longest time for a request to arrive.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest number of connections.
const MAX_CONNECTIONS: usize = 64;

/// Pause after the listener could not accept a connection.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Some routes of the operator API.
pub trait AdminHandler {
    /// Answers a request, or returns `None` if the path is not one of its own.
    fn handle<'a>(&'a self, request: &'a AdminRequest) -> Option<LocalFuture<'a, AdminResponse>>;
}

/// Operator API of one process.
pub struct AdminRouter {
    desk: rc::Rc<ConfigService>,
    handlers: Vec<rc::Rc<dyn AdminHandler>>,
}

impl AdminRouter {
    /// Creates an API with the routes of the configuration and the audit trail.
    pub fn new(desk: rc::Rc<ConfigService>) -> Self {
        let change = change::ChangeRoutes::new(desk.clone());
        let read = read::ReadRoutes::new(desk.clone());
        let handlers: Vec<rc::Rc<dyn AdminHandler>> = vec![rc::Rc::new(change), rc::Rc::new(read)];
        Self { desk, handlers }
    }

    /// Adds the routes of another part of the process.
    pub fn with(mut self, handler: rc::Rc<dyn AdminHandler>) -> Self {
        self.handlers.push(handler);
        self
    }

    /// Answers a request whose token was checked.
    pub async fn route(&self, request: &AdminRequest) -> AdminResponse {
        for handler in &self.handlers {
            if let Some(answer) = handler.handle(request) {
                return answer.await;
            }
        }
        AdminProblem::NoSuchPath.response(&request.path)
    }

    async fn answer(&self, mut request: Request) -> AdminResponse {
        let token = bearer_token(request.headers());
        let Some(operator) = token.and_then(|token| self.desk.operator_of(token)) else {
            return AdminProblem::BadToken.response("use the bearer token of an operator");
        };
        let Some(path) = request.path().strip_prefix(PATH_PREFIX).map(str::to_owned) else {
            return AdminProblem::NoSuchPath.response(request.path());
        };
        let body = timer::timeout(REQUEST_TIMEOUT, read_body(request.take_payload())).await;
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(problem)) => return problem.response("the body could not be read"),
            Err(_) => return AdminProblem::Malformed.response("the body took too long"),
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

/// Serves operators on `listener` until the process has stopped.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub async fn serve(
    listener: net::TcpListener,
    router: AdminRouter,
    mut stop: StopReceiver,
) -> Result<()> {
    let start = |error: io::Error| Error::start("listen for operators", error);
    listener.set_nonblocking(true).map_err(start)?;
    let listener = tokio::net::TcpListener::from_std(listener).map_err(start)?;
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
            async move { Ok::<_, convert::Infallible>(router.answer(request).await.into_http()) }
        })
        .tcp();
    let service = service.new_service(()).await;
    let service = service.map_err(|()| Error::start("listen for operators", "no service"))?;
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
                    // The operator sees a broken connection on their own side.
                    let _ = service.call(stream).await;
                    drop(slot);
                });
            }
            Err(error) => {
                log_event!(warn, event::ADMIN_FAILED, "{error}");
                timer::sleep(ACCEPT_PAUSE).await;
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

/// Returns the time of a change in milliseconds since 1970.
fn now_millis() -> u64 {
    audit::now_millis()
}

/// Status of an answer that is sent as it is.
const OK: StatusCode = StatusCode::OK;
