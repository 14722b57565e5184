//! Delays between retries, exponential with full jitter.

use std::time;

/// Bounds of the delays between retries.
#[derive(Clone, Debug)]
pub struct BackoffSettings {
    /// Upper bound of the first delay; it doubles with each retry.
    pub initial_delay: time::Duration,
    /// Upper bound of every delay.
    pub max_delay: time::Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            initial_delay: time::Duration::from_millis(100),
            max_delay: time::Duration::from_secs(5),
        }
    }
}

/// Delays of one sequence of retries.
///
/// # Examples
///
/// ```
/// use redwing_provider::backoff::{BackoffSettings, RetryBackoff};
///
/// let mut backoff = RetryBackoff::new(BackoffSettings::default());
/// assert_eq!(backoff.next_delay(0.5).as_millis(), 50);
/// assert_eq!(backoff.next_delay(0.5).as_millis(), 100);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    settings: BackoffSettings,
    bound: time::Duration,
}

impl RetryBackoff {
    /// Creates a sequence that starts with the initial delay.
    pub fn new(settings: BackoffSettings) -> Self {
        let bound = settings.initial_delay;
        Self { settings, bound }
    }

    /// Returns the next delay; `jitter` is a random number from 0 to 1.
    pub fn next_delay(&mut self, jitter: f64) -> time::Duration {
        let delay = self.bound.mul_f64(jitter.clamp(0.0, 1.0));
        self.bound = (self.bound * 2).min(self.settings.max_delay);
        delay
    }

    /// Restarts the sequence with the initial delay.
    pub fn reset(&mut self) {
        self.bound = self.settings.initial_delay;
    }

    /// Returns the delay before the next attempt after one that took `elapsed`, which
    /// counts towards the delay: an attempt without a response has waited already.
    pub fn delay_after(&mut self, elapsed: time::Duration, jitter: f64) -> time::Duration {
        self.next_delay(jitter).saturating_sub(elapsed)
    }
}
