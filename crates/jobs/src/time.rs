//! Points in time, as passed to scheduling decisions.

use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// Milliseconds on a clock of this VM that also counts the time for which
/// the VM was suspended.
///
/// Leases are measured on it, so that a process that was paused finds them
/// expired when it continues.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct BootTime(u64);

impl BootTime {
    /// Creates a time from milliseconds since the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns how much later this is than `earlier`, or zero if it is not.
    pub const fn saturating_since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time between this and `other`, whichever is later.
    pub const fn abs_diff(self, other: Self) -> time::Duration {
        time::Duration::from_millis(self.0.abs_diff(other.0))
    }
}

impl ops::Add<time::Duration> for BootTime {
    type Output = Self;

    fn add(self, delay: time::Duration) -> Self {
        Self(self.0.saturating_add(delay.as_millis() as u64))
    }
}

impl ops::Sub<time::Duration> for BootTime {
    type Output = Self;

    fn sub(self, delay: time::Duration) -> Self {
        Self(self.0.saturating_sub(delay.as_millis() as u64))
    }
}

/// Milliseconds since the Unix epoch, by the VM's wall clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns how much later this is than `earlier`, or zero if it is not.
    pub const fn saturating_since(self, earlier: Self) -> time::Duration {
        time::Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
