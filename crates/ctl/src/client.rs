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

/// Time after which an answer is no longer waited for.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time between two repeats of a change that is not yet in force.
const REPEAT_DELAY: time::Duration = time::Duration::from_millis(300);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of the admin listeners, tried in turn.
pub(crate) struct AdminClient {
    bases: Vec<String>,
    token: String,
    change: ChangeSettings,
}

/// How a change is sent.
#[derive(Clone, Debug, Default)]
struct ChangeSettings {
    id: String,
    base_version: Option<u64>,
    wait: time::Duration,
}

/// One request to the operator API.
#[derive(Clone, Debug)]
pub(crate) struct AdminRequest {
    /// What is being done, for messages.
    pub(crate) step: &'static str,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path with its query.
    pub(crate) path: String,
    /// Filter of audit entries, which becomes the query.
    pub(crate) filter: Option<AuditFilter>,
    /// Body; empty for none.
    pub(crate) body: String,
}

impl AdminRequest {
    /// Creates a request that reads.
    pub(crate) fn get(step: &'static str, path: impl Into<String>) -> Self {
        Self {
            step,
            method: Method::GET,
            path: path.into(),
            filter: None,
            body: String::new(),
        }
    }

    /// Creates a request that posts `value` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value has no JSON form.
    pub(crate) fn post<T: Serialize>(step: &'static str, path: &str, value: &T) -> Result<Self> {
        let body = serde_json::to_string(value)
            .map_err(|error| Error::declaration(path, error.to_string()))?;
        Ok(Self {
            step,
            method: Method::POST,
            path: path.to_owned(),
            filter: None,
            body,
        })
    }
}

impl AdminClient {
    /// Creates a client from the common flags, and those of a change if given.
    pub(crate) fn new(flags: &clap::ArgMatches) -> Self {
        let bases = flags.get_many::<String>("admin").into_iter().flatten();
        let token = flags.get_one::<String>("token");
        Self {
            bases: bases.cloned().collect(),
            token: token.cloned().unwrap_or_default(),
            change: ChangeSettings {
                id: option_of::<String>(flags, "change-id")
                    .unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>())),
                base_version: option_of(flags, "base-version"),
                wait: time::Duration::from_secs_f64(option_of(flags, "wait").unwrap_or(0.0)),
            },
        }
    }

    /// Sends a request that reads, and decodes its JSON answer.
    ///
    /// # Errors
    ///
    /// Fails if no listener answers, or the answer is a refusal or not JSON.
    pub(crate) fn read<T: DeserializeOwned>(&self, request: &AdminRequest) -> Result<T> {
        let answer = self.run(self.send_any(request))?;
        decode(request.step, &answer)
    }

    /// Sends a request that reads, and returns its text.
    ///
    /// # Errors
    ///
    /// Fails if no listener answers, or the answer is a refusal.
    pub(crate) fn read_text(&self, request: &AdminRequest) -> Result<String> {
        let answer = self.run(self.send_any(request))?;
        if answer.is_success() {
            return Ok(answer.text);
        }
        Err(problem_of(request.step, &answer))
    }

    /// Sends a change, repeating it with the same identifier until it is
    /// accepted or refused or the waiting time is over.
    ///
    /// # Errors
    ///
    /// Fails if no listener told what became of the change.
    pub(crate) fn change(&self, request: &AdminRequest) -> Result<ChangeResponse> {
        self.run(async {
            let start = time::Instant::now();
            loop {
                let result = match self.send_any(request).await {
                    Ok(answer) => decode_change(request.step, &answer),
                    Err(error) => Err(error),
                };
                if is_final(&result) || start.elapsed() >= self.change.wait {
                    return result.map_err(|error| self.with_change_id(request.step, error));
                }
                actix_rt::time::sleep(REPEAT_DELAY).await;
            }
        })
    }

    fn run<T>(&self, work: impl Future<Output = Result<T>>) -> Result<T> {
        actix_rt::System::new().block_on(work)
    }

    /// Adds to an error of unknown outcome how to repeat the change.
    fn with_change_id(&self, step: &'static str, error: Error) -> Error {
        if error.classify() != Category::Unknown {
            return error;
        }
        let message = format!("{error}; repeat it with --change-id {}", self.change.id);
        Error::unknown(step, &self.bases.join(","), message)
    }

    /// Sends to each listener in turn until one answers.
    async fn send_any(&self, request: &AdminRequest) -> Result<AdminAnswer> {
        let mut last = None;
        for base in &self.bases {
            match self.send(base, request).await {
                Ok(answer) => return Ok(answer),
                // An earlier listener may have acted: that stays the message.
                Err(error) => last = Some(last.filter(is_unknown).unwrap_or(error)),
            }
        }
        Err(last.unwrap_or_else(|| Error::flag("--admin", "", "give at least one URL")))
    }

    async fn send(&self, base: &str, request: &AdminRequest) -> Result<AdminAnswer> {
        let client = awc::Client::builder()
            .timeout(ANSWER_TIMEOUT)
            .disable_redirects()
            .finish();
        let url = format!("{base}{}", request.path);
        let mut call = client
            .request(request.method.clone(), url)
            .bearer_auth(&self.token);
        if request.method != Method::GET {
            call = call.insert_header((admin::CHANGE_ID_HEADER, self.change.id.as_str()));
        }
        if let Some(version) = self.change.base_version {
            call = call.insert_header((admin::BASE_VERSION_HEADER, version.to_string()));
        }
        let step = request.step;
        if let Some(filter) = &request.filter {
            call = call
                .query(filter)
                .map_err(|error| Error::refused(step, base, error.to_string()))?;
        }
        let sent = call.send_body(request.body.clone()).await;
        let mut response = sent.map_err(|error| {
            if transport::was_never_sent(&error) {
                Error::unavailable(step, base, error.to_string())
            } else {
                Error::unknown(step, base, error.to_string())
            }
        })?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| Error::unknown(step, base, error.to_string()))?;
        Ok(AdminAnswer {
            peer: base.to_owned(),
            status: response.status().as_u16(),
            text: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Answer of an admin listener.
#[derive(Clone, Debug)]
struct AdminAnswer {
    peer: String,
    status: u16,
    text: String,
}

impl AdminAnswer {
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

fn option_of<T: Clone + Send + Sync + 'static>(flags: &clap::ArgMatches, name: &str) -> Option<T> {
    // Not every subcommand has every flag.
    flags.try_get_one::<T>(name).ok().flatten().cloned()
}

fn is_unknown(error: &Error) -> bool {
    error.classify() == Category::Unknown
}

/// Returns whether repeating the change could not tell more.
fn is_final(result: &Result<ChangeResponse>) -> bool {
    match result {
        Ok(reply) => match reply.status {
            ChangeStatus::Accepted => true,
            ChangeStatus::Pending => false,
            ChangeStatus::Refused => reply.cause != Some(RefusalCause::Unavailable),
        },
        Err(error) => !matches!(error.classify(), Category::Unavailable | Category::Unknown),
    }
}

fn decode<T: DeserializeOwned>(step: &'static str, answer: &AdminAnswer) -> Result<T> {
    if !answer.is_success() {
        return Err(problem_of(step, answer));
    }
    serde_json::from_str(&answer.text)
        .map_err(|error| Error::refused(step, &answer.peer, format!("not understood: {error}")))
}

/// Decodes the answer to a change, which has the same form when refused.
fn decode_change(step: &'static str, answer: &AdminAnswer) -> Result<ChangeResponse> {
    serde_json::from_str(&answer.text).map_err(|_| problem_of(step, answer))
}

/// Turns an answer that is no success into an error.
fn problem_of(step: &'static str, answer: &AdminAnswer) -> Error {
    let message = match serde_json::from_str::<ProblemReport>(&answer.text) {
        Ok(problem) => format!("{} {}: {}", answer.status, problem.title, problem.detail),
        Err(_) => format!("status {}", answer.status),
    };
    Error::refused(step, &answer.peer, message)
}
