//! Changes of an owner: transactions that commit only while it still owns the
//! scheduling.

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

use super::election::OwnerLease;

/// Delays between attempts to store a change.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(60),
    max_delay: time::Duration::from_millis(400),
};

/// Timeouts for storing a change.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreTimeouts {
    /// Time after which an attempt without a response is retried.
    pub(super) attempt: time::Duration,
    /// Time after which no more attempts are made.
    pub(super) give_up_after: time::Duration,
}

/// Rows that a change writes and deletes besides the progress of jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct ExtraRows {
    pub(super) written: Vec<EncodedRow>,
    pub(super) deleted: Vec<RowKey>,
}

/// Outcome of storing a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// The change is stored; the lease has the new version of the owner row.
    Stored(OwnerLease),
    /// Another process owns the scheduling, or this one must assume so; with
    /// the reason.
    Lost(&'static str),
}

/// State of the ownership that a change writes.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnershipState {
    /// Whether the owner releases the ownership.
    pub(super) released: bool,
    /// Time until the leases of earlier owners have expired.
    pub(super) inherited: time::Duration,
}

/// Returns the transaction that stores a change, and the owner record that it
/// writes.
pub(super) fn transaction(
    lease: &OwnerLease,
    changes: &ChangeSet,
    extra: &ExtraRows,
    state: OwnershipState,
) -> Result<(TableTransaction, OwnerRecord)> {
    let key = RowKey::new(row::OWNER_KEY);
    let record = OwnerRecord {
        change: lease.record.change + 1,
        released: state.released,
        inherited_ms: Some(state.inherited.as_millis() as u64),
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

/// Stores a change, with retries until `timeouts.give_up_after`.
///
/// An attempt whose response was lost is recognised by the owner row, whose
/// content no other change writes. An attempt that arrives late has no effect,
/// because the version of the row has changed.
pub(super) async fn store(
    client: &TableClient,
    transaction: &TableTransaction,
    record: &OwnerRecord,
    timeouts: StoreTimeouts,
) -> ChangeOutcome {
    let started = clock::boot_now();
    let mut backoff = RetryBackoff::new(RETRY);
    let mut attempts = 0_u32;
    loop {
        attempts += 1;
        let commit = client.commit_within(CallCause::Job, transaction.clone(), timeouts.attempt);
        let error = match commit.await {
            Ok(CommitOutcome::Committed(version)) => {
                return ChangeOutcome::Stored(OwnerLease {
                    record: record.clone(),
                    version,
                });
            }
            Ok(CommitOutcome::Conflict(rows)) => return resolve_conflict(&rows, record),
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
        if clock::boot_now().saturating_since(started) > timeouts.give_up_after {
            return ChangeOutcome::Lost("no change could be stored within the time limit");
        }
        timer::sleep(backoff.next_delay(rand::random())).await;
    }
}

/// Distinguishes an earlier attempt that took effect from a change by another
/// owner.
fn resolve_conflict(rows: &[redwing_provider::TableRow], record: &OwnerRecord) -> ChangeOutcome {
    let current = rows.iter().find(|row| row.key.as_str() == row::OWNER_KEY);
    let Some(current) = current else {
        return ChangeOutcome::Lost("the owner row was deleted");
    };
    match row::read::<OwnerRecord>(current) {
        Ok(stored) if stored == *record => ChangeOutcome::Stored(OwnerLease {
            record: stored,
            version: current.version,
        }),
        _ => ChangeOutcome::Lost("another process owns the scheduling"),
    }
}
