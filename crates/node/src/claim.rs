//! Claims of requests that may run at most once.
//!
//! Before a request with an idempotency key that is not repeatable is sent to
//! a backend server, its key is claimed in the table. While the table is
//! unavailable nothing can be claimed, and the caller receives a response that
//! the request did not run. If the claiming process dies, the outcome is
//! unknown: no process runs the request again, and the claim is kept for the
//! retention time.

use std::collections::VecDeque;
use std::rc;
use std::sync;
use std::time;

use redwing_model::{CustomerName, KeyHash, NodeIncarnation, QueueName, RunOutcome};
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::{
    CallCause, Category, CommitOutcome, Result, RowKey, TableClient, TableRow, TableTransaction,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::{task, time as timer};

use crate::event;
use crate::stop::{StopPhase, StopReceiver};

const ROW_PREFIX: &str = "claim/";
const CALL_CAUSE: CallCause = CallCause::Claim;

/// Number of shards in which expired claims are deleted; the shard is the first
/// two hexadecimal digits of the hash.
const SHARDS: u32 = 256;

/// Number of checks for a claim row whose commit has an unknown result.
const UNKNOWN_COMMIT_CHECKS: u32 = 3;

/// Largest number of calls queued for the control thread.
const CALL_QUEUE_CAPACITY: usize = 4_096;

/// Identity of a request that may run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimKey {
    /// Customer that submitted it; `None` on an open queue without a key.
    pub customer: Option<CustomerName>,
    /// Queue that it was submitted to.
    pub queue: QueueName,
    /// The caller's idempotency key.
    pub key: String,
}

impl ClaimKey {
    /// Returns the key of the claim's row.
    pub fn row_key(&self) -> RowKey {
        let customer = self
            .customer
            .as_ref()
            .map_or("", |customer| customer.as_str());
        let identity = format!("{customer}/{}/{}", self.queue, self.key);
        RowKey::new(format!("{ROW_PREFIX}{}", KeyHash::of(&identity).to_hex()))
    }
}

/// Content of the table row of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClaimRecord {
    /// Process that claimed the request.
    pub owner: NodeIncarnation,
    /// Random number that identifies the claim.
    pub attempt: u64,
    /// Outcome of the request; `None` while it may still be running.
    #[serde(default)]
    pub outcome: Option<RunOutcome>,
}

/// Response to a claim.
#[derive(Debug)]
pub enum ClaimResponse {
    /// The request is claimed by this process and may run.
    Claimed(ClaimGuard),
    /// Another request with this key is in progress.
    InProgress,
    /// A request with this key has ended with this outcome.
    Done(RunOutcome),
    /// The table did not respond; the request did not run and may be retried.
    Unavailable,
}

/// Claim of this process, to be released or completed. A claim that is dropped
/// instead is completed with an unknown outcome.
#[derive(Debug)]
pub struct ClaimGuard {
    row: Option<ClaimedRow>,
    end_commands: mpsc::UnboundedSender<ClaimEnd>,
}

#[derive(Clone, Debug)]
struct ClaimedRow {
    key: RowKey,
    /// Commit that wrote the row; `None` while the result of the commit is unknown.
    version: Option<u64>,
    record: ClaimRecord,
}

/// Command to end a claim: the row to change, and the outcome to store; without
/// an outcome the row is deleted.
#[derive(Debug)]
struct ClaimEnd {
    row: ClaimedRow,
    outcome: Option<RunOutcome>,
}

impl ClaimGuard {
    /// Deletes the claim, since no byte of the request was sent.
    pub fn release(mut self) {
        self.end(None);
    }

    /// Stores the outcome for later requests with the same key.
    pub fn complete(mut self, outcome: RunOutcome) {
        self.end(Some(outcome));
    }

    fn end(&mut self, outcome: Option<RunOutcome>) {
        if let Some(row) = self.row.take() {
            // If the control thread has ended, the row stays; its outcome counts
            // as unknown.
            let _ = self.end_commands.send(ClaimEnd { row, outcome });
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.end(Some(RunOutcome::Unknown));
    }
}

/// Settings of the claim service.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Shortest time for which the outcome of a request is kept.
    pub retention: time::Duration,
    /// Time between the cleanups of two shards.
    pub clean_interval: time::Duration,
    /// Delays between attempts to end a claim.
    pub backoff: BackoffSettings,
    /// Time between two checks for a claim row whose commit has an unknown result.
    pub recheck_interval: time::Duration,
    /// Largest number of claims that are being ended at a time.
    pub ending_limit: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(6 * 60 * 60),
            clean_interval: time::Duration::from_secs(60),
            backoff: BackoffSettings::default(),
            recheck_interval: time::Duration::from_secs(10),
            ending_limit: 10_000,
        }
    }
}

/// Returns whether a process incarnation has ended.
pub type EndedCheck = rc::Rc<dyn Fn(&NodeIncarnation) -> bool>;

/// Handle with which traffic threads claim requests.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    calls: mpsc::Sender<ClaimCall>,
}

#[derive(Debug)]
struct ClaimCall {
    key: ClaimKey,
    reply: oneshot::Sender<ClaimResponse>,
}

impl ClaimHandle {
    /// Claims a request.
    pub async fn claim(&self, key: ClaimKey) -> ClaimResponse {
        let (reply, response) = oneshot::channel();
        if self.calls.try_send(ClaimCall { key, reply }).is_err() {
            return ClaimResponse::Unavailable;
        }
        response.await.unwrap_or(ClaimResponse::Unavailable)
    }
}

/// Claim service of one process, on its control thread.
pub struct ClaimService {
    client: TableClient,
    node: NodeIncarnation,
    is_ended: EndedCheck,
    settings: ClaimSettings,
    end_commands: mpsc::UnboundedSender<ClaimEnd>,
}

/// Starts the claim service of the process `node` as local tasks, which end once
/// the process has stopped.
pub fn start(
    client: TableClient,
    node: NodeIncarnation,
    is_ended: EndedCheck,
    settings: ClaimSettings,
    stop: StopReceiver,
) -> ClaimHandle {
    let (calls, inbox) = mpsc::channel(CALL_QUEUE_CAPACITY);
    let (end_commands, end_queue) = mpsc::unbounded_channel();
    let service = rc::Rc::new(ClaimService {
        client,
        node,
        is_ended,
        settings,
        end_commands,
    });
    task::spawn_local(run(service, inbox, end_queue, stop));
    ClaimHandle { calls }
}

async fn run(
    service: rc::Rc<ClaimService>,
    inbox: mpsc::Receiver<ClaimCall>,
    end_queue: mpsc::UnboundedReceiver<ClaimEnd>,
    mut stop: StopReceiver,
) {
    tokio::select! {
        () = serve_calls(service.clone(), inbox) => {}
        () = end_claims(service.clone(), end_queue) => {}
        () = clean(&service) => {}
        // A closed channel ends the task as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

async fn serve_calls(service: rc::Rc<ClaimService>, mut inbox: mpsc::Receiver<ClaimCall>) {
    while let Some(call) = inbox.recv().await {
        let service = service.clone();
        task::spawn_local(async move {
            // If the caller has disconnected, the claim is released.
            if let Err(ClaimResponse::Claimed(claim)) =
                call.reply.send(service.claim(&call.key).await)
            {
                claim.release();
            }
        });
    }
    // Keeps running, so that `end_claims` can end the open claims.
    std::future::pending().await
}

async fn end_claims(
    service: rc::Rc<ClaimService>,
    mut end_queue: mpsc::UnboundedReceiver<ClaimEnd>,
) {
    let permits = sync::Arc::new(Semaphore::new(service.settings.ending_limit));
    while let Some(end) = end_queue.recv().await {
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log_event!(
                warn,
                event::CLAIM_DELAYED,
                "too many claims are waiting to be ended; leaving the row of one claim as it is"
            );
            continue;
        };
        let service = service.clone();
        task::spawn_local(async move {
            service.end(end).await;
            drop(permit);
        });
    }
}

impl ClaimService {
    async fn claim(&self, key: &ClaimKey) -> ClaimResponse {
        let mut row = ClaimedRow {
            key: key.row_key(),
            version: None,
            record: ClaimRecord {
                owner: self.node.clone(),
                attempt: rand::random(),
                outcome: None,
            },
        };
        let Ok(content) = serde_json::to_string(&row.record) else {
            return ClaimResponse::Unavailable;
        };
        let transaction = TableTransaction::default()
            .require_absent(row.key.clone())
            .put(row.key.clone(), content);
        let commit = self
            .client
            .commit_resolved(CALL_CAUSE, &transaction, &row.key);
        match commit.await {
            Ok(CommitOutcome::Committed(version)) => {
                row.version = Some(version);
                let end_commands = self.end_commands.clone();
                let row = Some(row);
                ClaimResponse::Claimed(ClaimGuard { row, end_commands })
            }
            Ok(CommitOutcome::Conflict(rows)) => self.response_to_existing(rows.first()),
            Err(error) => {
                if error.classify() == Category::Unknown {
                    let outcome = None;
                    let _ = self.end_commands.send(ClaimEnd { row, outcome });
                }
                ClaimResponse::Unavailable
            }
        }
    }

    fn response_to_existing(&self, row: Option<&TableRow>) -> ClaimResponse {
        let Some(record) = row.and_then(read_record) else {
            // A malformed row may belong to a request that ran.
            return ClaimResponse::Done(RunOutcome::Unknown);
        };
        match record.outcome {
            Some(outcome) => ClaimResponse::Done(outcome),
            None if (self.is_ended)(&record.owner) => ClaimResponse::Done(RunOutcome::Unknown),
            None => ClaimResponse::InProgress,
        }
    }

    /// Ends a claim, retrying until the table has responded.
    async fn end(&self, mut end: ClaimEnd) {
        let mut backoff = RetryBackoff::new(self.settings.backoff.clone());
        let mut missing_checks = 0;
        while missing_checks < UNKNOWN_COMMIT_CHECKS {
            match self.try_end(&mut end).await {
                Ok(true) => return,
                Ok(false) => {
                    missing_checks += 1;
                    timer::sleep(self.settings.recheck_interval).await;
                }
                Err(error) if error.classify() == Category::Refused => {
                    log_event!(
                        error,
                        event::CLAIM_DELAYED,
                        "cannot end a claim, leaving its row: {error}"
                    );
                    return;
                }
                Err(error) => {
                    log_event!(
                        debug,
                        event::CLAIM_DELAYED,
                        "cannot end a claim yet, retrying: {error}"
                    );
                    timer::sleep(backoff.next_delay(rand::random())).await;
                }
            }
        }
    }

    /// Returns whether the claim has ended. It has not if the result of the
    /// claim's own commit is unknown and its row is missing so far.
    async fn try_end(&self, end: &mut ClaimEnd) -> Result<bool> {
        let row = &mut end.row;
        if row.version.is_none() {
            let scan = self.client.scan(CALL_CAUSE, row.key.as_str()).await?;
            let is_own = |found: &&TableRow| read_record(found).as_ref() == Some(&row.record);
            row.version = scan.rows.iter().find(is_own).map(|found| found.version);
        }
        let Some(version) = row.version else {
            return Ok(false);
        };
        let transaction = TableTransaction::default().require_version(row.key.clone(), version);
        let transaction = match end.outcome {
            None => transaction.delete(row.key.clone()),
            Some(outcome) => {
                row.record.outcome = Some(outcome);
                let content = serde_json::to_string(&row.record).unwrap_or_default();
                transaction.put(row.key.clone(), content)
            }
        };
        // A conflict means that an earlier attempt took effect.
        self.client.commit(CALL_CAUSE, transaction).await?;
        Ok(true)
    }

    /// Deletes the expired claims of one shard.
    async fn clean_shard(&self, shard: u32, commit_ages: &mut CommitAges) -> Result<()> {
        let now = time::Instant::now();
        let scan = self
            .client
            .scan(CALL_CAUSE, &format!("{ROW_PREFIX}{shard:02x}"))
            .await?;
        commit_ages.record(now, scan.cursor);
        let Some(horizon) = commit_ages.horizon(now) else {
            return Ok(());
        };
        for row in scan.rows.iter().filter(|row| row.version <= horizon) {
            if self.may_expire(row) {
                let transaction = TableTransaction::default()
                    .require_version(row.key.clone(), row.version)
                    .delete(row.key.clone());
                self.client.commit(CALL_CAUSE, transaction).await?;
            }
        }
        Ok(())
    }

    fn may_expire(&self, row: &TableRow) -> bool {
        let record = read_record(row);
        record.is_none_or(|record| record.outcome.is_some() || (self.is_ended)(&record.owner))
    }
}

/// Deletes expired claims, one shard at a time.
async fn clean(service: &ClaimService) {
    let mut commit_ages = CommitAges::new(service.settings.retention);
    let mut shard = rand::random::<u32>() % SHARDS;
    loop {
        timer::sleep(service.settings.clean_interval).await;
        if let Err(error) = service.clean_shard(shard, &mut commit_ages).await {
            log_event!(
                debug,
                event::CLAIM_DELAYED,
                "cannot delete expired claims, retrying: {error}"
            );
            continue;
        }
        shard = (shard + 1) % SHARDS;
    }
}

/// Tracks which commits of the table are older than the retention time.
///
/// It uses only the monotonic clock of this process, so that a jump of the wall
/// clock cannot make a claim expire early.
#[derive(Clone, Debug)]
pub struct CommitAges {
    retention: time::Duration,
    samples: VecDeque<(time::Instant, u64)>,
}

impl CommitAges {
    /// Creates an empty tracker.
    pub fn new(retention: time::Duration) -> Self {
        let samples = VecDeque::new();
        Self { retention, samples }
    }

    /// Returns the latest commit known to be older than the retention time.
    pub fn horizon(&mut self, now: time::Instant) -> Option<u64> {
        let is_old = |sample: &(time::Instant, u64)| {
            now.saturating_duration_since(sample.0) >= self.retention
        };
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples
            .front()
            .filter(|sample| is_old(sample))
            .map(|sample| sample.1)
    }

    /// Records that `commit` was the latest commit of the table at `now`.
    pub fn record(&mut self, now: time::Instant, commit: u64) {
        self.samples.push_back((now, commit));
    }
}

fn read_record(row: &TableRow) -> Option<ClaimRecord> {
    serde_json::from_str(row.value.as_deref()?).ok()
}
