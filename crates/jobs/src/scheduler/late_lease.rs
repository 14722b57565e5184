//! Leases that workers take from orders for the incarnation before.
//!
//! Load pattern: workers that start again under their ids, and soon after cannot be reached.
//! An order that was on its way to the incarnation before is carried out by the new one,
//! which has seen no fencing token yet. The end of the lease in it is a time on a clock that
//! has begun anew since, so that the lease is as long as a worker grants at most. The first
//! response to an order of the present session ends this: from then on the worker rejects
//! what was sent before.

use crate::name::WorkerId;
use crate::time::BootTime;

use super::JobScheduler;
use super::fleet::WorkerEntry;
use super::lease_ledger::LeaseEnds;

/// When leases have expired that last longer than those of orders on time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LateLeases {
    /// End that counts for all workers; the beginning of time if there is none.
    pub until: BootTime,
    /// Ends for single workers.
    pub workers: LeaseEnds,
}

impl LateLeases {
    /// Returns when such leases of a worker have expired.
    pub fn end_of(&self, worker: &WorkerId) -> BootTime {
        let single = self.workers.get(worker).copied();
        self.until.max(single.unwrap_or_default())
    }

    /// Adds an end for a worker.
    pub(super) fn add(&mut self, worker: &WorkerId, until: BootTime) {
        let end = self.workers.entry(worker.clone()).or_default();
        *end = until.max(*end);
    }

    /// Forgets the ends before `now`.
    pub(super) fn forget_before(&mut self, now: BootTime) {
        self.workers.retain(|_, end| *end >= now);
        if self.until < now {
            self.until = BootTime::default();
        }
    }

    /// Returns ends that name at most `limit` workers: of more, the latest end counts for
    /// all workers.
    pub(super) fn limited(self, limit: usize) -> Self {
        if self.workers.len() <= limit {
            return self;
        }
        let latest = self.workers.into_values().max();
        Self {
            until: self.until.max(latest.unwrap_or_default()),
            workers: LeaseEnds::default(),
        }
    }
}

impl JobScheduler {
    /// Returns the entry of a worker that becomes known now, with what is known of the leases
    /// and orders of earlier owners.
    pub(super) fn new_entry(
        &self,
        worker: &WorkerId,
        incarnation: u64,
        now: BootTime,
    ) -> WorkerEntry {
        let inherited = self.inherited.as_ref();
        let unconfirmed_until = inherited.map(|leases| leases.unconfirmed.end_of(worker));
        WorkerEntry {
            incarnation,
            best_effort_percent: 100,
            lease_until: self.earlier_leases_until(worker, now),
            late_lease_until: self.inherited_late_lease(worker),
            unconfirmed_until: unconfirmed_until.unwrap_or_default(),
            earlier_orders_until: self.earlier_owners_until(now),
            ..WorkerEntry::default()
        }
    }

    /// Returns until when earlier owners may have sent orders; none if there were none.
    fn earlier_owners_until(&self, now: BootTime) -> Option<BootTime> {
        match &self.inherited {
            Some(leases) => leases.orders_until,
            None => Some(now + self.settings.inherited_lease),
        }
    }

    /// Notes the first response of a worker in the present session: the incarnation that it is
    /// has confirmed itself.
    pub(super) fn note_contact(&mut self, worker: &WorkerId, now: BootTime) {
        let inherited_until = self.inherited_late_lease(worker);
        let max_delay = self.settings.max_order_delay;
        let longest = self.settings.longest_lease_bound();
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if entry.contacted_at.is_some() {
            return;
        }
        entry.contacted_at = Some(now);
        entry.unconfirmed_until = BootTime::default();
        entry.unanswered_at = None;
        let latest_order = entry
            .earlier_orders_until
            .map(|sent| now.min(sent + max_delay));
        let late_until = latest_order.map(|carried_out| carried_out + longest);
        let late_until = late_until.unwrap_or_default().max(inherited_until);
        entry.late_lease_until = entry.late_lease_until.max(late_until);
        // From now on the worker rejects the starts for earlier incarnations.
        entry.late_start_until = entry.late_start_until.min(now + longest);
    }

    /// Notes that an earlier owner was in contact with the present incarnation of a worker,
    /// which has rejected the orders for earlier ones since.
    pub(super) fn note_earlier_contact(&mut self, worker: &WorkerId) {
        let inherited_until = self.inherited_late_lease(worker);
        if let Some(entry) = self.fleet.get_mut(worker) {
            entry.earlier_orders_until = None;
            entry.late_lease_until = inherited_until;
        }
    }

    /// Returns when the leases of a worker have expired that earlier owners stated to last
    /// longer than those of orders on time.
    pub(super) fn inherited_late_lease(&self, worker: &WorkerId) -> BootTime {
        let inherited = self.inherited.as_ref();
        let stated = inherited.map(|leases| leases.late.end_of(worker));
        stated.unwrap_or_default()
    }

    /// Returns the ends of the leases of workers with runs that last longer than an owner
    /// that is in contact with them would assume.
    pub fn late_leases(&self, now: BootTime) -> LateLeases {
        let usual_until = now + self.settings.lease_bound();
        let inherited = self.inherited.as_ref().map(|leases| &leases.late);
        let until = inherited.map(|late| late.until).unwrap_or_default();
        let until = if until > usual_until {
            until
        } else {
            BootTime::default()
        };
        let entries = self.fleet.iter();
        let tracked = entries
            .filter(|(_, entry)| self.is_restoring || !entry.reservations.is_empty())
            .map(|(id, entry)| (id, entry.late_lease_until.max(entry.late_start_until)));
        let untracked = inherited.into_iter().flat_map(|late| &late.workers);
        let untracked = untracked
            .filter(|(id, _)| self.fleet.get(id).is_none())
            .map(|(id, end)| (id, *end));
        let ends = tracked.chain(untracked);
        let ends = ends.filter(|(_, end)| *end > usual_until.max(until));
        let leases = LateLeases {
            until,
            workers: ends.map(|(id, end)| (id.clone(), end)).collect(),
        };
        leases.limited(self.settings.max_late_leases)
    }

    /// Forgets the workers that left so long ago that no late order is of consequence.
    pub(super) fn forget_late_orders(&mut self, now: BootTime) {
        let kept = self.settings.max_order_delay + self.settings.longest_lease_bound();
        let kept_since = now.as_millis().saturating_sub(kept.as_millis() as u64);
        self.fleet.forget_removed(BootTime::from_millis(kept_since));
    }
}
