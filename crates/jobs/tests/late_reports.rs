//! Responses of workers that arrive after the worker has started again.

mod common;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::worker::{
    EndedRun, ExitKind, OrderAction, OrderOutcome, OrderResponse, RenewalReport,
};
use redwing_jobs::{BootTime, JobState, WorkerId};

/// Returns a fleet of one worker that has started again, a report of its earlier life, and when
/// the renewal was sent that it responds to.
fn restarted_fleet() -> (FakeFleet, RenewalReport, BootTime) {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    let earlier = fleet.submit("earlier", vec![step_spec(8, 1_000)], 300);
    fleet.advance(200);
    let issued_at = fleet.now;
    let ended = (0..8).map(|index| EndedRun {
        number: u64::from(index) + 1,
        task: task_id(&earlier, 0, index),
        run: 1,
        kind: ExitKind::Done,
        checkpoint: None,
    });
    let report = RenewalReport {
        incarnation: 1,
        clock_ms: fleet.now.as_millis(),
        running: Vec::new(),
        ended: ended.collect(),
        is_complete: true,
        malformed: 0,
    };
    fleet.advance(2_000);
    assert_eq!(fleet.state(&earlier), JobState::Completed);
    fleet.restart_worker("w0");
    fleet.advance(100);
    (fleet, report, issued_at)
}

/// Hands a report in as the response to the renewal that was sent at `issued_at`, and advances
/// time; returns how many runs have started since.
fn starts_after(
    fleet: &mut FakeFleet,
    issued_at: BootTime,
    report: &RenewalReport,
    duration_ms: u64,
) -> usize {
    let now = fleet.now;
    let renewal = fleet.renewal(&WorkerId::new("w0"), issued_at);
    fleet.scheduler.handle_renewal_report(&renewal, report, now);
    let before = fleet.starts.len();
    fleet.advance(duration_ms);
    fleet.starts.len() - before
}

/// Guards against ends of a new life that are taken for known, because a late report of the
/// earlier one had listed as many: their tasks are done, and started again (TWICE).
#[test]
fn a_late_report_of_an_earlier_life_acknowledges_no_end_of_the_new_one() {
    let (mut fleet, report, issued_at) = restarted_fleet();
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 200);
    fleet.advance(50);
    let starts = starts_after(&mut fleet, issued_at, &report, 5_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(starts, 0);
}

/// Guards against runs of a new life that are taken for vanished because a late report of the
/// earlier one does not list them.
#[test]
fn a_late_report_of_an_earlier_life_drops_no_run_of_the_new_one() {
    let (mut fleet, report, _) = restarted_fleet();
    fleet.submit("j", vec![step_spec(4, 1_000)], 3_000);
    fleet.advance(500);
    let now = fleet.now;
    let starts = starts_after(&mut fleet, now, &report, 2_000);
    assert_eq!(starts, 0);
    fleet.assert_no_double_run();
}

/// Guards against a lease that is granted by the clock of an earlier life, an hour ahead: the
/// worker shortens it to the longest one, the owner assumes a shorter one, and the task starts
/// elsewhere while it runs on (TWICE).
#[test]
fn a_late_response_of_an_earlier_life_does_not_set_the_clock() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    fleet.advance(3_600_000);
    let earlier = fleet.submit("earlier", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let now = fleet.now;
    fleet.scheduler.cancel(&earlier, now);
    let is_stop = |action: &OrderAction| matches!(action, OrderAction::Stop { .. });
    let stop = fleet.hold_back(10, is_stop);
    let now = fleet.now;
    let worker = stop.worker.clone();
    let response = OrderResponse {
        outcome: OrderOutcome::Accepted,
        clock_ms: Some(fleet.worker(worker.as_str()).clock_ms(now)),
    };
    fleet.restart_worker(worker.as_str());
    fleet.advance(500);
    fleet.submit("j", vec![step_spec(1, 1_000)], 20_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.last().map(|start| &start.2), Some(&worker));
    let now = fleet.now;
    fleet.scheduler.handle_order_response(&stop, &response, now);
    fleet.advance(50);
    fleet.worker(worker.as_str()).is_unresponsive = true;
    for _ in 0..1_500 {
        fleet.advance(10);
        fleet.assert_no_double_run();
    }
}
