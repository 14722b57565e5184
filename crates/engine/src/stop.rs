//! Stop of a process: it serves for a while after the signal, and then closes its
//! connections.

use std::time;

use tokio::time as timer;

/// Time for which a process completes requests after it has stopped listening.
pub const CLOSING_TIME: time::Duration = time::Duration::from_secs(2);

/// Part of the time to the end of the connections that is left to send a response.
const RESPONSE_MARGIN: time::Duration = time::Duration::from_millis(100);

/// Whether a process is stopping, and until when it responds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StopPhase {
    closes_at: Option<timer::Instant>,
}

impl StopPhase {
    /// Returns the phase of a process that closes its connections at `closes_at`.
    pub fn stopping(closes_at: timer::Instant) -> Self {
        Self {
            closes_at: Some(closes_at),
        }
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.closes_at.is_some()
    }

    /// Returns the longest time that a response to a request read at `now` may take;
    /// `None` unless the process is stopping.
    pub fn response_limit(&self, now: timer::Instant) -> Option<time::Duration> {
        let closes_at = self.closes_at?;
        let remaining = closes_at.saturating_duration_since(now);
        Some(remaining.saturating_sub(RESPONSE_MARGIN))
    }
}
