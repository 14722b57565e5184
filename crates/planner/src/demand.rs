//! Estimates of the sustained demand of classes, without short surges.

use std::collections::BTreeMap;
use std::time;

use redwing_model::ClassName;

/// Moving average of the demand of one class.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DemandEstimate {
    slots: f64,
    observed: time::Duration,
}

/// Estimates the sustained demand of each class by an exponential moving
/// average.
///
/// A surge of `f` times the mean for a time `d` raises the estimate by at
/// most `(f - 1) * (1 - exp(-d / window))` of the mean, see
/// [`surge_bound`](Self::surge_bound). A class has no estimate until it has
/// been observed for one whole window, so that a restarted planner moves no VM.
#[derive(Clone, Debug)]
pub struct DemandTracker {
    window: time::Duration,
    estimates: BTreeMap<ClassName, DemandEstimate>,
}

impl DemandTracker {
    /// Creates a tracker with the time constant `window`.
    pub fn new(window: time::Duration) -> Self {
        Self {
            window,
            estimates: BTreeMap::new(),
        }
    }

    /// Returns the maximum relative increase of an estimate by a surge.
    pub fn surge_bound(&self, factor: f64, length: time::Duration) -> f64 {
        (factor - 1.0).max(0.0) * self.weight(length)
    }

    /// Returns the sustained demand of each class, in slots.
    pub fn sustained(&self) -> BTreeMap<ClassName, f64> {
        let is_complete = |estimate: &DemandEstimate| estimate.observed >= self.window;
        let estimates = self.estimates.iter();
        estimates
            .filter(|(_, estimate)| is_complete(estimate))
            .map(|(class, estimate)| (class.clone(), estimate.slots))
            .collect()
    }

    /// Adds an observation: the demand of a class over the last `elapsed` time,
    /// in slots that its running and waiting requests would use.
    pub fn observe(&mut self, class: &ClassName, slots: f64, elapsed: time::Duration) {
        let window_weight = self.weight(elapsed);
        let Some(estimate) = self.estimates.get_mut(class) else {
            let observed = elapsed;
            let estimate = DemandEstimate { slots, observed };
            self.estimates.insert(class.clone(), estimate);
            return;
        };
        estimate.observed += elapsed;
        // During the first window the estimate is the arithmetic mean, so that
        // the first observation weighs no more than the others.
        let mean_weight =
            elapsed.as_secs_f64() / estimate.observed.as_secs_f64().max(f64::MIN_POSITIVE);
        estimate.slots += (slots - estimate.slots) * mean_weight.max(window_weight).min(1.0);
    }

    /// Removes the estimates of classes that are no longer declared.
    pub fn retain(&mut self, mut declared: impl FnMut(&ClassName) -> bool) {
        self.estimates.retain(|class, _| declared(class));
    }

    fn weight(&self, elapsed: time::Duration) -> f64 {
        1.0 - (-elapsed.as_secs_f64() / self.window.as_secs_f64()).exp()
    }
}
