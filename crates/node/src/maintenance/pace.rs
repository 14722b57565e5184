//! Which of several processes carries out a step.

use std::collections::BTreeMap;
use std::time;

use redwing_planner::PlanTime;

/// Lets the members act in turn on what is due.
///
/// The first member in the order of names acts at once. Each later one acts
/// only on what is still due unchanged after a further delay, so that in
/// ordinary times one process writes, and a missing one is replaced without
/// any election. Safety never depends on the order.
#[derive(Clone, Debug, Default)]
pub struct TurnPacer {
    due: BTreeMap<String, DueItem>,
}

#[derive(Clone, Copy, Debug)]
struct DueItem {
    version: u64,
    since: PlanTime,
}

impl TurnPacer {
    /// Returns whether the member of this rank acts on `key` now, which has
    /// been due since its `version`.
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
        let known = self.due.entry(key.to_owned()).or_insert(item);
        if known.version != version {
            *known = item;
        }
        now.saturating_since(known.since) >= wait
    }

    /// Forgets what is not due any more.
    pub fn retain(&mut self, is_due: impl Fn(&str) -> bool) {
        self.due.retain(|key, _| is_due(key));
    }
}
