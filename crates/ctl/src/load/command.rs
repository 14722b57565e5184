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

/// Entry of the command table.
pub const COMMAND: CommandEntry = CommandEntry {
    name: "load",
    define,
    run,
};

fn define() -> clap::Command {
    clap::Command::new("load")
        .about("Sends open-loop load to entry processes and checks every answer")
        .after_help(
            "Exit status 1 if a promise was broken. Flags go before the experiment file, \
             and flags on streams apply to every stream.",
        )
        .args(target_arguments())
        .args(rate_arguments())
        .args(stream_arguments())
}

fn target_arguments() -> Vec<clap::Arg> {
    vec![
        text("experiment", "FILE", "Experiment in TOML").short('f'),
        text(
            "startup",
            "FILE",
            "Start-up lines of an embedded entry process",
        ),
        text(
            "declaration",
            "FILE",
            "Declaration that gives the streams' shares and limits",
        ),
        text(
            "target",
            "URL",
            "Listener of an entry process, http://IP:PORT",
        )
        .action(clap::ArgAction::Append)
        .value_parser(option::parse_base),
        text(
            "backend",
            "URL",
            "Stand-in backend server whose starts are compared",
        )
        .action(clap::ArgAction::Append)
        .value_parser(option::parse_base),
        switch("allow-remote", "Allow addresses that are not on loopback"),
        text(
            "json",
            "FILE",
            "Also write the report as JSON; - for standard output",
        ),
    ]
}

fn rate_arguments() -> Vec<clap::Arg> {
    vec![
        text("seed", "N", "Seed of the schedule").value_parser(clap::value_parser!(u64)),
        decimal("seconds", "Time of sending", 0.1, experiment::MAX_SECONDS),
        decimal(
            "drain-seconds",
            "Time to wait for an answer",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal("rate", "Mean requests a second", 0.01, experiment::MAX_RATE),
        decimal(
            "direct-rate",
            "Requests a second straight to backends",
            0.0,
            experiment::MAX_RATE,
        ),
        decimal(
            "rotation",
            "Seconds for which each queue has 5 times its mean",
            0.1,
            experiment::MAX_SECONDS,
        ),
        decimal(
            "window",
            "Seconds over which shares are compared",
            0.1,
            experiment::MAX_SECONDS,
        ),
        count(
            "max-requests",
            "Bound on requests",
            1,
            experiment::MAX_REQUESTS as i64,
        ),
        count("max-in-flight", "Bound on requests in flight", 1, 50_000),
        count("threads", "Sending threads", 1, 16),
    ]
}

fn stream_arguments() -> Vec<clap::Arg> {
    vec![
        text(
            "stream",
            "CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]",
            "One stream of requests",
        )
        .action(clap::ArgAction::Append),
        count("body-bytes", "Size of each body", 0, 64 * 1024 * 1024),
        decimal(
            "run",
            "Running time on the stand-in backend, in seconds",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal(
            "timeout",
            "Redwing-Timeout of each request, in seconds",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal(
            "cancellations",
            "Fraction of requests given up on",
            0.0,
            1.0,
        ),
        decimal(
            "cancel-after",
            "Time after which they are given up, in seconds",
            0.0,
            experiment::MAX_SECONDS,
        ),
        decimal("duplicates", "Fraction of requests sent twice", 0.0, 1.0),
        switch("once", "Requests may run at most once"),
        switch("idempotent", "Each request carries an Idempotency-Key"),
        text(
            "target-weights",
            "N,N,...",
            "Part of the load for each target",
        )
        .value_delimiter(',')
        .value_parser(option::decimal_in(0.0..=1e6)),
    ]
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).long(name).value_name(value).help(help)
}

fn switch(name: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name)
        .long(name)
        .action(clap::ArgAction::SetTrue)
        .help(help)
}

fn decimal(name: &'static str, help: &'static str, low: f64, high: f64) -> clap::Arg {
    text(name, "N", help).value_parser(option::decimal_in(low..=high))
}

fn count(name: &'static str, help: &'static str, low: i64, high: i64) -> clap::Arg {
    text(name, "N", help).value_parser(clap::value_parser!(i64).range(low..=high))
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let experiment = experiment_from(flags)?;
    experiment.check()?;
    if !flags.get_flag("allow-remote") {
        experiment.check_loopback()?;
    }
    let report = measure(&experiment)?;
    write_report(flags, &report)?;
    Ok(if report.is_clean() {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

/// Runs the experiment and puts its report together.
fn measure(experiment: &LoadExperiment) -> Result<LoadReport> {
    let schedule = LoadSchedule::draw(experiment);
    // Tells this run apart from earlier ones at the same backend servers; the
    // top bit is kept for the direct series.
    let run = rand::random::<u32>() & (u32::MAX >> 1);
    let outcome = sender::send_all(experiment, &schedule, run)?;
    let counts = outcome.counts.as_ref();
    let breaches = check::check_promises(experiment, run, &outcome.records, counts);
    let windows = share::share_windows(experiment, &outcome.records);
    let report = LoadReport::new(
        experiment,
        &outcome.records,
        &outcome.direct,
        windows,
        breaches,
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
        .map_err(|error| Error::declaration(path, error.to_string()))?;
    if path == "-" {
        println!("{json}");
        return Ok(());
    }
    println!("{report}");
    fs::write(path, json).map_err(|error| Error::file("write", path, error))
}

/// Puts the experiment together: file first, then start-up lines, then flags.
fn experiment_from(flags: &clap::ArgMatches) -> Result<LoadExperiment> {
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
    let many = |name| flags.get_many::<String>(name).into_iter().flatten();
    experiment.targets.extend(many("target").cloned());
    experiment.backends.extend(many("backend").cloned());
    if let Some(path) = flags.get_one::<String>("declaration") {
        let fleet = redwing_model::from_toml(&option::read_text(path)?);
        let fleet = fleet.map_err(|error| Error::declaration(path, error.to_string()))?;
        experiment.take_targets(&fleet);
    }
    apply_rates(flags, &mut experiment);
    for stream in &mut experiment.streams {
        apply_stream(flags, stream);
    }
    Ok(experiment)
}

fn apply_rates(flags: &clap::ArgMatches, experiment: &mut LoadExperiment) {
    set(flags, "seed", &mut experiment.seed);
    set(flags, "seconds", &mut experiment.seconds);
    set(flags, "drain-seconds", &mut experiment.drain_seconds);
    set(flags, "rate", &mut experiment.rate);
    set(flags, "direct-rate", &mut experiment.direct_rate);
    set(flags, "window", &mut experiment.window_seconds);
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

fn apply_stream(flags: &clap::ArgMatches, stream: &mut LoadStream) {
    set_count(flags, "body-bytes", &mut stream.body_bytes);
    set(flags, "run", &mut stream.run_seconds);
    set(flags, "timeout", &mut stream.timeout_seconds);
    set(flags, "cancellations", &mut stream.cancellations);
    set(flags, "cancel-after", &mut stream.cancel_seconds);
    set(flags, "duplicates", &mut stream.duplicates);
    stream.repeatable &= !flags.get_flag("once");
    stream.idempotent |= flags.get_flag("idempotent");
    if let Some(weights) = flags.get_many::<f64>("target-weights") {
        stream.target_weights = weights.copied().collect();
    }
}

/// Takes over the value of a flag that was given.
fn set<T: Clone + Send + Sync + 'static>(flags: &clap::ArgMatches, name: &str, place: &mut T) {
    if let Some(value) = flags.get_one::<T>(name) {
        *place = value.clone();
    }
}

/// Takes over a count; its range was checked when it was parsed.
fn set_count(flags: &clap::ArgMatches, name: &str, place: &mut usize) {
    if let Some(value) = flags.get_one::<i64>(name) {
        *place = usize::try_from(*value).unwrap_or(0);
    }
}

/// Reads `CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]`.
fn parse_stream(text: &str) -> Result<LoadStream> {
    let wrong = |allowed: String| Error::flag("--stream", text, allowed);
    let form = || wrong("use CUSTOMER/QUEUE[/KEY[/WEIGHT[/SHARE]]]".to_owned());
    let parts: Vec<&str> = text.split('/').collect();
    let [customer, queue, rest @ ..] = parts.as_slice() else {
        return Err(form());
    };
    let number = |index: usize, default: f64| match rest.get(index) {
        Some(text) => text.parse().map_err(|_| form()),
        None => Ok(default),
    };
    Ok(LoadStream {
        customer: customer.parse().map_err(|e| wrong(format!("{e}")))?,
        queue: queue.parse().map_err(|e| wrong(format!("{e}")))?,
        key: rest
            .first()
            .map(|key| (*key).to_owned())
            .unwrap_or_default(),
        weight: number(1, 1.0)?,
        share: number(2, 0.0)?,
        ..LoadStream::default()
    })
}
