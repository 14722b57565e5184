//! Rows that the engine keeps in the table.
//!
//! | row | written by | content |
//! | --- | --- | --- |
//! | `jobs@PART/ID` | the accepting process, once | [`JobRecord`](redwing_jobs::JobRecord) |
//! | `jobs@PART/ID.cancel` | the cancelling process, once | [`CancelRecord`] |
//! | `jobs@PART/ID.withdrawn.HASH` | the cancelling process, once | [`CancelRecord`] |
//! | `progress/ID` | the owner | [`ProgressRecord`](redwing_jobs::ProgressRecord) |
//! | `owner/jobs` | the owner, and the process that claims the ownership | [`OwnerRecord`] |
//! | `owner/leases` | the owner | [`LeaseRecord`] |
//! | `owner/waits` | the owner | [`WaitRecord`] |
//! | `board/pending` | the owner | [`PendingCounts`] |
//! | `board/backlog` | the owner | [`BacklogSummary`](redwing_jobs::admission::BacklogSummary) |
//! | `board/offer` | the owner | [`FleetCapacity`](redwing_jobs::feasibility::FleetCapacity) |
//! | `upkeep/N` | the owner | [`MaintenanceRecord`](redwing_jobs::maintenance::MaintenanceRecord) |
//!
//! Jobs are distributed over several parts by their ids, so that a slow table
//! accepts as many jobs at a time as there are parts. All rows of the owner are
//! in one part, because each change of them is one transaction with the owner
//! row.

use std::collections::BTreeMap;
use std::time;

use redwing_jobs::JobId;
use redwing_jobs::capacity::MoveWaits;
use redwing_jobs::name::{CustomerName, QueueName, WorkerId};
use redwing_jobs::scheduler::{FleetHealth, StoredAdvice};
use redwing_jobs::time::WallTime;
use redwing_jobs::wait::ElapsedWait;
use redwing_provider::{RowKey, TableRow};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::error::{Error, Result};

/// Prefix of the rows of jobs, in all parts.
pub const JOB_PREFIX: &str = "jobs@*/";

/// Table of the rows of jobs.
const JOB_TABLE: &str = "jobs";

/// Number of parts over which the rows of jobs are distributed.
const JOB_PARTS: u64 = 64;

/// Prefix of the rows of progress.
pub const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the maintenance records of waves.
pub const MAINTENANCE_PREFIX: &str = "upkeep/";

/// Prefix of the row of the owner, and of those that it leaves to its successor.
pub const OWNER_PREFIX: &str = "owner/";

/// Row of the owner.
pub const OWNER_KEY: &str = "owner/jobs";

/// Row of the ends of leases.
pub const LEASE_KEY: &str = "owner/leases";

/// Row of the waits.
pub const WAIT_KEY: &str = "owner/waits";

/// Row of the pending counts of queues.
pub const PENDING_KEY: &str = "board/pending";

/// Row of the fleet capacity.
pub const FLEET_CAPACITY_KEY: &str = "board/offer";

/// Row of the backlogs of pools.
pub const BACKLOG_KEY: &str = "board/backlog";

/// Suffix of the key of a cancel mark.
const CANCEL_SUFFIX: &str = ".cancel";

/// Part of the key of a withdrawal between the id and the hash of who it is from.
const WITHDRAWAL_INFIX: &str = ".withdrawn.";

/// Owner of the scheduling.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerRecord {
    /// Name of the VM.
    pub node: String,
    /// Incarnation of the process, a random number.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing token; incremented by one with each owner.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Number of the change within this ownership.
    pub change: u64,
    /// Whether the owner has released the ownership.
    pub released: bool,
    /// Whether the VM is small, so that a larger VM claims the ownership at
    /// once.
    #[serde(default)]
    pub is_small: bool,
    /// Time until all leases that earlier owners granted to workers have expired, in
    /// milliseconds after the change; absent in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inherited_ms: Option<u64>,
    /// Time until the leases have expired that last longer than those of orders on time.
    #[serde(flatten)]
    pub late_leases: LateLeaseTimes,
    /// Time until those have expired that an incarnation may hold that the owner did not know
    /// of; they count for workers that have not responded to the next owner.
    #[serde(default, skip_serializing_if = "LateLeaseTimes::is_empty")]
    pub unconfirmed: LateLeaseTimes,
    /// Rows of waits that count although an earlier owner wrote them, until this owner
    /// has read all rows; none from then on, and in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub carried: Option<CarriedRows>,
    /// What the change confirms of the pending counts; none before the owner has counted,
    /// and in rows of earlier releases.
    #[serde(rename = "counts", default, skip_serializing_if = "Option::is_none")]
    pub confirmed_counts: Option<CountConfirmation>,
}

/// Time until the leases have expired that last longer than those of orders on time, in
/// milliseconds after the change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct LateLeaseTimes {
    /// Time that counts for all workers; 0 if there is none.
    #[serde(rename = "late-all-ms", skip_serializing_if = "is_zero")]
    pub all_ms: u64,
    /// Times for single workers.
    #[serde(rename = "late-ms", skip_serializing_if = "BTreeMap::is_empty")]
    pub worker_ms: BTreeMap<WorkerId, u64>,
}

impl LateLeaseTimes {
    /// Returns whether there are no such leases.
    pub fn is_empty(&self) -> bool {
        self.all_ms == 0 && self.worker_ms.is_empty()
    }
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Rows of waits of an earlier owner that count on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CarriedRows {
    /// Fencing token of the latest owner that had read all rows.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// For how long, at least, its rows were stored when the change was sent.
    pub age: ElapsedWait,
}

/// Confirmation that pending counts are still those of the owner.
///
/// The counts are stored only when they change, but the row of the owner with each
/// change. An owner that is paused, or cannot store, confirms nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CountConfirmation {
    /// Number of the change that wrote the counts.
    pub change: u64,
    /// When the counts were right, in milliseconds on the clock of the table: they
    /// include the jobs that it had accepted by then.
    #[serde(rename = "as-of")]
    pub table_ms: u64,
}

/// Ends of the leases of workers that the owner cannot reach.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct LeaseRecord {
    /// Fencing token of the owner that wrote the row; only its successor may use it, and
    /// later owners while no owner has read all rows since.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// Time until all leases of each worker have expired, in milliseconds after the
    /// change that wrote the row.
    #[serde(rename = "ends-in")]
    pub remaining_ms: BTreeMap<WorkerId, u64>,
}

/// Waits that the next owner counts on, as they are with the change that writes them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct WaitRecord {
    /// Fencing token of the owner that wrote the row; only its successor may use it, and
    /// later owners while no owner has read all rows since.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// What moves of machines wait for.
    #[serde(default)]
    pub moves: MoveWaits,
    /// Workers that get no new tasks or have failed runs.
    #[serde(default, skip_serializing_if = "FleetHealth::is_empty")]
    pub health: FleetHealth,
    /// Permits and denials of the advisor.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub advice: Vec<StoredAdvice>,
}

impl WaitRecord {
    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.moves.is_empty() && self.health.is_empty() && self.advice.is_empty()
    }
}

/// Mark that a job was cancelled, or withdrawn before it was stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CancelRecord {
    /// When it was cancelled, by the clock of the cancelling VM.
    pub cancelled: WallTime,
}

/// Pending counts of queues, for callers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PendingCounts {
    /// Fencing token of the owner that counted; absent in rows of earlier releases.
    #[serde(rename = "fence", default, skip_serializing_if = "Option::is_none")]
    pub fencing_token: Option<u64>,
    /// Number of the change that wrote the row; absent in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<u64>,
    /// Number of accepted jobs without a started task, by queue.
    pub pending: BTreeMap<QueueName, u64>,
}

impl PendingCounts {
    /// Returns whether the counts are those of the present owner, given its record, and
    /// were right at most `max_age` before the record was read, at `table_ms` on the
    /// clock of the table. An owner that is gone or stores nothing has not counted the
    /// jobs that were accepted since.
    pub fn is_current(
        &self,
        owner: &OwnerRecord,
        table_ms: Option<u64>,
        max_age: time::Duration,
    ) -> bool {
        let is_own = self
            .fencing_token
            .is_none_or(|token| token == owner.fencing_token);
        is_own && !owner.released && self.is_confirmed(owner, table_ms, max_age)
    }

    fn is_confirmed(
        &self,
        owner: &OwnerRecord,
        table_ms: Option<u64>,
        max_age: time::Duration,
    ) -> bool {
        let Some(change) = self.change else {
            // An owner of an earlier release confirms no counts.
            return true;
        };
        let confirmed = owner.confirmed_counts;
        let confirmed = confirmed.filter(|confirmed| confirmed.change == change);
        let age_ms = confirmed
            .zip(table_ms)
            .and_then(|(confirmed, now_ms)| now_ms.checked_sub(confirmed.table_ms));
        age_ms.is_some_and(|age_ms| u128::from(age_ms) <= max_age.as_millis())
    }
}

/// Returns the key of a job row.
pub fn job_key(id: &JobId) -> RowKey {
    let part = xxh3::xxh3_64(id.as_str().as_bytes()) % JOB_PARTS;
    RowKey::new(format!("{JOB_TABLE}@{part}/{id}"))
}

/// Returns the key of a job's cancel mark.
pub fn cancel_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{}{CANCEL_SUFFIX}", job_key(id).as_str()))
}

/// Returns the key of the withdrawal of a job that is not stored: one of that customer on that
/// queue is not stored while the row is there. A job of another one with the same id is.
pub fn withdrawal_key(id: &JobId, queue: &QueueName, customer: Option<&CustomerName>) -> RowKey {
    let customer = customer.map(CustomerName::as_str);
    let source = format!("{queue}\0{}", customer.unwrap_or_default());
    let hash = xxh3::xxh3_64(source.as_bytes());
    RowKey::new(format!(
        "{}{WITHDRAWAL_INFIX}{hash:016x}",
        job_key(id).as_str()
    ))
}

/// Returns the key of a job's progress row.
pub fn progress_key(id: &JobId) -> RowKey {
    RowKey::new(format!("{PROGRESS_PREFIX}{id}"))
}

/// Returns the key of the maintenance record of a wave.
pub fn maintenance_key(wave: u64) -> RowKey {
    RowKey::new(format!("{MAINTENANCE_PREFIX}{wave}"))
}

/// Row with its content as stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedRow {
    /// Key of the row.
    pub key: RowKey,
    /// Content of the row.
    pub value: String,
}

/// Parsed key of a row under [`JOB_PREFIX`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobKey {
    /// Row of the job itself.
    Job(JobId),
    /// Cancel mark of the job.
    Cancel(JobId),
    /// Withdrawal of a job with this id.
    Withdrawal(JobId),
}

/// Parses the key of a row under [`JOB_PREFIX`].
pub fn read_job_key(key: &RowKey) -> Option<JobKey> {
    let location = key.location();
    if location.table != JOB_TABLE {
        return None;
    }
    if let Some((id, _)) = location.name.split_once(WITHDRAWAL_INFIX) {
        return Some(JobKey::Withdrawal(JobId::new(id)));
    }
    Some(match location.name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => JobKey::Cancel(JobId::new(id)),
        None => JobKey::Job(JobId::new(location.name)),
    })
}

/// Deserializes the content of a row.
///
/// # Errors
///
/// Fails if the row is deleted or its content has another format.
pub fn read<T: DeserializeOwned>(row: &TableRow) -> Result<T> {
    let text = row
        .value
        .as_deref()
        .ok_or_else(|| Error::row(&row.key, "deleted"))?;
    serde_json::from_str(text).map_err(|error| Error::row(&row.key, error))
}

/// Serializes the content of a row.
///
/// # Errors
///
/// Fails if the content cannot be represented as JSON.
pub fn write<T: Serialize>(key: &RowKey, content: &T) -> Result<String> {
    serde_json::to_string(content).map_err(|error| Error::row(key, error))
}
