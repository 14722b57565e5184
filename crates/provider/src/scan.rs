//! Scans: reads of all rows under a prefix, page by page.

use futures_util::stream::{self, StreamExt, TryStreamExt};

use crate::error::Result;
use crate::progress::ReadProgress;
use crate::table::{ALL_PARTS, PageRequest, RowKey, RowLocation, TableStore, TableView};

/// Largest number of parts of a table that one scan reads at a time.
const MAX_PARTS_IN_FLIGHT: usize = 64;

/// Reads the rows under `prefix`, which may cover all parts, and counts in `progress`
/// what has arrived.
///
/// # Errors
///
/// Fails if one of the reads fails.
pub async fn scan(
    table: &dyn TableStore,
    prefix: &str,
    progress: &ReadProgress,
) -> Result<TableView> {
    TableScanner { table, progress }.scan(prefix).await
}

/// Reads all rows under a prefix.
pub(crate) struct TableScanner<'a> {
    pub(crate) table: &'a dyn TableStore,
    pub(crate) progress: &'a ReadProgress,
}

impl TableScanner<'_> {
    /// Reads the rows under `prefix`, which may cover all parts.
    pub(crate) async fn scan(&self, prefix: &str) -> Result<TableView> {
        if RowLocation::parse(prefix).part != ALL_PARTS {
            return self.scan_part(prefix).await;
        }
        self.progress.add_request();
        let parts = self.table.list_parts(prefix).await?;
        let scans = parts.prefixes.iter().map(|part| self.scan_part(part));
        let views: Vec<TableView> = stream::iter(scans)
            .buffered(MAX_PARTS_IN_FLIGHT)
            .try_collect()
            .await?;
        let first_cursor = views.iter().map(|view| view.cursor).min();
        Ok(TableView {
            cursor: parts.cursor.or(first_cursor).unwrap_or(0),
            rows: views.into_iter().flat_map(|view| view.rows).collect(),
        })
    }

    /// Reads the rows under a prefix that lies in one part.
    async fn scan_part(&self, prefix: &str) -> Result<TableView> {
        let mut view = TableView::default();
        let mut last: Option<RowKey> = None;
        loop {
            self.progress.add_request();
            let request = PageRequest {
                prefix,
                after: last.as_ref(),
                progress: self.progress,
            };
            let page = self.table.scan_page(request).await?;
            self.progress.add_page(page.rows.len());
            if last.is_none() {
                // The next read of changes returns those after the first page.
                view.cursor = page.cursor;
            }
            last = page.rows.last().map(|row| row.key.clone());
            view.rows.extend(page.rows);
            if !page.has_more || last.is_none() {
                return Ok(view);
            }
        }
    }
}
