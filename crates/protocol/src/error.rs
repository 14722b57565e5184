//! Errors of the inner protocol.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    #[derive(Debug)]
    enum ErrorKind {
        Malformed(step: &'static str, message: String) {
            display("{step}: malformed message: {message}")
        }
        Invalid(step: &'static str, message: String) {
            display("{step}: invalid content: {message}")
        }
    }
}

/// Kind of error that a caller can act on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The bytes are not a message of this schema.
    Syntax,
    /// A field of a well-formed message holds a value that cannot be.
    Data,
}

/// Error of the inner protocol.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn malformed(step: &'static str, error: &capnp::Error) -> Self {
        Self(Box::new(ErrorKind::Malformed(step, error.to_string())))
    }

    pub(crate) fn invalid(step: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Invalid(step, message.to_string())))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Malformed(..) => Category::Syntax,
            ErrorKind::Invalid(..) => Category::Data,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {}
