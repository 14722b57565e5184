//! Errors of job specifications and stored rows.

use std::result;

use quick_error::quick_error;

quick_error! {
    /// Error of a job specification or a stored row.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A field of a specification has a value that is not supported.
        Field(field: String, problem: String) {
            display("read job: field {field}: {problem}")
        }
        /// A field of a manifest has a value that is not supported.
        Manifest(field: String, problem: String) {
            display("read manifest: field {field}: {problem}")
        }
        /// A wave of maintenance cannot be stored.
        Wave(wave: u64, problem: String) {
            display("read wave {wave}: {problem}")
        }
        /// A text is not the name of a task.
        TaskName(text: String) {
            display("read task name: {text:?} is not JOB.OCCURRENCE.STEP.INDEX")
        }
    }
}

/// Result of reading a specification or row.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error that names a field and what is wrong with it.
    pub fn field(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self::Field(field.into(), problem.into())
    }
}
