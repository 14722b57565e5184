//! Groups of independent transactions that are committed as one.

use std::collections::HashSet;

use crate::table::{CommitOutcome, RowKey, TableRow, TableTransaction};

/// Independent transactions, merged into one.
///
/// Transactions are independent if no row occurs in more than one of them,
/// neither in a condition nor in a write.
#[derive(Debug, Default)]
pub struct TransactionBatch {
    members: Vec<TableTransaction>,
    keys: HashSet<RowKey>,
}

/// What a conflict of the merged transaction means for its members.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct BatchPartition {
    /// Members that fail, by position, each with its own failed rows.
    pub failed: Vec<(usize, Vec<TableRow>)>,
    /// Members that may still succeed, by position.
    pub remaining: Vec<usize>,
}

impl TransactionBatch {
    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the transaction that does what all members do.
    pub fn merged(&self) -> TableTransaction {
        let mut merged = TableTransaction::default();
        for member in &self.members {
            merged = merged.merge(member);
        }
        merged
    }

    /// Tells the members apart whose conditions failed.
    ///
    /// If `rows` name none of them, all count as failed with these rows.
    pub fn split(&self, rows: &[TableRow]) -> BatchPartition {
        let mut split = BatchPartition::default();
        for (position, member) in self.members.iter().enumerate() {
            let own = rows_of(member, rows);
            if own.is_empty() {
                split.remaining.push(position);
            } else {
                split.failed.push((position, own));
            }
        }
        if split.failed.is_empty() {
            let all = split.remaining.drain(..);
            split.failed = all.map(|position| (position, rows.to_vec())).collect();
        }
        split
    }

    /// Adds a transaction, or returns it if it depends on a member.
    ///
    /// # Errors
    ///
    /// Fails with the transaction if it shares a row with a member.
    pub fn add(&mut self, transaction: TableTransaction) -> Result<(), TableTransaction> {
        if transaction.keys().any(|key| self.keys.contains(key)) {
            return Err(transaction);
        }
        self.keys.extend(transaction.keys().cloned());
        self.members.push(transaction);
        Ok(())
    }

    /// Keeps only the members at `positions`, which are in order.
    pub fn retain(&mut self, positions: &[usize]) {
        let mut position = 0;
        self.members.retain(|_| {
            position += 1;
            positions.binary_search(&(position - 1)).is_ok()
        });
    }
}

fn rows_of(transaction: &TableTransaction, rows: &[TableRow]) -> Vec<TableRow> {
    let conditions = transaction.conditions();
    let concerned = |row: &&TableRow| conditions.iter().any(|other| other.key == row.key);
    rows.iter().filter(concerned).cloned().collect()
}

/// Returns whether `outcome` shows that `transaction` took effect earlier:
/// the row `proof` already has the content that it would write.
pub fn committed_version(
    transaction: &TableTransaction,
    outcome: &CommitOutcome,
    proof: &RowKey,
) -> Option<u64> {
    let CommitOutcome::Conflict(rows) = outcome else {
        return None;
    };
    let row = rows.iter().find(|row| row.key == *proof)?;
    let write = transaction
        .writes()
        .iter()
        .find(|write| write.key == *proof)?;
    (row.value.is_some() && row.value == write.value).then_some(row.version)
}
