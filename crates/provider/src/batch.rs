//! Batches of independent transactions that are committed as one.

use std::collections::HashSet;

use crate::limits::{TableLimits, TransactionSize};
use crate::table::{CommitOutcome, RowKey, TableRow, TableTransaction};

/// Independent transactions that are committed as one.
///
/// Transactions are independent if no row occurs in more than one of them, in
/// a condition or in a write. Together they stay within the limits of the table.
#[derive(Debug)]
pub struct TransactionBatch {
    limits: TableLimits,
    size: TransactionSize,
    transactions: Vec<TableTransaction>,
    keys: HashSet<RowKey>,
}

/// Result of a conflict of a batch for each of its transactions.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct BatchPartition {
    /// Positions of the transactions that failed, each with its failed rows.
    pub failed: Vec<(usize, Vec<TableRow>)>,
    /// Positions of the transactions that may still succeed.
    pub remaining: Vec<usize>,
}

impl TransactionBatch {
    /// Creates a batch for a table with the given limits.
    pub fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            size: TransactionSize::default(),
            transactions: Vec::new(),
            keys: HashSet::new(),
        }
    }

    /// Returns the size of all transactions together.
    pub fn size(&self) -> TransactionSize {
        self.size
    }

    /// Returns the number of transactions.
    pub fn len(&self) -> usize {
        self.transactions.len()
    }

    /// Returns whether the batch has no transactions.
    pub fn is_empty(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Returns a transaction with the conditions and writes of all transactions.
    pub fn merged(&self) -> TableTransaction {
        let mut merged = TableTransaction::default();
        for transaction in &self.transactions {
            merged.extend(transaction);
        }
        merged
    }

    /// Separates the transactions whose conditions failed from the others.
    ///
    /// If no transaction has a condition on any of `rows`, all count as failed
    /// with these rows.
    pub fn partition(&self, rows: &[TableRow]) -> BatchPartition {
        let mut partition = BatchPartition::default();
        for (position, transaction) in self.transactions.iter().enumerate() {
            let failed_rows = condition_rows(transaction, rows);
            if failed_rows.is_empty() {
                partition.remaining.push(position);
            } else {
                partition.failed.push((position, failed_rows));
            }
        }
        if partition.failed.is_empty() {
            let all = partition.remaining.drain(..);
            partition.failed = all.map(|position| (position, rows.to_vec())).collect();
        }
        partition
    }

    /// Adds a transaction that is independent of those in the batch.
    ///
    /// # Errors
    ///
    /// Fails with the transaction if it shares a row with one in the batch, or does
    /// not fit into the batch. An empty batch takes any transaction.
    pub fn add(&mut self, transaction: TableTransaction) -> Result<(), TableTransaction> {
        let size = self.size.plus(TransactionSize::of(&transaction));
        let is_full = !self.is_empty() && !self.limits.allow(&size);
        if is_full || transaction.keys().any(|key| self.keys.contains(key)) {
            return Err(transaction);
        }
        self.size = size;
        self.keys.extend(transaction.keys().cloned());
        self.transactions.push(transaction);
        Ok(())
    }

    /// Keeps only the transactions at `positions`, which must be sorted.
    pub fn retain(&mut self, positions: &[usize]) {
        let mut position = 0;
        self.transactions.retain(|_| {
            position += 1;
            positions.binary_search(&(position - 1)).is_ok()
        });
        self.update_size();
    }

    /// Removes the second half of the transactions and returns it.
    pub fn split_half(&mut self) -> Self {
        let second = self.transactions.split_off(self.transactions.len() / 2);
        self.update_size();
        let mut half = Self::new(self.limits);
        half.keys = second
            .iter()
            .flat_map(|other| other.keys().cloned())
            .collect();
        half.transactions = second;
        half.update_size();
        half
    }

    fn update_size(&mut self) {
        let sizes = self.transactions.iter().map(TransactionSize::of);
        self.size = sizes.fold(TransactionSize::default(), TransactionSize::plus);
    }
}

fn condition_rows(transaction: &TableTransaction, rows: &[TableRow]) -> Vec<TableRow> {
    let conditions = transaction.conditions();
    let has_condition = |row: &&TableRow| conditions.iter().any(|other| other.key == row.key);
    rows.iter().filter(has_condition).cloned().collect()
}

/// Returns the number of the commit that applied `transaction` earlier.
///
/// `outcome` is that of a repeated attempt. It shows an earlier commit if the
/// row `marker` already has the content that the transaction writes.
pub fn committed_version(
    transaction: &TableTransaction,
    outcome: &CommitOutcome,
    marker: &RowKey,
) -> Option<u64> {
    let CommitOutcome::Conflict(rows) = outcome else {
        return None;
    };
    let row = rows.iter().find(|row| row.key == *marker)?;
    let write = transaction
        .writes()
        .iter()
        .find(|write| write.key == *marker)?;
    (row.value.is_some() && row.value == write.value).then_some(row.version)
}
