//! Errors of the entry process.

use std::fmt;
use std::io;
use std::result;

use quick_error::quick_error;

quick_error! {
    #[derive(Debug)]
    enum ErrorKind {
        Bind(step: &'static str, peer: String, source: io::Error) {
            display("{step} at {peer}: {source}")
            source(source)
        }
        Start(step: &'static str, message: String) {
            display("{step}: {message}")
        }
        Stop(step: &'static str, message: String) {
            display("{step}: {message}")
        }
        Replaced(step: &'static str, node: String) {
            display("{step}: a newer process has replaced {node}")
        }
    }
}

/// Stage of the process in which an error occurred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The process could not start.
    Start,
    /// The process could not finish its work before it exited.
    Stop,
    /// A newer process has replaced this one.
    Replaced,
}

/// Error of the entry process, with the step that failed.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of the entry process.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for an address that cannot be used.
    pub fn bind(step: &'static str, peer: impl fmt::Display, source: io::Error) -> Self {
        Self(Box::new(ErrorKind::Bind(step, peer.to_string(), source)))
    }

    /// Creates an error for a step of the startup.
    pub fn start(step: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Start(step, message.to_string())))
    }

    /// Creates an error for a step of the shutdown.
    pub fn stop(step: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Stop(step, message.to_string())))
    }

    /// Creates an error for a process that was replaced.
    pub fn replaced(step: &'static str, node: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Replaced(step, node.to_string())))
    }

    /// Returns the stage of the process in which the error occurred.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Bind(..) | ErrorKind::Start(..) => Category::Start,
            ErrorKind::Stop(..) => Category::Stop,
            ErrorKind::Replaced(..) => Category::Replaced,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.0.source()
    }
}
