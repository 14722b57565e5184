//! Wall-clock time of the planner.

use std::time;

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It is stored in the table and read by other processes, whose clocks may
/// differ slightly. Safety does not depend on it; it only determines when steps
/// are due.
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

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns this time plus `delay`.
    pub const fn after(self, delay: time::Duration) -> Self {
        Self(self.0.saturating_add(delay.as_millis() as u64))
    }
}
