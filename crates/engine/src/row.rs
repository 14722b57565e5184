//! Rows that the engine keeps in the table.
//!
//! | row | written by | content |
//! | --- | --- | --- |
//! | `jobs/ID` | the accepting process, once | [`JobRecord`](redwing_jobs::JobRecord) |
//! | `jobs/ID.cancel` | the cancelling process, once | [`CancelRecord`] |
//! | `progress/ID` | the owner | [`ProgressRecord`](redwing_jobs::ProgressRecord) |
//! | `owner/jobs` | whoever owns the scheduling | [`OwnerRecord`] |
//! | `board/pending` | the owner | [`PendingBoard`] |
//! | `upkeep/N` | the owner | [`UpkeepRecord`](redwing_jobs::upkeep::UpkeepRecord) |

use std::collections::BTreeMap;

use redwing_jobs::JobId;
use redwing_jobs::name::QueueName;
use redwing_jobs::time::WallTime;
use redwing_provider::{RowKey, TableRow};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Prefix of the rows of jobs.
pub const JOB_PREFIX: &str = "jobs/";

/// Prefix of the rows of progress.
pub const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the rows of waves.
pub const UPKEEP_PREFIX: &str = "upkeep/";

/// Row of the owner.
pub const OWNER_KEY: &str = "owner/jobs";

/// Row of the counts of queues.
pub const BOARD_KEY: &str = "board/pending";

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
    RowKey::new(format!("{JOB_PREFIX}{id}"))
}

/// Returns the key of a job's cancel mark.
pub fn cancel_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{JOB_PREFIX}{id}{CANCEL_SUFFIX}"))
}

/// Returns the key of a job's progress.
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{PROGRESS_PREFIX}{id}"))
}

/// Returns the key of a wave's row.
pub fn upkeep_key(wave: u64) -> RowKey {
    RowKey::new(format!("{UPKEEP_PREFIX}{wave}"))
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
    let rest = key.as_str().strip_prefix(JOB_PREFIX)?;
    Some(match rest.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => JobKey::Cancel(JobId::new(id)),
        None => JobKey::Job(JobId::new(rest)),
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
