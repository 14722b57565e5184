//! Registration of an entry process in the platform's table.

use std::collections::BTreeSet;
use std::net;

use redwing_membership::{MemberRecord, member};
use redwing_model::{DataCentre, NodeId, NodeIncarnation};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{Error, Result, RowKey, TableRow, TableStore, TableTransaction};

/// Key of the row with the last assigned epoch.
const EPOCH_KEY: &str = "epoch";

/// Maximum number of attempts when concurrent registrations conflict.
const MAX_REGISTER_ATTEMPTS: u32 = 16;

/// Identity under which an entry process registers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdentity {
    /// Name of the entry VM.
    pub node: NodeId,
    /// Data centre of the entry VM.
    pub data_centre: DataCentre,
    /// Address of the listener for peers.
    pub peer_address: net::SocketAddr,
}

/// Registers a new incarnation, which replaces an earlier one on the same VM.
///
/// Epochs are assigned from one row, so that no two incarnations ever share
/// one, even after the row of a member was deleted.
///
/// # Errors
///
/// Fails if the table does not respond or all attempts conflict. The call may
/// be repeated; an epoch that was assigned but not used stays unused.
pub async fn register(table: &dyn TableStore, identity: &MemberIdentity) -> Result<MemberRecord> {
    const STEP: &str = "register";
    for _ in 0..MAX_REGISTER_ATTEMPTS {
        let member_key = RowKey::new(member::member_key(&identity.node));
        let epoch_key = RowKey::new(EPOCH_KEY);
        let member_row = read_row(table, &member_key).await?;
        let epoch_row = read_row(table, &epoch_key).await?;
        let record = next_record(identity, epoch_row.as_ref());
        let value = serde_json::to_string(&record)
            .map_err(|error| Error::refused(STEP, "table", error.to_string()))?;
        let transaction = require_unchanged(TableTransaction::default(), &member_key, &member_row);
        let transaction = require_unchanged(transaction, &epoch_key, &epoch_row)
            .put(epoch_key, record.incarnation.epoch.to_string())
            .put(member_key, value);
        if let CommitOutcome::Committed(_) = table.commit(&transaction).await? {
            return Ok(record);
        }
    }
    Err(Error::unavailable(
        STEP,
        "table",
        "every attempt conflicted with another registration",
    ))
}

/// Removes the row of a member, unless a newer incarnation has replaced it.
///
/// # Errors
///
/// Fails if the table does not respond.
pub async fn unregister(table: &dyn TableStore, incarnation: &NodeIncarnation) -> Result<()> {
    let key = RowKey::new(member::member_key(&incarnation.node));
    let Some(row) = read_row(table, &key).await? else {
        return Ok(());
    };
    let record = row.value.as_deref().and_then(parse_member);
    if record.is_none_or(|record| record.incarnation != *incarnation) {
        return Ok(());
    }
    let transaction = TableTransaction::default()
        .require_version(key.clone(), row.version)
        .delete(key);
    table.commit(&transaction).await.map(|_| ())
}

/// Parses the row of a member; `None` if it is malformed.
pub fn parse_member(value: &str) -> Option<MemberRecord> {
    serde_json::from_str(value).ok()
}

fn next_record(identity: &MemberIdentity, epoch_row: Option<&TableRow>) -> MemberRecord {
    let last = epoch_row.and_then(|row| row.value.as_deref()?.parse::<u64>().ok());
    MemberRecord {
        incarnation: NodeIncarnation {
            node: identity.node.clone(),
            epoch: last.unwrap_or_default() + 1,
        },
        nonce: rand::random(),
        peer_address: identity.peer_address,
        data_centre: identity.data_centre.clone(),
        settled: BTreeSet::new(),
    }
}

async fn read_row(table: &dyn TableStore, key: &RowKey) -> Result<Option<TableRow>> {
    let view = table.scan(key.as_str()).await?;
    Ok(view.rows.into_iter().find(|row| row.key == *key))
}

fn require_unchanged(
    transaction: TableTransaction,
    key: &RowKey,
    row: &Option<TableRow>,
) -> TableTransaction {
    match row {
        Some(row) => transaction.require_version(key.clone(), row.version),
        None => transaction.require_absent(key.clone()),
    }
}
