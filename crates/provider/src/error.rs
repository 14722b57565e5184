//! Errors of platform calls.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    #[derive(Clone, Debug)]
    enum ErrorKind {
        Refused(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: refused: {message}")
        }
        Unavailable(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: unavailable: {message}")
        }
        Unknown(step: &'static str, peer: String, message: String) {
            display("{step} at {peer}: outcome unknown: {message}")
        }
    }
}

/// What an error says about the effect of the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The service rejected the call; it had no effect and never will.
    Refused,
    /// The call had no effect; it may succeed later.
    Unavailable,
    /// The call may have taken effect; only reading can tell.
    Unknown,
}

/// Error of a platform call, with the step and the peer.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result of a platform call.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for a call that the service rejected.
    pub fn refused(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Refused(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a call that surely had no effect.
    pub fn unavailable(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unavailable(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Creates an error for a call that may have taken effect.
    pub fn unknown(step: &'static str, peer: &str, message: impl Into<String>) -> Self {
        Self(Box::new(ErrorKind::Unknown(
            step,
            peer.to_owned(),
            message.into(),
        )))
    }

    /// Returns the same error for another caller of the same call.
    pub(crate) fn duplicate(&self) -> Self {
        Self(self.0.clone())
    }

    /// Returns what the error says about the effect of the call.
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
