//! Readings of the clocks of workers.
//!
//! Load pattern: workers that have nothing to run for minutes, on clocks that are a little
//! slow, and then get a task. The end of a lease is a time on the clock of the worker; it
//! must not come later than this owner assumes, however long ago that clock was read.

use std::time;

use crate::name::WorkerId;
use crate::time::BootTime;

use super::fleet::ContactState;
use super::{JobScheduler, SchedulerSettings};

/// Part of a lease by which it may be shorter because of the age of the reading.
const LEASE_LOSS_PART: u32 = 10;

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ClockReading {
    /// The worker's clock, in milliseconds.
    pub(super) clock_ms: u64,
    /// When the response arrived that included it.
    pub(super) read_at: BootTime,
}

impl ClockReading {
    /// Returns the least that the clock shows at `now` if it is slow by at most `max_drift`.
    pub(super) fn earliest_at(&self, now: BootTime, max_drift: f64) -> u64 {
        let age = now.saturating_since(self.read_at);
        self.clock_ms.saturating_add(slow_millis(age, max_drift))
    }
}

/// Returns how far a clock advances at least in `elapsed` if it is slow by at most
/// `max_drift`, in milliseconds.
pub(super) fn slow_millis(elapsed: time::Duration, max_drift: f64) -> u64 {
    elapsed.mul_f64(1.0 - max_drift).as_millis() as u64
}

impl SchedulerSettings {
    /// Returns the age up to which a reading of a worker's clock is good enough for a lease.
    fn max_reading_age(&self) -> time::Duration {
        let loss = self.lease / LEASE_LOSS_PART;
        let age = loss.as_secs_f64() / self.max_clock_drift;
        // Without drift, a reading never grows old.
        time::Duration::try_from_secs_f64(age).unwrap_or(time::Duration::MAX)
    }
}

impl JobScheduler {
    /// Returns the latest reading of a worker's clock, unless it is too old for a lease.
    pub(super) fn fresh_reading(&self, worker: &WorkerId, now: BootTime) -> Option<ClockReading> {
        let reading = self.fleet.get(worker)?.clock?;
        let age = now.saturating_since(reading.read_at);
        (age <= self.settings.max_reading_age()).then_some(reading)
    }

    /// Returns whether a start on a worker waits for a report.
    pub(super) fn lacks_reading(&self, worker: &WorkerId, now: BootTime) -> bool {
        self.fresh_reading(worker, now).is_none() || self.needs_report(worker, now)
    }

    /// Requests a report of a worker, with a reading of its clock, if a start there waits for
    /// one.
    pub(super) fn refresh_reading(&mut self, worker: &WorkerId, now: BootTime) {
        let is_idle = self.fleet.get(worker).is_some_and(|entry| {
            entry.contact == ContactState::Responsive && entry.renewal_sent_at.is_none()
        });
        if is_idle && self.lacks_reading(worker, now) {
            self.send_renewal(worker, now);
        }
    }
}
