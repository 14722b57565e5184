//! What a caller's request leads to.

use std::fmt;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::manifest::{JobManifest, QueuePolicy};
use redwing_jobs::name::CustomerName;
use redwing_jobs::{JobId, JobRecord, JobState, ProgressRecord};
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::{
    CallCause, Category, CommitOutcome, RowKey, TableClient, TableRow, TableTransaction,
};
use tokio::sync::watch;
use tokio::time as timer;

use crate::clock;
use crate::codec::{CallerAnswer, CallerHead, DeploymentCodec};
use crate::event;
use crate::log_job_event;
use crate::manifest::OperatorView;
use crate::row::{self, CancelRecord, PendingBoard};

use super::offer::OfferReader;

/// Delays between attempts to store something for a caller.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(60),
    max_delay: time::Duration::from_millis(300),
};

/// Bounds of the answers to callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Age of the manifest above which requests are not judged by it.
    pub manifest_age: time::Duration,
    /// Time after which a write that was not answered is sent again.
    pub attempt_limit: time::Duration,
    /// Time for which a write that the table rejects is tried before the
    /// caller is sent away; other VMs may be served.
    pub refuse_after: time::Duration,
    /// Longest time for an answer.
    pub longest_answer: time::Duration,
    /// Part of a caller's patience that is left for the way back.
    pub answer_margin: time::Duration,
    /// When callers may return while the table does not answer.
    pub retry_after: time::Duration,
    /// Time after which what workers offer is read again.
    pub offer_interval: time::Duration,
    /// Age above which what workers offered refuses no job.
    pub offer_age: time::Duration,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            manifest_age: time::Duration::from_millis(1_700),
            attempt_limit: time::Duration::from_millis(700),
            refuse_after: time::Duration::from_millis(300),
            longest_answer: time::Duration::from_millis(2_500),
            answer_margin: time::Duration::from_millis(200),
            retry_after: time::Duration::from_secs(1),
            offer_interval: time::Duration::from_secs(10),
            offer_age: time::Duration::from_secs(60),
        }
    }
}

/// What a caller wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerVerb {
    /// Hand in a job.
    Submit,
    /// Read a state or a count.
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

/// Answers callers on one thread.
pub struct CallerDesk {
    settings: CallerSettings,
    client: TableClient,
    codec: sync::Arc<dyn DeploymentCodec>,
    operators: watch::Receiver<OperatorView>,
    offer: rc::Rc<OfferReader>,
}

/// What the gate found out about a request.
struct AdmittedCall {
    queue: QueuePolicy,
    customer: Option<CustomerName>,
    rest: String,
    deadline: timer::Instant,
}

/// What became of one attempt to write a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteAttempt {
    /// The row is there, by this attempt or an earlier one.
    Stored,
    /// It was certainly not written.
    Rejected,
    /// It may have been written.
    Unknown,
}

impl CallerDesk {
    /// Creates a desk that reads and writes through `client`.
    pub fn new(
        settings: CallerSettings,
        client: TableClient,
        codec: sync::Arc<dyn DeploymentCodec>,
        operators: watch::Receiver<OperatorView>,
    ) -> Self {
        let offer = rc::Rc::new(OfferReader::new(client.clone(), &settings));
        Self {
            settings,
            client,
            codec,
            operators,
            offer,
        }
    }

    /// Answers one request.
    pub async fn answer(&self, verb: CallerVerb, head: &CallerHead, body: &[u8]) -> CallerAnswer {
        let answer = match self.admit(head) {
            Ok(call) => self.act(verb, &call, body).await,
            Err(answer) => answer,
        };
        log_refusal(verb, head, &answer);
        answer
    }

    /// Judges host, path and key by a manifest that is fresh enough.
    fn admit(&self, head: &CallerHead) -> Result<AdmittedCall, CallerAnswer> {
        let view = self.operators.borrow();
        let unavailable = CallerAnswer::Unavailable {
            retry_after: self.settings.retry_after,
        };
        let Some(manifest) = &view.manifest else {
            return Err(unavailable);
        };
        if view.age() > self.settings.manifest_age {
            return Err(unavailable);
        }
        let host = head.host.split(':').next().unwrap_or_default();
        let Some(resolved) = manifest.resolve(host, &head.path) else {
            return Err(CallerAnswer::NoSuchQueue);
        };
        let customer = owner_of_key(manifest, head);
        if customer.is_none() && !resolved.queue.is_public {
            return Err(CallerAnswer::KeyRefused);
        }
        let longest = self.settings.longest_answer;
        let patience = head.patience.unwrap_or(longest);
        let patience = patience
            .saturating_sub(self.settings.answer_margin)
            .min(longest);
        Ok(AdmittedCall {
            queue: resolved.queue.clone(),
            customer,
            rest: resolved.rest.to_owned(),
            deadline: timer::Instant::now() + patience,
        })
    }

    async fn act(&self, verb: CallerVerb, call: &AdmittedCall, body: &[u8]) -> CallerAnswer {
        if call.rest.is_empty() {
            return match verb {
                CallerVerb::Read => self.count(call).await,
                CallerVerb::Submit | CallerVerb::Cancel => CallerAnswer::NotAllowed,
            };
        }
        if !self.codec.is_job_id(&call.rest) {
            return match verb {
                CallerVerb::Submit => {
                    CallerAnswer::Malformed("the job's id is malformed".to_owned())
                }
                CallerVerb::Read | CallerVerb::Cancel => CallerAnswer::NoSuchJob,
            };
        }
        let id = JobId::new(&call.rest);
        match verb {
            CallerVerb::Submit => self.submit(&id, call, body).await,
            CallerVerb::Read => self.state(&id).await,
            CallerVerb::Cancel => self.cancel(&id, call).await,
        }
    }

    async fn submit(&self, id: &JobId, call: &AdmittedCall, body: &[u8]) -> CallerAnswer {
        let offer = self.offer.current();
        let spec = self.codec.job(body).and_then(|spec| {
            spec.check()?;
            offer.check(&spec)?;
            Ok(spec)
        });
        let spec = match spec {
            Ok(spec) => spec,
            Err(error) => return CallerAnswer::Malformed(error.to_string()),
        };
        let record = JobRecord {
            queue: call.queue.name.clone(),
            pool: call.queue.pool.clone(),
            customer: call.customer.clone(),
            accepted: clock::wall_now(),
            spec,
        };
        let key = row::job_key(id);
        let value = match row::write(&key, &record) {
            Ok(value) => value,
            Err(error) => return CallerAnswer::Malformed(error.to_string()),
        };
        let answer = self.store(key, value, call.deadline).await;
        if answer == CallerAnswer::Accepted {
            log_job_event!(info, event::JOB_ACCEPTED, job = id, queue = record.queue);
        }
        answer
    }

    /// Stores a row that is written once; a row that is there already is as good.
    async fn store(&self, key: RowKey, value: String, deadline: timer::Instant) -> CallerAnswer {
        let name = key.as_str().to_owned();
        let transaction = TableTransaction::default()
            .require_absent(key.clone())
            .put(key, value);
        let mut backoff = RetryBackoff::new(RETRY);
        let mut may_be_stored = false;
        let patience = timer::Instant::now() + self.settings.refuse_after;
        loop {
            match self.try_write(&name, &transaction, deadline).await {
                WriteAttempt::Stored => return CallerAnswer::Accepted,
                WriteAttempt::Unknown => may_be_stored = true,
                WriteAttempt::Rejected => {}
            }
            let limit = if may_be_stored {
                deadline
            } else {
                patience.min(deadline)
            };
            let pause = backoff.next_delay(rand::random());
            if timer::Instant::now() + pause >= limit {
                break;
            }
            timer::sleep(pause).await;
        }
        if may_be_stored {
            return CallerAnswer::OutcomeUnknown;
        }
        CallerAnswer::Unavailable {
            retry_after: self.settings.retry_after,
        }
    }

    /// Writes once; the row `name` stands in the log if that fails.
    async fn try_write(
        &self,
        name: &str,
        transaction: &TableTransaction,
        deadline: timer::Instant,
    ) -> WriteAttempt {
        let left = deadline.saturating_duration_since(timer::Instant::now());
        let limit = left.min(self.settings.attempt_limit);
        let client = &self.client;
        let commit = client.commit_within(CallCause::Job, transaction.clone(), limit);
        let error = match commit.await {
            Ok(CommitOutcome::Committed(_) | CommitOutcome::Conflict(_)) => {
                return WriteAttempt::Stored;
            }
            Err(error) => error,
        };
        log_job_event!(info, event::ROW_UNSTORED, row = name, error = error);
        if error.classify() == Category::Unknown {
            WriteAttempt::Unknown
        } else {
            WriteAttempt::Rejected
        }
    }

    async fn state(&self, id: &JobId) -> CallerAnswer {
        let key = row::progress_key(id);
        let progress = match self.client.scan(CallCause::Job, key.as_str()).await {
            Ok(view) => view.rows,
            Err(error) => return self.unreadable(&key, &error),
        };
        let known = progress.iter().find(|entry| entry.key == key);
        if let Some(record) = known.and_then(|entry| row::read::<ProgressRecord>(entry).ok()) {
            return CallerAnswer::State(record.state);
        }
        match self.job_rows(id).await {
            Ok(rows) if rows.is_empty() => CallerAnswer::NoSuchJob,
            Ok(rows) if is_cancelled(&rows, id) => CallerAnswer::State(JobState::Cancelled),
            Ok(_) => CallerAnswer::State(JobState::Queued),
            Err(answer) => answer,
        }
    }

    /// Reads the job's row and its cancel mark.
    async fn job_rows(&self, id: &JobId) -> Result<Vec<TableRow>, CallerAnswer> {
        let key = row::job_key(id);
        let view = self.client.scan(CallCause::Job, key.as_str()).await;
        let view = view.map_err(|error| self.unreadable(&key, &error))?;
        let rows = view.rows.into_iter();
        let cancel = row::cancel_key(id);
        let own = rows.filter(|entry| entry.key == key || entry.key == cancel);
        Ok(own.collect())
    }

    async fn cancel(&self, id: &JobId, call: &AdmittedCall) -> CallerAnswer {
        let rows = match self.job_rows(id).await {
            Ok(rows) => rows,
            Err(answer) => return answer,
        };
        if rows.is_empty() {
            return CallerAnswer::NoSuchJob;
        }
        if is_cancelled(&rows, id) {
            return CallerAnswer::Cancelled;
        }
        let key = row::cancel_key(id);
        let record = CancelRecord {
            cancelled: clock::wall_now(),
        };
        let value = match row::write(&key, &record) {
            Ok(value) => value,
            Err(error) => return CallerAnswer::Malformed(error.to_string()),
        };
        match self.store(key, value, call.deadline).await {
            CallerAnswer::Accepted => {
                log_job_event!(info, event::JOB_CANCELLED, job = id);
                CallerAnswer::Cancelled
            }
            answer => answer,
        }
    }

    async fn count(&self, call: &AdmittedCall) -> CallerAnswer {
        let key = RowKey::new(row::BOARD_KEY);
        let view = match self.client.scan(CallCause::Job, key.as_str()).await {
            Ok(view) => view,
            Err(error) => return self.unreadable(&key, &error),
        };
        let board = view.rows.first().map(row::read::<PendingBoard>);
        let board = match board {
            Some(Ok(board)) => board,
            Some(Err(error)) => return self.unreadable(&key, &error),
            None => PendingBoard::default(),
        };
        let count = board.pending.get(&call.queue.name);
        CallerAnswer::Pending(count.copied().unwrap_or(0))
    }

    /// Answers that a row cannot be read now, and logs why.
    fn unreadable(&self, key: &RowKey, error: &impl fmt::Display) -> CallerAnswer {
        log_job_event!(info, event::ROW_UNREAD, row = key.as_str(), error = error);
        CallerAnswer::Unavailable {
            retry_after: self.settings.retry_after,
        }
    }
}

fn owner_of_key(manifest: &JobManifest, head: &CallerHead) -> Option<CustomerName> {
    let key = head.key.as_deref()?;
    manifest.owner_of_key(key).cloned()
}

fn is_cancelled(rows: &[TableRow], id: &JobId) -> bool {
    let key = row::cancel_key(id);
    rows.iter().any(|entry| entry.key == key)
}

fn log_refusal(verb: CallerVerb, head: &CallerHead, answer: &CallerAnswer) {
    let is_refusal = !matches!(
        answer,
        CallerAnswer::Accepted
            | CallerAnswer::State(_)
            | CallerAnswer::Cancelled
            | CallerAnswer::Pending(_)
    );
    if is_refusal {
        log_job_event!(
            info,
            event::CALL_REFUSED,
            verb = verb.name(),
            path = head.path,
            answer = format!("{answer:?}"),
        );
    }
}
