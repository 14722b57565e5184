//! Rows of the configuration in the platform's table.

use redwing_model::admin::HistoryEntry;
use redwing_model::{CustomerName, KeyHash, QueueName};
use redwing_provider::RowKey;
use serde::{Deserialize, Serialize};

/// Start of the keys of all rows in force.
pub const PREFIX: &str = "config/";

/// Start of the keys of the history.
pub const HISTORY_PREFIX: &str = "config-history/";

/// Start of the keys that tell which version a change made.
pub const CHANGE_PREFIX: &str = "config-change/";

/// Key of the row with the version in force.
pub const HEAD: &str = "config/head";

/// Key of the row with the declaration in force.
pub const DECLARATION: &str = "config/declaration";

const KEY_PREFIX: &str = "config/key/";
const OPERATOR_PREFIX: &str = "config/operator/";

/// Digits of a version in a key.
const VERSION_DIGITS: usize = 10;

/// Versions whose history entries share all but the last digits of their keys.
pub const HISTORY_BLOCK: u64 = 100;

/// Row with the version in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeadRecord {
    /// Version in force.
    pub version: u64,
    /// Id of the change that made it.
    pub change: String,
    /// Operator who made it.
    pub operator: String,
    /// When it was made, in milliseconds since 1970.
    pub at_millis: u64,
    /// Number of rows in force that it wrote or deleted, this one included.
    pub rows: usize,
}

/// Row with the declaration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeclarationRecord {
    /// Version that put it in force.
    pub version: u64,
    /// Text in TOML.
    pub text: String,
}

/// Row of a key in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyRecord {
    /// Customer that the key belongs to.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue that it is good for; `None` for every queue.
    pub queue: Option<QueueName>,
    /// Version that granted it.
    pub version: u64,
}

/// Row of an operator's token in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct OperatorRecord {
    /// Name of the operator.
    pub name: String,
    /// Version that granted it.
    pub version: u64,
}

/// Row that tells which version a change made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeRecord {
    /// Version that the change made.
    pub version: u64,
    /// Digest of what was asked for, so that an id cannot be used twice.
    pub request: KeyHash,
    /// Random number of the attempt that succeeded.
    pub attempt: u64,
    /// Digest of the key or token concerned.
    #[serde(default)]
    pub hash: Option<KeyHash>,
}

/// Row of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryRecord {
    /// Version that put the declaration in force which held after the change.
    pub declaration_version: u64,
    /// The change.
    pub entry: HistoryEntry,
}

/// What the key of a row says that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowKind {
    /// A [`HeadRecord`].
    Head,
    /// A [`DeclarationRecord`].
    Declaration,
    /// A [`KeyRecord`].
    Key(KeyHash),
    /// An [`OperatorRecord`].
    Operator(KeyHash),
    /// Nothing that is part of the configuration in force.
    Other,
}

impl RowKind {
    /// Returns what a row with this key holds.
    pub fn of(key: &RowKey) -> Self {
        let hash_after = |prefix| {
            let digits = key.as_str().strip_prefix(prefix)?;
            KeyHash::from_hex(digits).ok()
        };
        match key.as_str() {
            HEAD => Self::Head,
            DECLARATION => Self::Declaration,
            _ => hash_after(KEY_PREFIX)
                .map(Self::Key)
                .or_else(|| hash_after(OPERATOR_PREFIX).map(Self::Operator))
                .unwrap_or(Self::Other),
        }
    }
}

/// Returns the key of a granted key's row.
pub fn grant_key(hash: &KeyHash) -> RowKey {
    RowKey::new(format!("{KEY_PREFIX}{}", hash.to_hex()))
}

/// Returns the key of an operator token's row.
pub fn operator_key(hash: &KeyHash) -> RowKey {
    RowKey::new(format!("{OPERATOR_PREFIX}{}", hash.to_hex()))
}

/// Returns the key of the row for the change with this id.
pub fn change_key(id: &str) -> RowKey {
    RowKey::new(format!("{CHANGE_PREFIX}{}", KeyHash::of(id).to_hex()))
}

/// Returns the key of a version's history row.
pub fn history_key(version: u64) -> RowKey {
    RowKey::new(format!("{HISTORY_PREFIX}{version:0VERSION_DIGITS$}"))
}

/// Returns the start of the keys of the block of history with this version.
pub fn history_block(version: u64) -> String {
    let digits = VERSION_DIGITS - 2;
    format!("{HISTORY_PREFIX}{:0digits$}", version / HISTORY_BLOCK)
}
