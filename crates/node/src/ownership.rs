//! Owners of the tokens, as read from the table.

use std::collections::{BTreeMap, BTreeSet};

use redwing_membership::{OwnershipRecord, ownership};
use redwing_model::NodeIncarnation;
use redwing_policy::{TokenId, TokenPool};
use redwing_provider::{RowKey, TableRow, TableTransaction};

/// Ownership record of one pool, with the row version that a change requires.
#[derive(Debug)]
struct OwnershipRow {
    version: u64,
    record: OwnershipRecord,
}

/// Owners of all tokens.
#[derive(Debug)]
pub struct OwnershipTable {
    own: NodeIncarnation,
    rows: BTreeMap<TokenPool, OwnershipRow>,
    owned_tokens: BTreeSet<TokenId>,
}

impl OwnershipTable {
    /// Creates an empty table for the process `own`.
    pub fn new(own: NodeIncarnation) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            owned_tokens: BTreeSet::new(),
        }
    }

    /// Returns the tokens that this process owns.
    pub fn owned_tokens(&self) -> &BTreeSet<TokenId> {
        &self.owned_tokens
    }

    /// Returns the ownership record of `pool`.
    pub fn record(&self, pool: &TokenPool) -> Option<&OwnershipRecord> {
        self.rows.get(pool).map(|row| &row.record)
    }

    /// Returns the pools that have a row.
    pub fn pools(&self) -> impl Iterator<Item = &TokenPool> {
        self.rows.keys()
    }

    /// Returns every incarnation that owns a token.
    pub fn owners(&self) -> BTreeSet<NodeIncarnation> {
        let owners = self.rows.values().flat_map(|row| row.record.owners());
        owners.cloned().collect()
    }

    /// Applies changed rows and returns the keys of malformed ones, for which
    /// the previous record is kept.
    pub fn update(&mut self, changed: &[TableRow]) -> Vec<RowKey> {
        let mut malformed = Vec::new();
        for row in changed {
            let Some(pool) = ownership::pool_of_key(row.key.as_str()) else {
                malformed.push(row.key.clone());
                continue;
            };
            match &row.value {
                None => self.remove(&pool),
                Some(value) => match serde_json::from_str(value) {
                    Ok(record) => self.insert(pool, row.version, record),
                    Err(_) => malformed.push(row.key.clone()),
                },
            }
        }
        malformed
    }

    /// Adds the replacement of the row of `pool` to `transaction`.
    pub fn replace(
        &self,
        transaction: TableTransaction,
        pool: &TokenPool,
        record: &OwnershipRecord,
    ) -> serde_json::Result<TableTransaction> {
        let key = RowKey::new(ownership::ownership_key(pool));
        let value = serde_json::to_string(record)?;
        let transaction = match self.rows.get(pool) {
            Some(row) => transaction.require_version(key.clone(), row.version),
            None => transaction.require_absent(key.clone()),
        };
        Ok(transaction.put(key, value))
    }

    /// Adds the deletion of the row of `pool` to `transaction`.
    pub fn delete(&self, transaction: TableTransaction, pool: &TokenPool) -> TableTransaction {
        let key = RowKey::new(ownership::ownership_key(pool));
        match self.rows.get(pool) {
            Some(row) => transaction
                .require_version(key.clone(), row.version)
                .delete(key),
            None => transaction,
        }
    }

    fn insert(&mut self, pool: TokenPool, version: u64, record: OwnershipRecord) {
        self.remove(&pool);
        for number in record.numbers_owned_by(&self.own) {
            let pool = pool.clone();
            self.owned_tokens.insert(TokenId { pool, number });
        }
        self.rows.insert(pool, OwnershipRow { version, record });
    }

    fn remove(&mut self, pool: &TokenPool) {
        let Some(row) = self.rows.remove(pool) else {
            return;
        };
        for number in row.record.numbers_owned_by(&self.own) {
            let pool = pool.clone();
            self.owned_tokens.remove(&TokenId { pool, number });
        }
    }
}
