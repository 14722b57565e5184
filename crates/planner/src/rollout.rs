//! Roll-outs: reboots of all VMs of a pool within its availability budget.

use std::collections::BTreeSet;
use std::fmt;
use std::time;

use redwing_model::{DataCentre, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::budget::PoolBudget;
use crate::capacity::FleetIndex;
use crate::error::{Error, Result};
use crate::record::{OutageCause, PoolRecord};
use crate::step::{RowContent, RowExpectation, RowReference, RowUpdate, StepCommit};
use crate::time::PlanTime;
use crate::view::{FleetRows, PlannerView};

/// Minimum number of failed VMs that stops a roll-out.
const MIN_FAILURES_TO_STOP: usize = 2;

/// A roll-out stops when more than one in this many attempted reboots failed.
const ATTEMPTS_PER_FAILURE: usize = 20;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// VMs are being drained and rebooted.
    Running,
    /// Paused by an operator; reboots in progress are completed.
    Paused,
    /// Stopped automatically because too many VMs failed to return.
    Stopped,
    /// Aborted by an operator; drains in progress are cancelled.
    Aborted,
    /// Complete: every VM was rebooted, moved, removed or has failed.
    Done,
}

impl RolloutState {
    /// Returns whether an operator may still resume it.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Running | Self::Paused | Self::Stopped)
    }
}

impl fmt::Display for RolloutState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Running => "running",
            Self::Paused => "paused",
            Self::Stopped => "stopped",
            Self::Aborted => "aborted",
            Self::Done => "done",
        })
    }
}

/// Row of the roll-out of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RolloutRecord {
    /// Number of the roll-out; each roll-out of the pool increments it by one.
    pub id: u64,
    /// State.
    pub state: RolloutState,
    /// Start time.
    pub started: PlanTime,
    /// Time at which it was completed or aborted.
    pub ended: Option<PlanTime>,
    /// Number of VMs at the start.
    pub total: u32,
    /// VMs that have not been rebooted yet.
    pub remaining: BTreeSet<VmId>,
    /// Number of VMs that were rebooted and are in service again.
    pub done: u32,
    /// VMs that did not return from their reboot.
    pub failed: BTreeSet<VmId>,
    /// Sum of the outage durations of the `done` VMs, in milliseconds.
    #[serde(rename = "out-millis")]
    pub outage_millis: u64,
}

impl RolloutRecord {
    /// Creates a running roll-out over `vms`.
    pub fn new(id: u64, now: PlanTime, vms: BTreeSet<VmId>) -> Self {
        Self {
            id,
            state: RolloutState::Running,
            started: now,
            ended: None,
            total: vms.len() as u32,
            remaining: vms,
            done: 0,
            failed: BTreeSet::new(),
            outage_millis: 0,
        }
    }

    /// Returns the mean outage duration of the rebooted VMs.
    pub fn mean_outage(&self) -> Option<time::Duration> {
        let millis = self.outage_millis.checked_div(u64::from(self.done))?;
        Some(time::Duration::from_millis(millis))
    }

    /// Returns whether the number of failed VMs requires the roll-out to stop.
    pub fn exceeds_failure_limit(&self) -> bool {
        let failed = self.failed.len();
        let attempted = self.done as usize + failed;
        failed >= MIN_FAILURES_TO_STOP && failed * ATTEMPTS_PER_FAILURE > attempted
    }

    pub(crate) fn record_return(&mut self, vm: &VmId, outage: time::Duration) {
        if self.remaining.remove(vm) {
            self.done += 1;
            self.outage_millis += outage.as_millis() as u64;
        }
    }

    pub(crate) fn record_failure(&mut self, vm: &VmId) {
        self.remaining.remove(vm);
        self.failed.insert(vm.clone());
    }
}

/// Command of an operator on a roll-out.
///
/// The audit trail stores the `Debug` text of this type: the names of the
/// variants must not change.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutCommand {
    /// Start a new roll-out.
    Start,
    /// Start no more drains until the roll-out is resumed.
    Pause,
    /// Continue after a pause or a stop.
    Resume,
    /// End the roll-out and cancel drains in progress.
    Abort,
}

/// Body of an operator's request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RolloutRequest {
    /// Requested command.
    pub command: RolloutCommand,
}

/// Returns the transaction that carries out `command` on the pool's roll-out.
///
/// The transaction requires the version of the row that was read, so that of
/// two concurrent commands one fails with a conflict.
///
/// # Errors
///
/// Fails if the state of the roll-out does not allow the command.
pub fn command(
    now: PlanTime,
    rows: &FleetRows,
    pool: &PoolName,
    command: RolloutCommand,
) -> Result<StepCommit> {
    let row = rows.rollouts.get(pool);
    let current = row.map(|row| &row.value);
    let record = match command {
        RolloutCommand::Start => start_record(now, rows, pool, current)?,
        RolloutCommand::Pause => change_state(current, pool, "pause", |state| {
            (state == RolloutState::Running).then_some(RolloutState::Paused)
        })?,
        RolloutCommand::Resume => change_state(current, pool, "resume", |state| {
            let resumable = matches!(state, RolloutState::Paused | RolloutState::Stopped);
            resumable.then_some(RolloutState::Running)
        })?,
        RolloutCommand::Abort => {
            let abort = |state: RolloutState| state.is_open().then_some(RolloutState::Aborted);
            let ended = Some(now);
            RolloutRecord {
                ended,
                ..change_state(current, pool, "abort", abort)?
            }
        }
    };
    let reference = RowReference::Rollout(pool.clone());
    Ok(StepCommit {
        expectations: vec![RowExpectation {
            row: reference.clone(),
            version: row.map(|row| row.version),
        }],
        updates: vec![RowUpdate {
            row: reference,
            content: Some(RowContent::Rollout(record)),
        }],
    })
}

fn start_record(
    now: PlanTime,
    rows: &FleetRows,
    pool: &PoolName,
    current: Option<&RolloutRecord>,
) -> Result<RolloutRecord> {
    if let Some(record) = current
        && record.state.is_open()
    {
        return Err(Error::wrong_state("start roll-out", pool, record.state));
    }
    let members = rows.vms.values().filter(|row| row.value.pool == *pool);
    let vms = members.map(|row| row.value.identity.vm.clone()).collect();
    let id = current.map_or(1, |record| record.id + 1);
    Ok(RolloutRecord::new(id, now, vms))
}

fn change_state(
    current: Option<&RolloutRecord>,
    pool: &PoolName,
    operation: &'static str,
    next: impl Fn(RolloutState) -> Option<RolloutState>,
) -> Result<RolloutRecord> {
    let absent = || Error::wrong_state(operation, pool, RolloutState::Done);
    let record = current.ok_or_else(absent)?;
    let refused = || Error::wrong_state(operation, pool, record.state);
    let state = next(record.state).ok_or_else(refused)?;
    let mut record = record.clone();
    if record.state == RolloutState::Stopped {
        // Resuming or aborting acknowledges the failures; only new failures stop
        // the roll-out again.
        record.failed.clear();
    }
    record.state = state;
    Ok(record)
}

/// Reason why a roll-out starts no further drains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "cause")]
pub enum RolloutBlocker {
    /// The roll-out is not running.
    State {
        /// State of the roll-out.
        state: RolloutState,
    },
    /// The availability budget is spent.
    BudgetSpent {
        /// Number of VMs in a planned outage.
        planned: u32,
        /// Number of VMs out of service for other causes, including suspects and
        /// the shortfall of the assigned size.
        unplanned: u32,
    },
    /// The pool has planned outages in one data centre, so that drains in other
    /// data centres must wait.
    DataCentre {
        /// Data centre with the planned outages.
        data_centre: DataCentre,
    },
    /// VMs of the pool get no requests because their data centre is evacuated, so that the
    /// budget has no room for drains in the others.
    Evacuated {
        /// Number of these VMs.
        vms: u32,
    },
    /// The platform's VM list is not recent.
    StaleList,
    /// These VMs have been draining for longer than the pool's drain time.
    LongDrains {
        /// The VMs.
        vms: Vec<VmId>,
    },
}

/// Status of a roll-out for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutStatus {
    /// The pool.
    pub pool: PoolName,
    /// Number of the roll-out.
    pub id: u64,
    /// State.
    pub state: RolloutState,
    /// Number of VMs at the start.
    pub total: u32,
    /// Number of VMs rebooted.
    pub done: u32,
    /// VMs out of service because of the roll-out.
    #[serde(rename = "out")]
    pub unavailable: Vec<VmId>,
    /// VMs that did not return from their reboot.
    pub failed: Vec<VmId>,
    /// Expected end time, if the roll-out is running.
    pub expected_end: Option<PlanTime>,
    /// Reasons why no further drains start.
    #[serde(rename = "held-up-by")]
    pub blocked_by: Vec<RolloutBlocker>,
}

/// Returns the status of the pool's latest roll-out, or `None` if it never had
/// one.
///
/// `default_outage` is the expected outage of a VM until the roll-out has
/// measured one.
pub fn status(
    now: PlanTime,
    default_outage: time::Duration,
    view: &PlannerView<'_>,
    pool: &PoolName,
) -> Option<RolloutStatus> {
    let rollout = &view.rows.rollouts.get(pool)?.value;
    let record = view.rows.pools.get(pool).map(|row| &row.value);
    let cause = OutageCause::Rollout(rollout.id);
    let unavailable = record.map_or_else(Vec::new, |record| {
        let own = record
            .outages
            .iter()
            .filter(|(_, outage)| outage.cause == cause);
        own.map(|(vm, _)| vm.clone()).collect()
    });
    Some(RolloutStatus {
        pool: pool.clone(),
        id: rollout.id,
        state: rollout.state,
        total: rollout.total,
        done: rollout.done,
        unavailable,
        failed: rollout.failed.iter().cloned().collect(),
        expected_end: expected_end(now, default_outage, view, pool, rollout),
        blocked_by: blockers(now, view, pool, rollout, record),
    })
}

fn expected_end(
    now: PlanTime,
    default_outage: time::Duration,
    view: &PlannerView<'_>,
    pool: &PoolName,
    rollout: &RolloutRecord,
) -> Option<PlanTime> {
    if rollout.state != RolloutState::Running {
        return None;
    }
    let budget = view.declaration.pools.get(pool)?.max_unavailable;
    if budget == 0 {
        return None;
    }
    let outage = rollout.mean_outage().unwrap_or(default_outage);
    let batches = (rollout.remaining.len() as u32).div_ceil(budget);
    let cause = OutageCause::Rollout(rollout.id);
    let outages = view
        .rows
        .pools
        .get(pool)
        .map(|row| row.value.outages.values());
    let own = outages
        .into_iter()
        .flatten()
        .filter(|outage| outage.cause == cause);
    let elapsed = own.map(|outage| now.saturating_since(outage.started)).max();
    // Part of the batch in progress has elapsed.
    let elapsed = elapsed.unwrap_or_default().min(outage);
    Some(now.after((outage * batches).saturating_sub(elapsed)))
}

fn blockers(
    now: PlanTime,
    view: &PlannerView<'_>,
    pool: &PoolName,
    rollout: &RolloutRecord,
    record: Option<&PoolRecord>,
) -> Vec<RolloutBlocker> {
    let mut blockers = Vec::new();
    let state = rollout.state;
    if state != RolloutState::Running {
        blockers.push(RolloutBlocker::State { state });
        return blockers;
    }
    if !view.list_recent {
        blockers.push(RolloutBlocker::StaleList);
    }
    let (Some(record), Some(target)) = (record, view.declaration.pools.get(pool)) else {
        return blockers;
    };
    let serving = |vm: &&VmId| !record.outages.contains_key(*vm);
    let suspects = rollout.remaining.iter().filter(serving);
    let suspects = suspects.filter(|vm| view.is_suspect(vm)).count() as u32;
    if PoolBudget::new(target.max_unavailable).headroom(record, suspects) == 0 {
        let shortfall = record.assigned.saturating_sub(record.members);
        let planned = record.planned_outages();
        let unplanned = record.unavailable() - planned + shortfall + suspects;
        blockers.push(RolloutBlocker::BudgetSpent { planned, unplanned });
    } else if let Some(vms) = evacuation_blocker(view, pool, rollout, record, suspects) {
        blockers.push(RolloutBlocker::Evacuated { vms });
    } else if let Some(data_centre) = pinned_data_centre(view, record) {
        blockers.push(RolloutBlocker::DataCentre { data_centre });
    }
    let limit = time::Duration::from_secs(target.drain_seconds.into());
    let long_drains = record.outages.iter().filter(|(_, outage)| {
        outage.cause.is_planned()
            && outage.reboot.is_none()
            && now.saturating_since(outage.phase_started) > limit
    });
    let vms: Vec<VmId> = long_drains.map(|(vm, _)| vm.clone()).collect();
    if !vms.is_empty() {
        blockers.push(RolloutBlocker::LongDrains { vms });
    }
    blockers
}

/// Returns the number of VMs in evacuated data centres, if they leave no headroom for the
/// remaining VMs, which are all in others.
fn evacuation_blocker(
    view: &PlannerView<'_>,
    pool: &PoolName,
    rollout: &RolloutRecord,
    record: &PoolRecord,
    suspects: u32,
) -> Option<u32> {
    if view.evacuated.is_empty() {
        return None;
    }
    let target = view.declaration.pools.get(pool)?;
    let evacuated = FleetIndex::new(view).evacuated(pool).serving;
    let budget = PoolBudget::new(target.max_unavailable);
    let mut rows = rollout
        .remaining
        .iter()
        .filter_map(|vm| view.rows.vms.get(vm));
    let goes_on = rows.any(|row| view.is_evacuated(&row.value.identity));
    let is_blocked = budget.headroom(record, suspects + evacuated) == 0;
    (evacuated > 0 && is_blocked && !goes_on).then_some(evacuated)
}

/// Returns the data centre of the pool's planned outages, if it has any. All of
/// them are in one data centre.
pub(crate) fn pinned_data_centre(
    view: &PlannerView<'_>,
    record: &PoolRecord,
) -> Option<DataCentre> {
    let mut planned = record
        .outages
        .iter()
        .filter(|(_, outage)| outage.cause.is_planned());
    let row = planned.find_map(|(vm, _)| view.rows.vms.get(vm))?;
    Some(row.value.identity.data_centre.clone())
}
