//! Client of the operator API.

use std::time;

use actix_http::Method;
use redwing_model::admin::{
    self, AuditFilter, ChangeResponse, ChangeStatus, ProblemReport, RefusalCause,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Category, Error, Result};
use crate::transport;

/// Time to wait for a response.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time between two attempts of a change that is not yet in force.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the operator API, which tries the admin listeners in turn.
pub(crate) struct AdminClient {
    base_urls: Vec<String>,
    token: String,
    change: ChangeSettings,
}

/// Settings of requests that change the configuration.
#[derive(Clone, Debug, Default)]
struct ChangeSettings {
    id: String,
    base_version: Option<u64>,
    wait: time::Duration,
}

/// One request to the operator API.
#[derive(Clone, Debug)]
pub(crate) struct AdminRequest {
    /// Name of the operation, for error messages.
    pub(crate) operation: &'static str,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path, including a query other than that of `filter`.
    pub(crate) path: String,
    /// Filter of audit entries, sent as the query.
    pub(crate) filter: Option<AuditFilter>,
    /// Body; empty for none.
    pub(crate) body: String,
}

impl AdminRequest {
    /// Creates a GET request without a body.
    pub(crate) fn get(operation: &'static str, path: impl Into<String>) -> Self {
        Self {
            operation,
            method: Method::GET,
            path: path.into(),
            filter: None,
            body: String::new(),
        }
    }

    /// Creates a POST request with `value` as a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized.
    pub(crate) fn post<T: Serialize>(
        operation: &'static str,
        path: &str,
        value: &T,
    ) -> Result<Self> {
        let body = serde_json::to_string(value)
            .map_err(|error| Error::content(path, error.to_string()))?;
        Ok(Self {
            operation,
            method: Method::POST,
            path: path.to_owned(),
            filter: None,
            body,
        })
    }
}

impl AdminClient {
    /// Creates a client from the common flags and the flags of a change, if given.
    pub(crate) fn new(flags: &clap::ArgMatches) -> Self {
        let base_urls = flags.get_many::<String>("admin").into_iter().flatten();
        let token = flags.get_one::<String>("token");
        Self {
            base_urls: base_urls.cloned().collect(),
            token: token.cloned().unwrap_or_default(),
            change: ChangeSettings {
                id: flag_value::<String>(flags, "change-id").unwrap_or_else(Self::generate_id),
                base_version: flag_value(flags, "base-version"),
                wait: time::Duration::from_secs_f64(flag_value(flags, "wait").unwrap_or(0.0)),
            },
        }
    }

    /// Returns a random id of a change.
    pub(crate) fn generate_id() -> String {
        format!("ctl-{:032x}", rand::random::<u128>())
    }

    /// Sends a read request and decodes its JSON response.
    ///
    /// # Errors
    ///
    /// Fails if no listener responds, or the response is an error or cannot be
    /// decoded.
    pub(crate) fn read<T: DeserializeOwned>(&self, request: &AdminRequest) -> Result<T> {
        let response = self.block_on(self.send_any(request))?;
        decode(request.operation, &response)
    }

    /// Sends a read request and returns the text of its response.
    ///
    /// # Errors
    ///
    /// Fails if no listener responds, or the response is an error.
    pub(crate) fn read_text(&self, request: &AdminRequest) -> Result<String> {
        let response = self.block_on(self.send_any(request))?;
        if response.is_success() {
            return Ok(response.text);
        }
        Err(response_error(request.operation, &response))
    }

    /// Sends a change and retries it with the same identifier until it is
    /// accepted or refused, or the time to wait has passed.
    ///
    /// # Errors
    ///
    /// Fails if no listener reported the result of the change.
    pub(crate) fn change(&self, request: &AdminRequest) -> Result<ChangeResponse> {
        self.block_on(async {
            let start = time::Instant::now();
            loop {
                let result = match self.send_any(request).await {
                    Ok(response) => decode_change(request.operation, &response),
                    Err(error) => Err(error),
                };
                if is_final(&result) || start.elapsed() >= self.change.wait {
                    return result.map_err(|error| self.with_change_id(request.operation, error));
                }
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        })
    }

    fn block_on<T>(&self, future: impl Future<Output = Result<T>>) -> Result<T> {
        actix_rt::System::new().block_on(future)
    }

    /// Adds the change identifier to retry with to an error of unknown outcome.
    fn with_change_id(&self, operation: &'static str, error: Error) -> Error {
        if error.classify() != Category::Unknown {
            return error;
        }
        let message = format!("{error}; retry with --change-id {}", self.change.id);
        Error::unknown(operation, &self.base_urls.join(","), message)
    }

    /// Sends a request to each listener in turn until one responds.
    async fn send_any(&self, request: &AdminRequest) -> Result<AdminResponse> {
        let mut last_error = None;
        for base_url in &self.base_urls {
            match self.send(base_url, request).await {
                Ok(response) => return Ok(response),
                // An unknown outcome is kept: that listener may have executed
                // the request.
                Err(error) => {
                    last_error = Some(last_error.filter(is_outcome_unknown).unwrap_or(error))
                }
            }
        }
        Err(last_error.unwrap_or_else(|| Error::flag("--admin", "", "specify at least one URL")))
    }

    async fn send(&self, base_url: &str, request: &AdminRequest) -> Result<AdminResponse> {
        let client = awc::Client::builder()
            .timeout(RESPONSE_TIMEOUT)
            .disable_redirects()
            .finish();
        let url = format!("{base_url}{}", request.path);
        let mut call = client
            .request(request.method.clone(), url)
            .bearer_auth(&self.token);
        if request.method != Method::GET {
            call = call.insert_header((admin::CHANGE_ID_HEADER, self.change.id.as_str()));
        }
        if let Some(version) = self.change.base_version {
            call = call.insert_header((admin::BASE_VERSION_HEADER, version.to_string()));
        }
        let operation = request.operation;
        if let Some(filter) = &request.filter {
            call = call
                .query(filter)
                .map_err(|error| Error::refused(operation, base_url, error.to_string()))?;
        }
        let sent = call.send_body(request.body.clone()).await;
        let mut response = sent.map_err(|error| {
            if transport::was_never_sent(&error) {
                Error::unavailable(operation, base_url, error.to_string())
            } else {
                Error::unknown(operation, base_url, error.to_string())
            }
        })?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| Error::unknown(operation, base_url, error.to_string()))?;
        Ok(AdminResponse {
            peer: base_url.to_owned(),
            status: response.status().as_u16(),
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Response of an admin listener.
#[derive(Clone, Debug)]
struct AdminResponse {
    peer: String,
    status: u16,
    text: String,
}

impl AdminResponse {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

fn flag_value<T: Clone + Send + Sync + 'static>(flags: &clap::ArgMatches, name: &str) -> Option<T> {
    // `get_one` would panic: not every subcommand defines every flag.
    flags.try_get_one::<T>(name).ok().flatten().cloned()
}

fn is_outcome_unknown(error: &Error) -> bool {
    error.classify() == Category::Unknown
}

/// Returns whether a retry of the change cannot give another result.
fn is_final(result: &Result<ChangeResponse>) -> bool {
    match result {
        Ok(response) => match response.status {
            ChangeStatus::Accepted => true,
            ChangeStatus::Pending => false,
            ChangeStatus::Refused => response.cause != Some(RefusalCause::Unavailable),
        },
        Err(error) => !matches!(error.classify(), Category::Unavailable | Category::Unknown),
    }
}

fn decode<T: DeserializeOwned>(operation: &'static str, response: &AdminResponse) -> Result<T> {
    if !response.is_success() {
        return Err(response_error(operation, response));
    }
    serde_json::from_str(&response.text).map_err(|error| {
        Error::refused(
            operation,
            &response.peer,
            format!("invalid response: {error}"),
        )
    })
}

/// Decodes the response to a change; a refusal has the same form.
fn decode_change(operation: &'static str, response: &AdminResponse) -> Result<ChangeResponse> {
    serde_json::from_str(&response.text).map_err(|_| response_error(operation, response))
}

/// Converts an error response into an error.
fn response_error(operation: &'static str, response: &AdminResponse) -> Error {
    let message = match serde_json::from_str::<ProblemReport>(&response.text) {
        Ok(problem) => format!("{} {}: {}", response.status, problem.title, problem.detail),
        Err(_) => format!("status {}", response.status),
    };
    Error::refused(operation, &response.peer, message)
}
