//! Writes the rows that callers wait for.
//!
//! Load pattern: a table that rejects calls, or carries them out without a response, while
//! callers wait for a few seconds. Each row is written only once, so that an attempt may be
//! repeated, and one that is carried out late does no harm if its conditions say so.

use std::time;

use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::{
    CallCause, Category, CommitOutcome, RowKey, TableClient, TableRow, TableTransaction,
};
use tokio::time as timer;

use crate::codec::CallerResponse;
use crate::event;
use crate::log_job_event;

use super::service::CallerSettings;

/// Delays between attempts to store a row for a caller.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(60),
    max_delay: time::Duration::from_millis(300),
};

/// Time limits of the attempts to store a row.
#[derive(Clone, Copy, Debug)]
pub(super) struct WriteLimits {
    /// Time after which an attempt without a response is repeated.
    attempt_timeout: time::Duration,
    /// Time after which no more attempts are made if the table has rejected all of them.
    refuse_after: time::Duration,
    /// Time after which callers may retry then.
    retry_after: time::Duration,
}

impl From<&CallerSettings> for WriteLimits {
    fn from(settings: &CallerSettings) -> Self {
        Self {
            attempt_timeout: settings.attempt_timeout,
            refuse_after: settings.refuse_after,
            retry_after: settings.retry_after,
        }
    }
}

/// Outcome of one attempt to write a row.
#[derive(Clone, Debug, Eq, PartialEq)]
enum WriteOutcome {
    /// The row is stored.
    Stored,
    /// Rows are there that must not be; one of them may be from an earlier attempt.
    Conflict(Vec<TableRow>),
    /// The table refused the write, as it would any other attempt.
    Refused,
    /// The row was certainly not written by this attempt.
    Rejected,
    /// The row may have been written by this attempt.
    Unknown,
}

/// Outcome of storing a row that is written only once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StoreOutcome {
    /// The row is stored.
    Stored,
    /// Rows are there that must not be; one of them may be from an earlier attempt.
    Conflict(Vec<TableRow>),
    /// The row is not stored; with the response to the caller.
    Unstored(CallerResponse),
}

/// Stores rows for callers, with retries.
pub(super) struct RowWriter {
    client: TableClient,
    limits: WriteLimits,
}

impl RowWriter {
    pub(super) fn new(client: TableClient, limits: WriteLimits) -> Self {
        Self { client, limits }
    }

    /// Stores the row `key`, which is written only once, with the attempts that this takes.
    pub(super) async fn store(
        &self,
        key: &RowKey,
        transaction: TableTransaction,
        deadline: timer::Instant,
    ) -> StoreOutcome {
        let name = key.as_str();
        let mut backoff = RetryBackoff::new(RETRY);
        let mut may_be_stored = false;
        let refuse_at = timer::Instant::now() + self.limits.refuse_after;
        loop {
            match self.try_write(name, &transaction, deadline).await {
                WriteOutcome::Stored => return StoreOutcome::Stored,
                WriteOutcome::Conflict(rows) => return StoreOutcome::Conflict(rows),
                WriteOutcome::Unknown => may_be_stored = true,
                WriteOutcome::Refused => break,
                WriteOutcome::Rejected => {}
            }
            let limit = if may_be_stored {
                deadline
            } else {
                refuse_at.min(deadline)
            };
            let delay = backoff.next_delay(rand::random());
            if timer::Instant::now() + delay >= limit {
                break;
            }
            timer::sleep(delay).await;
        }
        StoreOutcome::Unstored(if may_be_stored {
            CallerResponse::OutcomeUnknown
        } else {
            CallerResponse::Unavailable {
                retry_after: self.limits.retry_after,
            }
        })
    }

    /// Makes one attempt to write the row `name`, and logs a failure.
    async fn try_write(
        &self,
        name: &str,
        transaction: &TableTransaction,
        deadline: timer::Instant,
    ) -> WriteOutcome {
        let remaining = deadline.saturating_duration_since(timer::Instant::now());
        let timeout = remaining.min(self.limits.attempt_timeout);
        let client = &self.client;
        let commit = client.commit_within(CallCause::Job, transaction.clone(), timeout);
        let error = match commit.await {
            Ok(CommitOutcome::Committed(_)) => return WriteOutcome::Stored,
            Ok(CommitOutcome::Conflict(rows)) => return WriteOutcome::Conflict(rows),
            Err(error) => error,
        };
        log_job_event!(info, event::ROW_UNSTORED, row = name, error = error);
        match error.classify() {
            Category::Unknown => WriteOutcome::Unknown,
            Category::Refused => WriteOutcome::Refused,
            Category::Unavailable => WriteOutcome::Rejected,
        }
    }
}
