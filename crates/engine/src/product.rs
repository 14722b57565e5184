//! The product's own formats: rows of the table and the HTTP interface for
//! callers, for deployments whose platform defines none.
//!
//! `docs/INTERFACE.md` describes the interface. Rows hold the JSON form of
//! the domain types: `manifest/head`, `manifest/wave/N` and `workers/ID`. The row
//! `manifest/evacuation/NAME` evacuates a data centre while it exists.

use redwing_jobs::maintenance::{WaveRequest, WaveState};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::name::{DataCentre, WorkerId};
use redwing_jobs::record::JobFailure;
use redwing_jobs::worker::WorkerView;
use redwing_jobs::{JobSpec, JobState};
use redwing_provider::{RowKey, TableRow};
use serde::Serialize;

use crate::codec::{CallerResponse, DeploymentCodec, EncodedResponse, OperatorRow};
use crate::error::{Error, Result};
use crate::row::{self, EncodedRow};

/// Prefix of the rows that operators write.
const OPERATOR_PREFIX: &str = "manifest/";

/// Prefix of the rows of waves.
const WAVE_PREFIX: &str = "manifest/wave/";

/// Prefix of the rows of evacuated data centres.
const EVACUATION_PREFIX: &str = "manifest/evacuation/";

/// Row of the newest manifest.
pub const MANIFEST_KEY: &str = "manifest/head";

/// Prefix of the rows in which workers register.
const WORKER_PREFIX: &str = "workers/";

/// Prefix of the rows with the states of waves.
const STATUS_PREFIX: &str = "wave-status/";

/// Prefix of the rows with the states of evacuations.
pub const EVACUATION_STATUS_PREFIX: &str = "evacuation-status/";

/// Maximum length of a job id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Returns the key of the row in which a worker registers.
pub fn worker_key(id: &WorkerId) -> RowKey {
    RowKey::new(format!("{WORKER_PREFIX}{id}"))
}

/// Returns the key of the row that evacuates a data centre while it exists.
pub fn evacuation_key(data_centre: &DataCentre) -> RowKey {
    RowKey::new(format!("{EVACUATION_PREFIX}{data_centre}"))
}

/// Body of a response with the state of a job.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct StateBody<'a> {
    state: JobState,
    #[serde(skip_serializing_if = "Option::is_none")]
    failure: Option<&'a JobFailure>,
}

impl StateBody<'_> {
    fn new(state: JobState) -> Self {
        Self {
            state,
            failure: None,
        }
    }
}

/// Body of a response with the pending count of a queue.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct PendingBody {
    pending: u64,
}

/// Body of an error response: the problem, and whether the job may nevertheless
/// run.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct ProblemBody<'a> {
    problem: &'a str,
    outcome: &'a str,
}

/// Codec of the product's own formats.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProductCodec;

impl DeploymentCodec for ProductCodec {
    fn operator_prefix(&self) -> &str {
        OPERATOR_PREFIX
    }

    fn operator_row(&self, entry: &TableRow) -> Result<OperatorRow> {
        let key = entry.key.as_str();
        if key == MANIFEST_KEY {
            let manifest: JobManifest = row::read(entry)?;
            let checked = manifest.check();
            checked.map_err(|error| Error::row(&entry.key, error))?;
            return Ok(OperatorRow::Manifest(Box::new(manifest)));
        }
        if key.starts_with(WAVE_PREFIX) {
            let wave: WaveRequest = row::read(entry)?;
            return Ok(OperatorRow::Wave(wave));
        }
        Ok(OperatorRow::Other)
    }

    fn evacuated_data_centre(&self, key: &RowKey) -> Option<DataCentre> {
        let name = key.as_str().strip_prefix(EVACUATION_PREFIX)?;
        (!name.is_empty()).then(|| DataCentre::new(name))
    }

    fn worker_prefix(&self) -> &str {
        WORKER_PREFIX
    }

    fn worker_id(&self, key: &RowKey) -> WorkerId {
        let text = key.as_str();
        WorkerId::new(text.strip_prefix(WORKER_PREFIX).unwrap_or(text))
    }

    fn worker(&self, entry: &TableRow) -> Result<WorkerView> {
        row::read(entry)
    }

    fn wave_status(&self, wave: u64, state: WaveState) -> EncodedRow {
        let key = RowKey::new(format!("{STATUS_PREFIX}{wave}"));
        // Serializing a unit variant cannot fail.
        let value = serde_json::to_string(&state).unwrap_or_default();
        EncodedRow { key, value }
    }

    fn evacuation_status_prefix(&self) -> Option<&str> {
        Some(EVACUATION_STATUS_PREFIX)
    }

    fn key_header(&self) -> &str {
        "authorization"
    }

    fn timeout_header(&self) -> &str {
        "redwing-timeout-ms"
    }

    fn readiness_path(&self) -> &str {
        "/readyz"
    }

    fn job(&self, body: &[u8]) -> redwing_jobs::Result<JobSpec> {
        let job = serde_json::from_slice(body);
        job.map_err(|error| redwing_jobs::Error::field("body", error.to_string()))
    }

    fn is_job_id(&self, text: &str) -> bool {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
        !text.is_empty() && text.len() <= MAX_ID_BYTES && text.bytes().all(allowed)
    }

    fn encode_response(&self, response: &CallerResponse) -> EncodedResponse {
        match response {
            CallerResponse::Accepted => encode(201, &StateBody::new(JobState::Queued)),
            CallerResponse::State(state) => encode(200, &StateBody::new(*state)),
            CallerResponse::Failed(failure) => {
                let body = StateBody {
                    state: JobState::Failed,
                    failure: Some(failure),
                };
                encode(200, &body)
            }
            CallerResponse::Cancelled => encode(200, &StateBody::new(JobState::Cancelled)),
            CallerResponse::Pending(pending) => encode(200, &PendingBody { pending: *pending }),
            CallerResponse::NoSuchJob => not_run(404, "there is no such job"),
            CallerResponse::NoSuchQueue => not_run(404, "no queue has this host and path"),
            CallerResponse::KeyRefused => {
                not_run(401, "the key is missing or not valid for this queue")
            }
            CallerResponse::NotAllowed => not_run(405, "the path does not support this method"),
            CallerResponse::Malformed(message) => not_run(400, message),
            CallerResponse::Unavailable { .. } => not_run(
                503,
                "not accepted: the table or the manifest is unavailable; retry later",
            ),
            CallerResponse::Overloaded { .. } => not_run(
                503,
                "not accepted: the work of this customer that waits leaves no time; retry later",
            ),
            CallerResponse::OutcomeUnknown => {
                let body = ProblemBody {
                    problem: "outcome unknown: the table did not respond; retry with the same id",
                    outcome: "unknown",
                };
                encode(504, &body)
            }
        }
    }
}

fn not_run(status: u16, problem: &str) -> EncodedResponse {
    let body = ProblemBody {
        problem,
        outcome: "not-run",
    };
    encode(status, &body)
}

fn encode(status: u16, body: &impl Serialize) -> EncodedResponse {
    // Serializing structs of strings, integers and unit variants cannot fail.
    let body = serde_json::to_string(body).unwrap_or_default();
    EncodedResponse { status, body }
}
