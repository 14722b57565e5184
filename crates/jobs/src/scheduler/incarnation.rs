//! How the incarnations of a worker follow on one another.
//!
//! Load pattern: workers that start again under their ids, several times in seconds, while the
//! list of workers lags behind their reports. The number of an incarnation is a time of day,
//! which may be set back: it tells two of them apart, and not which is later.

use super::fleet::WorkerEntry;

/// Number of replaced incarnations that are remembered of a worker; entries of earlier ones
/// arrive a moment late.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// How one incarnation of a worker follows on another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IncarnationOrder {
    /// They are the same.
    Same,
    /// It is earlier.
    Earlier,
    /// It is later.
    Later,
    /// It is earlier or later: the entry of the other one has not been read.
    Unknown,
}

impl WorkerEntry {
    /// Returns how the incarnation of an entry of the list follows on the tracked one. The
    /// entries come in the order in which they were written; their numbers say nothing, since
    /// the time of day of a worker may be set.
    pub(super) fn succession(&self, incarnation: u64) -> IncarnationOrder {
        if incarnation == self.incarnation {
            return IncarnationOrder::Same;
        }
        if self.earlier_incarnations.contains(&incarnation) {
            return IncarnationOrder::Earlier;
        }
        if self.is_listed_as_tracked() {
            IncarnationOrder::Later
        } else {
            IncarnationOrder::Unknown
        }
    }

    /// Returns whether the list of workers names the tracked incarnation, or none.
    pub(super) fn is_listed_as_tracked(&self) -> bool {
        self.view.is_none() || self.is_view_current()
    }

    /// Returns whether the tracked incarnation is taken to be later than another one in a
    /// stored row: it has said so itself, or it is from a row as well and has a higher number.
    pub(super) fn is_later_than_stored(&self, incarnation: u64) -> bool {
        let is_from_row = !self.is_view_current();
        self.contacted_at.is_some() || (is_from_row && self.incarnation > incarnation)
    }

    /// Remembers that the tracked incarnation has ended.
    pub(super) fn end_incarnation(&mut self) {
        let earlier = &mut self.earlier_incarnations;
        earlier.truncate(MAX_EARLIER_INCARNATIONS - 1);
        earlier.push_front(self.incarnation);
    }
}
