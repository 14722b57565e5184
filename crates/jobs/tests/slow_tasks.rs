//! Tasks that take minutes, so that their progress changes seldom.

mod common;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::JobState;
use redwing_jobs::spec::StepSpec;
use rstest::rstest;

fn estimated_step(count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        estimate_ms,
        ..step_spec(count, 1_000)
    }
}

/// Guards against runs that are stopped again and again because a percent of them takes longer
/// than a run may make no progress: their jobs never end (LOST).
#[rstest]
#[case::on_time(300_000, 300_000)]
#[case::twice_as_long(300_000, 150_000)]
#[case::far_from_its_data(900_000, 450_000)]
fn a_task_whose_estimate_tells_that_it_is_slow_runs_once(
    #[case] duration_ms: u64,
    #[case] estimate_ms: u64,
) {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    let job = fleet.submit("j", vec![estimated_step(4, estimate_ms)], duration_ms);
    fleet.advance(duration_ms + 1_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(fleet.starts.len(), 4);
}

/// Guards against the same for a task whose estimate is far too low.
#[test]
fn a_task_that_is_slower_than_estimated_is_done_in_the_end() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    let job = fleet.submit("j", vec![estimated_step(1, 1_000)], 1_500_000);
    fleet.advance(1_600_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert!(fleet.starts.len() <= 5, "{} starts", fleet.starts.len());
}

/// Guards against a worker that gets no task for long since slow tasks were stopped there.
#[test]
fn the_worker_of_slow_tasks_is_held_for_unhealthy_once_for_each() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.submit("slow", vec![estimated_step(1, 1_000)], 1_500_000);
    fleet.advance(30_000);
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 200);
    fleet.advance(500);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against the opposite: a run that hangs is noticed as soon as its estimate allows.
#[rstest]
#[case::short(2_000, 2_900)]
#[case::long(300_000, 13_000)]
fn a_run_that_hangs_is_stopped(#[case] estimate_ms: u64, #[case] within_ms: u64) {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    let job = fleet.submit("j", vec![estimated_step(1, estimate_ms)], 600_000);
    fleet.advance(500);
    let worker = fleet.starts[0].2.clone();
    fleet.worker(worker.as_str()).is_stalled = true;
    fleet.advance(within_ms);
    assert_eq!(fleet.stops.len(), 1);
    assert_eq!(fleet.stops[0].0, task_id(&job, 0, 0));
    assert_ne!(fleet.starts.last().map(|start| &start.2), Some(&worker));
}
