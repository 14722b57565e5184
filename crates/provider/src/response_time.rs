//! Estimate of the time until a response arrives.
//!
//! Load pattern: responses of a few milliseconds, some of which are lost. A sender that
//! knows how long responses take notices a lost one long before the limit for a slow
//! service.

use std::time;

/// Shortest time after which a response counts as late; a process that is paused for
/// as long by others on its VM sends nothing twice.
const MIN_LATE: time::Duration = time::Duration::from_millis(150);

/// Mean and deviation of the times until responses arrived, as in RFC 6298.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTime {
    mean: Option<time::Duration>,
    deviation: time::Duration,
}

impl ResponseTime {
    /// Adds the time until a response arrived.
    pub fn observe(&mut self, elapsed: time::Duration) {
        match self.mean {
            None => {
                self.mean = Some(elapsed);
                self.deviation = elapsed / 2;
            }
            Some(mean) => {
                self.deviation = (self.deviation * 3 + mean.abs_diff(elapsed)) / 4;
                self.mean = Some((mean * 7 + elapsed) / 8);
            }
        }
    }

    /// Returns the time after which a response is late: it is probably lost. Without an
    /// estimate, it is `max`, which it never exceeds.
    pub fn late_after(&self, max: time::Duration) -> time::Duration {
        let estimate = self.mean.map(|mean| mean + self.deviation * 4);
        estimate.map_or(max, |estimate| estimate.max(MIN_LATE).min(max))
    }
}
