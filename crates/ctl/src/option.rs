//! Flags and value checks that several subcommands share.

use std::fs;
use std::net;
use std::ops;

use redwing_model::admin;

use crate::error::{Error, Result};

/// Scheme of every base URL.
const SCHEME: &str = "http://";

/// Maximum time to wait for a change, in seconds.
const MAX_WAIT_SECONDS: f64 = 600.0;

/// Returns a parser of decimal numbers inside `range`.
pub fn decimal_in(
    range: ops::RangeInclusive<f64>,
) -> impl Fn(&str) -> std::result::Result<f64, String> + Clone + Send + Sync + 'static {
    move |text| {
        let allowed = format!("use a number from {} to {}", range.start(), range.end());
        let number: f64 = text.parse().map_err(|_| allowed.clone())?;
        if range.contains(&number) {
            Ok(number)
        } else {
            Err(allowed)
        }
    }
}

/// Parses a base URL `http://IP:PORT`, without a path.
///
/// # Errors
///
/// Fails if the text has another form.
pub fn parse_base_url(text: &str) -> std::result::Result<String, String> {
    socket_address(text)
        .map(|_| text.trim_end_matches('/').to_owned())
        .ok_or_else(|| "use http://IP:PORT".to_owned())
}

/// Parses the name of a VM, pool or class.
///
/// # Errors
///
/// Fails if the text is not a lower-case label.
pub fn parse_name(text: &str) -> std::result::Result<String, String> {
    let name = redwing_model::VmId::new(text);
    name.map(String::from).map_err(|error| error.to_string())
}

/// Returns the socket address of `http://IP:PORT`.
pub fn socket_address(base_url: &str) -> Option<net::SocketAddr> {
    base_url
        .strip_prefix(SCHEME)?
        .trim_end_matches('/')
        .parse()
        .ok()
}

/// Reads a text file.
///
/// # Errors
///
/// Fails if the file cannot be read as UTF-8 text.
pub fn read_text(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|error| Error::file("read", path, error))
}

/// Returns the flags of every subcommand that calls the operator API.
pub fn admin_arguments() -> Vec<clap::Arg> {
    vec![
        clap::Arg::new("admin")
            .long("admin")
            .env("REDWING_ADMIN")
            .value_name("URL")
            .required(true)
            .value_delimiter(',')
            .value_parser(parse_base_url)
            .help("Base URLs of admin listeners of entry processes, http://IP:PORT[,...]"),
        clap::Arg::new("token")
            .long("token")
            .env("REDWING_ADMIN_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .required(true)
            .value_parser(parse_token)
            .help("Token of the operator"),
        clap::Arg::new("json")
            .long("json")
            .action(clap::ArgAction::SetTrue)
            .help("Write the response as JSON"),
    ]
}

/// Returns the flags of every subcommand that changes the configuration.
pub fn change_arguments() -> Vec<clap::Arg> {
    vec![
        clap::Arg::new("change-id")
            .long("change-id")
            .value_name("ID")
            .value_parser(parse_change_id)
            .help("Identifier of the change, for safe retries [default: random]"),
        clap::Arg::new("wait")
            .long("wait")
            .value_name("SECONDS")
            .default_value("10")
            .value_parser(decimal_in(0.0..=MAX_WAIT_SECONDS))
            .help("Time to wait until the change is in force, in seconds"),
    ]
}

/// Parses a token, which is sent in a header.
fn parse_token(text: &str) -> std::result::Result<String, String> {
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(text.to_owned());
    }
    Err("use 1 or more visible ASCII characters".to_owned())
}

/// Parses the identifier of a change, which is sent in a header.
fn parse_change_id(text: &str) -> std::result::Result<String, String> {
    let allowed = text.bytes().all(|byte| byte.is_ascii_graphic());
    if (1..=admin::MAX_CHANGE_ID_BYTES).contains(&text.len()) && allowed {
        return Ok(text.to_owned());
    }
    Err(format!(
        "use 1 to {} visible ASCII characters",
        admin::MAX_CHANGE_ID_BYTES
    ))
}
