//! Follows the rows under a prefix.

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

/// Longest time that the table may wait for a change.
pub const WATCH_WAIT: time::Duration = time::Duration::from_millis(1_000);

/// Shortest time between two reads that brought nothing.
const LEAST_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Delays between reads that failed.
const RETRY: BackoffSettings = BackoffSettings {
    initial_delay: time::Duration::from_millis(100),
    max_delay: time::Duration::from_millis(500),
};

/// Updates that may wait for their receiver.
const CHANNEL_CAPACITY: usize = 64;

/// What a read brought.
#[derive(Clone, Debug)]
pub struct TableUpdate {
    /// When the read was sent: the rows are not older.
    pub asked_at: BootTime,
    /// Whether these are all rows; else only those that changed.
    pub is_complete: bool,
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// Starts to follow the rows under `prefix`; ends once the receiver is closed.
///
/// With a `start` the rows up to it are known, and only later changes come.
/// The table may wait up to `wait` for a change: then the rows are known to
/// be no older than twice that time.
pub fn follow(
    client: &TableClient,
    cause: CallCause,
    prefix: &str,
    start: Option<u64>,
    wait: time::Duration,
) -> mpsc::Receiver<TableUpdate> {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let follower = RowFollower {
        client: client.clone(),
        cause,
        prefix: prefix.to_owned(),
        cursor: start,
        wait,
        sender,
    };
    tokio::task::spawn_local(follower.run());
    receiver
}

struct RowFollower {
    client: TableClient,
    cause: CallCause,
    prefix: String,
    /// Latest commit that was taken in; none before the first scan.
    cursor: Option<u64>,
    wait: time::Duration,
    sender: mpsc::Sender<TableUpdate>,
}

impl RowFollower {
    async fn run(mut self) {
        let mut backoff = RetryBackoff::new(RETRY);
        let mut is_lost = false;
        loop {
            let asked_at = clock::boot_now();
            let answer = tokio::select! {
                answer = self.read() => answer,
                () = self.sender.closed() => return,
            };
            match answer {
                Ok(view) => {
                    if is_lost {
                        is_lost = false;
                        backoff = RetryBackoff::new(RETRY);
                        log_job_event!(info, event::TABLE_BACK, rows = self.prefix);
                    }
                    if self.pass_on(asked_at, view).await.is_err() {
                        return;
                    }
                }
                Err(error) if error.classify() == Category::Refused => {
                    // The history is gone: all rows are read anew.
                    self.cursor = None;
                    timer::sleep(LEAST_INTERVAL).await;
                }
                Err(error) => {
                    if !is_lost {
                        is_lost = true;
                        log_job_event!(warn, event::TABLE_LOST, rows = self.prefix, error = error);
                    }
                    timer::sleep(backoff.next_delay(rand::random())).await;
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
                    .watch(self.cause, &self.prefix, cursor, self.wait);
                watch.await
            }
        }
    }

    async fn pass_on(&mut self, asked_at: BootTime, view: TableView) -> Result<(), ()> {
        let is_complete = self.cursor.is_none();
        self.cursor = Some(view.cursor.max(self.cursor.unwrap_or(0)));
        let is_empty = view.rows.is_empty();
        let update = TableUpdate {
            asked_at,
            is_complete,
            rows: view.rows,
        };
        self.sender.send(update).await.map_err(|_| ())?;
        let taken = clock::boot_now().saturating_since(asked_at);
        if is_empty && !is_complete && taken < LEAST_INTERVAL {
            timer::sleep(LEAST_INTERVAL).await;
        }
        Ok(())
    }
}

/// Logs that a row cannot be read and is left out.
pub fn log_malformed(key: &RowKey, error: &impl std::fmt::Display) {
    log_job_event!(
        warn,
        event::ROW_MALFORMED,
        row = key.as_str(),
        error = error
    );
}
