//! Random faults: no task runs on two workers at once, none starts again after
//! it is done, steps keep their order, and every job completes in the end.

mod common;

use std::collections::HashSet;
use std::time;

use common::{FakeFleet, FakeWorker, step_spec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState, SchedulerSettings, TaskId};

/// Seed of the generated cases.
const SEED: [u8; 32] = *b"redwinglb: jobs, random faults 1";

/// Number of generated cases.
const CASE_COUNT: u32 = 64;

/// Number of workers in the fleet.
const WORKER_COUNT: usize = 4;

/// Random event in the fleet or its environment.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// A job of two steps is submitted.
    Submit {
        task_count: u32,
        duration_ms: u64,
    },
    /// A worker becomes unresponsive, or responsive again.
    SetUnresponsive {
        worker: usize,
        is_unresponsive: bool,
    },
    /// A worker crashes and restarts as a new incarnation.
    Crash {
        worker: usize,
    },
    /// Responses are lost and orders executed after a delay; no delay ends the
    /// loss.
    LoseOrders {
        delay_ms: Option<u64>,
    },
    /// The table becomes available or unavailable.
    SetTable {
        is_up: bool,
    },
    /// Another process takes over the ownership.
    TakeOver,
    /// A new owner begins, and reads the rows until the next `FinishTakeOver`.
    BeginTakeOver,
    FinishTakeOver,
    /// A worker disappears from the list of workers, or reappears.
    SetListed {
        worker: usize,
        is_listed: bool,
    },
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        4 => (1..6_u32, 50..1_500_u64)
            .prop_map(|(task_count, duration_ms)| FleetEvent::Submit { task_count, duration_ms }),
        2 => (0..WORKER_COUNT, any::<bool>())
            .prop_map(
                |(worker, is_unresponsive)|
                FleetEvent::SetUnresponsive { worker, is_unresponsive }
            ),
        1 => (0..WORKER_COUNT).prop_map(|worker| FleetEvent::Crash { worker }),
        1 => proptest::option::of(200..4_000_u64)
            .prop_map(|delay_ms| FleetEvent::LoseOrders { delay_ms }),
        1 => any::<bool>().prop_map(|is_up| FleetEvent::SetTable { is_up }),
        1 => Just(FleetEvent::TakeOver),
        1 => Just(FleetEvent::BeginTakeOver),
        2 => Just(FleetEvent::FinishTakeOver),
        1 => (0..WORKER_COUNT, any::<bool>())
            .prop_map(|(worker, is_listed)| FleetEvent::SetListed { worker, is_listed }),
    ]
}

/// Checks the starts and ends of runs against the invariants.
#[derive(Default)]
struct InvariantChecker {
    checked_orders: usize,
    checked_starts: usize,
    /// Tasks with a run that ended as done.
    done_tasks: HashSet<TaskId>,
    /// Tasks whose end was not acknowledged before the crash of the worker or
    /// the end of its lease: they may run again.
    unacknowledged_tasks: HashSet<TaskId>,
}

/// Returns whether the stored row of a job lists a task as done.
fn is_stored_as_done(fleet: &FakeFleet, task: &TaskId) -> bool {
    let Some(row) = fleet.rows.get(&task.job) else {
        return false;
    };
    let occurrence = row.occurrences.first();
    let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
    let entry = step.and_then(|step| step.get(task.index as usize));
    row.state.is_final() || entry.is_some_and(|entry| entry.done)
}

impl InvariantChecker {
    fn check(&mut self, fleet: &FakeFleet) {
        fleet.assert_no_double_run();
        for task in &fleet.ordered_starts[self.checked_orders..] {
            let is_done = is_stored_as_done(fleet, task);
            assert!(!is_done, "{task} is ordered after its end was stored");
        }
        self.checked_orders = fleet.ordered_starts.len();
        for (task, run, worker, _) in &fleet.starts[self.checked_starts..] {
            let is_done =
                self.done_tasks.contains(task) && !self.unacknowledged_tasks.contains(task);
            assert!(!is_done, "{task} run {run} on {worker} after its end");
            if task.step == 1 {
                let count = fleet.jobs[&task.job].spec.steps[0].count;
                let first_step = (0..count).map(|index| common::task_id(&task.job, 0, index));
                let is_ready = first_step
                    .into_iter()
                    .all(|earlier| self.done_tasks.contains(&earlier));
                assert!(is_ready, "{task} starts before the step before it is done");
            }
        }
        self.checked_starts = fleet.starts.len();
        for worker in fleet.workers.values() {
            for ended_run in &worker.ended_runs {
                if ended_run.kind == redwing_jobs::worker::ExitKind::Done {
                    self.done_tasks.insert(ended_run.task.clone());
                }
                if worker.has_lapsed(fleet.now) {
                    self.unacknowledged_tasks.insert(ended_run.task.clone());
                }
            }
        }
    }
}

fn apply(
    fleet: &mut FakeFleet,
    checker: &mut InvariantChecker,
    jobs: &mut Vec<JobId>,
    event: &FleetEvent,
) {
    match event {
        FleetEvent::Submit {
            task_count,
            duration_ms,
        } => {
            let second_step = StepSpec {
                after: vec![0],
                ..step_spec(1, 1_000)
            };
            let name = format!("job-{}", jobs.len());
            jobs.push(fleet.submit(
                &name,
                vec![step_spec(*task_count, 1_000), second_step],
                *duration_ms,
            ));
        }
        FleetEvent::SetUnresponsive {
            worker,
            is_unresponsive,
        } => {
            fleet.worker(&format!("w{worker}")).is_unresponsive = *is_unresponsive;
        }
        FleetEvent::Crash { worker } => crash(fleet, checker, &format!("w{worker}")),
        FleetEvent::LoseOrders { delay_ms } => {
            fleet.lost_order_delay = delay_ms.map(time::Duration::from_millis);
        }
        FleetEvent::SetTable { is_up } => fleet.is_table_up = *is_up,
        FleetEvent::TakeOver => fleet.take_over(SchedulerSettings::default()),
        FleetEvent::BeginTakeOver => fleet.begin_take_over(SchedulerSettings::default()),
        FleetEvent::FinishTakeOver if fleet.scheduler.is_restoring() => fleet.finish_take_over(),
        FleetEvent::FinishTakeOver => {}
        FleetEvent::SetListed { worker, is_listed } => {
            let view = fleet.worker(&format!("w{worker}")).view.clone();
            if *is_listed {
                fleet.scheduler.worker_listed(view, fleet.now);
            } else {
                fleet.scheduler.worker_unlisted(&view.id, fleet.now);
            }
        }
    }
}

/// Crashes a worker and restarts it as a new incarnation; orders in flight to it
/// are lost.
fn crash(fleet: &mut FakeFleet, checker: &mut InvariantChecker, id: &str) {
    let now = fleet.now;
    let worker = fleet.worker(id);
    let unacknowledged_tasks = worker
        .ended_runs
        .iter()
        .map(|ended_run| ended_run.task.clone());
    checker.unacknowledged_tasks.extend(unacknowledged_tasks);
    worker.restart(now);
    let view = worker.view.clone();
    fleet
        .delayed_orders
        .retain(|(_, order)| order.worker != view.id);
    fleet.scheduler.worker_listed(view, fleet.now);
}

fn run_events(events: &[(u64, FleetEvent)]) {
    let workers =
        (0..WORKER_COUNT).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 4_000));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    let mut checker = InvariantChecker::default();
    let mut jobs = Vec::new();
    for (pause_ms, event) in events {
        for _ in 0..pause_ms / 10 {
            fleet.advance(10);
            checker.check(&fleet);
        }
        apply(&mut fleet, &mut checker, &mut jobs, event);
    }
    // Once all faults have ended, every job completes.
    fleet.lost_order_delay = None;
    fleet.is_table_up = true;
    if fleet.scheduler.is_restoring() {
        fleet.finish_take_over();
    }
    for number in 0..WORKER_COUNT {
        fleet.worker(&format!("w{number}")).is_unresponsive = false;
        let view = fleet.worker(&format!("w{number}")).view.clone();
        fleet.scheduler.worker_listed(view, fleet.now);
    }
    for _ in 0..3_000 {
        fleet.advance(10);
        checker.check(&fleet);
    }
    for job in jobs {
        assert_eq!(fleet.state(&job), JobState::Completed, "{job}");
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let config = Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = proptest::collection::vec((10..1_500_u64, fleet_event()), 5..40);
    let result = runner.run(&sequences, |events| {
        run_events(&events);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
