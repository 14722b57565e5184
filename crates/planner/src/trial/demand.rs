//! Demand that rotates between classes.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Factor by which the class whose turn it is exceeds its mean.
const SURGE_FACTOR: f64 = 5.0;

/// Fraction of its mean to which demand falls between surges.
const QUIET_FACTOR: f64 = 0.05;

/// Largest relative deviation of single seconds.
const NOISE: f64 = 0.1;

/// Demand of several classes, each in turn at a multiple of its mean.
#[derive(Clone, Debug)]
pub struct RotatingDemand {
    means: Vec<f64>,
    surge_seconds: u64,
    random: StdRng,
}

impl RotatingDemand {
    /// Creates the demand of classes with these means, in slots.
    pub fn new(means: Vec<f64>, surge_seconds: u64, seed: u64) -> Self {
        Self {
            means,
            surge_seconds,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Changes the mean of one class for good.
    pub fn set_mean(&mut self, class: usize, mean: f64) {
        if let Some(present) = self.means.get_mut(class) {
            *present = mean;
        }
    }

    /// Returns the demand of each class in this second, in slots.
    pub fn sample(&mut self, second: u64) -> Vec<f64> {
        let turn = second / self.surge_seconds % self.means.len() as u64;
        let mut samples = Vec::with_capacity(self.means.len());
        for (class, mean) in self.means.iter().enumerate() {
            let surging = class as u64 == turn;
            let factor = if surging { SURGE_FACTOR } else { QUIET_FACTOR };
            let noise = self.random.random_range(1.0 - NOISE..1.0 + NOISE);
            samples.push(mean * factor * noise);
        }
        samples
    }
}
