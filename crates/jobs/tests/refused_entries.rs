//! Entries of workers that cannot be read: another writer may have replaced them.

mod common;

use common::{FakeFleet, step_spec};
use redwing_jobs::spec::{JobSpec, StepSpec};
use redwing_jobs::{JobState, WorkerId};
use rstest::rstest;

#[test]
fn a_worker_whose_entry_cannot_be_read_keeps_its_runs_and_gets_no_others() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 4_000);
    fleet.advance(200);
    assert_eq!(fleet.starts.len(), 2);
    fleet.scheduler.worker_refused(&WorkerId::new("w0"));
    fleet.submit("later", vec![step_spec(1, 1_000)], 500);
    fleet.advance(1_000);
    // A complete list, as after an absence of the table, has the entry as well.
    let now = fleet.now;
    let refused = [WorkerId::new("w0")];
    fleet.scheduler.workers_listed(Vec::new(), &refused, now);
    fleet.advance(7_000);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.state(&job), JobState::Completed);
    let view = fleet.worker("w0").view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.advance(200);
    assert_eq!(fleet.starts.len(), 3);
}

/// Numbers that callers send are added up.
#[rstest]
#[case(step_spec(3, u64::MAX), "steps[0].needs")]
#[case(StepSpec { estimate_ms: u64::MAX, ..step_spec(3, 100) }, "steps[0].estimate-ms")]
fn a_job_with_the_largest_numbers_is_refused_and_disturbs_no_other(
    #[case] step: StepSpec,
    #[case] field: &str,
) {
    let odd = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let error = odd.check().expect_err("it is refused").to_string();
    assert!(error.contains(field), "{error}");
    // An earlier release may have accepted it.
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.submit("odd", odd.steps, 100);
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 100);
    fleet.advance(2_000);
    let wall = fleet.wall_time();
    fleet.scheduler.pool_demands(wall);
    assert_eq!(fleet.state(&job), JobState::Completed);
}
