//! Required capacity of pools, and the buffer of the whole fleet.

use std::collections::{BTreeMap, HashMap};

use redwing_model::vm::{VmPhase, VmRecord};
use redwing_model::{PoolName, RackName};

use crate::profile::ProfileTargets;
use crate::record::{OutageCause, PoolRecord};
use crate::view::{PlannerView, Versioned};

/// Standard deviations of the number of single failures that the buffer covers.
const FAILURE_SIGMAS: f64 = 3.0;

/// Number of a pool's members in evacuated data centres.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct EvacuatedMembers {
    /// Members in phase serving that are no suspects and limit the outages of the others. In
    /// the spare pool there are none: it replaces VMs just then.
    pub(crate) serving: u32,
    /// Members that would be present without the evacuation: those that are not lost and do
    /// not move to another pool.
    pub(crate) present: u32,
}

/// VMs grouped by pool, computed once for each plan.
#[derive(Debug, Default)]
pub(crate) struct FleetIndex<'a> {
    by_pool: BTreeMap<&'a PoolName, Vec<&'a Versioned<VmRecord>>>,
    /// Members that are out of service or have an observation.
    abnormal: BTreeMap<&'a PoolName, Vec<&'a VmRecord>>,
    suspects: BTreeMap<&'a PoolName, u32>,
    evacuated: BTreeMap<&'a PoolName, EvacuatedMembers>,
    largest_rack: u32,
}

impl<'a> FleetIndex<'a> {
    pub(crate) fn new(view: &PlannerView<'a>) -> Self {
        let mut index = Self::default();
        let mut racks: HashMap<&RackName, u32> = HashMap::new();
        for row in view.rows.vms.values() {
            let record = &row.value;
            index.by_pool.entry(&record.pool).or_default().push(row);
            if record.phase != VmPhase::Serving {
                index.abnormal.entry(&record.pool).or_default().push(record);
            }
            *racks.entry(&row.value.identity.rack).or_default() += 1;
        }
        for vm in view.observations.keys() {
            let Some(row) = view.rows.vms.get(vm) else {
                continue;
            };
            let record = &row.value;
            if record.phase != VmPhase::Serving {
                continue;
            }
            index.abnormal.entry(&record.pool).or_default().push(record);
            if view.is_suspect(vm) {
                *index.suspects.entry(&record.pool).or_default() += 1;
            }
        }
        index.largest_rack = racks.into_values().max().unwrap_or(0);
        if !view.evacuated.is_empty() {
            index.count_evacuated(view);
        }
        index
    }

    fn count_evacuated(&mut self, view: &PlannerView<'a>) {
        let spare = view.declaration.spare_pool.as_ref();
        let records = view.rows.vms.values().map(|row| &row.value);
        for record in records.filter(|record| view.is_evacuated(&record.identity)) {
            let counts = self.evacuated.entry(&record.pool).or_default();
            let vm = &record.identity.vm;
            let is_serving = record.phase == VmPhase::Serving && !view.is_suspect(vm);
            if is_serving && spare != Some(&record.pool) {
                counts.serving += 1;
            }
            let pool = view.rows.pools.get(&record.pool);
            let outage = pool.and_then(|row| row.value.outages.get(vm));
            let is_present =
                outage.is_none_or(|outage| outage.cause.is_planned() && outage.move_to.is_none());
            counts.present += u32::from(is_present);
        }
    }

    /// Returns the number of members in evacuated data centres.
    pub(crate) fn evacuated(&self, pool: &PoolName) -> EvacuatedMembers {
        self.evacuated.get(pool).copied().unwrap_or_default()
    }

    pub(crate) fn members(&self, pool: &PoolName) -> &[&'a Versioned<VmRecord>] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn abnormal(&self, pool: &PoolName) -> &[&'a VmRecord] {
        self.abnormal.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of suspects: members in phase serving that are ejected
    /// or not listed as live.
    pub(crate) fn suspects(&self, pool: &PoolName) -> u32 {
        self.suspects.get(pool).copied().unwrap_or(0)
    }

    pub(crate) fn pools(&self) -> impl Iterator<Item = &'a PoolName> + '_ {
        self.by_pool.keys().copied()
    }

    pub(crate) fn largest_rack(&self) -> u32 {
        self.largest_rack
    }
}

/// Number of VMs that a pool requires for its sustained demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolRequirement {
    /// Sustained demand of the pool's classes, in slots.
    pub slots: f64,
    /// VMs that serve the demand within the targeted utilisation while the
    /// whole availability budget is out of service.
    pub vms: u32,
    /// The same for a demand increased by the release margin; a pool releases
    /// VMs only beyond this number.
    pub release_vms: u32,
    /// VMs required at a utilisation of 1, without the budget.
    pub full_load_vms: u32,
}

/// Returns the requirement of a pool, or `None` while the sustained demand of
/// one of its classes is unknown or it has no class.
pub fn pool_requirement(
    view: &PlannerView<'_>,
    slots_per_vm: u32,
    pool: &PoolName,
) -> Option<PoolRequirement> {
    let targets = ProfileTargets::of(view.declaration.profile);
    let budget = view.declaration.pools.get(pool)?.max_unavailable;
    let mut slots = None;
    for (class, queue) in &view.declaration.queues {
        if queue.pool == *pool {
            slots = Some(slots.unwrap_or(0.0) + view.demand.get(class)?);
        }
    }
    let slots = slots?;
    let usable = f64::from(slots_per_vm) * targets.utilisation;
    let vms_for = |slots: f64| (slots / usable).ceil() as u32 + budget;
    Some(PoolRequirement {
        slots,
        vms: vms_for(slots),
        release_vms: vms_for(slots * (1.0 + targets.release_margin)),
        full_load_vms: (slots / f64::from(slots_per_vm)).ceil() as u32,
    })
}

/// Buffer of the whole fleet and its components, in VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferPlan {
    /// Sum of the availability budgets: VMs that maintenance may take out of
    /// service.
    pub budgets: u32,
    /// VMs of the largest rack, reserved once for all pools in the spare pool.
    pub largest_rack: u32,
    /// VMs that single failures keep out of service.
    pub ordinary_failures: u32,
    /// VMs of the largest data centre, whose loss the buffer does not cover.
    pub data_centre: u32,
}

impl BufferPlan {
    /// Derives the buffer from the fleet; `failed_vms` is the mean number of
    /// VMs that single failures keep out of service at any time.
    pub fn derive(view: &PlannerView<'_>, failed_vms: f64) -> Self {
        let mut racks: HashMap<&RackName, u32> = HashMap::new();
        let mut data_centres = HashMap::new();
        for row in view.rows.vms.values() {
            let identity = &row.value.identity;
            *racks.entry(&identity.rack).or_default() += 1;
            *data_centres.entry(&identity.data_centre).or_insert(0) += 1;
        }
        let pools = view.declaration.pools.values();
        let failures = failed_vms + FAILURE_SIGMAS * failed_vms.sqrt();
        Self {
            budgets: pools.map(|pool| pool.max_unavailable).sum(),
            largest_rack: racks.into_values().max().unwrap_or(0),
            ordinary_failures: failures.round() as u32,
            data_centre: data_centres.into_values().max().unwrap_or(0),
        }
    }

    /// Returns the number of VMs to provide beyond the demand.
    pub fn total(&self) -> u32 {
        self.budgets + self.largest_rack + self.ordinary_failures
    }
}

/// Returns the number of members that are out of service because they failed
/// or the platform removes them.
pub(crate) fn count_lost(record: &PoolRecord) -> u32 {
    let unplanned = |cause: OutageCause| !cause.is_planned();
    let outages = record.outages.values();
    outages.filter(|outage| unplanned(outage.cause)).count() as u32
}
