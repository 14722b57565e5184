//! Reads and writes the rows of an owner; unreadable rows are logged and
//! skipped.

use std::collections::BTreeMap;

use redwing_jobs::JobRecord;
use redwing_jobs::admission::BacklogSummary;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::MaintenanceRecord;
use redwing_provider::{RowKey, TableRow};
use serde::Serialize;

use crate::event;
use crate::follow;
use crate::log_job_event;
use crate::row::{self, EncodedRow, PendingCounts};

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
    match row::read(entry) {
        Ok(record) => Some(record),
        Err(error) => {
            follow::log_malformed(&entry.key, &error);
            None
        }
    }
}

/// Reads the maintenance records, by the number of the wave.
pub(super) fn read_waves(rows: &[TableRow]) -> BTreeMap<u64, MaintenanceRecord> {
    let mut waves = BTreeMap::new();
    for entry in rows {
        let number = entry.key.as_str().strip_prefix(row::MAINTENANCE_PREFIX);
        let number = number.and_then(|text| text.parse().ok());
        match (number, row::read(entry)) {
            (Some(number), Ok(record)) => {
                waves.insert(number, record);
            }
            (_, Err(error)) => follow::log_malformed(&entry.key, &error),
            (None, Ok(_)) => {
                follow::log_malformed(&entry.key, &"the key does not end with a wave number")
            }
        }
    }
    waves
}
