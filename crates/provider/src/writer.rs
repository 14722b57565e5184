//! Writer of the table client: commits the transactions that wait at the same time as
//! one batch.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::{task, time as timer};

use crate::batch::TransactionBatch;
use crate::calls::SharedState;
use crate::client::{ClientSettings, SERVICE};
use crate::clock;
use crate::counters::CallCause;
use crate::error::{Category, Error, Result};
use crate::limits::TableLimits;
use crate::rate_limiter::RateLimiter;
use crate::table::{CommitOutcome, TableRow, TableTransaction};

/// Transaction that waits to be sent.
pub(crate) struct QueuedCommit {
    pub(crate) cause: CallCause,
    pub(crate) transaction: TableTransaction,
    pub(crate) queued_at: time::Instant,
    /// Whether the transaction is in a batch that is being sent.
    pub(crate) is_sent: rc::Rc<cell::Cell<bool>>,
    pub(crate) reply: oneshot::Sender<Result<CommitOutcome>>,
}

/// Commits queued transactions in batches until all clients are dropped.
pub(crate) async fn run(
    shared: rc::Rc<SharedState>,
    mut queued_commits: mpsc::Receiver<QueuedCommit>,
) {
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
        timer::sleep(limiter.reserve(clock::now())).await;
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
        if clock::elapsed_since(queued.queued_at) > max_wait {
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
