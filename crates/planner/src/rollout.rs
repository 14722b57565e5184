//! Roll-outs: the reboot of every VM of a pool, one budget at a time.

use std::collections::BTreeSet;
use std::fmt;
use std::time;

use redwing_model::{DataCentre, PoolName, VmId};
use serde::{Deserialize, Serialize};

use crate::budget::PoolBudget;
use crate::error::{Error, Result};
use crate::record::{OutageCause, PoolRecord};
use crate::step::{RowContent, RowExpectation, RowReference, RowUpdate, StepCommit};
use crate::time::PlanTime;
use crate::view::{FleetRows, PlannerView};

/// Failures below this number never stop a roll-out.
const MIN_FAILURES_TO_STOP: usize = 2;

/// A roll-out stops when one of this many rebooted VMs did not come back.
const STOP_ONE_IN: usize = 20;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// VMs are drained and rebooted.
    Running,
    /// An operator paused it; VMs already out of service come back.
    Paused,
    /// It stopped itself because VMs did not come back.
    Stopped,
    /// An operator ended it; drains that had begun were called off.
    Aborted,
    /// Every VM was rebooted or has gone.
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
    /// Number of the roll-out; grows by one with each of the pool.
    pub id: u64,
    /// State.
    pub state: RolloutState,
    /// When it was started.
    pub started: PlanTime,
    /// When it was done or aborted.
    pub ended: Option<PlanTime>,
    /// Number of VMs at the start.
    pub total: u32,
    /// VMs that were not rebooted yet.
    pub remaining: BTreeSet<VmId>,
    /// Number of VMs that were rebooted and serve again.
    pub done: u32,
    /// VMs that did not come back from their reboot.
    pub failed: BTreeSet<VmId>,
    /// Sum of the times that the `done` VMs were out of service, in milliseconds.
    pub out_millis: u64,
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
            out_millis: 0,
        }
    }

    /// Returns how long VMs were out of service on average.
    pub fn mean_outage(&self) -> Option<time::Duration> {
        let millis = self.out_millis.checked_div(u64::from(self.done))?;
        Some(time::Duration::from_millis(millis))
    }

    /// Returns whether so many VMs failed that the roll-out must stop.
    pub fn is_failing(&self) -> bool {
        let failed = self.failed.len();
        let attempted = self.done as usize + failed;
        failed >= MIN_FAILURES_TO_STOP && failed * STOP_ONE_IN > attempted
    }

    pub(crate) fn record_return(&mut self, vm: &VmId, outage: time::Duration) {
        if self.remaining.remove(vm) {
            self.done += 1;
            self.out_millis += outage.as_millis() as u64;
        }
    }

    pub(crate) fn record_failure(&mut self, vm: &VmId) {
        self.remaining.remove(vm);
        self.failed.insert(vm.clone());
    }
}

/// What an operator asks of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutCommand {
    /// Start a new one.
    Start,
    /// Take no more VMs out of service until it is resumed.
    Pause,
    /// Go on after a pause or a stop.
    Resume,
    /// End it and call off drains that have begun.
    Abort,
}

/// Request of an operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RolloutRequest {
    /// What is asked.
    pub command: RolloutCommand,
}

/// Returns the transaction that carries out `command` on the pool's roll-out.
///
/// It requires the version of the row that was read, so that of two operators
/// who act at once one is told that the roll-out has changed.
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
    let present = row.map(|row| &row.value);
    let record = match command {
        RolloutCommand::Start => start(now, rows, pool, present)?,
        RolloutCommand::Pause => change(present, pool, "pause", |state| {
            (state == RolloutState::Running).then_some(RolloutState::Paused)
        })?,
        RolloutCommand::Resume => change(present, pool, "resume", |state| {
            let held = matches!(state, RolloutState::Paused | RolloutState::Stopped);
            held.then_some(RolloutState::Running)
        })?,
        RolloutCommand::Abort => {
            let abort = |state: RolloutState| state.is_open().then_some(RolloutState::Aborted);
            let ended = Some(now);
            RolloutRecord {
                ended,
                ..change(present, pool, "abort", abort)?
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

fn start(
    now: PlanTime,
    rows: &FleetRows,
    pool: &PoolName,
    present: Option<&RolloutRecord>,
) -> Result<RolloutRecord> {
    if let Some(record) = present
        && record.state.is_open()
    {
        return Err(Error::wrong_state("start roll-out", pool, record.state));
    }
    let members = rows.vms.values().filter(|row| row.value.pool == *pool);
    let vms = members.map(|row| row.value.identity.vm.clone()).collect();
    let id = present.map_or(1, |record| record.id + 1);
    Ok(RolloutRecord::new(id, now, vms))
}

fn change(
    present: Option<&RolloutRecord>,
    pool: &PoolName,
    step: &'static str,
    next: impl Fn(RolloutState) -> Option<RolloutState>,
) -> Result<RolloutRecord> {
    let absent = || Error::wrong_state(step, pool, RolloutState::Done);
    let record = present.ok_or_else(absent)?;
    let refused = || Error::wrong_state(step, pool, record.state);
    let state = next(record.state).ok_or_else(refused)?;
    let mut record = record.clone();
    if record.state == RolloutState::Stopped {
        // The operator has judged the failures; only new ones stop it again.
        record.failed.clear();
    }
    record.state = state;
    Ok(record)
}

/// Why a roll-out takes no further VM out of service at present.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "cause")]
pub enum HoldUp {
    /// It is not running.
    State {
        /// Its state.
        state: RolloutState,
    },
    /// The availability budget is spent.
    BudgetSpent {
        /// VMs out of service by decision of the planner.
        planned: u32,
        /// VMs out of service for other causes, missing ones included.
        unplanned: u32,
    },
    /// The VMs left stand in other data centres than those now out of service.
    DataCentre {
        /// Data centre in progress.
        data_centre: DataCentre,
    },
    /// The platform's VM list is not recent.
    StaleList,
    /// These VMs have been draining for longer than the pool's drain time.
    LongDrains {
        /// The VMs.
        vms: Vec<VmId>,
    },
}

/// Progress of a roll-out as operators see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutStatus {
    /// The pool.
    pub pool: PoolName,
    /// Number of the roll-out.
    pub id: u64,
    /// State.
    pub state: RolloutState,
    /// VMs at the start.
    pub total: u32,
    /// VMs rebooted.
    pub done: u32,
    /// VMs out of service for it.
    pub out: Vec<VmId>,
    /// VMs that did not come back.
    pub failed: Vec<VmId>,
    /// When it is expected to end, if it is running.
    pub expected_end: Option<PlanTime>,
    /// What holds it up.
    pub held_up_by: Vec<HoldUp>,
}

/// Returns the progress of the pool's roll-out, or `None` if it never had one.
pub fn status(
    now: PlanTime,
    default_outage: time::Duration,
    view: &PlannerView<'_>,
    pool: &PoolName,
) -> Option<RolloutStatus> {
    let rollout = &view.rows.rollouts.get(pool)?.value;
    let record = view.rows.pools.get(pool).map(|row| &row.value);
    let cause = OutageCause::Rollout(rollout.id);
    let out = record.map_or_else(Vec::new, |record| {
        let mine = record
            .out
            .iter()
            .filter(|(_, outage)| outage.cause == cause);
        mine.map(|(vm, _)| vm.clone()).collect()
    });
    Some(RolloutStatus {
        pool: pool.clone(),
        id: rollout.id,
        state: rollout.state,
        total: rollout.total,
        done: rollout.done,
        out,
        failed: rollout.failed.iter().cloned().collect(),
        expected_end: expected_end(now, default_outage, view, pool, rollout),
        held_up_by: hold_ups(now, view, pool, rollout, record),
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
    let width = view.declaration.pools.get(pool)?.max_unavailable;
    if width == 0 {
        return None;
    }
    let outage = rollout.mean_outage().unwrap_or(default_outage);
    let rounds = (rollout.remaining.len() as u32).div_ceil(width);
    let cause = OutageCause::Rollout(rollout.id);
    let outages = view.rows.pools.get(pool).map(|row| row.value.out.values());
    let mine = outages.into_iter().flatten().filter(|it| it.cause == cause);
    let elapsed = mine.map(|it| now.saturating_since(it.started)).max();
    // The round in progress has passed in part.
    let passed = elapsed.unwrap_or_default().min(outage);
    Some(now.after((outage * rounds).saturating_sub(passed)))
}

fn hold_ups(
    now: PlanTime,
    view: &PlannerView<'_>,
    pool: &PoolName,
    rollout: &RolloutRecord,
    record: Option<&PoolRecord>,
) -> Vec<HoldUp> {
    let mut list = Vec::new();
    let state = rollout.state;
    if state != RolloutState::Running {
        list.push(HoldUp::State { state });
        return list;
    }
    if !view.list_recent {
        list.push(HoldUp::StaleList);
    }
    let (Some(record), Some(target)) = (record, view.declaration.pools.get(pool)) else {
        return list;
    };
    let serving = |vm: &&VmId| !record.out.contains_key(*vm);
    let suspects = rollout.remaining.iter().filter(serving);
    let suspects = suspects.filter(|vm| view.is_suspect(vm)).count() as u32;
    if PoolBudget::new(target.max_unavailable).headroom(record, suspects) == 0 {
        let missing = record.assigned.saturating_sub(record.members);
        let planned = record.planned();
        let unplanned = record.unavailable() - planned + missing + suspects;
        list.push(HoldUp::BudgetSpent { planned, unplanned });
    } else if let Some(data_centre) = pinned_data_centre(view, record) {
        list.push(HoldUp::DataCentre { data_centre });
    }
    let limit = time::Duration::from_secs(target.drain_seconds.into());
    let long = record.out.iter().filter(|(_, outage)| {
        outage.cause.is_planned()
            && outage.reboot.is_none()
            && now.saturating_since(outage.since) > limit
    });
    let vms: Vec<VmId> = long.map(|(vm, _)| vm.clone()).collect();
    if !vms.is_empty() {
        list.push(HoldUp::LongDrains { vms });
    }
    list
}

/// Returns the one data centre in which the planner has VMs of a pool out.
pub(crate) fn pinned_data_centre(
    view: &PlannerView<'_>,
    record: &PoolRecord,
) -> Option<DataCentre> {
    let mut planned = record.out.iter().filter(|(_, out)| out.cause.is_planned());
    let row = planned.find_map(|(vm, _)| view.rows.vms.get(vm))?;
    Some(row.value.identity.data_centre.clone())
}
