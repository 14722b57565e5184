//! Pace at which calls may start.

use std::time;

/// Spaces calls so that never more than a set number start within a second.
///
/// # Examples
///
/// ```
/// use std::time;
///
/// use redwing_provider::rate_limiter::RateLimiter;
///
/// let now = time::Instant::now();
/// let mut pacer = RateLimiter::new(time::Duration::from_millis(40));
/// assert!(pacer.reserve(now).is_zero());
/// assert_eq!(pacer.reserve(now).as_millis(), 40);
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    interval: time::Duration,
    next: Option<time::Instant>,
}

impl RateLimiter {
    /// Creates a pacer that leaves `interval` between two calls.
    pub fn new(interval: time::Duration) -> Self {
        let next = None;
        Self { interval, next }
    }

    /// Reserves the next start and returns how long to wait for it.
    pub fn reserve(&mut self, now: time::Instant) -> time::Duration {
        let start = self.next.map_or(now, |next| next.max(now));
        self.next = Some(start + self.interval);
        start - now
    }
}
