//! Limits of the table on transactions, rows and pages.
//!
//! Load pattern: a writer with more to store than one transaction may hold, such as
//! an owner after an absence of the table. Sizes are counted as rows are added, so
//! that a transaction of any size costs one pass.

use std::fmt;

use crate::error::{Error, Result};
use crate::table::{RowCondition, RowWrite, TableTransaction};

/// Bytes that an entry takes beside its key and value: names of fields, a version
/// number and punctuation. No protocol of the table takes more.
const ENTRY_BYTES: usize = 100;

/// Limits of the table on transactions, rows and pages of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableLimits {
    /// Largest number of conditions, writes and deletions of a transaction together.
    pub transaction_entries: usize,
    /// Largest size of a transaction on its way to the table.
    pub transaction_bytes: usize,
    /// Largest content of a row.
    pub row_bytes: usize,
    /// Largest table, part or name of a key.
    pub key_bytes: usize,
    /// Largest number of rows in a page of a read.
    pub page_rows: usize,
    /// Largest size of a page of a read.
    pub page_bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            transaction_entries: 100,
            transaction_bytes: 1_000_000,
            row_bytes: 65_536,
            key_bytes: 200,
            page_rows: 500,
            page_bytes: 1_000_000,
        }
    }
}

/// Size of a transaction as the table counts it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TransactionSize {
    /// Number of conditions, writes and deletions.
    pub entries: usize,
    /// Size on the way to the table, with values in base64; an upper bound.
    pub bytes: usize,
    /// Largest content of a row.
    pub largest_row: usize,
    /// Largest table, part or name of a key.
    pub largest_key: usize,
}

impl TransactionSize {
    /// Returns the size of a transaction.
    pub fn of(transaction: &TableTransaction) -> Self {
        let conditions = transaction.conditions().iter().map(Self::of_condition);
        let writes = transaction.writes().iter().map(Self::of_write);
        conditions.chain(writes).fold(Self::default(), Self::plus)
    }

    /// Returns the size of two transactions together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            entries: self.entries + other.entries,
            bytes: self.bytes + other.bytes,
            largest_row: self.largest_row.max(other.largest_row),
            largest_key: self.largest_key.max(other.largest_key),
        }
    }

    fn of_condition(condition: &RowCondition) -> Self {
        Self::of_entry(condition.key.as_str(), None)
    }

    fn of_write(write: &RowWrite) -> Self {
        Self::of_entry(write.key.as_str(), write.value.as_deref())
    }

    fn of_entry(key: &str, value: Option<&str>) -> Self {
        let value_bytes = value.map_or(0, str::len);
        let name_lengths = key.split(['/', '@']).map(str::len);
        Self {
            entries: 1,
            bytes: ENTRY_BYTES + key.len() + value_bytes.div_ceil(3) * 4,
            largest_row: value_bytes,
            largest_key: name_lengths.max().unwrap_or(0),
        }
    }
}

impl fmt::Display for TransactionSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entries,
            bytes,
            largest_row,
            ..
        } = self;
        write!(
            formatter,
            "{entries} entries, {bytes} bytes, the largest row with {largest_row} bytes"
        )
    }
}

impl TableLimits {
    /// Returns whether a transaction of this size is within the limits.
    pub fn allow(&self, size: &TransactionSize) -> bool {
        self.allow_rows(size)
            && size.entries <= self.transaction_entries
            && size.bytes <= self.transaction_bytes
    }

    /// Checks that a transaction is within the limits.
    ///
    /// # Errors
    ///
    /// Fails with category `Refused` and the size.
    pub fn check(&self, transaction: &TableTransaction, peer: &str) -> Result<()> {
        let size = TransactionSize::of(transaction);
        if self.allow(&size) {
            return Ok(());
        }
        let message = format!("{size} are beyond the limits of the table");
        Err(Error::refused("commit", peer, message))
    }

    /// Returns whether each row of a transaction of this size is within the limits,
    /// whatever the transaction as a whole is.
    pub fn allow_rows(&self, size: &TransactionSize) -> bool {
        size.largest_row <= self.row_bytes && size.largest_key <= self.key_bytes
    }
}
