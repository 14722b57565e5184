//! Outcome of a request's execution.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Execution outcome that the response to a request reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request was executed and its response is complete.
    Ran,
    /// No byte of the request reached a backend server, or the backend
    /// server itself reported that it did not start it.
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
