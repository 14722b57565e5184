//! Client of the table that bounds what one process asks of it.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use futures_util::future::FutureExt;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::{task, time as timer};

use crate::LocalFuture;
use crate::backoff::{BackoffSettings, RetryBackoff};
use crate::batch::{self, TransactionBatch};
use crate::breaker::{BreakerDecision, BreakerSettings, CircuitBreaker};
use crate::counters::{CallCause, CallCounters, CauseCounts};
use crate::error::{Category, Error, Result};
use crate::rate_limiter::RateLimiter;
use crate::table::{CommitOutcome, RowKey, TableRow, TableStore, TableTransaction, TableView};

/// Name of the service in errors.
const PEER: &str = "table";

/// Bounds of a table client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Longest time that a call may take.
    pub call_timeout: time::Duration,
    /// Longest time that a scan may take; it may be many reads.
    pub scan_timeout: time::Duration,
    /// Time after which a scan that was not answered is sent again, over
    /// another connection; none if it never is.
    pub scan_hedge_delay: Option<time::Duration>,
    /// Largest number of commits in flight.
    pub max_commits_in_flight: usize,
    /// Largest number of reads in flight.
    pub max_reads_in_flight: usize,
    /// Time between the starts of two commits.
    pub commit_interval: time::Duration,
    /// Time between the starts of two reads.
    pub read_interval: time::Duration,
    /// Largest number of transactions that are committed as one.
    pub batch_limit: usize,
    /// Largest number of transactions that wait.
    pub queue_capacity: usize,
    /// When the circuit breaker opens.
    pub breaker: BreakerSettings,
    /// Delays between attempts to learn what became of a commit.
    pub backoff: BackoffSettings,
    /// Smallest number of attempts to learn what became of a commit.
    pub min_resolve_attempts: u32,
    /// Time after which no further attempt is made, beyond that number.
    pub resolve_timeout: time::Duration,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            call_timeout: time::Duration::from_secs(5),
            scan_timeout: time::Duration::from_secs(5),
            scan_hedge_delay: None,
            max_commits_in_flight: 4,
            max_reads_in_flight: 8,
            commit_interval: time::Duration::from_millis(40),
            read_interval: time::Duration::from_millis(10),
            batch_limit: 64,
            queue_capacity: 1_024,
            breaker: BreakerSettings::default(),
            backoff: BackoffSettings::default(),
            min_resolve_attempts: 4,
            resolve_timeout: time::Duration::from_secs(3),
        }
    }
}

/// Client of the table, shared by all parts of the control thread.
///
/// Calls are spaced, bounded in number and in time, and rejected at once
/// while the circuit breaker is open. Independent transactions that wait at
/// the same time are committed as one. It must be created on a thread that
/// runs local tasks; its writer task ends once all clones are dropped.
#[derive(Clone)]
pub struct TableClient {
    shared: rc::Rc<SharedState>,
    queue: mpsc::Sender<QueuedCommit>,
}

struct SharedState {
    table: rc::Rc<dyn TableStore>,
    settings: ClientSettings,
    breaker: cell::RefCell<CircuitBreaker>,
    read_pacer: cell::RefCell<RateLimiter>,
    read_slots: Semaphore,
    tally: cell::RefCell<CallCounters>,
    last_success: cell::Cell<Option<time::Instant>>,
}

struct QueuedCommit {
    cause: CallCause,
    transaction: TableTransaction,
    queued_at: time::Instant,
    reply: oneshot::Sender<Result<CommitOutcome>>,
}

impl TableClient {
    /// Creates a client of `table` and starts its writer task.
    pub fn new(table: rc::Rc<dyn TableStore>, settings: ClientSettings) -> Self {
        let (queue, waiting) = mpsc::channel(settings.queue_capacity);
        let shared = rc::Rc::new(SharedState {
            table,
            breaker: cell::RefCell::new(CircuitBreaker::new(settings.breaker.clone())),
            read_pacer: cell::RefCell::new(RateLimiter::new(settings.read_interval)),
            read_slots: Semaphore::new(settings.max_reads_in_flight),
            tally: cell::RefCell::default(),
            last_success: cell::Cell::new(None),
            settings,
        });
        task::spawn_local(run_writer(shared.clone(), waiting));
        Self { shared, queue }
    }

    /// Returns the table as callers with one cause see it.
    pub fn store(&self, cause: CallCause) -> rc::Rc<dyn TableStore> {
        let client = self.clone();
        rc::Rc::new(CauseStore { client, cause })
    }

    /// Returns when the table last answered.
    pub fn last_success(&self) -> Option<time::Instant> {
        self.shared.last_success.get()
    }

    /// Returns whether the table answered its latest calls.
    pub fn is_reachable(&self) -> bool {
        self.shared.breaker.borrow().is_closed() && self.last_success().is_some()
    }

    /// Returns the number of calls so far, one entry a cause.
    pub fn counts(&self) -> Vec<CauseCounts> {
        self.shared.tally.borrow().counts()
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the transaction may have been
    /// applied, and with `Unavailable` if it was not sent.
    pub async fn commit(
        &self,
        cause: CallCause,
        transaction: TableTransaction,
    ) -> Result<CommitOutcome> {
        let (reply, answer) = oneshot::channel();
        let queued = QueuedCommit {
            cause,
            transaction,
            queued_at: time::Instant::now(),
            reply,
        };
        if self.queue.try_send(queued).is_err() {
            return Err(Error::unavailable("commit", PEER, "too many are waiting"));
        }
        let lost = || Error::unknown("commit", PEER, "the writer ended");
        answer.await.unwrap_or_else(|_| Err(lost()))
    }

    /// Applies a transaction as [`TableClient::commit`] does, but waits for the
    /// answer for `limit` only. The attempt itself goes on.
    ///
    /// # Errors
    ///
    /// Fails as `commit` does, and with category `Unknown` after the limit.
    pub async fn commit_within(
        &self,
        cause: CallCause,
        transaction: TableTransaction,
        limit: time::Duration,
    ) -> Result<CommitOutcome> {
        let late = || Error::unknown("commit", PEER, "no answer yet");
        let commit = self.commit(cause, transaction);
        let answer = timer::timeout(limit, commit).await;
        answer.unwrap_or_else(|_| Err(late()))
    }

    /// Applies a transaction, and finds out by reading if the reply is lost.
    ///
    /// The transaction must write the row `proof` under a condition on that
    /// row, with content that no other transaction writes. Then a repeated
    /// attempt is harmless, and the row tells whether an earlier one took
    /// effect, as long as nobody overwrites it.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if all attempts to find out failed.
    pub async fn commit_resolved(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
        proof: &RowKey,
    ) -> Result<CommitOutcome> {
        let mut backoff = RetryBackoff::new(self.shared.settings.backoff.clone());
        let mut sent_before = false;
        let start = time::Instant::now();
        let mut attempt = 0;
        loop {
            attempt += 1;
            let error = match self.commit(cause, transaction.clone()).await {
                Ok(outcome) if sent_before => {
                    let proven = batch::committed_version(transaction, &outcome, proof);
                    return Ok(proven.map_or(outcome, CommitOutcome::Committed));
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) if !sent_before && error.classify() != Category::Unknown => {
                    return Err(error);
                }
                Err(error) => error,
            };
            sent_before = true;
            let settings = &self.shared.settings;
            let is_late = start.elapsed() >= settings.resolve_timeout;
            if is_late && attempt >= settings.min_resolve_attempts {
                return Err(Error::unknown("resolve commit", PEER, error.to_string()));
            }
            timer::sleep(backoff.next_delay(rand::random())).await;
        }
    }

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer in time or is known to be down.
    pub async fn scan(&self, cause: CallCause, prefix: &str) -> Result<TableView> {
        self.shared.read(cause, prefix, TableRead::Scan).await
    }

    /// Reads the rows under `prefix` that commits after `cursor` wrote.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer in time or is known to be down.
    pub async fn changes(&self, cause: CallCause, prefix: &str, cursor: u64) -> Result<TableView> {
        self.shared
            .read(cause, prefix, TableRead::Changes(cursor))
            .await
    }

    /// Reads as [`TableClient::changes`] does, but may wait for a change.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer in time or is known to be down,
    /// and with category `Refused` if the history is not kept any more.
    pub async fn watch(
        &self,
        cause: CallCause,
        prefix: &str,
        cursor: u64,
        wait: time::Duration,
    ) -> Result<TableView> {
        self.shared
            .read(cause, prefix, TableRead::Watch(cursor, wait))
            .await
    }
}

/// Kind of a read, with the commit after which changes are asked for.
#[derive(Clone, Copy, Debug)]
enum TableRead {
    Scan,
    Changes(u64),
    Watch(u64, time::Duration),
}

impl TableRead {
    fn step(self) -> &'static str {
        match self {
            Self::Scan => "scan",
            Self::Changes(_) => "changes",
            Self::Watch(..) => "watch",
        }
    }

    /// Returns how long the answer may take.
    fn timeout(self, settings: &ClientSettings) -> time::Duration {
        match self {
            Self::Scan => settings.scan_timeout,
            Self::Changes(_) => settings.call_timeout,
            // The answer may be late on purpose.
            Self::Watch(_, wait) => settings.call_timeout + wait,
        }
    }
}

impl SharedState {
    async fn read(&self, cause: CallCause, prefix: &str, read: TableRead) -> Result<TableView> {
        let step = read.step();
        let unavailable = |message: &str| Error::unavailable(step, PEER, message);
        let slot = self.read_slots.acquire().await;
        let _slot = slot.map_err(|_| unavailable("the client is closed"))?;
        let pause = self.read_pacer.borrow_mut().reserve(time::Instant::now());
        timer::sleep(pause).await;
        self.admit(step)?;
        self.tally.borrow_mut().count_read(cause);
        let call = match read {
            TableRead::Scan => self.scan_repeated(cause, prefix).boxed_local(),
            TableRead::Changes(cursor) => self.table.changes(prefix, cursor),
            TableRead::Watch(cursor, wait) => self.table.watch(prefix, cursor, wait),
        };
        let answer = timer::timeout(read.timeout(&self.settings), call).await;
        let answer = answer.unwrap_or_else(|_| Err(unavailable("timed out")));
        self.record(cause, &answer);
        answer
    }

    /// Scans; the answer that comes first counts.
    async fn scan_repeated(&self, cause: CallCause, prefix: &str) -> Result<TableView> {
        let mut attempts = FuturesUnordered::new();
        attempts.push(self.table.scan(prefix));
        let Some(patience) = self.settings.scan_hedge_delay else {
            return first_answer(&mut attempts).await;
        };
        loop {
            let answer = timer::timeout(patience, first_answer(&mut attempts)).await;
            if let Ok(answer) = answer {
                return answer;
            }
            self.tally.borrow_mut().count_read(cause);
            attempts.push(self.table.scan(prefix));
        }
    }

    async fn send(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
    ) -> Result<CommitOutcome> {
        self.admit("commit")?;
        self.tally.borrow_mut().count_commit(cause);
        let call = self.table.commit(transaction);
        let answer = timer::timeout(self.settings.call_timeout, call).await;
        let answer = answer.unwrap_or_else(|_| Err(Error::unknown("commit", PEER, "timed out")));
        self.record(cause, &answer);
        answer
    }

    fn admit(&self, step: &'static str) -> Result<()> {
        let now = time::Instant::now();
        let mut breaker = self.breaker.borrow_mut();
        match breaker.admit(now, self.settings.call_timeout * 2) {
            BreakerDecision::Allow => Ok(()),
            BreakerDecision::Reject(pause) => {
                let message = format!("circuit breaker open for {} ms", pause.as_millis());
                Err(Error::unavailable(step, PEER, message))
            }
        }
    }

    fn record<T>(&self, cause: CallCause, answer: &Result<T>) {
        let category = answer.as_ref().err().map(Error::classify);
        self.tally.borrow_mut().count_answer(cause, category);
        let now = time::Instant::now();
        match category {
            None | Some(Category::Refused) => {
                self.breaker.borrow_mut().record_success();
                self.last_success.set(Some(now));
            }
            Some(Category::Unavailable | Category::Unknown) => {
                let jitter = rand::random();
                self.breaker.borrow_mut().record_failure(now, jitter);
            }
        }
    }
}

/// Returns the first view, or the error of the attempt that failed last.
async fn first_answer(
    attempts: &mut FuturesUnordered<LocalFuture<'_, Result<TableView>>>,
) -> Result<TableView> {
    let mut answer = Err(Error::unavailable("scan", PEER, "not sent"));
    while let Some(next) = attempts.next().await {
        answer = next;
        if answer.is_ok() {
            break;
        }
    }
    answer
}

/// Commits what waits, in groups, until all clients are dropped.
async fn run_writer(shared: rc::Rc<SharedState>, mut waiting: mpsc::Receiver<QueuedCommit>) {
    let slots = sync::Arc::new(Semaphore::new(shared.settings.max_commits_in_flight));
    let mut pacer = RateLimiter::new(shared.settings.commit_interval);
    let mut held_back = None;
    loop {
        let first = match held_back.take() {
            Some(queued) => queued,
            None => match waiting.recv().await {
                Some(queued) => queued,
                None => return,
            },
        };
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        timer::sleep(pacer.reserve(time::Instant::now())).await;
        let mut batch = CommitBatch::default();
        held_back = batch.fill(first, &mut waiting, &shared.settings);
        let shared = shared.clone();
        task::spawn_local(async move {
            batch.commit(&shared).await;
            drop(slot);
        });
    }
}

/// Transactions that are committed as one, with those who wait for them.
#[derive(Default)]
struct CommitBatch {
    group: TransactionBatch,
    waiters: Vec<(CallCause, oneshot::Sender<Result<CommitOutcome>>)>,
}

impl CommitBatch {
    /// Takes what waits; returns a transaction that depends on one taken.
    fn fill(
        &mut self,
        first: QueuedCommit,
        waiting: &mut mpsc::Receiver<QueuedCommit>,
        settings: &ClientSettings,
    ) -> Option<QueuedCommit> {
        let mut next = Some(first);
        while let Some(queued) = next {
            if let Some(dependent) = self.take(queued, settings.call_timeout) {
                return Some(dependent);
            }
            if self.group.len() >= settings.batch_limit {
                return None;
            }
            next = waiting.try_recv().ok();
        }
        None
    }

    fn take(&mut self, queued: QueuedCommit, patience: time::Duration) -> Option<QueuedCommit> {
        if queued.reply.is_closed() {
            return None;
        }
        if queued.queued_at.elapsed() > patience {
            let error = Error::unavailable("commit", PEER, "waited too long to be sent");
            // The caller may have gone in the meantime.
            let _ = queued.reply.send(Err(error));
            return None;
        }
        match self.group.add(queued.transaction) {
            Ok(()) => {
                self.waiters.push((queued.cause, queued.reply));
                None
            }
            Err(transaction) => Some(QueuedCommit {
                transaction,
                ..queued
            }),
        }
    }

    /// Commits the group; members whose conditions fail drop out of it.
    async fn commit(mut self, shared: &SharedState) {
        while let Some((cause, _)) = self.waiters.first() {
            match shared.send(*cause, &self.group.merged()).await {
                Ok(CommitOutcome::Conflict(rows)) => self.drop_failed(&rows),
                answer => {
                    self.answer_all(answer);
                    return;
                }
            }
        }
    }

    fn drop_failed(&mut self, rows: &[TableRow]) {
        let split = self.group.split(rows);
        self.group.retain(&split.remaining);
        for (position, rows) in split.failed.into_iter().rev() {
            let (_, reply) = self.waiters.remove(position);
            let _ = reply.send(Ok(CommitOutcome::Conflict(rows)));
        }
    }

    fn answer_all(self, answer: Result<CommitOutcome>) {
        for (_, reply) in self.waiters {
            let answer = match &answer {
                Ok(outcome) => Ok(outcome.clone()),
                Err(error) => Err(error.duplicate()),
            };
            let _ = reply.send(answer);
        }
    }
}

/// The table as callers with one cause see it.
struct CauseStore {
    client: TableClient,
    cause: CallCause,
}

impl TableStore for CauseStore {
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        Box::pin(self.client.commit(self.cause, transaction.clone()))
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.client.scan(self.cause, prefix))
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(self.client.changes(self.cause, prefix, cursor))
    }
}
