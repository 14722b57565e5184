//! Capacity that pools need, and the buffer that the fleet must hold.

use std::collections::{BTreeMap, HashMap};

use redwing_model::vm::{VmPhase, VmRecord};
use redwing_model::{PoolName, RackName};

use crate::profile::ProfileTargets;
use crate::record::{OutageCause, PoolRecord};
use crate::view::{PlannerView, Versioned};

/// Standard deviations of ordinary failures that the buffer covers.
const FAILURE_SIGMAS: f64 = 3.0;

/// VMs grouped once for one plan.
#[derive(Debug, Default)]
pub(crate) struct FleetIndex<'a> {
    by_pool: BTreeMap<&'a PoolName, Vec<&'a Versioned<VmRecord>>>,
    /// Members that are out of service or of which something was observed.
    notable: BTreeMap<&'a PoolName, Vec<&'a VmRecord>>,
    suspects: BTreeMap<&'a PoolName, u32>,
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
                index.notable.entry(&record.pool).or_default().push(record);
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
            index.notable.entry(&record.pool).or_default().push(record);
            if view.is_suspect(vm) {
                *index.suspects.entry(&record.pool).or_default() += 1;
            }
        }
        index.largest_rack = racks.into_values().max().unwrap_or(0);
        index
    }

    pub(crate) fn members(&self, pool: &PoolName) -> &[&'a Versioned<VmRecord>] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn notable(&self, pool: &PoolName) -> &[&'a VmRecord] {
        self.notable.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns how many members are in doubt although their rows say serving.
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

/// Number of VMs that a pool needs for its sustained demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolNeed {
    /// Sustained demand of the pool's classes, in slots.
    pub slots: f64,
    /// VMs that carry it within the targeted utilisation while the whole
    /// availability budget is out of service.
    pub vms: u32,
    /// The same for a demand that has grown by the release margin; a pool
    /// gives up a VM only if it holds more than this.
    pub release_vms: u32,
    /// VMs that the demand would fill to the last slot.
    pub filled_vms: u32,
}

/// Returns the need of a pool, or `None` while its demand is not known.
pub fn pool_need(view: &PlannerView<'_>, slots_per_vm: u32, pool: &PoolName) -> Option<PoolNeed> {
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
    let count = |slots: f64| (slots / usable).ceil() as u32 + budget;
    Some(PoolNeed {
        slots,
        vms: count(slots),
        release_vms: count(slots * (1.0 + targets.release_margin)),
        filled_vms: (slots / f64::from(slots_per_vm)).ceil() as u32,
    })
}

/// Buffer of the whole fleet and what it was derived from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferPlan {
    /// Sum of the availability budgets: VMs that maintenance may take out.
    pub budgets: u32,
    /// VMs of the largest rack, held once for all pools in the spare pool.
    pub largest_rack: u32,
    /// VMs that ordinary single failures keep out of service.
    pub ordinary_failures: u32,
    /// VMs of the largest data centre; its loss is not covered by the buffer.
    pub data_centre: u32,
}

impl BufferPlan {
    /// Derives the buffer from the fleet; `failed_vms` is the mean number of
    /// VMs out of service through single failures at any time.
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

    /// Returns the number of VMs to hold beyond the demand.
    pub fn total(&self) -> u32 {
        self.budgets + self.largest_rack + self.ordinary_failures
    }
}

/// Returns how many members are out through failure or departure.
pub(crate) fn lost(record: &PoolRecord) -> u32 {
    let lost = |cause: OutageCause| !cause.is_planned();
    let outages = record.out.values();
    outages.filter(|outage| lost(outage.cause)).count() as u32
}
