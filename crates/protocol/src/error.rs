//! Errors of the internal protocol.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    #[derive(Debug)]
    enum ErrorKind {
        Malformed(operation: &'static str, message: String) {
            display("{operation}: malformed message: {message}")
        }
        Invalid(operation: &'static str, message: String) {
            display("{operation}: invalid content: {message}")
        }
    }
}

/// Category of an error.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The bytes are not a message of this schema.
    Syntax,
    /// A field of a well-formed message has an invalid value.
    Data,
}

/// Error of the internal protocol.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn malformed(operation: &'static str, error: &capnp::Error) -> Self {
        Self(Box::new(ErrorKind::Malformed(operation, error.to_string())))
    }

    pub(crate) fn invalid(operation: &'static str, message: impl fmt::Display) -> Self {
        Self(Box::new(ErrorKind::Invalid(operation, message.to_string())))
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
