//! Ends of leases that are stored for the successor of an owner.
//!
//! Load pattern: owners that end every few seconds while workers are lost. A
//! successor that knew nothing of a lost worker would wait for a whole lease again,
//! and with each further successor once more.
//!
//! While the stored row may state the end of a worker's leases, the worker gets no
//! new lease; so the row is true at any time.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time;

use crate::name::WorkerId;
use crate::time::BootTime;

/// How often the ends of leases are stored.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordPace {
    /// Shortest time between two versions of the row.
    pub(super) batch_delay: time::Duration,
    /// Time after which the row is stored again with the time left.
    pub(super) interval: time::Duration,
}

/// Ends of the leases of workers that do not respond.
pub type LeaseEnds = BTreeMap<WorkerId, BootTime>;

/// Ends of leases as stored, and as they are to be stored next.
///
/// An end is `wanted` from an update until the next, `recorded` once it is taken to
/// be stored, and `withdrawn` until the first change without it is stored.
#[derive(Debug, Default)]
pub(super) struct LeaseLedger {
    /// Ends that the row states once the latest change is stored.
    recorded: LeaseEnds,
    /// Workers that the row states until the latest change is stored.
    withdrawn: BTreeSet<WorkerId>,
    /// Ends that the row is to state next.
    wanted: LeaseEnds,
    /// When `recorded` was last taken to be stored.
    recorded_at: BootTime,
    is_due: bool,
    /// Whether the ends taken last were refused.
    is_refused: bool,
}

impl LeaseLedger {
    /// Returns whether the stored row states the end of the worker's leases, or may
    /// state it with the next change.
    pub(super) fn covers(&self, worker: &WorkerId) -> bool {
        self.wanted.contains_key(worker)
            || self.recorded.contains_key(worker)
            || self.withdrawn.contains(worker)
    }

    /// Returns whether the row is to be stored.
    pub(super) fn is_due(&self) -> bool {
        self.is_due
    }

    /// Sets the ends that the row is to state. It is stored when it names other
    /// workers, and at each interval, because it has the time left when it is stored.
    /// Workers that blink one after the other are stored together.
    pub(super) fn update(&mut self, ends: LeaseEnds, pace: RecordPace, now: BootTime) {
        let age = now.saturating_since(self.recorded_at);
        let has_changed = !ends.keys().eq(self.recorded.keys()) && age >= pace.batch_delay;
        let has_unstored = !ends.is_empty() || self.is_refused;
        self.is_due = has_changed || (has_unstored && age >= pace.interval);
        self.wanted = ends;
    }

    /// Takes the ends to store next; none if the row is not due.
    pub(super) fn take(&mut self, now: BootTime) -> Option<LeaseEnds> {
        if !mem::take(&mut self.is_due) {
            return None;
        }
        let previous = mem::replace(&mut self.recorded, self.wanted.clone());
        let withdrawn = previous.into_keys();
        self.withdrawn
            .extend(withdrawn.filter(|worker| !self.wanted.contains_key(worker)));
        self.recorded_at = now;
        self.is_refused = false;
        Some(self.wanted.clone())
    }

    /// Handles that the ends taken last were refused: they are taken again, at once
    /// or after the interval.
    pub(super) fn refused(&mut self, is_urgent: bool) {
        self.is_refused = true;
        self.is_due = is_urgent;
        if is_urgent {
            self.recorded_at = BootTime::default();
        }
    }

    /// Handles that the change is stored; with it the ends taken last, unless they
    /// were refused.
    pub(super) fn stored(&mut self) {
        if !self.is_refused {
            self.withdrawn.clear();
        }
    }
}
