//! Log output.

use std::fmt;
use std::str;

use log::LevelFilter;
use logforth::Layout;
use logforth::append;
use logforth::bridge;
use logforth::filter::rustlog;
use logforth::layout;

use crate::error::{Error, Result};
use crate::output::NonBlockingOutput;

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Error for an unknown log format.
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

/// Stream that log lines go to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogStream {
    /// Standard error, which keeps log lines apart from standard output.
    Error,
    /// Standard output.
    Output,
}

/// Logs events of `level` and above to a stream.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init(stream: LogStream, format: LogFormat, level: LevelFilter) -> Result<()> {
    // Libraries log at warn and above only.
    let spec = format!("warn,redwing_node={level},redwing_engine={level},redwing_adapter={level}");
    let filter = rustlog::RustLogFilterBuilder::from_spec(spec).build();
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => Box::new(layout::TextLayout::default().no_color()),
        LogFormat::Json => Box::new(layout::JsonLayout::default()),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(filter);
            match stream {
                LogStream::Error => dispatch.append(append::Stderr::default().with_layout(layout)),
                LogStream::Output => {
                    let output = append::Stdout::default().with_layout(layout);
                    dispatch.append(NonBlockingOutput::start(output))
                }
            }
        })
        .build();
    log::set_boxed_logger(Box::new(bridge::log::LogBridge::new(logger)))
        .map_err(|error| Error::start("start logging", error))?;
    log::set_max_level(level);
    Ok(())
}
