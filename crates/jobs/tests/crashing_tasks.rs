//! Tasks that crash each worker on which they start, beside tasks that do not.

mod common;

use std::collections::BTreeMap;
use std::sync;

use common::{FakeFleet, ReturnMode, step_spec, task_id};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobManifest, JobState, SchedulerSettings, TaskId, WorkerId};
use rstest::rstest;

/// Most starts of a task that crashes its workers: three, and two more.
const MAX_STARTS: usize = 5;

/// Returns a fleet in which the first task of the job `deadly` crashes its workers, beside
/// a job with long tasks.
fn fleet_with_deadly(step: StepSpec) -> (FakeFleet, JobId) {
    let mut fleet = FakeFleet::of_size(6, 8_000);
    fleet.submit("innocent", vec![step_spec(12, 1_000)], 1_500);
    let deadly = fleet.submit("deadly", vec![step], 1_000);
    fleet.crash_plan.deadly.insert(task_id(&deadly, 0, 0));
    (fleet, deadly)
}

fn start_count(fleet: &FakeFleet, task: &TaskId) -> usize {
    let starts = fleet.starts.iter();
    starts.filter(|(started, ..)| started == task).count()
}

/// Panics unless the job has failed and its first task was started within the limit.
fn assert_given_up(fleet: &FakeFleet, deadly: &JobId) {
    assert_eq!(fleet.state(deadly), JobState::Failed, "{deadly}");
    assert!(start_count(fleet, &task_id(deadly, 0, 0)) <= MAX_STARTS);
}

/// Returns the largest number of runs of one job that were lost with their workers.
fn most_restarted(fleet: &FakeFleet, job: &JobId) -> usize {
    let mut counts: BTreeMap<&TaskId, usize> = BTreeMap::new();
    for (task, ..) in &fleet.starts {
        if task.job == *job {
            *counts.entry(task).or_default() += 1;
        }
    }
    counts.values().max().copied().unwrap_or(0)
}

#[rstest]
fn a_task_that_crashes_its_workers_is_given_up(
    #[values(ReturnMode::NewWorker, ReturnMode::NewIncarnation, ReturnMode::Never)]
    mode: ReturnMode,
) {
    let (mut fleet, deadly) = fleet_with_deadly(step_spec(2, 1_000));
    fleet.crash_plan.return_mode = mode;
    fleet.advance(60_000);
    assert_given_up(&fleet, &deadly);
    assert_eq!(fleet.state(&JobId::new("innocent")), JobState::Completed);
}

/// Each owner knows of a part of the crashes only.
#[rstest]
fn a_task_that_crashes_its_workers_is_given_up_although_owners_change(
    #[values(
        ReturnMode::NewWorker,
        ReturnMode::SameAddress,
        ReturnMode::NewIncarnation,
        ReturnMode::Never
    )]
    mode: ReturnMode,
    #[values(1_100, 2_000, 5_000)] owner_ms: u64,
) {
    let (mut fleet, deadly) = fleet_with_deadly(step_spec(2, 1_000));
    fleet.crash_plan.return_mode = mode;
    for _ in 0..60_000 / owner_ms {
        fleet.advance(owner_ms);
        fleet.take_over(SchedulerSettings::default());
    }
    fleet.advance(20_000);
    assert_given_up(&fleet, &deadly);
}

/// What shared a worker with the task is lost once, and not again on the next worker.
#[test]
fn tasks_beside_one_that_crashes_its_workers_are_lost_once() {
    let mut fleet = FakeFleet::of_size(6, 16_000);
    let innocent = fleet.submit("innocent", vec![step_spec(8, 1_000)], 4_000);
    fleet.advance(200);
    let deadly = fleet.submit("deadly", vec![step_spec(1, 1_000)], 1_000);
    fleet.crash_plan.deadly.insert(task_id(&deadly, 0, 0));
    fleet.advance(40_000);
    assert_eq!(fleet.state(&deadly), JobState::Failed);
    assert_eq!(fleet.state(&innocent), JobState::Completed);
    assert!(most_restarted(&fleet, &innocent) <= 2);
}

#[rstest]
#[case(StepSpec { gang: true, ..step_spec(3, 1_000) })]
#[case(StepSpec { long_running: true, max_per_worker: 1, ..step_spec(3, 1_000) })]
#[case(StepSpec { speculative: true, ..step_spec(3, 1_000) })]
#[case(StepSpec { best_effort: true, ..step_spec(3, 1_000) })]
#[case(step_spec(24, 1_000))]
fn steps_of_all_kinds_that_crash_their_workers_are_given_up(#[case] step: StepSpec) {
    let (mut fleet, deadly) = fleet_with_deadly(step);
    fleet.advance(60_000);
    assert_given_up(&fleet, &deadly);
}

/// The advisor permits one worker only.
#[test]
fn an_advised_task_that_crashes_its_worker_is_given_up() {
    let mut fleet = FakeFleet::of_size(3, 8_000);
    fleet.crash_plan.return_mode = ReturnMode::NewIncarnation;
    let mut parts = common::manifest_parts_with_limit(0);
    parts.version += 1;
    for queue in &mut parts.queues {
        queue.is_advised = true;
    }
    let manifest = sync::Arc::new(JobManifest::from(parts));
    fleet.scheduler.set_manifest(manifest);
    fleet.permitted_worker = Some(WorkerId::new("w0"));
    let deadly = fleet.submit("deadly", vec![step_spec(2, 1_000)], 1_000);
    fleet.crash_plan.deadly.insert(task_id(&deadly, 0, 0));
    fleet.advance(60_000);
    assert_given_up(&fleet, &deadly);
}

/// No start is ordered before the row is stored that has the count.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_although_the_table_is_away() {
    let (mut fleet, deadly) = fleet_with_deadly(step_spec(2, 1_000));
    for round in 0..30 {
        fleet.is_table_up = round % 3 == 0;
        fleet.advance(1_500);
        if round % 5 == 4 {
            fleet.take_over(SchedulerSettings::default());
        }
    }
    fleet.is_table_up = true;
    fleet.advance(20_000);
    assert_given_up(&fleet, &deadly);
}

/// The start may have arrived late, after the crash that another task caused.
#[rstest]
fn a_start_without_a_response_counts_if_its_worker_crashes(
    #[values(ReturnMode::NewWorker, ReturnMode::SameAddress)] mode: ReturnMode,
) {
    let mut fleet = FakeFleet::of_size(3, 8_000);
    fleet.crash_plan.return_mode = mode;
    fleet.advance(100);
    let deadly = fleet.submit("deadly", vec![step_spec(1, 1_000)], 1_000);
    fleet.crash_plan.deadly.insert(task_id(&deadly, 0, 0));
    fleet.lost_order_delay = Some(std::time::Duration::from_millis(400));
    fleet.advance(80_000);
    assert_given_up(&fleet, &deadly);
}

/// Workers that crash for other reasons do not end the jobs on them.
#[rstest]
fn a_task_whose_workers_crash_for_other_reasons_is_not_given_up(
    #[values(500, 4_000, 12_000)] run_ms: u64,
) {
    let mut fleet = FakeFleet::of_size(4, 8_000);
    let job = fleet.submit("j", vec![step_spec(8, 1_000)], 30_000);
    for round in 0..4 {
        fleet.advance(run_ms);
        let busy = fleet.workers.values();
        let busy = busy.filter(|worker| !worker.running.is_empty() && !worker.is_unresponsive);
        let busy: Vec<WorkerId> = busy.map(|worker| worker.view.id.clone()).collect();
        // Another worker each time, with other tasks.
        let now = fleet.now;
        if let Some(worker) = busy.get(round % busy.len().max(1)) {
            fleet.crash_plan.crash(worker, now);
        }
        fleet.advance(7_000);
    }
    fleet.advance(60_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// A worker that is cut off and lists its runs again has not crashed.
#[test]
fn a_worker_that_was_cut_off_counts_against_no_task() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    let step = StepSpec {
        long_running: true,
        ..step_spec(1, 1_000)
    };
    let job = fleet.submit("j", vec![step], 0);
    fleet.advance(500);
    for _ in 0..6 {
        let (_, _, worker, _) = fleet.starts.last().expect("a start").clone();
        fleet.worker(worker.as_str()).is_unresponsive = true;
        fleet.scheduler.worker_unlisted(&worker, fleet.now);
        fleet.advance(7_000);
        fleet.worker(worker.as_str()).is_unresponsive = false;
        let view = fleet.worker(worker.as_str()).view.clone();
        let now = fleet.now;
        fleet.scheduler.worker_listed(view, now);
        fleet.advance(2_000);
    }
    assert_eq!(fleet.state(&job), JobState::Running);
    assert_eq!(fleet.running_count(&task_id(&job, 0, 0)), 1);
}

/// Many suspected tasks wait for few vacant workers: none of them waits for long.
#[test]
fn tasks_beside_many_that_crash_their_workers_are_done_soon() {
    let mut fleet = FakeFleet::of_size(8, 8_000);
    // Long-running tasks leave no worker vacant.
    let long_running = StepSpec {
        long_running: true,
        max_per_worker: 1,
        ..step_spec(8, 1_000)
    };
    fleet.submit("service", vec![long_running], 0);
    fleet.advance(200);
    let mut innocent = Vec::new();
    for number in 0..12 {
        let deadly = fleet.submit(&format!("deadly-{number}"), vec![step_spec(2, 1_000)], 500);
        fleet.crash_plan.deadly.insert(task_id(&deadly, 0, 0));
        for other in 0..4 {
            let id = format!("innocent-{number}-{other}");
            innocent.push(fleet.submit(&id, vec![step_spec(2, 1_000)], 500));
        }
        fleet.advance(500);
    }
    fleet.advance(40_000);
    for job in &innocent {
        assert_eq!(fleet.state(job), JobState::Completed, "{job}");
    }
    for number in 0..12 {
        let deadly = JobId::new(&format!("deadly-{number}"));
        assert_given_up(&fleet, &deadly);
    }
    assert_eq!(fleet.state(&JobId::new("service")), JobState::Running);
}

/// Another worker at its address shows that a worker has ended, long before its leases have.
#[test]
fn runs_of_a_worker_whose_address_another_has_start_elsewhere_at_once() {
    let mut fleet = FakeFleet::of_size(2, 8_000);
    fleet.crash_plan.return_mode = ReturnMode::SameAddress;
    let job = fleet.submit("j", vec![step_spec(4, 1_000)], 30_000);
    fleet.advance(500);
    let (_, _, worker, _) = fleet.starts[0].clone();
    let now = fleet.now;
    fleet.crash_plan.crash(&worker, now);
    fleet.advance(4_000);
    let restarted = fleet.starts.iter().filter(|(_, run, ..)| *run == 2);
    assert_eq!(restarted.count(), 4);
    fleet.assert_no_double_run();
    fleet.advance(35_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}

/// The starts without responses may have reached it each time.
#[test]
fn a_worker_that_crashes_again_and_again_by_itself_ends_no_job() {
    let mut fleet = FakeFleet::of_size(1, 8_000);
    fleet.advance(100);
    let job = fleet.submit("j", vec![step_spec(1, 1_000)], 500);
    fleet.lost_order_delay = Some(std::time::Duration::from_secs(60));
    fleet.advance(100);
    for _ in 0..6 {
        fleet.restart_worker("w0");
        fleet.advance(50);
    }
    fleet.lost_order_delay = None;
    fleet.delayed_orders.clear();
    fleet.advance(20_000);
    assert_eq!(fleet.state(&job), JobState::Completed);
}
