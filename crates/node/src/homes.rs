//! Homes of tokens, as read from the table.

use std::collections::{BTreeMap, BTreeSet};

use redwing_membership::{OwnershipRecord, ownership};
use redwing_model::NodeIncarnation;
use redwing_policy::{TokenId, TokenPool};
use redwing_provider::{RowKey, TableRow, TableTransaction};

/// One row, with the version that a change of it must name.
#[derive(Debug)]
struct HomeRow {
    version: u64,
    record: OwnershipRecord,
}

/// Homes of all tokens.
#[derive(Debug)]
pub struct HomeTable {
    own: NodeIncarnation,
    rows: BTreeMap<TokenPool, HomeRow>,
    own_tokens: BTreeSet<TokenId>,
}

impl HomeTable {
    /// Creates an empty table for the process `own`.
    pub fn new(own: NodeIncarnation) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            own_tokens: BTreeSet::new(),
        }
    }

    /// Returns the tokens that are at home here.
    pub fn own_tokens(&self) -> &BTreeSet<TokenId> {
        &self.own_tokens
    }

    /// Returns the record of `pool`.
    pub fn record(&self, pool: &TokenPool) -> Option<&OwnershipRecord> {
        self.rows.get(pool).map(|row| &row.record)
    }

    /// Returns the pools that have a row.
    pub fn pools(&self) -> impl Iterator<Item = &TokenPool> {
        self.rows.keys()
    }

    /// Returns every incarnation that is home to a token.
    pub fn members(&self) -> BTreeSet<NodeIncarnation> {
        let homes = self.rows.values().flat_map(|row| row.record.owners());
        homes.cloned().collect()
    }

    /// Takes rows that changed. Malformed rows are kept as they were known,
    /// and returned.
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

    /// Adds to `transaction` the replacement of the row of `pool`.
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

    /// Adds to `transaction` the deletion of the row of `pool`.
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
            self.own_tokens.insert(TokenId { pool, number });
        }
        self.rows.insert(pool, HomeRow { version, record });
    }

    fn remove(&mut self, pool: &TokenPool) {
        let Some(row) = self.rows.remove(pool) else {
            return;
        };
        for number in row.record.numbers_owned_by(&self.own) {
            let pool = pool.clone();
            self.own_tokens.remove(&TokenId { pool, number });
        }
    }
}
