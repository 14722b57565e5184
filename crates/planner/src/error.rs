//! Errors of maintenance changes.

use std::fmt;
use std::result;

use quick_error::quick_error;
use redwing_model::PoolName;

use crate::rollout::RolloutState;

quick_error! {
    /// Kind of an error; private so that variants can be added without
    /// breaking callers.
    #[derive(Debug)]
    enum ErrorKind {
        BudgetSpent(step: &'static str, pool: PoolName) {
            display("{step}: the availability budget of pool {pool} is spent")
        }
        WrongState(step: &'static str, pool: PoolName, state: RolloutState) {
            display("{step}: the roll-out of pool {pool} is {state}")
        }
        StaleRow(step: &'static str, row: String) {
            display("{step}: row {row} has changed since it was read")
        }
    }
}

/// Category of an error by how a caller can handle it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The change is not allowed in the current state.
    Refused,
    /// The rows have changed; a retry with freshly read rows may succeed.
    Stale,
}

/// Error of a maintenance change, with the step that failed.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn budget_spent(step: &'static str, pool: &PoolName) -> Self {
        Self(Box::new(ErrorKind::BudgetSpent(step, pool.clone())))
    }

    pub(crate) fn wrong_state(step: &'static str, pool: &PoolName, state: RolloutState) -> Self {
        Self(Box::new(ErrorKind::WrongState(step, pool.clone(), state)))
    }

    pub(crate) fn stale_row(step: &'static str, row: String) -> Self {
        Self(Box::new(ErrorKind::StaleRow(step, row)))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::StaleRow(..) => Category::Stale,
            ErrorKind::BudgetSpent(..) | ErrorKind::WrongState(..) => Category::Refused,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {}
