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
    /// When a read was last sent.
    requested_at: cell::Cell<Option<BootTime>>,
}

impl<T: DeserializeOwned + 'static> BoardReader<T> {
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
            requested_at: cell::Cell::default(),
        }
    }

    /// Returns the content, unless it is too old or there is none; starts a read if the
    /// interval has elapsed.
    pub(super) fn current(self: &rc::Rc<Self>) -> Option<sync::Arc<T>> {
        let now = clock::boot_now();
        let is_older = |at: Option<BootTime>, age: time::Duration| {
            at.is_none_or(|at| now.saturating_since(at) >= age)
        };
        if is_older(self.requested_at.get(), self.interval) {
            self.requested_at.set(Some(now));
            let reader = rc::Rc::clone(self);
            tokio::task::spawn_local(async move { reader.read().await });
        }
        if is_older(self.read_at.get(), self.max_age) {
            return None;
        }
        self.content.borrow().clone()
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
                self.content.replace(Some(sync::Arc::new(content)));
                self.read_at.set(Some(requested_at));
            }
            Err(error) => {
                log_job_event!(info, event::ROW_UNREAD, row = self.key, error = error);
            }
        }
    }
}
