//! Rows that the engine keeps in the table.
//!
//! | row | written by | content |
//! | --- | --- | --- |
//! | `jobs@PART/ID` | the accepting process, once | [`JobRecord`](redwing_jobs::JobRecord) |
//! | `jobs@PART/ID.cancel` | the cancelling process, once | [`CancelRecord`] |
//! | `progress/ID` | the owner | [`ProgressRecord`](redwing_jobs::ProgressRecord) |
//! | `owner/jobs` | whoever owns the scheduling | [`OwnerRecord`] |
//! | `board/pending` | the owner | [`PendingBoard`] |
//! | `board/offer` | the owner | [`FleetCapacity`](redwing_jobs::feasibility::FleetCapacity) |
//! | `upkeep/N` | the owner | [`MaintenanceRecord`](redwing_jobs::maintenance::MaintenanceRecord) |
//!
//! Jobs lie in several parts by their ids: a slow table accepts as many at a
//! time. All rows of the owner lie in one part, since each change of them is
//! one transaction with the owner's row.

use std::collections::BTreeMap;

use redwing_jobs::JobId;
use redwing_jobs::name::QueueName;
use redwing_jobs::time::WallTime;
use redwing_provider::{RowKey, TableRow};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::error::{Error, Result};

/// Prefix of the rows of jobs, in all parts.
pub const JOB_PREFIX: &str = "jobs@*/";

/// Table of the rows of jobs.
const JOB_TABLE: &str = "jobs";

/// Parts over which the rows of jobs are spread.
const JOB_PARTS: u64 = 64;

/// Prefix of the rows of progress.
pub const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the rows of waves.
pub const UPKEEP_PREFIX: &str = "upkeep/";

/// Row of the owner.
pub const OWNER_KEY: &str = "owner/jobs";

/// Row of the counts of queues.
pub const BOARD_KEY: &str = "board/pending";

/// Row of what workers offer at most.
pub const OFFER_KEY: &str = "board/offer";

/// End of the key of a cancel mark.
const CANCEL_SUFFIX: &str = ".cancel";

/// Who owns the scheduling.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerRecord {
    /// Name of the VM.
    pub node: String,
    /// Life of the process, a random number.
    pub life: u64,
    /// Fencing token; grows by one with each owner.
    pub fence: u64,
    /// Number of the change within the ownership.
    pub change: u64,
    /// Whether the owner has given the scheduling up.
    pub released: bool,
    /// Whether the VM is small, so that a larger one takes over at once.
    #[serde(default)]
    pub is_small: bool,
}

/// Mark that a job was cancelled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CancelRecord {
    /// When it was cancelled, by the clock of the cancelling VM.
    pub cancelled: WallTime,
}

/// Counts of queues, as callers may ask for them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PendingBoard {
    /// Accepted jobs of each queue of which no task has started.
    pub pending: BTreeMap<QueueName, u64>,
}

/// Returns the key of a job's row.
pub fn job_key(id: &JobId) -> RowKey {
    let part = xxh3::xxh3_64(id.as_str().as_bytes()) % JOB_PARTS;
    RowKey::new(format!("{JOB_TABLE}@{part}/{id}"))
}

/// Returns the key of a job's cancel mark.
pub fn cancel_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{}{CANCEL_SUFFIX}", job_key(id).as_str()))
}

/// Returns the key of a job's progress.
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{PROGRESS_PREFIX}{id}"))
}

/// Returns the key of a wave's row.
pub fn upkeep_key(wave: u64) -> RowKey {
    RowKey::new(format!("{UPKEEP_PREFIX}{wave}"))
}

/// Row in the form in which it is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedRow {
    /// Key of the row.
    pub key: RowKey,
    /// Its content.
    pub value: String,
}

/// What a row under [`JOB_PREFIX`] is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobKey {
    /// Row of the job itself.
    Job(JobId),
    /// Mark that it was cancelled.
    Cancel(JobId),
}

/// Reads the key of a row under [`JOB_PREFIX`].
pub fn read_job_key(key: &RowKey) -> Option<JobKey> {
    let place = key.location();
    if place.table != JOB_TABLE {
        return None;
    }
    Some(match place.name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => JobKey::Cancel(JobId::new(id)),
        None => JobKey::Job(JobId::new(place.name)),
    })
}

/// Reads the content of a row.
///
/// # Errors
///
/// Fails if the row was deleted or has other content.
pub fn read<T: DeserializeOwned>(row: &TableRow) -> Result<T> {
    let text = row
        .value
        .as_deref()
        .ok_or_else(|| Error::row(&row.key, "deleted"))?;
    serde_json::from_str(text).map_err(|error| Error::row(&row.key, error))
}

/// Writes the content of a row.
///
/// # Errors
///
/// Fails if the content cannot be written as JSON.
pub fn write<T: Serialize>(key: &RowKey, content: &T) -> Result<String> {
    serde_json::to_string(content).map_err(|error| Error::row(key, error))
}
