//! Evacuations in force, as the control thread publishes them to its other tasks.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use redwing_model::DataCentre;
use tokio::sync::watch;

use crate::snapshot::FreshnessDeadline;

/// Evacuations in force.
#[derive(Clone, Debug, Default)]
pub struct EvacuationNotice {
    /// Data centres that get no new requests.
    pub evacuated: sync::Arc<BTreeSet<DataCentre>>,
    /// Time until which the process may dispatch requests; none if it has no bound.
    pub deadline: Option<DispatchDeadline>,
}

/// Receiver of the evacuations in force.
pub type EvacuationReceiver = watch::Receiver<EvacuationNotice>;

/// Sender of the evacuations in force.
pub type EvacuationSender = watch::Sender<EvacuationNotice>;

/// Time after which the configuration is too old to dispatch requests by, since a data
/// centre may have been evacuated meanwhile.
///
/// It passes without any action of the control thread, so that a process that was paused
/// does not dispatch between resuming and its next configuration refresh.
#[derive(Clone, Debug)]
pub struct DispatchDeadline {
    freshness: sync::Arc<FreshnessDeadline>,
    /// Time for which requests are dispatched after keys are no longer accepted.
    margin: time::Duration,
}

impl DispatchDeadline {
    /// Creates the deadline that is `margin` after that of the keys.
    pub fn new(freshness: sync::Arc<FreshnessDeadline>, margin: time::Duration) -> Self {
        Self { freshness, margin }
    }

    /// Returns whether requests may be dispatched at `now`.
    pub fn allows(&self, now: time::Instant) -> bool {
        let at = now.checked_sub(self.margin);
        at.is_none_or(|at| self.freshness.is_fresh(at))
    }
}
