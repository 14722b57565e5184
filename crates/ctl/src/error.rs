//! Errors of the command line, with the step and the peer.

use std::fmt;
use std::io;
use std::result;

use quick_error::quick_error;

quick_error! {
    /// What went wrong, kept private so that it can grow.
    #[derive(Debug)]
    enum ErrorKind {
        Flag(flag: &'static str, value: String, allowed: String) {
            display("invalid value {value:?} for {flag}: {allowed}")
        }
        File(step: &'static str, path: String, error: io::Error) {
            display("{step} {path}: {error}")
            source(error)
        }
        Declaration(path: String, message: String) {
            display("{path}: {message}")
        }
        Unavailable(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: {message}")
        }
        Unknown(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: outcome unknown: {message}")
        }
        Refused(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: refused: {message}")
        }
        Conflict(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: conflict: {message}")
        }
    }
}

/// Kind of error that decides the exit status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A flag has a wrong value.
    Usage,
    /// A file is unreadable or its content cannot hold.
    Declaration,
    /// The peer could not be reached; nothing was changed.
    Unavailable,
    /// The peer may have acted, but its answer is missing.
    Unknown,
    /// The peer rejected the call.
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
    /// Creates an error for a flag whose value is outside of what is allowed.
    pub fn flag(flag: &'static str, value: impl Into<String>, allowed: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Flag(
            flag,
            value.into(),
            allowed.into(),
        )))
    }

    /// Creates an error for a file that cannot be read or written.
    pub fn file(step: &'static str, path: &str, error: io::Error) -> Self {
        Self(Box::new(ErrorKind::File(step, path.to_owned(), error)))
    }

    /// Creates an error for a file whose content cannot hold.
    pub fn declaration(path: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Declaration(
            path.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a peer that surely did not act.
    pub fn unavailable(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unavailable(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a peer that may have acted.
    pub fn unknown(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unknown(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a call that the peer rejected.
    pub fn refused(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Refused(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a change that lost a race.
    pub fn conflict(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Conflict(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Flag(..) => Category::Usage,
            ErrorKind::File(..) | ErrorKind::Declaration(..) => Category::Declaration,
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
