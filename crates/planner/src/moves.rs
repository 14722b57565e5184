//! Shortages and surpluses of pools, and the allocation of moves between them.

use std::collections::BTreeMap;

use redwing_model::PoolName;

use crate::capacity::{FleetIndex, count_lost, pool_requirement};
use crate::plan::PlannerSettings;
use crate::record::PoolRecord;
use crate::view::PlannerView;

/// Shortage of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    /// Number of VMs that the pool is short of.
    vms: u32,
    /// Whether VMs were lost, either more than the budget or permanently.
    from_loss: bool,
    /// Whether the pool cannot wait for a reboot in the donor pool: VMs were
    /// lost, or sustained demand exceeds the full capacity of the pool.
    urgent: bool,
}

/// VMs that a pool can release.
#[derive(Clone, Copy, Debug, Default)]
struct Surplus {
    /// VMs beyond its target and, for the spare pool, beyond the reserve.
    vms: u32,
    /// Further VMs that the spare pool may release to replace lost VMs.
    reserve: u32,
}

/// Move granted by the allocator.
#[derive(Clone, Debug)]
pub(crate) struct MoveGrant {
    /// Pool that the VM joins.
    pub(crate) to: PoolName,
    /// Whether the move cannot wait for a reboot in the donor pool.
    pub(crate) urgent: bool,
}

/// Allocates moves: each grant reduces the shortage and surplus of its pools.
#[derive(Debug)]
pub(crate) struct MoveAllocator<'a> {
    spare: Option<&'a PoolName>,
    shortages: BTreeMap<&'a PoolName, Shortage>,
    surpluses: BTreeMap<&'a PoolName, Surplus>,
}

impl<'a> MoveAllocator<'a> {
    pub(crate) fn new(
        view: &PlannerView<'a>,
        settings: &PlannerSettings,
        index: &FleetIndex<'_>,
    ) -> Self {
        let spare = view.declaration.spare_pool.as_ref();
        let mut allocator = Self {
            spare,
            shortages: BTreeMap::new(),
            surpluses: BTreeMap::new(),
        };
        let incoming = incoming(view);
        for pool in view.declaration.pools.keys() {
            let Some(row) = view.rows.pools.get(pool) else {
                continue;
            };
            let incoming = incoming.get(pool).copied().unwrap_or(0);
            let evacuated = index.evacuated(pool).present;
            let balance = PoolBalance::new(view, settings, pool, &row.value, evacuated);
            if spare == Some(pool) {
                let surplus = balance.spare_surplus(index.largest_rack());
                allocator.surpluses.insert(pool, surplus);
            } else {
                allocator.shortages.insert(pool, balance.shortage(incoming));
                allocator.surpluses.insert(pool, balance.surplus());
            }
        }
        allocator
    }

    /// Returns whether any pool has a shortage.
    pub(crate) fn has_shortage(&self) -> bool {
        self.shortages.values().any(|shortage| shortage.vms > 0)
    }

    /// Grants a move of one VM of `donor` to the pool with the largest shortage;
    /// pools that lost VMs come first.
    pub(crate) fn grant(&mut self, donor: &PoolName) -> Option<MoveGrant> {
        let candidates = self.shortages.iter_mut();
        let candidates = candidates.filter(|(pool, shortage)| **pool != donor && shortage.vms > 0);
        let (pool, shortage) =
            candidates.max_by_key(|(_, shortage)| (shortage.from_loss, shortage.vms))?;
        let surplus = self.surpluses.get_mut(donor)?;
        if surplus.vms > 0 {
            surplus.vms -= 1;
        } else if shortage.from_loss && surplus.reserve > 0 {
            surplus.reserve -= 1;
        } else {
            return None;
        }
        shortage.vms -= 1;
        Some(MoveGrant {
            to: (*pool).clone(),
            urgent: shortage.urgent,
        })
    }

    /// Grants a move of a VM that is rebooted anyway, so that the move needs no
    /// drain of its own. If no pool has a shortage, a surplus VM returns to the
    /// spare pool.
    pub(crate) fn grant_with_reboot(&mut self, donor: &PoolName) -> Option<PoolName> {
        if let Some(grant) = self.grant(donor) {
            return Some(grant.to);
        }
        let spare = self.spare.filter(|spare| *spare != donor)?;
        let surplus = self.surpluses.get_mut(donor)?;
        surplus.vms = surplus.vms.checked_sub(1)?;
        Some(spare.clone())
    }

    /// Returns the pool for VMs that no pool requires: the spare pool, else the
    /// pool with the largest shortage.
    pub(crate) fn fallback_pool(&self) -> Option<&'a PoolName> {
        let largest = self
            .shortages
            .iter()
            .max_by_key(|(_, shortage)| shortage.vms);
        self.spare.or(largest.map(|(pool, _)| *pool))
    }
}

/// Figures from which the shortage and surplus of one pool are computed.
struct PoolBalance {
    declared: u32,
    budget: u32,
    /// Members that are neither moving to another pool nor lost.
    present: u32,
    /// Members that are not moving to another pool, without those in evacuated data centres.
    staying: u32,
    /// VMs required for the sustained demand; `None` while it is unknown.
    required: Option<u32>,
    /// Number of VMs beyond which the pool releases VMs.
    release_vms: u32,
    /// VMs required for the sustained demand at a utilisation of 1.
    full_load_vms: u32,
}

impl PoolBalance {
    fn new(
        view: &PlannerView<'_>,
        settings: &PlannerSettings,
        pool: &PoolName,
        record: &PoolRecord,
        evacuated: u32,
    ) -> Self {
        let requirement = pool_requirement(view, settings.slots_per_vm, pool);
        let target = view.declaration.pools.get(pool);
        let declared = target.map_or(0, |target| target.vms);
        let staying = record
            .members
            .saturating_sub(record.departing() + evacuated);
        // A pool releases no VMs while its demand is unknown.
        let release_vms = requirement.map_or(u32::MAX, |requirement| requirement.release_vms);
        Self {
            declared,
            budget: target.map_or(0, |target| target.max_unavailable),
            present: staying.saturating_sub(count_lost(record)),
            staying,
            full_load_vms: requirement.map_or(0, |requirement| requirement.full_load_vms),
            required: requirement.map(|requirement| requirement.vms),
            release_vms,
        }
    }

    fn shortage(&self, incoming: u32) -> Shortage {
        let target = self.required.unwrap_or(0).max(self.declared);
        let below_target = target.saturating_sub(self.staying + incoming);
        let min_present = target.saturating_sub(self.budget);
        let below_min = min_present.saturating_sub(self.present + incoming);
        // A pool smaller than declared has lost VMs permanently; they use up
        // its budget until they are replaced.
        let from_loss = below_min > 0 || self.staying + incoming < self.declared;
        Shortage {
            vms: below_target.max(below_min),
            from_loss,
            urgent: from_loss || self.full_load_vms > self.staying,
        }
    }

    fn surplus(&self) -> Surplus {
        let retained = self.declared.max(self.release_vms);
        Surplus {
            vms: self.present.saturating_sub(retained),
            reserve: 0,
        }
    }

    fn spare_surplus(&self, largest_rack: u32) -> Surplus {
        let required = self.required.unwrap_or(self.declared);
        let free = self.present.saturating_sub(required);
        let vms = free.saturating_sub(largest_rack);
        Surplus {
            vms,
            reserve: free - vms,
        }
    }
}

/// Returns the number of VMs that are moving to each pool.
fn incoming<'a>(view: &PlannerView<'a>) -> BTreeMap<&'a PoolName, u32> {
    let mut counts = BTreeMap::new();
    for row in view.rows.pools.values() {
        let targets = row.value.outages.values();
        for pool in targets.filter_map(|outage| outage.move_to.as_ref()) {
            *counts.entry(pool).or_insert(0) += 1;
        }
    }
    counts
}
