//! Targets for roll-outs, buffer and moves, compared with the baselines.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use redwing_model::declaration::PolicyProfile;
use redwing_planner::report;
use redwing_planner::simulation::{SimulationPolicy, SimulationResult, SimulationSettings, run};
use rstest::rstest;

/// Maximum roll-out time as a multiple of its lower bound.
const MAX_ROLLOUT_RATIO: f64 = 1.15;

fn settings(seed: u64) -> SimulationSettings {
    SimulationSettings {
        seed,
        seconds: 6_000,
        rollout_at: 1_500,
        growth_at: 3_300,
        ..SimulationSettings::default()
    }
}

fn run_policy(settings: &SimulationSettings, policy: SimulationPolicy) -> SimulationResult {
    run(settings, policy).unwrap()
}

#[rstest]
fn planner_meets_its_targets(
    #[values(1, 2)] seed: u64,
    #[values(PolicyProfile::ShareFirst, PolicyProfile::BufferFirst)] profile: PolicyProfile,
) {
    let settings = settings(seed);
    let planner = run_policy(&settings, SimulationPolicy::Planner(profile));
    let lock_step = run_policy(&settings, SimulationPolicy::LockStep);
    let surge_moves = run_policy(&settings, SimulationPolicy::SurgeMoves);
    assert_eq!(planner.violation_count, 0);
    assert!(planner.smallest_headroom >= 0);
    assert!(planner.rollout_ratio().unwrap() <= MAX_ROLLOUT_RATIO);
    assert!(planner.rollout_seconds < lock_step.rollout_seconds);
    assert!(planner.buffer < lock_step.buffer);
    assert!(planner.moves * 2 <= surge_moves.moves);
    assert!(planner.moves > 0, "lasting growth must be followed");
    assert!(planner.share_error < surge_moves.share_error);
}

#[test]
fn planner_finishes_a_rollout_during_a_rack_failure() {
    let settings = SimulationSettings {
        rack_fails_at: Some(1_650),
        ..settings(3)
    };
    let profile = PolicyProfile::ShareFirst;
    let planner = run_policy(&settings, SimulationPolicy::Planner(profile));
    let lock_step = run_policy(&settings, SimulationPolicy::LockStep);
    assert_eq!(planner.violation_count, 0);
    assert!(planner.rollout_seconds.is_some());
    assert!(planner.share_error < lock_step.share_error);
}

#[test]
fn report_names_every_policy() {
    let settings = SimulationSettings {
        seconds: 3_000,
        ..settings(4)
    };
    let policies = [
        SimulationPolicy::Planner(PolicyProfile::ShareFirst),
        SimulationPolicy::LockStep,
    ];
    let results = policies.map(|policy| run_policy(&settings, policy));
    let svg = report::draw(&settings, &results);
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    for policy in policies {
        assert!(svg.contains(policy.name()));
    }
}
