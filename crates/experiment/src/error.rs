//! Errors of load files.

use std::result;

use quick_error::quick_error;

quick_error! {
    /// Error of a load file.
    #[derive(Debug)]
    pub enum Error {
        /// The file is not well-formed, or a field is unknown or of another type.
        Syntax(message: String) {
            display("{message}")
        }
        /// A field has a value that is not supported.
        Field(field: String, problem: String) {
            display("{field}: {problem}")
        }
    }
}

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error for a field whose value is not supported.
    pub fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Field(field.into(), problem.into())
    }
}
