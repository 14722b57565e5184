//! Rows of waits that earlier owners stored, and which of them count for a new owner.
//!
//! Load pattern: owners that end one after the other while they still read the rows of
//! their predecessors, as on slow links during a rolling restart. An owner that is
//! reading stores no waits of its own, so those of the latest owner that had read all
//! rows count on.

use redwing_jobs::BootTime;
use redwing_jobs::wait::ElapsedWait;

use crate::row::{CarriedRows, OwnerRecord};

/// Fencing token of an owner, and a time at which its rows were stored already.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct StoredRows {
    fencing_token: u64,
    stored_by: BootTime,
}

/// Earlier owners whose rows of waits count for a new owner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct InheritedRows {
    /// The owner directly before.
    previous: StoredRows,
    /// The latest owner that had read all rows.
    source: StoredRows,
}

impl InheritedRows {
    /// Returns the rows that count after `record`, which is known to have been the owner
    /// row since `unchanged_since`.
    pub(super) fn after(record: Option<&OwnerRecord>, unchanged_since: BootTime) -> Self {
        let previous = StoredRows {
            fencing_token: record.map_or(0, |record| record.fencing_token),
            stored_by: unchanged_since,
        };
        let carried = record.and_then(|record| record.carried);
        let source = carried.map_or(previous, |rows| StoredRows {
            fencing_token: rows.fencing_token,
            stored_by: rows.age.began(unchanged_since),
        });
        Self { previous, source }
    }

    /// Returns a time at which a row was stored already that the owner with the given
    /// fencing token wrote; none if its rows do not count.
    pub(super) fn stored_by(&self, fencing_token: u64) -> Option<BootTime> {
        let Self { previous, source } = self;
        if fencing_token == source.fencing_token {
            return Some(source.stored_by);
        }
        let is_later = fencing_token > source.fencing_token;
        (is_later && fencing_token <= previous.fencing_token).then_some(previous.stored_by)
    }

    /// Returns a time at which the progress of all jobs was stored already: owners that
    /// read the rows store none.
    pub(super) fn progress_stored_by(&self) -> BootTime {
        self.source.stored_by
    }

    /// Returns a time at which all rows were stored already.
    pub(super) fn all_stored_by(&self) -> BootTime {
        self.previous.stored_by
    }

    /// Returns what a new owner states until it has read all rows.
    pub(super) fn carried(&self, now: BootTime) -> CarriedRows {
        CarriedRows {
            fencing_token: self.source.fencing_token,
            age: ElapsedWait::since(self.source.stored_by, now),
        }
    }
}
