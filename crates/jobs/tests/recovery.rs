//! What happens to work when workers, orders, rows or owners are lost.

mod common;

use std::time;

use common::{FakeFleet, FakeWorker, step, task};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobState, SchedulerSettings, WorkerId};

fn fleet_of(count: usize) -> FakeFleet {
    let workers =
        (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 8_000));
    FakeFleet::new(SchedulerSettings::default(), workers.collect())
}

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(1),
        ..step(count, 1_000)
    }
}

#[test]
fn a_job_runs_its_steps_in_order() {
    let mut fleet = fleet_of(2);
    let second = StepSpec {
        after: vec![0],
        ..step(2, 1_000)
    };
    let job = fleet.submit("j", vec![step(3, 1_000), second], 200);
    fleet.run(150);
    assert!(fleet.starts.iter().all(|(task, ..)| task.step == 0));
    fleet.run(1_000);
    assert_eq!(fleet.starts.len(), 5);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

#[test]
fn nothing_starts_before_its_row_is_stored() {
    let mut fleet = fleet_of(1);
    fleet.run(100);
    fleet.is_table_up = false;
    fleet.submit("j", vec![step(1, 1_000)], 200);
    fleet.run(1_000);
    assert!(fleet.starts.is_empty());
    fleet.is_table_up = true;
    fleet.run(100);
    assert_eq!(fleet.starts.len(), 1);
}

/// A worker that falls silent must not keep its tasks for ever: holds that it
/// does not answer do not count as leases.
#[test]
fn tasks_of_a_silent_worker_start_elsewhere_once_the_lease_has_expired() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![long_running(1)], 0);
    fleet.run(300);
    let first = fleet.starts[0].2.clone();
    fleet.worker(first.as_str()).is_dark = true;
    fleet.run(3_500);
    assert_eq!(fleet.starts.len(), 1, "the lease has not expired");
    fleet.run(4_000);
    assert_eq!(fleet.starts.len(), 2);
    assert_ne!(fleet.starts[1].2, first);
    fleet.assert_no_double_run();
    assert_eq!(fleet.runs_of(&task(&job, 0, 0)), 1);
}

/// A task on a silent worker counts as unavailable.
#[test]
fn maintenance_spares_a_step_that_lost_a_task_to_a_silent_worker() {
    let mut fleet = fleet_of(3);
    fleet.submit("j", vec![long_running(3)], 0);
    fleet.run(300);
    fleet.worker("w0").is_dark = true;
    fleet.run(2_500);
    let now = fleet.now;
    fleet
        .scheduler
        .evict_long_running(&WorkerId::new("w1"), now);
    fleet.run(100);
    assert!(fleet.stops.is_empty());
}

#[test]
fn a_takeover_keeps_what_runs() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step(4, 1_000)], 3_000);
    fleet.run(500);
    fleet.take_over(SchedulerSettings::default());
    fleet.run(4_000);
    assert_eq!(fleet.starts.len(), 4, "nothing was started again");
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A new owner does not know until when a silent worker may go on.
#[test]
fn a_new_owner_waits_for_the_leases_of_a_worker_that_it_cannot_reach() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step(1, 1_000)], 60_000);
    fleet.run(500);
    let first = fleet.starts[0].2.clone();
    fleet.worker(first.as_str()).is_dark = true;
    fleet.take_over(SchedulerSettings::default());
    fleet.run(7_800);
    assert_eq!(fleet.starts.len(), 1);
    fleet.run(700);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_no_double_run();
}

/// A job is cancelled, and before its tasks have stopped another process takes
/// over, which knows nothing of the job any more: they still take room.
#[test]
fn what_a_former_owner_was_stopping_takes_room() {
    let mut fleet = fleet_of(1);
    let capacity = fleet.worker("w0").view.capacity.cpu_millis;
    let old = fleet.submit("old", vec![step(2, capacity / 2)], 60_000);
    fleet.run(300);
    fleet.stop_delay = Some(time::Duration::from_millis(400));
    let now = fleet.now;
    fleet.scheduler.cancel(&old, now);
    fleet.run(20);
    fleet.jobs.remove(&old);
    fleet.take_over(SchedulerSettings::default());
    let new = fleet.submit("new", vec![step(2, capacity / 2)], 300);
    for _ in 0..60 {
        fleet.run(10);
        let running = fleet.worker("w0").running.len();
        assert!(running <= 2, "{running} at {:?}", fleet.now);
    }
    fleet.run(1_000);
    assert_eq!(fleet.state(&new), JobState::Completed);
}

#[test]
fn a_lost_order_that_is_carried_out_late_runs_nothing_twice() {
    let mut fleet = fleet_of(3);
    fleet.run(100);
    fleet.lose_orders = Some(time::Duration::from_secs(3));
    let job = fleet.submit("j", vec![step(2, 1_000)], 500);
    fleet.run(200);
    fleet.lose_orders = None;
    for _ in 0..600 {
        fleet.run(10);
        fleet.assert_no_double_run();
    }
    assert_eq!(fleet.state(&job), JobState::Completed);
}

#[test]
fn a_job_that_always_fails_ends_after_its_attempts() {
    let mut fleet = fleet_of(4);
    for worker in fleet.workers.values_mut() {
        worker.is_failing = true;
    }
    let job = fleet.submit("j", vec![step(1, 1_000)], 500);
    fleet.run(3_000);
    assert_eq!(fleet.starts.len(), 3);
    assert_eq!(fleet.state(&job), JobState::Failed);
}

#[test]
fn a_run_without_progress_starts_elsewhere() {
    let mut fleet = fleet_of(2);
    for worker in ["w0", "w1"] {
        fleet.worker(worker).is_hanging = worker == "w0";
    }
    let job = fleet.submit("j", vec![step(2, 5_000)], 20_000);
    fleet.run(8_000);
    let elsewhere = fleet
        .starts
        .iter()
        .filter(|(.., worker, _)| worker.as_str() == "w1");
    assert!(elsewhere.count() >= 1);
    assert!(fleet.stops.iter().any(|(stopped, ..)| stopped.job == job));
    fleet.assert_no_double_run();
}

#[test]
fn a_cancelled_job_is_stopped() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step(4, 1_000)], 60_000);
    fleet.run(300);
    let now = fleet.now;
    fleet.scheduler.cancel(&job, now);
    fleet.run(300);
    assert_eq!(fleet.state(&job), JobState::Cancelled);
    assert_eq!(fleet.runs_of(&task(&job, 0, 0)), 0);
    assert_eq!(fleet.scheduler.job_count(), 0);
}

/// Work that waits only for the end of a worker's pause starts although
/// nothing else happens.
#[test]
fn work_starts_once_the_only_worker_is_healthy_again() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").is_failing = true;
    let job = fleet.submit("j", vec![step(2, 1_000)], 300);
    fleet.run(60);
    fleet.worker("w0").is_failing = false;
    fleet.run(8_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A worker lists an end until it is acknowledged, so each new owner may hear
/// of a failure that an earlier one has stored.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut fleet = fleet_of(1);
    fleet.run(100);
    fleet.worker("w0").is_failing = true;
    let job = fleet.submit("j", vec![step(1, 1_000)], 300);
    while fleet.workers.values().all(|worker| worker.ended.is_empty()) {
        fleet.run(10);
    }
    fleet.worker("w0").is_failing = false;
    for _ in 0..4 {
        fleet.run(10);
        fleet.take_over(SchedulerSettings::default());
        // The new owner hears of the failure, but does not live to acknowledge it.
        for worker in fleet.workers.values_mut() {
            worker.is_forgetful = false;
        }
        fleet.run(20);
    }
    for worker in fleet.workers.values_mut() {
        worker.is_forgetful = true;
    }
    fleet.run(8_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// The worker crashed and came back while nobody owned the scheduling.
#[test]
fn a_new_owner_starts_what_a_crashed_worker_lost() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step(2, 1_000)], 2_000);
    fleet.run(300);
    let first = fleet.starts[0].2.clone();
    let worker = fleet.worker(first.as_str());
    worker.view.incarnation += 1;
    worker.running.clear();
    worker.closed.clear();
    fleet.take_over(SchedulerSettings::default());
    fleet.run(5_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A table takes rows and transactions of a bounded size only; a change that
/// it refuses would cost the owner its place.
#[test]
fn changes_stay_within_what_a_table_takes() {
    let mut fleet = fleet_of(40);
    fleet.run(100);
    fleet.is_table_up = false;
    for number in 0..120 {
        let count = if number < 20 { 600 } else { 2 };
        fleet.submit(&format!("j{number}"), vec![step(count, 10)], 50_000);
    }
    fleet.run(50);
    let mut seen = 0;
    while fleet.scheduler.has_changes() {
        let changes = fleet.scheduler.take_changes();
        let rows = changes.rows.iter().map(|row| {
            let text = serde_json::to_string(&row.progress).expect("a row can be written");
            assert!(text.len() < 49_000, "{} bytes", text.len());
            text.len()
        });
        let bytes: usize = rows.sum();
        assert!(bytes < 500_000, "{bytes} bytes");
        assert!(changes.rows.len() <= 80);
        seen += changes.rows.len();
        let now = fleet.now;
        fleet.scheduler.changes_stored(&changes, now);
    }
    assert!(seen >= 100, "{seen}");
}
