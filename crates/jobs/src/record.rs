//! Table rows that store jobs and their progress.
//!
//! `jobs@PART/ID` is written once by the process that accepts the job;
//! `jobs@PART/ID.cancel` once by the process that cancels it; `progress/ID`
//! only by the owner of the scheduling.

use serde::{Deserialize, Serialize};

use crate::evidence::CrashEvidence;
use crate::name::{CustomerName, PoolName, QueueName, TaskId, WorkerId};
use crate::spec::JobSpec;
use crate::time::WallTime;
use crate::wait::ElapsedWait;

/// Job that was accepted from a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobRecord {
    /// Queue of the job.
    pub queue: QueueName,
    /// Pool of the queue when the job was accepted.
    pub pool: PoolName,
    /// Customer whose key came with it; none on a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
    /// When it was accepted, by the clock of the accepting VM.
    pub accepted: WallTime,
    /// Number that the accepting process chose for itself; 0 if it has none.
    #[serde(default, skip_serializing_if = "is_default")]
    pub accepted_by: u64,
    /// Specification from the caller.
    pub spec: JobSpec,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Why a job has failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureReason {
    /// A task failed as often as its queue allows.
    FailedRuns,
    /// Workers crashed under a task, the last one while it ran nothing else.
    CrashedWorkers,
    /// A worker rejected a task as invalid; in rows of earlier versions only.
    InvalidTask,
}

impl FailureReason {
    /// Returns the name used in logs, metrics and rows.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FailedRuns => "failed-runs",
            Self::CrashedWorkers => "crashed-workers",
            Self::InvalidTask => "invalid-task",
        }
    }
}

/// Why a job has failed, and the task that has made it fail.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobFailure {
    /// The reason.
    pub reason: FailureReason,
    /// The task.
    pub task: TaskId,
}

/// Stored state of one task. The serialized names are short because the cost of
/// a row depends on its size.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskRecord {
    /// Number of the latest run; 0 if there was none.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    pub run: u32,
    /// Numbers of the runs that failed. A worker may list the same ended run to
    /// several owners, so a count would include some failures twice.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<u32>,
    /// Evidence that it crashes its workers.
    #[serde(rename = "y", skip_serializing_if = "is_default")]
    pub crashes: CrashEvidence,
    /// As an earlier release has stored it: twice the number of crashes, plus one if all of
    /// them came at the start.
    #[serde(rename = "x", skip_serializing)]
    pub earlier_crashes: u32,
    /// Whether the task is done.
    #[serde(rename = "d", skip_serializing_if = "is_default")]
    pub done: bool,
    /// Worker on which the latest run may be running.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// Incarnation of that worker, in milliseconds since the Unix epoch.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub incarnation: u64,
    /// Latest checkpoint that the task saved.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Progress of the latest run, if it has not changed for a while; from 0 to 100.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pub percent: u32,
    /// For how long that progress has not changed; none if it changed lately.
    #[serde(rename = "s", skip_serializing_if = "Option::is_none")]
    pub unchanged: Option<ElapsedWait>,
}

impl TaskRecord {
    /// Returns the evidence that the task crashes its workers.
    pub fn crash_evidence(&self) -> CrashEvidence {
        if self.crashes == CrashEvidence::default() {
            return CrashEvidence::unmeasured(self.earlier_crashes / 2);
        }
        self.crashes
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Stored state of one occurrence that has begun.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OccurrenceRecord {
    /// Number of the occurrence.
    pub number: u32,
    /// Tasks of each step.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// Stored progress of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgressRecord {
    /// State as callers see it.
    pub state: JobState,
    /// Why it has failed; none in any other state, and in rows of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<JobFailure>,
    /// Whether a worker is known to have accepted a run; not kept in a final state.
    #[serde(default, rename = "started", skip_serializing_if = "is_default")]
    pub has_started: bool,
    /// Occurrences below this number have begun or are finished.
    #[serde(default, skip_serializing_if = "is_default")]
    pub begun: u32,
    /// Occurrences that have begun and are not finished.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub occurrences: Vec<OccurrenceRecord>,
}

impl ProgressRecord {
    /// Returns whether a task has been run by what is stored of it, whether or not a
    /// worker is recorded to have accepted one: rows of earlier releases do not tell.
    pub fn has_run(&self) -> bool {
        let steps = self.occurrences.iter().flat_map(|entry| &entry.steps);
        let mut tasks = steps.flatten();
        tasks.any(|task| {
            task.done
                || !task.failed.is_empty()
                || task.crash_evidence().count() > 0
                || task.checkpoint.is_some()
        })
    }
}
