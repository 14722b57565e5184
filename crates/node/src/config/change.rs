//! Configuration changes and the table transactions that make them.

use std::str;

use redwing_model::admin::{ChangeKind, HistoryEntry, MAX_CHANGE_ID_BYTES};
use redwing_model::{AccessKey, KeyHash};
use redwing_provider::{RowKey, TableTransaction};
use serde::Serialize;

use crate::config::row::{self, ChangeRecord, DeclarationRecord, HeadRecord, HistoryRecord};
use crate::config::row::{EvacuationRecord, KeyRecord, OperatorRecord};
use crate::config::state::ConfigState;

/// Id of a change, chosen by the operator; makes the change idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeId(String);

impl ChangeId {
    /// Creates a random id.
    pub fn generate() -> Self {
        Self(AccessKey::generate().hash().to_hex())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl str::FromStr for ChangeId {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_CHANGE_ID_BYTES || !visible {
            return Err(format!(
                "the id of a change is 1 to {MAX_CHANGE_ID_BYTES} visible ASCII characters"
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

/// Change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeDraft {
    /// Id of the change.
    pub id: ChangeId,
    /// Whether the operator chose the id and may have used it before.
    pub id_chosen: bool,
    /// Operator who requests the change.
    pub operator: String,
    /// Version that the operator based the change on, if given.
    pub base_version: Option<u64>,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Text of the declaration to put in force, for a change that replaces it.
    pub declaration: Option<String>,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_millis: u64,
}

impl ChangeDraft {
    /// Returns the digest of the key or token that the change grants or withdraws.
    pub fn hash(&self) -> Option<KeyHash> {
        match self.kind {
            ChangeKind::GrantKey { hash, .. }
            | ChangeKind::WithdrawKey { hash }
            | ChangeKind::GrantOperator { hash, .. }
            | ChangeKind::WithdrawOperator { hash } => Some(hash),
            ChangeKind::Apply
            | ChangeKind::Rollback { .. }
            | ChangeKind::Evacuate { .. }
            | ChangeKind::UndoEvacuation { .. } => None,
        }
    }

    /// Returns whether the change replaces the declaration as a whole.
    pub fn replaces_declaration(&self) -> bool {
        matches!(self.kind, ChangeKind::Apply | ChangeKind::Rollback { .. })
    }

    /// Returns whether the change begins or undoes an evacuation.
    pub fn is_evacuation(&self) -> bool {
        matches!(
            self.kind,
            ChangeKind::Evacuate { .. } | ChangeKind::UndoEvacuation { .. }
        )
    }

    /// Returns the name of the change in the audit trail.
    pub fn action(&self) -> &'static str {
        match self.kind {
            ChangeKind::Apply => "apply",
            ChangeKind::Rollback { .. } => "rollback",
            ChangeKind::GrantKey { .. } => "grant-key",
            ChangeKind::WithdrawKey { .. } => "withdraw-key",
            ChangeKind::GrantOperator { .. } => "grant-operator",
            ChangeKind::WithdrawOperator { .. } => "withdraw-operator",
            ChangeKind::Evacuate { .. } => "evacuate",
            ChangeKind::UndoEvacuation { .. } => "undo-evacuation",
        }
    }

    /// Returns the object that the change applies to, for the audit trail.
    pub fn subject(&self) -> String {
        let short = |hash: &KeyHash| {
            hash.to_hex()
                .chars()
                .take(SHORT_HASH_DIGITS)
                .collect::<String>()
        };
        match &self.kind {
            ChangeKind::Apply | ChangeKind::Rollback { .. } => "declaration".to_owned(),
            ChangeKind::GrantKey { hash, customer, .. } => {
                format!("key/{customer}/{}", short(hash))
            }
            ChangeKind::WithdrawKey { hash } => format!("key/{}", short(hash)),
            ChangeKind::GrantOperator { hash, name } => {
                format!("operator/{name}/{}", short(hash))
            }
            ChangeKind::WithdrawOperator { hash } => format!("operator/{}", short(hash)),
            ChangeKind::Evacuate { data_centre, .. }
            | ChangeKind::UndoEvacuation { data_centre } => format!("data-centre/{data_centre}"),
        }
    }

    /// Returns a digest of the request, without randomly generated values.
    pub fn request_digest(&self) -> KeyHash {
        let request = match &self.kind {
            ChangeKind::Apply => format!("apply {}", self.declaration.as_deref().unwrap_or("")),
            ChangeKind::Rollback { to_version } => format!("rollback {to_version}"),
            ChangeKind::GrantKey {
                customer, queue, ..
            } => {
                let queue = queue.as_ref().map_or("", |queue| queue.as_str());
                format!("grant-key {customer} {queue}")
            }
            ChangeKind::GrantOperator { name, .. } => format!("grant-operator {name}"),
            ChangeKind::WithdrawKey { hash } => format!("withdraw-key {}", hash.to_hex()),
            ChangeKind::WithdrawOperator { hash } => format!("withdraw-operator {}", hash.to_hex()),
            // Whether others may be evacuated is a condition, not part of what is requested.
            ChangeKind::Evacuate { data_centre, .. } => format!("evacuate {data_centre}"),
            ChangeKind::UndoEvacuation { data_centre } => format!("undo-evacuation {data_centre}"),
        };
        KeyHash::of(&request)
    }

    /// Returns the transaction that makes the change on top of `state`.
    ///
    /// It commits only if the version in force is still that of `state` and no
    /// earlier change used the same id.
    ///
    /// # Errors
    ///
    /// Fails if a row cannot be serialized as JSON.
    pub fn transaction(&self, state: &ConfigState) -> serde_json::Result<TableTransaction> {
        let from_version = state.version();
        let version = from_version + 1;
        let change_key = row::change_row_key(self.id.as_str());
        let head_key = RowKey::new(row::HEAD_KEY);
        let mut transaction = TableTransaction::default().require_absent(change_key.clone());
        transaction = match state.head_row() {
            Some(head) => transaction.require_version(head_key.clone(), head.version),
            None => transaction.require_absent(head_key.clone()),
        };
        transaction = put(transaction, head_key, &self.head_record(version))?;
        transaction = self.put_changed_row(transaction, version)?;
        let declaration_version = match self.declaration {
            Some(_) => version,
            None => state.view().declaration_version,
        };
        let history = HistoryRecord {
            declaration_version,
            entry: self.history_entry(from_version),
        };
        transaction = put(transaction, row::history_row_key(version), &history)?;
        let change = ChangeRecord {
            version,
            request: self.request_digest(),
            attempt: rand::random(),
            hash: self.hash(),
        };
        put(transaction, change_key, &change)
    }

    fn head_record(&self, version: u64) -> HeadRecord {
        HeadRecord {
            version,
            change: self.id.as_str().to_owned(),
            operator: self.operator.clone(),
            at_millis: self.at_millis,
            rows: ROWS_PER_CHANGE,
        }
    }

    fn history_entry(&self, from_version: u64) -> HistoryEntry {
        HistoryEntry {
            version: from_version + 1,
            from_version,
            change: self.id.as_str().to_owned(),
            operator: self.operator.clone(),
            at_millis: self.at_millis,
            kind: self.kind.clone(),
            declaration: self.declaration.clone(),
        }
    }

    /// Adds the write of the row in force that the change affects besides the head.
    fn put_changed_row(
        &self,
        transaction: TableTransaction,
        version: u64,
    ) -> serde_json::Result<TableTransaction> {
        match &self.kind {
            ChangeKind::Apply | ChangeKind::Rollback { .. } => {
                let text = self.declaration.clone().unwrap_or_default();
                let record = DeclarationRecord { version, text };
                put(transaction, RowKey::new(row::DECLARATION_KEY), &record)
            }
            ChangeKind::GrantKey {
                hash,
                customer,
                queue,
            } => {
                let record = KeyRecord {
                    customer: customer.clone(),
                    queue: queue.clone(),
                    version,
                };
                put(transaction, row::grant_row_key(hash), &record)
            }
            ChangeKind::GrantOperator { hash, name } => {
                let name = name.clone();
                let record = OperatorRecord { name, version };
                put(transaction, row::operator_row_key(hash), &record)
            }
            ChangeKind::WithdrawKey { hash } => Ok(transaction.delete(row::grant_row_key(hash))),
            ChangeKind::WithdrawOperator { hash } => {
                Ok(transaction.delete(row::operator_row_key(hash)))
            }
            ChangeKind::Evacuate { data_centre, .. } => {
                let record = EvacuationRecord {
                    version,
                    operator: self.operator.clone(),
                    at_millis: self.at_millis,
                };
                put(transaction, row::evacuation_row_key(data_centre), &record)
            }
            ChangeKind::UndoEvacuation { data_centre } => {
                Ok(transaction.delete(row::evacuation_row_key(data_centre)))
            }
        }
    }
}

/// Rows in force that each change writes: the head and the changed row.
const ROWS_PER_CHANGE: usize = 2;

/// Leading hex digits of a digest that the audit trail shows.
const SHORT_HASH_DIGITS: usize = 12;

fn put(
    transaction: TableTransaction,
    key: RowKey,
    record: &impl Serialize,
) -> serde_json::Result<TableTransaction> {
    Ok(transaction.put(key, serde_json::to_string(record)?))
}
