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
use super::fleet::{RunReservation, WorkerEntry};
use super::late_lease::LateLeases;
use super::{JobScheduler, SchedulerSettings, WorkerStatus};

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
        match self.leased_at {
            Some(leased_at) if reservation.is_unanswered => {
                usual_until.max(settings.longest_lease_after(leased_at))
            }
            _ => usual_until,
        }
    }

    /// Returns until when one of its runs may be in progress.
    pub(super) fn runs_until(&self, settings: &SchedulerSettings) -> BootTime {
        let runs = self.reservations.values();
        let ends = runs.map(|reservation| self.run_until(reservation, settings));
        self.leases_until().max(ends.max().unwrap_or_default())
    }
}

impl SchedulerSettings {
    /// Returns when the longest lease has expired that an order sent at `sent_at` may grant.
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
    /// Notes whether the start of a run was left without a response, so that an incarnation may
    /// have carried it out that this owner does not know of.
    pub(super) fn set_unanswered(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        is_unanswered: bool,
    ) {
        let entry = self.fleet.get_mut(worker);
        let reservation = entry.and_then(|entry| entry.reservations.get_mut(task));
        if let Some(reservation) = reservation.filter(|held| held.run == run) {
            reservation.is_unanswered = is_unanswered;
        }
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
            if runs.any(|held| held.is_unanswered) {
                leases.add(id, entry.runs_until(&self.settings));
            }
        }
        leases.limited(self.settings.max_late_leases)
    }
}
