//! Monotonic time that is passed to the scheduler.

use std::ops;
use std::time;

use serde::{Deserialize, Serialize};

/// Time since the process started, from a monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct NodeTime(time::Duration);

impl NodeTime {
    /// Creates a time from whole milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(time::Duration::from_millis(millis))
    }

    /// Creates a time from whole microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(time::Duration::from_micros(micros))
    }

    /// Returns the time since the start.
    pub const fn since_start(self) -> time::Duration {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub fn saturating_since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl From<time::Duration> for NodeTime {
    fn from(since_start: time::Duration) -> Self {
        Self(since_start)
    }
}

impl ops::Add<time::Duration> for NodeTime {
    type Output = Self;

    fn add(self, delay: time::Duration) -> Self {
        Self(self.0 + delay)
    }
}
