//! Rate limit of call starts.

use std::time;

/// Spaces the starts of calls by a fixed interval, without bursts.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use redwing_provider::rate_limiter::RateLimiter;
///
/// let now = time::Instant::now();
/// let mut limiter = RateLimiter::new(time::Duration::from_millis(40));
/// assert!(limiter.reserve(now).is_zero());
/// assert_eq!(limiter.reserve(now).as_millis(), 40);
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    interval: time::Duration,
    next: Option<time::Instant>,
}

impl RateLimiter {
    /// Creates a limiter that leaves `interval` between two calls.
    pub fn new(interval: time::Duration) -> Self {
        let next = None;
        Self { interval, next }
    }

    /// Reserves the next start time and returns how long to wait until then.
    pub fn reserve(&mut self, now: time::Instant) -> time::Duration {
        let start = self.next.map_or(now, |next| next.max(now));
        self.next = Some(start + self.interval);
        start - now
    }
}
