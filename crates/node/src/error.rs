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
        Replaced(step: &'static str, own: String) {
            display("{step}: a newer process runs in place of {own}")
        }
    }
}

/// Stage of the process's life in which an error arose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The process could not start.
    Start,
    /// The process could not finish everything before it ended.
    Stop,
    /// Another process runs in place of this one.
    Replaced,
}

/// Error of the entry process, with the step and the peer.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of the entry process.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for an address that cannot be used.
    pub fn bind(step: &'static str, peer: impl fmt::Display, source: io::Error) -> Self {
        Self(Box::new(ErrorKind::Bind(step, peer.to_string(), source)))
    }

    /// Creates an error for a step of the start.
    pub fn start(step: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Start(step, message.to_string())))
    }

    /// Creates an error for a step of the stop.
    pub fn stop(step: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Stop(step, message.to_string())))
    }

    /// Creates an error for a process whose place was taken.
    pub fn replaced(step: &'static str, own: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Replaced(step, own.to_string())))
    }

    /// Returns the stage of the process's life in which the error arose.
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
