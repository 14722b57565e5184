//! Reads of earlier versions.

use redwing_model::admin::HistoryEntry;
use redwing_provider::{Error, Result};

use crate::config::desk::{CAUSE, ConfigDesk};
use crate::config::row::{self, HistoryRecord};

/// Largest number of entries that one request gets.
pub const MAX_ENTRIES: usize = 1_000;

impl ConfigDesk {
    /// Returns the latest changes, the last one first, without the texts of
    /// their declarations.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>> {
        let limit = limit.min(MAX_ENTRIES);
        let mut entries = Vec::new();
        let mut version = self.version();
        while version > 0 && entries.len() < limit {
            let block = row::history_block(version);
            let view = self.client.scan(CAUSE, &block).await?;
            for row in view.rows.iter().rev() {
                let mut entry = parse(row.value.as_deref())?.entry;
                entry.declaration = None;
                entries.push(entry);
            }
            version = (version / row::HISTORY_BLOCK * row::HISTORY_BLOCK).saturating_sub(1);
        }
        entries.truncate(limit);
        Ok(entries)
    }

    /// Returns the text of the declaration that was in force at `version`, or
    /// `None` if there was no such version.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer.
    pub async fn declaration_at(&self, version: u64) -> Result<Option<String>> {
        let Some(record) = self.history_record(version).await? else {
            return Ok(None);
        };
        if let Some(text) = record.entry.declaration {
            return Ok(Some(text));
        }
        let earlier = self.history_record(record.declaration_version).await?;
        Ok(earlier.and_then(|earlier| earlier.entry.declaration))
    }

    async fn history_record(&self, version: u64) -> Result<Option<HistoryRecord>> {
        let key = row::history_key(version);
        let view = self.client.scan(CAUSE, key.as_str()).await?;
        let row = view.rows.first();
        row.map(|row| parse(row.value.as_deref())).transpose()
    }
}

fn parse(value: Option<&str>) -> Result<HistoryRecord> {
    serde_json::from_str(value.unwrap_or_default())
        .map_err(|error| Error::refused("read history", "table", error.to_string()))
}
