//! The platform's transactional table.

use std::future;
use std::time;

use serde::{Deserialize, Serialize};

use crate::LocalFuture;
use crate::error::Result;
use crate::limits::TableLimits;
use crate::progress::ReadProgress;

/// Key of a row, written `TABLE/NAME` or `TABLE@PART/NAME`.
///
/// A table serialises the transactions of one part. Rows that are written
/// often and independently belong in different parts; all rows whose keys
/// name no part share one. The prefix `TABLE@*/` covers the rows of all parts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RowKey(String);

impl RowKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the location of the row.
    pub fn location(&self) -> RowLocation<'_> {
        RowLocation::parse(&self.0)
    }

    /// Returns whether the key starts with `prefix`, which may cover all parts.
    pub fn is_under(&self, prefix: &str) -> bool {
        let expected = RowLocation::parse(prefix);
        if expected.part != ALL_PARTS {
            return self.0.starts_with(prefix);
        }
        let location = self.location();
        location.table == expected.table && location.name.starts_with(expected.name)
    }
}

/// Name that covers all parts in a prefix.
pub const ALL_PARTS: &str = "*";

/// Location of a row or of the rows under a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RowLocation<'a> {
    /// Name of the table.
    pub table: &'a str,
    /// Part of the table; empty for the one of the keys that name no part.
    pub part: &'a str,
    /// Name within the part.
    pub name: &'a str,
}

impl<'a> RowLocation<'a> {
    /// Parses a key or a prefix.
    pub fn parse(text: &'a str) -> Self {
        let (qualified_table, name) = text.split_once('/').unwrap_or((text, ""));
        let (table, part) = qualified_table
            .split_once('@')
            .unwrap_or((qualified_table, ""));
        Self { table, part, name }
    }
}

/// One row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Number of the commit that last wrote the row; later commits of the table
    /// have higher numbers.
    pub version: u64,
    /// Content, JSON by convention; `None` once the row is deleted.
    pub value: Option<String>,
}

/// Condition of a transaction on one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RowCondition {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have; `None` if it must not exist.
    pub version: Option<u64>,
}

/// Write of a transaction to one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableTransaction {
    conditions: Vec<RowCondition>,
    writes: Vec<RowWrite>,
}

impl TableTransaction {
    /// Returns the conditions of the transaction.
    pub fn conditions(&self) -> &[RowCondition] {
        &self.conditions
    }

    /// Returns the writes of the transaction.
    pub fn writes(&self) -> &[RowWrite] {
        &self.writes
    }

    /// Returns the keys of all conditions and writes; a key may occur twice.
    pub fn keys(&self) -> impl Iterator<Item = &RowKey> {
        let conditions = self.conditions.iter().map(|condition| &condition.key);
        conditions.chain(self.writes.iter().map(|write| &write.key))
    }

    /// Adds the conditions and writes of another transaction.
    pub fn extend(&mut self, other: &Self) {
        self.conditions.extend_from_slice(&other.conditions);
        self.writes.extend_from_slice(&other.writes);
    }

    /// Adds the condition that the row does not exist.
    pub fn require_absent(mut self, key: RowKey) -> Self {
        self.conditions.push(RowCondition { key, version: None });
        self
    }

    /// Adds the condition that the row was last written by commit `version`.
    pub fn require_version(mut self, key: RowKey, version: u64) -> Self {
        let version = Some(version);
        self.conditions.push(RowCondition { key, version });
        self
    }

    /// Adds a write of the row.
    pub fn put(mut self, key: RowKey, value: impl Into<String>) -> Self {
        let value = Some(value.into());
        self.writes.push(RowWrite { key, value });
        self
    }

    /// Adds a deletion of the row.
    pub fn delete(mut self, key: RowKey) -> Self {
        self.writes.push(RowWrite { key, value: None });
        self
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes took effect as the commit of this number.
    Committed(u64),
    /// No write took effect; contains the current rows whose conditions failed.
    Conflict(Vec<TableRow>),
}

/// Rows of one read and the number of the latest commit that they reflect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableView {
    /// The rows, in key order.
    pub rows: Vec<TableRow>,
    /// Number of the latest commit that the rows reflect.
    pub cursor: u64,
    /// When they were read, in milliseconds on a clock of the table that all its clients
    /// see; none if the table does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table_ms: Option<u64>,
}

impl TableView {
    /// Returns the number of bytes of the keys and contents.
    pub fn size(&self) -> u64 {
        let sizes = self.rows.iter().map(|row| {
            let value = row.value.as_ref().map_or(0, String::len);
            row.key.as_str().len() + value
        });
        sizes.sum::<usize>() as u64
    }
}

/// Parts of a table that hold the rows under a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartList {
    /// Prefixes that each lie in one part and together cover the requested one.
    pub prefixes: Vec<String>,
    /// Number of the latest commit before the parts were listed; none if they were
    /// not listed, because the prefix lies in one part.
    pub cursor: Option<u64>,
}

/// Rows of one page of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TablePage {
    /// The rows, in key order.
    pub rows: Vec<TableRow>,
    /// Number of the latest commit that the rows reflect.
    pub cursor: u64,
    /// When they were read, as in [`TableView::table_ms`].
    pub table_ms: Option<u64>,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// Request for one page of the rows under a prefix.
#[derive(Clone, Copy, Debug)]
pub struct PageRequest<'a> {
    /// Prefix of the keys, in one part.
    pub prefix: &'a str,
    /// Last row of the previous page; none for the first page.
    pub after: Option<&'a RowKey>,
    /// Counts the bytes of the response as they arrive.
    pub progress: &'a ReadProgress,
}

/// Request for the changes of the rows under a prefix.
#[derive(Clone, Copy, Debug)]
pub struct WatchRequest<'a> {
    /// Prefix of the keys, which may cover all parts.
    pub prefix: &'a str,
    /// Number of the commit whose later changes are read.
    pub cursor: u64,
    /// Longest time for which the table may wait for a change.
    pub wait: time::Duration,
    /// Counts the bytes of the response as they arrive.
    pub progress: &'a ReadProgress,
}

/// Transactional table of the platform.
pub trait TableStore {
    /// Returns the limits of the table; a transaction beyond them is refused.
    fn limits(&self) -> TableLimits {
        TableLimits::default()
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails with category `Unknown` if the transaction may have been applied, and
    /// with `Refused` if it is beyond the limits of the table.
    fn commit<'a>(
        &'a self,
        transaction: &'a TableTransaction,
    ) -> LocalFuture<'a, Result<CommitOutcome>>;

    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time.
    fn scan<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<TableView>>;

    /// Returns the parts over which the rows under `prefix` are distributed. The
    /// default implementation has all rows in one.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time.
    fn list_parts<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<PartList>> {
        let prefixes = vec![prefix.to_owned()];
        Box::pin(future::ready(Ok(PartList {
            prefixes,
            cursor: None,
        })))
    }

    /// Reads one page of the rows under a prefix that lies in one part. The default
    /// implementation returns all rows as one page.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time.
    fn scan_page<'a>(&'a self, request: PageRequest<'a>) -> LocalFuture<'a, Result<TablePage>> {
        Box::pin(async move {
            let view = self.scan(request.prefix).await?;
            request.progress.add(view.size());
            Ok(TablePage {
                rows: view.rows,
                cursor: view.cursor,
                table_ms: view.table_ms,
                has_more: false,
            })
        })
    }

    /// Reads the rows under `prefix` that commits after `cursor` wrote,
    /// deleted rows included.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond in time.
    fn changes<'a>(&'a self, prefix: &'a str, cursor: u64) -> LocalFuture<'a, Result<TableView>>;

    /// Reads as [`TableStore::changes`] does, but may wait for the first change. The
    /// default implementation does not wait.
    ///
    /// # Errors
    ///
    /// Fails with category `Refused` if the history after the cursor is no
    /// longer kept; the rows must then be scanned again.
    fn watch<'a>(&'a self, request: WatchRequest<'a>) -> LocalFuture<'a, Result<TableView>> {
        Box::pin(async move {
            let view = self.changes(request.prefix, request.cursor).await?;
            request.progress.add(view.size());
            Ok(view)
        })
    }
}
