//! Batches of independent transactions that are committed as one.

use std::collections::HashSet;

use crate::table::{CommitOutcome, RowKey, TableRow, TableTransaction};

/// Independent transactions that are committed as one.
///
/// Transactions are independent if no row occurs in more than one of them, in
/// a condition or in a write.
#[derive(Debug, Default)]
pub struct TransactionBatch {
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
            merged = merged.merge(transaction);
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
    /// Fails with the transaction if it shares a row with one in the batch.
    pub fn add(&mut self, transaction: TableTransaction) -> Result<(), TableTransaction> {
        if transaction.keys().any(|key| self.keys.contains(key)) {
            return Err(transaction);
        }
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
