//! Which starts the operators permit while they evacuate data centres.
//!
//! Load pattern: an operator evacuates one, several or all data centres at any moment,
//! while the owner reads the operators' rows late, is paused with orders waiting, or has
//! just begun. A read that was sent at a time shows every evacuation that was confirmed
//! before, so a start on a worker of another data centre is right until that time plus
//! the bound.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

use crate::name::DataCentre;
use crate::time::BootTime;

/// Part of the bound that must be left for a start to be ordered: the time for which the
/// order may wait in its queue and be on its way, and until the lease is renewed.
const MIN_START_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Largest fraction of the bound that must be left: the operators' rows are read again
/// every 500 ms.
const MAX_START_FRACTION: f64 = 0.4;

/// Part of the bound that is not used: the clock of a worker may be slow, and is read at
/// intervals.
const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(200);

/// Shortest bound that can be kept; with a shorter one no start would ever be permitted.
const MIN_BOUND: time::Duration = time::Duration::from_millis(1_000);

/// Evacuated data centres, and until when a start elsewhere may begin.
#[derive(Clone, Debug, Default)]
pub struct StartGuard {
    bound: Option<time::Duration>,
    evacuations: sync::Arc<BTreeSet<DataCentre>>,
    confirmed_at: Option<BootTime>,
}

impl StartGuard {
    /// Creates a guard without evacuations, before the operators' rows are read. Without a
    /// `bound`, the age of the rows does not matter.
    pub fn new(bound: Option<time::Duration>) -> Self {
        Self {
            bound: bound.map(|bound| bound.max(MIN_BOUND)),
            ..Self::default()
        }
    }

    /// Sets the evacuated data centres.
    pub fn set_evacuations(&mut self, evacuations: sync::Arc<BTreeSet<DataCentre>>) {
        self.evacuations = evacuations;
    }

    /// Sets when the read was sent that has confirmed the evacuated data centres.
    pub fn set_confirmed(&mut self, confirmed_at: BootTime) {
        self.confirmed_at = Some(confirmed_at);
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> &sync::Arc<BTreeSet<DataCentre>> {
        &self.evacuations
    }

    /// Returns whether no start may begin in a data centre; none is never evacuated.
    pub fn is_evacuated(&self, data_centre: Option<&DataCentre>) -> bool {
        data_centre.is_some_and(|name| self.evacuations.contains(name))
    }

    /// Returns whether the operators' rows were read recently enough for starts in data
    /// centres.
    pub fn is_current(&self, now: BootTime) -> bool {
        let Some(bound) = self.bound else {
            return true;
        };
        let needed = MIN_START_TIME.min(bound.mul_f64(MAX_START_FRACTION));
        let age = self.confirmed_at.map(|at| now.saturating_since(at));
        age.is_some_and(|age| age + needed <= bound)
    }

    /// Returns whether a start in a data centre may be ordered now.
    pub fn permits(&self, data_centre: Option<&DataCentre>, now: BootTime) -> bool {
        data_centre.is_none() || (!self.is_evacuated(data_centre) && self.is_current(now))
    }

    /// Returns the time after which a start that is ordered now in a data centre must not
    /// begin; none if there is no such time.
    pub fn begins_by(&self, data_centre: Option<&DataCentre>) -> Option<BootTime> {
        let bound = data_centre.and(self.bound)?;
        let usable = bound - CLOCK_MARGIN;
        Some(self.confirmed_at.unwrap_or_default() + usable)
    }
}

/// Progress of the evacuation of a data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EvacuationProgress {
    /// Workers of the data centre.
    pub workers: u32,
    /// Runs on them.
    pub runs: u32,
    /// Part of the runs that may not have started yet, because their start orders have no
    /// response.
    pub unconfirmed: u32,
}

impl EvacuationProgress {
    /// Returns the state of the evacuation.
    pub fn state(&self) -> EvacuationState {
        match self {
            Self { runs: 0, .. } => EvacuationState::Drained,
            Self { unconfirmed: 0, .. } => EvacuationState::InForce,
            _ => EvacuationState::Requested,
        }
    }
}

/// State of the evacuation of a data centre, as operators see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvacuationState {
    /// Start orders that were sent before have no response.
    Requested,
    /// No run can start.
    InForce,
    /// No run is left.
    Drained,
}

/// State of an evacuation with the runs that are left, as shown to operators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EvacuationStatus {
    /// State of the evacuation.
    pub state: EvacuationState,
    /// Runs that are left on workers of the data centre.
    pub runs: u32,
}

impl From<&EvacuationProgress> for EvacuationStatus {
    fn from(progress: &EvacuationProgress) -> Self {
        Self {
            state: progress.state(),
            runs: progress.runs,
        }
    }
}
