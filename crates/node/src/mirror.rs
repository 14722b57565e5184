//! Local copy of the table rows under one prefix.

use std::collections::BTreeMap;

use redwing_provider::{Result, RowKey, TableRow, TableStore};

/// Rows under one prefix, kept up to date by reading what changed.
#[derive(Debug)]
pub struct TableMirror {
    prefix: &'static str,
    cursor: u64,
    rows: BTreeMap<RowKey, TableRow>,
}

impl TableMirror {
    /// Creates a copy that is empty until its first refresh.
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

    /// Reads what changed since the last refresh; returns the changed rows,
    /// deleted ones included.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; the copy stays as it was.
    pub async fn refresh(&mut self, table: &dyn TableStore) -> Result<Vec<TableRow>> {
        let view = table.changes(self.prefix, self.cursor).await?;
        self.cursor = self.cursor.max(view.cursor);
        for row in &view.rows {
            self.keep(row);
        }
        Ok(view.rows)
    }

    /// Takes a row from elsewhere, unless a newer one is known.
    fn keep(&mut self, row: &TableRow) {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version > row.version) {
            return;
        }
        if row.value.is_some() {
            self.rows.insert(row.key.clone(), row.clone());
        } else {
            self.rows.remove(&row.key);
        }
    }
}
