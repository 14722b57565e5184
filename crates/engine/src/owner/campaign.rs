//! How a process becomes owner.

use std::time;

use redwing_jobs::time::BootTime;
use redwing_provider::table::TableView;
use redwing_provider::{CallCause, CommitOutcome, RowKey, TableRow, TableTransaction};
use tokio::time as timer;

use crate::clock;
use crate::row::{self, OwnerRecord};

use super::OwnerParts;

/// The row of the owner as this process last wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLease {
    /// What the row says.
    pub record: OwnerRecord,
    /// Commit that wrote the row.
    pub version: u64,
}

/// What a process that is not owner knows of the row.
#[derive(Debug, Default)]
struct OwnerSighting {
    version: Option<u64>,
    /// Since when the row is known to be unchanged.
    unchanged_since: BootTime,
    /// When the row was last read.
    read_at: Option<BootTime>,
}

impl OwnerSighting {
    /// Takes in a read of the row; returns for how long it has been unchanged.
    ///
    /// Only time during which the table answered counts: an owner cannot
    /// renew its lease while the table is down.
    fn observe(
        &mut self,
        version: Option<u64>,
        asked_at: BootTime,
        longest_gap: time::Duration,
    ) -> time::Duration {
        let was_away = self
            .read_at
            .is_none_or(|read_at| asked_at.saturating_since(read_at) > longest_gap);
        if was_away || version != self.version {
            self.version = version;
            self.unchanged_since = clock::boot_now();
        }
        self.read_at = Some(asked_at);
        asked_at.saturating_since(self.unchanged_since)
    }
}

/// Waits until this process owns the scheduling.
pub(super) async fn win(parts: &OwnerParts) -> OwnerLease {
    let key = RowKey::new(row::OWNER_KEY);
    let mut sighting = OwnerSighting::default();
    let mut attempted: Option<String> = None;
    loop {
        let asked_at = clock::boot_now();
        // A table that does not answer is logged by those that follow it.
        if let Ok(view) = parts
            .client
            .scan(CallCause::Membership, row::OWNER_KEY)
            .await
        {
            let current = find_row(&view, &key);
            if let Some(lease) = own_lease(current, attempted.as_ref()) {
                return lease;
            }
            let version = current.map(|row| row.version);
            let unchanged = sighting.observe(version, asked_at, parts.settings.poll * 4);
            let known = current.and_then(|row| row::read::<OwnerRecord>(row).ok());
            if may_claim(parts, known.as_ref(), unchanged) {
                let fence = known.map_or(0, |record| record.fence) + 1;
                match claim(parts, &key, version, fence).await {
                    Ok(lease) => return lease,
                    Err(value) => attempted = value.or(attempted),
                }
            }
        }
        let jitter: f64 = rand::random();
        timer::sleep(parts.settings.poll.mul_f64(0.75 + 0.5 * jitter)).await;
    }
}

/// Returns whether this process may try to own the scheduling, by the row and
/// the time for which it is known to be unchanged.
fn may_claim(parts: &OwnerParts, known: Option<&OwnerRecord>, unchanged: time::Duration) -> bool {
    let settings = &parts.settings;
    let delay = if settings.is_small {
        settings.small_delay
    } else {
        time::Duration::ZERO
    };
    match known {
        None => unchanged >= delay,
        Some(owner) if owner.released => unchanged >= delay,
        Some(owner) if owner.is_small && !settings.is_small => true,
        // An earlier process of this VM: it has ended.
        Some(owner) if owner.node == parts.node && owner.life != parts.life => true,
        Some(_) => unchanged >= settings.lease + delay,
    }
}

fn find_row<'a>(view: &'a TableView, key: &RowKey) -> Option<&'a TableRow> {
    view.rows
        .iter()
        .find(|row| row.key == *key && row.value.is_some())
}

/// Returns the lease if an attempt whose reply was lost has taken effect.
fn own_lease(current: Option<&TableRow>, attempted: Option<&String>) -> Option<OwnerLease> {
    let current = current?;
    if attempted.is_none() || current.value.as_ref() != attempted {
        return None;
    }
    Some(OwnerLease {
        record: row::read(current).ok()?,
        version: current.version,
    })
}

/// Tries to write the row; on failure returns its content if it may have
/// been written all the same.
async fn claim(
    parts: &OwnerParts,
    key: &RowKey,
    version: Option<u64>,
    fence: u64,
) -> Result<OwnerLease, Option<String>> {
    let record = OwnerRecord {
        node: parts.node.clone(),
        life: parts.life,
        fence,
        change: 0,
        released: false,
        is_small: parts.settings.is_small,
    };
    let value = row::write(key, &record).map_err(|_| None)?;
    let transaction = TableTransaction::default();
    let transaction = match version {
        Some(version) => transaction.require_version(key.clone(), version),
        None => transaction.require_absent(key.clone()),
    };
    let transaction = transaction.put(key.clone(), value.clone());
    let limit = parts.settings.attempt_limit;
    let client = &parts.client;
    let commit = client.commit_within(CallCause::Membership, transaction, limit);
    match commit.await {
        Ok(CommitOutcome::Committed(version)) => Ok(OwnerLease { record, version }),
        Ok(CommitOutcome::Conflict(_)) => Err(None),
        Err(_) => Err(Some(value)),
    }
}
