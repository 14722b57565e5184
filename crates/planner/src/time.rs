//! Time as the planner sees it.

use std::time;

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It is stored in the table and read by other processes, whose clocks may
/// differ by a little. No safety rule depends on it; it only paces steps.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct PlanTime(u64);

impl PlanTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Creates a time from seconds since the Unix epoch.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns how much later this is than `earlier`, or zero if it is not.
    pub const fn saturating_since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `delay` later.
    pub const fn after(self, delay: time::Duration) -> Self {
        Self(self.0.saturating_add(delay.as_millis() as u64))
    }
}
