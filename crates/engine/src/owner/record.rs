//! Reads and writes the rows of an owner; unreadable rows are logged and
//! skipped.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::admission::BacklogSummary;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::MaintenanceRecord;
use redwing_jobs::scheduler::LeaseEnds;
use redwing_jobs::{BootTime, JobRecord, WorkerId};
use redwing_provider::{RowKey, TableRow};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock;
use crate::event;
use crate::follow;
use crate::log_job_event;
use crate::owner::inherited::InheritedRows;
use crate::row::{self, EncodedRow, LeaseRecord, PendingCounts, WaitRecord};

/// Returns the row of the pending counts.
pub(super) fn pending_counts_row(counts: &PendingCounts) -> Option<EncodedRow> {
    encode(RowKey::new(row::PENDING_KEY), counts)
}

/// Returns the row of the fleet capacity.
pub(super) fn fleet_capacity_row(capacity: &FleetCapacity) -> Option<EncodedRow> {
    encode(RowKey::new(row::FLEET_CAPACITY_KEY), capacity)
}

/// Returns the row of the backlogs of pools.
pub(super) fn backlog_row(summary: &BacklogSummary) -> Option<EncodedRow> {
    encode(RowKey::new(row::BACKLOG_KEY), summary)
}

/// Returns the row of the ends of leases, with the time left at `now`.
pub(super) fn lease_row(fencing_token: u64, ends: &LeaseEnds, now: BootTime) -> Option<EncodedRow> {
    let record = LeaseRecord {
        fencing_token,
        remaining_ms: remaining_ms(ends, now),
    };
    encode(RowKey::new(row::LEASE_KEY), &record)
}

/// Returns the time left at `now` for each worker, in milliseconds.
pub(super) fn remaining_ms(ends: &LeaseEnds, now: BootTime) -> BTreeMap<WorkerId, u64> {
    let remaining = ends.iter().map(|(worker, end)| {
        let remaining = end.saturating_since(now);
        (worker.clone(), remaining.as_millis() as u64)
    });
    remaining.collect()
}

/// Returns the ends of leases of which so many milliseconds were left at `since`.
pub(super) fn lease_ends(remaining_ms: &BTreeMap<WorkerId, u64>, since: BootTime) -> LeaseEnds {
    let ends = remaining_ms.iter().map(|(worker, millis)| {
        let remaining = time::Duration::from_millis(*millis);
        (worker.clone(), since + remaining)
    });
    ends.collect()
}

/// Ends of leases as an earlier owner stored them.
pub(super) struct StoredLeases {
    /// Fencing token of the owner that wrote the row; 0 if there is none.
    pub(super) fencing_token: u64,
    /// The ends; empty if they do not count for the new owner.
    pub(super) ends: LeaseEnds,
}

/// Reads the ends of leases that an earlier owner stored.
pub(super) fn read_lease_ends(rows: &[TableRow], inherited: &InheritedRows) -> StoredLeases {
    let record = find::<LeaseRecord>(rows, row::LEASE_KEY).unwrap_or_default();
    let mut stored = StoredLeases {
        fencing_token: record.fencing_token,
        ends: LeaseEnds::default(),
    };
    if let Some(stored_by) = inherited.stored_by(record.fencing_token) {
        stored.ends = lease_ends(&record.remaining_ms, stored_by);
    }
    stored
}

/// Returns the row of the waits.
pub(super) fn wait_row(record: &WaitRecord) -> Option<EncodedRow> {
    encode(RowKey::new(row::WAIT_KEY), record)
}

/// Waits as an earlier owner stored them.
#[derive(Debug, Default)]
pub(super) struct StoredWaits {
    /// The waits; empty if those that are stored do not count for the new owner.
    pub(super) record: WaitRecord,
    /// A time at which the row was stored already.
    pub(super) stored_by: BootTime,
}

/// Reads the waits that an earlier owner stored.
pub(super) fn read_waits(rows: &[TableRow], inherited: &InheritedRows) -> StoredWaits {
    let record = find::<WaitRecord>(rows, row::WAIT_KEY).unwrap_or_default();
    let Some(stored_by) = inherited.stored_by(record.fencing_token) else {
        return StoredWaits::default();
    };
    StoredWaits { record, stored_by }
}

/// Reads the row with the given key; returns none if it is absent or malformed.
fn find<T: DeserializeOwned>(rows: &[TableRow], key: &str) -> Option<T> {
    let is_found = |entry: &&TableRow| entry.key.as_str() == key && entry.value.is_some();
    read_or_log(rows.iter().find(is_found)?)
}

/// Reads a row; returns none if it is malformed.
pub(super) fn read_or_log<T: DeserializeOwned>(entry: &TableRow) -> Option<T> {
    let record = row::read(entry);
    record
        .inspect_err(|error| follow::log_malformed(&entry.key, error))
        .ok()
}

fn encode(key: RowKey, record: &impl Serialize) -> Option<EncodedRow> {
    match row::write(&key, record) {
        Ok(value) => Some(EncodedRow { key, value }),
        Err(error) => {
            log_job_event!(error, event::ROW_MALFORMED, error = error);
            None
        }
    }
}

/// Reads the row of a job; returns none if it is deleted or malformed.
pub(super) fn read_job(entry: &TableRow) -> Option<JobRecord> {
    entry.value.as_ref()?;
    read_or_log(entry)
}

/// Reads the maintenance records, by the number of the wave, as they are now, given a
/// time at which the rows were stored already.
pub(super) fn read_waves(
    rows: &[TableRow],
    stored_by: BootTime,
) -> BTreeMap<u64, MaintenanceRecord> {
    let elapsed = clock::boot_now().saturating_since(stored_by);
    let mut waves = BTreeMap::new();
    for entry in rows {
        let number = entry.key.as_str().strip_prefix(row::MAINTENANCE_PREFIX);
        let number = number.and_then(|text| text.parse().ok());
        match (number, row::read::<MaintenanceRecord>(entry)) {
            (Some(number), Ok(record)) => {
                waves.insert(number, record.after(elapsed));
            }
            (_, Err(error)) => follow::log_malformed(&entry.key, &error),
            (None, Ok(_)) => {
                follow::log_malformed(&entry.key, &"the key does not end with a wave number")
            }
        }
    }
    waves
}
