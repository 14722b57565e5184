//! Maintenance rows in the platform's table.

use redwing_model::{NodeIncarnation, VmId};
use redwing_planner::step::{RowContent, RowReference};
use redwing_planner::{FleetRows, StepCommit};
use redwing_provider::{Error, Result, RowKey, TableRow, TableTransaction};
use serde::{Deserialize, Serialize};

/// Key prefix of VM rows.
pub const VM_PREFIX: &str = "vm/";

/// Key prefix of pool rows.
pub const POOL_PREFIX: &str = "pool/";

/// Key prefix of roll-out rows.
pub const ROLLOUT_PREFIX: &str = "rollout/";

/// Key prefix of drain confirmations.
pub const DRAIN_PREFIX: &str = "drain/";

/// Confirmation by an entry process that none of its requests run on a draining VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DrainAck {
    /// Confirming process; a later process on the same entry VM must confirm again.
    pub incarnation: NodeIncarnation,
    /// Revision of the VM's row that the confirmation applies to.
    pub revision: u64,
}

/// Converts a step into a transaction of the table.
///
/// # Errors
///
/// Fails if a row cannot be serialized as JSON.
pub fn transaction(commit: &StepCommit) -> Result<TableTransaction> {
    let mut transaction = TableTransaction::default();
    for expectation in &commit.expectations {
        let key = RowKey::new(expectation.row.key());
        transaction = match expectation.version {
            Some(version) => transaction.require_version(key, version),
            None => transaction.require_absent(key),
        };
    }
    for update in &commit.updates {
        let key = RowKey::new(update.row.key());
        transaction = match &update.content {
            Some(content) => transaction.put(key, encode(content)?),
            None => transaction.delete(key),
        };
    }
    Ok(transaction)
}

/// Applies a row of the table to `rows`; returns false if it is malformed.
///
/// For a malformed row, `rows` keeps the last valid content and its version.
/// That version is out of date, so no step that depends on the row can commit.
pub fn install(rows: &mut FleetRows, row: &TableRow) -> bool {
    let Some(reference) = reference(row.key.as_str()) else {
        return false;
    };
    let Some(text) = &row.value else {
        rows.put(&reference, None, row.version);
        return true;
    };
    let content = match &reference {
        RowReference::Vm(_) => serde_json::from_str(text).map(RowContent::Vm),
        RowReference::Pool(_) => serde_json::from_str(text).map(RowContent::Pool),
        RowReference::Rollout(_) => serde_json::from_str(text).map(RowContent::Rollout),
        RowReference::DrainAck { .. } => return false,
    };
    let Ok(content) = content else {
        return false;
    };
    rows.put(&reference, Some(content), row.version);
    true
}

/// Returns the VM in the key of a drain confirmation.
pub fn confirmed_vm(key: &RowKey) -> Option<VmId> {
    let (vm, _) = key.as_str().strip_prefix(DRAIN_PREFIX)?.split_once('/')?;
    vm.parse().ok()
}

fn reference(key: &str) -> Option<RowReference> {
    let (prefix, name) = key.split_once('/')?;
    match prefix {
        "vm" => name.parse().ok().map(RowReference::Vm),
        "pool" => name.parse().ok().map(RowReference::Pool),
        "rollout" => name.parse().ok().map(RowReference::Rollout),
        _ => None,
    }
}

fn encode(content: &RowContent) -> Result<String> {
    let text = match content {
        RowContent::Vm(record) => serde_json::to_string(record),
        RowContent::Pool(record) => serde_json::to_string(record),
        RowContent::Rollout(record) => serde_json::to_string(record),
    };
    text.map_err(|error| Error::refused("encode a row", "table", error.to_string()))
}
