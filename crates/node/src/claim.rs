//! Claims of requests that may run at most once.
//!
//! Before a request with an idempotency key that is not repeatable is sent to
//! a backend server, its key is claimed in the table. While the table is down
//! nothing is claimed and the caller hears that the request did not run.
//! After the claiming process died, the outcome is unknown: nobody runs the
//! request again, and the claim is kept for the retention time.

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

const PREFIX: &str = "claim/";
const CAUSE: CallCause = CallCause::Claim;

/// Parts into which the claims are divided for cleaning, by the first two
/// hexadecimal digits.
const SHARDS: u32 = 256;

/// Number of looks for a claim whose write is in doubt.
const DOUBT_CHECKS: u32 = 3;

/// Largest number of calls that wait for the control thread.
const QUEUE_CAPACITY: usize = 4_096;

/// Request that may run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimKey {
    /// Customer that sent it; `None` on a queue open to all.
    pub customer: Option<CustomerName>,
    /// Queue that it was sent to.
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
        RowKey::new(format!("{PREFIX}{}", KeyHash::of(&identity).to_hex()))
    }
}

/// Row of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClaimRecord {
    /// Process that claimed the request.
    pub owner: NodeIncarnation,
    /// Random number of the claim.
    pub attempt: u64,
    /// How the request ended; `None` while it may still run.
    #[serde(default)]
    pub outcome: Option<RunOutcome>,
}

/// Answer to a claim.
#[derive(Debug)]
pub enum ClaimAnswer {
    /// The request may run now, here only.
    Claimed(HeldClaim),
    /// Another request with this key is being processed.
    InProgress,
    /// A request with this key ended like this.
    Done(RunOutcome),
    /// The table cannot tell; the request did not run and may be sent again.
    Unavailable,
}

/// Claim held by this process; it must be released or completed. One that is
/// dropped counts as ended with an unknown outcome.
#[derive(Debug)]
pub struct HeldClaim {
    held: Option<ClaimedRow>,
    commands: mpsc::UnboundedSender<ClaimEnd>,
}

#[derive(Clone, Debug)]
struct ClaimedRow {
    key: RowKey,
    /// Commit that wrote the row; `None` if it is in doubt whether one did.
    version: Option<u64>,
    record: ClaimRecord,
}

/// How a claim ends: the row to change and, unless the request did not run,
/// the outcome.
#[derive(Debug)]
struct ClaimEnd {
    row: ClaimedRow,
    outcome: Option<RunOutcome>,
}

impl HeldClaim {
    /// Gives the claim up, since no byte of the request was sent.
    pub fn release(mut self) {
        self.end(None);
    }

    /// Keeps the outcome for later requests with the same key.
    pub fn complete(mut self, outcome: RunOutcome) {
        self.end(Some(outcome));
    }

    fn end(&mut self, outcome: Option<RunOutcome>) {
        if let Some(row) = self.held.take() {
            // Without the control thread the row stays, and counts as unknown.
            let _ = self.commands.send(ClaimEnd { row, outcome });
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        self.end(Some(RunOutcome::Unknown));
    }
}

/// Times of the claims.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Shortest time that the outcome of a request is remembered.
    pub retention: time::Duration,
    /// Time between two shards that are cleaned.
    pub clean_interval: time::Duration,
    /// Delays between attempts to end a claim.
    pub backoff: BackoffSettings,
    /// Time between two looks for a claim whose write is in doubt.
    pub doubt_interval: time::Duration,
    /// Largest number of claims that wait to be ended.
    pub ending_limit: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(6 * 60 * 60),
            clean_interval: time::Duration::from_secs(60),
            backoff: BackoffSettings::default(),
            doubt_interval: time::Duration::from_secs(10),
            ending_limit: 10_000,
        }
    }
}

/// Tells whether an incarnation has ended.
pub type EndedCheck = rc::Rc<dyn Fn(&NodeIncarnation) -> bool>;

/// Way for traffic threads to claim requests.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    calls: mpsc::Sender<ClaimCall>,
}

#[derive(Debug)]
struct ClaimCall {
    key: ClaimKey,
    reply: oneshot::Sender<ClaimAnswer>,
}

impl ClaimHandle {
    /// Claims a request.
    pub async fn claim(&self, key: ClaimKey) -> ClaimAnswer {
        let (reply, answer) = oneshot::channel();
        if self.calls.try_send(ClaimCall { key, reply }).is_err() {
            return ClaimAnswer::Unavailable;
        }
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }
}

/// Claims of one process, owned by its control thread.
pub struct ClaimDesk {
    client: TableClient,
    node: NodeIncarnation,
    is_ended: EndedCheck,
    settings: ClaimSettings,
    ends: mpsc::UnboundedSender<ClaimEnd>,
}

/// Starts the claims of the process `node` as local tasks, which end once the
/// process has stopped.
pub fn start(
    client: TableClient,
    node: NodeIncarnation,
    is_ended: EndedCheck,
    settings: ClaimSettings,
    stop: StopReceiver,
) -> ClaimHandle {
    let (calls, inbox) = mpsc::channel(QUEUE_CAPACITY);
    let (ends, ending) = mpsc::unbounded_channel();
    let desk = rc::Rc::new(ClaimDesk {
        client,
        node,
        is_ended,
        settings,
        ends,
    });
    task::spawn_local(run(desk, inbox, ending, stop));
    ClaimHandle { calls }
}

async fn run(
    desk: rc::Rc<ClaimDesk>,
    inbox: mpsc::Receiver<ClaimCall>,
    ending: mpsc::UnboundedReceiver<ClaimEnd>,
    mut stop: StopReceiver,
) {
    tokio::select! {
        () = answer_calls(desk.clone(), inbox) => {}
        () = end_claims(desk.clone(), ending) => {}
        () = clean(&desk) => {}
        // A closed channel ends the task as well.
        _ = stop.wait_for(|phase| *phase == StopPhase::Ended) => {}
    }
}

async fn answer_calls(desk: rc::Rc<ClaimDesk>, mut inbox: mpsc::Receiver<ClaimCall>) {
    while let Some(call) = inbox.recv().await {
        let desk = desk.clone();
        task::spawn_local(async move {
            // A caller that has gone drops the claim, which then ends.
            if let Err(ClaimAnswer::Claimed(claim)) = call.reply.send(desk.claim(&call.key).await) {
                claim.release();
            }
        });
    }
    // Claims still held are ended by the other task.
    std::future::pending().await
}

async fn end_claims(desk: rc::Rc<ClaimDesk>, mut ending: mpsc::UnboundedReceiver<ClaimEnd>) {
    let slots = sync::Arc::new(Semaphore::new(desk.settings.ending_limit));
    while let Some(end) = ending.recv().await {
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log_event!(
                warn,
                event::CLAIM_DELAYED,
                "too many claims wait to be ended"
            );
            continue;
        };
        let desk = desk.clone();
        task::spawn_local(async move {
            desk.end(end).await;
            drop(slot);
        });
    }
}

impl ClaimDesk {
    async fn claim(&self, key: &ClaimKey) -> ClaimAnswer {
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
            return ClaimAnswer::Unavailable;
        };
        let transaction = TableTransaction::default()
            .require_absent(row.key.clone())
            .put(row.key.clone(), content);
        let commit = self.client.commit_resolved(CAUSE, &transaction, &row.key);
        match commit.await {
            Ok(CommitOutcome::Committed(version)) => {
                row.version = Some(version);
                let commands = self.ends.clone();
                let held = Some(row);
                ClaimAnswer::Claimed(HeldClaim { held, commands })
            }
            Ok(CommitOutcome::Conflict(rows)) => self.answer_existing(rows.first()),
            Err(error) => {
                if error.classify() == Category::Unknown {
                    let outcome = None;
                    let _ = self.ends.send(ClaimEnd { row, outcome });
                }
                ClaimAnswer::Unavailable
            }
        }
    }

    fn answer_existing(&self, row: Option<&TableRow>) -> ClaimAnswer {
        let Some(record) = row.and_then(read_record) else {
            // What cannot be read may have run.
            return ClaimAnswer::Done(RunOutcome::Unknown);
        };
        match record.outcome {
            Some(outcome) => ClaimAnswer::Done(outcome),
            None if (self.is_ended)(&record.owner) => ClaimAnswer::Done(RunOutcome::Unknown),
            None => ClaimAnswer::InProgress,
        }
    }

    /// Ends a claim, trying again until the table has answered.
    async fn end(&self, mut end: ClaimEnd) {
        let mut backoff = RetryBackoff::new(self.settings.backoff.clone());
        let mut absent = 0;
        while absent < DOUBT_CHECKS {
            match self.try_end(&mut end).await {
                Ok(true) => return,
                Ok(false) => {
                    absent += 1;
                    timer::sleep(self.settings.doubt_interval).await;
                }
                Err(error) if error.classify() == Category::Refused => {
                    log_event!(error, event::CLAIM_DELAYED, "{error}");
                    return;
                }
                Err(error) => {
                    log_event!(debug, event::CLAIM_DELAYED, "{error}");
                    timer::sleep(backoff.next_delay(rand::random())).await;
                }
            }
        }
    }

    /// Returns whether the claim has ended; it has not if the write of the
    /// claim itself was in doubt and is not there (yet).
    async fn try_end(&self, end: &mut ClaimEnd) -> Result<bool> {
        let row = &mut end.row;
        if row.version.is_none() {
            let view = self.client.scan(CAUSE, row.key.as_str()).await?;
            let own = |found: &&TableRow| read_record(found).as_ref() == Some(&row.record);
            row.version = view.rows.iter().find(own).map(|found| found.version);
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
        // A conflict shows that an earlier attempt took effect.
        self.client.commit(CAUSE, transaction).await?;
        Ok(true)
    }

    /// Deletes expired claims of one shard.
    async fn clean_shard(&self, shard: u32, ages: &mut CommitAges) -> Result<()> {
        let now = time::Instant::now();
        let view = self
            .client
            .scan(CAUSE, &format!("{PREFIX}{shard:02x}"))
            .await?;
        ages.note(now, view.cursor);
        let Some(horizon) = ages.horizon(now) else {
            return Ok(());
        };
        for row in view.rows.iter().filter(|row| row.version <= horizon) {
            if self.may_expire(row) {
                let transaction = TableTransaction::default()
                    .require_version(row.key.clone(), row.version)
                    .delete(row.key.clone());
                self.client.commit(CAUSE, transaction).await?;
            }
        }
        Ok(())
    }

    fn may_expire(&self, row: &TableRow) -> bool {
        let record = read_record(row);
        record.is_none_or(|record| record.outcome.is_some() || (self.is_ended)(&record.owner))
    }
}

/// Deletes expired claims, one shard after the other.
async fn clean(desk: &ClaimDesk) {
    let mut ages = CommitAges::new(desk.settings.retention);
    let mut shard = rand::random::<u32>() % SHARDS;
    loop {
        timer::sleep(desk.settings.clean_interval).await;
        if let Err(error) = desk.clean_shard(shard, &mut ages).await {
            log_event!(debug, event::CLAIM_DELAYED, "{error}");
            continue;
        }
        shard = (shard + 1) % SHARDS;
    }
}

/// Tells which commits of the table are older than the retention time.
///
/// Times come from the monotonic clock of this process alone, so that a
/// wall clock that jumps cannot make a claim expire early.
#[derive(Clone, Debug)]
pub struct CommitAges {
    retention: time::Duration,
    noted: VecDeque<(time::Instant, u64)>,
}

impl CommitAges {
    /// Creates an estimate that knows no commit yet.
    pub fn new(retention: time::Duration) -> Self {
        let noted = VecDeque::new();
        Self { retention, noted }
    }

    /// Returns the latest commit known to be older than the retention time.
    pub fn horizon(&mut self, now: time::Instant) -> Option<u64> {
        let is_old =
            |noted: &(time::Instant, u64)| now.saturating_duration_since(noted.0) >= self.retention;
        while self.noted.get(1).is_some_and(is_old) {
            self.noted.pop_front();
        }
        self.noted
            .front()
            .filter(|noted| is_old(noted))
            .map(|noted| noted.1)
    }

    /// Notes that the table had made `commit` at the time `now`.
    pub fn note(&mut self, now: time::Instant, commit: u64) {
        self.noted.push_back((now, commit));
    }
}

fn read_record(row: &TableRow) -> Option<ClaimRecord> {
    serde_json::from_str(row.value.as_deref()?).ok()
}
