//! Faults that a stand-in platform shows on demand.

use serde::{Deserialize, Serialize};

/// Faults of the stand-in platform, as one of its clients meets them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FaultPlan {
    /// The table answers nothing.
    pub table_down: bool,
    /// The object store answers nothing.
    pub objects_down: bool,
    /// The list of VMs and their control answer nothing.
    pub directory_down: bool,
    /// Time that each call of the table takes, in milliseconds.
    pub table_delay_millis: u64,
    /// Number of commits to come that take effect, but whose replies are lost.
    pub lost_replies: u32,
    /// Number of commits to come that are lost before they take effect, in a
    /// way that the client cannot tell from a lost reply.
    pub lost_requests: u32,
    /// Number of commits to come that are held up on their way; the client
    /// sees a broken connection, and they reach the table later.
    pub late_requests: u32,
}

impl FaultPlan {
    /// Returns whether the reply of the next commit is lost, and counts it.
    pub(crate) fn take_lost_reply(&mut self) -> bool {
        take_one(&mut self.lost_replies)
    }

    /// Returns whether the next commit is held up, and counts it.
    pub(crate) fn take_late_request(&mut self) -> bool {
        take_one(&mut self.late_requests)
    }

    /// Returns whether the next commit is lost, and counts it.
    pub(crate) fn take_lost_request(&mut self) -> bool {
        take_one(&mut self.lost_requests)
    }
}

fn take_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
