//! Constructors for flags with environment variables and value ranges.

use std::fmt;
use std::net;
use std::ops;
use std::time;

use clap::{Arg, ArgMatches, value_parser};

/// Creates a flag with its environment variable.
pub(crate) fn named(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("REDWING_{}", name.replace('-', "_").to_uppercase());
    Arg::new(name).long(name).env(variable).help(help)
}

/// Creates a flag for an address; by default any free port on loopback.
pub(crate) fn address(name: &'static str, help: &'static str) -> Arg {
    named(name, help)
        .default_value("127.0.0.1:0")
        .value_name("IP:PORT")
        .value_parser(value_parser!(net::SocketAddr))
}

/// Creates a flag for a number within `range`.
pub(crate) fn count(
    name: &'static str,
    help: &'static str,
    default: &'static str,
    range: ops::RangeInclusive<u32>,
) -> Arg {
    let bounds = i64::from(*range.start())..=i64::from(*range.end());
    named(name, help)
        .default_value(default)
        .value_name(format!("{}..={}", range.start(), range.end()))
        .value_parser(value_parser!(u32).range(bounds))
}

/// Creates a flag for a time in seconds within `range`.
pub(crate) fn seconds(
    name: &'static str,
    help: &'static str,
    default: &'static str,
    range: ops::RangeInclusive<f64>,
) -> Arg {
    let value_name = format!("{}..={} SECONDS", range.start(), range.end());
    named(name, help)
        .default_value(default)
        .value_name(value_name)
        .value_parser(move |text: &str| parse_seconds(text, &range))
}

fn parse_seconds(text: &str, range: &ops::RangeInclusive<f64>) -> Result<time::Duration, String> {
    let message = format!(
        "use a number of seconds from {} to {}",
        range.start(),
        range.end()
    );
    match text.parse::<f64>() {
        Ok(seconds) if range.contains(&seconds) => Ok(time::Duration::from_secs_f64(seconds)),
        _ => Err(message),
    }
}

/// Returns the value of a flag that has a default or is required.
pub(crate) fn read<T>(flags: &ArgMatches, name: &str) -> Option<T>
where
    T: Clone + fmt::Debug + Send + Sync + 'static,
{
    flags.get_one::<T>(name).cloned()
}

/// Returns the value of a flag for a number.
pub(crate) fn read_count(flags: &ArgMatches, name: &str) -> Option<usize> {
    usize::try_from(read::<u32>(flags, name)?).ok()
}
