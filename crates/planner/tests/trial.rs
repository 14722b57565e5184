//! Targets of roll-outs, buffer and moves against the baselines.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use redwing_model::declaration::PolicyProfile;
use redwing_planner::report;
use redwing_planner::trial::{TrialPolicy, TrialResult, TrialSettings, run};
use rstest::rstest;

/// Largest roll-out time as a multiple of its lower bound.
const LARGEST_RATIO: f64 = 1.15;

fn settings(seed: u64) -> TrialSettings {
    TrialSettings {
        seed,
        seconds: 6_000,
        rollout_at: 1_500,
        growth_at: 3_300,
        ..TrialSettings::default()
    }
}

fn try_policy(settings: &TrialSettings, policy: TrialPolicy) -> TrialResult {
    run(settings, policy).unwrap()
}

#[rstest]
fn planner_meets_its_targets(
    #[values(1, 2)] seed: u64,
    #[values(PolicyProfile::ShareFirst, PolicyProfile::BufferFirst)] profile: PolicyProfile,
) {
    let settings = settings(seed);
    let planner = try_policy(&settings, TrialPolicy::Planner(profile));
    let waves = try_policy(&settings, TrialPolicy::LockStep);
    let surges = try_policy(&settings, TrialPolicy::SurgeMoves);
    assert_eq!(planner.broken_rules, 0);
    assert!(planner.smallest_headroom >= 0);
    assert!(planner.rollout_ratio().unwrap() <= LARGEST_RATIO);
    assert!(planner.rollout_seconds < waves.rollout_seconds);
    assert!(planner.buffer < waves.buffer);
    assert!(planner.moves * 2 <= surges.moves);
    assert!(planner.moves > 0, "lasting growth must be followed");
    assert!(planner.share_error < surges.share_error);
}

#[test]
fn planner_finishes_although_a_rack_fails_in_the_roll_out() {
    let settings = TrialSettings {
        rack_fails_at: Some(1_650),
        ..settings(3)
    };
    let profile = PolicyProfile::ShareFirst;
    let planner = try_policy(&settings, TrialPolicy::Planner(profile));
    let waves = try_policy(&settings, TrialPolicy::LockStep);
    assert_eq!(planner.broken_rules, 0);
    assert!(planner.rollout_seconds.is_some());
    assert!(planner.share_error < waves.share_error);
}

#[test]
fn picture_names_every_policy() {
    let settings = TrialSettings {
        seconds: 3_000,
        ..settings(4)
    };
    let policies = [
        TrialPolicy::Planner(PolicyProfile::ShareFirst),
        TrialPolicy::LockStep,
    ];
    let results = policies.map(|policy| try_policy(&settings, policy));
    let picture = report::draw(&settings, &results);
    assert!(picture.starts_with("<svg") && picture.ends_with("</svg>\n"));
    for policy in policies {
        assert!(picture.contains(policy.name()));
    }
}
