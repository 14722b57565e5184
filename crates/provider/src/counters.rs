//! Number of table calls by cause.

use crate::error::Category;

/// Why the table is called.
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

/// Number of calls with one cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CauseCounts {
    /// Why the table was called.
    pub cause: CallCause,
    /// Commits sent; a group counts once, for the cause of its first member.
    pub commits: u64,
    /// Reads sent.
    pub reads: u64,
    /// Calls that failed without effect.
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

/// Counts of all causes.
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
        self.entry(cause).commits += 1;
    }

    pub(crate) fn count_read(&mut self, cause: CallCause) {
        self.entry(cause).reads += 1;
    }

    pub(crate) fn count_answer(&mut self, cause: CallCause, category: Option<Category>) {
        match category {
            None => {}
            Some(Category::Unknown) => self.entry(cause).unknown += 1,
            Some(Category::Refused | Category::Unavailable) => self.entry(cause).failed += 1,
        }
    }

    fn entry(&mut self, cause: CallCause) -> &mut CauseCounts {
        &mut self.0[cause as usize]
    }
}
