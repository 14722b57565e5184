//! Election: acquires the ownership of the scheduling for this process.

use std::time;

use redwing_jobs::fence;
use redwing_jobs::scheduler::{LateLeases, PreviousOwner};
use redwing_jobs::time::BootTime;
use redwing_provider::table::TableView;
use redwing_provider::{CallCause, CommitOutcome, RowKey, TableRow, TableTransaction};
use tokio::time as timer;

use crate::clock;
use crate::row::{self, LateLeaseTimes, OwnerRecord};

use super::OwnerDependencies;
use super::inherited::InheritedRows;
use super::late_leases;

/// Ownership of this process: the owner row as it last wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLease {
    /// Content of the row.
    pub record: OwnerRecord,
    /// Version of the commit that wrote the row.
    pub version: u64,
}

/// Ownership that this process has just acquired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct AcquiredOwnership {
    pub(super) lease: OwnerLease,
    pub(super) times: ClaimTimes,
}

/// Times that a claim goes by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ClaimTimes {
    /// When the claim was sent.
    pub(super) claimed_at: BootTime,
    /// When all leases have expired that orders on time of earlier owners granted to workers.
    pub(super) inherited_until: BootTime,
    /// When those have expired that last longer.
    pub(super) late_leases: LateLeases,
    /// When those have expired that an unknown incarnation may hold.
    pub(super) unconfirmed: LateLeases,
    /// Until when earlier owners may have sent orders; none if there were none.
    pub(super) orders_until: Option<BootTime>,
    /// Rows of earlier owners that count.
    pub(super) inherited_rows: InheritedRows,
}

/// Claim whose outcome is unknown.
#[derive(Clone, Debug)]
struct PendingClaim {
    /// Content that it writes.
    value: String,
    times: ClaimTimes,
}

/// Tracks for how long the owner row has not changed.
#[derive(Debug, Default)]
struct RowObserver {
    version: Option<u64>,
    /// Start of the time for which the row is known to be unchanged.
    unchanged_since: BootTime,
    /// When the latest successful read of the row was sent.
    read_at: Option<BootTime>,
    /// Whether a claim of this version was sent.
    is_claimed: bool,
}

impl RowObserver {
    /// Records a read of the row and returns for how long the row has been
    /// unchanged.
    ///
    /// A gap between reads of more than `max_gap` restarts the measurement: an
    /// owner cannot renew its lease while the table is down. Once the version was
    /// claimed, no gap does: the lease had expired before.
    fn observe(
        &mut self,
        version: Option<u64>,
        requested_at: BootTime,
        max_gap: time::Duration,
    ) -> time::Duration {
        let has_gap = self
            .read_at
            .is_none_or(|read_at| requested_at.saturating_since(read_at) > max_gap);
        if version != self.version || has_gap && !self.is_claimed {
            self.version = version;
            self.unchanged_since = clock::boot_now();
            self.is_claimed = false;
        }
        self.read_at = Some(requested_at);
        requested_at.saturating_since(self.unchanged_since)
    }
}

/// Waits until this process has acquired the ownership.
pub(super) async fn acquire(dependencies: &OwnerDependencies) -> AcquiredOwnership {
    let key = RowKey::new(row::OWNER_KEY);
    let poll_interval = dependencies.settings.poll_interval;
    let mut observer = RowObserver::default();
    let mut pending: Vec<PendingClaim> = Vec::new();
    loop {
        let requested_at = clock::boot_now();
        let mut claim_time = time::Duration::ZERO;
        // The followers of the table log failed reads.
        if let Ok(view) = dependencies
            .client
            .scan(CallCause::Membership, row::OWNER_KEY)
            .await
        {
            let current = find_owner_row(&view, &key);
            if let Some(acquired) = confirm_claim(current, &pending) {
                return acquired;
            }
            let version = current.map(|row| row.version);
            let unchanged_for = observer.observe(version, requested_at, poll_interval * 4);
            let record = current.and_then(|row| row::read::<OwnerRecord>(row).ok());
            if may_claim(dependencies, record.as_ref(), unchanged_for) {
                observer.is_claimed = true;
                let times = claim_times(dependencies, record.as_ref(), observer.unchanged_since);
                let owner = successor(dependencies, record.as_ref(), &times);
                let claimed_at = times.claimed_at;
                match claim(dependencies, &key, version, owner).await {
                    Ok(lease) => return AcquiredOwnership { lease, times },
                    Err(Some(value)) => pending.push(PendingClaim { value, times }),
                    Err(None) => {}
                }
                claim_time = clock::boot_now().saturating_since(claimed_at);
            }
        }
        let jitter: f64 = rand::random();
        let delay = poll_interval.mul_f64(0.75 + 0.5 * jitter);
        // A claim without a response has waited already.
        timer::sleep(delay.saturating_sub(claim_time)).await;
    }
}

/// Returns the times of a claim that is sent now.
fn claim_times(
    dependencies: &OwnerDependencies,
    record: Option<&OwnerRecord>,
    unchanged_since: BootTime,
) -> ClaimTimes {
    let settings = &dependencies.settings.scheduler;
    let previous = previous_owner(dependencies, record, unchanged_since);
    let ends = |times: Option<&LateLeaseTimes>| {
        let ends = times.map(|times| late_leases::ends(times, unchanged_since));
        ends.unwrap_or_default()
    };
    ClaimTimes {
        claimed_at: clock::boot_now(),
        inherited_until: previous.leases_until(settings),
        late_leases: ends(record.map(|record| &record.late_leases)),
        unconfirmed: ends(record.map(|record| &record.unconfirmed)),
        orders_until: record.map(|_| previous.orders_until(settings)),
        inherited_rows: InheritedRows::after(record, unchanged_since),
    }
}

/// Returns whether this process may claim the ownership, given the current
/// record and the time for which it is known to be unchanged.
fn may_claim(
    dependencies: &OwnerDependencies,
    record: Option<&OwnerRecord>,
    unchanged_for: time::Duration,
) -> bool {
    let settings = &dependencies.settings;
    let delay = if settings.is_small {
        settings.small_delay
    } else {
        time::Duration::ZERO
    };
    match record {
        None => unchanged_for >= delay,
        Some(owner) if owner.released => unchanged_for >= delay,
        Some(owner) if owner.is_small && !settings.is_small => true,
        Some(owner) if is_former_process(dependencies, owner) => true,
        Some(_) => unchanged_for >= settings.lease + delay,
    }
}

/// Returns whether the owner was an earlier process of this VM, which has ended.
fn is_former_process(dependencies: &OwnerDependencies, owner: &OwnerRecord) -> bool {
    owner.node == dependencies.node && owner.incarnation != dependencies.incarnation
}

/// Returns what is known of the owner before, given the latest record and since when the row
/// is known to be unchanged.
fn previous_owner(
    dependencies: &OwnerDependencies,
    record: Option<&OwnerRecord>,
    unchanged_since: BootTime,
) -> PreviousOwner {
    let inherited_ms = record.and_then(|owner| owner.inherited_ms);
    let has_ended =
        record.is_some_and(|owner| owner.released || is_former_process(dependencies, owner));
    PreviousOwner {
        unchanged_since,
        has_ended,
        earlier_leases_left: inherited_ms.map(time::Duration::from_millis),
    }
}

fn find_owner_row<'a>(view: &'a TableView, key: &RowKey) -> Option<&'a TableRow> {
    view.rows
        .iter()
        .find(|row| row.key == *key && row.value.is_some())
}

/// Returns the ownership if one of the earlier claims without a response took effect.
fn confirm_claim(
    current: Option<&TableRow>,
    pending: &[PendingClaim],
) -> Option<AcquiredOwnership> {
    let current = current?;
    let pending = pending
        .iter()
        .find(|claim| current.value.as_ref() == Some(&claim.value))?;
    Some(AcquiredOwnership {
        lease: OwnerLease {
            record: row::read(current).ok()?,
            version: current.version,
        },
        times: pending.times.clone(),
    })
}

/// Returns the owner row of this process as the successor of `previous`.
fn successor(
    dependencies: &OwnerDependencies,
    previous: Option<&OwnerRecord>,
    times: &ClaimTimes,
) -> OwnerRecord {
    let now = clock::boot_now();
    let inherited = times.inherited_until.saturating_since(now);
    OwnerRecord {
        node: dependencies.node.clone(),
        incarnation: dependencies.incarnation,
        fencing_token: fence::next_owner_token(previous.map(|record| record.fencing_token)),
        change: 0,
        released: false,
        is_small: dependencies.settings.is_small,
        inherited_ms: Some(inherited.as_millis() as u64),
        late_leases: late_leases::remaining(&times.late_leases, now),
        unconfirmed: late_leases::remaining(&times.unconfirmed, now),
        carried: Some(times.inherited_rows.carried(now)),
        confirmed_counts: None,
    }
}

/// Tries to write the owner row.
///
/// On failure returns the content if it may nevertheless have been written.
async fn claim(
    dependencies: &OwnerDependencies,
    key: &RowKey,
    version: Option<u64>,
    record: OwnerRecord,
) -> Result<OwnerLease, Option<String>> {
    let value = row::write(key, &record).map_err(|_| None)?;
    let transaction = TableTransaction::default();
    let transaction = match version {
        Some(version) => transaction.require_version(key.clone(), version),
        None => transaction.require_absent(key.clone()),
    };
    let transaction = transaction.put(key.clone(), value.clone());
    let timeout = dependencies.settings.attempt_timeout;
    let client = &dependencies.client;
    let commit = client.commit_within(CallCause::Membership, transaction, timeout);
    match commit.await {
        Ok(CommitOutcome::Committed(version)) => Ok(OwnerLease { record, version }),
        Ok(CommitOutcome::Conflict(_)) => Err(None),
        Err(_) => Err(Some(value)),
    }
}
