//! Orders that a worker carries out late, after it has started again.

mod common;

use std::time;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::worker::{OrderAction, OrderOutcome, OrderResponse, WorkerOrder};
use redwing_jobs::{JobState, WorkerId};

/// Guards against a start that a new incarnation carries out although the run was stopped before
/// and the task is done elsewhere (TWICE): the new incarnation knows neither the stop nor the
/// fencing token.
#[test]
fn a_new_incarnation_rejects_the_starts_of_the_one_before() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    fleet.advance(100);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 2_000);
    let start = fleet.lose_start();
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "it runs elsewhere");
    fleet.restart_worker(start.worker.as_str());
    fleet.advance(100);
    let late = fleet.now + time::Duration::from_millis(10);
    fleet.delayed_orders.push((late, start));
    for _ in 0..300 {
        fleet.advance(10);
        fleet.assert_no_double_run();
    }
    assert_eq!(fleet.starts.len(), 1);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 0);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against a renewal that a new incarnation carries out: it acknowledges as many ends as
/// the one before had, which nobody has read, and their tasks start again (TWICE).
#[test]
fn a_new_incarnation_rejects_the_acknowledgements_of_the_one_before() {
    let mut fleet = FakeFleet::of_size(1, 80_000);
    fleet.submit("earlier", vec![step_spec(20, 1_000)], 300);
    fleet.submit("long", vec![step_spec(1, 1_000)], 60_000);
    let acknowledges = |action: &OrderAction| match action {
        OrderAction::Renew {
            acknowledged_number,
            ..
        } => *acknowledged_number >= 10,
        _ => false,
    };
    let renewal = fleet.hold_back_one(1_000, acknowledges);
    fleet.restart_worker("w0");
    fleet.advance(100);
    let before = fleet.starts.len();
    let job = fleet.submit("j", vec![step_spec(10, 1_000)], 200);
    for tick in 0..40 {
        let late = fleet.now + time::Duration::from_millis(10 * tick);
        fleet.delayed_orders.push((late, renewal.clone()));
    }
    fleet.advance(5_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    let starts = fleet.starts[before..].iter();
    let starts = starts.filter(|(task, ..)| task.job == job);
    assert_eq!(starts.count(), 10);
}

/// Guards against an owner that gives up because a new incarnation rejects an order that it had
/// sent to the one before.
#[test]
fn a_rejected_order_to_an_earlier_incarnation_ends_no_ownership() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(200);
    let now = fleet.now;
    fleet.scheduler.cancel(&job, now);
    let is_stop = |action: &OrderAction| matches!(action, OrderAction::Stop { .. });
    let stop = fleet.hold_back(10, is_stop);
    fleet.restart_worker("w0");
    fleet.advance(100);
    let fenced = OrderResponse {
        outcome: OrderOutcome::Fenced,
        clock_ms: None,
    };
    let now = fleet.now;
    fleet.scheduler.handle_order_response(&stop, &fenced, now);
    assert!(!fleet.scheduler.is_fenced());
    let next = WorkerOrder {
        fencing_token: stop.fencing_token + 1,
        ..stop
    };
    fleet.scheduler.handle_order_response(&next, &fenced, now);
    assert!(fleet.scheduler.is_fenced(), "of a newer owner");
    assert_eq!(next.worker, WorkerId::new("w0"));
}
