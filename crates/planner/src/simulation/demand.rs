//! Demand that rotates between classes.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Demand of the surging class as a multiple of its mean.
const SURGE_FACTOR: f64 = 5.0;

/// Demand of the other classes as a fraction of their means.
const BASE_FACTOR: f64 = 0.05;

/// Maximum relative deviation of a single second.
const NOISE_FRACTION: f64 = 0.1;

/// Demand of several classes that surge one after the other.
#[derive(Clone, Debug)]
pub struct RotatingDemand {
    means: Vec<f64>,
    surge_seconds: u64,
    random: StdRng,
}

impl RotatingDemand {
    /// Creates the demand of classes with these means, in slots; a surge lasts
    /// `surge_seconds`.
    pub fn new(means: Vec<f64>, surge_seconds: u64, seed: u64) -> Self {
        Self {
            means,
            surge_seconds,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the mean demand of one class, in slots.
    pub fn set_mean(&mut self, class: usize, mean: f64) {
        if let Some(current) = self.means.get_mut(class) {
            *current = mean;
        }
    }

    /// Returns the demand of each class in this second, in slots.
    pub fn sample(&mut self, second: u64) -> Vec<f64> {
        let surging_class = second / self.surge_seconds % self.means.len() as u64;
        let mut samples = Vec::with_capacity(self.means.len());
        for (class, mean) in self.means.iter().enumerate() {
            let is_surging = class as u64 == surging_class;
            let factor = if is_surging {
                SURGE_FACTOR
            } else {
                BASE_FACTOR
            };
            let noise = self
                .random
                .random_range(1.0 - NOISE_FRACTION..1.0 + NOISE_FRACTION);
            samples.push(mean * factor * noise);
        }
        samples
    }
}
