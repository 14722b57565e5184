//! Seeded arrival schedule.

use std::time;

use rand::rngs;
use rand::{Rng, SeedableRng};

use super::experiment::{LoadExperiment, LoadStream};

/// Delay between a request and its duplicate, in seconds at most.
const MAX_DUPLICATE_DELAY: f64 = 0.2;

/// One request to be sent at a given time.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadArrival {
    /// Time after the start of the experiment.
    pub at: time::Duration,
    /// Number of the request; a duplicate has the number of its original.
    pub request: u32,
    /// Index of the stream.
    pub stream: usize,
    /// Index of the target.
    pub target: usize,
    /// Time after which the caller gives up.
    pub cancel_after: Option<time::Duration>,
}

/// All requests of an experiment, in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSchedule {
    /// Requests by time.
    pub arrivals: Vec<LoadArrival>,
    /// Whether the bound on the number of requests cut the schedule short.
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
            let mean = experiment.rate * stream.weight / total.max(f64::MIN_POSITIVE);
            let mut rng = stream_rng(experiment.seed, index);
            draw_stream(experiment, index, mean, &mut rng, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        let truncated = arrivals.len() > experiment.max_requests;
        arrivals.truncate(experiment.max_requests);
        Self {
            arrivals: number(arrivals),
            truncated,
        }
        .with_duplicates(experiment)
    }

    /// Adds a second sending of some requests, at another target where there is one.
    fn with_duplicates(mut self, experiment: &LoadExperiment) -> Self {
        let mut rng = stream_rng(experiment.seed, usize::MAX);
        let mut copies = Vec::new();
        for arrival in &self.arrivals {
            let stream = &experiment.streams[arrival.stream];
            if stream.duplicates > 0.0 && rng.random_bool(stream.duplicates) {
                let delay = rng.random_range(0.0..MAX_DUPLICATE_DELAY);
                copies.push(LoadArrival {
                    at: arrival.at + time::Duration::from_secs_f64(delay),
                    target: (arrival.target + 1) % experiment.targets.len(),
                    cancel_after: None,
                    ..arrival.clone()
                });
            }
        }
        self.arrivals.extend(copies);
        self.arrivals.sort_by_key(|arrival| arrival.at);
        self
    }
}

/// Returns a generator that no other stream shares.
fn stream_rng(seed: u64, index: usize) -> rngs::StdRng {
    rngs::StdRng::seed_from_u64(seed ^ (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Draws one stream by thinning a Poisson process of its highest rate.
fn draw_stream(
    experiment: &LoadExperiment,
    index: usize,
    mean: f64,
    rng: &mut rngs::StdRng,
    arrivals: &mut Vec<LoadArrival>,
) {
    let stream = &experiment.streams[index];
    let peak = peak_factor(experiment);
    let highest = mean * peak;
    if highest <= 0.0 {
        return;
    }
    let mut at = 0.0;
    // One more than the bound shows that the bound was reached.
    let bound = arrivals.len() + experiment.max_requests + 1;
    while arrivals.len() < bound {
        at -= (1.0 - rng.random::<f64>()).ln() / highest;
        if at >= experiment.seconds {
            return;
        }
        let kept = rng.random::<f64>() * peak < factor_at(experiment, stream, at);
        let target = pick_target(stream, experiment.targets.len(), rng);
        let cancelled = rng.random::<f64>() < stream.cancellations;
        if kept {
            arrivals.push(LoadArrival {
                at: time::Duration::from_secs_f64(at),
                request: 0,
                stream: index,
                target,
                cancel_after: cancelled
                    .then(|| time::Duration::from_secs_f64(stream.cancel_seconds)),
            });
        }
    }
}

/// Numbers the requests by time.
fn number(mut arrivals: Vec<LoadArrival>) -> Vec<LoadArrival> {
    for (request, arrival) in (0..).zip(&mut arrivals) {
        arrival.request = request;
    }
    arrivals
}

/// Returns the highest multiple of the mean rate.
fn peak_factor(experiment: &LoadExperiment) -> f64 {
    experiment
        .rotation
        .as_ref()
        .map_or(1.0, |rotation| rotation.surge.max(rotation.lull))
}

/// Returns the multiple of the mean rate that `stream` has at time `at`.
fn factor_at(experiment: &LoadExperiment, stream: &LoadStream, at: f64) -> f64 {
    let Some(rotation) = &experiment.rotation else {
        return 1.0;
    };
    let queues = experiment.queue_names();
    let turn = (at / rotation.period_seconds) as usize % queues.len();
    if *queues[turn] == stream.queue {
        rotation.surge
    } else {
        rotation.lull
    }
}

/// Picks a target by the weights of the stream.
fn pick_target(stream: &LoadStream, targets: usize, rng: &mut rngs::StdRng) -> usize {
    let total: f64 = stream.target_weights.iter().sum();
    if total <= 0.0 {
        return rng.random_range(0..targets);
    }
    let mut rest = rng.random::<f64>() * total;
    for (index, weight) in stream.target_weights.iter().enumerate() {
        if rest < *weight {
            return index;
        }
        rest -= weight;
    }
    targets - 1
}
