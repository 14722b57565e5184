//! Jobs with a schedule.

mod common;

use std::time;

use common::{FakeFleet, step_spec, task_id};
use redwing_jobs::name::{CustomerName, PoolName, QueueName};
use redwing_jobs::spec::{JobSchedule, StepSpec};
use redwing_jobs::{JobId, JobRecord, JobSpec, JobState, SchedulerSettings, TaskId};

fn fleet_of(count: usize) -> FakeFleet {
    let mut fleet = FakeFleet::of_size(count, 8_000);
    fleet.advance(100);
    fleet
}

/// Submits a job whose first occurrence is due after `delay_ms`.
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
        accepted: fleet.wall_time(),
        accepted_by: 0,
        spec: JobSpec {
            steps,
            schedule: Some(JobSchedule {
                times,
                first_run_ms: fleet.wall_time().as_millis() + delay_ms,
                interval_ms,
            }),
            ..JobSpec::default()
        },
    };
    fleet.jobs.insert(id.clone(), record.clone());
    fleet.scheduler.submit(&id, record);
    let duration = time::Duration::from_millis(duration_ms);
    fleet.task_durations.insert(id.clone(), duration);
    id
}

/// Returns the occurrence of each start and its time in milliseconds after
/// `from_ms`.
fn start_offsets(fleet: &FakeFleet, from_ms: u64) -> Vec<(u32, u64)> {
    let starts = fleet.starts.iter();
    starts
        .map(|(task, _, _, time)| (task.occurrence, time.as_millis() - from_ms))
        .collect()
}

#[test]
fn each_occurrence_runs_once_at_its_time() {
    let mut fleet = fleet_of(1);
    let from_ms = fleet.now.as_millis();
    let id = submit(&mut fleet, 3, 1_000, 2_000, vec![step_spec(1, 1_000)], 300);
    fleet.advance(4_000);
    assert_eq!(fleet.state(&id), JobState::Running);
    fleet.advance(3_000);
    let offsets = start_offsets(&fleet, from_ms);
    assert_eq!(offsets.len(), 3, "{offsets:?}");
    for (occurrence, offset_ms) in offsets {
        let due_ms = 1_000 + u64::from(occurrence) * 2_000;
        assert!(
            (due_ms..due_ms + 100).contains(&offset_ms),
            "{occurrence} began at {offset_ms}"
        );
    }
    assert_eq!(fleet.state(&id), JobState::Completed);
}

#[test]
fn occurrences_may_overlap() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 3, 0, 500, vec![step_spec(1, 1_000)], 2_000);
    fleet.advance(1_300);
    assert_eq!(fleet.worker("w0").running.len(), 3);
    fleet.advance(3_000);
    assert_eq!(fleet.state(&id), JobState::Completed);
    fleet.assert_no_double_run();
}

#[test]
fn a_takeover_neither_repeats_nor_skips_an_occurrence() {
    let mut fleet = fleet_of(2);
    let id = submit(&mut fleet, 4, 500, 1_000, vec![step_spec(2, 1_000)], 400);
    fleet.advance(1_700);
    fleet.take_over(SchedulerSettings::default());
    fleet.advance(4_000);
    let mut started_tasks: Vec<TaskId> = fleet.starts.iter().map(|start| start.0.clone()).collect();
    started_tasks.sort();
    let expected_tasks: Vec<TaskId> = (0..4)
        .flat_map(|occurrence| {
            let id = id.clone();
            (0..2).map(move |index| TaskId {
                occurrence,
                ..task_id(&id, 0, index)
            })
        })
        .collect();
    assert_eq!(started_tasks, expected_tasks);
    assert_eq!(fleet.state(&id), JobState::Completed);
}

#[test]
fn a_cancelled_job_starts_no_further_occurrence() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 5, 200, 500, vec![step_spec(1, 1_000)], 100);
    fleet.advance(900);
    let start_count = fleet.starts.len();
    let now = fleet.now;
    fleet.scheduler.cancel(&id, now);
    fleet.advance(2_000);
    assert_eq!(fleet.starts.len(), start_count);
    assert_eq!(fleet.state(&id), JobState::Cancelled);
}

/// The progress row of a job must fit into the table, so it lists at most 600
/// tasks: two occurrences of 250. Further occurrences start later.
#[test]
fn occurrences_wait_while_the_row_is_full() {
    let mut fleet = fleet_of(1);
    let id = submit(&mut fleet, 4, 0, 100, vec![step_spec(250, 10)], 1_000);
    fleet.advance(800);
    let task_count: usize = fleet.rows[&id]
        .occurrences
        .iter()
        .flat_map(|occurrence| &occurrence.steps)
        .map(Vec::len)
        .sum();
    assert_eq!(task_count, 500);
    fleet.advance(4_000);
    assert_eq!(fleet.starts.len(), 1_000);
    assert_eq!(fleet.state(&id), JobState::Completed);
}

/// A job that was submitted long ago is not late when an occurrence becomes due.
#[test]
fn lateness_of_an_occurrence_counts_from_its_due_time() {
    let mut fleet = fleet_of(1);
    fleet.worker("w0").view.capacity.cpu_millis = 1_000;
    let view = fleet.worker("w0").view.clone();
    let now = fleet.now;
    fleet.scheduler.worker_listed(view, now);
    fleet.submit("a", vec![step_spec(1, 1_000)], 6_000);
    let scheduled_job = submit(&mut fleet, 1, 5_500, 0, vec![step_spec(1, 1_000)], 300);
    fleet.advance(5_700);
    fleet.submit("b", vec![step_spec(1, 1_000)], 300);
    fleet.advance(400);
    assert_eq!(fleet.starts.len(), 2);
    assert_eq!(fleet.starts[1].0.job, scheduled_job);
}
