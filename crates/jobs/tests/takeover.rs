//! A new owner meets workers in the state in which its predecessor left them.

mod common;

use std::sync;
use std::time;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::record::TaskRecord;
use redwing_jobs::scheduler::PreviousOwner;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::worker::OrderAction;
use redwing_jobs::{BootTime, JobManifest, JobState, SchedulerSettings, WorkerId};
use rstest::rstest;

fn fleet_of(count: usize) -> FakeFleet {
    FakeFleet::of_size(count, 8_000)
}

fn long_running_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step_spec(count, 1_000)
    }
}

/// The previous owner ended before it had read that the worker drains.
#[test]
fn a_new_owner_moves_long_running_tasks_off_a_worker_that_drains_already() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![long_running_step(2)], 0);
    fleet.advance(300);
    let draining = fleet.starts[0].2.clone();
    fleet.worker(draining.as_str()).view.is_draining = true;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(1_000);
    assert!(fleet.worker(draining.as_str()).running.is_empty());
    let restarts = fleet.starts.iter().skip(2);
    assert!(restarts.clone().all(|(.., worker, _)| *worker != draining));
    assert_eq!(restarts.count(), 2, "{:?}", fleet.starts);
    fleet.assert_no_double_run();
}

/// The previous owner ordered the moves, but none of its orders arrived.
#[test]
fn a_new_owner_moves_long_running_tasks_whose_stop_orders_were_lost() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![long_running_step(1)], 0);
    fleet.advance(300);
    let draining = fleet.starts[0].2.clone();
    fleet.worker(draining.as_str()).view.is_draining = true;
    let view = fleet.worker(draining.as_str()).view.clone();
    fleet.scheduler.worker_listed(view, fleet.now);
    fleet.scheduler.take_orders();
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(1_000);
    assert!(fleet.worker(draining.as_str()).running.is_empty());
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.starts);
}

/// An owner that may live on renews leases for 2.5 s after its latest change; one that
/// has ended does not. The leases of those before it may last longer.
#[rstest]
#[case::may_live(false, Some(0), 7_900)]
#[case::ended(true, Some(0), 5_400)]
#[case::ended_after_a_short_time(true, Some(7_500), 7_500)]
#[case::of_an_earlier_release(true, None, 7_900)]
fn leases_of_earlier_owners_end(
    #[case] has_ended: bool,
    #[case] inherited_ms: Option<u64>,
    #[case] expected_ms: u64,
) {
    let unchanged_since = BootTime::from_millis(20_000);
    let previous = PreviousOwner {
        unchanged_since,
        has_ended,
        earlier_leases_left: inherited_ms.map(time::Duration::from_millis),
    };
    let until = previous.leases_until(&SchedulerSettings::default());
    let expected = unchanged_since + time::Duration::from_millis(expected_ms);
    assert_eq!(until, expected);
}

/// Owners end every 2 s while a worker is lost; each waits only for what is left of
/// the worker's leases.
#[test]
fn successors_wait_for_the_stored_end_of_the_leases_of_a_lost_worker() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let lost = fleet.starts[0].2.clone();
    let lost_at = fleet.now;
    fleet.worker(lost.as_str()).is_unresponsive = true;
    while fleet.starts.len() == 1 {
        fleet.advance(2_000);
        fleet.take_over(SchedulerSettings::default());
        fleet.assert_no_double_run();
    }
    let wait = fleet.starts[1].3.saturating_since(lost_at);
    assert!(wait < time::Duration::from_millis(5_600), "{wait:?}");
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// Owners end every 2 s while they still read the rows of their predecessors.
#[test]
fn owners_that_end_while_they_read_pass_the_ends_of_leases_on() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let lost = fleet.starts[0].2.clone();
    let lost_at = fleet.now;
    fleet.worker(lost.as_str()).is_unresponsive = true;
    fleet.advance(1_500);
    for _ in 0..2 {
        fleet.begin_take_over(SchedulerSettings::default());
        fleet.advance(2_000);
        fleet.assert_no_double_run();
    }
    fleet.finish_take_over();
    fleet.advance(500);
    let wait = fleet.starts[1].3.saturating_since(lost_at);
    assert!(wait < time::Duration::from_millis(6_000), "{wait:?}");
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// A worker whose end of leases is stored gets a lease from an owner that still reads the
/// rows, and is lost again before that owner ends.
#[test]
fn a_lease_that_was_granted_while_rows_are_read_is_not_cut_short() {
    for responsive_ms in [500, 1_000, 2_000] {
        let mut fleet = fleet_of(2);
        let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
        fleet.advance(500);
        let worker = fleet.starts[0].2.clone();
        fleet.worker(worker.as_str()).is_unresponsive = true;
        fleet.advance(2_000);
        assert_eq!(fleet.lease_ends.len(), 1);
        fleet.begin_take_over(SchedulerSettings::default());
        fleet.worker(worker.as_str()).is_unresponsive = false;
        fleet.advance(responsive_ms);
        fleet.worker(worker.as_str()).is_unresponsive = true;
        fleet.advance(3_000);
        fleet.take_over(SchedulerSettings::default());
        for _ in 0..300 {
            fleet.advance(50);
            fleet.assert_no_double_run();
        }
        assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
    }
}

/// A worker that responds again while the stored row still has the end of its leases
/// must not outlive that end, or a successor would start its tasks a second time.
#[test]
fn a_worker_whose_end_of_leases_is_stored_gets_no_lease() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let lost = fleet.starts[0].2.clone();
    fleet.worker(lost.as_str()).is_unresponsive = true;
    fleet.advance(2_000);
    assert_eq!(fleet.lease_ends.len(), 1);
    fleet.is_table_up = false;
    fleet.worker(lost.as_str()).is_unresponsive = false;
    fleet.advance(2_000);
    fleet.worker(lost.as_str()).is_unresponsive = true;
    fleet.is_table_up = true;
    fleet.take_over(SchedulerSettings::default());
    for _ in 0..300 {
        fleet.advance(10);
        fleet.assert_no_double_run();
    }
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
    assert_eq!(fleet.starts.len(), 2, "it starts again at the stored end");
}

/// A worker responds again to an owner that still reads the rows, 1 s before its lease
/// expires.
#[test]
fn a_worker_that_responds_while_rows_are_read_gets_a_lease_at_once() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let worker = fleet.starts[0].2.clone();
    fleet.worker(worker.as_str()).is_unresponsive = true;
    fleet.advance(2_000);
    fleet.begin_take_over(SchedulerSettings::default());
    fleet.advance(2_000);
    fleet.worker(worker.as_str()).is_unresponsive = false;
    fleet.advance(4_000);
    fleet.finish_take_over();
    fleet.advance(4_000);
    assert_eq!(fleet.starts.len(), 1);
}

/// Once the row is stored without the worker, its leases are renewed as before.
#[test]
fn a_worker_that_responds_again_keeps_its_tasks() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let lost = fleet.starts[0].2.clone();
    fleet.worker(lost.as_str()).is_unresponsive = true;
    fleet.advance(2_000);
    fleet.worker(lost.as_str()).is_unresponsive = false;
    fleet.advance(10_000);
    assert!(fleet.lease_ends.is_empty());
    assert_eq!(fleet.starts.len(), 1);
}

/// A worker responds again after the row that names it was chosen, but before that row
/// is taken to be stored, because an earlier change takes long.
#[test]
fn a_worker_that_is_about_to_be_stored_as_lost_gets_no_lease() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    fleet.submit("k", vec![step_spec(1, 1_000)], 60_000);
    fleet.scheduler.place_tasks(fleet.now, fleet.wall_time());
    let in_flight = fleet.scheduler.take_changes(fleet.now);
    fleet.is_table_up = false;
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(2_000);
    fleet.worker("w0").is_unresponsive = false;
    fleet.scheduler.take_events();
    while fleet.scheduler.take_events().is_empty() {
        fleet.advance(10);
    }
    fleet.scheduler.changes_stored(&in_flight, fleet.now);
    let orders = fleet.scheduler.take_orders();
    let next = fleet.scheduler.take_changes(fleet.now);
    let stored_end = next.lease_ends.and_then(|ends| ends.into_values().next());
    let stored_end = stored_end.expect("the row names the worker");
    for order in orders {
        if let OrderAction::Start { lease_end_ms, .. } = order.action {
            assert!(lease_end_ms <= stored_end.as_millis(), "{lease_end_ms}");
        }
    }
}

/// A worker responds again shortly before its lease expires.
#[test]
fn a_worker_that_responds_again_gets_a_lease_at_once() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(4_300);
    fleet.worker("w0").is_unresponsive = false;
    fleet.scheduler.take_events();
    while fleet.scheduler.take_events().is_empty() {
        fleet.advance(10);
    }
    let answered_at = fleet.now;
    loop {
        fleet.now = fleet.now + common::TICK_INTERVAL;
        fleet.scheduler.tick(fleet.now);
        let changes = fleet.scheduler.take_changes(fleet.now);
        fleet.scheduler.changes_stored(&changes, fleet.now);
        let mut orders = fleet.scheduler.take_orders().into_iter();
        let renewal = orders.find_map(|order| match order.action {
            OrderAction::Renew { lease_end_ms, .. } => Some(lease_end_ms),
            _ => None,
        });
        if let Some(lease_end_ms) = renewal {
            assert!(lease_end_ms.is_some(), "renewed without a lease");
            break;
        }
    }
    let delay = fleet.now.saturating_since(answered_at);
    assert!(delay < time::Duration::from_millis(50), "{delay:?}");
}

/// A draining worker still lists an earlier run of a task that runs elsewhere.
#[test]
fn a_drain_stops_no_run_on_another_worker() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![long_running_step(1)], 0);
    fleet.advance(300);
    let first = fleet.starts[0].2.clone();
    let earlier_run = fleet.worker(first.as_str()).running.clone();
    fleet.worker(first.as_str()).is_unresponsive = true;
    fleet.advance(7_000);
    assert_eq!(fleet.starts.len(), 2);
    let now = fleet.now;
    fleet.stop_delay = Some(time::Duration::from_millis(900));
    let worker = fleet.worker(first.as_str());
    worker.is_unresponsive = false;
    worker.closed_runs.clear();
    worker.lease_end_ms = now.as_millis() + 5_000;
    worker.running = earlier_run;
    worker.view.is_draining = true;
    let view = worker.view.clone();
    fleet.scheduler.worker_listed(view, now);
    fleet.advance(4_000);
    assert_eq!(fleet.starts.len(), 2, "{:?}", fleet.stops);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// A stored end of leases has no effect once the worker has responded to the new owner.
#[test]
fn a_short_silence_of_a_worker_that_was_lost_before_is_not_stored() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(2_000);
    fleet.take_over(SchedulerSettings::default());
    fleet.worker("w0").is_unresponsive = false;
    fleet.advance(10_000);
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(100);
    assert!(fleet.lease_ends.is_empty(), "{:?}", fleet.lease_ends);
}

/// The previous owner had stopped a best-effort run, and its reason is gone since.
#[test]
fn a_new_owner_lets_a_best_effort_run_continue() {
    let mut fleet = fleet_of(1);
    let serving_step = StepSpec {
        target_ms: 100,
        ..long_running_step(1)
    };
    let serving = fleet.submit("s", vec![serving_step], 0);
    let best_effort_step = StepSpec {
        best_effort: true,
        ..step_spec(1, 1_000)
    };
    fleet.submit("b", vec![best_effort_step], 60_000);
    fleet.advance(1_000);
    let task = task_id(&serving, 0, 0);
    let set_tail = |fleet: &mut FakeFleet, millis| {
        let run = fleet.worker("w0").running.get_mut(&task);
        run.expect("the task runs").measurement = millis;
    };
    set_tail(&mut fleet, 200);
    fleet.advance(5_000);
    assert_eq!(fleet.pace_orders.last().map(|order| order.1), Some(0));
    set_tail(&mut fleet, 10);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(8_000);
    assert_eq!(fleet.pace_orders.last().map(|order| order.1), Some(100));
}

/// Owners end every 2 s while a run makes no progress.
#[test]
fn a_run_without_progress_starts_elsewhere_although_owners_change() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let stalled = fleet.starts[0].2.clone();
    fleet.worker(stalled.as_str()).is_stalled = true;
    for _ in 0..6 {
        fleet.advance(2_000);
        fleet.take_over(SchedulerSettings::default());
    }
    assert!(fleet.starts.len() > 1, "not within 12 s");
}

/// A new owner on a slow link reads the rows for longer than a lease lasts.
#[test]
fn runs_are_kept_while_a_new_owner_reads_the_rows() {
    let mut fleet = fleet_of(2);
    let long = fleet.submit("long", vec![step_spec(2, 1_000)], 60_000);
    let short = fleet.submit("short", vec![step_spec(2, 1_000)], 2_000);
    fleet.advance(500);
    let starts = fleet.starts.len();
    fleet.begin_take_over(SchedulerSettings::default());
    fleet.advance(12_000);
    // No run has lapsed, and none was started, stopped or acknowledged meanwhile.
    assert_eq!(fleet.starts.len(), starts);
    assert_eq!(fleet.running_count(&task_id(&long, 0, 0)), 1);
    let ended: usize = fleet
        .workers
        .values()
        .map(|worker| worker.ended_runs.len())
        .sum();
    assert_eq!(ended, 2);
    fleet.finish_take_over();
    fleet.advance(2_000);
    assert_eq!(fleet.state(&short), JobState::Completed);
    assert_eq!(fleet.starts.len(), starts);
    assert_eq!(fleet.running_count(&task_id(&long, 0, 0)), 1);
    fleet.assert_no_double_run();
}

/// What an owner stored of a run without progress has no effect once the run has made
/// some.
#[test]
fn a_run_that_progresses_again_is_not_stopped_by_the_next_owner() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let worker = fleet.starts[0].2.clone();
    fleet.worker(worker.as_str()).is_stalled = true;
    fleet.advance(1_700);
    fleet.worker(worker.as_str()).is_stalled = false;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(5_000);
    assert_eq!(fleet.starts.len(), 1);
}

/// While all runs hang, the rows that are stored for that alone are few.
#[test]
fn few_rows_are_stored_for_runs_without_progress() {
    let mut fleet = fleet_of(40);
    for number in 0..40 {
        fleet.submit(&format!("j{number}"), vec![step_spec(1, 8_000)], 60_000);
    }
    fleet.advance(500);
    for worker in fleet.workers.values_mut() {
        worker.is_stalled = true;
    }
    let mut rows = 0;
    for _ in 0..190 {
        fleet.now = fleet.now + common::TICK_INTERVAL;
        fleet.scheduler.tick(fleet.now);
        let changes = fleet.scheduler.take_changes(fleet.now);
        rows += changes.rows.len();
        fleet.scheduler.changes_stored(&changes, fleet.now);
    }
    // Two batches, one a second, before the runs are stopped.
    assert_eq!(rows, 32);
}

/// A worker that fails each run gets no new tasks for 3 s; owners end meanwhile.
#[test]
fn a_worker_that_fails_its_runs_gets_no_tasks_from_the_next_owner() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").is_failing = true;
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.submit("k", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 4);
    for _ in 0..2 {
        fleet.take_over(SchedulerSettings::default());
        fleet.advance(1_000);
        assert_eq!(fleet.starts.len(), 4);
    }
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 6, "both are tried again after 3 s");
}

/// Each owner sees fewer failed runs than make a worker unhealthy.
#[test]
fn failed_runs_of_a_worker_are_counted_across_owners() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").is_failing = true;
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 3);
    fleet.take_over(SchedulerSettings::default());
    fleet.submit("k", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 4);
}

/// The worker lists the runs again that the previous owner has counted.
#[test]
fn a_failed_run_is_counted_once_by_two_owners() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").is_failing = true;
    fleet.worker("w0").receives_acknowledgements = false;
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    fleet.worker("w0").is_failing = false;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(500);
    fleet.submit("k", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 4, "k starts at once");
}

/// Returns a manifest with a queue on which an advisor decides.
fn advised_manifest(version: u64) -> sync::Arc<JobManifest> {
    let mut parts = common::manifest_parts_with_limit(0);
    parts.version = version;
    for queue in &mut parts.queues {
        queue.is_advised = true;
    }
    sync::Arc::new(JobManifest::from(parts))
}

/// The advisor is slow; the next owner does not ask it again for what it has decided.
#[test]
fn permits_and_denials_of_the_advisor_outlive_the_owner() {
    let mut fleet = FakeFleet::of_size(3, 1_000);
    fleet.scheduler.set_manifest(advised_manifest(2));
    fleet.permitted_worker = Some(WorkerId::new("w1"));
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 1_500);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1);
    fleet.advice_requests.clear();
    fleet.take_over(SchedulerSettings::default());
    fleet.scheduler.set_manifest(advised_manifest(2));
    fleet.advance(1_200);
    assert_eq!(
        fleet.starts.len(),
        2,
        "the second task starts after the first"
    );
    assert_eq!(fleet.advice_requests, []);
    fleet.advance(2_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A stored permit may have been on its way for a while: it counts for less, not more.
#[test]
fn a_permit_that_may_have_expired_is_requested_again() {
    let mut fleet = FakeFleet::of_size(2, 1_000);
    fleet.scheduler.set_manifest(advised_manifest(2));
    fleet.permitted_worker = Some(WorkerId::new("w1"));
    fleet.submit("j", vec![step_spec(2, 1_000)], 2_000);
    fleet.advance(1_900);
    fleet.advice_requests.clear();
    fleet.take_over(SchedulerSettings::default());
    fleet.scheduler.set_manifest(advised_manifest(2));
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.advice_requests.len(), 1);
    assert_eq!(fleet.advice_requests[0].workers, [WorkerId::new("w1")]);
}

/// A data centre is lost with its workers while owners end every 2 s.
#[test]
fn many_lost_workers_do_not_wait_anew_with_each_owner() {
    const LOST: u32 = 600;
    let mut fleet = fleet_of(2 * LOST as usize);
    fleet.submit("j", vec![step_spec(LOST, 8_000)], 60_000);
    fleet.advance(500);
    let lost_at = fleet.now;
    let lost: Vec<WorkerId> = fleet.starts.iter().map(|start| start.2.clone()).collect();
    assert_eq!(lost.len(), LOST as usize);
    for worker in &lost {
        fleet.worker(worker.as_str()).is_unresponsive = true;
    }
    for _ in 0..3 {
        fleet.advance(2_000);
        fleet.take_over(SchedulerSettings::default());
    }
    assert_eq!(fleet.starts.len(), 2 * lost.len());
    let latest = fleet.starts.iter().map(|start| start.3).max();
    let wait = latest.map(|at| at.saturating_since(lost_at));
    assert!(wait < Some(time::Duration::from_millis(5_600)), "{wait:?}");
    fleet.assert_no_double_run();
}

/// Workers stop to respond for 1.5 s, one after the other: the row of the ends of leases
/// is not stored for each of them alone.
#[test]
fn workers_that_blink_cause_few_changes() {
    let mut fleet = fleet_of(100);
    fleet.submit("j", vec![step_spec(100, 8_000)], 60_000);
    fleet.advance(500);
    for tick in 0..500 {
        for (number, worker) in fleet.workers.values_mut().enumerate() {
            worker.is_unresponsive = (tick + 4 * number) % 400 < 150;
        }
        fleet.advance(10);
    }
    let writes = fleet.lease_end_writes;
    assert!(writes <= 25, "{writes} changes in 5 s");
    assert_eq!(fleet.starts.len(), 100, "no task is lost");
}

#[test]
fn progress_rows_of_an_earlier_release_are_read() {
    let text = r#"{"r":2,"f":[1],"w":"w0","b":7}"#;
    let record: TaskRecord = serde_json::from_str(text).expect("it is read");
    assert_eq!(record.unchanged, None);
    let written = serde_json::to_string(&record).expect("it is written");
    assert_eq!(written, text);
}

/// A worker becomes silent and is listed no more, after a new owner that still reads the
/// rows has renewed its lease; with `is_listed_again`, it comes back to the list.
#[rstest]
#[case::unlisted(false)]
#[case::listed_again(true)]
fn a_lease_that_was_renewed_while_rows_are_read_is_not_forgotten(#[case] is_listed_again: bool) {
    for renewed_ms in [6_000, 7_500, 9_000] {
        let mut fleet = fleet_of(2);
        let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
        fleet.advance(500);
        let worker = fleet.starts[0].2.clone();
        fleet.begin_take_over(SchedulerSettings::default());
        fleet.advance(renewed_ms);
        fleet.worker(worker.as_str()).is_unresponsive = true;
        fleet.advance(2_600);
        fleet.scheduler.worker_unlisted(&worker, fleet.now);
        fleet.advance(100);
        if is_listed_again {
            let view = fleet.worker(worker.as_str()).view.clone();
            fleet.scheduler.worker_listed(view, fleet.now);
        }
        fleet.finish_take_over();
        for _ in 0..100 {
            fleet.advance(50);
            assert!(fleet.running_count(&task_id(&job, 0, 0)) <= 1);
        }
    }
}

/// The list of workers may lapse while they respond.
#[test]
fn a_worker_that_is_not_listed_keeps_its_lease_while_rows_are_read() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let worker = fleet.starts[0].2.clone();
    fleet.begin_take_over(SchedulerSettings::default());
    fleet.advance(3_000);
    fleet.scheduler.worker_unlisted(&worker, fleet.now);
    fleet.advance(9_000);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}
