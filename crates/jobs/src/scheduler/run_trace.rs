//! Signs of a run that this owner has seen.
//!
//! Load pattern: workers that end under dozens of runs, some of them milliseconds after
//! their start, under an owner that may be slow. How long a run went on is taken from the
//! clock of its worker, which a slow owner or link does not distort.

use std::time;

use crate::evidence::RunSpan;
use crate::time::BootTime;

/// Shortest time in which another worker comes to the address of one that has ended.
const ADDRESS_REUSE_TIME: time::Duration = time::Duration::from_millis(100);

/// Start of a run, and the first and the last sign of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RunTrace {
    /// When this owner ordered the start; none if an earlier owner did.
    ordered_at: Option<BootTime>,
    /// Clock of the worker at the first and the last sign, in milliseconds.
    seen_ms: Option<(u64, u64)>,
}

impl RunTrace {
    /// Returns the trace of a run whose start is ordered now.
    pub(super) fn ordered(now: BootTime) -> Self {
        Self {
            ordered_at: Some(now),
            seen_ms: None,
        }
    }

    /// Records that the run exists when the clock of its worker is at `clock_ms`.
    pub(super) fn add_sign(&mut self, clock_ms: u64) {
        let (first, last) = self.seen_ms.unwrap_or((clock_ms, clock_ms));
        self.seen_ms = Some((first.min(clock_ms), last.max(clock_ms)));
    }

    /// Returns when this owner ordered the start.
    pub(super) fn ordered_at(&self) -> Option<BootTime> {
        self.ordered_at
    }

    /// Returns whether the run cannot have begun, since another worker at the address has
    /// rejected an order that was issued at `refused_at`.
    pub(super) fn has_not_begun(&self, refused_at: Option<BootTime>) -> bool {
        let (Some(ordered_at), Some(refused_at)) = (self.ordered_at, refused_at) else {
            return false;
        };
        self.seen_ms.is_none() && ordered_at + ADDRESS_REUSE_TIME >= refused_at
    }

    /// Returns for how long the run has been seen to go on.
    pub(super) fn seen(&self) -> Option<time::Duration> {
        let seen = self.seen_ms.map(|(first, last)| last - first);
        seen.map(time::Duration::from_millis)
    }

    /// Returns for how long the run went on if its worker responded last at `heard_at`, and
    /// was silent from `silent_since` on.
    pub(super) fn span(&self, heard_at: Option<BootTime>, silent_since: BootTime) -> RunSpan {
        RunSpan {
            seen: self.seen(),
            unheard: heard_at.map(|at| silent_since.saturating_since(at)),
            at_most: self.ordered_at.map(|at| silent_since.saturating_since(at)),
        }
    }
}
