//! Clock of the table client.

use std::time;

use tokio::time as timer;

/// Returns the time of the timers, so that both stand still while a test pauses them.
pub(crate) fn now() -> time::Instant {
    timer::Instant::now().into_std()
}

/// Returns the time that has passed since `start`.
pub(crate) fn elapsed_since(start: time::Instant) -> time::Duration {
    now().saturating_duration_since(start)
}
