//! Local cache of the table rows under one key prefix.

use std::collections::BTreeMap;

use redwing_provider::{Result, RowKey, TableRow, TableStore};

/// Cached rows under one key prefix, updated by reading changes.
#[derive(Debug)]
pub struct TableCache {
    prefix: &'static str,
    cursor: u64,
    rows: BTreeMap<RowKey, TableRow>,
}

impl TableCache {
    /// Creates a cache that is empty until its first refresh.
    pub fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            cursor: 0,
            rows: BTreeMap::new(),
        }
    }

    /// Returns the row of `key`, if it exists.
    pub fn row(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(&RowKey::new(key))
    }

    /// Returns the existing rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = &TableRow> {
        self.rows.values()
    }

    /// Reads the changes since the last refresh; returns the changed rows,
    /// including deleted ones.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond; the cache is unchanged.
    pub async fn refresh(&mut self, table: &dyn TableStore) -> Result<Vec<TableRow>> {
        let view = table.changes(self.prefix, self.cursor).await?;
        self.cursor = self.cursor.max(view.cursor);
        for row in &view.rows {
            self.apply(row);
        }
        Ok(view.rows)
    }

    /// Applies a changed row, unless a newer one is cached.
    fn apply(&mut self, row: &TableRow) {
        let cached = self.rows.get(&row.key);
        if cached.is_some_and(|cached| cached.version > row.version) {
            return;
        }
        if row.value.is_some() {
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
        }
    }
}
