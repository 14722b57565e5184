//! HTTP client of the stand-in platform.

use std::time;

use awc::error::{ConnectError, SendRequestError};
use redwing_model::VmId;
use redwing_provider::table::{CommitOutcome, TableTransaction, TableView};
use redwing_provider::{
    Error, ListedVm, LocalFuture, ObjectStore, PlatformServices, Result, TableStore, VmControl,
    VmDirectory,
};
use serde::de::DeserializeOwned;

use crate::server::{CLIENT_HEADER, CallError, ControlCall, PlatformCall};

/// Time limit of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client of the stand-in platform, bound to one thread.
#[derive(Clone)]
pub struct HttpPlatform {
    url: String,
    name: String,
    client: awc::Client,
}

impl HttpPlatform {
    /// Creates a client of the platform at `url`, for example
    /// `http://127.0.0.1:7000`; faults can be set for the client by its `name`.
    pub fn new(url: &str, name: &str) -> Self {
        Self {
            url: url.trim_end_matches('/').to_owned(),
            name: name.to_owned(),
            client: awc::Client::builder().timeout(CALL_TIMEOUT).finish(),
        }
    }

    /// Returns the platform as the services that a process uses.
    pub fn services(&self) -> PlatformServices {
        PlatformServices {
            table: std::rc::Rc::new(self.clone()),
            objects: std::rc::Rc::new(self.clone()),
            directory: std::rc::Rc::new(self.clone()),
            control: std::rc::Rc::new(self.clone()),
        }
    }

    /// Changes the faults or VMs of the stand-in.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not respond or rejects the call.
    pub async fn control(&self, call: &ControlCall) -> Result<()> {
        self.post("control", "/control", call).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        call: PlatformCall,
    ) -> Result<T> {
        self.post(operation, "/platform", &call).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        operation: &'static str,
        path: &str,
        call: &impl serde::Serialize,
    ) -> Result<T> {
        let request = self.client.post(format!("{}{path}", self.url));
        let request = request.insert_header((CLIENT_HEADER, self.name.as_str()));
        let sent = request.send_json(call).await;
        let mut response = sent.map_err(|error| self.classify_send_error(operation, &error))?;
        let unknown = |message: String| Error::unknown(operation, &self.url, message);
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unknown(error.to_string()))?;
        if response.status().is_success() {
            return serde_json::from_slice(&body).map_err(|error| unknown(error.to_string()));
        }
        Err(match serde_json::from_slice(&body) {
            Ok(CallError::Refused(message)) => Error::refused(operation, &self.url, message),
            Ok(CallError::Unavailable(message)) => {
                Error::unavailable(operation, &self.url, message)
            }
            Ok(CallError::Unknown(message)) => unknown(message),
            Err(error) => unknown(error.to_string()),
        })
    }

    /// Classifies a send error by whether the request may have reached the
    /// platform.
    fn classify_send_error(&self, operation: &'static str, error: &SendRequestError) -> Error {
        match error {
            SendRequestError::Url(_) => Error::refused(operation, &self.url, error.to_string()),
            // Reported for a peer that closes the connection after the request.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Error::unknown(operation, &self.url, error.to_string())
            }
            SendRequestError::Connect(_) => {
                Error::unavailable(operation, &self.url, error.to_string())
            }
            _ => Error::unknown(operation, &self.url, error.to_string()),
        }
    }
}

impl TableStore for HttpPlatform {
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        Box::pin(self.call("commit", PlatformCall::Commit(transaction.clone())))
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.call("scan", PlatformCall::Scan(prefix.to_owned())))
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.call("changes", PlatformCall::Changes(prefix.to_owned(), cursor)))
    }
}

impl ObjectStore for HttpPlatform {
    fn put<'a>(&'a self, name: &'a str, content: &'a [u8]) -> LocalFuture<'a, Result<()>> {
        let call = PlatformCall::PutObject(name.to_owned(), content.to_vec());
        Box::pin(self.call("put object", call))
    }

    fn get<'a>(&'a self, name: &'a str) -> LocalFuture<'a, Result<Option<Vec<u8>>>> {
        Box::pin(self.call("get object", PlatformCall::GetObject(name.to_owned())))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<Vec<String>>> {
        Box::pin(self.call("list objects", PlatformCall::ListObjects(prefix.to_owned())))
    }
}

impl VmDirectory for HttpPlatform {
    fn list(&self) -> LocalFuture<'_, Result<Vec<ListedVm>>> {
        Box::pin(self.call("list VMs", PlatformCall::ListVms))
    }
}

impl VmControl for HttpPlatform {
    fn reboot<'a>(&'a self, vm: &'a VmId, operation_id: &'a str) -> LocalFuture<'a, Result<()>> {
        let call = PlatformCall::Reboot(vm.clone(), operation_id.to_owned());
        Box::pin(self.call("reboot", call))
    }

    fn checkpoint<'a>(
        &'a self,
        vm: &'a VmId,
        operation_id: &'a str,
    ) -> LocalFuture<'a, Result<()>> {
        let call = PlatformCall::Checkpoint(vm.clone(), operation_id.to_owned());
        Box::pin(self.call("checkpoint", call))
    }
}
