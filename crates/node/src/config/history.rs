//! History of the configuration.

use redwing_model::admin::HistoryEntry;
use redwing_provider::{Error, Result};

use crate::config::row::{self, HistoryRecord};
use crate::config::service::{CALL_CAUSE, ConfigService};

/// Maximum number of entries returned by one request.
pub const MAX_HISTORY_ENTRIES: usize = 1_000;

impl ConfigService {
    /// Returns the latest changes, newest first, without the texts of their
    /// declarations.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>> {
        let limit = limit.min(MAX_HISTORY_ENTRIES);
        let mut entries = Vec::new();
        let mut version = self.version();
        while version > 0 && entries.len() < limit {
            let prefix = row::history_block_prefix(version);
            let view = self.client.scan(CALL_CAUSE, &prefix).await?;
            for row in view.rows.iter().rev() {
                let mut entry = parse_record(row.value.as_deref())?.entry;
                entry.declaration = None;
                entries.push(entry);
            }
            version = (version / row::VERSIONS_PER_HISTORY_BLOCK * row::VERSIONS_PER_HISTORY_BLOCK)
                .saturating_sub(1);
        }
        entries.truncate(limit);
        Ok(entries)
    }

    /// Returns the text of the declaration that was in force at `version`, or
    /// `None` if there was no such version.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond.
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
        let key = row::history_row_key(version);
        let view = self.client.scan(CALL_CAUSE, key.as_str()).await?;
        let row = view.rows.first();
        row.map(|row| parse_record(row.value.as_deref()))
            .transpose()
    }
}

fn parse_record(value: Option<&str>) -> Result<HistoryRecord> {
    serde_json::from_str(value.unwrap_or_default())
        .map_err(|error| Error::refused("read history", "table", error.to_string()))
}
