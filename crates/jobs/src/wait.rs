//! Waits that outlive the owner that began them.
//!
//! Load pattern: owners that end every few seconds, in a rolling restart or while
//! the table is slow. A wait that each owner counted anew would never end.
//!
//! A wait is stored as the time that it has lasted or has left, because clocks of
//! VMs differ. A successor counts it from a time at which the row was stored
//! already: the wait gets longer by the time for which the row was on its way, and
//! never shorter.

use std::time;

use serde::{Deserialize, Serialize};

use crate::time::BootTime;

/// Time that a wait had lasted when it was stored, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ElapsedWait(u64);

impl ElapsedWait {
    /// Returns the time that a wait has lasted at `now`.
    pub fn since(began: BootTime, now: BootTime) -> Self {
        Self(now.saturating_since(began).as_millis() as u64)
    }

    /// Returns when the wait began, by our clock, or a later time: at `stored_by` the
    /// row was stored already.
    pub fn began(self, stored_by: BootTime) -> BootTime {
        BootTime::from_millis(stored_by.as_millis().saturating_sub(self.0))
    }

    /// Returns the wait as it is a while after it was stored.
    pub fn after(self, elapsed: time::Duration) -> Self {
        Self(self.0.saturating_add(elapsed.as_millis() as u64))
    }
}

/// Time that a wait had left when it was stored, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RemainingWait(u64);

impl RemainingWait {
    /// Returns the time that a wait has left at `now`.
    pub fn until(end: BootTime, now: BootTime) -> Self {
        Self(end.saturating_since(now).as_millis() as u64)
    }

    /// Returns when the wait ends, by our clock, or a later time: at `stored_by` the
    /// row was stored already.
    pub fn end(self, stored_by: BootTime) -> BootTime {
        stored_by + time::Duration::from_millis(self.0)
    }

    /// Returns when the wait ends, by our clock, or an earlier time, if the row was
    /// stored at most `max_delay` before `stored_by`.
    pub fn earliest_end(self, stored_by: BootTime, max_delay: time::Duration) -> BootTime {
        let end = self.end(stored_by).as_millis();
        BootTime::from_millis(end.saturating_sub(max_delay.as_millis() as u64))
    }
}
