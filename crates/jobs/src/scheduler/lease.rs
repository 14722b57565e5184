//! Leases that let runs on workers continue, and those of earlier owners.
//!
//! Load pattern: workers that become unresponsive while owners end. A worker that
//! does not respond may run its tasks until its leases have expired; only then may
//! they start elsewhere.

use std::time;

use crate::name::WorkerId;
use crate::time::BootTime;

use super::clock_reading;
use super::fleet::ContactState;
use super::late_lease::LateLeases;
use super::lease_ledger::{LeaseEnds, RecordPace};
use super::{JobScheduler, RunEndReason, SchedulerEvent, SchedulerSettings};

/// What a new owner knows of the one before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PreviousOwner {
    /// Since when its row is known to be unchanged.
    pub unchanged_since: BootTime,
    /// Whether it has ended, so that it sends no order after that time.
    pub has_ended: bool,
    /// Time that the leases of the owners before it had left at its latest change;
    /// none if unknown.
    pub earlier_leases_left: Option<time::Duration>,
}

impl PreviousOwner {
    /// Returns until when this owner may have sent orders.
    ///
    /// An owner that has not ended sends them for a limited time after its latest change.
    pub fn orders_until(&self, settings: &SchedulerSettings) -> BootTime {
        if self.has_ended {
            return self.unchanged_since;
        }
        self.unchanged_since + settings.order_period()
    }

    /// Returns when all leases have expired that this owner and those before it
    /// granted.
    ///
    /// An owner that has not ended sends orders for a limited time after its latest
    /// change, so at most until that time after the row was first seen unchanged.
    pub fn leases_until(&self, settings: &SchedulerSettings) -> BootTime {
        let longest = settings.inherited_lease;
        let own = if self.has_ended {
            settings.lease_bound()
        } else {
            longest
        };
        self.unchanged_since + own.max(self.earlier_leases_left.unwrap_or(longest))
    }
}

/// What a new owner knows of the leases that earlier owners granted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InheritedLeases {
    /// When those of orders on time have expired.
    pub until: BootTime,
    /// When those of single workers have expired, as far as their end was stored.
    pub workers: LeaseEnds,
    /// When those have expired that last longer than the leases of orders on time, whether a
    /// worker has responded to the new owner or not.
    pub late: LateLeases,
    /// When those have expired that a worker may hold until it has responded to the new owner:
    /// an incarnation that nobody knows of may have carried a start out.
    pub unconfirmed: LateLeases,
    /// Until when earlier owners may have sent orders; none if there were none.
    pub orders_until: Option<BootTime>,
}

impl JobScheduler {
    /// Returns when the leases have expired that orders on time of earlier owners granted to
    /// a worker.
    pub(super) fn earlier_leases_until(&self, worker: &WorkerId, now: BootTime) -> BootTime {
        let Some(leases) = &self.inherited else {
            return now + self.settings.inherited_lease;
        };
        let stored = leases.workers.get(worker);
        stored.map_or(leases.until, |end| leases.until.min(*end))
    }

    /// Grants a lease that begins now; returns its end on the worker's clock, or none
    /// if the worker may get no lease now, or its clock was read too long ago.
    pub(super) fn grant_lease(&mut self, worker: &WorkerId, now: BootTime) -> Option<u64> {
        if self.lease_ledger.covers(worker) {
            return None;
        }
        let reading = self.fresh_reading(worker, now)?;
        let lease = self.settings.lease;
        let bound = self.settings.lease_bound();
        let drift = self.settings.max_clock_drift;
        let entry = self.fleet.get_mut(worker)?;
        entry.extend_lease(now, bound);
        let clock_ms = reading.earliest_at(now, drift);
        Some(clock_ms.saturating_add(lease.as_millis() as u64))
    }

    /// Grants the lease of a start that is ordered now; returns its end on the worker's
    /// clock, or none if the worker may get no lease now. It ends when the start must not
    /// begin any more, so that the worker rejects one that arrives later.
    pub(super) fn grant_start_lease(&mut self, worker: &WorkerId, now: BootTime) -> Option<u64> {
        let lease_end_ms = self.grant_lease(worker, now)?;
        let entry = self.fleet.get(worker)?;
        let Some(begins_by) = self.start_guard.begins_by(entry.data_centre()) else {
            return Some(lease_end_ms);
        };
        let drift = self.settings.max_clock_drift;
        let clock_ms = entry.clock?.earliest_at(now, drift);
        let remaining_ms = clock_reading::slow_millis(begins_by.saturating_since(now), drift);
        Some(lease_end_ms.min(clock_ms.saturating_add(remaining_ms)))
    }

    /// Drops the runs on workers without contact whose leases have all expired, and
    /// removes workers that have no runs and are no longer listed.
    pub(super) fn expire_leases(&mut self, now: BootTime) {
        self.note_awaited_leases(now);
        let settings = &self.settings;
        let mut expired = Vec::new();
        let mut removed = Vec::new();
        for (id, entry) in self.fleet.iter() {
            // Before jobs are restored, any worker may have runs.
            if !self.is_restoring && entry.has_left(now) {
                removed.push(id.clone());
            }
            if entry.contact == ContactState::Responsive {
                continue;
            }
            let mut runs = entry.reservations.values();
            if runs.any(|held| entry.run_until(held, settings) < now) {
                expired.push(id.clone());
            }
        }
        for id in &expired {
            self.drop_runs_on(id, RunEndReason::LeaseExpired, now);
        }
        for id in removed {
            self.fleet.remove(&id, now);
        }
        self.forget_late_orders(now);
    }

    /// Drops the runs on a worker that has ended, or those whose leases have all expired.
    pub(super) fn drop_runs_on(&mut self, id: &WorkerId, reason: RunEndReason, now: BootTime) {
        let settings = &self.settings;
        let Some(entry) = self.fleet.get(id) else {
            return;
        };
        let has_ended = reason == RunEndReason::WorkerReplaced;
        let runs = entry.reservations.iter();
        let runs = runs.filter(|(_, held)| has_ended || entry.run_until(held, settings) < now);
        let runs: Vec<_> = runs.map(|(task, held)| (task.clone(), held.run)).collect();
        let cause = self.loss_cause(id, entry.is_draining(), has_ended);
        let lost = self.lost_worker(id, now);
        self.record_loss(id, runs.len() as u32, cause);
        for (task, run) in runs {
            self.drop_run(id, &task, run, reason);
        }
        self.judge_loss(id, lost, cause, now);
    }

    /// Records since when runs on unreachable workers wait for the end of the leases.
    fn note_awaited_leases(&mut self, now: BootTime) {
        for (id, entry) in self.fleet.iter_mut() {
            if entry.contact == ContactState::Responsive || entry.reservations.is_empty() {
                entry.awaited_since = None;
                continue;
            }
            let is_unreachable =
                entry.contact == ContactState::Unresponsive || entry.view.is_none();
            if is_unreachable && entry.awaited_since.is_none() {
                entry.awaited_since = Some(now);
                self.events.push(SchedulerEvent::LeaseAwaited {
                    worker: id.clone(),
                    runs: entry.reservations.len() as u32,
                    remaining: entry.runs_until(&self.settings).saturating_since(now),
                });
            }
        }
    }

    /// Updates the ends of leases to store, those of workers that have not responded
    /// for a while.
    pub(super) fn update_lease_ends(&mut self, now: BootTime) {
        let delay = self.settings.lease_record_delay;
        let ends = self.lease_ends(|awaited_since| now.saturating_since(awaited_since) >= delay);
        let pace = RecordPace {
            batch_delay: self.settings.lease_record_batch_delay,
            interval: self.settings.lease_record_interval,
        };
        self.lease_ledger.update(ends, pace, now);
    }

    /// Includes the ends of the leases of all unresponsive workers, and the times
    /// without progress, in the next change, the last one of this owner.
    pub fn prepare_release(&mut self, now: BootTime) {
        self.mark_stalled(now);
        let ends = self.lease_ends(|_| true);
        self.lease_ledger.update(ends, RecordPace::default(), now);
    }

    /// Returns the ends of the leases of workers with runs that do not respond, of
    /// those whose end was stored by an earlier owner or that `is_lost` selects by the
    /// time since which their leases are awaited; those already stored come first.
    fn lease_ends(&self, is_lost: impl Fn(BootTime) -> bool) -> LeaseEnds {
        if self.is_restoring {
            return self.inherited_ends();
        }
        let unresponsive = self.fleet.iter().filter(|(_, entry)| {
            entry.contact != ContactState::Responsive && !entry.reservations.is_empty()
        });
        let inherited = self.inherited.as_ref().map(|leases| &leases.workers);
        let lost = unresponsive.filter(|(id, entry)| {
            let is_inherited = inherited.is_some_and(|ends| ends.contains_key(*id));
            is_inherited || entry.awaited_since.is_some_and(&is_lost)
        });
        let ends = lost.map(|(id, entry)| (id.clone(), entry.runs_until(&self.settings)));
        let (covered, others): (Vec<_>, Vec<_>) =
            ends.partition(|(id, _)| self.lease_ledger.covers(id));
        let ends = covered.into_iter().chain(others);
        ends.take(self.settings.max_lease_ends).collect()
    }

    /// Returns the ends of leases of the workers for which earlier owners stored them and
    /// that do not respond to this one.
    fn inherited_ends(&self) -> LeaseEnds {
        let inherited = self.inherited.iter().flat_map(|leases| &leases.workers);
        let ends = inherited.filter_map(|(id, end)| match self.fleet.get(id) {
            Some(entry) if entry.contact == ContactState::Responsive => None,
            Some(entry) => Some((id.clone(), entry.leases_until())),
            None => Some((id.clone(), *end)),
        });
        ends.collect()
    }
}
