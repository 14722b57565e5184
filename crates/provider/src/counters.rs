//! Numbers of table calls by cause.

use crate::error::Category;

/// Reason for a table call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CallCause {
    /// Claims of requests that may run at most once.
    Claim,
    /// Declarations, keys and operators' tokens.
    Configuration,
    /// Slot and permit tokens.
    Ownership,
    /// Jobs of callers and their progress.
    Job,
    /// VMs, pools and roll-outs.
    Maintenance,
    /// Entry VMs.
    Membership,
}

impl CallCause {
    /// All causes.
    pub const ALL: [Self; 6] = [
        Self::Claim,
        Self::Configuration,
        Self::Ownership,
        Self::Job,
        Self::Maintenance,
        Self::Membership,
    ];

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::Configuration => "configuration",
            Self::Ownership => "holding",
            Self::Job => "job",
            Self::Maintenance => "maintenance",
            Self::Membership => "membership",
        }
    }
}

/// Numbers of calls with one cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CauseCounts {
    /// Cause of the calls.
    pub cause: CallCause,
    /// Commits sent; a batch counts once, for the cause of its first transaction.
    pub commits: u64,
    /// Reads sent.
    pub reads: u64,
    /// Calls that failed without taking effect.
    pub failed: u64,
    /// Commits whose outcome stayed unknown.
    pub unknown: u64,
}

impl CauseCounts {
    fn new(cause: CallCause) -> Self {
        Self {
            cause,
            commits: 0,
            reads: 0,
            failed: 0,
            unknown: 0,
        }
    }
}

/// Counts of the calls of all causes.
#[derive(Clone, Debug)]
pub(crate) struct CallCounters([CauseCounts; CallCause::ALL.len()]);

impl Default for CallCounters {
    fn default() -> Self {
        Self(CallCause::ALL.map(CauseCounts::new))
    }
}

impl CallCounters {
    pub(crate) fn counts(&self) -> Vec<CauseCounts> {
        self.0.to_vec()
    }

    pub(crate) fn count_commit(&mut self, cause: CallCause) {
        self.counts_of(cause).commits += 1;
    }

    pub(crate) fn count_read(&mut self, cause: CallCause) {
        self.counts_of(cause).reads += 1;
    }

    pub(crate) fn count_result(&mut self, cause: CallCause, category: Option<Category>) {
        match category {
            None => {}
            Some(Category::Unknown) => self.counts_of(cause).unknown += 1,
            Some(Category::Refused | Category::Unavailable) => self.counts_of(cause).failed += 1,
        }
    }

    fn counts_of(&mut self, cause: CallCause) -> &mut CauseCounts {
        &mut self.0[cause as usize]
    }
}
