//! Network link of a VM in front of the table.

use std::cell;
use std::rc;
use std::time;

use redwing_provider::table::{PageRequest, PartList, TablePage, TableView, WatchRequest};
use redwing_provider::{
    CommitOutcome, LocalFuture, ReadProgress, Result, TableLimits, TableStore, TableTransaction,
};
use tokio::time as timer;

/// Number of bytes after which another response gets its turn on the link.
const CHUNK_BYTES: u64 = 4 * 1024;

/// Properties of a link; clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkSettings {
    /// Bandwidth in bytes per second; none if it is not limited.
    pub bytes_per_second: rc::Rc<cell::Cell<Option<u64>>>,
    /// Number of the next pages whose responses never arrive.
    pub silent_pages: rc::Rc<cell::Cell<u32>>,
}

/// Table behind a link whose bandwidth all concurrent reads share.
pub struct LinkedTable {
    table: rc::Rc<dyn TableStore>,
    settings: LinkSettings,
    /// When the link has sent all that is queued.
    free_at: cell::Cell<Option<timer::Instant>>,
}

impl LinkedTable {
    /// Creates a link to `table`.
    pub fn new(table: rc::Rc<dyn TableStore>, settings: LinkSettings) -> Self {
        Self {
            table,
            settings,
            free_at: cell::Cell::new(None),
        }
    }

    /// Waits until a response has passed the link.
    async fn transfer(&self, mut bytes: u64, progress: &ReadProgress) {
        while bytes > 0 {
            let chunk = bytes.min(CHUNK_BYTES);
            if let Some(rate) = self.settings.bytes_per_second.get() {
                let now = timer::Instant::now();
                let start = self.free_at.get().map_or(now, |free_at| free_at.max(now));
                let end = start + time::Duration::from_secs_f64(chunk as f64 / rate as f64);
                self.free_at.set(Some(end));
                timer::sleep_until(end).await;
            }
            progress.add(chunk);
            bytes -= chunk;
        }
    }

    async fn transfer_view(&self, view: Result<TableView>) -> Result<TableView> {
        let view = view?;
        self.transfer(view.size(), &ReadProgress::default()).await;
        Ok(view)
    }

    /// Returns whether the response to the next page never arrives.
    fn is_next_silent(&self) -> bool {
        let silent = self.settings.silent_pages.get();
        self.settings.silent_pages.set(silent.saturating_sub(1));
        silent > 0
    }
}

impl TableStore for LinkedTable {
    fn limits(&self) -> TableLimits {
        self.table.limits()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>> {
        self.table.commit(transaction)
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(async move { self.transfer_view(self.table.scan(prefix).await).await })
    }

    fn list_parts<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<PartList>> {
        self.table.list_parts(prefix)
    }

    fn scan_page<'a>(&'a self, request: PageRequest<'a>) -> LocalFuture<'a, Result<TablePage>> {
        Box::pin(async move {
            if self.is_next_silent() {
                return std::future::pending().await;
            }
            let received = ReadProgress::default();
            let inner = PageRequest {
                progress: &received,
                ..request
            };
            let page = self.table.scan_page(inner).await?;
            self.transfer(received.bytes(), request.progress).await;
            Ok(page)
        })
    }

    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(async move {
            let view = self.table.changes(prefix, cursor).await;
            self.transfer_view(view).await
        })
    }

    fn watch<'a>(&'a self, request: WatchRequest<'a>) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(async move {
            let received = ReadProgress::default();
            let inner = WatchRequest {
                progress: &received,
                ..request
            };
            let view = self.table.watch(inner).await?;
            self.transfer(received.bytes(), request.progress).await;
            Ok(view)
        })
    }
}
