//! Formats of a deployment: what others write into the table, and what
//! callers send.

use std::time;

use redwing_jobs::JobSpec;
use redwing_jobs::JobState;
use redwing_jobs::maintenance::{WaveRequest, WaveState};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::WorkerId;
use redwing_jobs::worker::WorkerView;
use redwing_provider::{RowKey, TableRow};

use crate::error::Result;
use crate::row::EncodedRow;

/// What an operator wrote into the table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// A version of the manifest.
    Manifest(Box<JobManifest>),
    /// A wave of upkeep.
    Wave(WaveRequest),
    /// A row that is not for this product.
    Other,
}

/// Head of a caller's request, as far as the engine needs it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHead {
    /// Host that the caller names.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Key that came with the request.
    pub key: Option<String>,
    /// How long the caller waits for an answer.
    pub patience: Option<time::Duration>,
}

/// Answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job will not run on.
    Cancelled,
    /// Number of accepted jobs of which no task has started.
    Pending(u64),
    /// There is no such job.
    NoSuchJob,
    /// No queue is reached at this host and path.
    NoSuchQueue,
    /// The key is missing or not good for the queue.
    KeyRefused,
    /// The path or the method means nothing here.
    NotAllowed,
    /// The request cannot be read, or asks for what cannot be served.
    Malformed(String),
    /// Not accepted, because something that is needed does not answer.
    Unavailable {
        /// When the caller may try again.
        retry_after: time::Duration,
    },
    /// The job may or may not have been accepted; the same id may be sent again.
    OutcomeUnknown,
}

impl CallerAnswer {
    /// Returns the name that metrics use.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "state",
            Self::Cancelled => "cancelled",
            Self::Pending(_) => "pending",
            Self::NoSuchJob => "no-such-job",
            Self::NoSuchQueue => "no-such-queue",
            Self::KeyRefused => "key-refused",
            Self::NotAllowed => "not-allowed",
            Self::Malformed(_) => "malformed",
            Self::Unavailable { .. } => "unavailable",
            Self::OutcomeUnknown => "unknown",
        }
    }
}

/// Answer in the form in which it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Formats of a deployment.
pub trait DeploymentCodec: Send + Sync {
    /// Prefix of the rows that operators write.
    fn operator_prefix(&self) -> &str;

    /// Reads a row that an operator wrote.
    ///
    /// # Errors
    ///
    /// Fails if the row cannot be read.
    fn operator_row(&self, row: &TableRow) -> Result<OperatorRow>;

    /// Prefix of the rows in which workers register.
    fn worker_prefix(&self) -> &str;

    /// Returns the worker that registers in a row.
    fn worker_id(&self, key: &RowKey) -> WorkerId;

    /// Reads a row in which a worker registers.
    ///
    /// # Errors
    ///
    /// Fails if the row names no worker that can be used.
    fn worker(&self, row: &TableRow) -> Result<WorkerView>;

    /// Returns the row that tells operators of a wave.
    fn wave_status(&self, wave: u64, state: WaveState) -> EncodedRow;

    /// Name of the header that carries the key.
    fn key_header(&self) -> &str;

    /// Name of the header that tells how many milliseconds the caller waits.
    fn patience_header(&self) -> &str;

    /// Path at which the balancer asks whether the process takes callers.
    fn readiness_path(&self) -> &str;

    /// Reads the job in the body of a request.
    ///
    /// # Errors
    ///
    /// Fails with the field that cannot be read.
    fn job(&self, body: &[u8]) -> redwing_jobs::Result<JobSpec>;

    /// Returns whether `text` may be the id of a job.
    fn is_job_id(&self, text: &str) -> bool;

    /// Writes an answer.
    fn answer(&self, answer: &CallerAnswer) -> EncodedAnswer;
}
