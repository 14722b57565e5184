//! Registration of an entry process in the platform's table.

use std::collections::BTreeSet;
use std::net;

use redwing_membership::{MemberRecord, member};
use redwing_model::{DataCentre, NodeId, NodeIncarnation};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{Error, Result, RowKey, TableRow, TableStore, TableTransaction};

/// Key of the row that holds the last epoch given out.
const EPOCH_KEY: &str = "epoch";

/// Times a registration is tried again after a rival wrote first.
const MAX_CONFLICTS: u32 = 16;

/// What an entry process tells of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdentity {
    /// Name of the entry VM.
    pub node: NodeId,
    /// Data centre that holds it.
    pub data_centre: DataCentre,
    /// Address at which peers reach it.
    pub peer_address: net::SocketAddr,
}

/// Registers a new incarnation, in place of an earlier one on the same VM.
///
/// Epochs come from one row, so that no two incarnations ever share one, even
/// after the row of a member was deleted.
///
/// # Errors
///
/// Fails if the table does not answer or rivals always write first. The call
/// may be repeated; an epoch that was taken but not used stays unused.
pub async fn register(table: &dyn TableStore, identity: &MemberIdentity) -> Result<MemberRecord> {
    const STEP: &str = "register";
    for _ in 0..MAX_CONFLICTS {
        let member_key = RowKey::new(member::member_key(&identity.node));
        let epoch_key = RowKey::new(EPOCH_KEY);
        let known_member = read_row(table, &member_key).await?;
        let known_epoch = read_row(table, &epoch_key).await?;
        let record = next_record(identity, known_epoch.as_ref());
        let value = serde_json::to_string(&record)
            .map_err(|error| Error::refused(STEP, "table", error.to_string()))?;
        let transaction = require(TableTransaction::default(), &member_key, &known_member);
        let transaction = require(transaction, &epoch_key, &known_epoch)
            .put(epoch_key, record.incarnation.epoch.to_string())
            .put(member_key, value);
        if let CommitOutcome::Committed(_) = table.commit(&transaction).await? {
            return Ok(record);
        }
    }
    Err(Error::unavailable(
        STEP,
        "table",
        "other processes always wrote first",
    ))
}

/// Removes the row of a member that left, unless it was replaced since.
///
/// # Errors
///
/// Fails if the table does not answer.
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

/// Reads the row of a member; `None` if it is malformed.
pub fn parse_member(value: &str) -> Option<MemberRecord> {
    serde_json::from_str(value).ok()
}

fn next_record(identity: &MemberIdentity, last_epoch: Option<&TableRow>) -> MemberRecord {
    let last = last_epoch.and_then(|row| row.value.as_deref()?.parse::<u64>().ok());
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

fn require(
    transaction: TableTransaction,
    key: &RowKey,
    known: &Option<TableRow>,
) -> TableTransaction {
    match known {
        Some(row) => transaction.require_version(key.clone(), row.version),
        None => transaction.require_absent(key.clone()),
    }
}
