//! Estimates of sustained demand, and the effect of surges on them.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use redwing_model::ClassName;
use redwing_planner::DemandTracker;

const WINDOW: Duration = Duration::from_secs(600);
const SECOND: Duration = Duration::from_secs(1);

fn class() -> ClassName {
    ClassName::new("certificates").unwrap()
}

fn steady_tracker(mean: f64) -> DemandTracker {
    let mut tracker = DemandTracker::new(WINDOW);
    for _ in 0..WINDOW.as_secs() {
        tracker.observe(&class(), mean, SECOND);
    }
    tracker
}

#[test]
fn no_estimate_before_one_whole_window() {
    let mut tracker = DemandTracker::new(WINDOW);
    for _ in 1..WINDOW.as_secs() {
        tracker.observe(&class(), 10.0, SECOND);
    }
    assert!(tracker.sustained().is_empty());
    tracker.observe(&class(), 10.0, SECOND);
    assert!((tracker.sustained()[&class()] - 10.0).abs() < 1e-9);
}

#[test]
fn estimate_follows_sustained_growth() {
    let mut tracker = steady_tracker(10.0);
    for _ in 0..5 * WINDOW.as_secs() {
        tracker.observe(&class(), 30.0, SECOND);
    }
    assert!(tracker.sustained()[&class()] > 29.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(63),
        ..ProptestConfig::default()
    })]

    #[test]
    fn surge_raises_the_estimate_within_its_bound(
        mean in 1.0_f64..100.0,
        factor in 1.0_f64..10.0,
        length in 1_u64..60,
    ) {
        let mut tracker = steady_tracker(mean);
        for _ in 0..length {
            tracker.observe(&class(), mean * factor, SECOND);
        }
        let bound = tracker.surge_bound(factor, Duration::from_secs(length));
        let rise = tracker.sustained()[&class()] / mean - 1.0;
        prop_assert!(rise <= bound + 1e-9, "{} above {}", rise, bound);
    }
}
