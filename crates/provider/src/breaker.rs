//! Circuit breaker in front of a service that may be down.

use std::time;

use crate::backoff::{BackoffSettings, RetryBackoff};

/// When a circuit breaker opens and for how long.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Consecutive failures that open it.
    pub failure_threshold: u32,
    /// Shortest time that it stays open.
    pub min_open: time::Duration,
    /// Growth of the random time added to the shortest.
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

/// Answer of a circuit breaker to a call that wants to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerDecision {
    /// The call may start.
    Allow,
    /// The call may not start for this long at least.
    Reject(time::Duration),
}

#[derive(Clone, Copy, Debug)]
enum BreakerState {
    Closed { failures: u32 },
    Open { until: time::Instant },
    Probing { until: time::Instant },
}

/// Rejects calls after consecutive failures, then lets a single one probe.
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

    /// Decides on a call that wants to start at `now`.
    ///
    /// A probe that has reported nothing for `probe_timeout` is given up, so
    /// that a dropped call cannot keep the breaker open for good.
    pub fn admit(&mut self, now: time::Instant, probe_timeout: time::Duration) -> BreakerDecision {
        let until = match self.state {
            BreakerState::Closed { .. } => return BreakerDecision::Allow,
            BreakerState::Open { until } | BreakerState::Probing { until } => until,
        };
        if now < until {
            return BreakerDecision::Reject(until - now);
        }
        let until = now + probe_timeout;
        self.state = BreakerState::Probing { until };
        BreakerDecision::Allow
    }

    /// Notes that the service answered.
    pub fn record_success(&mut self) {
        self.backoff.reset();
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Notes that the service did not answer; `jitter` is random from 0 to 1.
    pub fn record_failure(&mut self, now: time::Instant, jitter: f64) {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.settings.failure_threshold => {
                let failures = failures + 1;
                self.state = BreakerState::Closed { failures };
            }
            BreakerState::Open { .. } => {}
            BreakerState::Closed { .. } | BreakerState::Probing { .. } => {
                let pause = self.settings.min_open + self.backoff.next_delay(jitter);
                let until = now + pause;
                self.state = BreakerState::Open { until };
            }
        }
    }
}
