//! Scans: reads of all rows under a prefix, page by page.
//!
//! Load pattern: a new owner reads all rows over a link that its responses fill. What
//! limits a scan is therefore the time without progress, and not its duration; a page is
//! requested again only while nothing of it arrives.

use std::time;

use futures_util::future::FutureExt;
use futures_util::stream::{self, FuturesUnordered, StreamExt, TryStreamExt};
use tokio::time as timer;

use crate::LocalFuture;
use crate::backoff::{BackoffSettings, RetryBackoff};
use crate::calls::SharedState;
use crate::clock;
use crate::counters::CallCause;
use crate::error::{Category, Error, Result};
use crate::progress::ReadProgress;
use crate::table::{
    ALL_PARTS, PageRequest, PartList, RowKey, RowLocation, TablePage, TableStore, TableView,
};

/// Largest number of parts of a table that one scan reads at a time.
const MAX_PARTS_IN_FLIGHT: usize = 16;

/// Largest number of requests for one page that wait for their responses.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 4;

/// Delays before a page that failed is requested again.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(50),
    max_delay: time::Duration::from_millis(400),
};

/// Source of the pages of a scan.
trait PageSource {
    /// Returns the parts that hold the rows under `prefix`.
    async fn list_parts(&self, prefix: &str) -> Result<PartList>;

    /// Reads the page that follows the row `after`.
    async fn read_page(&self, prefix: &str, after: Option<&RowKey>) -> Result<TablePage>;
}

/// Reads the rows under `prefix`, which may cover all parts, without limits or retries.
///
/// # Errors
///
/// Fails if one of the reads fails.
pub async fn scan(table: &dyn TableStore, prefix: &str) -> Result<TableView> {
    scan_source(&DirectSource(table), prefix).await
}

async fn scan_source(source: &impl PageSource, prefix: &str) -> Result<TableView> {
    if RowLocation::parse(prefix).part != ALL_PARTS {
        return scan_part(source, prefix).await;
    }
    let parts = source.list_parts(prefix).await?;
    let scans = parts.prefixes.iter().map(|part| scan_part(source, part));
    let views: Vec<TableView> = stream::iter(scans)
        .buffered(MAX_PARTS_IN_FLIGHT)
        .try_collect()
        .await?;
    let first_cursor = views.iter().map(|view| view.cursor).min();
    // None comes before any time.
    let table_ms = views.iter().map(|view| view.table_ms).min();
    Ok(TableView {
        table_ms: table_ms.flatten(),
        cursor: parts.cursor.or(first_cursor).unwrap_or(0),
        rows: views.into_iter().flat_map(|view| view.rows).collect(),
    })
}

/// Reads the rows under a prefix that lies in one part.
async fn scan_part(source: &impl PageSource, prefix: &str) -> Result<TableView> {
    let mut view = TableView::default();
    let mut last: Option<RowKey> = None;
    loop {
        let page = source.read_page(prefix, last.as_ref()).await?;
        if last.is_none() {
            // The next read of changes returns those after the first page.
            view.cursor = page.cursor;
            view.table_ms = page.table_ms;
        }
        last = page.rows.last().map(|row| row.key.clone());
        view.rows.extend(page.rows);
        if !page.has_more || last.is_none() {
            return Ok(view);
        }
    }
}

/// Pages of a table without limits.
struct DirectSource<'a>(&'a dyn TableStore);

impl PageSource for DirectSource<'_> {
    async fn list_parts(&self, prefix: &str) -> Result<PartList> {
        self.0.list_parts(prefix).await
    }

    async fn read_page(&self, prefix: &str, after: Option<&RowKey>) -> Result<TablePage> {
        let request = PageRequest {
            prefix,
            after,
            progress: &ReadProgress::default(),
        };
        self.0.scan_page(request).await
    }
}

/// Scan through a table client, whose limits apply to each request.
pub(crate) struct ClientScan<'a> {
    shared: &'a SharedState,
    cause: CallCause,
    progress: &'a ReadProgress,
    /// Whether requests are repeated although nothing has arrived yet.
    is_patient: bool,
    started: time::Instant,
}

impl<'a> ClientScan<'a> {
    pub(crate) fn new(
        shared: &'a SharedState,
        cause: CallCause,
        progress: &'a ReadProgress,
    ) -> Self {
        Self {
            shared,
            cause,
            progress,
            is_patient: false,
            started: clock::now(),
        }
    }

    /// Repeats requests that fail although nothing has arrived yet.
    pub(crate) fn patient(self) -> Self {
        Self {
            is_patient: true,
            ..self
        }
    }

    pub(crate) async fn run(&self, prefix: &str) -> Result<TableView> {
        scan_source(self, prefix).await
    }

    /// Returns for how long the scan may still go on without receiving anything.
    fn idle_time_left(&self) -> time::Duration {
        let since = self.progress.received_at().unwrap_or(self.started);
        let idle = clock::elapsed_since(since.max(self.started));
        self.shared.settings.scan_timeout.saturating_sub(idle)
    }

    /// Sends one request, and sends it again each time that nothing of its responses
    /// has arrived for the hedge delay; the first successful response counts.
    async fn send_hedged<'f, T>(
        &self,
        progress: &ReadProgress,
        send: impl Fn() -> LocalFuture<'f, Result<T>>,
    ) -> Result<T> {
        let mut attempts = FuturesUnordered::new();
        attempts.push(send());
        loop {
            let received = progress.bytes();
            let idle_time_left = self.idle_time_left();
            let hedge_delay = self.shared.settings.scan_hedge_delay;
            let delay = hedge_delay.unwrap_or(idle_time_left).min(idle_time_left);
            match timer::timeout(delay, first_response(&mut attempts)).await {
                Ok(response) => return response,
                Err(_) if self.idle_time_left().is_zero() => return self.time_out(),
                Err(_) => {}
            }
            let is_stalled = progress.bytes() == received;
            if is_stalled && attempts.len() < MAX_ATTEMPTS_IN_FLIGHT {
                attempts.push(send());
            }
        }
    }

    fn time_out<T>(&self) -> Result<T> {
        let response = Err(Error::unavailable("scan", "table", "timed out"));
        self.shared.record(self.cause, self.started, &response);
        response
    }

    /// Repeats a request that failed until nothing has arrived for the limit; a scan that
    /// has not received any page fails at once, unless it is patient.
    async fn retry<T>(&self, mut send: impl AsyncFnMut() -> Result<T>) -> Result<T> {
        let mut backoff = RetryBackoff::new(RETRY);
        loop {
            let error = match send().await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let is_refused = error.classify() == Category::Refused;
            let is_first = self.progress.pages() == 0 && !self.is_patient;
            if is_refused || is_first || self.idle_time_left().is_zero() {
                return Err(error);
            }
            timer::sleep(backoff.next_delay(rand::random())).await;
        }
    }
}

impl PageSource for ClientScan<'_> {
    async fn list_parts(&self, prefix: &str) -> Result<PartList> {
        let send = || {
            self.progress.add_request();
            let call = async || self.shared.table.list_parts(prefix).await;
            self.shared
                .call(self.cause, "scan", self.progress, call)
                .boxed_local()
        };
        self.retry(async || self.send_hedged(self.progress, send).await)
            .await
    }

    async fn read_page(&self, prefix: &str, after: Option<&RowKey>) -> Result<TablePage> {
        let progress = self.progress.child();
        let send = || {
            self.progress.add_request();
            let request = PageRequest {
                prefix,
                after,
                progress: &progress,
            };
            let call = async move || self.shared.table.scan_page(request).await;
            self.shared
                .call(self.cause, "scan", request.progress, call)
                .boxed_local()
        };
        let page = self
            .retry(async || self.send_hedged(&progress, send).await)
            .await?;
        self.progress.add_page(page.rows.len());
        Ok(page)
    }
}

/// Returns the first successful response, or the error of the last failed request.
async fn first_response<T>(
    attempts: &mut FuturesUnordered<LocalFuture<'_, Result<T>>>,
) -> Result<T> {
    let mut response = Err(Error::unavailable("scan", "table", "no call was sent"));
    while let Some(next) = attempts.next().await {
        response = next;
        if response.is_ok() {
            break;
        }
    }
    response
}
