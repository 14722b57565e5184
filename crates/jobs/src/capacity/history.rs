//! Recent demand of a pool.

use std::collections::VecDeque;
use std::time;

use crate::time::BootTime;

use super::CapacitySettings;

/// Demand of a pool over the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandHistory {
    arrivals: VecDeque<ArrivalSample>,
    /// Recent requirements of the pool.
    pub(super) required: VecDeque<RequirementSample>,
}

#[derive(Clone, Copy, Debug)]
struct ArrivalSample {
    at: BootTime,
    arrived_jobs: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct RequirementSample {
    pub(super) at: BootTime,
    /// In thousandths of a core.
    pub(super) cpu_millis: u64,
}

impl DemandHistory {
    pub(super) fn record(&mut self, at: BootTime, arrived_jobs: u64, settings: &CapacitySettings) {
        self.arrivals.push_back(ArrivalSample { at, arrived_jobs });
        let max_age = settings.rate_window * 2;
        while let Some(oldest) = self.arrivals.front() {
            if at.saturating_since(oldest.at) <= max_age {
                break;
            }
            self.arrivals.pop_front();
        }
    }

    /// Returns the number of jobs that had arrived `age` before `now`, by the first
    /// sample since then.
    pub(super) fn arrived_jobs_at(&self, now: BootTime, age: time::Duration) -> Option<u64> {
        let mut arrivals = self.arrivals.iter();
        let sample = arrivals.find(|sample| now.saturating_since(sample.at) <= age);
        sample.map(|sample| sample.arrived_jobs)
    }

    /// Returns the arrivals of jobs per second that are expected by the end of a
    /// move that begins now.
    ///
    /// Small numbers of arrivals are noisy; growth is extrapolated only if it
    /// exceeds the noise.
    pub(super) fn expected_rate(&self, now: BootTime, settings: &CapacitySettings) -> f64 {
        let window = settings.rate_window;
        let (Some(before), Some(middle), Some(last)) = (
            self.arrived_jobs_at(now, window * 2),
            self.arrived_jobs_at(now, window),
            self.arrivals.back().map(|sample| sample.arrived_jobs),
        ) else {
            return 0.0;
        };
        let previous = middle.saturating_sub(before) as f64;
        let latest = last.saturating_sub(middle) as f64;
        let seconds = window.as_secs_f64();
        let rise = latest - previous;
        let noise = settings.growth_confidence * (latest + previous).sqrt();
        let growth = if rise > noise { rise / seconds } else { 0.0 };
        let expected_growth = growth / seconds * settings.lead_time.as_secs_f64();
        latest / seconds + expected_growth
    }

    /// Records the current requirement; returns the largest recent one.
    pub(super) fn peak_requirement(
        &mut self,
        at: BootTime,
        cpu_millis: u64,
        max_age: time::Duration,
    ) -> u64 {
        self.required
            .push_back(RequirementSample { at, cpu_millis });
        while let Some(oldest) = self.required.front() {
            if at.saturating_since(oldest.at) <= max_age {
                break;
            }
            self.required.pop_front();
        }
        self.highest_requirement()
    }

    /// Returns the largest recorded requirement.
    pub(super) fn highest_requirement(&self) -> u64 {
        let required = self.required.iter().map(|sample| sample.cpu_millis);
        required.max().unwrap_or(0)
    }
}
