//! Handles the requests of callers.

use std::cell;
use std::fmt;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::admission::{
    AdmissionDecision, AdmissionSettings, BacklogSummary, JobAdmission, JobArrival,
};
use redwing_jobs::feasibility::FleetCapacity;
use redwing_jobs::manifest::{JobManifest, QueuePolicy};
use redwing_jobs::name::CustomerName;
use redwing_jobs::{JobId, JobRecord, JobState, ProgressRecord};
use redwing_provider::{CallCause, RowKey, TableClient, TableRow, TableTransaction};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::time as timer;

use crate::clock;
use crate::codec::{CallerHead, CallerResponse, DeploymentCodec};
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::row::{self, CancelRecord, OwnerRecord, PendingCounts};

use super::board::BoardReader;
use super::body::BodySettings;
use super::row_writer::{RowWriter, StoreOutcome, WriteLimits};
use super::withdrawal::{WithdrawalLimiter, WithdrawalLimits};

/// Least time from a publication until entry VMs read it; each adds up to as much at
/// random.
const PUBLICATION_DELAY: time::Duration = time::Duration::from_millis(40);

/// Time between two reads of the pending counts while a new owner has not counted yet.
const COUNT_RETRY: time::Duration = time::Duration::from_millis(100);

/// Maximum age of the pending counts.
const MAX_COUNT_AGE: time::Duration = time::Duration::from_millis(2_000);

/// Longest time for which a request waits for the counts of a new owner; most takeovers
/// are complete by then.
const COUNT_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Settings of the responses to callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Whether jobs are refused that the published backlogs show to be too late.
    pub refuses_early: bool,
    /// Limits on the bodies of requests.
    pub body: BodySettings,
    /// Maximum age of the manifest; requests are refused while it is older.
    pub max_manifest_age: time::Duration,
    /// Time after which a write without a response is sent again.
    pub attempt_timeout: time::Duration,
    /// Time after which a request is refused if the table keeps rejecting its
    /// write; the table may still accept the write from another VM.
    pub refuse_after: time::Duration,
    /// Maximum time until the response.
    pub max_response_time: time::Duration,
    /// Part of a caller's timeout that is reserved for sending the response.
    pub response_margin: time::Duration,
    /// Time after which callers may retry while the table is unavailable.
    pub retry_after: time::Duration,
    /// Time between two reads of the fleet capacity.
    pub fleet_capacity_interval: time::Duration,
    /// Time between two reads of the backlogs of pools; that between two publications.
    pub backlog_interval: time::Duration,
    /// Limits of the admission by these backlogs.
    pub admission: AdmissionSettings,
    /// Maximum time for which a job that is to be refused is looked up in the table.
    pub refusal_timeout: time::Duration,
    /// Maximum age of the fleet capacity; an older one is not used to refuse
    /// jobs.
    pub max_fleet_capacity_age: time::Duration,
    /// Limits of the withdrawals of jobs that are not stored.
    pub withdrawals: WithdrawalLimits,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            refuses_early: false,
            body: BodySettings::default(),
            max_manifest_age: time::Duration::from_millis(1_700),
            attempt_timeout: time::Duration::from_millis(700),
            refuse_after: time::Duration::from_millis(300),
            max_response_time: time::Duration::from_millis(2_500),
            response_margin: time::Duration::from_millis(200),
            retry_after: time::Duration::from_secs(1),
            fleet_capacity_interval: time::Duration::from_secs(10),
            max_fleet_capacity_age: time::Duration::from_secs(60),
            backlog_interval: time::Duration::from_millis(500),
            admission: AdmissionSettings::default(),
            refusal_timeout: time::Duration::from_millis(40),
            withdrawals: WithdrawalLimits::default(),
        }
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerVerb {
    /// Submit a job.
    Submit,
    /// Read the state of a job or the pending count of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

impl CallerVerb {
    /// Returns the name that metrics and logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Read => "read",
            Self::Cancel => "cancel",
        }
    }
}

/// Handles the requests of callers on one thread.
pub struct CallerService {
    settings: CallerSettings,
    client: TableClient,
    writer: RowWriter,
    codec: sync::Arc<dyn DeploymentCodec>,
    operators: watch::Receiver<OperatorView>,
    fleet_capacity: rc::Rc<BoardReader<FleetCapacity>>,
    backlog: rc::Rc<BoardReader<BacklogSummary>>,
    admission: cell::RefCell<JobAdmission>,
    withdrawals: cell::RefCell<WithdrawalLimiter>,
    /// Number by which the owner tells the processes that accept jobs apart.
    process_number: u64,
}

/// Request that passed admission.
struct AdmittedCall {
    queue: QueuePolicy,
    customer: Option<CustomerName>,
    /// Path after the address of the queue.
    rest: String,
    deadline: timer::Instant,
}

impl AdmittedCall {
    /// Returns the key of the withdrawal of a job by this caller.
    fn withdrawal_key(&self, id: &JobId) -> RowKey {
        row::withdrawal_key(id, &self.queue.name, self.customer.as_ref())
    }
}

/// Row that owners write.
struct BoardRow<T> {
    content: T,
    /// When it was read, in milliseconds on the clock of the table.
    table_ms: Option<u64>,
}

impl CallerService {
    /// Creates a service that reads and writes through `client`.
    pub fn new(
        settings: CallerSettings,
        client: TableClient,
        codec: sync::Arc<dyn DeploymentCodec>,
        operators: watch::Receiver<OperatorView>,
    ) -> Self {
        let fleet_capacity = rc::Rc::new(BoardReader::new(
            client.clone(),
            row::FLEET_CAPACITY_KEY,
            settings.fleet_capacity_interval,
            settings.max_fleet_capacity_age,
        ));
        let backlog = rc::Rc::new(BoardReader::new(
            client.clone(),
            row::BACKLOG_KEY,
            settings.backlog_interval,
            settings.admission.max_age,
        ));
        let process_number = u64::from(rand::random::<u32>());
        let admission = JobAdmission::new(settings.admission.clone(), process_number);
        let withdrawal_limits = settings.withdrawals.clone();
        let writer = RowWriter::new(client.clone(), WriteLimits::from(&settings));
        Self {
            settings,
            client,
            writer,
            codec,
            operators,
            fleet_capacity,
            backlog,
            admission: cell::RefCell::new(admission),
            withdrawals: cell::RefCell::new(WithdrawalLimiter::new(withdrawal_limits)),
            process_number,
        }
    }

    /// Handles one request.
    pub async fn respond(
        &self,
        verb: CallerVerb,
        head: &CallerHead,
        body: &[u8],
    ) -> CallerResponse {
        let response = match self.admit(head) {
            Ok(call) => self.dispatch(verb, &call, body).await,
            Err(response) => response,
        };
        log_refusal(verb, head, &response);
        response
    }

    /// Admits a request: checks host, path and key against the manifest, which
    /// must be fresh enough.
    fn admit(&self, head: &CallerHead) -> Result<AdmittedCall, CallerResponse> {
        let view = self.operators.borrow();
        let unavailable = CallerResponse::Unavailable {
            retry_after: self.settings.retry_after,
        };
        let Some(manifest) = &view.manifest else {
            return Err(unavailable);
        };
        if view.age() > self.settings.max_manifest_age {
            return Err(unavailable);
        }
        let host = head.host.split(':').next().unwrap_or_default();
        let Some(resolved) = manifest.resolve(host, &head.path) else {
            return Err(CallerResponse::NoSuchQueue);
        };
        let customer = customer_of_key(manifest, head);
        if customer.is_none() && !resolved.queue.is_public {
            return Err(CallerResponse::KeyRefused);
        }
        let max_timeout = self.settings.max_response_time;
        let timeout = head.timeout.unwrap_or(max_timeout);
        let timeout = timeout
            .saturating_sub(self.settings.response_margin)
            .min(max_timeout);
        Ok(AdmittedCall {
            queue: resolved.queue.clone(),
            customer,
            rest: resolved.rest.to_owned(),
            deadline: timer::Instant::now() + timeout,
        })
    }

    async fn dispatch(&self, verb: CallerVerb, call: &AdmittedCall, body: &[u8]) -> CallerResponse {
        if call.rest.is_empty() {
            return match verb {
                CallerVerb::Read => self.pending_count(call).await,
                CallerVerb::Submit | CallerVerb::Cancel => CallerResponse::NotAllowed,
            };
        }
        if !self.codec.is_job_id(&call.rest) {
            return match verb {
                CallerVerb::Submit => {
                    CallerResponse::Malformed("the job id is malformed".to_owned())
                }
                CallerVerb::Read | CallerVerb::Cancel => CallerResponse::NoSuchJob,
            };
        }
        let id = JobId::new(&call.rest);
        match verb {
            CallerVerb::Submit => self.submit(&id, call, body).await,
            CallerVerb::Read => self.job_state(&id).await,
            CallerVerb::Cancel => self.cancel(&id, call).await,
        }
    }

    async fn submit(&self, id: &JobId, call: &AdmittedCall, body: &[u8]) -> CallerResponse {
        let fleet_capacity = self.fleet_capacity.current().unwrap_or_default();
        let limits = self.client.limits();
        let spec = self.codec.job(body).and_then(|spec| {
            spec.check()?;
            spec.check_progress(limits.row_bytes)?;
            fleet_capacity.check(&spec)?;
            Ok(spec)
        });
        let spec = match spec {
            Ok(spec) => spec,
            Err(error) => return CallerResponse::Malformed(error.to_string()),
        };
        let arrival = JobArrival::new(&call.queue, call.customer.as_ref(), &spec);
        if let Some(response) = self.refuse_overload(id, &arrival).await {
            return response;
        }
        let record = JobRecord {
            queue: call.queue.name.clone(),
            pool: call.queue.pool.clone(),
            customer: call.customer.clone(),
            accepted: clock::wall_now(),
            accepted_by: self.process_number,
            spec,
        };
        let key = row::job_key(id);
        let value = match encode_job(&key, &record, limits.row_bytes) {
            Ok(value) => value,
            Err(message) => {
                self.admission.borrow_mut().withdraw(id, &arrival);
                return CallerResponse::Malformed(message);
            }
        };
        let response = self.store_job(id, call, value).await;
        match &response {
            CallerResponse::Accepted => {
                log_job_event!(info, event::JOB_ACCEPTED, job = id, queue = record.queue);
            }
            CallerResponse::Unavailable { .. } | CallerResponse::NoSuchJob => {
                self.admission.borrow_mut().withdraw(id, &arrival);
            }
            _ => {}
        }
        response
    }

    /// Stores the row of a job, unless its caller has withdrawn it. One that is stored already
    /// counts as accepted.
    async fn store_job(&self, id: &JobId, call: &AdmittedCall, value: String) -> CallerResponse {
        let key = row::job_key(id);
        let withdrawal = call.withdrawal_key(id);
        // Also an attempt that the table carries out late has this condition.
        let transaction = TableTransaction::default()
            .require_absent(key.clone())
            .require_absent(withdrawal.clone())
            .put(key.clone(), value);
        match self.writer.store(&key, transaction, call.deadline).await {
            StoreOutcome::Stored => CallerResponse::Accepted,
            StoreOutcome::Conflict(rows) if has_row(&rows, &key) => CallerResponse::Accepted,
            StoreOutcome::Conflict(rows) if has_row(&rows, &withdrawal) => {
                CallerResponse::NoSuchJob
            }
            StoreOutcome::Conflict(_) => CallerResponse::OutcomeUnknown,
            StoreOutcome::Unstored(response) => response,
        }
    }

    /// Decides on a job by the published backlogs; returns the response if the job must
    /// not be stored.
    ///
    /// A job that is stored already was accepted. If that cannot be told in time, the
    /// job is admitted. A write that is still under way is not seen.
    async fn refuse_overload(&self, id: &JobId, arrival: &JobArrival) -> Option<CallerResponse> {
        if !self.settings.refuses_early {
            return None;
        }
        let summary = self.backlog.current();
        let decision = {
            let mut admission = self.admission.borrow_mut();
            let now = clock::boot_now();
            let made_at = summary
                .as_ref()
                .and_then(|summary| admission.receive(summary, now, clock::wall_now()));
            if let Some(made_at) = made_at {
                let delay = PUBLICATION_DELAY.mul_f64(1.0 + rand::random::<f64>());
                self.backlog
                    .expect_change(made_at + self.settings.backlog_interval + delay);
            }
            admission.decide(id, arrival, now)
        };
        let AdmissionDecision::Refused { retry_after } = decision else {
            return None;
        };
        let read = timer::timeout(self.settings.refusal_timeout, self.job_rows(id));
        match read.await {
            Ok(Ok(rows)) if rows.is_empty() => Some(CallerResponse::Overloaded { retry_after }),
            Ok(Ok(_)) => Some(CallerResponse::Accepted),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    async fn job_state(&self, id: &JobId) -> CallerResponse {
        let key = row::progress_key(id);
        let progress = match self.client.scan(CallCause::Job, key.as_str()).await {
            Ok(view) => view.rows,
            Err(error) => return self.unreadable(&key, &error),
        };
        let entry = progress.iter().find(|entry| entry.key == key);
        if let Some(record) = entry.and_then(|entry| row::read::<ProgressRecord>(entry).ok()) {
            return match record.failure {
                Some(failure) => CallerResponse::Failed(failure),
                None => CallerResponse::State(record.state),
            };
        }
        match self.job_rows(id).await {
            Ok(rows) if rows.is_empty() => CallerResponse::NoSuchJob,
            Ok(rows) if is_cancelled(&rows, id) => CallerResponse::State(JobState::Cancelled),
            Ok(_) => CallerResponse::State(JobState::Queued),
            Err(response) => response,
        }
    }

    /// Reads the job row and its cancel mark.
    async fn job_rows(&self, id: &JobId) -> Result<Vec<TableRow>, CallerResponse> {
        let rows = self.rows_of_id(id).await?.into_iter();
        let keys = [row::job_key(id), row::cancel_key(id)];
        Ok(rows.filter(|entry| keys.contains(&entry.key)).collect())
    }

    /// Reads the job row and all marks of its id.
    async fn rows_of_id(&self, id: &JobId) -> Result<Vec<TableRow>, CallerResponse> {
        let key = row::job_key(id);
        let view = self.client.scan(CallCause::Job, key.as_str()).await;
        let view = view.map_err(|error| self.unreadable(&key, &error))?;
        Ok(view.rows)
    }

    /// Cancels a job that is stored, and withdraws one that is not: a write of its row may be
    /// under way at any process, or be carried out late.
    async fn cancel(&self, id: &JobId, call: &AdmittedCall) -> CallerResponse {
        let rows = match self.rows_of_id(id).await {
            Ok(rows) => rows,
            Err(response) => return response,
        };
        if has_row(&rows, &row::job_key(id)) {
            return self.cancel_stored(id, &rows, call).await;
        }
        if has_row(&rows, &call.withdrawal_key(id)) {
            return CallerResponse::NoSuchJob;
        }
        self.withdraw(id, call).await
    }

    /// Stores the cancel mark of a job whose row is stored.
    async fn cancel_stored(
        &self,
        id: &JobId,
        rows: &[TableRow],
        call: &AdmittedCall,
    ) -> CallerResponse {
        if is_cancelled(rows, id) {
            return CallerResponse::Cancelled;
        }
        let key = row::cancel_key(id);
        let value = match encode_mark(&key) {
            Ok(value) => value,
            Err(response) => return response,
        };
        let transaction = TableTransaction::default()
            .require_absent(key.clone())
            .put(key.clone(), value);
        match self.writer.store(&key, transaction, call.deadline).await {
            StoreOutcome::Stored | StoreOutcome::Conflict(_) => {
                log_job_event!(info, event::JOB_CANCELLED, job = id);
                CallerResponse::Cancelled
            }
            StoreOutcome::Unstored(response) => response,
        }
    }

    /// Stores that a job is not to be stored any more, or cancels it if it has been stored
    /// meanwhile.
    async fn withdraw(&self, id: &JobId, call: &AdmittedCall) -> CallerResponse {
        let now = clock::boot_now();
        let permitted = {
            let mut limiter = self.withdrawals.borrow_mut();
            limiter.admit(call.customer.as_ref(), now)
        };
        if let Err(retry_after) = permitted {
            return CallerResponse::Unavailable { retry_after };
        }
        let job_key = row::job_key(id);
        let key = call.withdrawal_key(id);
        let value = match encode_mark(&key) {
            Ok(value) => value,
            Err(response) => return response,
        };
        let transaction = TableTransaction::default()
            .require_absent(job_key.clone())
            .require_absent(key.clone())
            .put(key.clone(), value);
        match self.writer.store(&key, transaction, call.deadline).await {
            StoreOutcome::Stored => {
                log_job_event!(info, event::JOB_WITHDRAWN, job = id);
                CallerResponse::NoSuchJob
            }
            StoreOutcome::Conflict(rows) if has_row(&rows, &job_key) => {
                self.cancel_stored(id, &rows, call).await
            }
            StoreOutcome::Conflict(rows) if has_row(&rows, &key) => CallerResponse::NoSuchJob,
            StoreOutcome::Conflict(_) => CallerResponse::OutcomeUnknown,
            StoreOutcome::Unstored(response) => response,
        }
    }

    /// Returns the pending count of a queue; waits a little for a new owner that has not
    /// counted yet.
    async fn pending_count(&self, call: &AdmittedCall) -> CallerResponse {
        let give_up_at = call.deadline.min(timer::Instant::now() + COUNT_WAIT);
        loop {
            let counts = match self.current_counts().await {
                Ok(counts) => counts,
                Err(response) => return response,
            };
            if let Some(counts) = counts {
                let pending = counts.pending.get(&call.queue.name);
                return CallerResponse::Pending(pending.copied().unwrap_or(0));
            }
            if timer::Instant::now() + COUNT_RETRY >= give_up_at {
                let key = RowKey::new(row::PENDING_KEY);
                return self.unreadable(&key, &"the owner that counted is gone");
            }
            timer::sleep(COUNT_RETRY).await;
        }
    }

    /// Reads the pending counts; returns none if they are not those of the present owner
    /// or too old.
    async fn current_counts(&self) -> Result<Option<PendingCounts>, CallerResponse> {
        let requested_at = timer::Instant::now();
        let (counts, owner) = futures_util::try_join!(
            self.board_row::<PendingCounts>(row::PENDING_KEY),
            self.board_row::<OwnerRecord>(row::OWNER_KEY),
        )?;
        // The rows are older than the table tells by the time that they took to arrive.
        let max_age = MAX_COUNT_AGE.saturating_sub(requested_at.elapsed());
        let is_current = counts
            .content
            .is_current(&owner.content, owner.table_ms, max_age);
        Ok(is_current.then_some(counts.content))
    }

    /// Reads a row that owners write.
    async fn board_row<T: DeserializeOwned>(
        &self,
        key: &'static str,
    ) -> Result<BoardRow<T>, CallerResponse> {
        let key = RowKey::new(key);
        let view = self.client.scan(CallCause::Job, key.as_str()).await;
        let view = view.map_err(|error| self.unreadable(&key, &error))?;
        let Some(entry) = view.rows.first() else {
            return Err(self.unreadable(&key, &"there is no such row"));
        };
        let content = row::read(entry).map_err(|error| self.unreadable(&key, &error))?;
        Ok(BoardRow {
            content,
            table_ms: view.table_ms,
        })
    }

    /// Logs that a row could not be read and returns the response.
    fn unreadable(&self, key: &RowKey, error: &impl fmt::Display) -> CallerResponse {
        log_job_event!(info, event::ROW_UNREAD, row = key.as_str(), error = error);
        CallerResponse::Unavailable {
            retry_after: self.settings.retry_after,
        }
    }
}

/// Encodes the row of a job; fails with a message if it is larger than `row_bytes`.
fn encode_job(key: &RowKey, record: &JobRecord, row_bytes: usize) -> Result<String, String> {
    let value = row::write(key, record).map_err(|error| error.to_string())?;
    if value.len() > row_bytes {
        let size = value.len();
        return Err(format!(
            "the job takes {size} bytes; at most {row_bytes} can be stored"
        ));
    }
    Ok(value)
}

fn customer_of_key(manifest: &JobManifest, head: &CallerHead) -> Option<CustomerName> {
    let key = head.key.as_deref()?;
    manifest.owner_of_key(key).cloned()
}

fn is_cancelled(rows: &[TableRow], id: &JobId) -> bool {
    has_row(rows, &row::cancel_key(id))
}

fn has_row(rows: &[TableRow], key: &RowKey) -> bool {
    rows.iter()
        .any(|entry| entry.key == *key && entry.value.is_some())
}

/// Encodes the mark of a cancelling that is stored now.
fn encode_mark(key: &RowKey) -> Result<String, CallerResponse> {
    let record = CancelRecord {
        cancelled: clock::wall_now(),
    };
    row::write(key, &record).map_err(|error| CallerResponse::Malformed(error.to_string()))
}

fn log_refusal(verb: CallerVerb, head: &CallerHead, response: &CallerResponse) {
    let is_refusal = !matches!(
        response,
        CallerResponse::Accepted
            | CallerResponse::State(_)
            | CallerResponse::Failed(_)
            | CallerResponse::Cancelled
            | CallerResponse::Pending(_)
    );
    if is_refusal {
        log_job_event!(
            info,
            event::CALL_REFUSED,
            verb = verb.name(),
            path = head.path,
            answer = format!("{response:?}"),
        );
    }
}
