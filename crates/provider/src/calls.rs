//! Calls to the table within the limits of one process: number and rate of reads, and
//! the circuit breaker.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::Semaphore;
use tokio::time as timer;

use crate::LocalFuture;
use crate::breaker::{BreakerDecision, CircuitBreaker};
use crate::client::{ClientSettings, SERVICE};
use crate::counters::{CallCause, CallCounters, CauseCounts};
use crate::error::{Category, Error, Result};
use crate::progress::ReadProgress;
use crate::rate_limiter::RateLimiter;
use crate::table::{CommitOutcome, TableStore, TableTransaction, TableView, WatchRequest};

/// Table with the limits and counters that all calls of a client share.
pub(crate) struct SharedState {
    pub(crate) table: rc::Rc<dyn TableStore>,
    pub(crate) settings: ClientSettings,
    breaker: cell::RefCell<CircuitBreaker>,
    read_limiter: cell::RefCell<RateLimiter>,
    read_semaphore: Semaphore,
    counters: cell::RefCell<CallCounters>,
    last_success: cell::Cell<Option<time::Instant>>,
}

/// Kind of a read of changes, with the number of the commit after which it starts and
/// the longest wait.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TableRead {
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
    pub(crate) fn new(table: rc::Rc<dyn TableStore>, settings: ClientSettings) -> Self {
        Self {
            table,
            breaker: cell::RefCell::new(CircuitBreaker::new(settings.breaker.clone())),
            read_limiter: cell::RefCell::new(RateLimiter::new(settings.read_interval)),
            read_semaphore: Semaphore::new(settings.max_reads_in_flight),
            counters: cell::RefCell::default(),
            last_success: cell::Cell::new(None),
            settings,
        }
    }

    /// Returns when the table last responded.
    pub(crate) fn last_success(&self) -> Option<time::Instant> {
        self.last_success.get()
    }

    /// Returns whether the table has responded and the circuit breaker is closed.
    pub(crate) fn is_reachable(&self) -> bool {
        self.breaker.borrow().is_closed() && self.last_success().is_some()
    }

    /// Returns the numbers of calls so far, one entry per cause.
    pub(crate) fn counts(&self) -> Vec<CauseCounts> {
        self.counters.borrow().counts()
    }

    /// Reads changes.
    pub(crate) async fn read(
        &self,
        cause: CallCause,
        prefix: &str,
        read: TableRead,
    ) -> Result<TableView> {
        let operation = read.operation();
        let progress = ReadProgress::default();
        let call = async || {
            let call = match read {
                TableRead::Changes(cursor) => self.table.changes(prefix, cursor),
                TableRead::Watch(cursor, wait) => self.table.watch(WatchRequest {
                    prefix,
                    cursor,
                    wait,
                    progress: &progress,
                }),
            };
            let limit = read.timeout(&self.settings);
            let response = within_idle_limit(limit, &progress, call).await;
            response.unwrap_or_else(|| Err(Error::unavailable(operation, SERVICE, "timed out")))
        };
        self.call(cause, operation, call).await
    }

    /// Makes one call that reads, within the limits on the number and rate of reads.
    pub(crate) async fn call<T, F: Future<Output = Result<T>>>(
        &self,
        cause: CallCause,
        operation: &'static str,
        call: impl FnOnce() -> F,
    ) -> Result<T> {
        let permit = self.read_semaphore.acquire().await;
        let _permit = permit
            .map_err(|_| Error::unavailable(operation, SERVICE, "the table client is closed"))?;
        let delay = self.read_limiter.borrow_mut().reserve(time::Instant::now());
        timer::sleep(delay).await;
        self.admit(operation)?;
        self.counters.borrow_mut().count_read(cause);
        let sent_at = time::Instant::now();
        let response = call().await;
        self.record(cause, sent_at, &response);
        response
    }

    /// Makes one attempt to commit a transaction.
    pub(crate) async fn send(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
    ) -> Result<CommitOutcome> {
        self.admit("commit")?;
        self.counters.borrow_mut().count_commit(cause);
        let sent_at = time::Instant::now();
        let call = self.table.commit(transaction);
        let response = timer::timeout(self.settings.call_timeout, call).await;
        let response =
            response.unwrap_or_else(|_| Err(Error::unknown("commit", SERVICE, "timed out")));
        self.record(cause, sent_at, &response);
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

    /// Records the result of a call for the breaker and the counters.
    pub(crate) fn record<T>(&self, cause: CallCause, sent_at: time::Instant, response: &Result<T>) {
        let category = response.as_ref().err().map(Error::classify);
        self.counters.borrow_mut().count_result(cause, category);
        let now = time::Instant::now();
        match category {
            None | Some(Category::Refused) => {
                self.breaker.borrow_mut().record_success();
                self.last_success.set(Some(now));
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
