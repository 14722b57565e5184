//! Seeded arrival schedule.

use std::time;

use rand::rngs;
use rand::{Rng, SeedableRng};

use super::experiment::{LoadExperiment, LoadStream};

/// Maximum delay between a request and its duplicate, in seconds.
const MAX_DUPLICATE_DELAY_SECONDS: f64 = 0.2;

/// One scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadArrival {
    /// Scheduled time, since the start of the experiment.
    pub at: time::Duration,
    /// Number of the request; a duplicate has the number of its original.
    pub request: u32,
    /// Index of the stream.
    pub stream: usize,
    /// Index of the target.
    pub target: usize,
    /// Time after which the caller cancels; `None` if it does not.
    pub cancel_after: Option<time::Duration>,
}

/// All requests of an experiment, in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSchedule {
    /// Requests in the order of their times.
    pub arrivals: Vec<LoadArrival>,
    /// Whether the schedule was truncated at the maximum number of requests.
    pub truncated: bool,
}

impl LoadSchedule {
    /// Draws the schedule of `experiment` from its seed.
    ///
    /// Each stream is a Poisson process whose rate follows the rotation of
    /// demand. The experiment must have been checked.
    pub fn draw(experiment: &LoadExperiment) -> Self {
        let mut arrivals = Vec::new();
        let total: f64 = experiment.streams.iter().map(|stream| stream.weight).sum();
        for (index, stream) in experiment.streams.iter().enumerate() {
            let mean_rate = experiment.rate * stream.weight / total.max(f64::MIN_POSITIVE);
            let mut rng = stream_rng(experiment.seed, index);
            draw_stream(experiment, index, mean_rate, &mut rng, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        let truncated = arrivals.len() > experiment.max_requests;
        arrivals.truncate(experiment.max_requests);
        Self {
            arrivals: number_requests(arrivals),
            truncated,
        }
        .with_duplicates(experiment)
    }

    /// Adds duplicates of some requests, to another target if there is one.
    fn with_duplicates(mut self, experiment: &LoadExperiment) -> Self {
        let mut rng = stream_rng(experiment.seed, usize::MAX);
        let mut duplicates = Vec::new();
        for arrival in &self.arrivals {
            let stream = &experiment.streams[arrival.stream];
            if stream.duplicates > 0.0 && rng.random_bool(stream.duplicates) {
                let delay = rng.random_range(0.0..MAX_DUPLICATE_DELAY_SECONDS);
                duplicates.push(LoadArrival {
                    at: arrival.at + time::Duration::from_secs_f64(delay),
                    target: (arrival.target + 1) % experiment.targets.len(),
                    cancel_after: None,
                    ..arrival.clone()
                });
            }
        }
        self.arrivals.extend(duplicates);
        self.arrivals.sort_by_key(|arrival| arrival.at);
        self
    }
}

/// Returns the random number generator of one stream.
fn stream_rng(seed: u64, index: usize) -> rngs::StdRng {
    rngs::StdRng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Draws one stream by thinning a Poisson process of its peak rate.
fn draw_stream(
    experiment: &LoadExperiment,
    index: usize,
    mean_rate: f64,
    rng: &mut rngs::StdRng,
    arrivals: &mut Vec<LoadArrival>,
) {
    let stream = &experiment.streams[index];
    let peak_multiple = peak_rate_factor(experiment);
    let peak_rate = mean_rate * peak_multiple;
    if peak_rate <= 0.0 {
        return;
    }
    let mut at = 0.0;
    // One request above the maximum shows that the schedule is truncated.
    let bound = arrivals.len() + experiment.max_requests + 1;
    while arrivals.len() < bound {
        at -= (1.0 - rng.random::<f64>()).ln() / peak_rate;
        if at >= experiment.seconds {
            return;
        }
        let is_accepted =
            rng.random::<f64>() * peak_multiple < rate_factor_at(experiment, stream, at);
        let target = pick_target(stream, experiment.targets.len(), rng);
        let is_cancelled = rng.random::<f64>() < stream.cancellations;
        if is_accepted {
            arrivals.push(LoadArrival {
                at: time::Duration::from_secs_f64(at),
                request: 0,
                stream: index,
                target,
                cancel_after: is_cancelled
                    .then(|| time::Duration::from_secs_f64(stream.cancel_seconds)),
            });
        }
    }
}

/// Numbers the requests in the order of their times.
fn number_requests(mut arrivals: Vec<LoadArrival>) -> Vec<LoadArrival> {
    for (request, arrival) in (0..).zip(&mut arrivals) {
        arrival.request = request;
    }
    arrivals
}

/// Returns the peak rate as a multiple of the mean rate.
fn peak_rate_factor(experiment: &LoadExperiment) -> f64 {
    experiment
        .rotation
        .as_ref()
        .map_or(1.0, |rotation| rotation.surge.max(rotation.lull))
}

/// Returns the rate of `stream` at `at` seconds, as a multiple of its mean rate.
fn rate_factor_at(experiment: &LoadExperiment, stream: &LoadStream, at: f64) -> f64 {
    let Some(rotation) = &experiment.rotation else {
        return 1.0;
    };
    let queues = experiment.queue_names();
    let surge_index = (at / rotation.period_seconds) as usize % queues.len();
    if *queues[surge_index] == stream.queue {
        rotation.surge
    } else {
        rotation.lull
    }
}

/// Draws a target by the weights of the stream.
fn pick_target(stream: &LoadStream, targets: usize, rng: &mut rngs::StdRng) -> usize {
    let total: f64 = stream.target_weights.iter().sum();
    if total <= 0.0 {
        return rng.random_range(0..targets);
    }
    let mut remaining = rng.random::<f64>() * total;
    for (index, weight) in stream.target_weights.iter().enumerate() {
        if remaining < *weight {
            return index;
        }
        remaining -= weight;
    }
    targets - 1
}
