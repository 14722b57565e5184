//! What is known of a request's execution.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the answer to a request says about its execution on a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request was executed and its answer is complete.
    Ran,
    /// No byte of the request reached a backend server, or the backend
    /// server itself stated that it did not start it.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}

impl RunOutcome {
    /// Returns the value of the `Redwing-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
