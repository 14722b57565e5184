//! Errors of the engine.

use std::result;

use quick_error::quick_error;

quick_error! {
    /// Error of the engine.
    #[derive(Debug)]
    pub enum Error {
        /// An operation of the process failed; with the operation, the peer and the
        /// cause.
        Start(operation: &'static str, peer: String, message: String) {
            display("{operation} at {peer}: {message}")
        }
        /// A row of the table could not be decoded or encoded; with its key and the
        /// cause.
        Row(key: String, message: String) {
            display("read row {key}: {message}")
        }
        /// A call to the table failed.
        Table(error: redwing_provider::Error) {
            display("{error}")
            source(error)
            from()
        }
    }
}

/// Result of an operation of the engine.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    /// Creates an error of an operation of the process.
    pub fn start(operation: &'static str, peer: impl ToString, message: impl ToString) -> Self {
        Self::Start(operation, peer.to_string(), message.to_string())
    }

    /// Creates an error of a row that cannot be decoded or encoded.
    pub fn row(key: &redwing_provider::RowKey, message: impl ToString) -> Self {
        Self::Row(key.as_str().to_owned(), message.to_string())
    }
}
