//! Work that is resumed from the progress that it saved.

mod common;

use common::{FakeFleet, FakeWorker, step};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobState, SchedulerSettings};

fn fleet_of(count: usize) -> FakeFleet {
    let workers = (0..count).map(|number| {
        let mut worker = FakeWorker::new(&format!("w{number}"), "builders", 4_000);
        worker.is_saving = true;
        worker
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.run(100);
    fleet
}

fn saving(count: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(count, 1_000)
    }
}

/// Returns the milliseconds of work that a saved progress tells of.
fn worked(saved: &str) -> u64 {
    let number = saved.split(' ').next().and_then(|text| text.parse().ok());
    number.expect("the progress is a time")
}

#[test]
fn a_first_run_resumes_from_nothing() {
    let mut fleet = fleet_of(1);
    let job = fleet.submit("j", vec![saving(2)], 300);
    fleet.run(600);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert!(fleet.resumed.is_empty());
}

#[test]
fn a_failed_run_is_resumed_where_it_failed() {
    let mut fleet = fleet_of(1);
    let job = fleet.submit("j", vec![saving(1)], 2_000);
    fleet.run(1_000);
    fleet.worker("w0").is_failing = true;
    fleet.run(20);
    fleet.worker("w0").is_failing = false;
    fleet.run(300);
    assert_eq!(fleet.starts.len(), 2);
    assert!(worked(&fleet.resumed[0]) >= 900, "{:?}", fleet.resumed);
    fleet.run(3_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// The worker tells nothing at its end; what it last told counts.
#[test]
fn a_run_that_was_lost_with_its_worker_is_resumed_elsewhere() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![saving(1)], 20_000);
    fleet.run(2_000);
    let first = fleet.starts[0].2.clone();
    fleet.worker(first.as_str()).is_dark = true;
    fleet.run(7_000);
    assert_eq!(fleet.starts.len(), 2);
    assert_ne!(fleet.starts[1].2, first);
    assert!(worked(&fleet.resumed[0]) >= 1_500, "{:?}", fleet.resumed);
}

/// All members of a gang resume from the same progress.
#[test]
fn members_of_a_gang_resume_together() {
    let mut fleet = fleet_of(1);
    let gang = StepSpec {
        gang: true,
        ..saving(3)
    };
    fleet.submit("j", vec![gang], 5_000);
    fleet.run(1_000);
    fleet.worker("w0").is_failing = true;
    fleet.run(20);
    fleet.worker("w0").is_failing = false;
    fleet.run(1_000);
    assert_eq!(fleet.starts.len(), 6);
    assert_eq!(fleet.resumed.len(), 3);
    assert!(fleet.resumed.iter().all(|saved| *saved == fleet.resumed[0]));
}

/// A new owner learns the progress from the row or from the worker.
#[test]
fn a_takeover_loses_no_progress() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![saving(1)], 20_000);
    fleet.run(1_000);
    fleet.take_over(SchedulerSettings::default());
    fleet.run(500);
    fleet.worker("w0").is_failing = true;
    fleet.run(20);
    fleet.worker("w0").is_failing = false;
    fleet.run(500);
    assert_eq!(fleet.starts.len(), 2);
    assert!(worked(&fleet.resumed[0]) >= 1_400, "{:?}", fleet.resumed);
}
