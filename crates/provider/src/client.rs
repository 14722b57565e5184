//! Client of the table that bounds the load from one process.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::{mpsc, oneshot};
use tokio::{task, time as timer};

use crate::LocalFuture;
use crate::backoff::{BackoffSettings, RetryBackoff};
use crate::batch;
use crate::breaker::BreakerSettings;
use crate::calls::{SharedState, TableRead};
use crate::clock;
use crate::counters::{CallCause, CauseCounts};
use crate::error::{Category, Error, Result};
use crate::limits::TableLimits;
use crate::progress::ReadProgress;
use crate::scan::ClientScan;
use crate::table::{CommitOutcome, RowKey, TableStore, TableTransaction, TableView};
use crate::writer::{self, QueuedCommit};

/// Name of the service in errors.
pub(crate) const SERVICE: &str = "table";

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

impl TableClient {
    /// Creates a client of `table` and starts its writer task.
    pub fn new(table: rc::Rc<dyn TableStore>, settings: ClientSettings) -> Self {
        let (queue, queued_commits) = mpsc::channel(settings.queue_capacity);
        let shared = rc::Rc::new(SharedState::new(table, settings));
        task::spawn_local(writer::run(shared.clone(), queued_commits));
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
        self.shared.last_success()
    }

    /// Returns whether the table has responded and the circuit breaker is closed.
    pub fn is_reachable(&self) -> bool {
        self.shared.is_reachable()
    }

    /// Waits until the table responds after failures.
    pub async fn wait_for_return(&self) {
        self.shared.wait_for_return().await;
    }

    /// Returns the numbers of calls so far, one entry per cause.
    pub fn counts(&self) -> Vec<CauseCounts> {
        self.shared.counts()
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
        self.limits().check(&transaction, SERVICE)?;
        let (reply, response) = oneshot::channel();
        let queued = QueuedCommit {
            cause,
            transaction,
            queued_at: clock::now(),
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
        let start = clock::now();
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
            let is_past_timeout = clock::elapsed_since(start) >= settings.resolve_timeout;
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
