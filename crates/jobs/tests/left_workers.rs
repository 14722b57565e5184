//! Workers that are no longer listed.

mod common;

use common::{FakeFleet, step_spec};
use redwing_jobs::{JobState, WorkerId};

fn unlist(fleet: &mut FakeFleet, id: &str) {
    let now = fleet.now;
    fleet.scheduler.worker_unlisted(&WorkerId::new(id), now);
}

/// Guards against entries of idle workers that have left, which stayed for ever: nobody asks an
/// idle worker, so that none was found silent.
#[test]
fn the_entry_of_an_idle_worker_that_has_left_is_removed() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    let worker = WorkerId::new("w0");
    fleet.advance(1_000);
    assert_eq!(fleet.scheduler.incarnation(&worker), Some(1));
    unlist(&mut fleet, "w0");
    fleet.advance(100);
    assert_eq!(fleet.scheduler.incarnation(&worker), None);
}

/// Guards against the opposite: runs that are forgotten because the entry of their worker is
/// removed for a while, as during an absence of the table.
#[test]
fn runs_on_a_worker_that_is_not_listed_go_on() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 3_000);
    fleet.advance(200);
    unlist(&mut fleet, "w0");
    fleet.advance(4_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(fleet.starts.len(), 4);
}

/// Guards against ends that count twice, or a worker that gets no task, after its entry is back.
#[test]
fn a_worker_whose_entry_is_back_gets_tasks_at_once() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let first = fleet.submit("first", vec![step_spec(4, 1_000)], 300);
    fleet.advance(1_000);
    unlist(&mut fleet, "w0");
    fleet.advance(1_000);
    let (now, view) = (fleet.now, fleet.worker("w0").view.clone());
    fleet.scheduler.worker_listed(view, now);
    let second = fleet.submit("second", vec![step_spec(4, 1_000)], 300);
    fleet.advance(50);
    assert_eq!(fleet.starts.len(), 8);
    fleet.advance(500);
    assert_eq!(fleet.state(&first), JobState::Completed);
    assert_eq!(fleet.state(&second), JobState::Completed);
}
