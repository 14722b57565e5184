//! Formats of a deployment: rows that operators, workers and the platform
//! exchange through the table, and requests and responses of callers.

use std::time;

use redwing_jobs::JobSpec;
use redwing_jobs::JobState;
use redwing_jobs::maintenance::{WaveRequest, WaveState};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::{DataCentre, WorkerId};
use redwing_jobs::record::JobFailure;
use redwing_jobs::worker::WorkerView;
use redwing_provider::{RowKey, TableRow};

use crate::error::Result;
use crate::row::EncodedRow;

/// Row that an operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// Version of the manifest.
    Manifest(Box<JobManifest>),
    /// Wave of maintenance.
    Wave(WaveRequest),
    /// Row of another product, to be ignored.
    Other,
}

/// Parts of the head of a caller's request that the engine uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallerHead {
    /// Host of the request.
    pub host: String,
    /// Path, without the query.
    pub path: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// Time for which the caller waits for a response.
    pub timeout: Option<time::Duration>,
}

/// Response to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// State of the job.
    State(JobState),
    /// The job has failed, for the given reason.
    Failed(JobFailure),
    /// The job is cancelled.
    Cancelled,
    /// Number of accepted jobs of which no task has started.
    Pending(u64),
    /// There is no such job.
    NoSuchJob,
    /// No queue has this host and path.
    NoSuchQueue,
    /// The key is missing or not valid for the queue.
    KeyRefused,
    /// The path does not support the method.
    NotAllowed,
    /// The request is malformed or asks for a job that no worker can run; with
    /// the error.
    Malformed(String),
    /// The request was not accepted, because a dependency is unavailable.
    Unavailable {
        /// Time after which the caller may retry.
        retry_after: time::Duration,
    },
    /// The job was not accepted, because it could not be done in time.
    Overloaded {
        /// Time after which the caller may retry.
        retry_after: time::Duration,
    },
    /// The request may or may not have taken effect; the caller may send the
    /// same id again.
    OutcomeUnknown,
}

impl CallerResponse {
    /// Returns the name that metrics use.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) | Self::Failed(_) => "state",
            Self::Cancelled => "cancelled",
            Self::Pending(_) => "pending",
            Self::NoSuchJob => "no-such-job",
            Self::NoSuchQueue => "no-such-queue",
            Self::KeyRefused => "key-refused",
            Self::NotAllowed => "not-allowed",
            Self::Malformed(_) => "malformed",
            Self::Unavailable { .. } => "unavailable",
            Self::Overloaded { .. } => "overloaded",
            Self::OutcomeUnknown => "unknown",
        }
    }
}

/// Response in the format of the deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Formats of a deployment.
pub trait DeploymentCodec: Send + Sync {
    /// Prefix of the rows that operators write.
    fn operator_prefix(&self) -> &str;

    /// Decodes a row that an operator wrote.
    ///
    /// # Errors
    ///
    /// Fails if the row cannot be read.
    fn operator_row(&self, row: &TableRow) -> Result<OperatorRow>;

    /// Returns the data centre that the row with this key evacuates while it exists,
    /// whatever its value is; none for other rows.
    fn evacuated_data_centre(&self, key: &RowKey) -> Option<DataCentre>;

    /// Prefix of the rows in which workers register.
    fn worker_prefix(&self) -> &str;

    /// Returns the id of the worker that registers in a row.
    fn worker_id(&self, key: &RowKey) -> WorkerId;

    /// Decodes a row in which a worker registers.
    ///
    /// # Errors
    ///
    /// Fails if the row does not describe a usable worker.
    fn worker(&self, row: &TableRow) -> Result<WorkerView>;

    /// Returns the row that shows the state of a wave to operators.
    fn wave_status(&self, wave: u64, state: WaveState) -> EncodedRow;

    /// Prefix of the rows that show the state of evacuations to operators, by the name of
    /// the data centre; none if the deployment has no such rows.
    fn evacuation_status_prefix(&self) -> Option<&str>;

    /// Name of the header with the key.
    fn key_header(&self) -> &str;

    /// Name of the header with the caller's timeout, in milliseconds.
    fn timeout_header(&self) -> &str;

    /// Path at which the balancer checks the readiness of the process.
    fn readiness_path(&self) -> &str;

    /// Decodes the job in the body of a request.
    ///
    /// # Errors
    ///
    /// Fails with the field that cannot be decoded.
    fn job(&self, body: &[u8]) -> redwing_jobs::Result<JobSpec>;

    /// Returns whether `text` is well-formed as the id of a job.
    fn is_job_id(&self, text: &str) -> bool;

    /// Encodes a response.
    fn encode_response(&self, response: &CallerResponse) -> EncodedResponse;
}
