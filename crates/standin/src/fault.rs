//! Injected faults of the stand-in platform.

use serde::{Deserialize, Serialize};

/// Faults that the stand-in platform injects into the calls of one client.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Every call of the table fails.
    pub table_down: bool,
    /// Calls of the table never get a response, also once this has ended, as on a
    /// connection that has gone silent.
    pub table_silent: bool,
    /// Every call of the object store fails.
    pub objects_down: bool,
    /// Every call that lists or controls VMs fails.
    pub directory_down: bool,
    /// Duration of each call of the table, in milliseconds.
    pub table_delay_millis: u64,
    /// Number of upcoming commits that take effect, but whose replies are lost.
    pub lost_replies: u32,
    /// Number of upcoming commits that are lost before they take effect; the
    /// client cannot distinguish this from a lost reply.
    pub lost_requests: u32,
    /// Number of upcoming commits that are delayed: the client's connection
    /// breaks, and the commit reaches the table later.
    pub late_requests: u32,
}

impl FaultPlan {
    /// Returns whether the reply of this commit is lost, and decrements
    /// `lost_replies`.
    pub(crate) fn consume_lost_reply(&mut self) -> bool {
        consume_one(&mut self.lost_replies)
    }

    /// Returns whether this commit is delayed, and decrements `late_requests`.
    pub(crate) fn consume_late_request(&mut self) -> bool {
        consume_one(&mut self.late_requests)
    }

    /// Returns whether this commit is lost, and decrements `lost_requests`.
    pub(crate) fn consume_lost_request(&mut self) -> bool {
        consume_one(&mut self.lost_requests)
    }
}

fn consume_one(count: &mut u32) -> bool {
    let is_remaining = *count > 0;
    *count = count.saturating_sub(1);
    is_remaining
}
