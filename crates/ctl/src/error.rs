//! Errors of the command line, with the operation and the peer.

use std::fmt;
use std::io;
use std::result;

use quick_error::quick_error;

quick_error! {
    /// Kind of an error; private, so that new kinds don't break callers.
    #[derive(Debug)]
    enum ErrorKind {
        Flag(flag: &'static str, value: String, allowed: String) {
            display("invalid value {value:?} for {flag}: {allowed}")
        }
        File(operation: &'static str, path: String, error: io::Error) {
            display("{operation} {path}: {error}")
            source(error)
        }
        Content(path: String, message: String) {
            display("{path}: {message}")
        }
        Unavailable(operation: &'static str, peer: String, message: String) {
            display("{operation} at {peer}: {message}")
        }
        Unknown(operation: &'static str, peer: String, message: String) {
            display("{operation} at {peer}: outcome unknown: {message}")
        }
        Refused(operation: &'static str, peer: String, message: String) {
            display("{operation} at {peer}: refused: {message}")
        }
        Conflict(operation: &'static str, peer: String, message: String) {
            display("{operation} at {peer}: conflict: {message}")
        }
    }
}

/// Category of an error, which decides the exit status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A flag has an invalid value.
    Usage,
    /// A file cannot be read or written, or its content is invalid.
    File,
    /// The peer could not be reached and did not execute the request.
    Unavailable,
    /// The peer may have executed the request, but its response is missing.
    Unknown,
    /// The peer rejected the request.
    Refused,
    /// Another operator changed the configuration first.
    Conflict,
}

/// Error of this package.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for a flag whose value is not allowed.
    pub fn flag(flag: &'static str, value: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Flag(
            flag,
            value.into(),
            allowed.into(),
        )))
    }

    /// Creates an error for a file that cannot be read or written.
    pub fn file(operation: &'static str, path: &str, error: io::Error) -> Self {
        Self(Box::new(ErrorKind::File(operation, path.to_owned(), error)))
    }

    /// Creates an error for a file whose content is invalid.
    pub fn content(path: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Content(
            path.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a request that the peer did not execute.
    pub fn unavailable(operation: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unavailable(
            operation,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a request that the peer may have executed.
    pub fn unknown(operation: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unknown(
            operation,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a request that the peer rejected.
    pub fn refused(operation: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Refused(
            operation,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a change that another operator's change preceded.
    pub fn conflict(operation: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Conflict(
            operation,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Flag(..) => Category::Usage,
            ErrorKind::File(..) | ErrorKind::Content(..) => Category::File,
            ErrorKind::Unavailable(..) => Category::Unavailable,
            ErrorKind::Unknown(..) => Category::Unknown,
            ErrorKind::Refused(..) => Category::Refused,
            ErrorKind::Conflict(..) => Category::Conflict,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {}
