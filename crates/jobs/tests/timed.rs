//! Jobs that run at given times.

mod common;

use std::time;

use common::{FakeFleet, FakeWorker, step, task};
use redwing_jobs::name::{CustomerName, PoolName, QueueName};
use redwing_jobs::spec::{JobSchedule, StepSpec};
use redwing_jobs::{JobId, JobRecord, JobSpec, JobState, SchedulerSettings, TaskId};

fn fleet_of(count: usize) -> FakeFleet {
    let workers =
        (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 8_000));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.run(100);
    fleet
}

/// Hands in a job whose first occurrence is due after `delay_ms`.
fn submit(
    fleet: &mut FakeFleet,
    times: u32,
    delay_ms: u64,
    interval_ms: u64,
    steps: Vec<StepSpec>,
    duration_ms: u64,
) -> JobId {
    let id = JobId::new("timed");
    let record = JobRecord {
        queue: QueueName::new("reports"),
        pool: PoolName::new("builders"),
        customer: Some(CustomerName::new("housing")),
        accepted: fleet.wall(),
        spec: JobSpec {
            steps,
            schedule: Some(JobSchedule {
                times,
                first_run_ms: fleet.wall().as_millis() + delay_ms,
                interval_ms,
            }),
            ..JobSpec::default()
        },
    };
    fleet.jobs.insert(id.clone(), record.clone());
    fleet.scheduler.submit(&id, record);
    let duration = time::Duration::from_millis(duration_ms);
    fleet.durations.insert(id.clone(), duration);
    id
}

/// Returns when each occurrence began, in milliseconds after `from`.
fn begun_after(fleet: &FakeFleet, from: u64) -> Vec<(u32, u64)> {
    let starts = fleet.starts.iter();
    starts
        .map(|(task, _, _, at)| (task.occurrence, at.as_millis() - from))
        .collect()
}

#[test]
fn each_occurrence_runs_once_at_its_time() {
    let mut fleet = fleet_of(1);
    let from = fleet.now.as_millis();
    let id = submit(&mut fleet, 3, 1_000, 2_000, vec![step(1, 1_000)], 300);
    fleet.run(4_000);
    assert_eq!(fleet.state(&id), JobState::Running);
    fleet.run(3_000);
    let begun = begun_after(&fleet, from);
    assert_eq!(begun.len(), 3, "{begun:?}");
    for (occurrence, at) in begun {
        let due = 1_000 + u64::from(occurrence) * 2_000;
        assert!((due..due + 100).contains(&at), "{occurrence} began at {at}");
    }
    assert_eq!(fleet.state(&id), JobState::Completed);
}

#[test]
fn occurrences_may_overlap() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 3, 0, 500, vec![step(1, 1_000)], 2_000);
    fleet.run(1_300);
    assert_eq!(fleet.worker("w0").running.len(), 3);
    fleet.run(3_000);
    assert_eq!(fleet.state(&id), JobState::Completed);
    fleet.assert_no_double_run();
}

#[test]
fn a_takeover_repeats_no_occurrence_and_leaves_none_out() {
    let mut fleet = fleet_of(2);
    let id = submit(&mut fleet, 4, 500, 1_000, vec![step(2, 1_000)], 400);
    fleet.run(1_700);
    fleet.take_over(SchedulerSettings::default());
    fleet.run(4_000);
    let mut begun: Vec<TaskId> = fleet.starts.iter().map(|start| start.0.clone()).collect();
    begun.sort();
    let expected: Vec<TaskId> = (0..4)
        .flat_map(|occurrence| {
            let id = id.clone();
            (0..2).map(move |index| TaskId {
                occurrence,
                ..task(&id, 0, index)
            })
        })
        .collect();
    assert_eq!(begun, expected);
    assert_eq!(fleet.state(&id), JobState::Completed);
}

#[test]
fn a_cancelled_job_begins_no_other_occurrence() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 5, 200, 500, vec![step(1, 1_000)], 100);
    fleet.run(900);
    let begun = fleet.starts.len();
    let now = fleet.now;
    fleet.scheduler.cancel(&id, now);
    fleet.run(2_000);
    assert_eq!(fleet.starts.len(), begun);
    assert_eq!(fleet.state(&id), JobState::Cancelled);
}

/// The row of a job's progress must fit into the table.
#[test]
fn occurrences_wait_while_the_row_is_full() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 4, 0, 100, vec![step(250, 10)], 1_000);
    fleet.run(800);
    let tasks: usize = fleet.rows[&id]
        .occurrences
        .iter()
        .flat_map(|occurrence| &occurrence.steps)
        .map(Vec::len)
        .sum();
    assert_eq!(tasks, 500);
    fleet.run(4_000);
    assert_eq!(fleet.starts.len(), 1_000);
    assert_eq!(fleet.state(&id), JobState::Completed);
}

/// A job that was handed in long ago is not late when an occurrence is due.
#[test]
fn an_occurrence_is_judged_by_its_own_time() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").view.capacity.cpu_millis = 1_000;
    let view = fleet.worker("w0").view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.submit("a", vec![step(1, 1_000)], 6_000);
    let timed = submit(&mut fleet, 1, 5_500, 0, vec![step(1, 1_000)], 300);
    fleet.run(5_700);
    fleet.submit("b", vec![step(1, 1_000)], 300);
    fleet.run(400);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.starts[1].0.job, timed);
}
