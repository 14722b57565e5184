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

/// Response of a worker to an order to start a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartResponse {
    /// It has arrived, or a report lists the run.
    Received,
    /// The order waits until the row of the run is stored. It follows that change at once, so
    /// that the change itself has to state the lease for a successor.
    Unsent,
    /// It may still arrive.
    Awaited,
    /// It was given up then: an incarnation may have carried the start out that the owner does
    /// not know of, or may do so later.
    Missing(BootTime),
}

impl WorkerEntry {
    /// Returns until when a run may be in progress.
    pub(super) fn run_until(
        &self,
        reservation: &RunReservation,
        settings: &SchedulerSettings,
    ) -> BootTime {
        let usual_until = self.leases_until();
        let StartResponse::Missing(unanswered_at) = reservation.response else {
            return usual_until;
        };
        let started_until = unanswered_at + settings.longest_lease_bound();
        let renewed_at = self.leased_at.unwrap_or_default();
        let renewed_until = settings.longest_lease_after(renewed_at);
        usual_until.max(started_until).max(renewed_until)
    }

    /// Returns whether the clock in the response to an order that was issued at `issued_at` is
    /// behind the least that the tracked incarnation shows then.
    pub(super) fn is_clock_behind(
        &self,
        clock_ms: u64,
        issued_at: BootTime,
        max_drift: f64,
    ) -> bool {
        let reading = self.clock;
        reading.is_some_and(|reading| clock_ms < reading.least_in_response(issued_at, max_drift))
    }

    /// Returns when the leases have expired that an incarnation may hold that the owner does
    /// not know of; none if it has responded to all starts.
    fn unconfirmed_lease(&self, now: BootTime, settings: &SchedulerSettings) -> Option<BootTime> {
        let runs = self.reservations.values();
        let ends = runs.filter_map(|reservation| match reservation.response {
            StartResponse::Received => None,
            StartResponse::Unsent => Some(settings.longest_lease_from_change(now)),
            StartResponse::Awaited => Some(settings.longest_lease_after(now)),
            StartResponse::Missing(_) => Some(self.run_until(reservation, settings)),
        });
        ends.max()
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

    /// Returns when the longest lease has expired that a start may grant which is sent once a
    /// change taken at `taken_at` is stored.
    fn longest_lease_from_change(&self, taken_at: BootTime) -> BootTime {
        taken_at + self.order_period() + self.longest_lease_bound()
    }

    /// Returns until when a start may be carried out whose worker is known to have started
    /// again.
    pub(super) fn start_carried_out_by(&self, response: StartResponse, now: BootTime) -> BootTime {
        match response {
            StartResponse::Received | StartResponse::Unsent => now,
            StartResponse::Awaited => now + self.max_order_delay,
            StartResponse::Missing(at) => now.max(at + self.max_order_delay),
        }
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
    /// Notes the response to the start of a run.
    pub(super) fn set_response(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u32,
        response: StartResponse,
    ) {
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        if let StartResponse::Missing(at) = response {
            entry.unanswered_at = Some(at);
            self.has_unstored_lease = true;
        }
        let reservation = entry.reservations.get_mut(task);
        if let Some(reservation) = reservation.filter(|held| held.run == run) {
            reservation.response = response;
        }
    }

    /// Returns what is known of the responses to the starts on a worker that earlier owners sent:
    /// one is missing while they state a lease of an incarnation that they did not know of.
    pub(super) fn inherited_response(&self, worker: &WorkerId, now: BootTime) -> StartResponse {
        let inherited = self.inherited.as_ref();
        let stated = inherited.map(|leases| leases.unconfirmed.end_of(worker));
        match stated.filter(|end| *end > now) {
            // No order of theirs is sent after that.
            Some(end) => StartResponse::Missing(now.min(end - self.settings.longest_lease_bound())),
            None => StartResponse::Received,
        }
    }

    /// Returns whether a start on a worker needs a report first, although the clock of the
    /// worker is known: the next incarnation may have carried an earlier start out, which
    /// takes capacity there. A report that has just arrived shows it.
    pub(super) fn needs_report(&self, worker: &WorkerId, now: BootTime) -> bool {
        let Some(entry) = self.fleet.get(worker) else {
            return false;
        };
        let max_delay = self.settings.max_order_delay;
        let may_be_late = entry.unanswered_at.is_some_and(|at| now <= at + max_delay);
        let is_recent = now.saturating_since(entry.report_read_at) <= RECENT_REPORT_AGE;
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
        let (Some(entry), Some(clock_ms)) = (self.fleet.get_mut(worker), response.clock_ms) else {
            return;
        };
        if entry.is_clock_behind(clock_ms, order.issued_at, drift) {
            entry.clock = None;
            entry.contact = ContactState::Unconfirmed;
            entry.next_renewal = now;
            self.note_clock_set_back(worker, now);
            return;
        }
        // Once it has gone back, only a report tells whose clock it is.
        if entry.clock.is_some() || entry.contacted_at.is_none() {
            entry.clock = Some(ClockReading {
                clock_ms,
                read_at: now,
            });
        }
    }

    /// Notes that a clock has gone back: the worker may have taken the longest lease from the
    /// orders so far.
    pub(super) fn note_clock_set_back(&mut self, worker: &WorkerId, now: BootTime) {
        let max_delay = self.settings.max_order_delay;
        let longest = self.settings.longest_lease_bound();
        let Some(entry) = self.fleet.get_mut(worker) else {
            return;
        };
        // A renewal that is under way may be carried out late.
        let latest_order = entry.renewal_sent_at.map(|sent_at| sent_at + max_delay);
        let late_until = now.max(latest_order.unwrap_or_default()) + longest;
        entry.late_lease_until = entry.late_lease_until.max(late_until);
        self.has_unstored_lease = true;
        self.record_status(worker, WorkerStatus::ClockSetBack);
    }

    /// Returns when the leases have expired that workers may have taken from starts without a
    /// response, under an incarnation that this owner does not know of; for its successor.
    pub fn unconfirmed_leases(&self, now: BootTime) -> LateLeases {
        let inherited = self.inherited.as_ref().map(|leases| &leases.unconfirmed);
        let mut leases = inherited.cloned().unwrap_or_default();
        leases.forget_before(now);
        for (id, entry) in self.fleet.iter() {
            if let Some(until) = entry.unconfirmed_lease(now, &self.settings) {
                leases.add(id, until);
            }
        }
        leases.limited(self.settings.max_unconfirmed_leases)
    }
}
