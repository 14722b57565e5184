//! Errors of platform calls.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    #[derive(Clone, Debug)]
    enum ErrorKind {
        Refused(operation: &'static str, service: String, message: String) {
            display("{operation} at {service}: refused: {message}")
        }
        Unavailable(operation: &'static str, service: String, message: String) {
            display("{operation} at {service}: unavailable: {message}")
        }
        Unknown(operation: &'static str, service: String, message: String) {
            display("{operation} at {service}: outcome unknown: {message}")
        }
    }
}

/// Category of an error by the effect that the call had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The service rejected the call; it had no effect and never will.
    Refused,
    /// The call had no effect; it may succeed later.
    Unavailable,
    /// The call may have taken effect; only a later read can show it.
    Unknown,
}

/// Error of a platform call, with the operation and the service.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result of a platform call.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for a call that the service rejected.
    pub fn refused(operation: &'static str, service: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Refused(
            operation,
            service.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a call that certainly had no effect.
    pub fn unavailable(operation: &'static str, service: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unavailable(
            operation,
            service.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a call that may have taken effect.
    pub fn unknown(operation: &'static str, service: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unknown(
            operation,
            service.to_owned(),
            message.into(),
        )))
    }

    /// Returns a copy of the error for another caller that shares the call.
    pub(crate) fn duplicate(&self) -> Self {
        Self(self.0.clone())
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Refused(..) => Category::Refused,
            ErrorKind::Unavailable(..) => Category::Unavailable,
            ErrorKind::Unknown(..) => Category::Unknown,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {}
