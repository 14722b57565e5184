//! The `load` subcommand.

use std::fs;

use super::check;
use super::experiment::{self, DemandRotation, LoadExperiment, LoadStream};
use super::report::LoadReport;
use super::schedule::LoadSchedule;
use super::sender;
use super::share;
use super::startup;
use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;

/// Sends load and checks the responses.
pub const COMMAND: CommandEntry = CommandEntry {
    name: "load",
    define,
    run,
};

fn define() -> clap::Command {
    clap::Command::new("load")
        .about("Sends open-loop load to entry processes and checks every response")
        .after_help(
            "Exit status 1 if a promise was broken. Flags override the experiment file, \
             and flags of streams apply to every stream.",
        )
        .args(target_arguments())
        .args(rate_arguments())
        .args(stream_arguments())
}

fn target_arguments() -> Vec<clap::Arg> {
    vec![
        text_flag("experiment", "FILE", "TOML file with the experiment").short('f'),
        text_flag(
            "startup",
            "FILE",
            "File with the start-up lines of an entry process with the embedded platform",
        ),
        text_flag(
            "declaration",
            "FILE",
            "TOML file with the declaration of the streams' shares and limits",
        ),
        text_flag(
            "target",
            "URL",
            "Base URL of an entry process, http://IP:PORT; may be repeated",
        )
        .action(clap::ArgAction::Append)
        .value_parser(option::parse_base_url),
        text_flag(
            "backend",
            "URL",
            "Base URL of a stand-in backend server whose execution counts are checked; may be repeated",
        )
        .action(clap::ArgAction::Append)
        .value_parser(option::parse_base_url),
        switch_flag(
            "allow-remote",
            "Allow addresses other than loopback addresses",
        ),
        text_flag(
            "json",
            "FILE",
            "File to write the report to as JSON; - for standard output",
        ),
    ]
}

fn rate_arguments() -> Vec<clap::Arg> {
    vec![
        text_flag("seed", "N", "Seed of the schedule [default: 1]")
            .value_parser(clap::value_parser!(u64)),
        decimal_flag(
            "seconds",
            "Duration of sending, in seconds [default: 10]",
            0.1,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "drain-seconds",
            "Time to wait for a response, in seconds [default: 30]",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "rate",
            "Mean rate of all streams together, in requests per second [default: 100]",
            0.01,
            experiment::MAX_RATE,
        ),
        decimal_flag(
            "direct-rate",
            "Rate of requests sent directly to backend servers, per second [default: 0]",
            0.0,
            experiment::MAX_RATE,
        ),
        decimal_flag(
            "rotation",
            "Time for which each queue in turn has 5 times its mean rate, in seconds [default: constant rates]",
            0.1,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "window",
            "Length of the windows in which shares are compared, in seconds [default: 10]",
            0.1,
            experiment::MAX_SECONDS,
        ),
        count_flag(
            "max-requests",
            "Maximum number of requests [default: 200000]",
            1,
            experiment::MAX_REQUESTS as i64,
        ),
        count_flag(
            "max-in-flight",
            "Maximum number of requests in flight [default: 4000]",
            1,
            50_000,
        ),
        count_flag("threads", "Number of sending threads [default: 1]", 1, 16),
    ]
}

fn stream_arguments() -> Vec<clap::Arg> {
    vec![
        text_flag(
            "stream",
            "CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]",
            "Stream of requests of one customer to one queue; may be repeated",
        )
        .action(clap::ArgAction::Append),
        count_flag(
            "body-bytes",
            "Size of each request body, in bytes [default: 256]",
            0,
            64 * 1024 * 1024,
        ),
        decimal_flag(
            "run",
            "Running time on the stand-in backend server, in seconds [default: 0]",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "timeout",
            "Redwing-Timeout of each request, in seconds; 0 for none [default: 0]",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "cancellations",
            "Fraction of requests that the caller cancels [default: 0]",
            0.0,
            1.0,
        ),
        decimal_flag(
            "cancel-after",
            "Time after which the caller cancels, in seconds [default: 0.05]",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal_flag(
            "duplicates",
            "Fraction of requests sent twice; needs --idempotent [default: 0]",
            0.0,
            1.0,
        ),
        switch_flag(
            "once",
            "Mark requests as not repeatable, to run at most once",
        ),
        switch_flag("idempotent", "Send an Idempotency-Key with each request"),
        text_flag(
            "target-weights",
            "N,N,...",
            "Weight of each target in the load [default: equal weights]",
        )
        .value_delimiter(',')
        .value_parser(option::decimal_in(0.0..=1e6)),
    ]
}

fn text_flag(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn switch_flag(name: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name)
        .long(name)
        .action(clap::ArgAction::SetTrue)
        .help(help)
}

fn decimal_flag(name: &'static str, help: &'static str, low: f64, high: f64) -> clap::Arg {
    text_flag(name, "N", help).value_parser(option::decimal_in(low..=high))
}

fn count_flag(name: &'static str, help: &'static str, low: i64, high: i64) -> clap::Arg {
    text_flag(name, "N", help).value_parser(clap::value_parser!(i64).range(low..=high))
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let experiment = build_experiment(flags)?;
    experiment.check()?;
    if !flags.get_flag("allow-remote") {
        experiment.check_loopback()?;
    }
    let report = run_experiment(&experiment)?;
    write_report(flags, &report)?;
    Ok(if report.is_clean() {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

/// Runs the experiment and returns its report.
fn run_experiment(experiment: &LoadExperiment) -> Result<LoadReport> {
    let schedule = LoadSchedule::draw(experiment);
    // Distinguishes this experiment from earlier ones with the same backend
    // servers; the top bit is reserved for the direct series.
    let run_id = rand::random::<u32>() & (u32::MAX >> 1);
    let results = sender::send_all(experiment, &schedule, run_id)?;
    let counts = results.execution_counts.as_ref();
    let violations = check::check_guarantees(experiment, run_id, &results.entry_records, counts);
    let windows = share::share_windows(experiment, &results.entry_records);
    let report = LoadReport::new(
        experiment,
        &results.entry_records,
        &results.direct_records,
        windows,
        violations,
    );
    Ok(LoadReport {
        executions_checked: counts.is_some(),
        truncated: schedule.truncated,
        ..report
    })
}

fn write_report(flags: &clap::ArgMatches, report: &LoadReport) -> Result<()> {
    let Some(path) = flags.get_one::<String>("json") else {
        println!("{report}");
        return Ok(());
    };
    let json = serde_json::to_string_pretty(report)
        .map_err(|error| Error::content(path, error.to_string()))?;
    if path == "-" {
        println!("{json}");
        return Ok(());
    }
    println!("{report}");
    fs::write(path, json).map_err(|error| Error::file("write", path, error))
}

/// Builds the experiment from the file, then the start-up lines, then the flags.
fn build_experiment(flags: &clap::ArgMatches) -> Result<LoadExperiment> {
    let mut experiment = match flags.get_one::<String>("experiment") {
        Some(path) => LoadExperiment::from_toml(path, &option::read_text(path)?)?,
        None => LoadExperiment::default(),
    };
    for text in flags.get_many::<String>("stream").into_iter().flatten() {
        experiment.streams.push(parse_stream(text)?);
    }
    if let Some(path) = flags.get_one::<String>("startup") {
        startup::parse_startup(&option::read_text(path)?, &mut experiment);
    }
    let flag_values = |name| flags.get_many::<String>(name).into_iter().flatten();
    experiment.targets.extend(flag_values("target").cloned());
    experiment.backends.extend(flag_values("backend").cloned());
    if let Some(path) = flags.get_one::<String>("declaration") {
        let declaration = redwing_model::from_toml(&option::read_text(path)?);
        let declaration = declaration.map_err(|error| Error::content(path, error.to_string()))?;
        experiment.apply_declaration(&declaration);
    }
    apply_experiment_flags(flags, &mut experiment);
    for stream in &mut experiment.streams {
        apply_stream_flags(flags, stream);
    }
    Ok(experiment)
}

fn apply_experiment_flags(flags: &clap::ArgMatches, experiment: &mut LoadExperiment) {
    set_value(flags, "seed", &mut experiment.seed);
    set_value(flags, "seconds", &mut experiment.seconds);
    set_value(flags, "drain-seconds", &mut experiment.drain_seconds);
    set_value(flags, "rate", &mut experiment.rate);
    set_value(flags, "direct-rate", &mut experiment.direct_rate);
    set_value(flags, "window", &mut experiment.window_seconds);
    set_count(flags, "max-requests", &mut experiment.max_requests);
    set_count(flags, "max-in-flight", &mut experiment.max_in_flight);
    set_count(flags, "threads", &mut experiment.threads);
    if let Some(period) = flags.get_one::<f64>("rotation") {
        let rotation = experiment.rotation.take().unwrap_or_default();
        experiment.rotation = Some(DemandRotation {
            period_seconds: *period,
            ..rotation
        });
    }
}

fn apply_stream_flags(flags: &clap::ArgMatches, stream: &mut LoadStream) {
    set_count(flags, "body-bytes", &mut stream.body_bytes);
    set_value(flags, "run", &mut stream.run_seconds);
    set_value(flags, "timeout", &mut stream.timeout_seconds);
    set_value(flags, "cancellations", &mut stream.cancellations);
    set_value(flags, "cancel-after", &mut stream.cancel_seconds);
    set_value(flags, "duplicates", &mut stream.duplicates);
    stream.repeatable &= !flags.get_flag("once");
    stream.idempotent |= flags.get_flag("idempotent");
    if let Some(weights) = flags.get_many::<f64>("target-weights") {
        stream.target_weights = weights.copied().collect();
    }
}

/// Sets `field` to the value of a flag, if given.
fn set_value<T: Clone + Send + Sync + 'static>(
    flags: &clap::ArgMatches,
    name: &str,
    field: &mut T,
) {
    if let Some(value) = flags.get_one::<T>(name) {
        *field = value.clone();
    }
}

/// Sets `field` to the count of a flag, if given; the parser checked its range.
fn set_count(flags: &clap::ArgMatches, name: &str, field: &mut usize) {
    if let Some(value) = flags.get_one::<i64>(name) {
        *field = usize::try_from(*value).unwrap_or(0);
    }
}

/// Parses `CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]`.
fn parse_stream(text: &str) -> Result<LoadStream> {
    let flag_error = |allowed: String| Error::flag("--stream", text, allowed);
    let format_error = || flag_error("use CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]".to_owned());
    let parts: Vec<&str> = text.split('/').collect();
    let [customer, queue, optional @ ..] = parts.as_slice() else {
        return Err(format_error());
    };
    let number = |index: usize, default: f64| match optional.get(index) {
        Some(text) => text.parse().map_err(|_| format_error()),
        None => Ok(default),
    };
    Ok(LoadStream {
        customer: customer.parse().map_err(|e| flag_error(format!("{e}")))?,
        queue: queue.parse().map_err(|e| flag_error(format!("{e}")))?,
        key: optional
            .first()
            .map(|key| (*key).to_owned())
            .unwrap_or_default(),
        weight: number(1, 1.0)?,
        share: number(2, 0.0)?,
        ..LoadStream::default()
    })
}
