//! Runs that resume from a checkpoint.

mod common;

use common::{FakeFleet, FakeWorker, step_spec};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobState, SchedulerSettings};

fn fleet_of(count: usize) -> FakeFleet {
    let workers = (0..count).map(|number| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 4_000);
        worker.is_checkpointing = true;
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(100);
    fleet
}

fn checkpointing_step(count: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step_spec(count, 1_000)
    }
}

/// Returns the elapsed milliseconds that a checkpoint records.
fn checkpointed_ms(checkpoint: &str) -> u64 {
    let number = checkpoint
        .split(' ')
        .next()
        .and_then(|text| text.parse().ok());
    number.expect("the checkpoint is a number of milliseconds")
}

#[test]
fn a_first_run_starts_without_a_checkpoint() {
    let mut fleet = fleet_of(1);
    let job = fleet.submit("j", vec![checkpointing_step(2)], 300);
    fleet.advance(600);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert!(fleet.resumed_checkpoints.is_empty());
}

#[test]
fn a_failed_run_resumes_from_its_last_checkpoint() {
    let mut fleet = fleet_of(1);
    let job = fleet.submit("j", vec![checkpointing_step(1)], 2_000);
    fleet.advance(1_000);
    fleet.worker("w0").is_failing = true;
    fleet.advance(20);
    fleet.worker("w0").is_failing = false;
    fleet.advance(300);
    assert_eq!(fleet.starts.len(), 2);
    assert!(
        checkpointed_ms(&fleet.resumed_checkpoints[0]) >= 900,
        "{:?}",
        fleet.resumed_checkpoints
    );
    fleet.advance(3_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// An unresponsive worker reports no final checkpoint: the run resumes from the
/// last one that it reported.
#[test]
fn a_run_that_is_lost_with_its_worker_resumes_on_another() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![checkpointing_step(1)], 20_000);
    fleet.advance(2_000);
    let first_worker = fleet.starts[0].2.clone();
    fleet.worker(first_worker.as_str()).is_unresponsive = true;
    fleet.advance(7_000);
    assert_eq!(fleet.starts.len(), 2);
    assert_ne!(fleet.starts[1].2, first_worker);
    assert!(
        checkpointed_ms(&fleet.resumed_checkpoints[0]) >= 1_500,
        "{:?}",
        fleet.resumed_checkpoints
    );
}

/// All members of a gang resume from the same checkpoint.
#[test]
fn members_of_a_gang_resume_together() {
    let mut fleet = fleet_of(1);
    let gang = StepSpec {
        gang: true,
        ..checkpointing_step(3)
    };
    fleet.submit("j", vec![gang], 5_000);
    fleet.advance(1_000);
    fleet.worker("w0").is_failing = true;
    fleet.advance(20);
    fleet.worker("w0").is_failing = false;
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 6);
    assert_eq!(fleet.resumed_checkpoints.len(), 3);
    assert!(
        fleet
            .resumed_checkpoints
            .iter()
            .all(|checkpoint| *checkpoint == fleet.resumed_checkpoints[0])
    );
}

/// A new owner reads the checkpoint from the row or receives it from the worker.
#[test]
fn a_takeover_loses_no_checkpoint() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![checkpointing_step(1)], 20_000);
    fleet.advance(1_000);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(500);
    fleet.worker("w0").is_failing = true;
    fleet.advance(20);
    fleet.worker("w0").is_failing = false;
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 2);
    assert!(
        checkpointed_ms(&fleet.resumed_checkpoints[0]) >= 1_400,
        "{:?}",
        fleet.resumed_checkpoints
    );
}
