//! The planner as a pure function of what is known of the fleet.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::declaration::LongRequestPolicy;
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{PoolName, RackName, VmId};

use crate::capacity::{FleetIndex, lost};
use crate::draft::{PoolDraft, cancelled};
use crate::lifecycle::AnyVm;
use crate::moves::MoveLedger;
use crate::profile::ProfileTargets;
use crate::record::{OutageCause, RebootProgress};
use crate::rollout::RolloutState;
use crate::step::{PlanStep, PlatformCall};
use crate::time::PlanTime;
use crate::view::{Listing, PlannerView, VmObservation};

/// Settings of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannerSettings {
    /// Shortest time between the start of a drain and the reboot.
    pub drain_notice: time::Duration,
    /// Absence from the VM list after which a VM is silent.
    pub silence_limit: time::Duration,
    /// Absence from the VM list after which the row of a VM is deleted.
    pub forget_after: time::Duration,
    /// Time after which a confirmed reboot is taken as over although the VM
    /// was never seen down.
    pub reboot_settle: time::Duration,
    /// Time after which a VM that does not come back has failed.
    pub reboot_limit: time::Duration,
    /// Time for which a VM must answer before it serves again.
    pub return_check: time::Duration,
    /// Time after which a VM that stopped answering in its check has failed.
    pub return_limit: time::Duration,
    /// Largest number of changes in one transaction.
    pub changes_per_step: usize,
    /// Slots of each backend server.
    pub slots_per_vm: u32,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            drain_notice: time::Duration::from_secs(3),
            silence_limit: time::Duration::from_secs(30),
            forget_after: time::Duration::from_secs(1_800),
            reboot_settle: time::Duration::from_secs(60),
            reboot_limit: time::Duration::from_secs(900),
            return_check: time::Duration::from_secs(5),
            return_limit: time::Duration::from_secs(120),
            changes_per_step: 32,
            slots_per_vm: 8,
        }
    }
}

/// What is to be done now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetPlan {
    /// Transactions, at most one for each pool; their order does not matter.
    pub steps: Vec<PlanStep>,
    /// Calls to the platform that rows in the table already ask for.
    pub calls: Vec<PlatformCall>,
}

/// Returns the steps that are due at `now`.
pub fn plan(now: PlanTime, settings: &PlannerSettings, view: &PlannerView<'_>) -> FleetPlan {
    let index = FleetIndex::new(view);
    let mut ledger = MoveLedger::new(view, settings, &index);
    let adoptions = assign_new(view, &ledger);
    let mut planner = FleetPlanner {
        now,
        settings,
        view,
        index,
        touched: BTreeSet::new(),
        plan: FleetPlan::default(),
    };
    planner.switch_pools();
    let declared = view.declaration.pools.keys();
    let pools: BTreeSet<&PoolName> = declared.chain(planner.index.pools()).collect();
    for pool in pools {
        let adopted = adoptions.get(pool).map_or(&[][..], Vec::as_slice);
        planner.plan_pool(pool, adopted, &mut ledger);
    }
    planner.plan
}

/// Chooses a pool for each new VM: the one that lacks most, else the spare.
fn assign_new<'a>(
    view: &PlannerView<'a>,
    ledger: &MoveLedger<'a>,
) -> BTreeMap<&'a PoolName, Vec<&'a VmIdentity>> {
    let mut lacking: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for (pool, target) in &view.declaration.pools {
        let row = view.rows.pools.get(pool).map(|row| &row.value);
        let assigned = row.map_or(target.vms, |record| {
            (record.assigned + target.vms).saturating_sub(record.declared)
        });
        let named = || view.rows.vms.values().filter(|row| row.value.pool == *pool);
        let present = row.map_or_else(
            || named().count() as u32,
            |record| record.members.saturating_sub(lost(record)),
        );
        lacking.insert(pool, assigned.saturating_sub(present));
    }
    let mut adoptions: BTreeMap<&PoolName, Vec<&VmIdentity>> = BTreeMap::new();
    for identity in view.unassigned {
        let most = lacking.iter_mut().max_by_key(|(_, lack)| **lack);
        let pool = match most {
            Some((pool, lack)) if *lack > 0 => {
                *lack -= 1;
                Some(*pool)
            }
            _ => ledger.refuge(),
        };
        if let Some(pool) = pool {
            adoptions.entry(pool).or_default().push(identity);
        }
    }
    adoptions
}

struct FleetPlanner<'a> {
    now: PlanTime,
    settings: &'a PlannerSettings,
    view: &'a PlannerView<'a>,
    index: FleetIndex<'a>,
    touched: BTreeSet<PoolName>,
    plan: FleetPlan,
}

impl<'a> FleetPlanner<'a> {
    /// Lets VMs that are ready for another pool join it, one a pair of pools.
    fn switch_pools(&mut self) {
        for (source, row) in &self.view.rows.pools {
            for (vm, outage) in &row.value.out {
                let Some(target) = &outage.move_to else {
                    continue;
                };
                let busy = |pool| self.touched.contains(pool) || self.is_outdated(pool);
                if !busy(source)
                    && !busy(target)
                    && self.view.declaration.pools.contains_key(target)
                {
                    self.switch_pool(vm, source, target);
                }
            }
        }
    }

    fn switch_pool(&mut self, vm: &VmId, source: &'a PoolName, target: &'a PoolName) {
        let Some(row) = self.view.rows.vms.get(vm) else {
            return;
        };
        let since = self.outage_since(source, vm);
        let elapsed = self.now.saturating_since(since);
        let seen = self.observation(vm);
        let joined = match AnyVm::from(row.value.clone()) {
            AnyVm::Moving(tracked) if seen.quiet && elapsed >= self.settings.drain_notice => {
                tracked.join(target.clone())
            }
            AnyVm::Returning(tracked)
                if seen.answering && elapsed >= self.settings.return_check =>
            {
                tracked.join(target.clone())
            }
            _ => return,
        };
        let mut giver = PoolDraft::new(self.now, self.view, source, 0);
        let mut taker = PoolDraft::new(self.now, self.view, target, 0);
        giver.part(vm, target);
        taker.join(joined.into_record());
        if let Some(step) = giver.finish_with(taker) {
            self.touched.insert(source.clone());
            self.touched.insert(target.clone());
            self.plan.steps.push(step);
        }
    }

    fn plan_pool(
        &mut self,
        pool: &'a PoolName,
        adopted: &[&VmIdentity],
        ledger: &mut MoveLedger<'_>,
    ) {
        self.request_calls(pool);
        if self.touched.contains(pool) || self.is_outdated(pool) {
            return;
        }
        let suspects = self.index.suspects(pool);
        let mut draft = PoolDraft::new(self.now, self.view, pool, suspects);
        for identity in adopted.iter().take(self.settings.changes_per_step) {
            draft.adopt(identity);
        }
        self.advance_members(&mut draft, pool);
        self.call_off_drains(&mut draft, pool);
        self.finish_rollout(&mut draft, pool);
        if self.view.list_recent {
            self.fill_budget(&mut draft, pool, ledger);
            self.start_moves(&mut draft, pool, ledger);
        }
        self.plan.steps.extend(draft.finish());
    }

    /// Returns whether the pool follows a newer configuration than this one.
    fn is_outdated(&self, pool: &PoolName) -> bool {
        let row = self.view.rows.pools.get(pool);
        row.is_some_and(|row| row.value.config_version > self.view.config_version)
    }

    /// Asks again for reboots and checkpoints that rows already record.
    fn request_calls(&mut self, pool: &PoolName) {
        let Some(record) = self.view.rows.pools.get(pool).map(|row| &row.value) else {
            return;
        };
        for (vm, outage) in &record.out {
            let reboot = outage.reboot.as_ref();
            if let Some(reboot) = reboot.filter(|it| it.progress == RebootProgress::Requested) {
                let (vm, operation) = (vm.clone(), reboot.id.clone());
                self.plan.calls.push(PlatformCall::Reboot { vm, operation });
            }
            if reboot.is_none() && self.must_checkpoint(pool, vm, outage.since) {
                self.request_checkpoint(vm);
            }
        }
    }

    fn must_checkpoint(&self, pool: &PoolName, vm: &VmId, since: PlanTime) -> bool {
        let Some(target) = self.view.declaration.pools.get(pool) else {
            return false;
        };
        let limit = time::Duration::from_secs(target.drain_seconds.into());
        target.long_requests == LongRequestPolicy::Checkpoint
            && self.now.saturating_since(since) > limit
            && !self.observation(vm).quiet
    }

    fn request_checkpoint(&mut self, vm: &VmId) {
        let Some(row) = self.view.rows.vms.get(vm) else {
            return;
        };
        if matches!(row.value.phase, VmPhase::Draining | VmPhase::Moving) {
            let operation = format!("checkpoint-{vm}-{}", row.value.revision);
            let vm = vm.clone();
            self.plan
                .calls
                .push(PlatformCall::Checkpoint { vm, operation });
        }
    }

    /// Takes each member on to the phase that its observation calls for.
    fn advance_members(&self, draft: &mut PoolDraft<'_>, pool: &PoolName) {
        for record in self.index.notable(pool) {
            if draft.changes() >= self.settings.changes_per_step {
                return;
            }
            let seen = self.observation(&record.identity.vm);
            self.advance(draft, record, &seen);
        }
    }

    fn advance(&self, draft: &mut PoolDraft<'_>, record: &VmRecord, seen: &VmObservation) {
        let id = &record.identity.vm;
        let outage = draft.outage(id).cloned();
        let since = outage.as_ref().map_or(self.now, |outage| outage.since);
        let elapsed = self.now.saturating_since(since);
        let silent = self.view.list_recent && seen.absent_for >= self.settings.silence_limit;
        let leaving = outage.as_ref().map(|outage| outage.cause) == Some(OutageCause::Leaving);
        match AnyVm::from(record.clone()) {
            AnyVm::Serving(vm) if seen.listing == Listing::Leaving => draft.leave(vm),
            AnyVm::Serving(vm) if silent => draft.silence(vm.silence()),
            AnyVm::Serving(_) => {}
            // The platform may also keep a VM that it had listed as leaving.
            AnyVm::Draining(vm) if leaving => {
                if silent {
                    draft.forget(id);
                } else if seen.listing == Listing::Live && seen.answering {
                    draft.cancel(vm.cancel().into_record());
                }
            }
            AnyVm::Draining(vm) if silent => draft.silence(vm.silence()),
            AnyVm::Draining(vm) => {
                if seen.quiet && elapsed >= self.settings.drain_notice {
                    draft.reboot(vm);
                }
            }
            AnyVm::Moving(vm) if silent => draft.silence(vm.silence()),
            AnyVm::Moving(vm) => {
                if !self.has_target(draft, id) {
                    draft.cancel(vm.cancel().into_record());
                }
            }
            AnyVm::Rebooting(vm) => {
                let progress = self.note_progress(draft, id, seen);
                let over = progress == Some(RebootProgress::Down)
                    || progress == Some(RebootProgress::Accepted)
                        && elapsed >= self.settings.reboot_settle;
                if over && seen.answering {
                    draft.check(vm.check());
                } else if elapsed >= self.settings.reboot_limit {
                    draft.fail(vm.fail());
                }
            }
            AnyVm::Returning(vm) => {
                if !seen.answering && elapsed >= self.settings.return_limit {
                    draft.fail(vm.fail());
                } else if seen.answering
                    && elapsed >= self.settings.return_check
                    && !self.has_target(draft, id)
                {
                    draft.serve(vm.serve());
                }
            }
            AnyVm::Failed(vm) => {
                let progress = self.note_progress(draft, id, seen);
                if self.is_gone(seen) {
                    draft.forget(id);
                } else if seen.answering && progress != Some(RebootProgress::Requested) {
                    draft.check(vm.check());
                }
            }
            AnyVm::Missing(vm) => {
                if self.is_gone(seen) {
                    draft.forget(id);
                } else if seen.answering && seen.listing == Listing::Live {
                    draft.check(vm.check());
                }
            }
        }
    }

    /// Records what is newly known of a reboot and returns how far it is.
    fn note_progress(
        &self,
        draft: &mut PoolDraft<'_>,
        vm: &VmId,
        seen: &VmObservation,
    ) -> Option<RebootProgress> {
        let known = draft.outage(vm)?.reboot.as_ref()?.progress;
        let mut progress = known;
        if seen.reboot_accepted {
            progress = progress.max(RebootProgress::Accepted);
        }
        if progress == RebootProgress::Accepted && !seen.answering {
            progress = RebootProgress::Down;
        }
        if progress > known {
            draft.progress(vm, progress);
        }
        Some(progress)
    }

    /// Calls off drains while the budget is exceeded, or after an abort.
    fn call_off_drains(&self, draft: &mut PoolDraft<'_>, pool: &PoolName) {
        let aborted = draft
            .rollout()
            .filter(|it| it.state == RolloutState::Aborted);
        let aborted = aborted.map(|rollout| OutageCause::Rollout(rollout.id));
        for record in self.index.notable(pool) {
            let vm = &record.identity.vm;
            let Some(outage) = draft.outage(vm) else {
                continue;
            };
            let called_off = outage.cause.is_planned()
                && (draft.overdraft() > 0 || Some(outage.cause) == aborted);
            if !called_off || draft.touches(vm) || self.view.is_suspect(vm) {
                continue;
            }
            if let Some(record) = cancelled(record) {
                draft.cancel(record);
            }
        }
    }

    fn finish_rollout(&self, draft: &mut PoolDraft<'_>, pool: &PoolName) {
        let Some(rollout) = draft.rollout() else {
            return;
        };
        if rollout.state != RolloutState::Running {
            return;
        }
        let cause = OutageCause::Rollout(rollout.id);
        let record = draft.record();
        let out = record.out.values().any(|outage| outage.cause == cause);
        let left = rollout.remaining.iter().any(|vm| {
            let row = self.view.rows.vms.get(vm);
            row.is_some_and(|row| row.value.pool == *pool)
        });
        if !out && !left {
            draft.finish_rollout();
        }
    }

    /// Takes VMs of a running roll-out out of service while headroom is left.
    fn fill_budget(&self, draft: &mut PoolDraft<'_>, pool: &PoolName, ledger: &mut MoveLedger<'_>) {
        let Some(rollout) = draft.rollout() else {
            return;
        };
        if rollout.state != RolloutState::Running || draft.headroom() == 0 {
            return;
        }
        let cause = OutageCause::Rollout(rollout.id);
        let chosen = |vm: &VmId| rollout.remaining.contains(vm);
        for record in self.order_candidates(draft, pool, chosen) {
            if draft.headroom() == 0 || draft.changes() >= self.settings.changes_per_step {
                return;
            }
            let AnyVm::Serving(vm) = AnyVm::from(record.clone()) else {
                continue;
            };
            let move_to = ledger.grant_ride(pool);
            if draft.drain(vm, cause, move_to).is_err() {
                return;
            }
        }
    }

    /// Starts drains that only serve a move.
    fn start_moves(&self, draft: &mut PoolDraft<'_>, pool: &PoolName, ledger: &mut MoveLedger<'_>) {
        let dissolved = !self.view.declaration.pools.contains_key(pool);
        if draft.headroom() == 0 || !(dissolved || ledger.has_shortage()) {
            return;
        }
        let targets = ProfileTargets::of(self.view.declaration.profile);
        for record in self.order_candidates(draft, pool, |_| true) {
            if draft.headroom() == 0 || draft.changes() >= self.settings.changes_per_step {
                return;
            }
            let granted = ledger.grant(pool);
            let allowed = granted.filter(|it| it.urgent || targets.moves_drain);
            let refuge = || ledger.refuge().filter(|_| dissolved).cloned();
            let Some(to) = allowed.map(|granted| granted.to).or_else(refuge) else {
                return;
            };
            if let AnyVm::Serving(vm) = AnyVm::from(record.clone())
                && draft.drain(vm, OutageCause::Move, Some(to)).is_err()
            {
                return;
            }
        }
    }

    /// Returns the serving members that may be drained, in order: one data
    /// centre, whole racks, the longest expected drain first.
    fn order_candidates(
        &self,
        draft: &PoolDraft<'_>,
        pool: &PoolName,
        chosen: impl Fn(&VmId) -> bool,
    ) -> Vec<&'a VmRecord> {
        let members = self.index.members(pool).iter().map(|row| &row.value);
        let mut candidates: Vec<&VmRecord> = members
            .filter(|record| {
                let vm = &record.identity.vm;
                record.phase == VmPhase::Serving
                    && chosen(vm)
                    && !self.view.is_suspect(vm)
                    && !draft.touches(vm)
            })
            .collect();
        let mut counts = BTreeMap::new();
        for record in &candidates {
            *counts.entry(&record.identity.data_centre).or_insert(0) += 1;
        }
        let fullest = counts.into_iter().max_by_key(|(_, count)| *count);
        let bound = draft.data_centre().or(fullest.map(|(name, _)| name));
        let bound = bound.cloned();
        candidates.retain(|record| Some(&record.identity.data_centre) == bound.as_ref());
        let mut racks: BTreeMap<&RackName, time::Duration> = BTreeMap::new();
        for record in &candidates {
            let longest = racks.entry(&record.identity.rack).or_default();
            *longest = cmp::max(*longest, self.expected_drain(&record.identity.vm));
        }
        candidates.sort_by_cached_key(|record| {
            let rack = &record.identity.rack;
            let longest = racks.get(rack).copied().unwrap_or_default();
            let drain = self.expected_drain(&record.identity.vm);
            let begun = self.is_rack_begun(draft, rack);
            (
                cmp::Reverse((begun, longest)),
                rack.clone(),
                cmp::Reverse(drain),
                record.identity.vm.clone(),
            )
        });
        candidates
    }

    fn is_rack_begun(&self, draft: &PoolDraft<'_>, rack: &RackName) -> bool {
        let mut out = draft.record().out.keys();
        out.any(|vm| {
            let row = self.view.rows.vms.get(vm);
            row.is_some_and(|row| row.value.identity.rack == *rack)
        })
    }

    fn expected_drain(&self, vm: &VmId) -> time::Duration {
        let seen = self.view.observations.get(vm);
        seen.map_or(time::Duration::ZERO, |seen| seen.expected_drain)
    }

    fn has_target(&self, draft: &PoolDraft<'_>, vm: &VmId) -> bool {
        let outage = draft.outage(vm);
        let target = outage.and_then(|outage| outage.move_to.as_ref());
        target.is_some_and(|pool| self.view.declaration.pools.contains_key(pool))
    }

    fn is_gone(&self, seen: &VmObservation) -> bool {
        self.view.list_recent && seen.absent_for >= self.settings.forget_after
    }

    fn observation(&self, vm: &VmId) -> VmObservation {
        let seen = self.view.observations.get(vm);
        seen.cloned().unwrap_or_default()
    }

    fn outage_since(&self, pool: &PoolName, vm: &VmId) -> PlanTime {
        let row = self.view.rows.pools.get(pool);
        let outage = row.and_then(|row| row.value.out.get(vm));
        outage.map_or(self.now, |outage| outage.since)
    }
}
