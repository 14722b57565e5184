//! Baselines that the planner is compared with.
//!
//! Both use the same rows, budgets and data centre rule, so that only the
//! decision under comparison differs.

use std::collections::BTreeMap;

use redwing_model::PoolName;

use crate::builder::StepBuilder;
use crate::capacity::FleetIndex;
use crate::lifecycle::AnyVm;
use crate::record::OutageCause;
use crate::rollout::RolloutState;
use crate::step::PlanStep;
use crate::time::PlanTime;
use crate::view::{FleetRows, PlannerView};

/// Maximum load, as a fraction of its serving slots, at which a pool gives a VM
/// to a pool with a surge.
const MAX_DONOR_LOAD: f64 = 0.5;

/// Returns rows in which a running roll-out is paused while any VM is in a
/// planned outage, so that a wave starts only after the previous one returned.
pub fn lock_step_rows(rows: &FleetRows) -> FleetRows {
    let mut rows = rows.clone();
    for (pool, rollout) in &mut rows.rollouts {
        let has_outages = rows
            .pools
            .get(pool)
            .is_some_and(|row| row.value.planned_outages() > 0);
        if has_outages && rollout.value.state == RolloutState::Running {
            rollout.value.state = RolloutState::Paused;
        }
    }
    rows
}

/// Returns the reserve, in VMs, of a fleet whose pools each reserve their budget
/// and the largest number of their own VMs in one rack.
pub fn reserve_per_pool(view: &PlannerView<'_>) -> u32 {
    let index = FleetIndex::new(view);
    let mut reserve = 0;
    for (pool, target) in &view.declaration.pools {
        let mut racks = BTreeMap::new();
        for row in index.members(pool) {
            *racks.entry(&row.value.identity.rack).or_insert(0) += 1;
        }
        let largest: u32 = racks.into_values().max().unwrap_or(0);
        reserve += target.max_unavailable + largest;
    }
    reserve
}

/// Returns a move of one VM to a pool whose surge has started, so that its
/// demand exceeds its capacity.
///
/// `loads` is the current demand of each pool, in slots.
pub fn move_for_surge(
    now: PlanTime,
    view: &PlannerView<'_>,
    slots_per_vm: u32,
    loads: &[(PoolName, f64)],
) -> Option<PlanStep> {
    let capacity = |pool: &PoolName| {
        let row = view.rows.pools.get(pool);
        f64::from(row.map_or(0, |row| row.value.serving()) * slots_per_vm)
    };
    let mut pools = loads.iter();
    let (recipient, _) = pools.find(|(pool, load)| *load > capacity(pool))?;
    let idle = loads
        .iter()
        .filter(|(pool, load)| *load < MAX_DONOR_LOAD * capacity(pool));
    let (donor, _) = idle.max_by(|one, other| capacity(&one.0).total_cmp(&capacity(&other.0)))?;
    let mut builder = StepBuilder::new(now, view, donor, 0);
    let index = FleetIndex::new(view);
    for row in index.members(donor) {
        if let AnyVm::Serving(vm) = AnyVm::from(row.value.clone())
            && builder
                .drain(vm, OutageCause::Move, Some(recipient.clone()))
                .is_ok()
        {
            break;
        }
    }
    builder.build()
}
