//! Ends of workers that had runs, and why they ended.
//!
//! Load pattern: a few tasks that crash each worker on which they start, beside workers
//! that are cut off, drained or moved, and racks that lose power. Each of them ends with
//! the same silence; only a crash says something about the runs of the worker.

use std::time;

use crate::name::WorkerId;
use crate::time::BootTime;

use super::fleet::WorkerEntry;
use super::{JobScheduler, SchedulerEvent};

/// Longest time between the ends of workers that count as simultaneous.
const SIMULTANEOUS: time::Duration = time::Duration::from_millis(300);

/// Fewest workers of a data centre that have to end at the same moment to count as one
/// fault of the data centre; of a rack, two are enough if no other is left.
const SHARED_FAULT_WORKERS: usize = 3;

/// Why a worker with runs ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// It crashed: it started again, or its registration ended after silence.
    Crashed,
    /// It is still listed: it may be cut off and run on.
    Unreachable,
    /// It was draining.
    Drained,
    /// Its machine is moved or in maintenance.
    Removed,
    /// Most workers of its rack or data centre ended at the same moment.
    SharedFault,
}

impl LossCause {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Unreachable => "unreachable",
            Self::Drained => "drained",
            Self::Removed => "removed",
            Self::SharedFault => "shared-fault",
        }
    }
}

impl JobScheduler {
    /// Returns why a worker ended whose leases have expired, or that has started again;
    /// `was_draining` tells what it did before.
    pub(super) fn loss_cause(
        &self,
        id: &WorkerId,
        was_draining: bool,
        has_restarted: bool,
    ) -> LossCause {
        let Some(entry) = self.fleet.get(id) else {
            return LossCause::Crashed;
        };
        if was_draining {
            LossCause::Drained
        } else if entry.is_blocked() {
            LossCause::Removed
        } else if entry.is_listed && !has_restarted {
            LossCause::Unreachable
        } else if self.shares_fault(entry) {
            LossCause::SharedFault
        } else {
            LossCause::Crashed
        }
    }

    /// Returns whether most workers of the rack or the data centre of `lost` became silent
    /// when it did.
    fn shares_fault(&self, lost: &WorkerEntry) -> bool {
        // Of a worker that never responded to this owner it is not known when it became silent.
        let silent_since = lost.silent_since.filter(|_| lost.contacted_at.is_some());
        let (Some(view), Some(silent_since)) = (&lost.view, silent_since) else {
            return false;
        };
        let in_rack = |entry: &WorkerEntry| {
            let other = entry.view.as_ref();
            view.rack.is_some() && other.is_some_and(|other| other.rack == view.rack)
        };
        let in_data_centre = |entry: &WorkerEntry| {
            lost.data_centre().is_some() && entry.data_centre() == lost.data_centre()
        };
        let rack = self.count_silent(silent_since, in_rack);
        let data_centre = self.count_silent(silent_since, in_data_centre);
        let is_whole_rack = rack.silent > 1 && rack.others == 0;
        let is_most = |count: SilentCount| {
            count.silent >= SHARED_FAULT_WORKERS && count.silent > count.others
        };
        is_whole_rack || is_most(rack) || is_most(data_centre)
    }

    /// Counts the workers that `is_member` selects: those that became silent at
    /// `silent_since`, and those that did not.
    fn count_silent(
        &self,
        silent_since: BootTime,
        is_member: impl Fn(&WorkerEntry) -> bool,
    ) -> SilentCount {
        let mut count = SilentCount::default();
        for (_, entry) in self.fleet.iter().filter(|(_, entry)| is_member(entry)) {
            match entry.silent_since {
                Some(_) if entry.contacted_at.is_none() => {}
                Some(at) if at.abs_diff(silent_since) <= SIMULTANEOUS => count.silent += 1,
                Some(_) => {}
                None => {
                    // A machine may have a new worker by now.
                    let is_other = entry.is_listed && entry.listed_since < silent_since;
                    count.others += usize::from(is_other);
                }
            }
        }
        count
    }

    /// Records that a worker ended with runs.
    pub(super) fn record_loss(&mut self, worker: &WorkerId, runs: u32, cause: LossCause) {
        if runs > 0 {
            self.events.push(SchedulerEvent::WorkerLost {
                worker: worker.clone(),
                runs,
                cause,
            });
        }
    }
}

/// Numbers of workers of a rack or data centre.
#[derive(Clone, Copy, Debug, Default)]
struct SilentCount {
    /// Those that became silent at the same moment.
    silent: usize,
    /// Those that have not become silent.
    others: usize,
}
