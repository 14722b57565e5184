//! Starts that workers reject as invalid.

mod common;

use common::{FakeFleet, step_spec};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState};

/// Guards against jobs that are given up because one worker rejects their starts, without a run
/// that failed (LOST).
#[test]
fn a_worker_that_rejects_all_starts_fails_no_job() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    fleet.advance(100);
    fleet.worker("w0").rejects_starts = true;
    let jobs = (0..40).map(|number| {
        let job = fleet.submit(&format!("j{number}"), vec![step_spec(3, 1_000)], 300);
        fleet.advance(100);
        job
    });
    let jobs: Vec<JobId> = jobs.collect();
    fleet.advance(1_000);
    for job in &jobs {
        assert_eq!(fleet.state(job), JobState::Completed, "{job}");
    }
    let rejected = fleet.ordered_starts.len() - fleet.starts.len();
    assert!(rejected < 40, "{rejected} starts were sent in vain");
}

/// Guards against a task that all workers reject, and that is tried again and again without a
/// pause; and against one that waits for long once they take it.
#[test]
fn a_task_that_all_workers_reject_is_tried_at_intervals() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 200);
    fleet.invalid_jobs.insert(job.clone());
    fleet.advance(10_000);
    let tries = fleet.ordered_starts.len();
    assert!((5..20).contains(&tries), "{tries} tries");
    fleet.invalid_jobs.clear();
    fleet.advance(2_500);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against sound work that waits because workers are held for unhealthy which reject
/// invalid tasks only.
#[test]
fn tasks_that_all_workers_reject_delay_no_other() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    fleet.advance(100);
    for number in 0..50 {
        let invalid = fleet.submit(&format!("i{number}"), vec![step_spec(2, 500)], 200);
        fleet.invalid_jobs.insert(invalid);
        let job = fleet.submit(&format!("j{number}"), vec![step_spec(4, 500)], 200);
        fleet.advance(250);
        assert_eq!(fleet.state(&job), JobState::Completed, "{number}");
    }
}

/// Guards against the only worker with a label that gets no task for long after a rejection.
#[test]
fn a_task_returns_to_the_only_worker_that_has_rejected_it() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(100);
    fleet.worker("w0").rejects_starts = true;
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 200);
    fleet.advance(100);
    fleet.worker("w0").rejects_starts = false;
    fleet.advance(1_500);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against the members of a gang that hold their workers while one of them is rejected.
#[test]
fn a_gang_of_which_one_start_is_rejected_starts_as_a_whole_elsewhere() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    fleet.advance(100);
    fleet.worker("w0").rejects_starts = true;
    let gang = StepSpec {
        gang: true,
        max_per_worker: 1,
        ..step_spec(3, 1_000)
    };
    let job = fleet.submit("j", vec![gang], 500);
    fleet.advance(2_500);
    assert_eq!(fleet.state(&job), JobState::Completed);
}
