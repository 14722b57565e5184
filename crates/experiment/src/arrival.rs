//! Seeded arrivals of jobs.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::load::{LoadFile, TrafficLoad};

/// Job that a caller submits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobArrival {
    /// When it is first submitted, in milliseconds since the start.
    pub at_ms: u64,
    /// Entry of the load file's traffic that it belongs to.
    pub traffic: usize,
    /// Seed of the durations of its tasks.
    pub seed: u64,
}

impl JobArrival {
    /// Returns the duration of one of the job's tasks, in milliseconds; it is the
    /// same for each run and with each policy.
    pub fn duration_ms(&self, traffic: &TrafficLoad, step: u32, task: u32) -> u64 {
        let Some(spec) = traffic.steps.get(step as usize) else {
            return 0;
        };
        let place = u64::from(step) << 32 | u64::from(task);
        let mut random = StdRng::seed_from_u64(self.seed ^ place);
        let spread = random.random_range(-1.0..=1.0) * spec.duration_spread;
        let duration = spec.estimate_ms.get() as f64 * (1.0 + spread);
        (duration.round() as u64).max(1)
    }
}

/// Returns all arrivals of a load, in their order in time. The same seed gives the
/// same arrivals.
pub fn arrivals(load: &LoadFile, seed: u64) -> Vec<JobArrival> {
    let mut arrivals = Vec::new();
    for (number, traffic) in load.traffic.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
        add_arrivals(load, number, traffic, &mut random, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| (arrival.at_ms, arrival.traffic));
    arrivals
}

/// Adds a Poisson process whose rate changes: candidates arrive at the highest rate,
/// and each is kept with the ratio of the rate at its time to the highest.
fn add_arrivals(
    load: &LoadFile,
    number: usize,
    traffic: &TrafficLoad,
    random: &mut StdRng,
    arrivals: &mut Vec<JobArrival>,
) {
    let highest = traffic.rate * highest_factor(load, traffic);
    if highest <= 0.0 {
        return;
    }
    let mut second = 0.0;
    loop {
        let uniform: f64 = random.random();
        second += -(1.0 - uniform).ln() / highest;
        if second >= load.seconds {
            return;
        }
        let is_kept =
            random.random::<f64>() * highest < traffic.rate * factor_at(load, traffic, second);
        let seed = random.random();
        if is_kept {
            arrivals.push(JobArrival {
                at_ms: (second * 1_000.0) as u64,
                traffic: number,
                seed,
            });
        }
    }
}

fn highest_factor(load: &LoadFile, traffic: &TrafficLoad) -> f64 {
    let turns = load.turns.as_ref();
    let turn = turns.map_or(1.0, |turns| turns.surge.max(turns.lull));
    let floods = load.floods.iter();
    let factors = floods.filter(|flood| flood.applies_to(traffic));
    turn * factors.fold(1.0, |factor, flood| factor * flood.factor.max(1.0))
}

/// Returns the rate of a customer at a queue at `second`, as a multiple of its mean.
fn factor_at(load: &LoadFile, traffic: &TrafficLoad, second: f64) -> f64 {
    let turn = load.turns.as_ref().map_or(1.0, |turns| {
        let number = (second / turns.period_seconds) as usize % load.queues.len();
        let has_turn = load.queues[number].name == traffic.queue;
        if has_turn { turns.surge } else { turns.lull }
    });
    let floods = load.floods.iter();
    let active = floods.filter(|flood| {
        flood.applies_to(traffic) && (flood.from_seconds..flood.to_seconds).contains(&second)
    });
    turn * active.map(|flood| flood.factor).product::<f64>()
}
