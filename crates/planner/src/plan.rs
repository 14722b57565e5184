//! The planner: a pure function of the time, the settings and the fleet state.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet};
use std::time;

use redwing_model::declaration::LongRequestPolicy;
use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{PoolName, RackName, VmId};

use crate::builder::{StepBuilder, cancelled_record};
use crate::capacity::{FleetIndex, count_lost};
use crate::lifecycle::AnyVm;
use crate::moves::MoveAllocator;
use crate::profile::ProfileTargets;
use crate::record::{OutageCause, RebootProgress};
use crate::rollout::RolloutState;
use crate::step::{PlanStep, PlatformCall};
use crate::time::PlanTime;
use crate::view::{Listing, PlannerView, VmObservation};

/// Settings of the planner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannerSettings {
    /// Minimum time between the start of a drain and the reboot.
    pub min_drain: time::Duration,
    /// Absence from the VM list after which a VM counts as missing.
    pub absence_limit: time::Duration,
    /// Absence from the VM list after which the row of a VM is deleted.
    pub delete_after: time::Duration,
    /// Time after which a confirmed reboot counts as complete although the VM
    /// was never observed down.
    pub reboot_settle: time::Duration,
    /// Time after which a VM that does not return from its reboot has failed.
    pub reboot_timeout: time::Duration,
    /// Duration of the check of a returning VM before it serves again.
    pub return_check: time::Duration,
    /// Time after which a VM that stopped responding during its check has failed.
    pub return_timeout: time::Duration,
    /// Maximum number of changes in one transaction.
    pub max_changes_per_step: usize,
    /// Slots of each backend server.
    pub slots_per_vm: u32,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            min_drain: time::Duration::from_secs(3),
            absence_limit: time::Duration::from_secs(30),
            delete_after: time::Duration::from_secs(1_800),
            reboot_settle: time::Duration::from_secs(60),
            reboot_timeout: time::Duration::from_secs(900),
            return_check: time::Duration::from_secs(5),
            return_timeout: time::Duration::from_secs(120),
            max_changes_per_step: 32,
            slots_per_vm: 8,
        }
    }
}

/// Transactions and platform calls that are due.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetPlan {
    /// Transactions, at most one for each pool; their order does not matter.
    pub steps: Vec<PlanStep>,
    /// Calls to the platform that committed rows require.
    pub calls: Vec<PlatformCall>,
}

/// Returns the transactions and calls that are due at `now`.
pub fn plan(now: PlanTime, settings: &PlannerSettings, view: &PlannerView<'_>) -> FleetPlan {
    let index = FleetIndex::new(view);
    let mut allocator = MoveAllocator::new(view, settings, &index);
    let adoptions = assign_new_vms(view, &allocator);
    let mut planner = FleetPlanner {
        now,
        settings,
        view,
        index,
        changed_pools: BTreeSet::new(),
        plan: FleetPlan::default(),
    };
    planner.complete_moves();
    let declared = view.declaration.pools.keys();
    let pools: BTreeSet<&PoolName> = declared.chain(planner.index.pools()).collect();
    for pool in pools {
        let adopted = adoptions.get(pool).map_or(&[][..], Vec::as_slice);
        planner.plan_pool(pool, adopted, &mut allocator);
    }
    planner.plan
}

/// Assigns each new VM to the pool with the largest shortage, or to the
/// fallback pool if there is none.
fn assign_new_vms<'a>(
    view: &PlannerView<'a>,
    allocator: &MoveAllocator<'a>,
) -> BTreeMap<&'a PoolName, Vec<&'a VmIdentity>> {
    let mut shortages: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for (pool, target) in &view.declaration.pools {
        let row = view.rows.pools.get(pool).map(|row| &row.value);
        let assigned = row.map_or(target.vms, |record| {
            (record.assigned + target.vms).saturating_sub(record.declared)
        });
        let members = || view.rows.vms.values().filter(|row| row.value.pool == *pool);
        let present = row.map_or_else(
            || members().count() as u32,
            |record| record.members.saturating_sub(count_lost(record)),
        );
        shortages.insert(pool, assigned.saturating_sub(present));
    }
    let mut adoptions: BTreeMap<&PoolName, Vec<&VmIdentity>> = BTreeMap::new();
    let unassigned = view.unassigned.iter();
    for identity in unassigned.filter(|identity| !view.is_evacuated(identity)) {
        let largest = shortages.iter_mut().max_by_key(|(_, shortage)| **shortage);
        let pool = match largest {
            Some((pool, shortage)) if *shortage > 0 => {
                *shortage -= 1;
                Some(*pool)
            }
            _ => allocator.fallback_pool(),
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
    changed_pools: BTreeSet<PoolName>,
    plan: FleetPlan,
}

impl<'a> FleetPlanner<'a> {
    /// Moves VMs that are ready into their target pools. A pool takes part in at
    /// most one move per plan.
    fn complete_moves(&mut self) {
        for (source, row) in &self.view.rows.pools {
            for (vm, outage) in &row.value.outages {
                let Some(target) = &outage.move_to else {
                    continue;
                };
                let busy = |pool| self.changed_pools.contains(pool) || self.has_newer_config(pool);
                if !busy(source)
                    && !busy(target)
                    && self.view.declaration.pools.contains_key(target)
                {
                    self.complete_move(vm, source, target);
                }
            }
        }
    }

    fn complete_move(&mut self, vm: &VmId, source: &'a PoolName, target: &'a PoolName) {
        let Some(row) = self.view.rows.vms.get(vm) else {
            return;
        };
        if self.view.is_evacuated(&row.value.identity) {
            return;
        }
        let phase_started = self.phase_started(source, vm);
        let elapsed = self.now.saturating_since(phase_started);
        let observation = self.observation(vm);
        let joined = match AnyVm::from(row.value.clone()) {
            AnyVm::Moving(tracked) if observation.drained && elapsed >= self.settings.min_drain => {
                tracked.join_pool(target.clone())
            }
            AnyVm::Returning(tracked)
                if observation.responding && elapsed >= self.settings.return_check =>
            {
                tracked.join_pool(target.clone())
            }
            _ => return,
        };
        let mut donor = StepBuilder::new(self.now, self.view, source, 0);
        let mut recipient = StepBuilder::new(self.now, self.view, target, 0);
        donor.transfer_out(vm, target);
        recipient.add_member(joined.into_record());
        if let Some(step) = donor.build_with(recipient) {
            self.changed_pools.insert(source.clone());
            self.changed_pools.insert(target.clone());
            self.plan.steps.push(step);
        }
    }

    fn plan_pool(
        &mut self,
        pool: &'a PoolName,
        adopted: &[&VmIdentity],
        allocator: &mut MoveAllocator<'_>,
    ) {
        self.repeat_calls(pool);
        if self.changed_pools.contains(pool) || self.has_newer_config(pool) {
            return;
        }
        let suspects = self.index.suspects(pool);
        let evacuated = self.index.evacuated(pool).serving;
        let mut builder = StepBuilder::new(self.now, self.view, pool, suspects);
        builder = builder.with_evacuated(evacuated);
        for identity in adopted.iter().take(self.settings.max_changes_per_step) {
            builder.adopt(identity);
        }
        self.advance_members(&mut builder, pool);
        self.cancel_drains(&mut builder, pool);
        self.finish_rollout(&mut builder, pool);
        if self.view.list_recent {
            self.start_rollout_drains(&mut builder, pool, allocator);
            self.start_move_drains(&mut builder, pool, allocator);
        }
        self.plan.steps.extend(builder.build());
    }

    /// Returns whether the pool's row is based on a newer configuration than
    /// this planner has.
    fn has_newer_config(&self, pool: &PoolName) -> bool {
        let row = self.view.rows.pools.get(pool);
        row.is_some_and(|row| row.value.config_version > self.view.config_version)
    }

    /// Repeats the reboot calls that rows record as unconfirmed, and requests
    /// checkpoints on VMs that drain for longer than the pool's drain time.
    fn repeat_calls(&mut self, pool: &PoolName) {
        let Some(record) = self.view.rows.pools.get(pool).map(|row| &row.value) else {
            return;
        };
        for (vm, outage) in &record.outages {
            let reboot = outage.reboot.as_ref();
            if let Some(reboot) =
                reboot.filter(|reboot| reboot.progress == RebootProgress::Requested)
            {
                let (vm, operation) = (vm.clone(), reboot.id.clone());
                self.plan.calls.push(PlatformCall::Reboot { vm, operation });
            }
            if reboot.is_none() && self.must_checkpoint(pool, vm, outage.phase_started) {
                self.request_checkpoint(vm);
            }
        }
    }

    fn must_checkpoint(&self, pool: &PoolName, vm: &VmId, phase_started: PlanTime) -> bool {
        let Some(target) = self.view.declaration.pools.get(pool) else {
            return false;
        };
        let limit = time::Duration::from_secs(target.drain_seconds.into());
        target.long_requests == LongRequestPolicy::Checkpoint
            && self.now.saturating_since(phase_started) > limit
            && !self.observation(vm).drained
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

    /// Advances each member to the phase that follows from its observation.
    fn advance_members(&self, builder: &mut StepBuilder<'_>, pool: &PoolName) {
        for record in self.index.abnormal(pool) {
            if builder.change_count() >= self.settings.max_changes_per_step {
                return;
            }
            let observation = self.observation(&record.identity.vm);
            self.advance(builder, record, &observation);
        }
    }

    fn advance(
        &self,
        builder: &mut StepBuilder<'_>,
        record: &VmRecord,
        observation: &VmObservation,
    ) {
        let id = &record.identity.vm;
        let outage = builder.outage(id).cloned();
        let phase_started = outage
            .as_ref()
            .map_or(self.now, |outage| outage.phase_started);
        let elapsed = self.now.saturating_since(phase_started);
        let absent = self.view.list_recent && observation.absent_for >= self.settings.absence_limit;
        let leaving = outage.as_ref().map(|outage| outage.cause) == Some(OutageCause::Leaving);
        match AnyVm::from(record.clone()) {
            AnyVm::Serving(vm) if observation.listing == Listing::Leaving => {
                builder.drain_leaving(vm)
            }
            AnyVm::Serving(vm) if absent => builder.mark_missing(vm.mark_missing()),
            AnyVm::Serving(_) => {}
            // The platform may keep a VM after listing it as leaving.
            AnyVm::Draining(vm) if leaving => {
                if absent {
                    builder.delete_vm(id);
                } else if observation.listing == Listing::Live && observation.responding {
                    builder.cancel_drain(vm.cancel_drain().into_record());
                }
            }
            AnyVm::Draining(vm) if absent => builder.mark_missing(vm.mark_missing()),
            AnyVm::Draining(vm) => {
                if observation.drained && elapsed >= self.settings.min_drain {
                    builder.reboot(vm);
                }
            }
            AnyVm::Moving(vm) if absent => builder.mark_missing(vm.mark_missing()),
            AnyVm::Moving(vm) => {
                if !self.has_target_pool(builder, id) {
                    builder.cancel_drain(vm.cancel_drain().into_record());
                }
            }
            AnyVm::Rebooting(vm) => {
                let progress = self.update_reboot_progress(builder, id, observation);
                let rebooted = progress == Some(RebootProgress::Down)
                    || progress == Some(RebootProgress::Accepted)
                        && elapsed >= self.settings.reboot_settle;
                if rebooted && observation.responding {
                    builder.start_check(vm.start_check());
                } else if elapsed >= self.settings.reboot_timeout {
                    builder.mark_failed(vm.mark_failed());
                }
            }
            AnyVm::Returning(vm) => {
                if !observation.responding && elapsed >= self.settings.return_timeout {
                    builder.mark_failed(vm.mark_failed());
                } else if observation.responding
                    && elapsed >= self.settings.return_check
                    && !self.has_target_pool(builder, id)
                {
                    builder.return_to_service(vm.return_to_service());
                }
            }
            AnyVm::Failed(vm) => {
                let progress = self.update_reboot_progress(builder, id, observation);
                if self.is_row_expired(observation) {
                    builder.delete_vm(id);
                } else if observation.responding && progress != Some(RebootProgress::Requested) {
                    builder.start_check(vm.start_check());
                }
            }
            AnyVm::Missing(vm) => {
                if self.is_row_expired(observation) {
                    builder.delete_vm(id);
                } else if observation.responding && observation.listing == Listing::Live {
                    builder.start_check(vm.start_check());
                }
            }
        }
    }

    /// Records new progress of a reboot and returns the progress.
    fn update_reboot_progress(
        &self,
        builder: &mut StepBuilder<'_>,
        vm: &VmId,
        observation: &VmObservation,
    ) -> Option<RebootProgress> {
        let previous = builder.outage(vm)?.reboot.as_ref()?.progress;
        let mut progress = previous;
        if observation.reboot_accepted {
            progress = progress.max(RebootProgress::Accepted);
        }
        if progress == RebootProgress::Accepted && !observation.responding {
            progress = RebootProgress::Down;
        }
        if progress > previous {
            builder.record_progress(vm, progress);
        }
        Some(progress)
    }

    /// Cancels planned drains while the budget is exceeded, and drains of an
    /// aborted roll-out.
    fn cancel_drains(&self, builder: &mut StepBuilder<'_>, pool: &PoolName) {
        let aborted = builder
            .rollout()
            .filter(|rollout| rollout.state == RolloutState::Aborted);
        let aborted = aborted.map(|rollout| OutageCause::Rollout(rollout.id));
        for record in self.index.abnormal(pool) {
            let vm = &record.identity.vm;
            let Some(outage) = builder.outage(vm) else {
                continue;
            };
            let is_evacuated = self.view.is_evacuated(&record.identity);
            let must_cancel = outage.cause.is_planned()
                && (builder.must_cancel_drains(is_evacuated) || Some(outage.cause) == aborted);
            if !must_cancel || builder.has_changed(vm) || self.view.is_suspect(vm) {
                continue;
            }
            if let Some(record) = cancelled_record(record) {
                builder.cancel_drain(record);
            }
        }
    }

    fn finish_rollout(&self, builder: &mut StepBuilder<'_>, pool: &PoolName) {
        let Some(rollout) = builder.rollout() else {
            return;
        };
        if rollout.state != RolloutState::Running {
            return;
        }
        let cause = OutageCause::Rollout(rollout.id);
        let record = builder.record();
        let has_outages = record.outages.values().any(|outage| outage.cause == cause);
        let has_remaining = rollout.remaining.iter().any(|vm| {
            let row = self.view.rows.vms.get(vm);
            row.is_some_and(|row| row.value.pool == *pool)
        });
        if !has_outages && !has_remaining {
            builder.finish_rollout();
        }
    }

    /// Starts drains for a running roll-out while the budget has headroom.
    fn start_rollout_drains(
        &self,
        builder: &mut StepBuilder<'_>,
        pool: &PoolName,
        allocator: &mut MoveAllocator<'_>,
    ) {
        let Some(rollout) = builder.rollout() else {
            return;
        };
        if rollout.state != RolloutState::Running {
            return;
        }
        let cause = OutageCause::Rollout(rollout.id);
        let remaining = rollout.remaining.clone();
        // Where an outage costs no capacity first.
        let has_evacuated = !self.view.evacuated.is_empty();
        for is_evacuated in [true, false] {
            if (is_evacuated && !has_evacuated) || builder.headroom(is_evacuated) == 0 {
                continue;
            }
            let chosen = |record: &VmRecord| {
                let is_chosen = self.view.is_evacuated(&record.identity) == is_evacuated;
                is_chosen && remaining.contains(&record.identity.vm)
            };
            for record in self.drain_candidates(builder, pool, chosen) {
                if self.is_full(builder, is_evacuated) {
                    break;
                }
                let AnyVm::Serving(vm) = AnyVm::from(record.clone()) else {
                    continue;
                };
                let move_to = match is_evacuated {
                    true => None,
                    false => allocator.grant_with_reboot(pool),
                };
                if builder.drain(vm, cause, move_to).is_err() {
                    break;
                }
            }
        }
    }

    /// Returns whether the step takes no more drains, in evacuated data centres or in the
    /// others.
    fn is_full(&self, builder: &StepBuilder<'_>, in_evacuated: bool) -> bool {
        builder.headroom(in_evacuated) == 0
            || builder.change_count() >= self.settings.max_changes_per_step
    }

    /// Starts drains for moves without a reboot.
    fn start_move_drains(
        &self,
        builder: &mut StepBuilder<'_>,
        pool: &PoolName,
        allocator: &mut MoveAllocator<'_>,
    ) {
        let is_undeclared = !self.view.declaration.pools.contains_key(pool);
        if builder.headroom(false) == 0 || !(is_undeclared || allocator.has_shortage()) {
            return;
        }
        let targets = ProfileTargets::of(self.view.declaration.profile);
        let chosen = |record: &VmRecord| !self.view.is_evacuated(&record.identity);
        for record in self.drain_candidates(builder, pool, chosen) {
            if self.is_full(builder, false) {
                return;
            }
            let granted = allocator.grant(pool);
            let allowed = granted.filter(|grant| grant.urgent || targets.drain_for_moves);
            let fallback_pool = || allocator.fallback_pool().filter(|_| is_undeclared).cloned();
            let Some(to) = allowed.map(|grant| grant.to).or_else(fallback_pool) else {
                return;
            };
            if let AnyVm::Serving(vm) = AnyVm::from(record.clone())
                && builder.drain(vm, OutageCause::Move, Some(to)).is_err()
            {
                return;
            }
        }
    }

    /// Returns the serving members of one data centre that may be drained, in
    /// order: rack by rack, racks that already have an outage first, and the
    /// longest expected drain first among racks and within a rack.
    fn drain_candidates(
        &self,
        builder: &StepBuilder<'_>,
        pool: &PoolName,
        chosen: impl Fn(&VmRecord) -> bool,
    ) -> Vec<&'a VmRecord> {
        let members = self.index.members(pool).iter().map(|row| &row.value);
        let mut candidates: Vec<&VmRecord> = members
            .filter(|record| {
                let vm = &record.identity.vm;
                record.phase == VmPhase::Serving
                    && chosen(record)
                    && !self.view.is_suspect(vm)
                    && !builder.has_changed(vm)
            })
            .collect();
        let mut counts = BTreeMap::new();
        for record in &candidates {
            *counts.entry(&record.identity.data_centre).or_insert(0) += 1;
        }
        let fullest = counts.into_iter().max_by_key(|(_, count)| *count);
        let data_centre = builder
            .pinned_data_centre()
            .or(fullest.map(|(name, _)| name));
        let data_centre = data_centre.cloned();
        candidates.retain(|record| Some(&record.identity.data_centre) == data_centre.as_ref());
        let mut racks: BTreeMap<&RackName, time::Duration> = BTreeMap::new();
        for record in &candidates {
            let longest = racks.entry(&record.identity.rack).or_default();
            *longest = cmp::max(*longest, self.expected_drain(&record.identity.vm));
        }
        candidates.sort_by_cached_key(|record| {
            let rack = &record.identity.rack;
            let longest = racks.get(rack).copied().unwrap_or_default();
            let drain = self.expected_drain(&record.identity.vm);
            let has_outage = self.has_outage_in_rack(builder, rack);
            (
                cmp::Reverse((has_outage, longest)),
                rack.clone(),
                cmp::Reverse(drain),
                record.identity.vm.clone(),
            )
        });
        candidates
    }

    fn has_outage_in_rack(&self, builder: &StepBuilder<'_>, rack: &RackName) -> bool {
        let mut vms = builder.record().outages.keys();
        vms.any(|vm| {
            let row = self.view.rows.vms.get(vm);
            row.is_some_and(|row| row.value.identity.rack == *rack)
        })
    }

    fn expected_drain(&self, vm: &VmId) -> time::Duration {
        let observation = self.view.observations.get(vm);
        observation.map_or(time::Duration::ZERO, |observation| {
            observation.expected_drain
        })
    }

    /// Returns whether a VM moves to a declared pool; one in an evacuated data centre does
    /// not join any.
    fn has_target_pool(&self, builder: &StepBuilder<'_>, vm: &VmId) -> bool {
        let row = self.view.rows.vms.get(vm);
        if row.is_some_and(|row| self.view.is_evacuated(&row.value.identity)) {
            return false;
        }
        let outage = builder.outage(vm);
        let target = outage.and_then(|outage| outage.move_to.as_ref());
        target.is_some_and(|pool| self.view.declaration.pools.contains_key(pool))
    }

    fn is_row_expired(&self, observation: &VmObservation) -> bool {
        self.view.list_recent && observation.absent_for >= self.settings.delete_after
    }

    fn observation(&self, vm: &VmId) -> VmObservation {
        let observation = self.view.observations.get(vm);
        observation.cloned().unwrap_or_default()
    }

    fn phase_started(&self, pool: &PoolName, vm: &VmId) -> PlanTime {
        let row = self.view.rows.pools.get(pool);
        let outage = row.and_then(|row| row.value.outages.get(vm));
        outage.map_or(self.now, |outage| outage.phase_started)
    }
}
