//! Cost of one scheduling decision while more work waits than the fleet holds.
//!
//! Each measurement is one change followed by a round of placement: a run that
//! ends, whose capacity goes to a waiting task, or a job that arrives and has to
//! wait. The arguments are the numbers of workers and of waiting jobs.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint;
use std::time;

use common::{FakeFleet, FakeWorker, step_spec};
use criterion::{Criterion, criterion_group, criterion_main};
use redwing_jobs::spec::StepSpec;
use redwing_jobs::worker::{EndedRun, ExitKind, RenewalReport};
use redwing_jobs::{SchedulerSettings, TaskId, WorkerId};

/// Workers and waiting jobs of each measurement.
const SIZES: [(usize, usize); 3] = [(540, 600), (540, 4_000), (8_300, 50_000)];

/// Pools over which workers and jobs are spread.
const POOL_COUNT: usize = 5;

/// Tasks of a job.
const TASKS_PER_JOB: u32 = 8;

/// Processor of a worker and of a task, in thousandths of a core.
const WORKER_CPU_MILLIS: u64 = 32_000;
const TASK_CPU_MILLIS: u64 = 4_500;

/// Returns a fleet on which no further task fits, with `waiting` jobs more.
fn full_fleet(workers: usize, waiting: usize) -> FakeFleet {
    let per_pool = workers / POOL_COUNT;
    let workers = (0..workers).map(|number| {
        let pool = number / per_pool.max(1);
        FakeWorker::new(
            &format!("w{number}"),
            &pool_name(pool.min(POOL_COUNT - 1)),
            WORKER_CPU_MILLIS,
        )
    });
    let mut fleet = FakeFleet::new(SchedulerSettings::default(), workers.collect());
    fleet.advance(50);
    let tasks_per_worker = WORKER_CPU_MILLIS / TASK_CPU_MILLIS;
    let running = fleet.workers.len() * tasks_per_worker as usize / TASKS_PER_JOB as usize;
    for number in 0..running + POOL_COUNT + waiting {
        let job = format!("j{number}");
        let spec = vec![uneven_step(number / POOL_COUNT)];
        fleet.submit_to(&job, &pool_name(number % POOL_COUNT), spec, 3_600_000);
    }
    fleet.advance(200);
    fleet
}

fn pool_name(number: usize) -> String {
    match number {
        0 => "builders".to_owned(),
        _ => format!("pool-{number}"),
    }
}

/// Runs on the workers, each with its number in the worker's list of ended runs.
fn running_tasks(fleet: &FakeFleet) -> Vec<(WorkerId, TaskId, u32, u64)> {
    let mut tasks = Vec::new();
    for (id, worker) in &fleet.workers {
        let runs = worker.running.iter().zip(worker.next_ended_number..);
        tasks.extend(runs.map(|((task, run), number)| (id.clone(), task.clone(), run.run, number)));
    }
    tasks
}

fn ended_report(fleet: &FakeFleet, task: &TaskId, run: u32, number: u64) -> RenewalReport {
    RenewalReport {
        incarnation: 1,
        clock_ms: fleet.now.as_millis(),
        running: Vec::new(),
        ended: vec![EndedRun {
            number,
            task: task.clone(),
            run,
            kind: ExitKind::Done,
            checkpoint: None,
        }],
        is_complete: true,
        malformed: 0,
    }
}

/// Returns a step of tasks that need much memory or much processor in turn, so that
/// the workers are full in one resource and have the other left.
fn uneven_step(number: usize) -> StepSpec {
    let mut step = step_spec(TASKS_PER_JOB, TASK_CPU_MILLIS);
    if number.is_multiple_of(2) {
        step.needs.cpu_millis = 500;
        step.needs.memory_mb = 16_000;
    }
    step
}

/// Measures `iterations` runs that end, each followed by a round of placement.
fn measure_ended_runs(workers: usize, waiting: usize, iterations: u64) -> time::Duration {
    let mut elapsed = time::Duration::ZERO;
    let mut left = iterations;
    while left > 0 {
        let mut fleet = full_fleet(workers, waiting);
        let tasks = running_tasks(&fleet);
        let issued_at = redwing_jobs::BootTime::default();
        for (worker, task, run, number) in tasks.iter().take(left as usize) {
            let report = ended_report(&fleet, task, *run, *number);
            let (now, wall) = (fleet.now, fleet.wall_time());
            let renewal = fleet.renewal(worker, issued_at);
            let started = time::Instant::now();
            fleet
                .scheduler
                .handle_renewal_report(&renewal, &report, now);
            fleet.scheduler.place_tasks(now, wall);
            elapsed += started.elapsed();
            hint::black_box(fleet.scheduler.take_events());
        }
        left -= left.min(tasks.len() as u64);
    }
    elapsed
}

/// Measures `iterations` jobs that arrive and wait, each with a round of placement.
fn measure_arrivals(workers: usize, waiting: usize, iterations: u64) -> time::Duration {
    let mut fleet = full_fleet(workers, waiting);
    let mut elapsed = time::Duration::ZERO;
    for number in 0..iterations {
        let started = time::Instant::now();
        let spec = vec![uneven_step(number as usize)];
        fleet.submit(&format!("late{number}"), spec, 3_600_000);
        let (now, wall) = (fleet.now, fleet.wall_time());
        fleet.scheduler.place_tasks(now, wall);
        elapsed += started.elapsed();
    }
    elapsed
}

/// Measures `iterations` counts of the demand of all pools.
fn measure_demands(workers: usize, waiting: usize, iterations: u64) -> time::Duration {
    let mut fleet = full_fleet(workers, waiting);
    let wall = fleet.wall_time();
    let started = time::Instant::now();
    for _ in 0..iterations {
        hint::black_box(fleet.scheduler.pool_demands(wall));
    }
    started.elapsed()
}

fn decisions(criterion: &mut Criterion) {
    for (workers, waiting) in SIZES {
        let size = format!("{workers}/{waiting}");
        criterion.bench_function(&format!("ended-run/{size}"), |bencher| {
            bencher.iter_custom(|iterations| measure_ended_runs(workers, waiting, iterations));
        });
        criterion.bench_function(&format!("arrival/{size}"), |bencher| {
            bencher.iter_custom(|iterations| measure_arrivals(workers, waiting, iterations));
        });
        criterion.bench_function(&format!("demands/{size}"), |bencher| {
            bencher.iter_custom(|iterations| measure_demands(workers, waiting, iterations));
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(time::Duration::from_millis(100))
        .measurement_time(time::Duration::from_secs(1));
    targets = decisions
}
criterion_main!(benches);
