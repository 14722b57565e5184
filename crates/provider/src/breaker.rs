//! Circuit breaker in front of a service that may be down.

use std::time;

use crate::backoff::{BackoffSettings, RetryBackoff};

/// When a circuit breaker opens and for how long.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Number of consecutive failures that opens it.
    pub failure_threshold: u32,
    /// Shortest time that it stays open.
    pub min_open: time::Duration,
    /// Bounds of the random time that is added to `min_open`.
    pub backoff: BackoffSettings,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            min_open: time::Duration::from_millis(200),
            backoff: BackoffSettings::default(),
        }
    }
}

/// Decision of a circuit breaker about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerDecision {
    /// The call may start.
    Allow,
    /// The call is rejected; the next probe may start after this time.
    Reject(time::Duration),
}

#[derive(Clone, Copy, Debug)]
enum BreakerState {
    Closed { failures: u32 },
    Open { until: time::Instant },
    HalfOpen { until: time::Instant },
}

/// Rejects calls after consecutive failures, then allows one at a time as a
/// probe.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    backoff: RetryBackoff,
    state: BreakerState,
}

impl CircuitBreaker {
    /// Creates a breaker that allows calls.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            backoff: RetryBackoff::new(settings.backoff.clone()),
            settings,
            state: BreakerState::Closed { failures: 0 },
        }
    }

    /// Returns whether calls are allowed without a probe.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, BreakerState::Closed { .. })
    }

    /// Returns whether the latest call got a response.
    pub fn is_healthy(&self) -> bool {
        matches!(self.state, BreakerState::Closed { failures: 0 })
    }

    /// Decides whether a call may start at `now`.
    ///
    /// A probe without a result after `probe_timeout` no longer counts, so that
    /// a dropped call cannot keep the breaker open forever.
    pub fn admit(&mut self, now: time::Instant, probe_timeout: time::Duration) -> BreakerDecision {
        let until = match self.state {
            BreakerState::Closed { .. } => return BreakerDecision::Allow,
            BreakerState::Open { until } | BreakerState::HalfOpen { until } => until,
        };
        if now < until {
            return BreakerDecision::Reject(until - now);
        }
        let until = now + probe_timeout;
        self.state = BreakerState::HalfOpen { until };
        BreakerDecision::Allow
    }

    /// Records that the service responded.
    pub fn record_success(&mut self) {
        self.backoff.reset();
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Records that the service did not respond; `jitter` is a random number
    /// from 0 to 1.
    pub fn record_failure(&mut self, now: time::Instant, jitter: f64) {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.settings.failure_threshold => {
                let failures = failures + 1;
                self.state = BreakerState::Closed { failures };
            }
            BreakerState::Open { .. } => {}
            BreakerState::Closed { .. } | BreakerState::HalfOpen { .. } => {
                let open_time = self.settings.min_open + self.backoff.next_delay(jitter);
                let until = now + open_time;
                self.state = BreakerState::Open { until };
            }
        }
    }
}
