//! Order in which the processes act on due steps.

use std::collections::BTreeMap;
use std::time;

use redwing_planner::PlanTime;

/// Delays each member's actions by its rank.
///
/// The first member in the order of names acts at once. Each later member acts
/// only if the item is still due, unchanged, after a further delay. Normally
/// only one process writes, and the next member takes over from a missing one
/// without an election. Correctness does not depend on the order.
#[derive(Clone, Debug, Default)]
pub struct TurnTracker {
    items: BTreeMap<String, DueItem>,
}

#[derive(Clone, Copy, Debug)]
struct DueItem {
    version: u64,
    since: PlanTime,
}

impl TurnTracker {
    /// Returns whether `key` has been due at `version` for at least `wait`, the
    /// delay of this member's rank.
    pub fn is_turn(
        &mut self,
        now: PlanTime,
        key: &str,
        version: u64,
        wait: time::Duration,
    ) -> bool {
        let item = DueItem {
            version,
            since: now,
        };
        let entry = self.items.entry(key.to_owned()).or_insert(item);
        if entry.version != version {
            *entry = item;
        }
        now.saturating_since(entry.since) >= wait
    }

    /// Removes the items that are no longer due.
    pub fn retain(&mut self, is_due: impl Fn(&str) -> bool) {
        self.items.retain(|key, _| is_due(key));
    }
}
