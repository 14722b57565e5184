//! Rows that the owner publishes for all processes, as read from the table.

use std::cell;
use std::rc;
use std::sync;
use std::time;

use redwing_jobs::BootTime;
use redwing_provider::{CallCause, TableClient};
use serde::de::DeserializeOwned;

use crate::clock;
use crate::event;
use crate::log_job_event;
use crate::row;

/// Time after which a row that was expected to change is read again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Reads one row from the table, in the background of the requests of callers.
pub(super) struct BoardReader<T> {
    client: TableClient,
    key: &'static str,
    interval: time::Duration,
    /// Maximum age of the latest successful read; older content is not used.
    max_age: time::Duration,
    content: cell::RefCell<Option<sync::Arc<T>>>,
    /// When the latest successful read was sent.
    read_at: cell::Cell<Option<BootTime>>,
    /// When the next read is due.
    next_read: cell::Cell<BootTime>,
    /// Until when the row is expected to change.
    awaited_until: cell::Cell<BootTime>,
}

impl<T: DeserializeOwned + PartialEq + 'static> BoardReader<T> {
    /// Creates a reader of the row `key` without content yet.
    pub(super) fn new(
        client: TableClient,
        key: &'static str,
        interval: time::Duration,
        max_age: time::Duration,
    ) -> Self {
        Self {
            client,
            key,
            interval,
            max_age,
            content: cell::RefCell::default(),
            read_at: cell::Cell::default(),
            next_read: cell::Cell::default(),
            awaited_until: cell::Cell::default(),
        }
    }

    /// Returns the content, unless it is too old or there is none; starts a read if one
    /// is due.
    pub(super) fn current(self: &rc::Rc<Self>) -> Option<sync::Arc<T>> {
        let now = clock::boot_now();
        if now >= self.next_read.get() {
            self.next_read.set(now + self.interval);
            let reader = rc::Rc::clone(self);
            tokio::task::spawn_local(async move { reader.read().await });
        }
        let read_at = self.read_at.get()?;
        if now.saturating_since(read_at) >= self.max_age {
            return None;
        }
        self.content.borrow().clone()
    }

    /// Makes the next read due at `at`, when the row is expected to have changed.
    pub(super) fn expect_change(&self, at: BootTime) {
        self.next_read.set(at);
        self.awaited_until.set(at + self.interval);
    }

    async fn read(&self) {
        let requested_at = clock::boot_now();
        let view = match self.client.scan(CallCause::Job, self.key).await {
            Ok(view) => view,
            Err(error) => {
                log_job_event!(info, event::ROW_UNREAD, row = self.key, error = error);
                return;
            }
        };
        let Some(entry) = view.rows.first() else {
            return;
        };
        match row::read(entry) {
            Ok(content) => {
                let content = Some(sync::Arc::new(content));
                let previous = self.content.replace(content.clone());
                if previous == content && requested_at < self.awaited_until.get() {
                    self.next_read.set(requested_at + RETRY_INTERVAL);
                }
                self.read_at.set(Some(requested_at));
            }
            Err(error) => {
                log_job_event!(info, event::ROW_UNREAD, row = self.key, error = error);
            }
        }
    }
}
