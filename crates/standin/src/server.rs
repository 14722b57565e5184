//! Stand-in platform over HTTP, for processes that do not share memory.
//!
//! `POST /platform` takes a [`PlatformCall`], `POST /control` a
//! [`ControlCall`]; both are JSON and answer JSON. The header
//! `Redwing-Client` names the client, so that faults can be set for one.

use std::collections::HashMap;
use std::convert;
use std::io;
use std::net;
use std::sync;

use actix_http::{HttpMessage, HttpService, Payload, Request, Response, StatusCode};
use actix_server::Server;
use bytes::BytesMut;
use futures_util::StreamExt;
use redwing_model::VmId;
use redwing_provider::table::TableTransaction;
use redwing_provider::{Category, Error, ListedVm, ObjectStore, Result};
use redwing_provider::{TableStore, VmControl, VmDirectory};
use serde::{Deserialize, Serialize};

use crate::fault::FaultPlan;
use crate::memory::MemoryPlatform;

/// Header that names the client.
pub const CLIENT_HEADER: &str = "redwing-client";

/// Largest request body, in bytes.
const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;

/// Call of one of the platform's services.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlatformCall {
    /// Applies a transaction to the table.
    Commit(TableTransaction),
    /// Reads the rows under a prefix.
    Scan(String),
    /// Reads the rows under a prefix that changed after a cursor.
    Changes(String, u64),
    /// Writes an object.
    PutObject(String, Vec<u8>),
    /// Reads an object.
    GetObject(String),
    /// Lists the objects under a prefix.
    ListObjects(String),
    /// Lists the VMs.
    ListVms,
    /// Reboots a VM, with the id of the operation.
    Reboot(VmId, String),
    /// Checkpoints the requests of a VM, with the id of the operation.
    Checkpoint(VmId, String),
}

/// Call that controls the stand-in itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ControlCall {
    /// Sets the faults that one client meets.
    ClientFaults(String, FaultPlan),
    /// Sets the faults that all clients meet.
    AllFaults(FaultPlan),
    /// Adds or changes a VM.
    PutVm(ListedVm),
    /// Takes a VM away.
    RemoveVm(VmId),
}

/// Failure of a call, as sent to the client.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum CallFailure {
    /// The call was rejected.
    Refused(String),
    /// The call had no effect.
    Unavailable(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl From<Error> for CallFailure {
    fn from(error: Error) -> Self {
        match error.classify() {
            Category::Refused => Self::Refused(error.to_string()),
            Category::Unavailable => Self::Unavailable(error.to_string()),
            Category::Unknown => Self::Unknown(error.to_string()),
        }
    }
}

/// Starts the stand-in platform on `listener` and returns its server, which
/// runs until it is stopped.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn serve(listener: net::TcpListener, platform: MemoryPlatform) -> io::Result<Server> {
    let desk = ServerDesk {
        platform,
        views: sync::Arc::default(),
    };
    let server = Server::build().workers(1).disable_signals().listen(
        "standin-platform",
        listener,
        move || {
            let desk = desk.clone();
            HttpService::build()
                .finish(move |request| desk.clone().answer(request))
                .tcp()
        },
    )?;
    Ok(server.run())
}

#[derive(Clone)]
struct ServerDesk {
    platform: MemoryPlatform,
    views: sync::Arc<sync::Mutex<HashMap<String, MemoryPlatform>>>,
}

impl ServerDesk {
    async fn answer(
        self,
        mut request: Request,
    ) -> std::result::Result<Response<BytesMut>, convert::Infallible> {
        let reply = match read_body(request.take_payload()).await {
            Ok(body) => self.answer_path(&request, &body).await,
            Err(error) => Err(error),
        };
        Ok(encode(reply.map_err(CallFailure::from)))
    }

    async fn answer_path(&self, request: &Request, body: &[u8]) -> Result<serde_json::Value> {
        match request.path() {
            "/platform" => self.answer_call(request, body).await,
            "/control" => self.answer_control(body),
            _ => Err(malformed("no such path")),
        }
    }

    async fn answer_call(&self, request: &Request, body: &[u8]) -> Result<serde_json::Value> {
        let client = request.headers().get(CLIENT_HEADER);
        let client = client.and_then(|name| name.to_str().ok()).unwrap_or("");
        let view = self.view(client);
        match parse(body)? {
            PlatformCall::Commit(transaction) => to_value(&view.commit(&transaction).await?),
            PlatformCall::Scan(prefix) => to_value(&view.scan(&prefix).await?),
            PlatformCall::Changes(prefix, cursor) => {
                to_value(&view.changes(&prefix, cursor).await?)
            }
            PlatformCall::PutObject(name, content) => to_value(&view.put(&name, &content).await?),
            PlatformCall::GetObject(name) => to_value(&view.get(&name).await?),
            PlatformCall::ListObjects(prefix) => {
                to_value(&ObjectStore::list(&view, &prefix).await?)
            }
            PlatformCall::ListVms => to_value(&VmDirectory::list(&view).await?),
            PlatformCall::Reboot(vm, operation) => to_value(&view.reboot(&vm, &operation).await?),
            PlatformCall::Checkpoint(vm, operation) => {
                to_value(&view.checkpoint(&vm, &operation).await?)
            }
        }
    }

    fn answer_control(&self, body: &[u8]) -> Result<serde_json::Value> {
        match parse(body)? {
            ControlCall::ClientFaults(client, plan) => {
                self.view(&client).set_faults(|faults| *faults = plan);
            }
            ControlCall::AllFaults(plan) => self.set_all_faults(&plan),
            ControlCall::PutVm(vm) => self.platform.put_vm(vm),
            ControlCall::RemoveVm(vm) => self.platform.remove_vm(&vm),
        }
        Ok(serde_json::Value::Null)
    }

    /// Returns the view of one client, which starts with the common faults.
    fn view(&self, client: &str) -> MemoryPlatform {
        let mut views = self
            .views
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let view = views.entry(client.to_owned()).or_insert_with(|| {
            let view = self.platform.view();
            view.set_faults(|faults| *faults = self.platform.faults());
            view
        });
        view.clone()
    }

    fn set_all_faults(&self, plan: &FaultPlan) {
        self.platform.set_faults(|faults| *faults = plan.clone());
        let views = self
            .views
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for view in views.values() {
            view.set_faults(|faults| *faults = plan.clone());
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn to_value<T: Serialize>(reply: &T) -> Result<serde_json::Value> {
    serde_json::to_value(reply).map_err(|error| malformed(&error.to_string()))
}

fn malformed(message: &str) -> Error {
    Error::refused("read call", "client", message)
}

async fn read_body(mut payload: Payload) -> Result<BytesMut> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.map_err(|error| malformed(&error.to_string()))?);
        if body.len() > MAX_CALL_BYTES {
            return Err(malformed("the body is too large"));
        }
    }
    Ok(body)
}

fn encode(reply: std::result::Result<serde_json::Value, CallFailure>) -> Response<BytesMut> {
    let (status, body) = match &reply {
        Ok(value) => (StatusCode::OK, serde_json::to_vec(value)),
        Err(failure) => (status_of(failure), serde_json::to_vec(failure)),
    };
    match body {
        Ok(body) => Response::new(status).set_body(BytesMut::from(body.as_slice())),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR).set_body(BytesMut::new()),
    }
}

fn status_of(failure: &CallFailure) -> StatusCode {
    match failure {
        CallFailure::Refused(_) => StatusCode::BAD_REQUEST,
        CallFailure::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        CallFailure::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    }
}
