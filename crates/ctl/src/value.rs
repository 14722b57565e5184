//! The `value` subcommand, for scripts that tabulate measurements.

use crate::command::{CommandEntry, ExitStatus};
use crate::error::{Error, Result};
use crate::option;

/// Prints one value of a JSON report.
pub(crate) const COMMAND: CommandEntry = CommandEntry {
    name: "value",
    define,
    run,
};

fn define() -> clap::Command {
    clap::Command::new("value")
        .about("Prints one value of a JSON report, rounded to three decimals")
        .arg(
            clap::Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("JSON report to read"),
        )
        .arg(
            clap::Arg::new("field")
                .value_name("FIELD")
                .required(true)
                .help("Path of the value, for example total.p99-ms"),
        )
}

fn run(flags: &clap::ArgMatches) -> Result<ExitStatus> {
    let text = |name| flags.get_one::<String>(name).map_or("", String::as_str);
    let (path, field) = (text("file"), text("field"));
    let report: serde_json::Value = serde_json::from_str(&option::read_text(path)?)
        .map_err(|error| Error::content(path, error.to_string()))?;
    let pointer = format!("/{}", field.replace('.', "/"));
    let value = report
        .pointer(&pointer)
        .ok_or_else(|| Error::content(path, format!("there is no field {field}")))?;
    match value.as_f64() {
        Some(number) if !value.is_u64() => println!("{number:.3}"),
        _ => println!("{value}"),
    }
    Ok(ExitStatus::Success)
}
