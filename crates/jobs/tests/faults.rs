//! Random faults: whatever happens, no task runs twice at a time, none starts
//! again after it was done, steps keep their order, and in the end every job
//! is completed.

mod common;

use std::collections::HashSet;
use std::time;

use common::{FakeFleet, FakeWorker, step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::{JobId, JobState, SchedulerSettings, TaskId};

/// Seed of the cases that CI plays.
const SEED: [u8; 32] = *b"redwinglb: jobs, random faults 1";

/// Number of cases.
const CASES: u32 = 64;

/// Workers of the fleet.
const WORKERS: usize = 4;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Happening {
    /// A job of two steps is handed in.
    Submit { tasks: u32, millis: u64 },
    /// A worker stops to answer, or answers again.
    Dark { worker: usize, is_dark: bool },
    /// A worker's life ends and the next begins.
    Crash { worker: usize },
    /// Orders get no answer and are carried out late, or not any more.
    LoseOrders { delay_millis: Option<u64> },
    /// The table takes changes, or does not.
    Table { is_up: bool },
    /// Another process takes the ownership over.
    TakeOver,
    /// The worker's entry is gone from the list, or back.
    Listed { worker: usize, is_listed: bool },
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (1..6_u32, 50..1_500_u64).prop_map(|(tasks, millis)| Happening::Submit { tasks, millis }),
        2 => (0..WORKERS, any::<bool>())
            .prop_map(|(worker, is_dark)| Happening::Dark { worker, is_dark }),
        1 => (0..WORKERS).prop_map(|worker| Happening::Crash { worker }),
        1 => proptest::option::of(200..4_000_u64)
            .prop_map(|delay_millis| Happening::LoseOrders { delay_millis }),
        1 => any::<bool>().prop_map(|is_up| Happening::Table { is_up }),
        1 => Just(Happening::TakeOver),
        1 => (0..WORKERS, any::<bool>())
            .prop_map(|(worker, is_listed)| Happening::Listed { worker, is_listed }),
    ]
}

/// Watches what workers do.
#[derive(Default)]
struct Witness {
    seen_orders: usize,
    seen_starts: usize,
    /// Tasks of which a run has ended done.
    done: HashSet<TaskId>,
    /// Those whose end was not acknowledged before the worker's life or lease
    /// was over: they may run again.
    lost: HashSet<TaskId>,
}

/// Returns whether the row of a job says that a task is done.
fn is_stored_done(fleet: &FakeFleet, task: &TaskId) -> bool {
    let Some(row) = fleet.rows.get(&task.job) else {
        return false;
    };
    let occurrence = row.occurrences.first();
    let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
    let entry = step.and_then(|step| step.get(task.index as usize));
    row.state.is_final() || entry.is_some_and(|entry| entry.done)
}

impl Witness {
    fn look(&mut self, fleet: &FakeFleet) {
        fleet.assert_no_double_run();
        for task in &fleet.ordered[self.seen_orders..] {
            let is_done = is_stored_done(fleet, task);
            assert!(!is_done, "{task} is ordered after its end was stored");
        }
        self.seen_orders = fleet.ordered.len();
        for (task, run, worker, _) in &fleet.starts[self.seen_starts..] {
            let is_done = self.done.contains(task) && !self.lost.contains(task);
            assert!(!is_done, "{task} run {run} on {worker} after its end");
            if task.step == 1 {
                let count = fleet.jobs[&task.job].spec.steps[0].count;
                let first = (0..count).map(|index| common::task(&task.job, 0, index));
                let is_ready = first
                    .into_iter()
                    .all(|earlier| self.done.contains(&earlier));
                assert!(is_ready, "{task} starts before the step before it is done");
            }
        }
        self.seen_starts = fleet.starts.len();
        for worker in fleet.workers.values() {
            for end in &worker.ended {
                if end.kind == redwing_jobs::worker::ExitKind::Done {
                    self.done.insert(end.task.clone());
                }
                if worker.lease_end < fleet.now.as_millis() {
                    self.lost.insert(end.task.clone());
                }
            }
        }
    }
}

fn apply(
    fleet: &mut FakeFleet,
    witness: &mut Witness,
    jobs: &mut Vec<JobId>,
    happening: &Happening,
) {
    match happening {
        Happening::Submit { tasks, millis } => {
            let second = StepSpec {
                after: vec![0],
                ..step(1, 1_000)
            };
            let name = format!("job-{}", jobs.len());
            jobs.push(fleet.submit(&name, vec![step(*tasks, 1_000), second], *millis));
        }
        Happening::Dark { worker, is_dark } => {
            fleet.worker(&format!("w{worker}")).is_dark = *is_dark;
        }
        Happening::Crash { worker } => crash(fleet, witness, &format!("w{worker}")),
        Happening::LoseOrders { delay_millis } => {
            fleet.lose_orders = delay_millis.map(time::Duration::from_millis);
        }
        Happening::Table { is_up } => fleet.is_table_up = *is_up,
        Happening::TakeOver => fleet.take_over(SchedulerSettings::default()),
        Happening::Listed { worker, is_listed } => {
            let view = fleet.worker(&format!("w{worker}")).view.clone();
            if *is_listed {
                fleet.scheduler.worker_listed(view, fleet.now);
            } else {
                fleet.scheduler.worker_unlisted(&view.id);
            }
        }
    }
}

/// Ends a worker's life; orders that were on the way to it are gone.
fn crash(fleet: &mut FakeFleet, witness: &mut Witness, id: &str) {
    let worker = fleet.worker(id);
    let unacknowledged = worker.ended.iter().map(|end| end.task.clone());
    witness.lost.extend(unacknowledged);
    worker.view.incarnation += 1;
    worker.running.clear();
    worker.ended.clear();
    worker.next_end = 1;
    worker.closed.clear();
    worker.fence = 0;
    worker.lease_end = 0;
    let view = worker.view.clone();
    fleet
        .late_orders
        .retain(|(_, order)| order.worker != view.id);
    fleet.scheduler.worker_listed(view, fleet.now);
}

fn play(happenings: &[(u64, Happening)]) {
    let workers =
        (0..WORKERS).map(|number| FakeWorker::new(&format!("w{number}"), "builders", 4_000));
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    let mut witness = Witness::default();
    let mut jobs = Vec::new();
    for (pause_millis, happening) in happenings {
        for _ in 0..pause_millis / 10 {
            fleet.run(10);
            witness.look(&fleet);
        }
        apply(&mut fleet, &mut witness, &mut jobs, happening);
    }
    // All faults are over: every job is finished.
    fleet.lose_orders = None;
    fleet.is_table_up = true;
    for number in 0..WORKERS {
        fleet.worker(&format!("w{number}")).is_dark = false;
        let view = fleet.worker(&format!("w{number}")).view.clone();
        fleet.scheduler.worker_listed(view, fleet.now);
    }
    for _ in 0..3_000 {
        fleet.run(10);
        witness.look(&fleet);
    }
    for job in jobs {
        assert_eq!(fleet.state(&job), JobState::Completed, "{job}");
    }
}

#[test]
fn promises_hold_under_random_faults() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let days = proptest::collection::vec((10..1_500_u64, happening()), 5..40);
    let played = runner.run(&days, |day| {
        play(&day);
        Ok(())
    });
    if let Err(error) = played {
        panic!("{error}");
    }
}
