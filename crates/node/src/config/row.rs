//! Table rows of the configuration.

use redwing_model::admin::HistoryEntry;
use redwing_model::{CustomerName, DataCentre, KeyHash, QueueName};
use redwing_provider::RowKey;
use serde::{Deserialize, Serialize};

/// Key prefix of all rows in force.
pub const CONFIG_PREFIX: &str = "config/";

/// Key prefix of the history rows.
pub const HISTORY_PREFIX: &str = "config-history/";

/// Key prefix of the rows that map the id of a change to its version.
pub const CHANGE_PREFIX: &str = "config-change/";

/// Key of the row with the version in force.
pub const HEAD_KEY: &str = "config/head";

/// Key of the row with the declaration in force.
pub const DECLARATION_KEY: &str = "config/declaration";

const KEY_PREFIX: &str = "config/key/";
const OPERATOR_PREFIX: &str = "config/operator/";
const EVACUATION_PREFIX: &str = "config/evacuation/";

/// Digits of a version in a key.
const VERSION_DIGITS: usize = 10;

/// Number of versions whose history keys differ in the last two digits only.
pub const VERSIONS_PER_HISTORY_BLOCK: u64 = 100;

/// Row with the version in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HeadRecord {
    /// Version in force.
    pub version: u64,
    /// Id of the change that created it.
    pub change: String,
    /// Operator who requested the change.
    pub operator: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Number of rows in force that the change wrote or deleted, including this one.
    pub rows: usize,
}

/// Row with the declaration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeclarationRecord {
    /// Version that put it in force.
    pub version: u64,
    /// Declaration in TOML.
    pub text: String,
}

/// Row of a key in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyRecord {
    /// Customer that the key belongs to.
    #[serde(rename = "team")]
    pub customer: CustomerName,
    /// Queue that the key gives access to; `None` for every queue.
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

/// Row of an evacuation in force. A row that cannot be read evacuates its data centre as
/// well, with the default content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EvacuationRecord {
    /// Version that began it.
    pub version: u64,
    /// Operator who requested it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_millis: u64,
}

/// Row that maps the id of a change to the version that it created.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: u64,
    /// Digest of the request; detects an id that is reused for another change.
    pub request: KeyHash,
    /// Random number that identifies the committed attempt.
    pub attempt: u64,
    /// Digest of the key or token that the change grants or withdraws.
    #[serde(default)]
    pub hash: Option<KeyHash>,
}

/// History row of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct HistoryRecord {
    /// Version that wrote the declaration in force after the change.
    pub declaration_version: u64,
    /// The change.
    pub entry: HistoryEntry,
}

/// Kind of a configuration row, derived from its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowKind {
    /// A [`HeadRecord`].
    Head,
    /// A [`DeclarationRecord`].
    Declaration,
    /// A [`KeyRecord`].
    Key(KeyHash),
    /// An [`OperatorRecord`].
    Operator(KeyHash),
    /// An [`EvacuationRecord`].
    Evacuation(DataCentre),
    /// Not a row of the configuration in force.
    Other,
}

impl RowKind {
    /// Returns the kind of the row with this key.
    pub fn of(key: &RowKey) -> Self {
        let hash_after = |prefix| {
            let digits = key.as_str().strip_prefix(prefix)?;
            KeyHash::from_hex(digits).ok()
        };
        let evacuated = || {
            let name = key.as_str().strip_prefix(EVACUATION_PREFIX)?;
            DataCentre::new(name).ok()
        };
        match key.as_str() {
            HEAD_KEY => Self::Head,
            DECLARATION_KEY => Self::Declaration,
            _ => hash_after(KEY_PREFIX)
                .map(Self::Key)
                .or_else(|| hash_after(OPERATOR_PREFIX).map(Self::Operator))
                .or_else(|| evacuated().map(Self::Evacuation))
                .unwrap_or(Self::Other),
        }
    }
}

/// Returns the row key of the access key with this digest.
pub fn grant_row_key(hash: &KeyHash) -> RowKey {
    RowKey::new(format!("{KEY_PREFIX}{}", hash.to_hex()))
}

/// Returns the row key of the operator token with this digest.
pub fn operator_row_key(hash: &KeyHash) -> RowKey {
    RowKey::new(format!("{OPERATOR_PREFIX}{}", hash.to_hex()))
}

/// Returns the row key of the evacuation of a data centre.
pub fn evacuation_row_key(data_centre: &DataCentre) -> RowKey {
    RowKey::new(format!("{EVACUATION_PREFIX}{data_centre}"))
}

/// Returns the row key of the change with this id.
pub fn change_row_key(id: &str) -> RowKey {
    RowKey::new(format!("{CHANGE_PREFIX}{}", KeyHash::of(id).to_hex()))
}

/// Returns the key of the history row of `version`.
pub fn history_row_key(version: u64) -> RowKey {
    RowKey::new(format!("{HISTORY_PREFIX}{version:0VERSION_DIGITS$}"))
}

/// Returns the key prefix of the block of history rows that contains `version`.
pub fn history_block_prefix(version: u64) -> String {
    let digits = VERSION_DIGITS - 2;
    format!(
        "{HISTORY_PREFIX}{:0digits$}",
        version / VERSIONS_PER_HISTORY_BLOCK
    )
}
