//! Recovery of jobs after the loss of workers, orders, rows or owners.

mod common;

use std::time;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::scheduler::SchedulerEvent;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState, SchedulerSettings, WorkerId};

fn fleet_of(count: usize) -> FakeFleet {
    FakeFleet::of_size(count, 8_000)
}

fn long_running_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_per_worker: 1,
        max_unavailable: Some(1),
        ..step_spec(count, 1_000)
    }
}

#[test]
fn a_job_runs_its_steps_in_order() {
    let mut fleet = fleet_of(2);
    let second_step = StepSpec {
        after: vec![0],
        ..step_spec(2, 1_000)
    };
    let job = fleet.submit("j", vec![step_spec(3, 1_000), second_step], 200);
    fleet.advance(150);
    assert!(fleet.starts.iter().all(|(task, ..)| task.step == 0));
    fleet.advance(1_000);
    assert_eq!(fleet.starts.len(), 5);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

#[test]
fn nothing_starts_before_its_row_is_stored() {
    let mut fleet = fleet_of(1);
    fleet.advance(100);
    fleet.is_table_up = false;
    fleet.submit("j", vec![step_spec(1, 1_000)], 200);
    fleet.advance(1_000);
    assert!(fleet.starts.is_empty());
    fleet.is_table_up = true;
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), 1);
}

/// A worker that becomes unresponsive must not keep its tasks forever: lease
/// renewals without a response do not extend its lease.
#[test]
fn tasks_of_an_unresponsive_worker_start_elsewhere_once_the_lease_has_expired() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![long_running_step(1)], 0);
    fleet.advance(300);
    let first_worker = fleet.starts[0].2.clone();
    fleet.worker(first_worker.as_str()).is_unresponsive = true;
    fleet.advance(3_500);
    assert_eq!(fleet.starts.len(), 1, "the lease has not expired");
    fleet.advance(4_000);
    assert_eq!(fleet.starts.len(), 2);
    assert_ne!(fleet.starts[1].2, first_worker);
    fleet.assert_no_double_run();
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// A task on an unresponsive worker counts as unavailable.
#[test]
fn maintenance_evicts_no_task_of_a_step_that_has_one_on_an_unresponsive_worker() {
    let mut fleet = fleet_of(3);
    fleet.submit("j", vec![long_running_step(3)], 0);
    fleet.advance(300);
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(2_500);
    let now = fleet.now;
    fleet
        .scheduler
        .evict_long_running(&WorkerId::new("w1"), now);
    fleet.advance(100);
    assert!(fleet.stops.is_empty());
}

/// An owner ordered a stop for maintenance shortly before another one took over.
/// The run is still listed as serving until it has stopped; the new owner, which
/// has no record of the order, must not stop a second task of the step.
#[test]
fn a_new_owner_evicts_no_task_while_a_stop_of_its_predecessor_may_be_pending() {
    let mut fleet = fleet_of(6);
    fleet.submit("j", vec![long_running_step(3)], 0);
    fleet.advance(3_000);
    fleet.stop_delay = Some(time::Duration::from_millis(400));
    let now = fleet.now;
    fleet
        .scheduler
        .evict_long_running(&WorkerId::new("w1"), now);
    fleet.advance(20);
    fleet.take_over(SchedulerSettings::default());
    let evict = |fleet: &mut FakeFleet| {
        fleet.advance(10);
        let now = fleet.now;
        let worker = WorkerId::new("w2");
        fleet.scheduler.evict_long_running(&worker, now);
    };
    for _ in 0..30 {
        evict(&mut fleet);
    }
    fleet.advance(500);
    assert_eq!(fleet.stops.len(), 1, "{:?}", fleet.stops);
    for _ in 0..300 {
        if fleet.stops.len() == 1 {
            evict(&mut fleet);
        }
    }
    assert_eq!(fleet.stops.len(), 2, "the eviction is only delayed");
}

#[test]
fn a_takeover_keeps_current_runs() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 3_000);
    fleet.advance(500);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(4_000);
    assert_eq!(fleet.starts.len(), 4, "nothing was started again");
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A new owner has no record of when the lease of an unresponsive worker expires.
#[test]
fn a_new_owner_waits_for_the_leases_of_a_worker_that_it_cannot_reach() {
    let mut fleet = fleet_of(2);
    fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(500);
    let first_worker = fleet.starts[0].2.clone();
    fleet.worker(first_worker.as_str()).is_unresponsive = true;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(7_800);
    assert_eq!(fleet.starts.len(), 1);
    fleet.advance(700);
    assert_eq!(fleet.starts.len(), 2);
    fleet.assert_no_double_run();
}

/// A job is cancelled, and another process takes over before its runs have
/// stopped. The new owner has no record of the job, but its runs still use
/// capacity.
#[test]
fn runs_that_a_former_owner_was_stopping_use_capacity() {
    let mut fleet = fleet_of(1);
    let capacity_millis = fleet.worker("w0").view.capacity.cpu_millis;
    let old_job = fleet.submit("old", vec![step_spec(2, capacity_millis / 2)], 60_000);
    fleet.advance(300);
    fleet.stop_delay = Some(time::Duration::from_millis(400));
    let now = fleet.now;
    fleet.scheduler.cancel(&old_job, now);
    fleet.advance(20);
    fleet.jobs.remove(&old_job);
    fleet.take_over(SchedulerSettings::default());
    let new_job = fleet.submit("new", vec![step_spec(2, capacity_millis / 2)], 300);
    for _ in 0..60 {
        fleet.advance(10);
        let running = fleet.worker("w0").running.len();
        assert!(running <= 2, "{running} at {:?}", fleet.now);
    }
    fleet.advance(1_000);
    assert_eq!(fleet.state(&new_job), JobState::Completed);
}

#[test]
fn a_lost_order_that_is_executed_late_runs_no_task_twice() {
    let mut fleet = fleet_of(3);
    fleet.advance(100);
    fleet.lost_order_delay = Some(time::Duration::from_secs(3));
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 500);
    fleet.advance(200);
    fleet.lost_order_delay = None;
    for _ in 0..600 {
        fleet.advance(10);
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
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 500);
    fleet.advance(3_000);
    assert_eq!(fleet.starts.len(), 3);
    assert_eq!(fleet.state(&job), JobState::Failed);
}

#[test]
fn a_run_without_progress_starts_elsewhere() {
    let mut fleet = fleet_of(2);
    for worker in ["w0", "w1"] {
        fleet.worker(worker).is_stalled = worker == "w0";
    }
    let job = fleet.submit("j", vec![step_spec(2, 5_000)], 20_000);
    fleet.advance(8_000);
    let restarts = fleet
        .starts
        .iter()
        .filter(|(.., worker, _)| worker.as_str() == "w1");
    assert!(restarts.count() >= 1);
    assert!(fleet.stops.iter().any(|(stopped, ..)| stopped.job == job));
    fleet.assert_no_double_run();
}

#[test]
fn a_cancelled_job_is_stopped() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 60_000);
    fleet.advance(300);
    let now = fleet.now;
    fleet.scheduler.cancel(&job, now);
    fleet.advance(300);
    assert_eq!(fleet.state(&job), JobState::Cancelled);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 0);
    assert_eq!(fleet.scheduler.job_count(), 0);
}

/// Tasks that wait only for the end of a worker's cooldown after consecutive
/// failures start without any other event.
#[test]
fn work_starts_once_the_only_worker_is_healthy_again() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").is_failing = true;
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 300);
    fleet.advance(60);
    fleet.worker("w0").is_failing = false;
    fleet.advance(8_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A worker lists an ended run until it is acknowledged, so each new owner may
/// receive a failure that an earlier one has stored.
#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut fleet = fleet_of(1);
    fleet.advance(100);
    fleet.worker("w0").is_failing = true;
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 300);
    while fleet
        .workers
        .values()
        .all(|worker| worker.ended_runs.is_empty())
    {
        fleet.advance(10);
    }
    fleet.worker("w0").is_failing = false;
    for _ in 0..4 {
        fleet.advance(10);
        fleet.take_over(SchedulerSettings::default());
        // The new owner receives the failure, but is replaced before it
        // acknowledges it.
        for worker in fleet.workers.values_mut() {
            worker.receives_acknowledgements = false;
        }
        fleet.advance(20);
    }
    for worker in fleet.workers.values_mut() {
        worker.receives_acknowledgements = true;
    }
    fleet.advance(8_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// The worker crashed and restarted while no process owned the scheduling.
#[test]
fn a_new_owner_restarts_the_runs_that_a_crashed_worker_lost() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 2_000);
    fleet.advance(300);
    let first_worker = fleet.starts[0].2.clone();
    let now = fleet.now;
    fleet.worker(first_worker.as_str()).restart(now);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(5_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A table accepts rows and transactions of a bounded size only; a rejected
/// change would cost the owner its ownership.
#[test]
fn changes_stay_within_the_size_limits_of_a_table() {
    let mut fleet = fleet_of(40);
    fleet.advance(100);
    fleet.is_table_up = false;
    for number in 0..120 {
        let count = if number < 20 { 600 } else { 2 };
        fleet.submit(&format!("j{number}"), vec![step_spec(count, 10)], 50_000);
    }
    fleet.advance(50);
    let mut row_count = 0;
    while fleet.scheduler.has_changes() {
        let changes = fleet.scheduler.take_changes(fleet.now);
        let row_bytes = changes.rows.iter().map(|row| {
            let text = serde_json::to_string(&row.progress).expect("a row can be written");
            assert!(text.len() < 49_000, "{} bytes", text.len());
            text.len()
        });
        let total_bytes: usize = row_bytes.sum();
        assert!(total_bytes < 500_000, "{total_bytes} bytes");
        assert!(changes.rows.len() <= 80);
        row_count += changes.rows.len();
        let now = fleet.now;
        fleet.scheduler.changes_stored(&changes, now);
    }
    assert!(row_count >= 100, "{row_count}");
}

/// A worker restarts after its last report and before an order to start a run
/// reaches it, and the owner learns of the restart from the list. The run is one
/// of the new incarnation, so the task must not start elsewhere while it may run.
#[test]
fn a_run_that_a_new_incarnation_accepted_is_not_taken_for_lost() {
    let mut fleet = fleet_of(2);
    fleet.advance(300);
    let job = fleet.submit("j", vec![long_running_step(1)], 0);
    while fleet.starts.is_empty() {
        fleet.advance(1);
    }
    let worker = fleet.starts[0].2.clone();
    fleet.worker(worker.as_str()).view.incarnation += 1;
    let view = fleet.worker(worker.as_str()).view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    for _ in 0..200 {
        fleet.advance(1);
        fleet.assert_no_double_run();
    }
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// The number of pending jobs in the queue of the job, if it is known.
fn pending_count(fleet: &FakeFleet, job: &JobId) -> Option<u64> {
    let counts = fleet.scheduler.pending_counts()?;
    let count = counts.get(&fleet.jobs[job].queue).copied();
    Some(count.unwrap_or_default())
}

/// A job whose only run was accepted before the takeover is not stored as started.
#[test]
fn a_running_job_is_never_counted_as_pending_by_a_new_owner() {
    let mut fleet = fleet_of(2);
    let job = fleet.submit("j", vec![step_spec(2, 1_000)], 60_000);
    fleet.advance(300);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(pending_count(&fleet, &job), Some(0));
    fleet.take_over(SchedulerSettings::default());
    for _ in 0..100 {
        assert_ne!(pending_count(&fleet, &job), Some(1), "{:?}", fleet.now);
        fleet.advance(10);
    }
    assert_eq!(pending_count(&fleet, &job), Some(0));
}

/// A process once gave a count of 0 for a job whose orders had no response.
#[test]
fn a_job_is_pending_until_a_worker_has_accepted_a_task() {
    let mut fleet = fleet_of(1);
    fleet.advance(100);
    fleet.worker("w0").is_unresponsive = true;
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 60_000);
    fleet.advance(100);
    assert_eq!(fleet.ordered_starts.len(), 1);
    assert_eq!(pending_count(&fleet, &job), Some(1));
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(100);
    assert_eq!(pending_count(&fleet, &job), Some(1));
    fleet.worker("w0").is_unresponsive = false;
    fleet.advance(10_000);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
    assert_eq!(pending_count(&fleet, &job), Some(0));
}

#[test]
fn a_job_that_has_begun_is_not_pending_after_a_takeover() {
    let mut fleet = fleet_of(1);
    let second_step = StepSpec {
        after: vec![0],
        ..step_spec(1, 1_000)
    };
    let job = fleet.submit("j", vec![step_spec(1, 1_000), second_step], 200);
    fleet.advance(300);
    assert_eq!(fleet.starts.len(), 2);
    fleet.worker("w0").is_unresponsive = true;
    fleet.take_over(SchedulerSettings::default());
    assert_eq!(pending_count(&fleet, &job), Some(0));
}

/// Rows of earlier releases do not tell whether a worker has accepted a run.
#[test]
fn a_job_with_an_ended_task_is_not_pending_whatever_its_row_tells() {
    let mut fleet = fleet_of(1);
    let second_step = StepSpec {
        after: vec![0],
        ..step_spec(1, 9_000)
    };
    let job = fleet.submit("j", vec![step_spec(1, 1_000), second_step], 200);
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), 1);
    let row = fleet.rows.get_mut(&job).expect("it is stored");
    row.has_started = false;
    fleet.worker("w0").is_unresponsive = true;
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(100);
    assert_eq!(pending_count(&fleet, &job), Some(0));
}

/// The number of jobs whose end the scheduler has told since the last call.
fn told_ends(fleet: &mut FakeFleet) -> usize {
    let events = fleet.scheduler.take_events().into_iter();
    let ends = events.filter(|event| matches!(event, SchedulerEvent::JobEnded { .. }));
    ends.count()
}

/// If the owner is lost before, its successor finds the end again.
#[test]
fn the_end_of_a_job_is_told_once_it_is_stored() {
    let mut fleet = fleet_of(1);
    fleet.submit("j", vec![step_spec(1, 1_000)], 300);
    fleet.advance(200);
    assert_eq!(fleet.starts.len(), 1);
    fleet.is_table_up = false;
    fleet.advance(500);
    assert_eq!(told_ends(&mut fleet), 0);
    fleet.take_over(SchedulerSettings::default());
    fleet.is_table_up = true;
    fleet.advance(500);
    assert_eq!(told_ends(&mut fleet), 1);
    fleet.advance(500);
    assert_eq!(told_ends(&mut fleet), 0);
}
