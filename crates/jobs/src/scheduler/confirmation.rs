//! Which incarnation of a worker has carried out a start.
//!
//! Load pattern: workers that start again under their ids and are cut off before their entry
//! or a report has reached the owner. An order names the worker and not its incarnation, and
//! the end of the lease in it is a time on the clock of the one that the owner knows. A next
//! one, whose clock has begun anew, takes the longest lease that it grants. Only the present
//! incarnation can rule this out, by its response; without one, the owner waits for the
//! longest lease.

use std::time;

use crate::name::{TaskId, WorkerId};
use crate::time::BootTime;
use crate::worker::{OrderResponse, WorkerOrder};

use super::clock_reading::ClockReading;
use super::fleet::{ContactState, RunReservation, WorkerEntry};
use super::late_lease::LateLeases;
use super::{JobScheduler, SchedulerSettings, WorkerStatus};

/// Age up to which a report shows what a worker runs before a start there.
const RECENT_REPORT_AGE: time::Duration = time::Duration::from_millis(200);

/// Difference of two clocks that rounding to whole milliseconds explains.
const ROUNDING_ERROR: time::Duration = time::Duration::from_millis(2);

impl WorkerEntry {
    /// Returns until when a run may be in progress.
    pub(super) fn run_until(
        &self,
        reservation: &RunReservation,
        settings: &SchedulerSettings,
    ) -> BootTime {
        let usual_until = self.leases_until();
        let Some(unanswered_at) = reservation.unanswered_at else {
            return usual_until;
        };
        let started_until = unanswered_at + settings.longest_lease_bound();
        let renewed_at = self.leased_at.unwrap_or_default();
        let renewed_until = settings.longest_lease_after(renewed_at);
        usual_until.max(started_until).max(renewed_until)
    }

    /// Returns until when one of its runs may be in progress.
    pub(super) fn runs_until(&self, settings: &SchedulerSettings) -> BootTime {
        let runs = self.reservations.values();
        let ends = runs.map(|reservation| self.run_until(reservation, settings));
        self.leases_until().max(ends.max().unwrap_or_default())
    }
}

impl SchedulerSettings {
    /// Returns when the longest lease has expired that a renewal sent at `sent_at` may grant.
    fn longest_lease_after(&self, sent_at: BootTime) -> BootTime {
        sent_at + self.max_response_delay + self.longest_lease_bound()
    }
}

impl ClockReading {
    /// Returns the least that the clock of the same incarnation shows in the response to an
    /// order that was issued at `issued_at`.
    fn least_in_response(&self, issued_at: BootTime, max_drift: f64) -> u64 {
        let lead = self.read_at.saturating_since(issued_at);
        let lead = lead.mul_f64(1.0 + max_drift) + ROUNDING_ERROR;
        let clock_ms = self.earliest_at(issued_at, max_drift);
        clock_ms.saturating_sub(lead.as_millis() as u64)
    }
}

impl JobScheduler {
    /// Notes when the start of a run was left without a response, so that an incarnation may
    /// have carried it out that this owner does not know of, or may do so later.
    pub(super) fn set_unanswered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        unanswered_at: Option<BootTime>,
    ) {
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        entry.unanswered_at = unanswered_at.max(entry.unanswered_at);
        let reservation = entry.reservations.get_mut(task);
        if let Some(reservation) = reservation.filter(|held| held.run == run) {
            reservation.unanswered_at = unanswered_at;
        }
    }

    /// Returns whether a start on a worker needs a report first, although the clock of the
    /// worker is known: the next incarnation may have carried an earlier start out, which
    /// takes capacity there. The report must come after the start was placed.
    pub(super) fn needs_report(&self, worker: &WorkerId, now: BootTime) -> bool {
        let Some(entry) = self.fleet.get(worker) else {
            return false;
        };
        let max_delay = self.settings.max_order_delay;
        let may_be_late = entry.unanswered_at.is_some_and(|at| now <= at + max_delay);
        let is_recent = now.saturating_since(entry.reported_at) <= RECENT_REPORT_AGE;
        may_be_late && !is_recent
    }

    /// Updates the clock of a worker from the response to an order. A clock that has gone back
    /// is that of another incarnation, which may have taken the longest lease from the orders
    /// so far; it gets no other before it has said who it is.
    pub(super) fn update_clock(
        &mut self,
        order: &WorkerOrder,
        response: &OrderResponse,
        now: BootTime,
    ) {
        let worker = &order.worker;
        let drift = self.settings.max_clock_drift;
        let unconfirmed_until = self.settings.longest_lease_after(now);
        let (Some(entry), Some(clock_ms)) = (self.fleet.get_mut(worker), response.clock_ms) else {
            return;
        };
        let least_ms = entry
            .clock
            .map(|reading| reading.least_in_response(order.issued_at, drift));
        if least_ms.is_some_and(|least_ms| clock_ms < least_ms) {
            entry.clock = None;
            entry.contact = ContactState::Unconfirmed;
            entry.next_renewal = now;
            entry.late_lease_until = entry.late_lease_until.max(unconfirmed_until);
            self.record_status(worker, WorkerStatus::ClockSetBack);
            return;
        }
        entry.clock = Some(ClockReading {
            clock_ms,
            read_at: now,
        });
    }

    /// Returns when the leases have expired that workers may have taken from starts without a
    /// response, under an incarnation that this owner does not know of; for its successor.
    pub fn unconfirmed_leases(&self, now: BootTime) -> LateLeases {
        let inherited = self.inherited.as_ref().map(|leases| &leases.unconfirmed);
        let mut leases = inherited.cloned().unwrap_or_default();
        leases.forget_before(now);
        for (id, entry) in self.fleet.iter() {
            let mut runs = entry.reservations.values();
            if runs.any(|held| held.unanswered_at.is_some()) {
                leases.add(id, entry.runs_until(&self.settings));
            }
        }
        leases.limited(self.settings.max_late_leases)
    }
}
