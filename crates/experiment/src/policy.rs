//! Policies that an experiment compares.

use std::str;

use redwing_jobs::SchedulerSettings;
use redwing_jobs::scheduler::SharePolicy;

use crate::error::{Error, Result};

/// Order of waiting jobs, and whether jobs are refused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExperimentPolicy {
    /// One order for all customers, by priority and due time.
    CommonOrder,
    /// Customers share pools by their weights.
    Shares,
    /// As [`Self::Shares`]; jobs that cannot be done in time are refused.
    SharesAdmission,
}

impl ExperimentPolicy {
    /// All policies, in the order of reports.
    pub const ALL: [Self; 3] = [Self::CommonOrder, Self::Shares, Self::SharesAdmission];

    /// Returns the name for flags and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::CommonOrder => "common-order",
            Self::Shares => "shares",
            Self::SharesAdmission => "shares-admission",
        }
    }

    /// Returns whether entry VMs refuse jobs that cannot be done in time.
    pub fn has_admission(self) -> bool {
        self == Self::SharesAdmission
    }

    /// Returns the settings of the scheduler.
    pub fn scheduler_settings(self) -> SchedulerSettings {
        SchedulerSettings {
            share_policy: match self {
                Self::CommonOrder => SharePolicy::Ignored,
                Self::Shares | Self::SharesAdmission => SharePolicy::Weighted,
            },
            ..SchedulerSettings::default()
        }
    }
}

impl str::FromStr for ExperimentPolicy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut policies = Self::ALL.into_iter();
        policies
            .find(|policy| policy.name() == text)
            .ok_or_else(|| {
                let names = Self::ALL.map(Self::name).join(", ");
                Error::field("policy", format!("{text:?} does not exist; use {names}"))
            })
    }
}
