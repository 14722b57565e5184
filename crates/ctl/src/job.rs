//! The `job` subcommands: submit a job, show its state, cancel it, and count
//! the pending jobs of a queue.

use std::fmt;
use std::time;

use awc::http::Method;
use redwing_jobs::JobState;
use redwing_jobs::record::{FailureReason, JobFailure};
use serde::{Deserialize, Serialize};

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::transport;

/// Submits, shows, cancels and counts jobs through the API for callers.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "job",
    define,
    run,
};

/// Time to wait for a response.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// One call of the API for callers.
struct JobCall {
    operation: &'static str,
    method: Method,
    base_url: String,
    path: String,
    key: Option<String>,
    body: String,
}

fn define() -> clap::Command {
    let id = clap::Arg::new("id")
        .long("id")
        .value_name("ID")
        .required(true)
        .help("Identifier of the job, chosen by the caller; it makes retries safe");
    let file = clap::Arg::new("file")
        .long("file")
        .value_name("FILE")
        .required(true)
        .help("JSON file with the job");
    let subcommand = |name, about| {
        clap::Command::new(name)
            .about(about)
            .args(target_arguments())
    };
    clap::Command::new("job")
        .about("Submits, shows, cancels and counts jobs")
        .subcommand_required(true)
        .subcommand(
            subcommand(
                "submit",
                "Submits a job; a retry with the same identifier is safe",
            )
            .arg(id.clone())
            .arg(file),
        )
        .subcommand(subcommand("state", "Shows the state of a job").arg(id.clone()))
        .subcommand(subcommand("cancel", "Cancels a job").arg(id))
        .subcommand(subcommand(
            "pending",
            "Counts the jobs of a queue that have not started",
        ))
}

/// Returns the flags that name a queue of an entry process.
pub(crate) fn target_arguments() -> Vec<clap::Arg> {
    vec![
        clap::Arg::new("target")
            .long("target")
            .env("REDWING_TARGET")
            .value_name("URL")
            .required(true)
            .value_parser(option::parse_base_url)
            .help("Base URL of an entry process, http://IP:PORT"),
        clap::Arg::new("queue")
            .long("queue")
            .value_name("QUEUE")
            .required(true)
            .value_parser(option::parse_name)
            .help("Queue of the job"),
        clap::Arg::new("key")
            .long("key")
            .env("REDWING_KEY")
            .hide_env_values(true)
            .value_name("KEY")
            .help("Key of the customer [default: none, for an open queue]"),
    ]
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let Some((name, flags)) = flags.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    let call = match name {
        "submit" => {
            let path = text_flag(flags, "file");
            let body = option::read_text(&path)?;
            job_call(flags, "submit job", Method::POST, body)
        }
        "state" => job_call(flags, "read job", Method::GET, String::new()),
        "cancel" => job_call(flags, "cancel job", Method::DELETE, String::new()),
        _ => job_call(flags, "count jobs", Method::GET, String::new()),
    };
    let response = actix_rt::System::new().block_on(async { send(call).await })?;
    println!("{response}");
    Ok(ExitStatus::Success)
}

fn text_flag(flags: &clap::ArgMatches, name: &str) -> String {
    let value = flags.try_get_one::<String>(name);
    value.ok().flatten().cloned().unwrap_or_default()
}

fn job_path(flags: &clap::ArgMatches, id: &str) -> String {
    format!("/v1/queues/{}/jobs/{id}", text_flag(flags, "queue"))
}

fn job_call(
    flags: &clap::ArgMatches,
    operation: &'static str,
    method: Method,
    body: String,
) -> JobCall {
    JobCall {
        operation,
        method,
        base_url: text_flag(flags, "target"),
        path: job_path(flags, &text_flag(flags, "id")),
        key: flags.get_one::<String>("key").cloned(),
        body,
    }
}

/// State of a job as callers see it, as text.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct JobExplanation {
    state: JobState,
    /// Why it has failed, if the process tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    failure: Option<JobFailure>,
}

impl fmt::Display for JobExplanation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            JobState::Queued => "queued: no task has started",
            JobState::Running => "running",
            JobState::Completed => "completed: all tasks are done",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled by its caller",
        };
        formatter.write_str(state)?;
        let Some(JobFailure { reason, task }) = &self.failure else {
            return Ok(());
        };
        let reason = match reason {
            FailureReason::FailedRuns => "failed as often as its queue allows",
            FailureReason::CrashedWorkers => "crashed the workers on which it was started",
            FailureReason::InvalidTask => "was rejected as invalid by a worker",
        };
        write!(formatter, ": task {task} {reason}")
    }
}

/// Reads the state of a job, and why it has failed.
pub(crate) fn explain(flags: &clap::ArgMatches, id: &str) -> Result<JobExplanation> {
    let call = JobCall {
        path: job_path(flags, id),
        ..job_call(flags, "explain job", Method::GET, String::new())
    };
    let target = call.base_url.clone();
    let body = actix_rt::System::new().block_on(async { send(call).await })?;
    let explanation = serde_json::from_str(&body);
    explanation.map_err(|error| Error::refused("explain job", &target, error.to_string()))
}

/// Sends a call and returns the body of a successful response.
async fn send(call: JobCall) -> Result<String> {
    let JobCall {
        operation,
        base_url,
        ..
    } = &call;
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut request = client.request(call.method.clone(), format!("{base_url}{}", call.path));
    if let Some(key) = &call.key {
        request = request.bearer_auth(key);
    }
    let mut response = request
        .send_body(call.body.clone())
        .await
        .map_err(|error| {
            if transport::was_never_sent(&error) {
                Error::unavailable(operation, base_url, error.to_string())
            } else {
                Error::unknown(operation, base_url, error.to_string())
            }
        })?;
    let body = response.body().await;
    let body = body.map_err(|error| Error::unknown(operation, base_url, error.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    match response.status().as_u16() {
        200..=299 => Ok(body),
        503 => Err(Error::unavailable(operation, base_url, body)),
        504 => Err(Error::unknown(operation, base_url, body)),
        status => Err(Error::refused(
            operation,
            base_url,
            format!("{status}: {body}"),
        )),
    }
}
