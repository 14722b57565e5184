//! Log output on standard error.

use std::fmt;
use std::str;

use log::LevelFilter;
use logforth::append;
use logforth::bridge;
use logforth::filter::rustlog;
use logforth::layout;

use crate::error::{Error, Result};

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Error for a text that names no log format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownFormat;

impl fmt::Display for UnknownFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("use text or json")
    }
}

impl std::error::Error for UnknownFormat {}

impl str::FromStr for LogFormat {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> std::result::Result<Self, UnknownFormat> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// Directs log events of `level` and above to standard error.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init(format: LogFormat, level: LevelFilter) -> Result<()> {
    let output = match format {
        LogFormat::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        LogFormat::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    // Libraries report only what needs attention.
    let filter =
        rustlog::RustLogFilterBuilder::from_spec(format!("warn,redwing_node={level}")).build();
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(output))
        .build();
    log::set_boxed_logger(Box::new(bridge::log::LogBridge::new(logger)))
        .map_err(|error| Error::start("start logging", error))?;
    log::set_max_level(level);
    Ok(())
}
