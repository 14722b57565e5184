//! Builder of the transaction of one pool.

use std::borrow;
use std::collections::BTreeMap;

use redwing_model::vm::{VmIdentity, VmPhase, VmRecord};
use redwing_model::{DataCentre, PoolName, VmId};

use crate::budget::PoolBudget;
use crate::error::{Error, Result};
use crate::lifecycle::{
    AnyVm, Draining, Failed, Missing, PhaseMarker, Returning, Serving, TrackedVm,
};
use crate::record::{OutageCause, PoolRecord, RebootOperation, RebootProgress, VmOutage};
use crate::rollout::{RolloutRecord, RolloutState, pinned_data_centre};
use crate::step::{
    PlanStep, RowContent, RowExpectation, RowReference, RowUpdate, StepChange, StepCommit,
};
use crate::time::PlanTime;
use crate::view::PlannerView;

/// Collects the changes of one pool in a plan step; planned drains are checked
/// against the availability budget.
pub(crate) struct StepBuilder<'a> {
    now: PlanTime,
    view: &'a PlannerView<'a>,
    name: &'a PoolName,
    budget: PoolBudget,
    suspects: u32,
    /// Serving members in evacuated data centres that are no suspects.
    evacuated: u32,
    record: PoolRecord,
    rollout: Option<borrow::Cow<'a, RolloutRecord>>,
    pinned_data_centre: Option<DataCentre>,
    writes: BTreeMap<RowReference, Option<RowContent>>,
    includes_rollout: bool,
    changes: Vec<StepChange>,
}

impl<'a> StepBuilder<'a> {
    pub(crate) fn new(
        now: PlanTime,
        view: &'a PlannerView<'a>,
        name: &'a PoolName,
        suspects: u32,
    ) -> Self {
        let target = view.declaration.pools.get(name);
        let declared = target.map_or(0, |target| target.vms);
        // A pool that is no longer declared releases all its VMs.
        let max_unavailable = target.map_or(u32::MAX, |target| target.max_unavailable);
        let row = view.rows.pools.get(name);
        let record = row.map_or_else(|| initial_record(now, view, name), |row| row.value.clone());
        let rollout = view.rows.rollouts.get(name);
        let rollout = rollout.map(|row| borrow::Cow::Borrowed(&row.value));
        let mut builder = Self {
            now,
            view,
            name,
            budget: PoolBudget::new(max_unavailable),
            suspects,
            evacuated: 0,
            pinned_data_centre: pinned_data_centre(view, &record),
            record,
            rollout,
            writes: BTreeMap::new(),
            includes_rollout: false,
            changes: Vec::new(),
        };
        builder.apply_declaration(declared, max_unavailable, row.is_none());
        builder
    }

    /// Sets the number of serving members in evacuated data centres that are no suspects.
    pub(crate) fn with_evacuated(self, evacuated: u32) -> Self {
        Self { evacuated, ..self }
    }

    pub(crate) fn record(&self) -> &PoolRecord {
        &self.record
    }

    pub(crate) fn rollout(&self) -> Option<&RolloutRecord> {
        self.rollout.as_deref()
    }

    pub(crate) fn outage(&self, vm: &VmId) -> Option<&VmOutage> {
        self.record.outages.get(vm)
    }

    /// Returns how many more VMs may be taken out of service, in evacuated data centres or in
    /// the others.
    pub(crate) fn headroom(&self, in_evacuated: bool) -> u32 {
        self.budget
            .headroom(&self.record, self.absent(in_evacuated))
    }

    /// Returns whether planned drains must be cancelled, in evacuated data centres or in the
    /// others.
    pub(crate) fn must_cancel_drains(&self, in_evacuated: bool) -> bool {
        let absent = self.absent(in_evacuated);
        self.budget.excess(&self.record, absent) > 0
    }

    /// Returns the number of members in phase serving that count as out of service. Those in
    /// evacuated data centres don't limit outages there, which cost no capacity.
    fn absent(&self, in_evacuated: bool) -> u32 {
        match in_evacuated {
            true => self.suspects,
            false => self.suspects + self.evacuated,
        }
    }

    /// Returns the only data centre in which planned outages are allowed, or
    /// `None` if the pool has no planned outage.
    pub(crate) fn pinned_data_centre(&self) -> Option<&DataCentre> {
        self.pinned_data_centre.as_ref()
    }

    pub(crate) fn change_count(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether this transaction already changes the VM.
    pub(crate) fn has_changed(&self, vm: &VmId) -> bool {
        self.writes.contains_key(&RowReference::Vm(vm.clone()))
    }

    pub(crate) fn adopt(&mut self, identity: &VmIdentity) {
        let vm = TrackedVm::adopt(identity.clone(), self.name.clone());
        self.add_member(vm.into_record());
        let vm = identity.vm.clone();
        self.changes.push(StepChange::Adopt { vm });
    }

    /// Adds a serving VM to the members of the pool.
    pub(crate) fn add_member(&mut self, record: VmRecord) {
        self.count_if_absent(&record.identity);
        self.record.members += 1;
        let unplanned = |outage: &&VmOutage| !outage.cause.is_planned();
        let lost = self.record.outages.values().filter(unplanned).count() as u32;
        let present = self.record.members.saturating_sub(lost);
        self.record.assigned = self.record.assigned.max(present);
        self.put(record);
    }

    /// Removes a VM that moves to pool `to` from the members of this pool.
    pub(crate) fn transfer_out(&mut self, vm: &VmId, to: &PoolName) {
        self.close_outage(vm);
        self.record.members = self.record.members.saturating_sub(1);
        self.record.assigned = self.record.assigned.saturating_sub(1);
        let (vm, to) = (vm.clone(), to.clone());
        self.changes.push(StepChange::Move { vm, to });
    }

    /// Starts a planned drain if the budget and the data centre rule allow it.
    pub(crate) fn drain(
        &mut self,
        vm: TrackedVm<Serving>,
        cause: OutageCause,
        move_to: Option<PoolName>,
    ) -> Result<()> {
        let identity = vm.record().identity.clone();
        let is_evacuated = self.view.is_evacuated(&identity);
        let headroom = self.headroom(is_evacuated);
        let pinned = self
            .pinned_data_centre
            .get_or_insert(identity.data_centre.clone());
        if *pinned != identity.data_centre || headroom == 0 {
            return Err(Error::budget_spent("drain", self.name));
        }
        self.evacuated = self.evacuated.saturating_sub(u32::from(is_evacuated));
        self.includes_rollout |= matches!(cause, OutageCause::Rollout(_));
        self.open_outage(&identity.vm, cause, move_to.clone());
        let record = match cause {
            OutageCause::Move => vm.drain_to_move().into_record(),
            _ => vm.drain().into_record(),
        };
        self.put(record);
        let vm = identity.vm;
        self.changes.push(StepChange::Drain { vm, cause, move_to });
        Ok(())
    }

    /// Drains a VM that the platform is removing, whatever the budget allows.
    pub(crate) fn drain_leaving(&mut self, vm: TrackedVm<Serving>) {
        let id = vm.record().identity.vm.clone();
        self.suspects = self.suspects.saturating_sub(1);
        let cause = OutageCause::Leaving;
        self.open_outage(&id, cause, None);
        self.put(vm.drain().into_record());
        self.changes.push(StepChange::Drain {
            vm: id,
            cause,
            move_to: None,
        });
    }

    pub(crate) fn cancel_drain(&mut self, record: VmRecord) {
        let vm = record.identity.vm.clone();
        self.record.outages.remove(&vm);
        self.count_if_absent(&record.identity);
        self.delete_acknowledgements(&vm);
        self.put(record);
        self.changes.push(StepChange::CancelDrain { vm });
    }

    pub(crate) fn reboot(&mut self, vm: TrackedVm<Draining>) {
        let rebooting = vm.reboot();
        let (id, revision) = vm_and_revision(&rebooting);
        let operation = RebootOperation {
            id: format!("reboot-{id}-{revision}"),
            progress: RebootProgress::Requested,
        };
        let now = self.now;
        if let Some(outage) = self.record.outages.get_mut(&id) {
            outage.phase_started = now;
            outage.reboot = Some(operation);
        }
        self.delete_acknowledgements(&id);
        self.put(rebooting.into_record());
        self.changes.push(StepChange::Reboot { vm: id });
    }

    pub(crate) fn record_progress(&mut self, vm: &VmId, progress: RebootProgress) {
        let outage = self.record.outages.get_mut(vm);
        let Some(reboot) = outage.and_then(|outage| outage.reboot.as_mut()) else {
            return;
        };
        reboot.progress = progress;
        // The VM's row is unchanged; the version of the pool's row guards the
        // change against concurrent planners.
        let vm = vm.clone();
        self.changes.push(StepChange::RebootProgress { vm });
    }

    pub(crate) fn start_check(&mut self, vm: TrackedVm<Returning>) {
        let (id, _) = vm_and_revision(&vm);
        self.reset_phase_start(&id);
        self.put(vm.into_record());
        self.changes.push(StepChange::Check { vm: id });
    }

    pub(crate) fn return_to_service(&mut self, vm: TrackedVm<Serving>) {
        let (id, _) = vm_and_revision(&vm);
        self.close_outage(&id);
        self.count_if_absent(&vm.record().identity);
        self.put(vm.into_record());
        self.changes.push(StepChange::Return { vm: id });
    }

    pub(crate) fn mark_failed(&mut self, vm: TrackedVm<Failed>) {
        let (id, _) = vm_and_revision(&vm);
        let cause = self.outage(&id).map(|outage| outage.cause);
        if let (Some(OutageCause::Rollout(number)), Some(rollout)) = (cause, &mut self.rollout)
            && rollout.id == number
        {
            let rollout = rollout.to_mut();
            rollout.record_failure(&id);
            self.includes_rollout = true;
            if rollout.state == RolloutState::Running && rollout.exceeds_failure_limit() {
                rollout.state = RolloutState::Stopped;
                self.changes.push(StepChange::StopRollout);
            }
        }
        self.mark_lost(&id);
        self.put(vm.into_record());
        self.changes.push(StepChange::Fail { vm: id });
    }

    pub(crate) fn mark_missing(&mut self, vm: TrackedVm<Missing>) {
        let (id, _) = vm_and_revision(&vm);
        self.mark_lost(&id);
        self.put(vm.into_record());
        self.changes.push(StepChange::Silence { vm: id });
    }

    pub(crate) fn delete_vm(&mut self, vm: &VmId) {
        self.record.outages.remove(vm);
        self.record.members = self.record.members.saturating_sub(1);
        if let Some(rollout) = &mut self.rollout
            && rollout.remaining.contains(vm)
        {
            rollout.to_mut().remaining.remove(vm);
            self.includes_rollout = true;
        }
        self.delete_acknowledgements(vm);
        self.writes.insert(RowReference::Vm(vm.clone()), None);
        self.changes.push(StepChange::Forget { vm: vm.clone() });
    }

    pub(crate) fn finish_rollout(&mut self) {
        let now = self.now;
        if let Some(rollout) = &mut self.rollout {
            let rollout = rollout.to_mut();
            rollout.remaining.clear();
            rollout.state = RolloutState::Done;
            rollout.ended = Some(now);
            self.includes_rollout = true;
            self.changes.push(StepChange::FinishRollout);
        }
    }

    /// Returns the plan step, or `None` if there are no changes.
    pub(crate) fn build(self) -> Option<PlanStep> {
        if self.changes.is_empty() {
            return None;
        }
        let (name, changes) = (self.name.clone(), self.changes.clone());
        let commit = self.into_commit();
        Some(PlanStep {
            pool: name,
            changes,
            commit,
        })
    }

    /// Returns one plan step for this pool and the pool that a VM joins.
    pub(crate) fn build_with(self, recipient: Self) -> Option<PlanStep> {
        let mut step = self.build()?;
        let recipient = recipient.into_commit();
        step.commit.updates.extend(recipient.updates);
        for expectation in recipient.expectations {
            if !step.commit.expectations.contains(&expectation) {
                step.commit.expectations.push(expectation);
            }
        }
        Some(step)
    }

    fn into_commit(mut self) -> StepCommit {
        let rows = self.view.rows;
        self.record.revision += 1;
        let pool = RowReference::Pool(self.name.clone());
        let content = RowContent::Pool(self.record);
        self.writes.insert(pool, Some(content));
        let reference = RowReference::Rollout(self.name.clone());
        let mut expected: Vec<RowReference> = self.writes.keys().cloned().collect();
        expected.retain(|row| !matches!(row, RowReference::DrainAck { .. }));
        if self.includes_rollout {
            expected.push(reference.clone());
            if let Some(borrow::Cow::Owned(rollout)) = self.rollout {
                let content = Some(RowContent::Rollout(rollout));
                self.writes.insert(reference, content);
            }
        }
        let expectation = |row: RowReference| RowExpectation {
            version: rows.version(&row),
            row,
        };
        let update = |(row, content)| RowUpdate { row, content };
        StepCommit {
            expectations: expected.into_iter().map(expectation).collect(),
            updates: self.writes.into_iter().map(update).collect(),
        }
    }

    fn apply_declaration(&mut self, declared: u32, max_unavailable: u32, is_new: bool) {
        let before = self.record.declared;
        let same = declared == before && max_unavailable == self.record.max_unavailable;
        if same && !is_new {
            return;
        }
        let assigned = self.record.assigned + declared;
        self.record.assigned = assigned.saturating_sub(before);
        self.record.declared = declared;
        self.record.max_unavailable = max_unavailable;
        self.record.config_version = self.view.config_version;
        let assigned = self.record.assigned;
        self.changes.push(StepChange::Resize { assigned });
    }

    fn open_outage(&mut self, vm: &VmId, cause: OutageCause, move_to: Option<PoolName>) {
        let outage = VmOutage {
            cause,
            started: self.now,
            phase_started: self.now,
            move_to,
            reboot: None,
        };
        self.record.outages.insert(vm.clone(), outage);
    }

    fn close_outage(&mut self, vm: &VmId) {
        let Some(outage) = self.record.outages.remove(vm) else {
            return;
        };
        let elapsed = self.now.saturating_since(outage.started);
        if let (OutageCause::Rollout(id), Some(rollout)) = (outage.cause, &mut self.rollout)
            && rollout.id == id
        {
            rollout.to_mut().record_return(vm, elapsed);
            self.includes_rollout = true;
        }
    }

    /// Keeps counting a VM as out of service if its phase is serving again but it is ejected,
    /// not listed as live, or in an evacuated data centre.
    fn count_if_absent(&mut self, identity: &VmIdentity) {
        if self.view.is_suspect(&identity.vm) {
            self.suspects += 1;
        } else if self.view.is_evacuated(identity) {
            self.evacuated += 1;
        }
    }

    /// Records an unplanned outage of a VM.
    fn mark_lost(&mut self, vm: &VmId) {
        let now = self.now;
        match self.record.outages.get_mut(vm) {
            Some(outage) => {
                outage.cause = OutageCause::Failure;
                outage.move_to = None;
                outage.phase_started = now;
            }
            None => {
                self.suspects = self.suspects.saturating_sub(1);
                self.open_outage(vm, OutageCause::Failure, None);
            }
        }
    }

    fn reset_phase_start(&mut self, vm: &VmId) {
        let now = self.now;
        if let Some(outage) = self.record.outages.get_mut(vm) {
            outage.phase_started = now;
        }
    }

    fn put(&mut self, record: VmRecord) {
        let row = RowReference::Vm(record.identity.vm.clone());
        self.writes.insert(row, Some(RowContent::Vm(record)));
    }

    fn delete_acknowledgements(&mut self, vm: &VmId) {
        let Some(observation) = self.view.observations.get(vm) else {
            return;
        };
        for node in &observation.acknowledged_by {
            let (vm, node) = (vm.clone(), node.clone());
            self.writes
                .insert(RowReference::DrainAck { vm, node }, None);
        }
    }
}

fn vm_and_revision<P: PhaseMarker>(vm: &TrackedVm<P>) -> (VmId, u64) {
    let record = vm.record();
    (record.identity.vm.clone(), record.revision)
}

/// Returns the first row of a pool; its members are the VMs whose rows name
/// the pool.
fn initial_record(now: PlanTime, view: &PlannerView<'_>, name: &PoolName) -> PoolRecord {
    let declared = view.declaration.pools.get(name);
    let mut record = PoolRecord::new(declared.map_or(0, |target| target.vms));
    let rows = view.rows.vms.values().map(|row| &row.value);
    for member in rows.filter(|row| row.pool == *name) {
        record.members += 1;
        if member.phase != VmPhase::Serving {
            let outage = VmOutage {
                cause: OutageCause::Failure,
                started: now,
                phase_started: now,
                move_to: None,
                reboot: None,
            };
            record.outages.insert(member.identity.vm.clone(), outage);
        }
    }
    record.assigned = record.assigned.max(record.members);
    record
}

/// Returns the record of a draining VM that is put back into service.
pub(crate) fn cancelled_record(record: &VmRecord) -> Option<VmRecord> {
    match AnyVm::from(record.clone()) {
        AnyVm::Draining(vm) => Some(vm.cancel_drain().into_record()),
        AnyVm::Moving(vm) => Some(vm.cancel_drain().into_record()),
        _ => None,
    }
}
