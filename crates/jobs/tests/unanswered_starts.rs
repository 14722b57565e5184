//! Starts without a response that an incarnation carries out which their owner does not know of,
//! while owners end, orders are late and responses are slow.

mod common;

use std::time;

use common::{FakeFleet, grants_lease, is_start, step_spec};
use redwing_jobs::worker::{OrderOutcome, WorkerOrder};
use redwing_jobs::{BootTime, JobState, SchedulerSettings};
use rstest::rstest;

/// Time for which runs are watched: longer than any lease of a worker.
const WATCH_MS: u64 = 25_000;

/// Lets workers carry orders out with the next tick; their owner gets no response yet.
fn carry_out(fleet: &mut FakeFleet, orders: Vec<WorkerOrder>) {
    for order in orders {
        fleet.delayed_orders.push((fleet.now, order));
    }
    fleet.held_orders = Some(Vec::new());
    fleet.advance(10);
    fleet.held_orders = None;
}

/// Returns a fleet of one worker, which has started again unnoticed, has carried out so many
/// starts whose responses are still to come, and is cut off.
fn fleet_with_starts_in_flight(count: u32) -> FakeFleet {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(20_000);
    fleet.submit("j", vec![step_spec(count, 1_000)], 60_000);
    fleet.held_orders = Some(Vec::new());
    fleet.advance(20);
    let held = fleet.held_orders.take().unwrap_or_default();
    let starts: Vec<_> = held
        .into_iter()
        .filter(|order| is_start(&order.action))
        .collect();
    assert_eq!(starts.len() as u32, count);
    let now = fleet.now;
    fleet.worker("w0").restart(now);
    carry_out(&mut fleet, starts);
    assert_eq!(fleet.starts.len() as u32, count);
    fleet.worker("w0").is_unresponsive = true;
    fleet
}

/// Guards against a task that starts elsewhere while it runs (TWICE): its owner ended before it
/// gave up the response to the start, so that it stated no longer lease of the worker.
#[test]
fn a_new_owner_waits_for_a_start_whose_response_the_one_before_still_awaited() {
    let mut fleet = fleet_with_starts_in_flight(1);
    fleet.worker("w0").view.incarnation -= 1;
    fleet.take_over(SchedulerSettings::default());
    fleet.add_worker("w1");
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

/// Guards against the same on a listed incarnation that cannot be reached: it carries the start out
/// seconds after the takeover, and takes the longest lease from it.
#[rstest]
#[case::after_2_s(2_000)]
#[case::after_8_s(8_000)]
#[case::after_12_s(12_000)]
fn a_new_owner_waits_for_a_late_start_that_the_one_before_sent_just_before_it_ended(
    #[case] delay_ms: u64,
    #[values(false, true)] is_listed_before: bool,
) {
    let mut fleet = FakeFleet::with_long_task(2);
    let start = fleet.hold_back(20, is_start);
    let (id, now) = (start.worker.clone(), fleet.now);
    let due = start.issued_at + time::Duration::from_millis(delay_ms);
    let worker = fleet.worker(id.as_str());
    let former = worker.view.clone();
    worker.restart(now);
    worker.is_unresponsive = true;
    let present = worker.view.clone();
    if !is_listed_before {
        worker.view = former;
    }
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(50);
    fleet.worker(id.as_str()).view = present.clone();
    fleet.scheduler.worker_listed(present, fleet.now);
    fleet.delayed_orders.push((due, start));
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

/// Guards against the opposite: work that waits because a new owner waits for an earlier
/// incarnation, although the present one responds.
#[rstest]
#[case::listed_before(true)]
#[case::listed_after(false)]
fn a_worker_that_has_started_again_and_responds_gets_work_from_a_new_owner_at_once(
    #[case] is_listed_before: bool,
) {
    let mut fleet = FakeFleet::with_long_task(1);
    fleet.hold_back(20, is_start);
    let now = fleet.now;
    let former = fleet.worker("w0").view.clone();
    fleet.worker("w0").restart(now);
    let present = fleet.worker("w0").view.clone();
    if !is_listed_before {
        fleet.worker("w0").view = former;
    }
    fleet.take_over(SchedulerSettings::default());
    fleet.worker("w0").view = present.clone();
    fleet.scheduler.worker_listed(present, fleet.now);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1, "{:?}", fleet.starts);
    // It has taken no longer lease than the longest before it responded.
    let lost_at = fleet.now;
    fleet.worker("w0").is_unresponsive = true;
    fleet.add_worker("w1");
    while fleet.starts.len() == 1 {
        fleet.advance(10);
    }
    let wait = fleet.now.saturating_since(lost_at);
    let longest = SchedulerSettings::default().longest_lease_bound();
    assert!(wait <= longest, "{wait:?}");
}

/// Guards against the opposite: a takeover on a calm day that delays or repeats a task, because
/// starts were in flight.
#[test]
fn a_takeover_delays_no_task_of_workers_that_respond() {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    fleet.advance(20_000);
    let job = fleet.submit("j", vec![step_spec(20, 1_000)], 600);
    fleet.held_orders = Some(Vec::new());
    fleet.advance(20);
    let held = fleet.held_orders.take().unwrap_or_default();
    carry_out(&mut fleet, held);
    fleet.take_over(SchedulerSettings::default());
    let other = fleet.submit("other", vec![step_spec(8, 1_000)], 300);
    fleet.advance(800);
    assert_eq!(fleet.state(&job), JobState::Completed);
    assert_eq!(fleet.state(&other), JobState::Completed);
    assert_eq!(fleet.starts.len(), 28);
}

/// Guards against the same, if the new owner reads the entry of the present incarnation, and
/// more than one row names the one before.
#[rstest]
#[case::one_run(1)]
#[case::two_runs(2)]
fn a_new_owner_waits_for_all_runs_that_the_next_incarnation_may_have(#[case] count: u32) {
    let mut fleet = fleet_with_starts_in_flight(count);
    fleet.take_over(SchedulerSettings::default());
    fleet.add_worker("w1");
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len() as u32, 2 * count, "{:?}", fleet.starts);
}

/// Guards against a task that starts elsewhere while it runs (TWICE): the next incarnation, which
/// is listed and cannot be reached, carries the start out late.
#[rstest]
#[case::after_2_s(2_000)]
#[case::after_9_s(9_000)]
#[case::after_12_s(12_000)]
fn a_late_start_on_a_listed_incarnation_is_waited_for(#[case] delay_ms: u64) {
    let mut fleet = FakeFleet::with_long_task(2);
    let start = fleet.lose_start();
    let worker = start.worker.clone();
    let due = start.issued_at + time::Duration::from_millis(delay_ms);
    fleet.restart_worker(worker.as_str());
    fleet.worker(worker.as_str()).is_unresponsive = true;
    fleet.delayed_orders.push((due, start));
    fleet.watch_runs(WATCH_MS);
}

/// Guards against the same: the incarnation that carried the start out, unknown to its owner, then
/// carries a late renewal out.
#[rstest]
#[case::after_2_s(2_000)]
#[case::after_8_s(8_000)]
fn a_late_renewal_on_an_unknown_incarnation_is_waited_for(
    #[case] delay_ms: u64,
    #[values(false, true)] is_response_lost: bool,
) {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(20_000);
    fleet.submit("first", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let renewal = fleet.hold_back_one(3_000, grants_lease);
    let due = renewal.issued_at + time::Duration::from_millis(delay_ms);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    let start = fleet.hold_back(20, is_start);
    let now = fleet.now;
    fleet.worker("w0").restart(now);
    if is_response_lost {
        fleet.execute_unanswered(&start);
    } else {
        fleet.send_order(&start);
    }
    assert_eq!(fleet.starts.len(), 2);
    fleet.worker("w0").is_unresponsive = true;
    fleet
        .scheduler
        .handle_renewal_failure(&renewal, OrderOutcome::Unknown, fleet.now);
    fleet.delayed_orders.push((due, renewal));
    fleet.add_worker("w1");
    fleet.watch_runs(WATCH_MS);
}

/// Advances time while each order takes `delay_ms` to arrive and be answered.
fn advance_slowly(fleet: &mut FakeFleet, duration_ms: u64, delay_ms: u64) {
    let delay = time::Duration::from_millis(delay_ms);
    let mut on_the_way: Vec<(BootTime, WorkerOrder)> = Vec::new();
    for _ in 0..duration_ms / 10 {
        fleet.held_orders = Some(Vec::new());
        fleet.advance(10);
        let issued = fleet.held_orders.take().unwrap_or_default();
        let due_at = fleet.now + delay;
        on_the_way.extend(issued.into_iter().map(|order| (due_at, order)));
        let now = fleet.now;
        let (due, later): (Vec<_>, Vec<_>) = on_the_way.into_iter().partition(|(at, _)| *at <= now);
        on_the_way = later;
        fleet.held_orders = Some(due.into_iter().map(|(_, order)| order).collect());
        fleet.send_held();
    }
}

/// Guards against tasks that wait for seconds for a worker that responds slowly, while others
/// have nothing to run: an earlier start there had no response.
#[rstest]
#[case::after_100_ms(100, true)]
#[case::after_250_ms(250, true)]
#[case::after_250_ms_without_a_lost_start(250, false)]
fn a_task_does_not_wait_for_a_slow_worker_whose_earlier_start_had_no_response(
    #[case] delay_ms: u64,
    #[case] is_lost: bool,
) {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    fleet.advance(20_000);
    fleet.submit("first", vec![step_spec(16, 1_000)], 300);
    fleet.held_orders = Some(Vec::new());
    fleet.advance(20);
    // All starts on the first worker are lost.
    let held = fleet.held_orders.take().unwrap_or_default();
    for order in held {
        if is_lost && is_start(&order.action) && order.worker.as_str() == "w0" {
            fleet.deliver_response(&order, OrderOutcome::Unknown, None);
        } else {
            fleet.send_order(&order);
        }
    }
    advance_slowly(&mut fleet, 4_000, delay_ms);
    let job = fleet.submit("j", vec![step_spec(10, 1_000)], 300);
    let renewals = fleet.renewal_count;
    advance_slowly(&mut fleet, 4_000, delay_ms);
    let sent = fleet.renewal_count - renewals;
    assert_eq!(fleet.state(&job), JobState::Completed, "{sent} renewals");
}

/// Guards against a task that starts elsewhere while it runs (TWICE): an incarnation that its owner
/// doesn't know of carries the start out a moment late.
#[rstest]
#[case::after_500_ms(500)]
#[case::after_2_s(2_000)]
fn a_late_start_on_an_unknown_incarnation_is_waited_for(#[case] delay_ms: u64) {
    let mut fleet = FakeFleet::with_long_task(2);
    let start = fleet.lose_start();
    let due = start.issued_at + time::Duration::from_millis(delay_ms);
    let (id, now) = (start.worker.clone(), fleet.now);
    fleet.worker(id.as_str()).restart(now);
    fleet.worker(id.as_str()).is_unresponsive = true;
    fleet.delayed_orders.push((due, start));
    fleet.watch_runs(WATCH_MS);
}

/// Guards against a successor that knows nothing of a start without a response: its owner states
/// the longer lease with the next change only, which nothing else may call for.
#[test]
fn a_start_without_a_response_is_stored_at_once() {
    let mut fleet = FakeFleet::with_long_task(2);
    fleet.lose_start();
    assert!(fleet.scheduler.has_changes());
}

/// Guards against a worker that never gets work again: its clock has gone back, and the response
/// that showed it was the rejection of its only start.
#[test]
fn a_worker_whose_clock_has_gone_back_gets_work_again_after_a_rejection() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(20_000);
    fleet.worker("w0").first_clock_ms -= 10_000;
    fleet.worker("w0").rejects_starts = true;
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 300);
    fleet.advance(200);
    fleet.worker("w0").rejects_starts = false;
    fleet.advance(20_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// Guards against a task that starts elsewhere while it runs (TWICE): its owner released the
/// ownership while the response to the start was on its way.
#[test]
fn a_new_owner_waits_for_a_start_that_was_sent_just_before_the_release() {
    let mut fleet = fleet_with_starts_in_flight(1);
    fleet.worker("w0").view.incarnation -= 1;
    fleet.release();
    fleet.take_over(SchedulerSettings::default());
    fleet.add_worker("w1");
    fleet.watch_runs(WATCH_MS);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

/// Guards against a task that starts elsewhere while it runs (TWICE): the next incarnation of its
/// worker has the same number, and its clock, which shows that it is another one, has gone back in
/// a report.
#[test]
fn a_clock_that_has_gone_back_in_a_report_counts_as_in_any_response() {
    let mut fleet = FakeFleet::with_long_task(1);
    fleet.advance(500);
    let renewal = fleet.hold_back_one(3_000, grants_lease);
    let now = fleet.now;
    fleet.worker("w0").incarnation_step = 0;
    fleet.worker("w0").restart(now);
    fleet.send_order(&renewal);
    fleet.advance(300);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
    fleet.worker("w0").is_unresponsive = true;
    fleet.add_worker("w1");
    fleet.watch_runs(WATCH_MS);
}

/// Guards against a late start on a listed incarnation that cannot be reached, under an owner
/// that has taken over since the start was sent.
#[rstest]
#[case::after_2_s(2_000)]
#[case::after_8_s(8_000)]
fn a_new_owner_waits_for_a_late_start_on_a_listed_incarnation(
    #[case] delay_ms: u64,
    #[values(false, true)] is_listed_before: bool,
) {
    let mut fleet = FakeFleet::with_long_task(2);
    let start = fleet.lose_start();
    let worker = start.worker.clone();
    let due = start.issued_at + time::Duration::from_millis(delay_ms);
    fleet.advance(50);
    let now = fleet.now;
    fleet.worker(worker.as_str()).restart(now);
    fleet.worker(worker.as_str()).is_unresponsive = true;
    let view = fleet.worker(worker.as_str()).view.clone();
    if is_listed_before {
        fleet.scheduler.worker_listed(view.clone(), now);
        fleet.advance(50);
    } else {
        fleet.worker(worker.as_str()).view.incarnation -= 1;
    }
    fleet.take_over(SchedulerSettings::default());
    fleet.worker(worker.as_str()).view = view.clone();
    fleet.advance(50);
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.delayed_orders.push((due, start));
    fleet.watch_runs(WATCH_MS);
}

/// Guards against the same, if the worker starts again twice before it carries the start out.
#[test]
fn a_late_start_on_the_incarnation_after_the_next_is_waited_for() {
    let mut fleet = FakeFleet::with_long_task(2);
    let start = fleet.lose_start();
    let worker = start.worker.clone();
    let due = start.issued_at + time::Duration::from_millis(9_000);
    fleet.restart_worker(worker.as_str());
    fleet.worker(worker.as_str()).is_unresponsive = true;
    fleet.advance(1_000);
    fleet.restart_worker(worker.as_str());
    fleet.delayed_orders.push((due, start));
    fleet.watch_runs(WATCH_MS);
}

/// Guards against starts that wait for a report of a worker without need: it has started again
/// since the start that had no response, and has responded, so that it rejects earlier orders.
#[rstest]
#[case::with_a_lost_start(true)]
#[case::without_a_lost_start(false)]
fn a_start_on_a_worker_that_has_started_again_and_responded_waits_for_no_report(
    #[case] is_lost: bool,
) {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(20_000);
    fleet.submit("first", vec![step_spec(1, 1_000)], 300);
    if is_lost {
        fleet.lose_start();
    } else {
        fleet.advance(20);
    }
    fleet.restart_worker("w0");
    fleet.advance(3_000);
    let before = fleet.starts.len();
    fleet.submit("j", vec![step_spec(1, 1_000)], 300);
    advance_slowly(&mut fleet, 250, 150);
    assert_eq!(fleet.starts.len(), before + 1);
}

/// Guards against the opposite: the task of a worker that is lost with its owner waits longer,
/// beyond the 9 s after which it counts as lost, because starts on many others were in flight.
#[rstest]
#[case::few(10)]
#[case::more_than_the_row_names(70)]
fn a_task_waits_no_longer_because_many_other_starts_were_in_flight(#[case] others: u32) {
    let mut fleet = FakeFleet::of_size(72, 8_000);
    fleet.advance(20_000);
    fleet.submit("long", vec![step_spec(1, 8_000)], 60_000);
    fleet.advance(500);
    let lost = fleet.starts[0].2.clone();
    fleet.submit("others", vec![step_spec(others, 8_000)], 60_000);
    fleet.held_orders = Some(Vec::new());
    // A change is stored meanwhile.
    fleet.advance(400);
    fleet.worker(lost.as_str()).is_unresponsive = true;
    fleet.send_held();
    let lost_at = fleet.now;
    fleet.take_over(SchedulerSettings::default());
    let before = fleet.starts.len();
    while fleet.starts.len() == before {
        fleet.advance(10);
        fleet.assert_no_double_run();
    }
    let wait = fleet.now.saturating_since(lost_at);
    assert!(wait < time::Duration::from_secs(9), "{wait:?}");
}
