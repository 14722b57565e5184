//! Reads and writes the rows of an owner; what cannot be read is logged and
//! left out.

use std::collections::BTreeMap;

use redwing_jobs::JobRecord;
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::maintenance::MaintenanceRecord;
use redwing_provider::{RowKey, TableRow};
use serde::Serialize;

use crate::event;
use crate::follow;
use crate::log_job_event;
use crate::row::{self, EncodedRow, PendingBoard};

/// Returns the row of the counts of queues.
pub(super) fn board_row(board: &PendingBoard) -> Option<EncodedRow> {
    encode(RowKey::new(row::BOARD_KEY), board)
}

/// Returns the row of what workers offer at most.
pub(super) fn offer_row(offer: &FleetCapacity) -> Option<EncodedRow> {
    encode(RowKey::new(row::OFFER_KEY), offer)
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

/// Reads the row of a job; a deleted row is none.
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

/// Reads the rows of waves.
pub(super) fn read_waves(rows: &[TableRow]) -> BTreeMap<u64, MaintenanceRecord> {
    let mut waves = BTreeMap::new();
    for entry in rows {
        let number = entry.key.as_str().strip_prefix(row::UPKEEP_PREFIX);
        let number = number.and_then(|text| text.parse().ok());
        match (number, row::read(entry)) {
            (Some(number), Ok(record)) => {
                waves.insert(number, record);
            }
            (_, Err(error)) => follow::log_malformed(&entry.key, &error),
            (None, Ok(_)) => follow::log_malformed(&entry.key, &"no number of a wave"),
        }
    }
    waves
}
