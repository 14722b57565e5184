//! Workers with more ended runs than they list at a time.

mod common;

use std::collections::BTreeMap;

use common::{FakeFleet, FakeWorker, MAX_LISTED_ENDS, step_spec, task_id};
use redwing_jobs::scheduler::{RunEndReason, SchedulerEvent};
use redwing_jobs::worker::ExitKind;
use redwing_jobs::{JobId, JobState, SchedulerSettings, WorkerId};

/// Tasks that run at once on the only worker.
const TASKS: usize = 800;

/// Duration of these tasks, in milliseconds.
const TASK_MS: u64 = 3_000;

/// Tasks of a job.
const JOB_TASKS: u32 = 100;

/// Returns a worker on which all tasks have started, and their jobs.
fn busy_fleet() -> (FakeFleet, Vec<JobId>) {
    let mut worker = FakeWorker::new("w0", "builders", 2 * TASKS as u64 * 10);
    worker.view.capacity.memory_mb *= 2;
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), vec![worker]);
    fleet.events = Some(Vec::new());
    fleet.advance(100);
    let count = TASKS / JOB_TASKS as usize;
    let jobs = (0..count).map(|number| {
        fleet.submit(
            &format!("j{number}"),
            vec![step_spec(JOB_TASKS, 10)],
            TASK_MS,
        )
    });
    let jobs: Vec<JobId> = jobs.collect();
    fleet.advance(500);
    assert_eq!(fleet.starts.len(), TASKS);
    (fleet, jobs)
}

/// Returns the runs that ended without being listed, by the reason.
fn unlisted_ends(fleet: &FakeFleet) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for event in fleet.events.iter().flatten() {
        if let SchedulerEvent::RunEnded { reason, .. } = event {
            *ends.entry(format!("{reason:?}")).or_insert(0) += 1;
        }
    }
    ends
}

/// Advances time until all jobs are completed; returns how long it took.
fn complete_all(fleet: &mut FakeFleet, jobs: &[JobId], limit_ms: u64) -> u64 {
    let begun = fleet.now;
    let is_done = |fleet: &FakeFleet, job: &JobId| fleet.state(job) == JobState::Completed;
    while !jobs.iter().all(|job| is_done(fleet, job)) {
        let waited = fleet.now.saturating_since(begun).as_millis() as u64;
        assert!(waited < limit_ms, "not completed after {waited} ms");
        fleet.advance(10);
    }
    fleet.now.saturating_since(begun).as_millis() as u64
}

/// Guards against tasks that run twice, or are stopped for want of progress, because their ends
/// are beyond the list of a worker whose ends cannot be acknowledged (TWICE).
#[test]
fn ends_beyond_the_list_are_waited_for_while_the_table_is_away() {
    let (mut fleet, jobs) = busy_fleet();
    fleet.is_table_up = false;
    fleet.advance(12_000);
    assert!(fleet.worker("w0").ended_runs.len() > MAX_LISTED_ENDS);
    fleet.is_table_up = true;
    complete_all(&mut fleet, &jobs, 3_000);
    assert_eq!(fleet.starts.len(), TASKS);
    assert!(fleet.stops.is_empty(), "{} stops", fleet.stops.len());
    assert_eq!(unlisted_ends(&fleet), BTreeMap::new());
    let health = fleet.scheduler.fleet_health(fleet.now);
    assert!(health.is_empty(), "{health:?}");
}

/// Guards against the same at a new owner, which meets more ends than one list has (TWICE).
#[test]
fn a_new_owner_waits_for_ends_beyond_the_list() {
    let (mut fleet, jobs) = busy_fleet();
    fleet.is_table_up = false;
    fleet.advance(TASK_MS + 100);
    fleet.is_table_up = true;
    fleet.take_over(SchedulerSettings::default());
    complete_all(&mut fleet, &jobs, 3_000);
    assert_eq!(fleet.starts.len(), TASKS);
    assert!(fleet.stops.is_empty(), "{} stops", fleet.stops.len());
}

/// Guards against work that waits for the list of ends to be read to its end: the capacity of
/// those that are read is free at once.
#[test]
fn work_goes_on_once_the_table_is_back() {
    let (mut fleet, _) = busy_fleet();
    fleet.is_table_up = false;
    fleet.advance(12_000);
    let next = fleet.submit("next", vec![step_spec(8, 1_000)], 200);
    fleet.advance(1_000);
    fleet.is_table_up = true;
    complete_all(&mut fleet, &[next], 3_000);
}

/// Guards against a lost run that waits: if the list is complete it starts again at once.
#[test]
fn a_run_that_a_complete_list_lacks_starts_again_at_once() {
    let (mut fleet, jobs) = busy_fleet();
    let lost = task_id(&jobs[0], 0, 0);
    fleet.worker("w0").running.remove(&lost);
    fleet.advance(50);
    assert_eq!(fleet.running_count(&lost), 1);
    let vanished = format!("{:?}", RunEndReason::Vanished);
    assert_eq!(unlisted_ends(&fleet), BTreeMap::from([(vanished, 1)]));
}

/// Guards against a lost run that is forgotten because the list was not complete when it was
/// missed first.
#[test]
fn a_run_that_was_lost_beside_many_ends_starts_again() {
    let (mut fleet, jobs) = busy_fleet();
    fleet.is_table_up = false;
    let lost = task_id(&jobs[7], 0, 99);
    fleet.worker("w0").running.remove(&lost);
    // The loss is noticed only now.
    fleet.worker("w0").is_unresponsive = true;
    fleet.advance(TASK_MS);
    fleet.worker("w0").is_unresponsive = false;
    fleet.advance(1_000);
    assert_eq!(fleet.running_count(&lost), 0);
    fleet.is_table_up = true;
    complete_all(&mut fleet, &jobs, 2 * TASK_MS);
    assert_eq!(fleet.starts.len(), TASKS + 1);
}

/// Guards against the opposite: a run in progress that hangs is still stopped, however many
/// ends wait.
#[test]
fn a_run_that_hangs_beside_many_ends_is_stopped() {
    let (mut fleet, _) = busy_fleet();
    let hanging = fleet.submit("hanging", vec![step_spec(1, 0)], 60_000);
    fleet.advance(100);
    assert_eq!(fleet.starts.len(), TASKS + 1);
    fleet.is_table_up = false;
    fleet.advance(TASK_MS);
    fleet.worker("w0").is_stalled = true;
    fleet.advance(4_000);
    let stopped = fleet.stops.iter().map(|(task, ..)| task);
    assert_eq!(stopped.collect::<Vec<_>>(), [&task_id(&hanging, 0, 0)]);
}

/// Guards against tasks that are given up for the crash of a worker on which they had ended.
#[test]
fn ended_runs_are_not_suspected_when_their_worker_crashes() {
    let (mut fleet, _) = busy_fleet();
    fleet.is_table_up = false;
    fleet.advance(TASK_MS + 500);
    fleet.restart_worker("w0");
    fleet.advance(100);
    let suspected = fleet
        .events
        .iter()
        .flatten()
        .filter(|event| matches!(event, SchedulerEvent::TaskSuspected { .. }));
    assert_eq!(suspected.count(), 0);
    let worker = WorkerId::new("w0");
    assert!(!fleet.workers[&worker].exits.contains(&ExitKind::Lapsed));
}
