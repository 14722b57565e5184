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
        BudgetSpent(operation: &'static str, pool: PoolName) {
            display("{operation}: the availability budget of pool {pool} is spent")
        }
        WrongState(operation: &'static str, pool: PoolName, state: RolloutState) {
            display("{operation}: the roll-out of pool {pool} is {state}")
        }
        StaleRow(operation: &'static str, row: String) {
            display("{operation}: row {row} has changed since it was read")
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

/// Error of a maintenance change, with the operation that failed.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn budget_spent(operation: &'static str, pool: &PoolName) -> Self {
        Self(Box::new(ErrorKind::BudgetSpent(operation, pool.clone())))
    }

    pub(crate) fn wrong_state(
        operation: &'static str,
        pool: &PoolName,
        state: RolloutState,
    ) -> Self {
        Self(Box::new(ErrorKind::WrongState(
            operation,
            pool.clone(),
            state,
        )))
    }

    pub(crate) fn stale_row(operation: &'static str, row: String) -> Self {
        Self(Box::new(ErrorKind::StaleRow(operation, row)))
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
