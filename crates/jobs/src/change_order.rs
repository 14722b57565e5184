//! Order in which an owner stores what has changed.
//!
//! Load pattern: after an absence of the table, far more to store than one change holds.
//! Changes are filled part by part; what does not fit waits for the next one.

use crate::scheduler::WorkKind;

/// Part of what an owner stores beside the owner row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangePart {
    /// Ends of leases.
    LeaseEnds,
    /// Rows of waves.
    Waves,
    /// Rows for the callers.
    Boards,
    /// Progress of work.
    Work(WorkKind),
    /// Deletions of the progress of jobs whose other rows are deleted.
    ObsoleteJobs,
}

/// Purpose of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangePurpose {
    /// The owner goes on.
    Continue,
    /// The owner releases the ownership, now or after further changes.
    Release,
}

/// Parts in their order. The first three are bounded, so that they leave most of a change
/// to the others. Running work and ends come before new work: they free workers and answer
/// callers, and new work only adds to what is under way.
const PARTS: [ChangePart; 6] = [
    ChangePart::LeaseEnds,
    ChangePart::Waves,
    ChangePart::Boards,
    ChangePart::Work(WorkKind::Running),
    ChangePart::ObsoleteJobs,
    ChangePart::Work(WorkKind::New),
];

impl ChangePurpose {
    /// Returns the parts with which a change is filled, in their order. An owner that
    /// releases the ownership leaves the runs that were to be started to the next one.
    pub fn parts(self) -> impl Iterator<Item = ChangePart> {
        let parts = PARTS.into_iter();
        parts.filter(move |part| self == Self::Continue || *part != ChangePart::Work(WorkKind::New))
    }

    /// Returns the kinds of work among the parts, in their order.
    pub fn work(self) -> impl Iterator<Item = WorkKind> {
        self.parts().filter_map(|part| match part {
            ChangePart::Work(kind) => Some(kind),
            _ => None,
        })
    }
}
