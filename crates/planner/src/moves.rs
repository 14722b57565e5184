//! Which pools lack VMs and which can give some.

use std::collections::BTreeMap;

use redwing_model::PoolName;

use crate::capacity::{FleetIndex, lost, pool_need};
use crate::plan::PlannerSettings;
use crate::record::PoolRecord;
use crate::view::PlannerView;

/// VMs that a pool lacks.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    vms: u32,
    /// Whether VMs were lost, beyond the budget or for good.
    from_loss: bool,
    /// Whether it cannot wait for a reboot of the donor pool: VMs were lost,
    /// or sustained demand exceeds all that the pool can run.
    urgent: bool,
}

/// VMs that a pool can give.
#[derive(Clone, Copy, Debug, Default)]
struct Surplus {
    /// VMs beyond its target and, for the spare pool, beyond the reserve.
    vms: u32,
    /// Further VMs that it may give to replace lost ones.
    reserve: u32,
}

/// A move that the ledger has granted.
#[derive(Clone, Debug)]
pub(crate) struct GrantedMove {
    /// Pool that the VM joins.
    pub(crate) to: PoolName,
    /// Whether it cannot wait for a reboot of the donor pool.
    pub(crate) urgent: bool,
}

/// Shortages and surpluses of all pools, reduced by each granted move.
#[derive(Debug)]
pub(crate) struct MoveLedger<'a> {
    spare: Option<&'a PoolName>,
    shortages: BTreeMap<&'a PoolName, Shortage>,
    surpluses: BTreeMap<&'a PoolName, Surplus>,
}

impl<'a> MoveLedger<'a> {
    pub(crate) fn new(
        view: &PlannerView<'a>,
        settings: &PlannerSettings,
        index: &FleetIndex<'_>,
    ) -> Self {
        let spare = view.declaration.spare_pool.as_ref();
        let mut ledger = Self {
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
            let balance = PoolBalance::new(view, settings, pool, &row.value);
            if spare == Some(pool) {
                let surplus = balance.spare_surplus(index.largest_rack());
                ledger.surpluses.insert(pool, surplus);
            } else {
                ledger.shortages.insert(pool, balance.shortage(incoming));
                ledger.surpluses.insert(pool, balance.surplus());
            }
        }
        ledger
    }

    /// Returns whether some pool lacks a VM.
    pub(crate) fn has_shortage(&self) -> bool {
        self.shortages.values().any(|shortage| shortage.vms > 0)
    }

    /// Grants a move of one VM of `donor` to the pool that lacks most.
    pub(crate) fn grant(&mut self, donor: &PoolName) -> Option<GrantedMove> {
        let wanted = self.shortages.iter_mut();
        let wanted = wanted.filter(|(pool, shortage)| **pool != donor && shortage.vms > 0);
        let (pool, shortage) =
            wanted.max_by_key(|(_, shortage)| (shortage.from_loss, shortage.vms))?;
        let surplus = self.surpluses.get_mut(donor)?;
        if surplus.vms > 0 {
            surplus.vms -= 1;
        } else if shortage.from_loss && surplus.reserve > 0 {
            surplus.reserve -= 1;
        } else {
            return None;
        }
        shortage.vms -= 1;
        Some(GrantedMove {
            to: (*pool).clone(),
            urgent: shortage.urgent,
        })
    }

    /// Grants a move that costs nothing because the VM is rebooted anyway;
    /// a VM that no pool lacks goes back to the spare pool.
    pub(crate) fn grant_ride(&mut self, donor: &PoolName) -> Option<PoolName> {
        if let Some(granted) = self.grant(donor) {
            return Some(granted.to);
        }
        let spare = self.spare.filter(|spare| *spare != donor)?;
        let surplus = self.surpluses.get_mut(donor)?;
        surplus.vms = surplus.vms.checked_sub(1)?;
        Some(spare.clone())
    }

    /// Returns the pool that VMs without a declared pool go to.
    pub(crate) fn refuge(&self) -> Option<&'a PoolName> {
        let lacking = self.shortages.iter().max_by_key(|(_, lack)| lack.vms);
        self.spare.or(lacking.map(|(pool, _)| *pool))
    }
}

/// Numbers from which shortage and surplus of one pool follow.
struct PoolBalance {
    declared: u32,
    budget: u32,
    /// Members that neither leave for another pool nor are lost.
    present: u32,
    /// Members that do not leave for another pool.
    staying: u32,
    need: Option<u32>,
    release: u32,
    /// VMs that the sustained demand would fill to the last slot.
    filled: u32,
}

impl PoolBalance {
    fn new(
        view: &PlannerView<'_>,
        settings: &PlannerSettings,
        pool: &PoolName,
        record: &PoolRecord,
    ) -> Self {
        let need = pool_need(view, settings.slots_per_vm, pool);
        let target = view.declaration.pools.get(pool);
        let declared = target.map_or(0, |target| target.vms);
        let staying = record.members.saturating_sub(record.departing());
        // Until the demand is known, a pool gives up nothing it holds.
        let release = need.map_or(u32::MAX, |need| need.release_vms);
        Self {
            declared,
            budget: target.map_or(0, |target| target.max_unavailable),
            present: staying.saturating_sub(lost(record)),
            staying,
            filled: need.map_or(0, |need| need.filled_vms),
            need: need.map(|need| need.vms),
            release,
        }
    }

    fn shortage(&self, incoming: u32) -> Shortage {
        let target = self.need.unwrap_or(0).max(self.declared);
        let lacking = target.saturating_sub(self.staying + incoming);
        let floor = target.saturating_sub(self.budget);
        let below_floor = floor.saturating_sub(self.present + incoming);
        // A pool smaller than declared has lost VMs for good, and its budget
        // stays spent until they are replaced.
        let from_loss = below_floor > 0 || self.staying + incoming < self.declared;
        Shortage {
            vms: lacking.max(below_floor),
            from_loss,
            urgent: from_loss || self.filled > self.staying,
        }
    }

    fn surplus(&self) -> Surplus {
        let keep = self.declared.max(self.release);
        Surplus {
            vms: self.present.saturating_sub(keep),
            reserve: 0,
        }
    }

    fn spare_surplus(&self, largest_rack: u32) -> Surplus {
        let own = self.need.unwrap_or(self.declared);
        let free = self.present.saturating_sub(own);
        let vms = free.saturating_sub(largest_rack);
        Surplus {
            vms,
            reserve: free - vms,
        }
    }
}

/// Counts, for each pool, the VMs of others that are on their way to it.
fn incoming<'a>(view: &PlannerView<'a>) -> BTreeMap<&'a PoolName, u32> {
    let mut counts = BTreeMap::new();
    for row in view.rows.pools.values() {
        let targets = row.value.out.values();
        for pool in targets.filter_map(|outage| outage.move_to.as_ref()) {
            *counts.entry(pool).or_insert(0) += 1;
        }
    }
    counts
}
