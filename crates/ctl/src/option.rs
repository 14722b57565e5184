//! Flags and value checks that several subcommands share.

use std::fs;
use std::net;
use std::ops;

use crate::error::{Error, Result};

/// Scheme of every address that the command line speaks to.
const SCHEME: &str = "http://";

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

/// Parses `http://IP:PORT`, without a path.
///
/// # Errors
///
/// Fails if the text has another form.
pub fn parse_base(text: &str) -> std::result::Result<String, String> {
    socket_of(text)
        .map(|_| text.trim_end_matches('/').to_owned())
        .ok_or_else(|| "use http://IP:PORT".to_owned())
}

/// Returns the socket address inside `http://IP:PORT`.
pub fn socket_of(base: &str) -> Option<net::SocketAddr> {
    base.strip_prefix(SCHEME)?
        .trim_end_matches('/')
        .parse()
        .ok()
}

/// Reads a text file that a flag names.
///
/// # Errors
///
/// Fails if the file cannot be read as UTF-8 text.
pub fn read_text(path: &str) -> Result<String> {
    fs::read_to_string(path).map_err(|error| Error::file("read", path, error))
}
