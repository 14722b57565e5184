//! Changes of an owner: transactions that commit only while it still owns the
//! scheduling.

use std::fmt;
use std::time;

use redwing_jobs::JobId;
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::builder::{FillBudget, TransactionBuilder, UnitFit};
use redwing_provider::{
    CallCause, Category, CommitOutcome, RowKey, TableClient, TableLimits, TableTransaction,
    TransactionSize,
};
use tokio::time as timer;

use crate::clock;
use crate::error::Result;
use crate::event;
use crate::log_job_event;
use crate::row::{self, CarriedRows, CountConfirmation, EncodedRow, LateLeaseTimes, OwnerRecord};

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

/// Outcome of storing a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// The change is stored; the lease has the new version of the owner row.
    Stored(OwnerLease),
    /// The table refused the change as it was; with its error.
    Refused(String),
    /// Another process owns the scheduling, or this one must assume so; with
    /// the reason.
    Lost(&'static str),
}

/// State of the ownership that a change writes.
#[derive(Clone, Debug)]
pub(super) struct OwnershipState {
    /// Whether the owner releases the ownership.
    pub(super) released: bool,
    /// Time until the leases of earlier owners have expired.
    pub(super) inherited: time::Duration,
    /// Time until the leases have expired that last longer than those of orders on time.
    pub(super) late_leases: LateLeaseTimes,
    /// Time until those have expired that an unknown incarnation may hold.
    pub(super) unconfirmed: LateLeaseTimes,
    /// Rows of earlier owners that count on.
    pub(super) carried: Option<CarriedRows>,
    /// What is confirmed of the pending counts.
    pub(super) confirmed_counts: Option<CountConfirmation>,
}

/// Rows of a change that are stored together or not at all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeUnit {
    /// Ends of leases.
    LeaseEnds,
    /// Rows of a wave, by its number.
    Wave(u64),
    /// Row for the callers.
    Board(RowKey),
    /// Progress of a job.
    Progress(JobId),
    /// Deletion of the progress of a job whose other rows are deleted.
    Obsolete(JobId),
}

impl fmt::Display for ChangeUnit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseEnds => formatter.write_str(row::LEASE_KEY),
            Self::Wave(wave) => formatter.write_str(row::maintenance_key(*wave).as_str()),
            Self::Board(key) => formatter.write_str(key.as_str()),
            Self::Progress(job) | Self::Obsolete(job) => {
                formatter.write_str(row::progress_key(job).as_str())
            }
        }
    }
}

/// Change that is being filled: the owner row and its condition, and the units that
/// fit beside them.
#[derive(Debug)]
pub(super) struct ChangeFill {
    builder: TransactionBuilder,
    pub(super) units: Vec<ChangeUnit>,
    pub(super) record: OwnerRecord,
}

impl ChangeFill {
    /// Creates a change of the owner with the number `change`.
    pub(super) fn new(
        lease: &OwnerLease,
        change: u64,
        state: OwnershipState,
        limits: TableLimits,
        budget: FillBudget,
    ) -> Result<Self> {
        let key = RowKey::new(row::OWNER_KEY);
        let record = OwnerRecord {
            change,
            released: state.released,
            inherited_ms: Some(state.inherited.as_millis() as u64),
            late_leases: state.late_leases,
            unconfirmed: state.unconfirmed,
            carried: state.carried,
            confirmed_counts: state.confirmed_counts,
            ..lease.record.clone()
        };
        let value = row::write(&key, &record)?;
        let base = TableTransaction::default()
            .require_version(key.clone(), lease.version)
            .put(key, value);
        Ok(Self {
            builder: TransactionBuilder::new(limits, base).with_budget(budget),
            units: Vec::new(),
            record,
        })
    }

    /// Adds a unit if it fits; logs one that fits into no change.
    pub(super) fn add(&mut self, unit: ChangeUnit, rows: &TableTransaction) -> UnitFit {
        let fit = self.builder.add(rows);
        match fit {
            UnitFit::Added => self.units.push(unit),
            UnitFit::TooLarge(size) => log_set_aside(&unit, &size),
            UnitFit::Full => {}
        }
        fit
    }

    /// Adds a unit of one row if it fits.
    pub(super) fn add_row(&mut self, unit: ChangeUnit, row: &EncodedRow) -> UnitFit {
        let rows = TableTransaction::default().put(row.key.clone(), row.value.clone());
        self.add(unit, &rows)
    }

    /// Adds a row for the callers if it fits.
    pub(super) fn add_board(&mut self, row: &EncodedRow) -> UnitFit {
        self.add_row(ChangeUnit::Board(row.key.clone()), row)
    }

    /// Returns the size of the change.
    pub(super) fn size(&self) -> TransactionSize {
        self.builder.size()
    }

    /// Returns the transaction that stores the change.
    pub(super) fn into_transaction(self) -> TableTransaction {
        self.builder.finish()
    }
}

/// Logs that a unit is not stored before its content changes.
pub(super) fn log_set_aside(unit: &ChangeUnit, size: &TransactionSize) {
    log_job_event!(
        error,
        event::ROW_SET_ASIDE,
        row = unit,
        entries = size.entries,
        bytes = size.bytes,
        largest_row = size.largest_row,
    );
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
        let attempted = clock::boot_now();
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
                return ChangeOutcome::Refused(error.to_string());
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
        // An attempt on a silent table has taken longer than any delay; the next one
        // follows at once, as the table may have returned.
        let elapsed = clock::boot_now().saturating_since(attempted);
        timer::sleep(backoff.delay_after(elapsed, rand::random())).await;
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
