//! Order of jobs while demand is a multiple of what the pool holds.

mod common;

use std::collections::BTreeMap;
use std::sync;

use common::{FakeFleet, FakeWorker, manifest_parts_with_limit, step_spec, task_id};
use proptest::prelude::RngExt;
use proptest::test_runner::{RngAlgorithm, TestRng};
use redwing_jobs::manifest::JobManifest;
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{BootTime, JobId, JobState, SchedulerSettings, TaskId};
use rstest::rstest;

fn fleet_of(count: usize, cpu_millis: u64) -> FakeFleet {
    let workers =
        (0..count).map(|number| FakeWorker::new(&format!("w{number}"), "builders", cpu_millis));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(100);
    fleet
}

fn start_time(fleet: &FakeFleet, task: &TaskId) -> BootTime {
    let start = fleet.starts.iter().find(|(started, ..)| started == task);
    start.expect("the task has started").3
}

/// Chains of equal steps that arrive at random, as one customer's users send them.
struct JobStream {
    fleet: FakeFleet,
    rng: TestRng,
    due_times: BTreeMap<JobId, u64>,
    timely_count: usize,
}

impl JobStream {
    fn new(seed: u8) -> Self {
        Self {
            fleet: fleet_of(10, 32_000),
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
            due_times: BTreeMap::new(),
            timely_count: 0,
        }
    }

    fn submit(&mut self) {
        let step_count = self.rng.random_range(1..=3_u32);
        let width = 2_u32 << self.rng.random_range(0..4);
        let cpu_millis = self.rng.random_range(2_000..7_000);
        let duration_ms = self.rng.random_range(300..1_000);
        // Estimates are wrong by up to a factor of two.
        let factor = self.rng.random_range(-1.0_f64..1.0).exp2();
        let steps = (0..step_count).map(|number| StepSpec {
            estimate_ms: (duration_ms as f64 * factor) as u64,
            after: number.checked_sub(1).into_iter().collect(),
            ..step_spec(width, cpu_millis)
        });
        let id = format!("j{}", self.due_times.len());
        let id = self.fleet.submit(&id, steps.collect(), duration_ms);
        let allowed_ms = 600 + u64::from(step_count) * duration_ms * 8 / 5;
        self.due_times
            .insert(id, self.fleet.now.as_millis() + allowed_ms);
    }

    /// Advances by `duration_ms` with `rate` jobs a second on average.
    fn advance(&mut self, duration_ms: u64, rate: f64) {
        for _ in 0..duration_ms / 10 {
            if self.rng.random_range(0.0..100.0) < rate {
                self.submit();
            }
            self.fleet.advance(10);
            let now_ms = self.fleet.now.as_millis();
            let due = self.due_times.iter();
            let due = due.filter(|(_, due_ms)| (now_ms..now_ms + 10).contains(due_ms));
            let timely = due.filter(|(job, _)| self.fleet.state(job) == JobState::Completed);
            self.timely_count += timely.count();
        }
    }
}

/// Demand rises from half of the capacity to five times that for four seconds.
/// Ordered by due time, 168 of these 296 jobs end in time: each begins just before
/// it is late, and many then lack the time for their later steps.
#[test]
fn most_jobs_end_in_time_at_five_times_the_mean_demand() {
    let mut timely_count = 0;
    let mut job_count = 0;
    for seed in 1..=3 {
        let mut stream = JobStream::new(seed);
        stream.advance(3_000, 4.0);
        stream.advance(4_000, 20.0);
        stream.advance(3_000, 4.0);
        stream.advance(10_000, 0.0);
        let mut jobs = stream.due_times.keys();
        assert!(jobs.all(|job| stream.fleet.state(job) == JobState::Completed));
        timely_count += stream.timely_count;
        job_count += stream.due_times.len();
    }
    let share = timely_count as f64 / job_count as f64;
    assert!(share > 0.68, "{timely_count} of {job_count}");
}

/// The last step of a job that has begun goes before a job that has not, although
/// that one is due earlier.
#[test]
fn a_job_that_has_begun_is_finished_first() {
    let mut fleet = fleet_of(1, 4_000);
    let last_step = StepSpec {
        after: vec![0],
        ..step_spec(1, 1_000)
    };
    let begun = fleet.submit("begun", vec![step_spec(4, 1_000), last_step], 500);
    fleet.advance(100);
    let fresh = fleet.submit("fresh", vec![step_spec(4, 1_000)], 500);
    fleet.advance(1_500);
    let last = start_time(&fleet, &task_id(&begun, 1, 0));
    assert!(last < start_time(&fleet, &task_id(&fresh, 0, 3)));
}

/// A job without an estimate does not go before others as if it had no work.
#[test]
fn a_job_without_an_estimate_gets_no_advantage() {
    let mut fleet = fleet_of(1, 1_000);
    fleet.submit("first", vec![step_spec(1, 1_000)], 500);
    fleet.advance(100);
    let unknown_step = StepSpec {
        estimate_ms: 0,
        ..step_spec(1, 1_000)
    };
    let unknown = fleet.submit("a", vec![unknown_step], 200);
    let known = fleet.submit("b", vec![step_spec(1, 1_000)], 200);
    fleet.advance(1_500);
    let known = start_time(&fleet, &task_id(&known, 0, 0));
    assert!(known < start_time(&fleet, &task_id(&unknown, 0, 0)));
}

/// Best-effort tasks reserve memory only; they take it after all urgent ones, even
/// if they have waited for longer or run until they are cancelled.
#[rstest]
#[case(false)]
#[case(true)]
fn urgent_tasks_go_before_best_effort_tasks(#[case] is_long_running: bool) {
    let mut fleet = fleet_of(1, 8_000);
    let large_step = |best_effort| {
        let mut step = step_spec(1, 1_000);
        step.needs.memory_mb = 40_000;
        StepSpec {
            best_effort,
            long_running: best_effort && is_long_running,
            ..step
        }
    };
    fleet.submit("first", vec![large_step(false)], 500);
    fleet.advance(100);
    let best_effort = fleet.submit("a", vec![large_step(true)], 300);
    fleet.advance(100);
    let urgent = fleet.submit("b", vec![large_step(false)], 300);
    fleet.advance(2_000);
    let urgent = start_time(&fleet, &task_id(&urgent, 0, 0));
    assert!(urgent < start_time(&fleet, &task_id(&best_effort, 0, 0)));
}

/// Also within one job that has both.
#[test]
fn urgent_tasks_of_a_job_go_before_its_best_effort_tasks() {
    let mut fleet = fleet_of(1, 8_000);
    let mut urgent_step = step_spec(1, 1_000);
    urgent_step.needs.memory_mb = 40_000;
    let best_effort_step = StepSpec {
        best_effort: true,
        ..urgent_step.clone()
    };
    let job = fleet.submit("j", vec![best_effort_step, urgent_step], 300);
    fleet.advance(1_000);
    let urgent = start_time(&fleet, &task_id(&job, 1, 0));
    assert!(urgent < start_time(&fleet, &task_id(&job, 0, 0)));
}

/// A customer's late jobs wait for the jobs of another that are in time, although
/// that one has used up its share; also if one of their tasks has begun.
#[rstest]
#[case(3, 500)]
#[case(2, 2_500)]
fn late_jobs_take_no_capacity_from_other_customers_jobs_in_time(
    #[case] task_count: u32,
    #[case] late_duration_ms: u64,
) {
    let mut fleet = fleet_of(1, 4_000);
    let submit = |fleet: &mut FakeFleet, customer, id, count, duration_ms| {
        let steps = vec![step_spec(count, 1_000)];
        fleet.submit_as(customer, id, "builders", steps, duration_ms)
    };
    submit(&mut fleet, "housing", "long", 1, 10_000);
    submit(&mut fleet, "housing", "first", task_count, 2_000);
    fleet.advance(100);
    let late = submit(&mut fleet, "portal", "a", 4, late_duration_ms);
    fleet.advance(1_500);
    let in_time = submit(&mut fleet, "housing", "b", task_count, 500);
    fleet.advance(2_000);
    let in_time = start_time(&fleet, &task_id(&in_time, 0, 0));
    assert!(in_time < start_time(&fleet, &task_id(&late, 0, 3)));
}

/// The time left of a job counts from the progress of its runs: a short step that
/// waits beside a long one that is nearly done makes the job late only when the
/// short one can no longer end in time.
#[test]
fn a_job_whose_long_step_is_nearly_done_is_not_late() {
    let mut fleet = fleet_of(1, 1_000);
    let long_step = StepSpec {
        estimate_ms: 3_000,
        ..step_spec(1, 1_000)
    };
    let short_step = StepSpec {
        estimate_ms: 300,
        ..step_spec(1, 1_000)
    };
    let begun = fleet.submit("begun", vec![long_step, short_step], 3_000);
    fleet.advance(2_900);
    let fresh = fleet.submit("fresh", vec![step_spec(1, 1_000)], 500);
    fleet.advance(1_500);
    let short = start_time(&fleet, &task_id(&begun, 1, 0));
    assert!(short.as_millis() < 13_300, "{short:?}");
    assert!(fleet.starts.iter().all(|(task, ..)| task.job != fresh));
}

/// A job that has failed leaves its capacity to others: its other runs are stopped.
#[test]
fn runs_of_a_failed_job_are_stopped() {
    let mut fleet = fleet_of(2, 1_000);
    fleet.worker("w0").is_failing = true;
    let spread_step = StepSpec {
        max_per_worker: 1,
        ..step_spec(2, 1_000)
    };
    let failed = fleet.submit("failed", vec![spread_step], 20_000);
    let next = fleet.submit("next", vec![step_spec(1, 1_000)], 500);
    fleet.advance(3_000);
    assert_eq!(fleet.state(&failed), JobState::Failed);
    assert_eq!(fleet.stops.len(), 1);
    assert_eq!(fleet.state(&next), JobState::Completed);
}

/// A job without an estimate, in a queue without an objective, never counts as being of
/// no use: it waits among the late jobs by its due time.
#[test]
fn a_job_without_an_objective_keeps_its_place() {
    let mut fleet = fleet_of(1, 1_000);
    let mut parts = manifest_parts_with_limit(0);
    parts.version = 2;
    parts.queues[0].objective_ms = 0;
    let manifest = JobManifest::from(parts);
    fleet.scheduler.set_manifest(sync::Arc::new(manifest));
    fleet.submit("first", vec![step_spec(1, 1_000)], 1_500);
    fleet.advance(100);
    let unknown_step = StepSpec {
        estimate_ms: 0,
        ..step_spec(1, 1_000)
    };
    let unknown = fleet.submit("a", vec![unknown_step], 300);
    fleet.advance(100);
    let late = fleet.submit("b", vec![step_spec(1, 1_000)], 300);
    fleet.advance(3_000);
    let unknown = start_time(&fleet, &task_id(&unknown, 0, 0));
    assert!(unknown < start_time(&fleet, &task_id(&late, 0, 0)));
}

/// A full pool with a backlog of thousands of jobs of several customers: each run that
/// ends gives capacity to one task. What placement looks at does not grow with the
/// backlog.
#[rstest]
#[case(100)]
#[case(4_000)]
fn an_ended_run_costs_the_same_with_any_backlog(#[case] backlog: usize) {
    let mut fleet = fleet_of(10, 32_000);
    for number in 0..backlog {
        let customer = format!("customer-{}", number % 6);
        let cpu_millis = 2_600 + (number as u64 * 37) % 5_000;
        let step = StepSpec {
            estimate_ms: 640,
            ..step_spec(8, cpu_millis)
        };
        fleet.submit_as(
            &customer,
            &format!("j{number}"),
            "builders",
            vec![step],
            640,
        );
    }
    fleet.advance(2_000);
    fleet.scheduler.take_examined();
    let started = fleet.starts.len();
    fleet.advance(3_000);
    let examined = fleet.scheduler.take_examined();
    let started = (fleet.starts.len() - started) as u64;
    assert!(started >= 200, "{started} runs");
    assert!(
        examined <= 20 * started,
        "{examined} looks for {started} runs"
    );
}
