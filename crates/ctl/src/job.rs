//! The `job` subcommands: hand a job in, read its state, cancel it, count
//! what waits in its queue.

use std::time;

use awc::http::Method;

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;
use crate::transport;

/// Works on jobs as a caller does.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "job",
    define,
    run,
};

/// Longest time to wait for an answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// One call of the callers' interface.
struct JobCall {
    step: &'static str,
    method: Method,
    base: String,
    path: String,
    key: Option<String>,
    body: String,
}

fn define() -> clap::Command {
    let id = clap::Arg::new("id")
        .long("id")
        .value_name("ID")
        .required(true)
        .help("Id of the job; the same id is the same job");
    let file = clap::Arg::new("file")
        .long("file")
        .value_name("FILE")
        .required(true)
        .help("Job in JSON");
    let subcommand = |name, about| {
        clap::Command::new(name)
            .about(about)
            .args(common_arguments())
    };
    clap::Command::new("job")
        .about("Hands jobs in and follows them")
        .subcommand_required(true)
        .subcommand(
            subcommand("submit", "Hands a job in; repeating it is safe")
                .arg(id.clone())
                .arg(file),
        )
        .subcommand(subcommand("state", "Shows the state of a job").arg(id.clone()))
        .subcommand(subcommand("cancel", "Cancels a job").arg(id))
        .subcommand(subcommand(
            "pending",
            "Counts the jobs of a queue that have not begun",
        ))
}

fn common_arguments() -> Vec<clap::Arg> {
    vec![
        clap::Arg::new("target")
            .long("target")
            .env("REDWING_TARGET")
            .value_name("URL")
            .required(true)
            .value_parser(option::parse_base)
            .help("Listener of an entry process, http://IP:PORT"),
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
            .help("Key of the customer; none on a public queue"),
    ]
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let Some((name, flags)) = flags.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    let call = match name {
        "submit" => {
            let path = text(flags, "file");
            let body = option::read_text(&path)?;
            job_call(flags, "submit job", Method::POST, body)
        }
        "state" => job_call(flags, "read job", Method::GET, String::new()),
        "cancel" => job_call(flags, "cancel job", Method::DELETE, String::new()),
        _ => job_call(flags, "count jobs", Method::GET, String::new()),
    };
    let answer = actix_rt::System::new().block_on(async { send(call).await })?;
    println!("{answer}");
    Ok(ExitStatus::Success)
}

fn text(flags: &clap::ArgMatches, name: &str) -> String {
    let value = flags.try_get_one::<String>(name);
    value.ok().flatten().cloned().unwrap_or_default()
}

fn job_call(flags: &clap::ArgMatches, step: &'static str, method: Method, body: String) -> JobCall {
    JobCall {
        step,
        method,
        base: text(flags, "target"),
        path: format!(
            "/v1/queues/{}/jobs/{}",
            text(flags, "queue"),
            text(flags, "id")
        ),
        key: flags.get_one::<String>("key").cloned(),
        body,
    }
}

/// Sends a call and returns the body of a good answer.
async fn send(call: JobCall) -> Result<String> {
    let JobCall { step, base, .. } = &call;
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let mut request = client.request(call.method.clone(), format!("{base}{}", call.path));
    if let Some(key) = &call.key {
        request = request.bearer_auth(key);
    }
    let mut response = request
        .send_body(call.body.clone())
        .await
        .map_err(|error| {
            if transport::was_never_sent(&error) {
                Error::unavailable(step, base, error.to_string())
            } else {
                Error::unknown(step, base, error.to_string())
            }
        })?;
    let body = response.body().await;
    let body = body.map_err(|error| Error::unknown(step, base, error.to_string()))?;
    let body = String::from_utf8_lossy(&body).into_owned();
    match response.status().as_u16() {
        200..=299 => Ok(body),
        503 => Err(Error::unavailable(step, base, body)),
        504 => Err(Error::unknown(step, base, body)),
        status => Err(Error::refused(step, base, format!("{status}: {body}"))),
    }
}
