//! Calls to the table within the limits of one process: number and rate of reads, and
//! the circuit breaker.

use std::cell;
use std::rc;
use std::time;

use tokio::sync::{Semaphore, watch};
use tokio::time as timer;

use crate::LocalFuture;
use crate::breaker::{BreakerDecision, CircuitBreaker};
use crate::client::{ClientSettings, SERVICE};
use crate::clock;
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
    /// When the call was sent whose response was the first after failures.
    returned_call: watch::Sender<Option<time::Instant>>,
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
            returned_call: watch::Sender::new(None),
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

    /// Waits until the table responds after failures.
    pub(crate) async fn wait_for_return(&self) {
        let mut returned_call = self.returned_call.subscribe();
        // The sender lives as long as this value.
        let _ = returned_call.changed().await;
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
        let delay = self.read_limiter.borrow_mut().reserve(clock::now());
        timer::sleep(delay).await;
        let received = progress.bytes();
        let is_lost = || progress.bytes() == received;
        loop {
            self.admit(operation)?;
            self.counters.borrow_mut().count_read(cause);
            let sent_at = clock::now();
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
            let sent_at = clock::now();
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

    /// Makes one attempt to commit a transaction.
    pub(crate) async fn send(
        &self,
        cause: CallCause,
        transaction: &TableTransaction,
    ) -> Result<CommitOutcome> {
        self.admit("commit")?;
        self.counters.borrow_mut().count_commit(cause);
        let sent_at = clock::now();
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
        response
    }

    fn admit(&self, operation: &'static str) -> Result<()> {
        let now = clock::now();
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
        let now = clock::now();
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
