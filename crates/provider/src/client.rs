//! Client of the table that bounds the load from one process.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::{task, time as timer};

use crate::LocalFuture;
use crate::backoff::{BackoffSettings, RetryBackoff};
use crate::batch::{self, TransactionBatch};
use crate::breaker::{BreakerDecision, BreakerSettings, CircuitBreaker};
use crate::counters::{CallCause, CallCounters, CauseCounts};
use crate::error::{Category, Error, Result};
use crate::limits::{TableLimits, TransactionSize};
use crate::progress::ReadProgress;
use crate::rate_limiter::RateLimiter;
use crate::response_time::ResponseTime;
use crate::scan::ClientScan;
use crate::table::{
    CommitOutcome, RowKey, TableRow, TableStore, TableTransaction, TableView, WatchRequest,
};

/// Name of the service in errors.
const SERVICE: &str = "table";

/// Settings of a table client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Longest time that a call may take.
    pub call_timeout: time::Duration,
    /// Longest time for which a scan may receive nothing; it may consist of many reads.
    pub scan_timeout: time::Duration,
    /// Time after which a read of a scan of which nothing has arrived is sent again,
    /// over another connection; `None` if it never is.
    pub scan_hedge_delay: Option<time::Duration>,
    /// Largest number of commits in flight.
    pub max_commits_in_flight: usize,
    /// Largest number of reads in flight.
    pub max_reads_in_flight: usize,
    /// Time between the starts of two commits.
    pub commit_interval: time::Duration,
    /// Time between the starts of two reads.
    pub read_interval: time::Duration,
    /// Largest number of transactions in a batch.
    pub batch_limit: usize,
    /// Largest number of transactions in the queue.
    pub queue_capacity: usize,
    /// Time after which another call may probe a table that does not respond to the
    /// previous probe, and between two probes of one read.
    pub probe_interval: time::Duration,
    /// Settings of the circuit breaker.
    pub breaker: BreakerSettings,
    /// Delays between attempts to resolve a commit of unknown outcome.
    pub backoff: BackoffSettings,
    /// Smallest number of attempts to resolve a commit.
    pub min_resolve_attempts: u32,
    /// Time after which no attempt beyond `min_resolve_attempts` is made.
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
            probe_interval: time::Duration::from_secs(10),
            breaker: BreakerSettings::default(),
            backoff: BackoffSettings::default(),
            min_resolve_attempts: 4,
            resolve_timeout: time::Duration::from_secs(3),
        }
    }
}

/// Client of the table, shared by all parts of the control thread.
///
/// The client limits the rate, number and duration of calls, and rejects them
/// immediately while the circuit breaker is open. Independent transactions
/// that wait at the same time are committed as one batch. It must be created
/// on a thread that runs local tasks; its writer task ends once all clones are
/// dropped.
#[derive(Clone)]
pub struct TableClient {
    shared: rc::Rc<SharedState>,
    queue: mpsc::Sender<QueuedCommit>,
}

pub(crate) struct SharedState {
    pub(crate) table: rc::Rc<dyn TableStore>,
    pub(crate) settings: ClientSettings,
    breaker: cell::RefCell<CircuitBreaker>,
    read_limiter: cell::RefCell<RateLimiter>,
    read_semaphore: Semaphore,
    counters: cell::RefCell<CallCounters>,
    last_success: cell::Cell<Option<time::Instant>>,
    /// Time until the responses to commits arrived.
    commit_time: cell::Cell<ResponseTime>,
    /// When the call was sent whose response was the first after failures.
    returned_call: watch::Sender<Option<time::Instant>>,
}

struct QueuedCommit {
    cause: CallCause,
    transaction: TableTransaction,
    queued_at: time::Instant,
    /// Whether the transaction is in a batch that is being sent.
    is_sent: rc::Rc<cell::Cell<bool>>,
    reply: oneshot::Sender<Result<CommitOutcome>>,
}

impl TableClient {
    /// Creates a client of `table` and starts its writer task.
    pub fn new(table: rc::Rc<dyn TableStore>, settings: ClientSettings) -> Self {
        let (queue, queued_commits) = mpsc::channel(settings.queue_capacity);
        let shared = rc::Rc::new(SharedState {
            table,
            breaker: cell::RefCell::new(CircuitBreaker::new(settings.breaker.clone())),
            read_limiter: cell::RefCell::new(RateLimiter::new(settings.read_interval)),
            read_semaphore: Semaphore::new(settings.max_reads_in_flight),
            counters: cell::RefCell::default(),
            last_success: cell::Cell::new(None),
            commit_time: cell::Cell::default(),
            returned_call: watch::Sender::new(None),
            settings,
        });
        task::spawn_local(run_writer(shared.clone(), queued_commits));
        Self { shared, queue }
    }

    /// Returns a handle to the table whose calls count for `cause`.
    pub fn store(&self, cause: CallCause) -> rc::Rc<dyn TableStore> {
        let client = self.clone();
        rc::Rc::new(CauseStore { client, cause })
    }

    /// Returns the limits of the table.
    pub fn limits(&self) -> TableLimits {
        self.shared.table.limits()
    }

    /// Returns when the table last responded.
    pub fn last_success(&self) -> Option<time::Instant> {
        self.shared.last_success.get()
    }

    /// Returns whether the table has responded and the circuit breaker is closed.
    pub fn is_reachable(&self) -> bool {
        self.shared.breaker.borrow().is_closed() && self.last_success().is_some()
    }

    /// Returns the time after which the response to a commit is probably lost, at most
    /// `max`.
    pub fn commit_late_after(&self, max: time::Duration) -> time::Duration {
        self.shared.commit_time.get().late_after(max)
    }

    /// Waits until the table responds after failures.
    pub async fn wait_for_return(&self) {
        let mut returned_call = self.shared.returned_call.subscribe();
        // The sender lives as long as this client.
        let _ = returned_call.changed().await;
    }

    /// Returns the numbers of calls so far, one entry per cause.
    pub fn counts(&self) -> Vec<CauseCounts> {
        self.shared.counters.borrow().counts()
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the transaction may have been
    /// applied, with `Unavailable` if it was not sent, and with `Refused`, also
    /// without being sent, if it is beyond the limits of the table.
    pub async fn commit(
        &self,
        cause: CallCause,
        transaction: TableTransaction,
    ) -> Result<CommitOutcome> {
        let is_sent = rc::Rc::default();
        self.queue_commit(cause, transaction, is_sent).await
    }

    async fn queue_commit(
        &self,
        cause: CallCause,
        transaction: TableTransaction,
        is_sent: rc::Rc<cell::Cell<bool>>,
    ) -> Result<CommitOutcome> {
        let size = TransactionSize::of(&transaction);
        if !self.limits().allow(&size) {
            let message = format!("{size} are beyond the limits of the table");
            return Err(Error::refused("commit", SERVICE, message));
        }
        let (reply, response) = oneshot::channel();
        let queued = QueuedCommit {
            cause,
            transaction,
            queued_at: time::Instant::now(),
            is_sent,
            reply,
        };
        if self.queue.try_send(queued).is_err() {
            return Err(Error::unavailable(
                "commit",
                SERVICE,
                "the queue of transactions is full",
            ));
        }
        let writer_ended =
            || Error::unknown("commit", SERVICE, "the writer task ended without a result");
        response.await.unwrap_or_else(|_| Err(writer_ended()))
    }

    /// Applies a transaction as [`TableClient::commit`] does, but waits for the
    /// response for at most `limit`. An attempt that was sent by then continues; one
    /// that was not is never sent.
    ///
    /// # Errors
    ///
    /// Fails as `commit` does; after the limit with category `Unknown` if the
    /// transaction was sent, and with `Unavailable` if it was not.
    pub async fn commit_within(
        &self,
        cause: CallCause,
        transaction: TableTransaction,
        limit: time::Duration,
    ) -> Result<CommitOutcome> {
        let is_sent = rc::Rc::new(cell::Cell::new(false));
        let commit = self.queue_commit(cause, transaction, is_sent.clone());
        let response = timer::timeout(limit, commit).await;
        response.unwrap_or_else(|_| {
            Err(match is_sent.get() {
                true => Error::unknown("commit", SERVICE, "no response within the time limit"),
                // The writer leaves out what nobody waits for.
                false => Error::unavailable("commit", SERVICE, "not sent within the time limit"),
            })
        })
    }

    /// Applies a transaction, and repeats it if its outcome is unknown.
    ///
    /// The transaction must write the row `marker` under a condition on that
    /// row, with content that no other transaction writes. Then a repeated
    /// attempt is harmless, and the row shows whether an earlier one took
    /// effect, unless it is overwritten in the meantime.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if all attempts to learn the outcome
    /// failed, and as [`TableClient::commit`] does if the first attempt had no
    /// effect.
    pub async fn commit_resolved(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
        marker: &RowKey,
    ) -> Result<CommitOutcome> {
        let mut backoff = RetryBackoff::new(self.shared.settings.backoff.clone());
        let mut sent_before = false;
        let start = time::Instant::now();
        let mut attempt = 0;
        loop {
            attempt += 1;
            let error = match self.commit(cause, transaction.clone()).await {
                Ok(outcome) if sent_before => {
                    let earlier_version = batch::committed_version(transaction, &outcome, marker);
                    return Ok(earlier_version.map_or(outcome, CommitOutcome::Committed));
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) if !sent_before && error.classify() != Category::Unknown => {
                    return Err(error);
                }
                Err(error) => error,
            };
            sent_before = true;
            let settings = &self.shared.settings;
            let is_past_timeout = start.elapsed() >= settings.resolve_timeout;
            if is_past_timeout && attempt >= settings.min_resolve_attempts {
                return Err(Error::unknown("resolve commit", SERVICE, error.to_string()));
            }
            timer::sleep(backoff.next_delay(rand::random())).await;
        }
    }

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time or the circuit breaker is
    /// open.
    pub async fn scan(&self, cause: CallCause, prefix: &str) -> Result<TableView> {
        let progress = ReadProgress::default();
        ClientScan::new(&self.shared, cause, &progress)
            .run(prefix)
            .await
    }

    /// Reads as [`TableClient::scan`] does, and counts in `progress` what has arrived.
    /// Requests that fail are repeated.
    ///
    /// # Errors
    ///
    /// Fails if nothing has arrived for the limit, also of other scans with this
    /// progress, or if the table refuses a request.
    pub async fn scan_observed(
        &self,
        cause: CallCause,
        prefix: &str,
        progress: &ReadProgress,
    ) -> Result<TableView> {
        ClientScan::new(&self.shared, cause, progress)
            .patient()
            .run(prefix)
            .await
    }

    /// Reads the rows under `prefix` that commits after `cursor` wrote.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time or the circuit breaker is
    /// open.
    pub async fn changes(&self, cause: CallCause, prefix: &str, cursor: u64) -> Result<TableView> {
        self.shared
            .read(cause, prefix, TableRead::Changes(cursor))
            .await
    }

    /// Reads as [`TableClient::changes`] does, but may wait up to `wait` for
    /// the first change.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time or the circuit breaker is
    /// open, and with category `Refused` if the history is no longer kept.
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

/// Kind of a read of changes, with the number of the commit after which it starts and
/// the longest wait.
#[derive(Clone, Copy, Debug)]
enum TableRead {
    Changes(u64),
    Watch(u64, time::Duration),
}

impl TableRead {
    fn operation(self) -> &'static str {
        match self {
            Self::Changes(_) => "changes",
            Self::Watch(..) => "watch",
        }
    }

    /// Returns for how long nothing of the response may arrive.
    fn timeout(self, settings: &ClientSettings) -> time::Duration {
        match self {
            Self::Changes(_) => settings.call_timeout,
            // The table may delay the response by `wait`.
            Self::Watch(_, wait) => settings.call_timeout + wait,
        }
    }
}

impl SharedState {
    async fn read(&self, cause: CallCause, prefix: &str, read: TableRead) -> Result<TableView> {
        let operation = read.operation();
        let progress = ReadProgress::default();
        let call = async || {
            let call = match read {
                TableRead::Changes(cursor) => self.table.changes(prefix, cursor),
                TableRead::Watch(cursor, wait) => self.table.watch(WatchRequest {
                    prefix,
                    cursor,
                    // While the table fails, the response shows that it has returned.
                    wait: match self.breaker.borrow().is_healthy() {
                        true => wait,
                        false => time::Duration::ZERO,
                    },
                    progress: &progress,
                }),
            };
            let limit = read.timeout(&self.settings);
            let response = within_idle_limit(limit, &progress, call).await;
            response.unwrap_or_else(|| Err(Error::unavailable(operation, SERVICE, "timed out")))
        };
        self.call(cause, operation, &progress, call).await
    }

    /// Makes one call that reads, within the limits on the number and rate of reads.
    ///
    /// The call is sent again once the table has returned, if it was sent before and
    /// nothing has arrived in `progress` since; while the table fails, at intervals too.
    pub(crate) async fn call<T>(
        &self,
        cause: CallCause,
        operation: &'static str,
        progress: &ReadProgress,
        call: impl AsyncFn() -> Result<T>,
    ) -> Result<T> {
        let permit = self.read_semaphore.acquire().await;
        let _permit = permit
            .map_err(|_| Error::unavailable(operation, SERVICE, "the table client is closed"))?;
        let delay = self.read_limiter.borrow_mut().reserve(time::Instant::now());
        timer::sleep(delay).await;
        let received = progress.bytes();
        let is_lost = || progress.bytes() == received;
        loop {
            self.admit(operation)?;
            self.counters.borrow_mut().count_read(cause);
            let sent_at = time::Instant::now();
            tokio::select! {
                response = call() => {
                    self.record(cause, sent_at, &response);
                    return response;
                }
                response = self.probe(cause, &call, is_lost) => return response,
                () = self.wait_for_later_response(sent_at, is_lost) => {}
            }
        }
    }

    /// Sends a read again at intervals while the table fails and `is_lost` returns true,
    /// until one is answered. Each waits for one interval only: responses that take longer
    /// are left to the read itself, and the breaker does not count them.
    async fn probe<T>(
        &self,
        cause: CallCause,
        call: impl AsyncFn() -> Result<T>,
        is_lost: impl Fn() -> bool,
    ) -> Result<T> {
        let interval = self.settings.probe_interval;
        let mut ticks = timer::interval(interval);
        ticks.set_missed_tick_behavior(timer::MissedTickBehavior::Delay);
        ticks.reset();
        loop {
            ticks.tick().await;
            let is_failing = !self.breaker.borrow().is_healthy();
            if !is_failing || !is_lost() {
                continue;
            }
            self.counters.borrow_mut().count_read(cause);
            let sent_at = time::Instant::now();
            let Ok(response) = timer::timeout(interval, call()).await else {
                continue;
            };
            let category = response.as_ref().err().map(Error::classify);
            if matches!(category, None | Some(Category::Refused)) {
                self.record(cause, sent_at, &response);
                return response;
            }
        }
    }

    /// Waits until the table has responded, after failures, to a call sent later than
    /// `sent_at`, and `is_lost` returns true then: a call from before gets no response
    /// any more.
    async fn wait_for_later_response(&self, sent_at: time::Instant, is_lost: impl Fn() -> bool) {
        let mut returned_call = self.returned_call.subscribe();
        let is_later = |call: &Option<time::Instant>| *call > Some(sent_at) && is_lost();
        // The sender lives as long as the client.
        let _ = returned_call.wait_for(is_later).await;
    }

    async fn send(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
    ) -> Result<CommitOutcome> {
        self.admit("commit")?;
        self.counters.borrow_mut().count_commit(cause);
        let sent_at = time::Instant::now();
        let call = self.table.commit(transaction);
        let response = tokio::select! {
            response = timer::timeout(self.settings.call_timeout, call) => {
                response.unwrap_or_else(|_| Err(Error::unknown("commit", SERVICE, "timed out")))
            }
            () = self.wait_for_later_response(sent_at, || true) => {
                let message = "the table has responded to a later request";
                Err(Error::unknown("commit", SERVICE, message))
            }
        };
        self.record(cause, sent_at, &response);
        if response.is_ok() {
            let mut commit_time = self.commit_time.get();
            commit_time.observe(sent_at.elapsed());
            self.commit_time.set(commit_time);
        }
        response
    }

    fn admit(&self, operation: &'static str) -> Result<()> {
        let now = time::Instant::now();
        let mut breaker = self.breaker.borrow_mut();
        let settings = &self.settings;
        let probe_interval = settings.probe_interval.min(settings.call_timeout * 2);
        match breaker.admit(now, probe_interval) {
            BreakerDecision::Allow => Ok(()),
            BreakerDecision::Reject(delay) => {
                let message = format!(
                    "circuit breaker is open; next probe in {} ms",
                    delay.as_millis()
                );
                Err(Error::unavailable(operation, SERVICE, message))
            }
        }
    }

    pub(crate) fn record<T>(&self, cause: CallCause, sent_at: time::Instant, response: &Result<T>) {
        let category = response.as_ref().err().map(Error::classify);
        self.counters.borrow_mut().count_result(cause, category);
        let now = time::Instant::now();
        match category {
            None | Some(Category::Refused) => {
                let has_returned = !self.breaker.borrow().is_healthy();
                self.breaker.borrow_mut().record_success();
                self.last_success.set(Some(now));
                if has_returned {
                    self.returned_call.send_replace(Some(sent_at));
                }
            }
            // The table has responded since the call was sent.
            Some(_) if self.last_success.get() > Some(sent_at) => {}
            Some(Category::Unavailable | Category::Unknown) => {
                let jitter = rand::random();
                self.breaker.borrow_mut().record_failure(now, jitter);
            }
        }
    }
}

/// Waits for a response while it makes progress; returns none once nothing of it has
/// arrived for `limit`.
async fn within_idle_limit<T>(
    limit: time::Duration,
    progress: &ReadProgress,
    call: LocalFuture<'_, T>,
) -> Option<T> {
    let mut call = call;
    loop {
        let received = progress.bytes();
        match timer::timeout(limit, &mut call).await {
            Ok(response) => return Some(response),
            Err(_) if progress.bytes() == received => return None,
            Err(_) => {}
        }
    }
}

/// Commits queued transactions in batches until all clients are dropped.
async fn run_writer(shared: rc::Rc<SharedState>, mut queued_commits: mpsc::Receiver<QueuedCommit>) {
    let semaphore = sync::Arc::new(Semaphore::new(shared.settings.max_commits_in_flight));
    let mut limiter = RateLimiter::new(shared.settings.commit_interval);
    let mut deferred = None;
    loop {
        let first = match deferred.take() {
            Some(queued) => queued,
            None => match queued_commits.recv().await {
                Some(queued) => queued,
                None => return,
            },
        };
        let Ok(permit) = semaphore.clone().acquire_owned().await else {
            return;
        };
        timer::sleep(limiter.reserve(time::Instant::now())).await;
        let mut batch = CommitBatch::new(shared.table.limits());
        deferred = batch.fill(first, &mut queued_commits, &shared.settings);
        let shared = shared.clone();
        task::spawn_local(async move {
            batch.commit(&shared).await;
            drop(permit);
        });
    }
}

/// Transactions that are committed as one, with the callers that wait.
struct CommitBatch {
    transactions: TransactionBatch,
    waiters: Vec<(CallCause, oneshot::Sender<Result<CommitOutcome>>)>,
}

impl CommitBatch {
    fn new(limits: TableLimits) -> Self {
        Self {
            transactions: TransactionBatch::new(limits),
            waiters: Vec::new(),
        }
    }

    /// Adds queued transactions; returns the first that depends on one added, or
    /// does not fit beside them.
    fn fill(
        &mut self,
        first: QueuedCommit,
        queued_commits: &mut mpsc::Receiver<QueuedCommit>,
        settings: &ClientSettings,
    ) -> Option<QueuedCommit> {
        let mut next = Some(first);
        while let Some(queued) = next {
            if let Some(dependent) = self.add(queued, settings.call_timeout) {
                return Some(dependent);
            }
            if self.transactions.len() >= settings.batch_limit {
                return None;
            }
            next = queued_commits.try_recv().ok();
        }
        None
    }

    fn add(&mut self, queued: QueuedCommit, max_wait: time::Duration) -> Option<QueuedCommit> {
        if queued.reply.is_closed() {
            return None;
        }
        if queued.queued_at.elapsed() > max_wait {
            let error = Error::unavailable("commit", SERVICE, "not sent within the call timeout");
            // The caller may have dropped its future.
            let _ = queued.reply.send(Err(error));
            return None;
        }
        match self.transactions.add(queued.transaction) {
            Ok(()) => {
                queued.is_sent.set(true);
                self.waiters.push((queued.cause, queued.reply));
                None
            }
            Err(transaction) => Some(QueuedCommit {
                transaction,
                ..queued
            }),
        }
    }

    /// Commits the batch; transactions whose conditions fail are removed and the
    /// rest is sent again. A batch that the table refuses is sent in halves, so that
    /// only the transaction that it refuses fails.
    async fn commit(self, shared: &SharedState) {
        let mut batches = vec![self];
        while let Some(mut batch) = batches.pop() {
            let Some((cause, _)) = batch.waiters.first() else {
                continue;
            };
            match shared.send(*cause, &batch.transactions.merged()).await {
                Ok(CommitOutcome::Conflict(rows)) => {
                    batch.remove_failed(&rows);
                    batches.push(batch);
                }
                Err(error) if error.classify() == Category::Refused && batch.waiters.len() > 1 => {
                    batches.push(batch.split_half());
                    batches.push(batch);
                }
                response => batch.reply_all(response),
            }
        }
    }

    fn split_half(&mut self) -> Self {
        let transactions = self.transactions.split_half();
        let waiters = self.waiters.split_off(self.transactions.len());
        Self {
            transactions,
            waiters,
        }
    }

    fn remove_failed(&mut self, rows: &[TableRow]) {
        let partition = self.transactions.partition(rows);
        self.transactions.retain(&partition.remaining);
        for (position, rows) in partition.failed.into_iter().rev() {
            let (_, reply) = self.waiters.remove(position);
            let _ = reply.send(Ok(CommitOutcome::Conflict(rows)));
        }
    }

    fn reply_all(self, response: Result<CommitOutcome>) {
        for (_, reply) in self.waiters {
            let response = match &response {
                Ok(outcome) => Ok(outcome.clone()),
                Err(error) => Err(error.duplicate()),
            };
            let _ = reply.send(response);
        }
    }
}

/// Handle to the table whose calls count for one cause.
struct CauseStore {
    client: TableClient,
    cause: CallCause,
}

impl TableStore for CauseStore {
    fn limits(&self) -> TableLimits {
        self.client.limits()
    }

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
