//! Starts that a worker carries out late, after it has started again: they take room there.

mod common;

use common::{FakeFleet, FakeWorker, is_start, step_spec, task_id};
use redwing_jobs::worker::{OrderOutcome, OrderResponse, WorkerOrder};
use redwing_jobs::{JobId, JobState};
use rstest::rstest;

/// Processor of each worker, all of which a task needs, in thousandths of a core.
const CPU_MILLIS: u64 = 8_000;

/// Time after which a worker gets tasks again that did not respond to a start, in milliseconds.
const COOLDOWN_MS: u64 = 1_100;

/// Advances time and panics if a worker runs more than it has room for.
fn watch(fleet: &mut FakeFleet, duration_ms: u64) {
    for _ in 0..duration_ms / 10 {
        fleet.advance(10);
        fleet.assert_within_capacity();
    }
}

/// Returns a fleet of one worker and the start of a task that needs all of it: the start had no
/// response, and the worker has carried its stop out.
fn fleet_with_stopped_start() -> (FakeFleet, WorkerOrder) {
    let mut fleet = FakeFleet::of_size(1, CPU_MILLIS);
    fleet.advance(20_000);
    fleet.submit("j", vec![step_spec(1, CPU_MILLIS)], 60_000);
    let start = fleet.lose_start();
    fleet.advance(500);
    assert!(fleet.starts.is_empty());
    (fleet, start)
}

/// Lets a worker start again and carry a start out before its owner reaches it.
fn restart_with(fleet: &mut FakeFleet, start: WorkerOrder, is_listed: bool) {
    let id = start.worker.clone();
    if is_listed {
        fleet.restart_worker(id.as_str());
    } else {
        let now = fleet.now;
        fleet.worker(id.as_str()).restart(now);
    }
    let before = fleet.starts.len();
    fleet.delayed_orders.push((fleet.now, start));
    fleet.held_orders.get_or_insert_default();
    fleet.advance(10);
    assert_eq!(fleet.starts.len(), before + 1, "it is carried out late");
}

/// Guards against a start beyond the capacity of a worker (LIMIT): the next incarnation has
/// carried out a late start, and its owner knows of neither.
#[test]
fn a_start_leaves_room_for_a_late_one_that_an_unknown_incarnation_carried_out() {
    let (mut fleet, start) = fleet_with_stopped_start();
    let now = fleet.now;
    fleet.scheduler.cancel(&JobId::new("j"), now);
    fleet.advance(COOLDOWN_MS);
    restart_with(&mut fleet, start, false);
    fleet.held_orders = None;
    fleet.submit("next", vec![step_spec(1, CPU_MILLIS)], 2_000);
    watch(&mut fleet, 300);
    let now = fleet.now;
    let view = fleet.worker("w0").view.clone();
    fleet.scheduler.worker_listed(view, now);
    watch(&mut fleet, 10_000);
    assert_eq!(fleet.state(&JobId::new("next")), JobState::Completed);
}

/// Returns a fleet of one worker that has started again and has carried out a late start of the
/// first run of its task, although the second one was ordered there.
fn fleet_with_earlier_run(has_response: bool) -> FakeFleet {
    let (mut fleet, start) = fleet_with_stopped_start();
    fleet.advance(COOLDOWN_MS - 700);
    let next = fleet.hold_back_one(400, is_start);
    if has_response {
        let response = OrderResponse {
            outcome: OrderOutcome::Accepted,
            clock_ms: None,
        };
        let now = fleet.now;
        fleet.scheduler.handle_order_response(&next, &response, now);
    }
    restart_with(&mut fleet, start, true);
    fleet
}

/// Guards against the same on an incarnation that its owner knows of: the late start is of an
/// earlier run than the one that is stopped there.
#[rstest]
#[case::had_no_response(false)]
#[case::had_a_response(true)]
fn a_late_start_of_an_earlier_run_keeps_its_room(#[case] has_response: bool) {
    let mut fleet = fleet_with_earlier_run(has_response);
    fleet.submit("other", vec![step_spec(1, CPU_MILLIS)], 2_000);
    fleet.send_held();
    watch(&mut fleet, 10_000);
    assert_eq!(fleet.state(&JobId::new("other")), JobState::Completed);
}

/// Guards against a task that starts elsewhere (TWICE) while a late start of an earlier run goes on
/// that its owner has seen in a report.
#[rstest]
#[case::had_no_response(false)]
#[case::had_a_response(true)]
fn a_late_start_of_an_earlier_run_is_stopped_before_its_task_starts_again(
    #[case] has_response: bool,
) {
    let mut fleet = fleet_with_earlier_run(has_response);
    let other = FakeWorker::new("v0", "builders", CPU_MILLIS);
    let now = fleet.now;
    fleet.scheduler.worker_listed(other.view.clone(), now);
    fleet.workers.insert(other.view.id.clone(), other);
    fleet.send_held();
    fleet.watch_runs(10_000);
    assert_eq!(fleet.running_count(&task_id(&JobId::new("j"), 0, 0)), 1);
}
