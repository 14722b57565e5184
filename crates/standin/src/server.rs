//! HTTP server of the stand-in platform, for clients in other processes.
//!
//! `POST /platform` accepts a [`PlatformCall`] and `POST /control` a
//! [`ControlCall`]; request and response bodies are JSON. The header
//! `Redwing-Client` contains the client's name, so that faults can be set for
//! one client.

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

/// Header with the name of the client.
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
    /// Reboots a VM, as the operation with this id.
    Reboot(VmId, String),
    /// Checkpoints the requests of a VM, as the operation with this id.
    Checkpoint(VmId, String),
}

/// Call that changes the faults or VMs of the stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ControlCall {
    /// Sets the faults of one client.
    ClientFaults(String, FaultPlan),
    /// Sets the faults of all clients.
    AllFaults(FaultPlan),
    /// Adds or changes a VM.
    PutVm(ListedVm),
    /// Removes a VM.
    RemoveVm(VmId),
}

/// Error of a call, as sent to the client.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) enum CallError {
    /// The call was rejected.
    Refused(String),
    /// The call had no effect.
    Unavailable(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl From<Error> for CallError {
    fn from(error: Error) -> Self {
        match error.classify() {
            Category::Refused => Self::Refused(error.to_string()),
            Category::Unavailable => Self::Unavailable(error.to_string()),
            Category::Unknown => Self::Unknown(error.to_string()),
        }
    }
}

/// Starts an HTTP server for `platform` on `listener`; it runs until the returned
/// server is stopped.
///
/// # Errors
///
/// Fails if the server cannot accept connections on the listener.
pub fn serve(listener: net::TcpListener, platform: MemoryPlatform) -> io::Result<Server> {
    let service = StandinService {
        platform,
        clients: sync::Arc::default(),
    };
    let server = Server::build().workers(1).disable_signals().listen(
        "standin-platform",
        listener,
        move || {
            let service = service.clone();
            HttpService::build()
                .finish(move |request| service.clone().handle(request))
                .tcp()
        },
    )?;
    Ok(server.run())
}

#[derive(Clone)]
struct StandinService {
    platform: MemoryPlatform,
    clients: sync::Arc<sync::Mutex<HashMap<String, MemoryPlatform>>>,
}

impl StandinService {
    async fn handle(
        self,
        mut request: Request,
    ) -> std::result::Result<Response<BytesMut>, convert::Infallible> {
        let result = match read_body(request.take_payload()).await {
            Ok(body) => self.route(&request, &body).await,
            Err(error) => Err(error),
        };
        Ok(encode(result.map_err(CallError::from)))
    }

    async fn route(&self, request: &Request, body: &[u8]) -> Result<serde_json::Value> {
        match request.path() {
            "/platform" => self.handle_call(request, body).await,
            "/control" => self.handle_control(body),
            _ => Err(malformed("no such path")),
        }
    }

    async fn handle_call(&self, request: &Request, body: &[u8]) -> Result<serde_json::Value> {
        let client = request.headers().get(CLIENT_HEADER);
        let client = client.and_then(|name| name.to_str().ok()).unwrap_or("");
        let platform = self.client_platform(client);
        match parse(body)? {
            PlatformCall::Commit(transaction) => to_value(&platform.commit(&transaction).await?),
            PlatformCall::Scan(prefix) => to_value(&platform.scan(&prefix).await?),
            PlatformCall::Changes(prefix, cursor) => {
                to_value(&platform.changes(&prefix, cursor).await?)
            }
            PlatformCall::PutObject(name, content) => {
                to_value(&platform.put(&name, &content).await?)
            }
            PlatformCall::GetObject(name) => to_value(&platform.get(&name).await?),
            PlatformCall::ListObjects(prefix) => {
                to_value(&ObjectStore::list(&platform, &prefix).await?)
            }
            PlatformCall::ListVms => to_value(&VmDirectory::list(&platform).await?),
            PlatformCall::Reboot(vm, operation_id) => {
                to_value(&platform.reboot(&vm, &operation_id).await?)
            }
            PlatformCall::Checkpoint(vm, operation_id) => {
                to_value(&platform.checkpoint(&vm, &operation_id).await?)
            }
        }
    }

    fn handle_control(&self, body: &[u8]) -> Result<serde_json::Value> {
        match parse(body)? {
            ControlCall::ClientFaults(client, plan) => {
                self.client_platform(&client)
                    .set_faults(|faults| *faults = plan);
            }
            ControlCall::AllFaults(plan) => self.set_all_faults(&plan),
            ControlCall::PutVm(vm) => self.platform.put_vm(vm),
            ControlCall::RemoveVm(vm) => self.platform.remove_vm(&vm),
        }
        Ok(serde_json::Value::Null)
    }

    /// Returns the platform as one client uses it; a new client starts with the
    /// faults of all clients.
    fn client_platform(&self, client: &str) -> MemoryPlatform {
        let mut clients = self
            .clients
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let platform = clients.entry(client.to_owned()).or_insert_with(|| {
            let platform = self.platform.new_client();
            platform.set_faults(|faults| *faults = self.platform.faults());
            platform
        });
        platform.clone()
    }

    fn set_all_faults(&self, plan: &FaultPlan) {
        self.platform.set_faults(|faults| *faults = plan.clone());
        let clients = self
            .clients
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for platform in clients.values() {
            platform.set_faults(|faults| *faults = plan.clone());
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| malformed(&error.to_string()))
}

fn to_value<T: Serialize>(value: &T) -> Result<serde_json::Value> {
    serde_json::to_value(value).map_err(|error| malformed(&error.to_string()))
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

fn encode(result: std::result::Result<serde_json::Value, CallError>) -> Response<BytesMut> {
    let (status, body) = match &result {
        Ok(value) => (StatusCode::OK, serde_json::to_vec(value)),
        Err(error) => (status_of(error), serde_json::to_vec(error)),
    };
    match body {
        Ok(body) => Response::new(status).set_body(BytesMut::from(body.as_slice())),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR).set_body(BytesMut::new()),
    }
}

fn status_of(error: &CallError) -> StatusCode {
    match error {
        CallError::Refused(_) => StatusCode::BAD_REQUEST,
        CallError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        CallError::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    }
}
