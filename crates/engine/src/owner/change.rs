//! Changes of an owner: rows stored under the condition that it still owns
//! the scheduling.

use std::time;

use redwing_jobs::scheduler::ChangeSet;
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::{CallCause, Category, CommitOutcome, RowKey, TableClient, TableTransaction};
use tokio::time as timer;

use crate::clock;
use crate::error::Result;
use crate::event;
use crate::log_job_event;
use crate::row::{self, EncodedRow, OwnerRecord};

use super::campaign::OwnerLease;

/// Delays between attempts to store a change.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(60),
    max_delay: time::Duration::from_millis(400),
};

/// How long a change is tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreLimits {
    /// Time after which an attempt that was not answered is followed by another.
    pub(super) attempt: time::Duration,
    /// Time after which no other attempt is made.
    pub(super) give_up: time::Duration,
}

/// Rows that are written and deleted beside the progress of jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct ExtraRows {
    pub(super) written: Vec<EncodedRow>,
    pub(super) deleted: Vec<RowKey>,
}

/// How the attempt to store a change ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// It is stored.
    Stored(OwnerLease),
    /// Another process owns the scheduling, or this one must assume so.
    Lost(&'static str),
}

/// Returns the transaction that stores a change, and the owner's row in it.
pub(super) fn transaction(
    lease: &OwnerLease,
    changes: &ChangeSet,
    extra: &ExtraRows,
    released: bool,
) -> Result<(TableTransaction, OwnerRecord)> {
    let key = RowKey::new(row::OWNER_KEY);
    let record = OwnerRecord {
        change: lease.record.change + 1,
        released,
        ..lease.record.clone()
    };
    let value = row::write(&key, &record)?;
    let mut transaction = TableTransaction::default()
        .require_version(key.clone(), lease.version)
        .put(key, value);
    for change in &changes.rows {
        let key = row::progress_key(&change.job);
        let value = row::write(&key, &change.progress)?;
        transaction = transaction.put(key, value);
    }
    for row in &extra.written {
        transaction = transaction.put(row.key.clone(), row.value.clone());
    }
    for key in &extra.deleted {
        transaction = transaction.delete(key.clone());
    }
    Ok((transaction, record))
}

/// Stores a change, however often it takes.
///
/// An attempt whose reply was lost is recognised by the owner's row, whose
/// content no other change writes. A late attempt has no effect: the row has
/// moved on.
pub(super) async fn store(
    client: &TableClient,
    transaction: &TableTransaction,
    record: &OwnerRecord,
    limits: StoreLimits,
) -> ChangeOutcome {
    let begun = clock::boot_now();
    let mut backoff = RetryBackoff::new(RETRY);
    let mut attempts = 0_u32;
    loop {
        attempts += 1;
        let commit = client.commit_within(CallCause::Job, transaction.clone(), limits.attempt);
        let error = match commit.await {
            Ok(CommitOutcome::Committed(version)) => {
                return ChangeOutcome::Stored(OwnerLease {
                    record: record.clone(),
                    version,
                });
            }
            Ok(CommitOutcome::Conflict(rows)) => return resolve(&rows, record),
            Err(error) if error.classify() == Category::Refused => {
                log_job_event!(
                    error,
                    event::CHANGE_DELAYED,
                    attempts = attempts,
                    error = error
                );
                return ChangeOutcome::Lost("the table refused a change");
            }
            Err(error) => error,
        };
        log_job_event!(
            warn,
            event::CHANGE_DELAYED,
            attempts = attempts,
            error = error
        );
        if clock::boot_now().saturating_since(begun) > limits.give_up {
            return ChangeOutcome::Lost("no change could be stored for too long");
        }
        timer::sleep(backoff.next_delay(rand::random())).await;
    }
}

/// Tells an earlier attempt that took effect from the change of another owner.
fn resolve(rows: &[redwing_provider::TableRow], record: &OwnerRecord) -> ChangeOutcome {
    let current = rows.iter().find(|row| row.key.as_str() == row::OWNER_KEY);
    let Some(current) = current else {
        return ChangeOutcome::Lost("the owner's row is gone");
    };
    match row::read::<OwnerRecord>(current) {
        Ok(known) if known == *record => ChangeOutcome::Stored(OwnerLease {
            record: known,
            version: current.version,
        }),
        _ => ChangeOutcome::Lost("another process owns the scheduling"),
    }
}
