//! Follows the rows under a prefix: reads them once, then watches for changes.

use std::time;

use redwing_jobs::time::BootTime;
use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
use redwing_provider::table::TableView;
use redwing_provider::{CallCause, Category, RowKey, TableClient, TableRow};
use tokio::sync::mpsc;
use tokio::time as timer;

use crate::clock;
use crate::event;
use crate::log_job_event;

/// Maximum time that the table waits for a change.
pub const WATCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Minimum time between two reads without changes.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Delays after failed reads. A read is often the first call to show that the table has
/// returned; the breaker limits how many are sent until then.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(100),
    max_delay: time::Duration::from_millis(100),
};

/// Maximum number of updates that wait for the receiver.
const CHANNEL_CAPACITY: usize = 64;

/// Result of a successful read.
#[derive(Clone, Debug)]
pub struct TableUpdate {
    /// When the read was sent; the rows are at least as recent.
    pub requested_at: BootTime,
    /// When the table read the rows, on its clock; none if it does not tell.
    pub table_ms: Option<u64>,
    /// Whether `rows` has all rows; otherwise only those that changed.
    pub is_complete: bool,
    /// Rows; a deleted row has no value.
    pub rows: Vec<TableRow>,
}

/// Starts to follow the rows under `prefix`; ends once the receiver is closed.
///
/// With a `start` cursor, only changes after that commit are sent. The table may
/// wait up to `watch_timeout` for a change, so the receiver's rows are at most
/// twice that time old while the table is reachable.
pub fn follow(
    client: &TableClient,
    cause: CallCause,
    prefix: &str,
    start: Option<u64>,
    watch_timeout: time::Duration,
) -> mpsc::Receiver<TableUpdate> {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let follower = RowFollower {
        client: client.clone(),
        cause,
        prefix: prefix.to_owned(),
        cursor: start,
        watch_timeout,
        sender,
    };
    tokio::task::spawn_local(follower.run());
    receiver
}

/// Task that reads the rows and sends the updates.
struct RowFollower {
    client: TableClient,
    cause: CallCause,
    prefix: String,
    /// Latest commit that was sent to the receiver; none before the first scan.
    cursor: Option<u64>,
    watch_timeout: time::Duration,
    sender: mpsc::Sender<TableUpdate>,
}

impl RowFollower {
    async fn run(mut self) {
        let mut backoff = RetryBackoff::new(RETRY);
        let mut is_unreachable = false;
        loop {
            let requested_at = clock::boot_now();
            let result = tokio::select! {
                result = self.read() => result,
                () = self.sender.closed() => return,
            };
            match result {
                Ok(view) => {
                    if is_unreachable {
                        is_unreachable = false;
                        backoff = RetryBackoff::new(RETRY);
                        log_job_event!(info, event::TABLE_BACK, rows = self.prefix);
                    }
                    if self.forward(requested_at, view).await.is_err() {
                        return;
                    }
                }
                Err(error) if error.classify() == Category::Refused => {
                    // The table has discarded the history since the cursor, or more has
                    // changed than one response holds: the next read scans all rows.
                    self.cursor = None;
                    timer::sleep(MIN_INTERVAL).await;
                }
                Err(error) => {
                    if !is_unreachable {
                        is_unreachable = true;
                        log_job_event!(warn, event::TABLE_LOST, rows = self.prefix, error = error);
                    }
                    let delay = backoff.next_delay(rand::random());
                    // The other clause ends the wait.
                    let _ = timer::timeout(delay, self.client.wait_for_return()).await;
                }
            }
        }
    }

    async fn read(&self) -> redwing_provider::Result<TableView> {
        match self.cursor {
            None => self.client.scan(self.cause, &self.prefix).await,
            Some(cursor) => {
                let watch = self
                    .client
                    .watch(self.cause, &self.prefix, cursor, self.watch_timeout);
                watch.await
            }
        }
    }

    async fn forward(&mut self, requested_at: BootTime, view: TableView) -> Result<(), ()> {
        let is_complete = self.cursor.is_none();
        self.cursor = Some(view.cursor.max(self.cursor.unwrap_or(0)));
        let is_empty = view.rows.is_empty();
        let update = TableUpdate {
            requested_at,
            table_ms: view.table_ms,
            is_complete,
            rows: view.rows,
        };
        self.sender.send(update).await.map_err(|_| ())?;
        let elapsed = clock::boot_now().saturating_since(requested_at);
        if is_empty && !is_complete && elapsed < MIN_INTERVAL {
            timer::sleep(MIN_INTERVAL).await;
        }
        Ok(())
    }
}

/// Logs that a row is malformed and skipped.
pub fn log_malformed(key: &RowKey, error: &impl std::fmt::Display) {
    log_job_event!(
        warn,
        event::ROW_MALFORMED,
        row = key.as_str(),
        error = error
    );
}
